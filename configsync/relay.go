package configsync

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/membership"
	"github.com/figweir/figweir/store"
)

const (
	// relaysPerDomain allows for the failure of one relay in a failure domain.
	relaysPerDomain = 2
	// relayRankDelay is how long the second relay waits for the first one's push
	// before it queries the members for the revision.
	relayRankDelay = 250 * time.Millisecond
)

// Relays returns the relays of a failure domain in the order of their rank.
func Relays(view *membership.View, failureDomain string) []membership.Member {
	return view.Choose("config-relay/"+failureDomain, relaysPerDomain, membership.InDomain(failureDomain))
}

// relayRank returns this node's index among the relays of its failure domain, or
// -1 if it is not a relay.
func (s *Sync) relayRank() int {
	self := s.members.Self()
	for i, m := range Relays(s.members.View(), self.FailureDomain) {
		if m.Name == self.Name {
			return i
		}
	}
	return -1
}

// readUntilReady reads the store with exponential backoff until the node is
// ready, whether or not it is a relay.
func (s *Sync) readUntilReady(ctx context.Context) {
	interval := s.settings.PollInterval
	for !s.Ready() {
		s.readHead(ctx)
		if !sleep(ctx, interval) {
			return
		}
		interval = min(2*interval, maxBootInterval)
	}
}

// pollHead reads the head at each PollInterval while this node is a relay.
func (s *Sync) pollHead(ctx context.Context) {
	for sleep(ctx, s.settings.PollInterval) {
		if s.relayRank() >= 0 {
			s.readHead(ctx)
		}
	}
}

// readHead reads the head from the store and loads its revision if it is new.
func (s *Sync) readHead(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	sent := time.Now()
	count(counterHeadReads)
	version, err := s.repository.Head(callCtx)
	if err != nil && !errors.Is(err, config.ErrNoConfiguration) {
		s.log.V(1).Info("configuration head not read", "error", err.Error())
		return
	}
	if version.Revision < s.Revision() {
		s.writeAgain(ctx, version)
	}
	s.handleHead(ctx, version, sent)
}

// writeAgain writes the revision in force to the store, which has lost it: the store was restored
// from a copy with an older head, or with none. Another node may do the same; only one write of a
// head succeeds.
func (s *Sync) writeAgain(ctx context.Context, lost config.Version) {
	r := s.currentRevision.Load()
	if r == nil || r.number <= lost.Revision || lost.Position < s.headPosition.Load() && lost.Position != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	values := make(map[string][]byte, len(r.parts))
	for name, p := range r.parts {
		values[name] = p.Value
	}
	version, err := s.repository.WriteAgain(ctx, values, r.number, r.author, lost)
	s.log.Info("configuration written again, the store has lost it", "revision", r.number, "store_had", lost.Revision,
		"written_as", version.Revision, "error", errorText(err))
	if err == nil {
		count(counterWrittenAgain)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// watchHead watches the head in the store while this node is a relay.
func (s *Sync) watchHead(ctx context.Context) {
	var after store.Revision
	for {
		if s.relayRank() < 0 || s.Revision() == 0 {
			if !sleep(ctx, s.settings.PollInterval) {
				return
			}
			continue
		}
		after = max(after, s.headPosition.Load())
		events, next, err := s.watchOnce(ctx, after)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, store.ErrCompacted):
			after = s.listHead(ctx, after)
		case err != nil:
			if !sleep(ctx, s.settings.PollInterval) {
				return
			}
		default:
			after = next
			s.handleEvents(ctx, events)
		}
	}
}

// watchOnce makes one watch call. It returns the events and the revision from
// which the next call continues.
func (s *Sync) watchOnce(ctx context.Context, after store.Revision) ([]store.Event, store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.WatchWait+s.settings.CallTimeout)
	defer cancel()
	count(counterWatches)
	return s.store.Watch(ctx, config.HeadKey, after, s.settings.WatchWait)
}

// listHead lists the head and returns the revision from which a watch can
// continue after the store has compacted its history.
func (s *Sync) listHead(ctx context.Context, after store.Revision) store.Revision {
	callCtx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	count(counterLists)
	entries, revision, err := s.store.List(callCtx, config.HeadKey)
	if err != nil {
		sleep(ctx, s.settings.PollInterval)
		return after
	}
	for _, entry := range entries {
		s.handleEvents(ctx, []store.Event{{Entry: entry}})
	}
	return revision
}

