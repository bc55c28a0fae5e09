package usage

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxTotalsPerMirrorCall limits a mirror message to about 150 KB.
const maxTotalsPerMirrorCall = 2000

// errMirrorRestarted means that the mirror restarted, and lost its totals,
// between two messages of one update.
var errMirrorRestarted = errors.New("usage: mirror restarted during an update")

// Peer is another node.
type Peer struct {
	// ID is the node's stable name or address.
	ID string
	// Incarnation is the incarnation of the peer's running process, "" if not
	// known.
	Incarnation   string
	FailureDomain string
}

// MirrorPicker selects the peers that may hold mirrors.
type MirrorPicker interface {
	// Mirrors returns live peers in other failure domains, in order of
	// preference. The caller must not modify the slice.
	Mirrors() []Peer
}

// MirrorTransport sends totals to a mirror.
type MirrorTransport interface {
	// Mirror returns the incarnation of the peer after the peer has stored the
	// totals.
	Mirror(ctx context.Context, peer Peer, totals []Total) (incarnation string, err error)
}

// RankMirrors returns the peers that may hold mirrors of self in order of
// preference. It excludes peers in the same failure domain and ranks the others
// by rendezvous hashing, so that the choice is stable and the load is balanced.
func RankMirrors(self Peer, peers []Peer) []Peer {
	ranked := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool {
		return p.ID == self.ID || p.FailureDomain == self.FailureDomain
	})
	score := func(p Peer) uint64 { return xxhash.Sum64String(self.ID + "\x00" + p.ID) }
	slices.SortFunc(ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// mirrorState is the recorder's state of one mirror.
type mirrorState struct {
	incarnation string
	// listedIncarnation is the incarnation that membership listed for the peer
	// at its last response. It may differ from the one that responded, because
	// membership lags behind.
	listedIncarnation string
	// ackedVersion is the version up to which the mirror holds this node's own
	// totals.
	ackedVersion uint64
	// failedAt is the time of the last failure, zero after a success.
	failedAt time.Time
}

// restarted reports whether membership lists an incarnation that has not been
// seen before.
func (s *mirrorState) restarted(p Peer) bool {
	return p.Incarnation != "" && p.Incarnation != s.incarnation && p.Incarnation != s.listedIncarnation
}

// Run mirrors additions until ctx ends, and then mirrors the remaining ones in
// a last batch.
func (r *Recorder) Run(ctx context.Context) {
	recheck := time.NewTicker(r.options.RecheckInterval)
	defer recheck.Stop()
	for {
		select {
		case <-r.wake:
			select {
			case <-time.After(r.options.BatchDelay):
			case <-ctx.Done():
			}
		case <-recheck.C:
			if !r.mirrorsChanged() {
				continue
			}
		case <-ctx.Done():
			r.flush()
			return
		}
		r.flush()
	}
}

// mirrorsChanged reports whether a chosen mirror is new, has restarted or has
// failed, or whether some usage is not replicated.
func (r *Recorder) mirrorsChanged() bool {
	_, version := r.options.Ledger.ownChangedSince(^uint64(0))
	if version == 0 {
		return false
	}
	for _, p := range r.chooseMirrors() {
		state := r.mirrors[p.ID]
		if state == nil || state.restarted(p) || !state.failedAt.IsZero() {
			return true
		}
	}
	return r.options.Ledger.Stats().AtRisk != Figures{}
}

// flush closes the open batch, moves the changed totals to the ledger and
// updates the mirrors.
func (r *Recorder) flush() {
	closed := r.openBatch.Swap(newBatch())
	r.batchCount.Add(1)
	r.drainChanges()
	closed.mirrorCount = r.updateMirrors()
	close(closed.done)
}

// drainChanges empties the list of changes and merges the changed totals into the
// ledger.
func (r *Recorder) drainChanges() {
	var totals []Total
	number := r.batchCount.Load()
	for entry := r.changes.Swap(nil); entry != nil; entry = entry.next {
		total := entry.total
		if total.lastBatch == number {
			continue
		}
		total.lastBatch = number
		totals = append(totals, Total{
			Incarnation: r.options.Ledger.incarnation, Workspace: total.workspace, Window: total.window,
			Figures: Figures{total.calls.Load(), total.promptTokens.Load(), total.outputTokens.Load()},
		})
	}
	// A ledger never rejects own totals.
	_ = r.options.Ledger.Merge(totals)
}

// updateMirrors sends updates to the chosen mirrors and returns how many hold
// all own totals.
func (r *Recorder) updateMirrors() int {
	// If a mirror fails, the next candidate is tried once.
	var version uint64
	for range 2 {
		chosen := r.chooseMirrors()
		version = r.sendUpdates(chosen)
		if r.countUpToDate(chosen, version) == len(chosen) {
			break
		}
	}
	mirrors := r.listedMirrors()
	r.updateReplicated(mirrors)
	complete := 0
	for _, state := range mirrors {
		if state.ackedVersion >= version {
			complete++
		}
	}
	return complete
}

// HandOver sends the totals that this node mirrors for other nodes to two
// peers, so that a planned stop doesn't remove a copy of the usage of a node
// that is gone. It must be called after Run has returned. It returns how many
// peers accepted all totals.
func (r *Recorder) HandOver(ctx context.Context) (accepted int) {
	totals := r.options.Ledger.otherTotals()
	for _, p := range r.chooseMirrors() {
		if _, err := r.sendTotals(ctx, p, totals); err == nil {
			accepted++
		}
	}
	return accepted
}

// listedMirrors returns the states of all listed peers that have received
// totals. A peer that is unreachable still counts until it is no longer listed
// or is listed with another incarnation.
func (r *Recorder) listedMirrors() []*mirrorState {
	var mirrors []*mirrorState
	for _, p := range r.options.Mirrors.Mirrors() {
		if s := r.mirrors[p.ID]; s != nil && !s.restarted(p) {
			mirrors = append(mirrors, s)
		}
	}
	return mirrors
}

// countUpToDate returns how many of the chosen mirrors hold the own totals up to
// version.
func (r *Recorder) countUpToDate(chosen []Peer, version uint64) int {
	n := 0
	for _, p := range chosen {
		if s := r.mirrors[p.ID]; s != nil && s.failedAt.IsZero() && s.ackedVersion >= version {
			n++
		}
	}
	return n
}

// chooseMirrors chooses two candidates, in different failure domains if
// possible. Candidates that failed recently are excluded even if too few are
// left, so that a response never waits for the timeout of a mirror that is
// known to be unreachable.
func (r *Recorder) chooseMirrors() []Peer {
	candidates := r.options.Mirrors.Mirrors()
	failed := func(p Peer) bool {
		s := r.mirrors[p.ID]
		return s != nil && !s.failedAt.IsZero() && time.Since(s.failedAt) < r.options.Backoff
	}
	var chosen []Peer
	for _, sameDomain := range []bool{false, true} {
		for _, p := range candidates {
			if len(chosen) == requiredMirrors {
				return chosen
			}
			alreadyChosen := slices.ContainsFunc(chosen, func(c Peer) bool { return c.ID == p.ID })
			sharesDomain := slices.ContainsFunc(chosen, func(c Peer) bool { return c.FailureDomain == p.FailureDomain })
			if !alreadyChosen && sharesDomain == sameDomain && !failed(p) {
				chosen = append(chosen, p)
			}
		}
	}
	return chosen
}

// sendUpdates updates the chosen mirrors in parallel. It returns the version
// that each of them now holds unless its update failed.
func (r *Recorder) sendUpdates(chosen []Peer) uint64 {
	_, version := r.options.Ledger.ownChangedSince(^uint64(0))
	var wg sync.WaitGroup
	for _, p := range chosen {
		state := r.mirrors[p.ID]
		if state == nil {
			state = &mirrorState{}
			r.mirrors[p.ID] = state
		}
		if state.restarted(p) {
			state.ackedVersion = 0
		}
		if version > 0 {
			wg.Go(func() { r.sendUpdate(p, state) })
		}
	}
	wg.Wait()
	return version
}

// sendUpdate sends one mirror the totals that it lacks. A mirror that responds
// with a new incarnation has lost its totals and gets all of them. A mirror
// that lacks nothing is called as well, because it may have restarted without
// membership listing that yet.
func (r *Recorder) sendUpdate(p Peer, state *mirrorState) {
	ctx, cancel := context.WithTimeout(context.Background(), r.options.MirrorTimeout)
	defer cancel()
	for range 2 {
		totals, version := r.options.Ledger.ownChangedSince(state.ackedVersion)
		first := state.ackedVersion == 0
		incarnation, err := r.sendTotals(ctx, p, totals)
		if err != nil {
			state.failedAt = time.Now()
			return
		}
		memoryLost := incarnation != state.incarnation
		state.incarnation, state.listedIncarnation = incarnation, p.Incarnation
		if memoryLost && !first {
			state.ackedVersion = 0
			continue
		}
		state.ackedVersion, state.failedAt = version, time.Time{}
		return
	}
}

// sendTotals sends totals to a peer, if necessary in several messages, and returns
// the incarnation that responded.
func (r *Recorder) sendTotals(ctx context.Context, p Peer, totals []Total) (incarnation string, err error) {
	if len(totals) == 0 {
		return r.options.Transport.Mirror(ctx, p, nil)
	}
	for chunk := range slices.Chunk(totals, maxTotalsPerMirrorCall) {
		current, err := r.options.Transport.Mirror(ctx, p, chunk)
		if err != nil {
			return "", err
		}
		if incarnation != "" && current != incarnation {
			return "", errMirrorRestarted
		}
		incarnation = current
		r.sentTotals.Add(uint64(len(chunk)))
	}
	return incarnation, nil
}

// updateReplicated updates in the ledger which own totals are replicated.
func (r *Recorder) updateReplicated(mirrors []*mirrorState) {
	var highest, secondHighest uint64
	for _, s := range mirrors {
		highest, secondHighest = max(highest, s.ackedVersion), max(secondHighest, min(highest, s.ackedVersion))
	}
	switch {
	case secondHighest > r.replicatedVersion:
		r.options.Ledger.markReplicated(r.replicatedVersion, secondHighest)
	case secondHighest < r.replicatedVersion:
		r.options.Ledger.markUnreplicated(secondHighest)
	}
	r.replicatedVersion = secondHighest
}
