package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// suspect makes a tracker suspect the parts by separate crashes and returns the time.
func suspect(t *Tracker, now time.Time, parts ...string) time.Time {
	for i := range uint64(minCrashes) {
		t.Crash(now, Evidence{Request: 100 + i, Server: 200 + i, Parts: parts, At: now})
		now = now.Add(settleDelay)
	}
	t.Tick(now)
	return now
}

// blocked reports whether a request with the parts is blocked.
func blocked(t *Tracker, now time.Time, parts ...string) bool { return t.Check(now, parts).Blocked }

// complete records a short and complete answer.
func complete(a *Attempt, now time.Time) {
	a.Arrived(now)
	a.Completed(now)
}

// TestTrialLiftsOrProlongsSuspicion guards against a suspicion that is never lifted, or whose
// parts are tried by many requests at once or again and again at the same pace.
func TestTrialLiftsOrProlongsSuspicion(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(1)
	now := suspect(tracker, time.Now(), "bad")
	is.True(blocked(tracker, now, "bad"))
	is.True(tracker.Check(now, []string{"bad"}).RetryAfter > minHold/2)
	now = now.Add(minHold)
	is.True(tracker.Check(now, []string{"bad"}).Trial)
	is.True(blocked(tracker, now, "bad")) // one trial at a time
	now = now.Add(time.Second)
	tracker.Crash(now, Evidence{Request: 1, Server: 1, Parts: []string{"bad"}, At: now})
	now = now.Add(minHold + time.Second)
	is.True(blocked(tracker, now, "bad")) // twice the time
	now = now.Add(minHold)
	is.True(tracker.Check(now, []string{"bad"}).Trial)
	attempt, ok := tracker.Start([]string{"bad"}, true, func() { t.Error("the trial was canceled") })
	is.True(ok)
	tracker.Tick(now)
	now = now.Add(time.Second)
	attempt.Arrived(now)
	is.Equal(len(tracker.Suspicions()), 1) // the server may crash yet
	attempt.Arrived(now.Add(provenAfter))
	is.Equal(len(tracker.Suspicions()), 0)
	is.True(!blocked(tracker, now.Add(provenAfter), "bad"))
}

// TestTrialWithoutOutcomeIsRepeated guards against a suspicion that stands for ever because
// the request of the trial was refused or lost for another reason.
func TestTrialWithoutOutcomeIsRepeated(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(1)
	now := suspect(tracker, time.Now(), "bad").Add(minHold)
	is.True(tracker.Check(now, []string{"bad"}).Trial)
	now = now.Add(trialTime)
	is.True(tracker.Check(now, []string{"bad"}).Trial)
}

// TestOnlyRequestsWithAllPartsAreBlocked guards against sound requests that share one part
// with the crashing ones, and against a suspicion that stays too wide after answers have
// shown which part is sound.
func TestOnlyRequestsWithAllPartsAreBlocked(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(1)
	now := suspect(tracker, time.Now(), "first", "subject", "bad")
	is.True(blocked(tracker, now, "first", "subject", "bad"))
	is.True(!blocked(tracker, now, "first", "subject"))
	is.True(!blocked(tracker, now, "first", "other", "bad"))
	attempt, ok := tracker.Start([]string{"first", "subject"}, false, func() {})
	is.True(ok)
	complete(attempt, now.Add(time.Millisecond))
	is.Equal(tracker.Suspicions()[0].Parts, []string{"bad"})
	is.True(blocked(tracker, now, "first", "other", "bad"))
}

// TestWaitingAttemptsAreCanceled guards against requests that were sent before the parts
// became suspected and crash servers afterwards.
func TestWaitingAttemptsAreCanceled(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(1)
	canceled, soundCanceled := false, false
	_, ok := tracker.Start([]string{"first", "bad"}, false, func() { canceled = true })
	is.True(ok)
	_, ok = tracker.Start([]string{"first"}, false, func() { soundCanceled = true })
	is.True(ok)
	suspect(tracker, time.Now(), "bad")
	is.True(canceled)
	is.True(!soundCanceled)
	_, ok = tracker.Start([]string{"bad"}, false, func() {})
	is.True(!ok) // checked before the suspicion, sent after it
}

// TestRetriesOfOneRequestAreNoProof guards against a sound request that is retried on one
// crashing server after the other and is blamed for their crashes.
func TestRetriesOfOneRequestAreNoProof(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(1)
	now := time.Now()
	for i := range uint64(10) {
		tracker.Crash(now, Evidence{Request: 1, Server: i, Parts: []string{"sound"}, At: now})
		now = now.Add(time.Second)
		tracker.Tick(now)
	}
	is.Equal(len(tracker.Suspicions()), 0)
}

