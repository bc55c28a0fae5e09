package quarantine

import (
	"slices"
	"time"
)

const (
	// EvidenceTTL is how long evidence counts.
	EvidenceTTL = 2 * time.Minute
	// storeJitter spreads the writes of the nodes that have evidence for the same suspicion: the
	// first one spares the others.
	storeJitter = 100 * time.Millisecond
	// backupDelay is the time after which the nodes that announce for all write what no other
	// node has written.
	backupDelay = 5 * time.Second
	// storedEvidenceInterval is the time between two losses that a node writes.
	storedEvidenceInterval = 250 * time.Millisecond
)

// StoreWork is what a node has to write to a store that outlives all nodes.
type StoreWork struct {
	// Suspicions have to be written, and the entries of those with the parts in Removed deleted.
	Suspicions []Suspicion
	Removed    [][]string
	// Evidence has to be kept for EvidenceTTL, so that what is known of a part in doubt need not be
	// learned anew.
	Evidence []Evidence
}

// Empty reports whether there is nothing to write.
func (w *StoreWork) Empty() bool { return len(w.Suspicions)+len(w.Removed)+len(w.Evidence) == 0 }

// removal is a suspicion whose entry has to be deleted. If another node has ended it, only backups
// do that, and not before after.
type removal struct {
	parts      []string
	after      time.Time
	backupOnly bool
}

// isArchived reports whether suspicions are kept in a store that outlives all nodes.
func (t *Tracker) isArchived() bool { return t.PermitTrial != nil }

// markUnstored records that the entry of a suspicion has to be written. own is set if this node knows
// what other nodes may not. t.mu must be held.
func (t *Tracker) markUnstored(s *Suspicion, now time.Time, own bool) {
	s.Stored = false
	s.backupAfter = now.Add(backupDelay)
	if own {
		s.storeAfter = now.Add(time.Duration(t.rng.Int64N(int64(storeJitter))))
	}
}

// markRemoved records that the entry of a suspicion has to be deleted. t.mu must be held.
func (t *Tracker) markRemoved(parts []string, now time.Time, source Source) {
	if !t.isArchived() {
		return
	}
	r := removal{parts: parts, after: now, backupOnly: source == Peer}
	if r.backupOnly {
		r.after = now.Add(backupDelay)
	}
	t.removals = append(t.removals, r)
	if len(t.removals) > maxSuspicions {
		t.removals = slices.Delete(t.removals, 0, 1)
	}
}

// DueStoreWork returns what this node has to write now. isBackup is set on the few nodes that write
// what the others have not. Suspicions are returned until StoredAs is called, removals until Deleted
// is, evidence once.
func (t *Tracker) DueStoreWork(now time.Time, isBackup bool) StoreWork {
	var w StoreWork
	if !t.Active() {
		return w
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.list {
		isOwn := !s.storeAfter.IsZero() && !now.Before(s.storeAfter)
		if !s.Stored && (isOwn || isBackup && !now.Before(s.backupAfter)) {
			w.Suspicions = append(w.Suspicions, *s)
		}
	}
	t.removals = slices.DeleteFunc(t.removals, func(r removal) bool {
		isDue := !now.Before(r.after)
		if isDue && (r.backupOnly && !isBackup || t.find(r.parts) != nil) {
			return true
		}
		if isDue {
			w.Removed = append(w.Removed, r.parts)
		}
		return false
	})
	w.Evidence = t.evidenceToStore(now)
	return w
}

// find returns the suspicion with exactly the given parts, or nil. t.mu must be held.
func (t *Tracker) find(parts []string) *Suspicion {
	for _, s := range t.list {
		if slices.Equal(s.Parts, parts) {
			return s
		}
	}
	return nil
}

// evidenceToStore returns a loss that this node noticed and that puts a part in doubt together with
// another crash, the one with most evidence first.
func (t *Tracker) evidenceToStore(now time.Time) []Evidence {
	if now.Sub(t.evidenceStoredAt) < storedEvidenceInterval {
		return nil
	}
	var next *Evidence
	for _, e := range t.evidence {
		if e.own && !e.stored && now.Sub(e.receivedAt) >= settleDelay && t.suspicionOf(e.Parts) == nil &&
			slices.ContainsFunc(e.Parts, t.isRepeated) && (next == nil || t.weight(e) > t.weight(next)) {
			next = e
		}
	}
	if next == nil {
		return nil
	}
	next.stored, t.evidenceStoredAt = true, now
	kept := *next
	kept.Parts = slices.DeleteFunc(t.inDoubt(next), func(part string) bool { return !t.isRepeated(part) })
	return []Evidence{kept}
}

// isRepeated reports whether the part is in doubt because of separate crashes.
func (t *Tracker) isRepeated(part string) bool {
	list := t.doubts[part]
	return slices.ContainsFunc(list, func(e *Evidence) bool { return e.At.Sub(list[0].At).Abs() >= crashSpacing })
}

// StoredAs records that the store holds the suspicion as given.
func (t *Tracker) StoredAs(s *Suspicion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.find(s.Parts); known != nil {
		known.noteStored(s)
	}
}

// noteStored records that the store holds the suspicion as given, with the same parts.
func (s *Suspicion) noteStored(stored *Suspicion) {
	if stored.Started >= s.Started && stored.Trials >= s.Trials {
		s.Stored, s.storeAfter = true, time.Time{}
	}
}

// Deleted records that the store has no entry of a suspicion that has ended.
func (t *Tracker) Deleted(parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removals = slices.DeleteFunc(t.removals, func(r removal) bool { return slices.Equal(r.parts, parts) })
	t.publish()
}

// Forgotten records that the store may have lost what was written to it. For a while other nodes don't
// know that yet.
func (t *Tracker) Forgotten(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.list {
		t.markUnstored(s, now, false)
		s.backupAfter = now
	}
	t.distrustUntil = now.Add(backupDelay)
}

// Restore merges what the store held. The entries of suspicions that have ended since have to be deleted.
func (t *Tracker) Restore(now time.Time, suspicions []Suspicion, evidence []Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range evidence {
		e.stored, e.sends = true, maxSends
		t.addEvidence(now, &e)
	}
	for _, s := range suspicions {
		s.Stored = true
		s.HeldUntil = now.Add(hold(s.Trials))
		if known := t.find(s.Parts); known != nil {
			// Another node has started a trial whose outcome is not known here.
			if s.Started > known.Started {
				known.TrialUntil = now.Add(trialTime)
			}
			s.HeldUntil = known.HeldUntil
		}
		t.merge(now, &s)
		if known := t.find(s.Parts); known != nil {
			known.noteStored(&s)
		} else {
			t.markRemoved(s.Parts, now, Own)
		}
	}
	t.publish()
}
