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

// maxTotalsPerMirrorCall bounds the size of one mirror message to about 150 KB.
const maxTotalsPerMirrorCall = 2000

// errMirrorRestarted means that the mirror lost its memory between two parts of
// one update.
var errMirrorRestarted = errors.New("usage: mirror restarted during an update")

// Peer is another node.
type Peer struct {
	// ID is the node's stable name or address.
	ID string
	// Incarnation is that of the peer's running process if known, else "".
	Incarnation   string
	FailureDomain string
}

// MirrorPicker names the peers that may hold mirrors.
type MirrorPicker interface {
	// Mirrors returns live peers in other failure domains, the preferred ones
	// first. The caller doesn't change the slice.
	Mirrors() []Peer
}

// MirrorTransport sends totals to a mirror.
type MirrorTransport interface {
	// Mirror returns the incarnation of the peer once it holds the totals.
	Mirror(ctx context.Context, peer Peer, totals []Total) (incarnation string, err error)
}

// RankMirrors orders the peers that may hold mirrors of self: those of other
// failure domains, by rendezvous hashing, so that the choice is stable and the
// load is even.
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

// mirrorState is what the recorder knows of one mirror.
type mirrorState struct {
	incarnation string
	// listed is the incarnation that the peer was listed with when it last
	// answered. The list lags, so it may differ from the one that answered.
	listed string
	// acked is the version up to which the mirror holds the own totals.
	acked uint64
	// failedAt is the time of the last failure, or zero.
	failedAt time.Time
}

// replaced reports whether the list names an incarnation that is news.
func (s *mirrorState) replaced(p Peer) bool {
	return p.Incarnation != "" && p.Incarnation != s.incarnation && p.Incarnation != s.listed
}