// handleEvents handles changes from a watch. They don't count as a read of the
// store, because the time at which the store responded is not known exactly.
func (s *Sync) handleEvents(ctx context.Context, events []store.Event) {
	for _, event := range events {
		if event.Entry.Key != config.HeadKey || event.Deleted {
			continue
		}
		version, err := config.DecodeHead(event.Entry)
		if err != nil {
			s.log.Error(err, "configuration head not decoded", "revision", event.Entry.Revision)
			continue
		}
		s.handleHead(ctx, version, time.Time{})
	}
}

// handleHead loads the revision of a head if it is new, and schedules a push if
// this node is a relay. The head was read by a call sent at the given time, which
// is zero if the call does not count as a read of the store.
func (s *Sync) handleHead(ctx context.Context, version config.Version, sent time.Time) {
	if !sent.IsZero() {
		s.members.RecordStoreRead(sent, version.Revision, version.Position.Era() > 0)
	}
	s.headPosition.Store(max(s.headPosition.Load(), version.Position))
	if version.Revision > s.Revision() {
		s.loadVersion(ctx, version)
	}
	if s.Revision() > s.lastPushed.Load() && s.relayRank() >= 0 {
		select {
		case s.pushSignal <- struct{}{}:
		default: // the pending push sends the newest revision
		}
	}
}

// loadVersion reads the changed parts of a version and puts it in force. It
// returns at once if another load is running, so that reads of the head don't
// wait for a slow store.
func (s *Sync) loadVersion(ctx context.Context, version config.Version) {
	if !s.loadMu.TryLock() {
		return // the next read of the head loads the version if it is still missing
	}
	defer s.loadMu.Unlock()
	previous := s.currentRevision.Load()
	if version.Revision <= s.Revision() {
		return
	}
	var known map[string][]byte
	if previous != nil {
		known = previous.values
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	count(counterPartLoads)
	parts, err := s.repository.Parts(ctx, version.Head, known)
	if err != nil {
		s.log.V(1).Info("configuration parts not read", "revision", version.Revision, "error", err.Error())
		return
	}
	if err := s.install(newRevision(version.Revision, version.Head.Author, parts)); err != nil {
		count(counterUnusable)
		s.log.Error(err, "configuration can't be used", "revision", version.Revision)
	}
}

// pushLoop pushes the newest revision on each signal of pushSignal. It has its own
// goroutine because reads of the head must not wait for members that don't
// respond.
func (s *Sync) pushLoop(ctx context.Context) {
	var previous *revision
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.pushSignal:
			rank := s.relayRank()
			r := s.currentRevision.Load()
			if rank < 0 || r == nil || r.number <= s.lastPushed.Load() {
				continue
			}
			if rank > 0 && !sleep(ctx, time.Duration(rank)*relayRankDelay) {
				return
			}
			s.lastPushed.Store(r.number)
			s.push(ctx, rank, previous, r)
			previous = r
		}
	}
}

// push offers a revision to the members of this node's failure domain. previous
// is the revision that was pushed before, or nil.
func (s *Sync) push(ctx context.Context, rank int, previous, r *revision) {
	self := s.members.Self()
	var group errgroup.Group
	group.SetLimit(pushConcurrency)
	for _, m := range s.members.View().Live {
		if m.Name == self.Name || m.FailureDomain != self.FailureDomain {
			continue
		}
		to := membership.VM{Name: m.Name, Address: m.Address, FailureDomain: m.FailureDomain}
		group.Go(func() error {
			count(counterPushes)
			if err := countError(counterPushErrors, s.pushTo(ctx, to, rank, previous, r)); err != nil {
				s.log.V(1).Info("configuration not pushed", "peer", to.Name, "revision", r.number, "error", err.Error())
			}
			return nil // the member pulls the revision when a heartbeat reports it
		})
	}
	_ = group.Wait()
}

// pushTo sends a revision to one node. The first relay sends the values that
// changed, the second one queries the node's revision first, and both then send
// the values that the node reports as missing.
func (s *Sync) pushTo(ctx context.Context, to membership.VM, rank int, previous, r *revision) error {
	wanted := make(map[string]bool)
	request := &PushRequest{Revision: r.number, Author: r.author}
	if rank == 0 && previous != nil {
		request.Parts = r.partList(func(digest string) bool { return !previous.hasValue(digest) })
	}
	for range 3 {
		reply, err := s.pushOnce(ctx, to, request)
		if err != nil || reply.Revision >= r.number {
			return err
		}
		for _, digest := range reply.Missing {
			wanted[digest] = true
		}
		request.Parts = r.partList(func(digest string) bool { return wanted[digest] })
	}
	return nil
}

// pushOnce makes one push call, limited by CallTimeout.
func (s *Sync) pushOnce(ctx context.Context, to membership.VM, request *PushRequest) (*PushReply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	return s.transport.Push(ctx, to, request)
}
