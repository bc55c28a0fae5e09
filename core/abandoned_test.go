package core

import (
	"errors"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// fakeCaller is the connection of a caller that closes when left is set.
type fakeCaller struct{ left atomic.Bool }

func (c *fakeCaller) HasLeft() bool { return c.left.Load() }

// reasonObserver keeps the reason of the request and the events of its attempts.
type reasonObserver struct {
	noop
	record Record
}

func (o *reasonObserver) RequestDone(r *Record) { o.record = *r }

// TestNothingIsSentForCallerWhoLeft guards against attempts for a caller whose close the socket
// shows and the context doesn't yet: the first attempt, one after a refusal, after a lost answer,
// and the next part of a stream; and against telling callers "not run" of requests that ran.
func TestNothingIsSentForCallerWhoLeft(t *testing.T) {
	lost := Lost{errors.New("reset")}
	for name, test := range map[string]struct {
		kind     RouteKind
		outcomes []Outcome
		// leavesAt is the attempt before which the caller leaves.
		leavesAt int
		runs     int
		verdict  Verdict
	}{
		"first, unsafe":     {Unsafe, []Outcome{answer(200, "x")}, 1, 0, NotRun},
		"first, safe":       {Safe, []Outcome{answer(200, "x")}, 1, 0, NotRun},
		"first, stream":     {Streaming, []Outcome{answer(200, "x")}, 1, 0, NotRun},
		"after a refusal":   {Unsafe, []Outcome{Refused{Status: 503}, answer(200, "x")}, 2, 0, NotRun},
		"after no contact":  {Unsafe, []Outcome{NotSent{Cause: errors.New("dial")}, answer(200, "x")}, 2, 0, NotRun},
		"after a lost one":  {Safe, []Outcome{lost, answer(200, "x")}, 2, 1, MayHaveRun},
		"after a bad one":   {Safe, []Outcome{answer(500, "x"), answer(200, "x")}, 2, 1, MayHaveRun},
		"second of streams": {Streaming, []Outcome{Refused{Status: 503}, answer(200, "x")}, 2, 0, NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(test.kind, false, test.outcomes...)
			caller, observer := &fakeCaller{}, &reasonObserver{}
			f.core.Observer = observer
			attempts := 0
			f.upstream.onSend = func() {
				attempts++
				caller.left.Store(attempts >= test.leavesAt)
			}
			s := f.serve(&Request{Caller: caller})
			is.Equal(attempts, test.leavesAt) // no further server is tried
			is.Equal(f.upstream.runs, test.runs)
			is.Equal(observer.record.Reason, ReasonCallerGone)
			is.Equal(s.refusal.Verdict(), test.verdict)
			is.True(observer.record.LastSend.Times().CallerHadLeft)
		})
	}
}

// TestStreamIsNotResumedForCallerWhoLeft guards against the next part of an interrupted stream being
// generated for a caller who has left, and against trying further servers for it.
func TestStreamIsNotResumedForCallerWhoLeft(t *testing.T) {
	is := is.New(t)
	caller, observer := &fakeCaller{}, &reasonObserver{}
	f := newFixture(Streaming, true,
		Answered{&fakeAnswer{status: 200, stream: true, events: events("1", "2"), interrupted: true}},
		Answered{&fakeAnswer{status: 200, stream: true, events: events("3")}})
	f.core.Observer = observer
	sends := 0
	f.upstream.onSend = func() {
		sends++
		caller.left.Store(sends > 1)
	}
	s := f.serve(&Request{Caller: caller})
	is.Equal(sends, 2)
	is.Equal(f.upstream.runs, 1)
	is.True(s.aborted)
	is.Equal(observer.record.Reason, ReasonCallerGone)
}

// TestPromptIsNotProcessedForCallerWhoLeft guards against a prompt that is processed on a separate
// prefill engine, or generated for after that, although the caller has left, and against KV cache
// that stays at the prefill engine.
func TestPromptIsNotProcessedForCallerWhoLeft(t *testing.T) {
	for name, test := range map[string]struct {
		leave func(u *fakeUpstream, c *fakeCaller)
		freed int
	}{
		"before the prefill": {func(u *fakeUpstream, c *fakeCaller) { u.onPrefill = func() { c.left.Store(true) } }, 0},
		"during the prefill": {func(u *fakeUpstream, c *fakeCaller) { u.afterPrefill = func() { c.left.Store(true) } }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixtureWith(engineRegistry(), Streaming, false, Answered{&fakeAnswer{status: 200, stream: true, events: events("1")}})
			caller := &fakeCaller{}
			test.leave(f.upstream, caller)
			r := longPromptRequest()
			r.Caller = caller
			s := f.serve(r)
			is.Equal(f.upstream.runs, 0)
			is.Equal(len(f.upstream.freed), test.freed)
			is.Equal(s.refusal.Verdict(), NotRun)
			is.Equal(s.refusal.Reason(), ReasonCallerGone)
		})
	}
}