// TestServersLostTogetherAreOneCrash guards against blaming the requests that waited on the
// servers of a failure domain when all of it is lost.
func TestServersLostTogetherAreOneCrash(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(1)
	now := time.Now()
	for i := range uint64(50) {
		tracker.Crash(now, Evidence{Request: i, Server: i, Parts: []string{"first"}, At: now.Add(time.Duration(i) * time.Millisecond)})
	}
	tracker.Tick(now.Add(time.Minute))
	is.Equal(len(tracker.Suspicions()), 0)
}

// TestLiftReachesOtherNodes guards against an operator's decision that holds on one node, or
// only until the next announcement of a node that has missed it.
func TestLiftReachesOtherNodes(t *testing.T) {
	is := is.New(t)
	a, b := NewTracker(1), NewTracker(2)
	now := suspect(a, time.Now(), "x", "y")
	stale := a.State()
	b.Apply(now, stale)
	is.True(blocked(b, now, "x", "y"))
	now = now.Add(time.Second)
	is.True(a.Lift(now, "x"))
	is.True(!a.Lift(now, "x"))
	now = now.Add(announceJitter)
	b.Apply(now, a.DueUpdate(now, false))
	is.True(!blocked(b, now, "x", "y"))
	b.Apply(now, stale)
	is.True(!blocked(b, now, "x", "y"))
	now = now.Add(announceJitter)
	is.Equal(len(b.DueUpdate(now, false).Clearances), 2) // tells the stale node
}

// TestServedPartsAreNotSuspected guards against a node that was cut off from the servers, takes
// what it serves for crashing, and makes the other nodes refuse it.
func TestServedPartsAreNotSuspected(t *testing.T) {
	is := is.New(t)
	cut, other := NewTracker(1), NewTracker(2)
	start := time.Now()
	now := suspect(cut, start, "first")
	attempt, _ := other.Start([]string{"first", "subject"}, false, func() { t.Error("canceled") })
	complete(attempt, start.Add(settleDelay)) // nothing was known against the part
	other.Apply(now, cut.State())
	is.Equal(len(other.Suspicions()), 0)
	now = now.Add(announceJitter)
	cut.Apply(now, other.DueUpdate(now, false))
	is.Equal(len(cut.Suspicions()), 0)
}

// TestClearanceOutweighsLaterStaleEvidence guards against evidence that arrives after the
// answer that has cleared its parts.
func TestClearanceOutweighsLaterStaleEvidence(t *testing.T) {
	is := is.New(t)
	a, b := NewTracker(1), NewTracker(2)
	start := time.Now()
	now := suspect(a, start, "part")
	evidence := a.DueUpdate(now, false)
	is.Equal(len(evidence.Evidence), int(minCrashes))
	b.Apply(now, Update{Evidence: evidence.Evidence[:1]})
	attempt, _ := b.Start([]string{"part"}, false, func() {})
	complete(attempt, now.Add(time.Second))
	b.Apply(now.Add(2*time.Second), evidence)
	b.Tick(now.Add(3 * time.Second))
	is.Equal(len(b.Suspicions()), 0)
}

// TestProofHoldsForASecond guards against a sound part that is blamed because all servers were lost just
// after it had proved sound, and against a proof that hides a part which turns bad.
func TestProofHoldsForASecond(t *testing.T) {
	is := is.New(t)
	for _, after := range []time.Duration{0, proofValidity - time.Millisecond, proofValidity + time.Millisecond} {
		tracker := NewTracker(1)
		now := time.Now()
		attempt, _ := tracker.Start([]string{"part"}, false, func() {})
		complete(attempt, now)
		now = now.Add(after)
		tracker.Crash(now, Evidence{Request: 1, Server: 1, Parts: []string{"part"}, At: now})
		is.Equal(tracker.EvidenceCount() == 0, after < proofValidity)
	}
}

// TestClearancesAreSentTwice guards against a node that blames a sound part because one message was lost.
func TestClearancesAreSentTwice(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(1)
	now := time.Now()
	for i := range uint64(minAnnouncedEvidence) {
		tracker.Crash(now, Evidence{Request: i, Server: i, Parts: []string{"sound"}, At: now})
	}
	attempt, _ := tracker.Start([]string{"sound"}, false, func() {})
	complete(attempt, now)
	var sentAt []time.Duration
	for after := time.Duration(0); after < 2*time.Second; after += 10 * time.Millisecond {
		if len(tracker.DueUpdate(now.Add(after), false).Clearances) > 0 {
			sentAt = append(sentAt, after)
		}
	}
	is.Equal(len(sentAt), maxSends)
	is.True(sentAt[0] <= announceJitter)
	is.True(sentAt[1] >= sentAt[0]+repeatDelay)
}