// Run mirrors additions until ctx ends. Additions made before that are
// mirrored by a last batch.
func (r *Recorder) Run(ctx context.Context) {
	recheck := time.NewTicker(r.options.Recheck)
	defer recheck.Stop()
	for {
		select {
		case <-r.kick:
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

// mirrorsChanged reports whether a mirror that holds totals is gone, restarted
// or behind.
func (r *Recorder) mirrorsChanged() bool {
	_, version := r.options.Ledger.ownAfter(^uint64(0))
	if version == 0 {
		return false
	}
	for _, p := range r.choose() {
		state := r.peers[p.ID]
		if state == nil || state.replaced(p) || !state.failedAt.IsZero() {
			return true
		}
	}
	return r.options.Ledger.Stats().AtRisk != Figures{}
}

// flush closes the open batch, moves the changed cells to the ledger and sends
// each mirror what it lacks.
func (r *Recorder) flush() {
	b := r.open.Swap(newBatch())
	r.batches.Add(1)
	r.drainCells()
	b.mirrors = r.mirrorAll()
	close(b.done)
}

func (r *Recorder) drainCells() {
	var totals []Total
	number := r.batches.Load()
	for entry := r.dirty.Swap(nil); entry != nil; entry = entry.next {
		c := entry.cell
		if c.batch == number {
			continue
		}
		c.batch = number
		totals = append(totals, Total{
			Incarnation: r.options.Ledger.incarnation, Workspace: c.workspace, Window: c.window,
			Figures: Figures{c.calls.Load(), c.prompt.Load(), c.output.Load()},
		})
	}
	// Own totals are never refused.
	_ = r.options.Ledger.Mirror(totals)
}

// mirrorAll brings the chosen mirrors up to date and returns how many hold all
// own totals.
func (r *Recorder) mirrorAll() int {
	// A mirror that fails is replaced by the next candidate once.
	var version uint64
	for range 2 {
		chosen := r.choose()
		version = r.sendTo(chosen)
		if r.upToDate(chosen, version) == len(chosen) {
			break
		}
	}
	holders := r.holders()
	r.updateSafe(holders)
	held := 0
	for _, state := range holders {
		if state.acked >= version {
			held++
		}
	}
	return held
}

// HandOver sends the totals that this node mirrors for others to two peers, so
// that a planned stop does not cost a copy of the usage of a node that is gone.
// It is called after Run has returned, and returns how many peers took all of
// them.
func (r *Recorder) HandOver(ctx context.Context) (took int) {
	totals := r.options.Ledger.mirrored()
	for _, p := range r.choose() {
		if _, err := r.send(ctx, p, totals); err == nil {
			took++
		}
	}
	return took
}

// holders returns the states of all listed peers that have taken totals. One
// that can't be reached now still counts, until it is no longer listed or is
// listed with another incarnation.
func (r *Recorder) holders() []*mirrorState {
	var holders []*mirrorState
	for _, p := range r.options.Mirrors.Mirrors() {
		if s := r.peers[p.ID]; s != nil && !s.replaced(p) {
			holders = append(holders, s)
		}
	}
	return holders
}

func (r *Recorder) upToDate(chosen []Peer, version uint64) int {
	n := 0
	for _, p := range chosen {
		if s := r.peers[p.ID]; s != nil && s.failedAt.IsZero() && s.acked >= version {
			n++
		}
	}
	return n
}

// choose picks two candidates, in two failure domains if possible. Those that
// failed recently are passed over even if too few are left: an answer must not
// wait for the time-out of a mirror that is known to be unreachable.
func (r *Recorder) choose() []Peer {
	candidates := r.options.Mirrors.Mirrors()
	failed := func(p Peer) bool {
		s := r.peers[p.ID]
		return s != nil && !s.failedAt.IsZero() && time.Since(s.failedAt) < r.options.Backoff
	}
	var chosen []Peer
	for _, sameDomain := range []bool{false, true} {
		for _, p := range candidates {
			if len(chosen) == wantedMirrors {
				return chosen
			}
			known := slices.ContainsFunc(chosen, func(c Peer) bool { return c.ID == p.ID })
			shared := slices.ContainsFunc(chosen, func(c Peer) bool { return c.FailureDomain == p.FailureDomain })
			if !known && shared == sameDomain && !failed(p) {
				chosen = append(chosen, p)
			}
		}
	}
	return chosen
}

// sendTo sends each peer in parallel what it lacks, and returns the version
// that they now hold unless they failed.
func (r *Recorder) sendTo(chosen []Peer) uint64 {
	_, version := r.options.Ledger.ownAfter(^uint64(0))
	var wg sync.WaitGroup
	for _, p := range chosen {
		state := r.peers[p.ID]
		if state == nil {
			state = &mirrorState{}
			r.peers[p.ID] = state
		}
		if state.replaced(p) {
			state.acked = 0
		}
		if version > 0 {
			wg.Go(func() { r.update(p, state) })
		}
	}
	wg.Wait()
	return version
}

// update sends one mirror what it lacks. A mirror whose incarnation differs
// from before has lost its memory and gets everything. One that lacks nothing is
// called all the same, because membership may not know yet that it restarted.
func (r *Recorder) update(p Peer, state *mirrorState) {
	ctx, cancel := context.WithTimeout(context.Background(), r.options.MirrorTimeout)
	defer cancel()
	for range 2 {
		totals, version := r.options.Ledger.ownAfter(state.acked)
		first := state.acked == 0
		incarnation, err := r.send(ctx, p, totals)
		if err != nil {
			state.failedAt = time.Now()
			return
		}
		restarted := incarnation != state.incarnation
		state.incarnation, state.listed = incarnation, p.Incarnation
		if restarted && !first {
			state.acked = 0
			continue
		}
		state.acked, state.failedAt = version, time.Time{}
		return
	}
}

func (r *Recorder) send(ctx context.Context, p Peer, totals []Total) (incarnation string, err error) {
	if len(totals) == 0 {
		return r.options.Transport.Mirror(ctx, p, nil)
	}
	for chunk := range slices.Chunk(totals, maxTotalsPerMirrorCall) {
		got, err := r.options.Transport.Mirror(ctx, p, chunk)
		if err != nil {
			return "", err
		}
		if incarnation != "" && got != incarnation {
			return "", errMirrorRestarted
		}
		incarnation = got
		r.sent.Add(uint64(len(chunk)))
	}
	return incarnation, nil
}

// updateSafe tells the ledger which own totals two mirrors hold.
func (r *Recorder) updateSafe(holders []*mirrorState) {
	var most, safe uint64
	for _, s := range holders {
		most, safe = max(most, s.acked), max(safe, min(most, s.acked))
	}
	switch {
	case safe > r.safeVersion:
		r.options.Ledger.markSafe(r.safeVersion, safe)
	case safe < r.safeVersion:
		r.options.Ledger.markUnsafe(safe)
	}
	r.safeVersion = safe
}
