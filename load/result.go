package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a run measured. Times are in milliseconds.
type Result struct {
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"duration_s"`
	// Requests counts chat requests; Calls counts calls to the service, with
	// repeats.
	Requests int `json:"requests"`
	Calls    int `json:"calls"`
	// Whole counts answers with their end marker; Good those that also met
	// the objectives.
	Whole  int           `json:"whole"`
	Good   int           `json:"good"`
	Phases []PhaseResult `json:"phases"`
	// Workspaces are in the order of the scenario.
	Workspaces    []WorkspaceResult `json:"workspaces"`
	WorstServed   WorstServed       `json:"worst_served"`
	FirstToken    Quantiles         `json:"first_token_ms"`
	BetweenTokens Quantiles         `json:"between_tokens_ms"`
	// Errors counts refusals and failures by code.
	Errors map[string]int `json:"errors"`
	// NotRun counts the errors that say that nothing ran.
	NotRun     int `json:"not_run"`
	CallsWhole int `json:"calls_whole"`
	// DuplicateRuns counts calls that ran more than once, as far as the answers
	// show it: a server counted a second run, or the call and its repeat were
	// answered by different servers.
	DuplicateRuns int `json:"duplicate_runs"`

	seconds []secondCount
}

// PhaseResult is the goodput of one phase.
type PhaseResult struct {
	Name     string  `json:"name"`
	Requests int     `json:"requests"`
	Good     int     `json:"good"`
	Goodput  float64 `json:"goodput_per_s"`
}

// WorkspaceResult is what one workspace got.
type WorkspaceResult struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	Good     int    `json:"good"`
	// GoodTokens are the output tokens of good answers.
	GoodTokens int `json:"good_tokens"`
	// FairShareRatio is the good tokens over the lesser of what the workspace
	// asked for and its weighted share of all good tokens.
	FairShareRatio float64 `json:"fair_share_ratio"`

	askedTokens int
}

// WorstServed names the workspace with the lowest ratio.
type WorstServed struct {
	Workspace      string  `json:"workspace"`
	FairShareRatio float64 `json:"fair_share_ratio"`
}

// Quantiles are taken from an HDR histogram with three significant digits.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

type secondCount struct{ sent, good int }

// maxRecorded is the longest time that the histograms distinguish.
const maxRecorded = 10 * time.Minute

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecorded.Microseconds(), 3)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
}

func summarize(s *Scenario, samples [][]sample, took time.Duration) *Result {
	r := &Result{Seed: s.Seed, DurationSeconds: took.Seconds(), Errors: make(map[string]int)}
	for _, p := range s.Phases {
		r.Phases = append(r.Phases, PhaseResult{Name: p.Name})
	}
	for _, w := range s.Workspaces {
		r.Workspaces = append(r.Workspaces, WorkspaceResult{Name: w.Name})
	}
	first, gaps := newHistogram(), newHistogram()
	for _, group := range samples {
		if ranTwice(group) {
			r.DuplicateRuns++
		}
		for _, sample := range group {
			r.add(s, sample)
			if sample.tokens > 0 {
				_ = first.RecordValue(min(sample.firstToken, maxRecorded).Microseconds())
			}
			for _, gap := range sample.gaps {
				_ = gaps.RecordValue(min(gap, maxRecorded).Microseconds())
			}
		}
	}
	r.FirstToken, r.BetweenTokens = quantiles(first), quantiles(gaps)
	for i, p := range s.Phases {
		r.Phases[i].Goodput = float64(r.Phases[i].Good) / (p.DurationSeconds / s.scale())
	}
	r.fairShares(s)
	return r
}

func (r *Result) add(s *Scenario, x sample) {
	if x.code != "" {
		r.Errors[x.code]++
	}
	if x.notRun {
		r.NotRun++
	}
	if x.arrival.call {
		r.Calls++
		if x.whole {
			r.CallsWhole++
		}
		return
	}
	r.Requests++
	w, p := &r.Workspaces[x.arrival.workspace], &r.Phases[x.arrival.phase]
	w.Requests++
	w.askedTokens += x.arrival.output
	p.Requests++
	second := int(x.arrival.at / time.Second)
	for len(r.seconds) <= second {
		r.seconds = append(r.seconds, secondCount{})
	}
	r.seconds[second].sent++
	if x.whole {
		r.Whole++
	}
	if x.good(s) {
		r.Good++
		w.Good++
		w.GoodTokens += x.tokens
		p.Good++
		r.seconds[second].good++
	}
}

// ranTwice reports whether the answers to a call and its repeat show more than
// one run.
func ranTwice(group []sample) bool {
	server := ""
	for _, x := range group {
		if x.run > 1 || (x.server != "" && server != "" && x.server != server) {
			return true
		}
		if x.server != "" {
			server = x.server
		}
	}
	return false
}

// good reports whether the answer was whole, its first token came in time, and
// 95 in 100 of the gaps between its tokens were short enough.
func (x *sample) good(s *Scenario) bool {
	const gapRatio = 0.95
	if !x.whole || x.firstToken > seconds(s.Objectives.FirstTokenSeconds) {
		return false
	}
	slow := 0
	for _, gap := range x.gaps {
		if gap > seconds(s.Objectives.BetweenTokensSeconds) {
			slow++
		}
	}
	return float64(slow) <= (1-gapRatio)*float64(len(x.gaps))
}

func (r *Result) fairShares(s *Scenario) {
	total, weights := 0, 0.0
	for i, w := range r.Workspaces {
		total += w.GoodTokens
		weights += s.Workspaces[i].Weight
	}
	r.WorstServed.FairShareRatio = -1
	for i := range r.Workspaces {
		w := &r.Workspaces[i]
		share := min(float64(w.askedTokens), float64(total)*s.Workspaces[i].Weight/weights)
		w.FairShareRatio = 1
		if share > 0 {
			w.FairShareRatio = float64(w.GoodTokens) / share
		}
		if w.Requests > 0 && (r.WorstServed.FairShareRatio < 0 || w.FairShareRatio < r.WorstServed.FairShareRatio) {
			r.WorstServed = WorstServed{Workspace: w.Name, FairShareRatio: w.FairShareRatio}
		}
	}
}
