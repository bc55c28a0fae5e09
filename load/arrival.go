package load

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// arrival is one scheduled request of a run.
type arrival struct {
	// offset is the send time, relative to the start of the run.
	offset time.Duration
	// index is the position in the schedule; phase, workspace and node are indices
	// into the lists of the scenario.
	index     int
	phase     int
	workspace int
	node      int
	// serviceCall is true for a call to the service, false for a chat request.
	// If sendTwice is set, the call is sent through two nodes at the same time.
	serviceCall  bool
	sendTwice    bool
	stream       bool
	prompt       string
	outputTokens int
}

// schedule returns the arrivals of a run, sorted by send time. The result is
// determined by the scenario alone.
func schedule(s *Scenario) []arrival {
	rng := rand.New(rand.NewPCG(s.Seed, s.Seed^0x9e3779b97f4a7c15))
	var arrivals []arrival
	start := 0.0
	for phase, p := range s.Phases {
		duration := p.DurationSeconds / s.timeScale()
		factor := p.RateFactor
		if factor == 0 {
			factor = 1
		}
		for w, workspace := range s.Workspaces {
			for _, at := range poissonTimes(rng, workspace.RatePerSecond*factor*s.timeScale(), duration) {
				arrivals = append(arrivals, newChatArrival(rng, s, phase, w, start+at))
			}
		}
		for _, at := range poissonTimes(rng, s.Calls.RatePerSecond*s.timeScale(), duration) {
			arrivals = append(arrivals, arrival{
				offset: secondsToDuration(start + at), phase: phase, serviceCall: true, workspace: rng.IntN(len(s.Workspaces)),
				node: rng.IntN(len(s.Nodes)), sendTwice: rng.Float64() < s.Calls.RepeatRatio,
			})
		}
		start += duration
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].offset < arrivals[j].offset })
	for i := range arrivals {
		arrivals[i].index = i
	}
	return arrivals
}

// poissonTimes returns the event times of a Poisson process, in seconds from
// its start.
func poissonTimes(rng *rand.Rand, ratePerSecond, durationSeconds float64) []float64 {
	var times []float64
	if ratePerSecond <= 0 {
		return nil
	}
	for at := rng.ExpFloat64() / ratePerSecond; at < durationSeconds; at += rng.ExpFloat64() / ratePerSecond {
		times = append(times, at)
	}
	return times
}

// newChatArrival returns a streamed chat request with random prompt and output lengths
// as the phase specifies. Prompts of one workspace share prefixes.
func newChatArrival(rng *rand.Rand, s *Scenario, phase, workspace int, offsetSeconds float64) arrival {
	p, w := s.Phases[phase], s.Workspaces[workspace]
	var prompt strings.Builder
	length := uniformAround(rng, p.PromptTokens)
	if w.Prefixes > 0 {
		writeWords(&prompt, fmt.Sprintf("%s-p%d", w.Name, rng.IntN(w.Prefixes)), min(w.PrefixTokens, length))
		length -= min(w.PrefixTokens, length)
	}
	writeWords(&prompt, fmt.Sprintf("r%d", rng.Uint32()), max(1, length))
	return arrival{
		offset: secondsToDuration(offsetSeconds), phase: phase, workspace: workspace, node: rng.IntN(len(s.Nodes)),
		stream: true, prompt: prompt.String(), outputTokens: max(1, uniformAround(rng, p.OutputTokens)),
	}
}

// uniformAround returns a random value between 0.5 and 1.5 times mean.
func uniformAround(rng *rand.Rand, mean int) int { return mean/2 + rng.IntN(mean+1) }

// writeWords appends n distinct words that start with prefix.
func writeWords(b *strings.Builder, prefix string, n int) {
	for i := range n {
		fmt.Fprintf(b, "%s-%d ", prefix, i)
	}
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
