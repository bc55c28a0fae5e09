package load

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// arrival is one request with the time at which it is sent, from the start of
// the run.
type arrival struct {
	at        time.Duration
	number    int
	phase     int
	workspace int
	node      int
	// call is true for a call to the service, false for a chat request.
	call   bool
	repeat bool
	stream bool
	prompt string
	output int
}

// schedule returns the arrivals of a run in order of time. It depends on the
// scenario only.
func schedule(s *Scenario) []arrival {
	rng := rand.New(rand.NewPCG(s.Seed, s.Seed^0x9e3779b97f4a7c15))
	var out []arrival
	start := 0.0
	for phase, p := range s.Phases {
		duration := p.DurationSeconds / s.scale()
		factor := p.RateFactor
		if factor == 0 {
			factor = 1
		}
		for w, workspace := range s.Workspaces {
			for _, at := range poisson(rng, workspace.RatePerSecond*factor*s.scale(), duration) {
				out = append(out, chatArrival(rng, s, phase, w, start+at))
			}
		}
		for _, at := range poisson(rng, s.Calls.RatePerSecond*s.scale(), duration) {
			out = append(out, arrival{
				at: seconds(start + at), phase: phase, call: true, workspace: rng.IntN(len(s.Workspaces)),
				node: rng.IntN(len(s.Nodes)), repeat: rng.Float64() < s.Calls.RepeatRatio,
			})
		}
		start += duration
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	for i := range out {
		out[i].number = i
	}
	return out
}

// poisson returns the times of a Poisson process, in seconds.
func poisson(rng *rand.Rand, rate, duration float64) []float64 {
	var out []float64
	if rate <= 0 {
		return nil
	}
	for at := rng.ExpFloat64() / rate; at < duration; at += rng.ExpFloat64() / rate {
		out = append(out, at)
	}
	return out
}

func chatArrival(rng *rand.Rand, s *Scenario, phase, workspace int, at float64) arrival {
	p, w := s.Phases[phase], s.Workspaces[workspace]
	var prompt strings.Builder
	length := around(rng, p.PromptTokens)
	if w.Prefixes > 0 {
		words(&prompt, fmt.Sprintf("%s-p%d", w.Name, rng.IntN(w.Prefixes)), min(w.PrefixTokens, length))
		length -= min(w.PrefixTokens, length)
	}
	words(&prompt, fmt.Sprintf("r%d", rng.Uint32()), max(1, length))
	return arrival{
		at: seconds(at), phase: phase, workspace: workspace, node: rng.IntN(len(s.Nodes)),
		stream: true, prompt: prompt.String(), output: max(1, around(rng, p.OutputTokens)),
	}
}

// around returns a value between half and one and a half of mean.
func around(rng *rand.Rand, mean int) int { return mean/2 + rng.IntN(mean+1) }

func words(b *strings.Builder, stem string, n int) {
	for i := range n {
		fmt.Fprintf(b, "%s-%d ", stem, i)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
