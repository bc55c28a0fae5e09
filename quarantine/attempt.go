package quarantine

import "time"

// Attempt is a request that was sent to a backend server. A nil Attempt stands for a request
// without shared parts. Its methods must be called from one goroutine.
type Attempt struct {
	tracker *Tracker
	parts   []string
	trial   bool
	// begunAt is when the answer began; zero before.
	begunAt time.Time
	// proven is set once the answer has shown that its parts crash no server.
	proven bool
	cancel func()
}

// Start registers an attempt before it is sent. cancel is called, at most from one goroutine
// at a time, when the parts become suspected before the answer begins; it must not block.
// Start returns false if the attempt must not be sent.
func (t *Tracker) Start(parts []string, trial bool, cancel func()) (*Attempt, bool) {
	if len(parts) == 0 {
		return nil, true
	}
	a := &Attempt{tracker: t, parts: boundParts(parts), trial: trial, cancel: cancel}
	// The check follows the registration: a suspicion that comes between the two finds the
	// attempt.
	t.attempts.Store(a, nil)
	if !trial && t.isSuspected(parts) {
		a.End()
		return nil, false
	}
	return a, true
}

// Arrived records that a piece of the answer has arrived. From the first one on the attempt is not
// canceled any more. A piece that comes provenAfter later proves the parts sound.
func (a *Attempt) Arrived(now time.Time) {
	switch {
	case a == nil:
	case a.begunAt.IsZero():
		a.begunAt = now
		a.End()
	case now.Sub(a.begunAt) >= provenAfter:
		a.prove(now)
	}
}

// Completed records that the answer is complete. If there were pieces of it, that proves the parts
// sound.
func (a *Attempt) Completed(now time.Time) {
	if a != nil && !a.begunAt.IsZero() {
		a.prove(now)
	}
}

// IsProven reports whether the parts have proved sound: that the server crashes now has another
// reason.
func (a *Attempt) IsProven() bool { return a != nil && a.proven }

// prove clears all parts of the request.
func (a *Attempt) prove(now time.Time) {
	if a.proven {
		return
	}
	a.proven = true
	t := a.tracker
	watched := false
	for _, part := range a.parts {
		hash := hashOf(part)
		t.proven.record(hash, now)
		// The filter is read after the record: evidence that comes between the two finds the
		// record.
		watched = t.watched.Load().has(hash) || watched
	}
	if watched {
		t.clearAll(a.parts, now)
	}
}

// clearAll clears those of the given parts that are in doubt or suspected.
func (t *Tracker) clearAll(parts []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		if t.isRelevant(part) {
			t.clear(part, now, now, Own)
		}
	}
	t.publish()
}

// End ends the registration of an attempt. Calls after the first have no effect.
func (a *Attempt) End() {
	if a != nil {
		a.tracker.attempts.Delete(a)
	}
}