// TestLossCountsOnceAllPiecesHaveArrived guards against a suspicion of the wrong parts because some of those
// that the lost requests shared are still on their way.
func TestLossCountsOnceAllPiecesHaveArrived(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(1)
	now := time.Now()
	piece := func(parts ...string) Update {
		return Update{Evidence: []Evidence{{Request: 1, Server: 1, Parts: parts, PartCount: 5, At: now}}}
	}
	tracker.Apply(now, piece("a", "b"))
	tracker.Apply(now, piece("a", "b")) // once more
	tracker.Apply(now, piece("e"))
	is.Equal(tracker.EvidenceCount(), 0)
	tracker.Apply(now, piece("c", "d"))
	is.Equal(tracker.EvidenceCount(), 1)
	is.Equal(len(tracker.evidence[0].Parts), 5)
	is.Equal(len(tracker.incomplete), 0)
}

// TestManyOtherCrashesRequireMoreOfAPart guards against a rare sound part that is blamed where servers crash
// often, and against a bad one that is never found out there. The load: between two crashes with the part
// there is another one.
func TestManyOtherCrashesRequireMoreOfAPart(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(1)
	now := time.Now()
	for crash := 1; crash <= maxCrashes; crash++ {
		id := uint64(2 * crash)
		tracker.Crash(now, Evidence{Request: id, Server: id, Parts: []string{"rare"}, At: now})
		now = now.Add(settleDelay)
		tracker.Tick(now)
		is.Equal(blocked(tracker, now, "rare"), crash == maxCrashes)
		tracker.Crash(now, Evidence{Request: id + 1, Server: id + 1, Parts: []string{fmt.Sprint("other", crash)}, At: now})
		now = now.Add(settleDelay)
	}
}

// TestOneCrashKeepsEarlierEvidence guards against a crash with many waiting requests that pushes out
// the evidence of the crashes before it.
func TestOneCrashKeepsEarlierEvidence(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(1)
	now := time.Now()
	request := uint64(0)
	for crash := range uint64(minCrashes) {
		request++
		tracker.Crash(now, Evidence{Request: request, Server: crash, Parts: []string{"bad"}, At: now})
		for range 2 * maxEvidence {
			request++
			tracker.Crash(now, Evidence{Request: request, Server: crash, Parts: []string{fmt.Sprint("rare", request)}, At: now})
		}
		now = now.Add(settleDelay)
	}
	tracker.Tick(now)
	is.True(blocked(tracker, now, "bad"))
}

// TestMemoryIsBounded guards against callers, or other nodes, that fill the memory with parts.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(1)
	now := time.Now()
	fill := func(count uint64, parts []string) {
		for i := range count {
			now = now.Add(time.Millisecond)
			tracker.Crash(now, Evidence{Request: i, Server: i, Parts: append([]string{fmt.Sprint(i)}, parts...), At: now})
			tracker.Apply(now, Update{
				Evidence:   []Evidence{{Request: i, Server: i + 1, Parts: []string{"piece"}, PartCount: 2, At: now}},
				Clearances: []Clearance{{fmt.Sprint("c", i), now}},
				Suspicions: []Suspicion{{Parts: []string{fmt.Sprint("s", i)}, Since: now, LastCrash: now, HeldUntil: now.Add(time.Hour)}},
			})
		}
		tracker.Tick(now)
	}
	fill(4*maxEvidence, nil)
	is.Equal(tracker.EvidenceCount(), maxEvidence)
	is.Equal(len(tracker.Suspicions()), maxSuspicions)
	is.True(len(tracker.cleared) <= maxCleared)
	is.True(len(tracker.incomplete) <= maxIncomplete)
	long := make([]string, 160)
	for i := range long {
		long[i] = strings.Repeat("x", 10*maxPartBytes) + fmt.Sprint(i)
	}
	fill(2*maxEvidenceParts/uint64(len(long)), long)
	is.True(tracker.EvidenceCount() <= maxEvidence)
	parts := 0
	for _, e := range tracker.evidence {
		parts += len(e.Parts)
		for _, part := range e.Parts {
			is.True(len(part) <= maxPartBytes)
		}
	}
	is.Equal(parts, tracker.evidenceParts)
	is.True(parts <= maxEvidenceParts)
	// Without evidence and requests only the suspicions stay, and cost nothing.
	tracker.Tick(now.Add(3 * time.Hour))
	is.Equal(tracker.EvidenceCount()+len(tracker.cleared)+len(tracker.doubts)+len(tracker.incomplete), 0)
	is.Equal(len(tracker.Suspicions()), maxSuspicions)
	is.True(!tracker.Active())
	suspected := tracker.Suspicions()[0].Parts
	is.True(tracker.Check(now.Add(3*time.Hour), suspected).Trial)
}
