package quarantine

import "time"

// Attempt is a request that was sent to a backend server and whose answer has not begun. A
// nil Attempt stands for a request without shared parts.
type Attempt struct {
	tracker *Tracker
	parts   []string
	trial   bool
	began   bool
	cancel  func()
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

// Began records that the answer has begun, which clears all parts of the request.
func (a *Attempt) Began(now time.Time) {
	if a == nil {
		return
	}
	a.began = true
	a.End()
	t := a.tracker
	watched := false
	for _, part := range a.parts {
		hash := hashOf(part)
		t.begun.record(hash, now)
		// The filter is read after the record: evidence that comes between the two finds the
		// record.
		watched = t.watched.Load().has(hash) || watched
	}
	if watched {
		t.clearAll(a.parts, now)
	}
}

// HasBegun reports whether Began was called. It must be called from the same goroutine.
func (a *Attempt) HasBegun() bool { return a != nil && a.began }

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
