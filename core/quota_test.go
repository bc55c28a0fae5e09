package core

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/backends"
)

// fakeQuotas grants a number of permits.
type fakeQuotas struct {
	permits  int
	acquired []int64
	returned []int64
	// onAcquire is called before each answer if it is set.
	onAcquire func()
}

func (q *fakeQuotas) Acquire(ctx context.Context, _ string, amount int64) (bool, time.Duration) {
	if q.onAcquire != nil {
		q.onAcquire()
	}
	if ctx.Err() != nil {
		return false, 0
	}
	if q.permits == 0 {
		return false, 1500 * time.Millisecond
	}
	q.permits--
	q.acquired = append(q.acquired, amount)
	return true, 0
}

func (q *fakeQuotas) Return(_ string, amount int64) { q.returned = append(q.returned, amount) }

// limitWorkspace gives the workspace of a fixture a quota with a number of permits.
func limitWorkspace(f *fixture, permits int) *fakeQuotas {
	q := &fakeQuotas{permits: permits}
	f.core.Quotas = q
	f.core.CurrentTable.Load().workspacesByKey["key"].Quota = &Quota{PerSecond: 1, Tokens: true, UnstatedTokens: 50}
	return q
}

// TestRequestOverQuotaIsNotSent guards against a request over the quota that is sent, or refused
// without the promise that it has not run.
func TestRequestOverQuotaIsNotSent(t *testing.T) {
	for _, kind := range []RouteKind{Safe, Unsafe, Streaming} {
		is := is.New(t)
		f := newFixture(kind, false, answer(200, "x"))
		limitWorkspace(f, 0)
		s := f.serve(nil)
		is.Equal(f.upstream.runs, 0)
		is.Equal(s.refusal.Verdict(), OverQuota)
		is.Equal(s.refusal.Reason(), ReasonOverQuota)
		is.Equal(s.refusal.RetryAfter(), 1500*time.Millisecond)
	}
}

// TestQuotaCountsEachRunOnce guards against attempts that have not run and use up the quota, and
// against repeated runs that escape it.
func TestQuotaCountsEachRunOnce(t *testing.T) {
	for _, test := range []struct {
		name     string
		outcomes []Outcome
		acquired int
	}{
		{"first attempt answered", []Outcome{answer(200, "x")}, 1},
		{"not sent, refused, answered", []Outcome{NotSent{}, Refused{}, answer(200, "x")}, 1},
		{"lost, answered", []Outcome{Lost{}, answer(200, "x")}, 2},
		{"server error, answered", []Outcome{answer(500, ""), answer(200, "x")}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(Safe, false, test.outcomes...)
			q := limitWorkspace(f, 9)
			s := f.serve(&Request{Prompt: &backends.Prompt{Tokens: 12000, MaxOutputTokens: 40}})
			is.True(s.refusal == nil)
			is.Equal(len(q.acquired), test.acquired)
			is.Equal(q.acquired[0], int64(12040))
			is.Equal(len(q.returned), 0)
		})
	}
}

// TestRepeatOverQuotaIsNotCalledNotRun guards against status 429 for a request that may have run,
// and against its repeat over the quota.
func TestRepeatOverQuotaIsNotCalledNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(Safe, false, Lost{}, answer(200, "x"))
	limitWorkspace(f, 1)
	s := f.serve(nil)
	is.Equal(s.refusal.Verdict(), MayHaveRun)
	is.Equal(f.upstream.runs, 1)
}

// TestPermitOfUnsentRequestIsReturned guards against a quota that is used up by requests for which
// no server can be reached.
func TestPermitOfUnsentRequestIsReturned(t *testing.T) {
	is := is.New(t)
	f := newFixture(Safe, false, NotSent{}, NotSent{}, NotSent{}, NotSent{})
	q := limitWorkspace(f, 9)
	s := f.serve(nil)
	is.Equal(s.refusal.Verdict(), NotRun)
	is.Equal(q.acquired, []int64{50})
	is.Equal(q.returned, []int64{50})
}

// TestPermitOfDeniedRetryIsReturned guards against a quota that is used up by retries that the retry
// budget denies.
func TestPermitOfDeniedRetryIsReturned(t *testing.T) {
	is := is.New(t)
	f := newFixture(Safe, false, Lost{}, answer(200, "x"))
	f.budget.retries = 0
	q := limitWorkspace(f, 9)
	s := f.serve(nil)
	is.Equal(s.refusal.Verdict(), MayHaveRun)
	is.Equal(len(q.acquired), 2)
	is.Equal(len(q.returned), 1)
}

// TestCallerLeavesWhileItWaitsForAPermit guards against a refusal over quota that is counted for a
// caller that has left.
func TestCallerLeavesWhileItWaitsForAPermit(t *testing.T) {
	is := is.New(t)
	f := newFixture(Safe, false, answer(200, "x"))
	q := limitWorkspace(f, 0)
	ctx, cancel := context.WithCancel(context.Background())
	q.onAcquire = cancel
	f.core.Serve(ctx, f.request(nil), f.sink)
	is.Equal(f.sink.refusal.Reason(), ReasonCallerGone)
	is.Equal(f.upstream.runs, 0)
}

// TestMovedStreamNeedsAPermit guards against a stream that moves from a silent server to another one
// without a permit: its watch has acquired the retry, so that the next attempt asks the budget for
// none, and must still ask the quota.
func TestMovedStreamNeedsAPermit(t *testing.T) {
	for _, test := range []struct {
		name    string
		first   *pacedAnswer
		permits int
		runs    int
	}{
		{"silent before its head, no permit", nil, 1, 1},
		{"silent after its first event, no permit", paced(0, false, "1"), 1, 1},
		{"silent before its head, one permit", nil, 2, 2},
		{"silent after its first event, one permit", paced(0, false, "1"), 2, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newStallFixture(true, test.first, paced(0, true, "2"))
				q := limitWorkspace(f.fixture, test.permits)
				s := f.serve(nil)
				is.Equal(len(f.paced.sent), test.runs)
				if test.runs == 2 {
					is.Equal(f.observer.counts[StreamMoved], 1)
				}
				is.Equal(len(q.acquired), test.runs)
				is.Equal(len(q.returned), 0)
				is.Equal(s.ended, test.runs == 2)
				if s.refusal != nil {
					is.Equal(s.refusal.Verdict(), MayHaveRun)
				}
				for _, a := range f.paced.sent {
					requests, _ := a.Server.OwnLoad()
					is.Equal(requests, int64(0)) // no reserved server stays reserved
				}
			})
		})
	}
}

// TestAmounts guards against requests that are free because they state no tokens.
func TestAmounts(t *testing.T) {
	is := is.New(t)
	tokens := &Quota{Tokens: true, UnstatedTokens: 700}
	is.Equal(tokens.Amount(&backends.Prompt{Tokens: 12000, MaxOutputTokens: 40}), int64(12040))
	is.Equal(tokens.Amount(nil), int64(700))
	is.Equal(tokens.Amount(&backends.Prompt{}), int64(700))
	is.Equal((&Quota{Tokens: true}).Amount(nil), int64(1))
	is.Equal((&Quota{}).Amount(&backends.Prompt{Tokens: 12000}), int64(1))
}
