package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of a run. Quantiles are in milliseconds.
type Result struct {
	Seed uint64 `json:"seed"`
	// DurationSeconds is the time from the start of the run to the end of its last
	// request.
	DurationSeconds float64 `json:"duration_s"`
	// Requests counts chat requests; Calls counts calls to the service, including
	// repeated ones.
	Requests int `json:"requests"`
	Calls    int `json:"calls"`
	// Complete counts chat responses that arrived with their end marker; Good
	// counts those that also met the objectives.
	Complete int           `json:"whole"`
	Good     int           `json:"good"`
	Phases   []PhaseResult `json:"phases"`
	// Workspaces are in the order of the scenario.
	Workspaces    []WorkspaceResult `json:"workspaces"`
	WorstServed   WorstServed       `json:"worst_served"`
	FirstToken    Quantiles         `json:"first_token_ms"`
	BetweenTokens Quantiles         `json:"between_tokens_ms"`
	// Errors counts rejected and failed requests by error code.
	Errors map[string]int `json:"errors"`
	// NotRun counts the errors which state that the request was not run.
	NotRun        int `json:"not_run"`
	CompleteCalls int `json:"calls_whole"`
	// DuplicateRuns counts calls that ran more than once, as far as the responses
	// show it: a server reported a second run, or different servers answered the
	// two requests of a repeated call.
	DuplicateRuns int `json:"duplicate_runs"`

	perSecond []secondCount
}

// PhaseResult is the goodput of one phase.
type PhaseResult struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	Good     int    `json:"good"`
	// Goodput is the number of good chat responses per second.
	Goodput float64 `json:"goodput_per_s"`
}

// WorkspaceResult is the goodput of one workspace.
type WorkspaceResult struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	Good     int    `json:"good"`
	// GoodTokens counts the output tokens of good responses.
	GoodTokens int `json:"good_tokens"`
	// FairShareRatio is GoodTokens divided by the smaller of the tokens that the
	// workspace requested and its weighted share of all good tokens. It is 1 if
	// the divisor is 0.
	FairShareRatio float64 `json:"fair_share_ratio"`

	requestedTokens int
}

// WorstServed is the workspace with the lowest FairShareRatio.
type WorstServed struct {
	Workspace      string  `json:"workspace"`
	FairShareRatio float64 `json:"fair_share_ratio"`
}

// Quantiles holds quantiles in milliseconds, taken from an HDR histogram with
// three significant digits.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// secondCount counts the chat requests sent in one second of the run, and those
// of them with good responses.
type secondCount struct{ sent, good int }

// maxRecordedTime is the largest value of the histograms; longer times are
// recorded as this value.
const maxRecordedTime = 10 * time.Minute

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedTime.Microseconds(), 3)
}

func newQuantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
}

// summarize computes the result of a run. Each element of samples has the requests
// of one arrival: two if the call was sent twice.
func summarize(s *Scenario, samples [][]sample, elapsed time.Duration) *Result {
	r := &Result{Seed: s.Seed, DurationSeconds: elapsed.Seconds(), Errors: make(map[string]int)}
	for _, p := range s.Phases {
		r.Phases = append(r.Phases, PhaseResult{Name: p.Name})
	}
	for _, w := range s.Workspaces {
		r.Workspaces = append(r.Workspaces, WorkspaceResult{Name: w.Name})
	}
	timeToFirstToken, tokenGaps := newHistogram(), newHistogram()
	for _, group := range samples {
		if ranTwice(group) {
			r.DuplicateRuns++
		}
		for _, sample := range group {
			r.addSample(s, sample)
			if sample.tokens > 0 {
				_ = timeToFirstToken.RecordValue(min(sample.timeToFirstToken, maxRecordedTime).Microseconds())
			}
			for _, gap := range sample.tokenGaps {
				_ = tokenGaps.RecordValue(min(gap, maxRecordedTime).Microseconds())
			}
		}
	}
	r.FirstToken, r.BetweenTokens = newQuantiles(timeToFirstToken), newQuantiles(tokenGaps)
	for i, p := range s.Phases {
		r.Phases[i].Goodput = float64(r.Phases[i].Good) / (p.DurationSeconds / s.timeScale())
	}
	r.computeFairShares(s)
	return r
}

func (r *Result) addSample(s *Scenario, x sample) {
	if x.errorCode != "" {
		r.Errors[x.errorCode]++
	}
	if x.notRun {
		r.NotRun++
	}
	if x.arrival.serviceCall {
		r.Calls++
		if x.complete {
			r.CompleteCalls++
		}
		return
	}
	r.Requests++
	w, p := &r.Workspaces[x.arrival.workspace], &r.Phases[x.arrival.phase]
	w.Requests++
	w.requestedTokens += x.arrival.outputTokens
	p.Requests++
	second := int(x.arrival.offset / time.Second)
	for len(r.perSecond) <= second {
		r.perSecond = append(r.perSecond, secondCount{})
	}
	r.perSecond[second].sent++
	if x.complete {
		r.Complete++
	}
	if x.meetsObjectives(s) {
		r.Good++
		w.Good++
		w.GoodTokens += x.tokens
		p.Good++
		r.perSecond[second].good++
	}
}

// ranTwice reports whether the responses to a call and its repetition show that
// it ran more than once.
func ranTwice(group []sample) bool {
	server := ""
	for _, x := range group {
		if x.runCount > 1 || (x.server != "" && server != "" && x.server != server) {
			return true
		}
		if x.server != "" {
			server = x.server
		}
	}
	return false
}

// meetsObjectives reports whether the response was complete, its first token
// arrived within the objective, and 95% of the gaps between its tokens were
// within theirs.
func (x *sample) meetsObjectives(s *Scenario) bool {
	const gapRatio = 0.95
	if !x.complete || x.timeToFirstToken > secondsToDuration(s.Objectives.FirstTokenSeconds) {
		return false
	}
	slowGaps := 0
	for _, gap := range x.tokenGaps {
		if gap > secondsToDuration(s.Objectives.BetweenTokensSeconds) {
			slowGaps++
		}
	}
	return float64(slowGaps) <= (1-gapRatio)*float64(len(x.tokenGaps))
}

// computeFairShares sets the FairShareRatio of each workspace and WorstServed.
func (r *Result) computeFairShares(s *Scenario) {
	total, weights := 0, 0.0
	for i, w := range r.Workspaces {
		total += w.GoodTokens
		weights += s.Workspaces[i].Weight
	}
	r.WorstServed.FairShareRatio = -1
	for i := range r.Workspaces {
		w := &r.Workspaces[i]
		fairShare := min(float64(w.requestedTokens), float64(total)*s.Workspaces[i].Weight/weights)
		w.FairShareRatio = 1
		if fairShare > 0 {
			w.FairShareRatio = float64(w.GoodTokens) / fairShare
		}
		if w.Requests > 0 && (r.WorstServed.FairShareRatio < 0 || w.FairShareRatio < r.WorstServed.FairShareRatio) {
			r.WorstServed = WorstServed{Workspace: w.Name, FairShareRatio: w.FairShareRatio}
		}
	}
}
