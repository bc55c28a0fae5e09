package load

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/finding"
)

func scenario() *Scenario {
	return &Scenario{
		Seed: 3, Nodes: []string{"127.0.0.1:1", "127.0.0.1:2"}, Model: "m", RequestTimeoutSeconds: 5,
		Objectives: config.Objectives{FirstTokenSeconds: 0.54, BetweenTokensSeconds: 0.03},
		Workspaces: []Workspace{{Name: "a", Key: "k", Weight: 3, RatePerSecond: 20, Prefixes: 4, PrefixTokens: 30}, {Name: "b", Key: "l", Weight: 1, RatePerSecond: 5}},
		Phases:     []Phase{{Name: "before", DurationSeconds: 20, PromptTokens: 100, OutputTokens: 40}, {Name: "after", DurationSeconds: 20, PromptTokens: 50, OutputTokens: 80, RateFactor: 2}},
		Calls:      Calls{Service: "ledger", RatePerSecond: 2, RepeatRatio: 0.5},
	}
}

// Guards against runs that can't be compared because equal seeds give other
// requests.
func TestScheduleDependsOnSeedOnly(t *testing.T) {
	is := is.New(t)
	first, second := schedule(scenario()), schedule(scenario())
	is.True(reflect.DeepEqual(first, second))
	other := scenario()
	other.Seed++
	is.True(!reflect.DeepEqual(first, schedule(other)))
	for i := 1; i < len(first); i++ {
		is.True(first[i-1].at <= first[i].at) // in order of time
	}
}

// Guards against rates that time scale changes: the number of requests must
// stay the same when a run is played faster.
func TestTimeScaleKeepsTheNumberOfRequests(t *testing.T) {
	is := is.New(t)
	s := scenario()
	slow := schedule(s)
	s.TimeScale = 4
	fast := schedule(s)
	is.Equal(len(slow), len(fast))
	is.True(fast[len(fast)-1].at <= 10*time.Second)
}

// Guards against goodput that counts answers which were cut or late, and
// against a worst-served workspace that is not the worst.
func TestSummaryCountsGoodAnswersOnly(t *testing.T) {
	is := is.New(t)
	s := scenario()
	a := func(workspace int) arrival { return arrival{workspace: workspace, output: 10} }
	gaps := make([]time.Duration, 20)
	slow := make([]time.Duration, 20)
	slow[0], slow[1] = time.Second, time.Second
	r := summarize(s, [][]sample{
		{{arrival: a(0), whole: true, tokens: 10, firstToken: time.Millisecond, gaps: gaps}},
		{{arrival: a(0), whole: true, tokens: 10, firstToken: time.Second, gaps: gaps}},
		{{arrival: a(0), whole: true, tokens: 10, firstToken: time.Millisecond, gaps: slow}},
		{{arrival: a(1), whole: false, tokens: 5, firstToken: time.Millisecond, code: "cut"}},
		{{arrival: a(1), code: "overloaded", notRun: true}},
		{{arrival: arrival{call: true}, whole: true, run: 1}, {arrival: arrival{call: true}, whole: true, run: 2}},
	}, time.Second)
	is.Equal(r.Requests, 5)
	is.Equal(r.Whole, 3)
	is.Equal(r.Good, 1)
	is.Equal(r.Calls, 2)
	is.Equal(r.DuplicateRuns, 1)
	is.Equal(r.NotRun, 1)
	is.Equal(r.Errors, map[string]int{"cut": 1, "overloaded": 1})
	is.Equal(r.WorstServed.Workspace, "b")
	is.Equal(r.WorstServed.FairShareRatio, 0.0)
}

// Guards against scenarios that fail in the middle of a run.
func TestValidateReportsAllFindings(t *testing.T) {
	is := is.New(t)
	var none, many finding.List
	scenario().Validate(&none)
	is.NoErr(none.Err())
	(&Scenario{Calls: Calls{RatePerSecond: 1, RepeatRatio: 2}}).Validate(&many)
	is.Equal(len(many.All()), 8)
}

// Guards against a second run that stays unseen because another server of the
// pool made it, and against a repeat that is counted as a run.
func TestSecondRunAtAnotherServerIsSeen(t *testing.T) {
	is := is.New(t)
	first := sample{whole: true, run: 1, server: "s-1"}
	is.True(!ranTwice([]sample{first, first}))
	is.True(!ranTwice([]sample{first, {code: "in_progress"}}))
	is.True(ranTwice([]sample{first, {whole: true, run: 1, server: "s-2"}}))
	is.True(ranTwice([]sample{{whole: true, run: 2, server: "s-1"}}))
}
