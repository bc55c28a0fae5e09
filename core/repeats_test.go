package core

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRepeatGuardForgetsInTime guards against requests that are refused although their first copy
// can't answer any more, and against memory that grows with each request.
func TestRepeatGuardForgetsInTime(t *testing.T) {
	is := is.New(t)
	var g repeatGuard
	start := time.Now()
	is.True(g.enter("a", start.Add(time.Second), start))
	is.True(!g.enter("a", start.Add(time.Minute), start.Add(999*time.Millisecond)))
	is.True(g.enter("a", start.Add(2*time.Second), start.Add(time.Second)))
	g.forget("a")
	is.True(g.enter("a", start.Add(2*time.Second), start.Add(time.Second)))
	for i := range 2 * maxTrackedRequests {
		is.True(g.enter(strconv.Itoa(i), start.Add(3*time.Second), start.Add(time.Second))) // also beyond the maximum
	}
	is.Equal(len(g.until), maxTrackedRequests)
	is.True(!g.enter("0", start.Add(4*time.Second), start.Add(2*time.Second)))
	is.True(g.enter("b", start.Add(5*time.Second), start.Add(4*time.Second)))
	is.Equal(len(g.until), 1)
}

// TestRepeatIsNotToldAsNotRun guards against a repeat that runs, or that is told "not run", while its
// first copy has run or still may; and against one that is not served though no copy has run.
func TestRepeatIsNotToldAsNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		first Outcome
		runs  bool
	}{
		"answered": {answer(200, "ok"), false}, "failed": {answer(500, "failed"), false}, "lost": {Lost{}, false},
		"refused": {Refused{Status: 503}, true}, "not sent": {NotSent{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(Unsafe, false, test.first)
			f.serve(nil)
			f.requests = 0 // the next request has the same id
			f.upstream.attempts = nil
			f.upstream.outcomes = []Outcome{answer(200, "second")}
			f.core.Chooser = newFixture(Unsafe, false).core.Chooser
			*f.sink = fakeSink{}
			s := f.serve(nil)
			is.Equal(len(f.upstream.attempts) > 0, test.runs)
			if !test.runs {
				is.Equal(s.refusal.Verdict(), MayHaveRun)
				is.Equal(s.refusal.Reason(), ReasonRepeated)
			}
		})
	}
}
