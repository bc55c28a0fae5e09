package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOwnRefusalOfServerIsNotRelayed guards against callers that are told "not run" because a
// backend server that ran the request answered with the status of that promise: a request that
// may run once ends without a promise, another one goes to the next server.
func TestOwnRefusalOfServerIsNotRelayed(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		for _, kind := range []RouteKind{Unsafe, Streaming, Safe} {
			t.Run(fmt.Sprint(status, " ", kind), func(t *testing.T) {
				is := is.New(t)
				f := newFixture(kind, false, answer(status, "full"), answer(200, "ok"))
				observer := &reasonObserver{}
				f.core.Observer = observer
				s := f.serve(nil)
				if kind == Safe {
					is.Equal(s.status, 200)
					is.Equal(f.upstream.runs, 2)
					return
				}
				is.Equal(f.upstream.runs, 1)
				is.Equal(s.status, 0)
				is.Equal(s.refusal.Verdict(), MayHaveRun)
				is.Equal(observer.record.Reason, ReasonUnstatedRefusal)
			})
		}
	}
}

// TestOwnRefusalOfLastServerPromisesNothing guards against a relayed promise after the retry budget
// or the attempts are used up.
func TestOwnRefusalOfLastServerPromisesNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(Safe, false, answer(503, "full"))
	f.budget.retries = 0
	s := f.serve(nil)
	is.Equal(s.refusal.Verdict(), MayHaveRun)
	f = newFixture(Safe, false, answer(503, "full"), answer(429, "full"))
	s = f.serve(nil)
	is.Equal(f.upstream.runs, 2)
	is.Equal(s.refusal.Verdict(), MayHaveRun)
}

// TestRecordTellsWhyAttemptsCountAsNotRun guards against a refusal whose grounds can't be found
// afterwards.
func TestRecordTellsWhyAttemptsCountAsNotRun(t *testing.T) {
	is := is.New(t)
	stated := Refused{Status: 503, Response: ResponseTrace{Reused: true, ConnectionAge: 1200 * time.Millisecond, WrittenBytes: 311}}
	f := newFixture(Unsafe, false, NotSent{}, stated, NotSent{Connected: true}, Refused{Status: 421, WrongServer: true}, answer(200, "ok"))
	observer := &reasonObserver{}
	f.core.Observer = observer
	f.serve(nil)
	var texts []string
	for _, proof := range observer.record.NotRunProofs {
		proof.Server = "s"
		texts = append(texts, proof.String())
	}
	is.Equal(texts, []string{
		"s:not_connected", "s:not_executed,status=503,age_ms=1200,written=311,reused", "s:nothing_written",
		"s:wrong_server,status=421,age_ms=0,written=0",
	})
}
