package core

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestStoppingNodeSendsNothingThatWouldBeCut guards against requests that a stopping node takes late
// and cuts at the end of its grace period. The load: requests that were read before the node stopped
// taking new ones and become ready to be sent in each tenth of the grace period, with deadlines
// shorter and longer than what is left of it.
func TestStoppingNodeSendsNothingThatWouldBeCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const grace, lastStart = 10 * time.Second, 3 * time.Second
		drain := NewDrain()
		begin := time.Now()
		drain.Begin(begin.Add(lastStart), begin.Add(grace))
		for tenth := range 12 {
			at := time.Duration(tenth) * grace / 10
			time.Sleep(time.Until(begin.Add(at)))
			for _, callerTimeout := range []time.Duration{time.Second, 4 * time.Second} {
				f := newFixture(Unsafe, false, answer(200, "done"))
				f.core.Draining = drain
				s := f.serve(&Request{CallerTimeout: callerTimeout})
				if at < lastStart || at+callerTimeout <= grace && at < grace {
					is.Equal(s.status, 200)
					continue
				}
				is.Equal(len(f.upstream.attempts), 0)
				is.Equal(s.refusal.Verdict(), NotRun)
				is.Equal(s.refusal.Reason(), ReasonStopping)
			}
		}
		time.Sleep(grace)
	})
}

// TestStoppingNodeSendsNoLateRetry guards against a second attempt that is cut, and against a refusal
// that says "not run" after the first one may have run.
func TestStoppingNodeSendsNoLateRetry(t *testing.T) {
	is := is.New(t)
	f := newFixture(Safe, false, Lost{errors.New("reset")}, answer(200, "second"))
	f.core.Draining = NewDrain()
	f.upstream.onSend = func() { f.core.Draining.Begin(time.Now(), time.Now().Add(time.Second)) }
	s := f.serve(nil)
	is.Equal(len(f.upstream.attempts), 1)
	is.Equal(s.refusal.Verdict(), MayHaveRun)
}

// TestRequestsGetAnswerAtEndOfStop guards against connections that are closed without an answer at
// the end of the grace period. The load: requests of each kind at a server that answers none.
func TestRequestsGetAnswerAtEndOfStop(t *testing.T) {
	for _, kind := range []RouteKind{Safe, Unsafe, Streaming} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(kind, false)
			f.upstream.waits = true
			f.core.Draining = NewDrain()
			end := time.Now().Add(time.Second)
			f.core.Draining.Begin(time.Now().Add(time.Millisecond), end)
			s := &fakeSink{}
			f.core.Serve(context.Background(), f.request(nil), s)
			is.Equal(time.Now(), end)
			is.Equal(s.refusal.Verdict(), MayHaveRun)
		})
	}
}
