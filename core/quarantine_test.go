package core

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/quarantine"
)

// sharedPart is the shared part of longPromptRequest.
const sharedPart = "s"

// suspectPart makes a tracker suspect a part because servers crash, one after the other. It
// takes a second of virtual time.
func suspectPart(t *quarantine.Tracker, part string) {
	for i := range uint64(4) {
		time.Sleep(250 * time.Millisecond)
		now := time.Now()
		t.Crash(now, quarantine.Evidence{Request: i, Server: i, Parts: []string{part}, At: now})
	}
	time.Sleep(250 * time.Millisecond)
	t.Tick(time.Now())
}

// TestQuarantinedRequestIsRefusedAtOnce guards against requests that crash servers being sent
// again, also for their prefill, and against a refusal that doesn't say when to come back.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixtureWith(engineRegistry(), Streaming, true)
		f.upstream.onPrefill = func() { t.Error("the prompt was processed") }
		suspectPart(f.core.Quarantine, sharedPart)
		s := f.serve(longPromptRequest())
		is.Equal(len(f.upstream.attempts), 0)
		is.Equal(s.refusal.Verdict(), NotRun)
		is.Equal(s.refusal.Reason(), ReasonQuarantined)
		is.True(s.refusal.RetryAfter() > time.Second)
	})
}

// TestRequestIsQuarantinedAfterPrefill guards against a request whose prompt was read without
// harm and whose answer then crashes a server, although its parts became suspected meanwhile.
func TestRequestIsQuarantinedAfterPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixtureWith(engineRegistry(), Streaming, true)
		f.upstream.onPrefill = func() { suspectPart(f.core.Quarantine, sharedPart) }
		s := f.serve(longPromptRequest())
		is.Equal(len(f.upstream.attempts), 0)
		is.Equal(len(f.upstream.freed), 1)
		is.Equal(s.refusal.Verdict(), NotRun)
		is.Equal(s.refusal.Reason(), ReasonQuarantined)
	})
}

// TestWaitingRequestIsQuarantined guards against a request that waits at a server when its
// parts become suspected: it must be canceled, not be sent again, and not be called not run.
func TestWaitingRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(Streaming, true)
		f.upstream.waits = true
		f.upstream.onSend = func() { suspectPart(f.core.Quarantine, sharedPart) }
		s := f.serve(longPromptRequest())
		is.Equal(len(f.upstream.attempts), 1)
		is.Equal(s.refusal.Verdict(), MayHaveRun)
		is.Equal(s.refusal.Reason(), ReasonQuarantined)
	})
}

// TestResumeIsQuarantined guards against a stream that is resumed on one server after the
// other and crashes them.
func TestResumeIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(Streaming, true, Answered{&fakeAnswer{status: 200, stream: true, events: events("1"), interrupted: true}})
		f.core.Observer = onFailure{call: func() { suspectPart(f.core.Quarantine, sharedPart) }}
		s := f.serve(longPromptRequest())
		is.Equal(len(f.upstream.attempts), 1)
		is.True(s.aborted)
	})
}

// onFailure is an Observer that calls a function at each failed attempt.
type onFailure struct {
	noop
	call func()
}

func (o onFailure) AttemptFailed(*Record, *backends.Server, string, error) { o.call() }

// cutStream returns a stream that is interrupted after events with pauses between them.
func cutStream(pause time.Duration, ids ...string) Outcome {
	return Answered{&fakeAnswer{status: 200, stream: true, events: events(ids...), pause: pause, interrupted: true}}
}

// TestLossesUntilPartsAreProvenAreEvidence guards against a part that crashes servers after the first
// events of its answers, or within a body, and is never found out, and against blaming prompts whose
// answers had outlived their beginning when their server crashed, or whose server still runs.
func TestLossesUntilPartsAreProvenAreEvidence(t *testing.T) {
	for _, test := range []struct {
		name     string
		crashed  bool
		outcome  Outcome
		evidence int
	}{
		{"lost before the head", true, Lost{errors.New("end of the connection")}, 1},
		{"lost before the first event", true, cutStream(0), 1},
		{"lost after an event", true, cutStream(0, "1"), 1},
		{"lost after three events", true, cutStream(250*time.Millisecond, "1", "2", "3"), 1},
		{"lost long after the proof", true, cutStream(1500*time.Millisecond, "1", "2", "3"), 0},
		{"lost after a second of events", true, cutStream(250*time.Millisecond, "1", "2", "3", "4", "5"), 0},
		{"lost in a body", true, Answered{&fakeAnswer{status: 200, body: "part", err: errors.New("end of the connection")}}, 1},
		{"a complete body", true, Answered{&fakeAnswer{status: 200, body: "all"}}, 0},
		{"a complete stream", true, Answered{&fakeAnswer{status: 200, stream: true, events: events("1")}}, 0},
		{"lost by a running server", false, Lost{errors.New("reset")}, 0},
		{"cut by a running server", false, cutStream(0, "1"), 0},
		{"slow", true, Lost{errAttemptTimeout}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(Streaming, false, test.outcome)
				f.upstream.crashed = test.crashed
				f.serve(longPromptRequest())
				synctest.Wait()
				is.Equal(f.core.Quarantine.EvidenceCount(), test.evidence)
			})
		})
	}
}

// TestEachServerOfResumedStreamIsEvidence guards against a stream that crashes the servers on which it
// is resumed without evidence against its parts.
func TestEachServerOfResumedStreamIsEvidence(t *testing.T) {
	for _, second := range []Outcome{cutStream(0, "2"), Lost{errors.New("end of the connection")}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(Streaming, true, cutStream(0, "1"), second)
			f.upstream.crashed = true
			f.budget.retries = 1
			s := f.serve(longPromptRequest())
			synctest.Wait()
			is.True(s.aborted)
			is.Equal(len(f.upstream.attempts), 2)
			is.Equal(f.core.Quarantine.EvidenceCount(), 2)
		})
	}
}

// TestResumedStreamIsProvenAnew guards against taking what the first server of a stream wrote for a proof
// that the next one outlives the part, and against blaming a part that both outlived.
func TestResumedStreamIsProvenAnew(t *testing.T) {
	second := time.Second / 2
	for _, test := range []struct {
		resumed  []string
		evidence int
	}{
		{[]string{"4"}, 1},
		{[]string{"4", "5", "6"}, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			// The second server begins when the proof of the first one doesn't hold any more.
			resumed := &fakeAnswer{status: 200, stream: true, events: events(test.resumed...), delay: 2 * time.Second, pause: second, interrupted: true}
			f := newFixture(Streaming, true, cutStream(second, "1", "2", "3"), Answered{resumed})
			f.upstream.crashed = true
			f.budget.retries = 1
			f.serve(longPromptRequest())
			synctest.Wait()
			is.Equal(len(f.upstream.attempts), 2)
			is.Equal(f.core.Quarantine.EvidenceCount(), test.evidence)
		})
	}
}

// TestLostPrefillIsEvidence guards against a part that crashes the engines which process the prompt, one
// after the other.
func TestLostPrefillIsEvidence(t *testing.T) {
	for _, crashed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFixtureWith(engineRegistry(), Streaming, false)
			f.upstream.crashed = crashed
			f.upstream.prefillOutcomes = []Outcome{Lost{errors.New("end of the connection")}}
			f.serve(longPromptRequest())
			synctest.Wait()
			is.Equal(f.core.Quarantine.EvidenceCount() == 1, crashed)
		})
	}
}
