package quarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Change is a kind of change of the suspicions.
type Change string

// The kinds of change.
const (
	// Suspected means that a suspicion is new on this node.
	Suspected Change = "suspected"
	// Narrowed means that parts were removed because answers had proved them sound.
	Narrowed Change = "narrowed"
	// Lifted means that no part is left or that an operator lifted the suspicion.
	Lifted Change = "lifted"
	// TrialStarted means that this node sends one blocked request as a trial.
	TrialStarted Change = "trial"
	// Crashed means that another server crashed on the parts.
	Crashed Change = "crashed"
	// Dropped means that the suspicion was forgotten because there were too many.
	Dropped Change = "dropped"
)

// Source names who caused a change.
type Source string

// The sources.
const (
	// Own is this node, from evidence that it noticed or received.
	Own Source = "own"
	// Peer is another node that announced the result.
	Peer Source = "peer"
	// Operator is an operator's call.
	Operator Source = "operator"
)

// Tracker holds the evidence and the suspicions of one node. Its methods may be called from
// any goroutine. Requests read its state without a lock as long as nothing is suspected.
type Tracker struct {
	// OnChange is called after each change. It must be set before the first use and must
	// not block or call the tracker.
	OnChange func(c Change, source Source, s Suspicion)
	// PermitTrial reports whether this node may start a trial of a suspicion: all nodes together
	// have a limited number of them. It is nil if no store counts them and keeps the suspicions. It
	// must be set before the first use and must not call Check.
	PermitTrial func(s Suspicion) bool

	// suspected holds the current suspicions and is replaced, never changed. watched holds the
	// parts for which a proof matters; parts are only added to it. Both are nil if
	// there are none.
	suspected atomic.Pointer[suspectedSet]
	watched   atomic.Pointer[partFilter]
	// active is set while Tick or DueUpdate have something to do.
	active atomic.Bool
	// activated receives a value when the tracker becomes active.
	activated chan struct{}
	// attempts holds the *Attempt whose answers have not begun.
	attempts sync.Map
	proven   provenParts

	mu  sync.Mutex
	rng *rand.Rand
	// evidence holds the losses that put a part in doubt, evidenceParts is the number of their
	// parts, and doubts holds them by the parts that are in doubt. incomplete holds those of which
	// pieces are missing.
	evidence      []*Evidence
	evidenceParts int
	doubts        map[string][]*Evidence
	incomplete    map[evidenceID]*Evidence
	cleared       map[string]clearance
	crashes       crashTimes
	list          []*Suspicion
	// suspectedParts holds the parts of all suspicions.
	suspectedParts map[string]bool
	announcer      announcer
	removals       []removal
	// evidenceStoredAt is when this node last passed evidence on to be stored.
	evidenceStoredAt time.Time
	// distrustUntil is until when other nodes may state that the store holds what it has lost.
	distrustUntil time.Time
	// listStale is set while suspected doesn't match list, filterStale while watched holds
	// parts that don't matter any more.
	listStale, filterStale bool
	// judged is set while no part can become a suspect without new evidence.
	judged bool
}

// NewTracker returns a tracker without suspicions. The seed spreads what several nodes send;
// it should differ between nodes.
func NewTracker(seed uint64) *Tracker {
	return &Tracker{
		rng: rand.New(rand.NewPCG(seed, 0)), activated: make(chan struct{}, 1), proven: provenParts{start: time.Now()},
		doubts: make(map[string][]*Evidence), incomplete: make(map[evidenceID]*Evidence), cleared: make(map[string]clearance),
		suspectedParts: make(map[string]bool), OnChange: func(Change, Source, Suspicion) {},
	}
}

// isSuspected reports whether a suspicion matches the parts. It takes no lock.
func (t *Tracker) isSuspected(parts []string) bool {
	return t.suspected.Load().matches(boundParts(parts))
}

// recordCrash extends the suspicion after another crash. A crash in a trial doubles the
// hold.
func (t *Tracker) recordCrash(s *Suspicion, now time.Time, e *Evidence) {
	if !now.Before(s.HeldUntil) {
		s.Trials++
	}
	s.Crashes++
	s.LastCrash, s.usedAt, s.TrialUntil = e.At, now, time.Time{}
	s.HeldUntil = now.Add(hold(s.Trials))
	t.markUnstored(s, now, e.own)
	if e.own {
		s.urgentUntil = now.Add(urgentTime)
	}
}

// suspicionOf returns the suspicion that matches a request, or nil. t.mu must be held.
func (t *Tracker) suspicionOf(parts []string) *Suspicion {
	for _, s := range t.list {
		if s.matches(parts) {
			return s
		}
	}
	return nil
}

// Active reports whether Tick and DueUpdate have something to do.
func (t *Tracker) Active() bool { return t.active.Load() }

