package quarantine

import (
	"slices"
	"time"
)

const (
	// MaxTrials is the number of trials of a suspicion, on all nodes together. The rule for such
	// parts leaves three requests for good; one stays in reserve. After that only an operator
	// ends the suspicion.
	MaxTrials = 2
	// trialTime is how long the outcome of a trial is awaited before the next one.
	trialTime = 10 * time.Second
	// minHold and maxHold bound the time for which suspected parts are blocked before one
	// request may try them. It doubles each time that the trial crashes a server.
	minHold = 20 * time.Second
	maxHold = time.Hour
)

// Verdict states whether a request may be sent.
type Verdict struct {
	// Blocked means that the request must not be sent. RetryAfter is when it may be tried
	// again at the earliest.
	Blocked    bool
	RetryAfter time.Duration
	// Trial means that the request may be sent once, to find out whether its parts still
	// crash servers. A trial that is not sent must be given back, see ReturnTrial.
	Trial bool
}

// Check returns the verdict on a request with the given shared parts. It may start a trial; then it
// takes as long as PermitTrial. A trial that was not permitted may be asked for again after trialTime.
func (t *Tracker) Check(now time.Time, parts []string) Verdict {
	if !t.isSuspected(parts) {
		return Verdict{}
	}
	matching, retryAfter := t.reserveTrial(now, boundParts(parts))
	if retryAfter > 0 {
		return Verdict{Blocked: true, RetryAfter: retryAfter}
	}
	for _, s := range matching {
		if t.isArchived() && !s.permitted && !t.PermitTrial(s) {
			return Verdict{Blocked: true, RetryAfter: trialTime}
		}
	}
	t.startTrial(now, matching)
	return Verdict{Trial: len(matching) > 0}
}

// reserveTrial returns copies of the suspicions that match a request. If it may not be tried,
// retryAfter is positive. Otherwise no other request of this node may be tried for trialTime.
func (t *Tracker) reserveTrial(now time.Time, parts []string) (matching []Suspicion, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.list {
		if !s.matches(parts) {
			continue
		}
		s.usedAt = now
		if now.Before(s.HeldUntil) || now.Before(s.TrialUntil) || t.isExhausted(s) {
			s.Blocked++
			retryAfter = max(retryAfter, t.retryAfter(s, now))
		}
		matching = append(matching, *s)
	}
	if retryAfter > 0 {
		return nil, retryAfter
	}
	t.update(matching, func(s *Suspicion) { s.TrialUntil, s.unused = now.Add(trialTime), false })
	t.publish()
	return matching, 0
}

// startTrial records that this node sends a request as a trial.
func (t *Tracker) startTrial(now time.Time, matching []Suspicion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(matching, func(s *Suspicion) {
		if !s.permitted {
			s.Started++
		}
		s.permitted = false
		s.urgentUntil = now.Add(urgentTime)
		t.announcer.due = true
		t.OnChange(TrialStarted, Own, *s)
	})
}

// ReturnTrial gives back the trial of a request with the given parts that was not sent: the next
// request of this node may use it.
func (t *Tracker) ReturnTrial(parts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.list {
		if s.matches(boundParts(parts)) {
			s.permitted, s.TrialUntil = true, time.Time{}
		}
	}
}

// update changes the suspicions of which the given ones are copies, as far as they still exist. t.mu
// must be held.
func (t *Tracker) update(copies []Suspicion, change func(*Suspicion)) {
	for i := range copies {
		for _, s := range t.list {
			if slices.Equal(s.Parts, copies[i].Parts) {
				change(s)
			}
		}
	}
}

// isExhausted reports whether there are no trials left. Without PermitTrial nobody counts those of all
// nodes, and only the pauses between them grow.
func (t *Tracker) isExhausted(s *Suspicion) bool {
	return t.isArchived() && s.Started >= MaxTrials && !s.permitted
}

// retryAfter returns the time until the next trial, at least a second: another node may try
// first, and its result arrives a moment later.
func (t *Tracker) retryAfter(s *Suspicion, now time.Time) time.Duration {
	if t.isExhausted(s) {
		return maxHold
	}
	return max(time.Second, s.HeldUntil.Sub(now), s.TrialUntil.Sub(now))
}

// hold returns how long parts are blocked after a number of trials that failed.
func hold(trials int) time.Duration {
	d := minHold
	for range trials {
		if d *= 2; d >= maxHold {
			return maxHold
		}
	}
	return d
}
