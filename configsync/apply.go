package configsync

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/membership"
	"github.com/figweir/figweir/store"
)

// Status is the progress of an operator's change.
type Status string

// The statuses of a change that is in the store.
const (
	// Accepted means that one evidence window later no node serves with an older
	// revision.
	Accepted Status = "accepted"
	// Stored means that the change is in the store, but a partitioned node may
	// still serve with an older revision.
	Stored Status = "stored, not yet in force"
)

// Result is the outcome of an operator's change that is in the store.
type Result struct {
	Status   Status
	Revision store.Revision
	// Missing names the listed VMs that have not acknowledged the revision.
	Missing []string
}

// Apply stores the document as the new configuration if the current revision is
// still base. It then waits until more than half of the listed VMs have it in
// force, at most for the acknowledgement window. It returns a *finding.Error if
// the document is not valid, a *config.ConflictError if another change was stored
// first, store.ErrUnavailable if nothing was changed, and store.ErrAmbiguous if
// it is unknown whether the change was stored.
func (s *Sync) Apply(ctx context.Context, d *config.Document, base store.Revision, author string) (Result, error) {
	count(counterApplies)
	if base < s.Revision() {
		// The store may have lost the revision in force. It is written again first, so that the
		// operator sees the conflict.
		s.readHead(ctx)
	}
	version, err := s.repository.Apply(ctx, d, base, author)
	if err != nil {
		return Result{}, err
	}
	deadline := time.Now().Add(s.members.AckWindow())
	values, err := config.EncodeParts(d)
	if err != nil {
		return Result{}, err
	}
	if err := s.install(newRevision(version.Revision, author, values)); err != nil {
		return Result{}, err
	}
	return s.awaitMajority(ctx, version.Revision, deadline), nil
}

// awaitMajority queries the listed VMs until more than half have the revision in
// force or the deadline has passed. An acknowledgement must not count after the
// deadline, because the node may have restarted in the meantime and lost the
// revision.
func (s *Sync) awaitMajority(ctx context.Context, number store.Revision, deadline time.Time) Result {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	acks := make(chan string)
	var group errgroup.Group
	self := s.members.Self().Name
	slots := make(chan struct{}, pushConcurrency)
	for _, vm := range s.members.Listed() {
		if vm.Name != self {
			group.Go(func() error { return s.awaitAcknowledgement(ctx, vm, number, slots, acks) })
		}
	}
	go func() { _ = group.Wait(); close(acks) }()
	acked := map[string]bool{self: true}
	hasAcked := func(name string) bool { return acked[name] }
	majority, missing := s.members.Acknowledged(hasAcked)
	for !majority {
		name, ok := <-acks
		if !ok {
			break
		}
		acked[name] = true
		majority, missing = s.members.Acknowledged(hasAcked)
	}
	cancel()
	for range acks { // drain until every query has ended
	}
	result := Result{Status: Stored, Revision: number, Missing: missing}
	if majority && time.Now().Before(deadline) {
		result.Status = Accepted
		count(counterAccepted)
	} else {
		count(counterStoredNotInForce)
	}
	return result
}

// awaitAcknowledgement queries one VM until it has the revision in force, and
// then sends its name to acks. It returns an error when ctx ends first. slots
// limits the concurrent queries.
func (s *Sync) awaitAcknowledgement(ctx context.Context, vm membership.VM, number store.Revision, slots chan struct{}, acks chan<- string) error {
	for {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		count(counterAckQueries)
		reply, err := s.pushOnce(ctx, vm, &PushRequest{Revision: number})
		<-slots
		if err == nil && reply.Revision >= number {
			select {
			case acks <- vm.Name:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if !sleep(ctx, s.settings.AckInterval) {
			return ctx.Err()
		}
	}
}