// needsTicks reports whether there is evidence that was not cleared, a suspicion, or something
// to send. t.mu must be held.
func (t *Tracker) needsTicks() bool {
	if len(t.evidence)+len(t.removals) > 0 || slices.ContainsFunc(t.list, func(s *Suspicion) bool { return !s.unused }) {
		return true
	}
	for _, c := range t.cleared {
		if !c.announceAfter.IsZero() {
			return true
		}
	}
	return false
}

// Tick suspects parts whose evidence has settled and drops what is outdated. It should be
// called several times a second.
func (t *Tracker) Tick(now time.Time) {
	if !t.Active() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeEvidence(func(e *Evidence) bool { return now.Sub(e.At) > EvidenceTTL })
	t.crashes.forgetBefore(now.Add(-EvidenceTTL))
	maps.DeleteFunc(t.incomplete, func(_ evidenceID, e *Evidence) bool { return now.Sub(e.At) > EvidenceTTL })
	t.markUnused(now)
	t.pruneCleared(now)
	t.judge(now)
	t.publish()
	t.refreshFilter()
}

// markUnused finds the suspicions that no request has met for long. t.mu must be held.
func (t *Tracker) markUnused(now time.Time) {
	for _, s := range t.list {
		s.unused = (s.Stored || !t.isArchived()) && now.Sub(s.HeldUntil) > unusedAfter && now.Sub(s.usedAt) > unusedAfter
	}
}

// judge adds the suspicions that follow from the evidence. t.mu must be held.
func (t *Tracker) judge(now time.Time) {
	for range maxSuspicions {
		if t.judged {
			return
		}
		suspect, waiting := mostSuspect(t.collect(), now)
		if suspect == nil {
			t.judged = !waiting
			return
		}
		t.add(now, t.suspicion(suspect, now), Own)
	}
}

// add adds a suspicion unless one with fewer parts exists, and removes those with more.
// t.mu must be held.
func (t *Tracker) add(now time.Time, s *Suspicion, source Source) {
	if t.suspicionOf(s.Parts) != nil {
		return
	}
	t.list = slices.DeleteFunc(t.list, func(old *Suspicion) bool {
		wider := containsAll(old.Parts, s.Parts)
		if wider {
			s.Started, s.Trials = max(s.Started, old.Started), max(s.Trials, old.Trials)
			t.markRemoved(old.Parts, now, source)
		}
		return wider
	})
	if len(t.list) >= maxSuspicions {
		oldest := slices.MinFunc(t.list, func(a, b *Suspicion) int { return a.usedAt.Compare(b.usedAt) })
		t.list = slices.DeleteFunc(t.list, func(old *Suspicion) bool { return old == oldest })
		t.markRemoved(oldest.Parts, now, source)
		t.OnChange(Dropped, Own, *oldest)
	}
	t.list = append(t.list, s)
	t.listChanged()
	t.announcer.due = true
	t.OnChange(Suspected, source, *s)
}

// publish replaces what requests read. If there are other suspicions, it ends the attempts that are
// blocked now. t.mu must be held.
func (t *Tracker) publish() {
	t.active.Store(t.needsTicks())
	if t.Active() {
		select {
		case t.activated <- struct{}{}:
		default:
		}
	}
	if !t.listStale {
		return
	}
	t.listStale = false
	t.suspected.Store(newSuspectedSet(t.list, t.suspectedParts))
	if len(t.list) == 0 {
		return
	}
	t.attempts.Range(func(key, _ any) bool {
		if a := key.(*Attempt); !a.trial && t.suspicionOf(a.parts) != nil {
			a.cancel()
		}
		return true
	})
}

// listChanged records that a suspicion was added, changed or removed.
func (t *Tracker) listChanged() {
	t.listStale, t.filterStale = true, true
	t.suspectedParts = make(map[string]bool)
	for _, s := range t.list {
		for _, part := range s.Parts {
			t.suspectedParts[part] = true
			t.watch(part)
		}
	}
}

// watch makes the proof of a part known to the tracker.
func (t *Tracker) watch(part string) {
	f := t.watched.Load()
	if f == nil {
		f = &partFilter{}
		t.watched.Store(f)
	}
	f.add(hashOf(part))
}

// refreshFilter removes the parts from the filter that don't matter any more. t.mu must be held.
func (t *Tracker) refreshFilter() {
	if !t.filterStale {
		return
	}
	t.filterStale = false
	if len(t.doubts) == 0 && len(t.suspectedParts) == 0 {
		t.watched.Store(nil)
		return
	}
	f := &partFilter{}
	for part := range t.doubts {
		f.add(hashOf(part))
	}
	for part := range t.suspectedParts {
		f.add(hashOf(part))
	}
	t.watched.Store(f)
}

// Suspicions returns the current suspicions, the oldest first.
func (t *Tracker) Suspicions() []Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Suspicion, 0, len(t.list))
	for _, s := range t.list {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b Suspicion) int { return a.Since.Compare(b.Since) })
	return list
}
