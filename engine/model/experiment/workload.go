// Package experiment compares routing, admission and planning policies on a
// modelled fleet in virtual time. All variants of a comparison get the same
// arrivals.
package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Size describes a deployment.
type Size struct {
	Name string
	// Engines is the size of the fleet at the start, spread evenly over Domains
	// failure domains. Prefill of them start as prefill engines.
	Engines, Domains, Prefill int
	// Large of Workspaces workspaces make LargeShare of the calls.
	Workspaces, Large int
	LargeShare        float64
	// CallsPerSecond is the mean rate of arrivals.
	CallsPerSecond float64
	// NearDistance and FarDistance are round-trip times within a failure domain
	// and between two.
	NearDistance, FarDistance time.Duration
}

// The two deployments of today. The rates load the fleet at the start by about
// 70%.
var (
	Faldur = Size{
		Name: "18 engines, 4 failure domains", Engines: 18, Domains: 4, Prefill: 8, Workspaces: 8, Large: 3, LargeShare: 0.75,
		CallsPerSecond: 33, NearDistance: 200 * time.Microsecond, FarDistance: 800 * time.Microsecond,
	}
	Quispe = Size{
		Name: "12 engines, 3 failure domains", Engines: 12, Domains: 3, Prefill: 5, Workspaces: 8, Large: 3, LargeShare: 0.75,
		CallsPerSecond: 22, NearDistance: 300 * time.Microsecond, FarDistance: 1400 * time.Microsecond,
	}
)

// Schedule says when the workload changes.
type Schedule struct {
	// WarmUp is not measured.
	WarmUp time.Duration
	// ShiftBegin and ShiftEnd bound the change of the prompt-to-output ratio,
	// which is linear in between.
	ShiftBegin, ShiftEnd time.Duration
	// Reclaim is when the failure domain with the most reclaimable engines
	// loses them. The time after it is a window of its own.
	Reclaim time.Duration
	End     time.Duration
	// RatioFactor is the prompt-to-output ratio after the shift, relative to
	// the one before.
	RatioFactor float64
	// LargeSurge multiplies the calls of the large workspaces from the begin of
	// the shift to the reclaim; 0 stands for 1.
	LargeSurge float64
}

// DefaultSchedule shifts the ratio within 2 minutes.
func DefaultSchedule(ratioFactor float64) Schedule {
	return Schedule{
		WarmUp: time.Minute, ShiftBegin: 4 * time.Minute, ShiftEnd: 6 * time.Minute,
		Reclaim: 11 * time.Minute, End: 12 * time.Minute, RatioFactor: ratioFactor,
	}
}

// Arrival is one call.
type Arrival struct {
	At           time.Duration
	Workspace    int
	PromptTokens int
	OutputTokens int
	Prefix       []uint64
}

// Lengths of calls before the shift, in tokens. The prompt is a prefix that
// calls of a workspace share, and a tail of its own.
const (
	meanPrefixTokens = 900
	meanTailTokens   = 600
	meanOutputTokens = 200
	prefixesLarge    = 40
	prefixesSmall    = 10
	blockTokens      = 16
)

// Bursts: a workspace alternates between a quiet and a burst phase. The rates
// average to 1.
const (
	meanQuietSeconds = 60
	meanBurstSeconds = 20
	burstRate        = 1.8
	quietRate        = (meanQuietSeconds + meanBurstSeconds - burstRate*meanBurstSeconds) / meanQuietSeconds
)

// Arrivals makes the calls of a run. The same seed gives the same calls.
func Arrivals(s Size, schedule Schedule, seed uint64) []Arrival {
	var out []Arrival
	for w := range s.Workspaces {
		random := rand.New(rand.NewPCG(seed, uint64(w)+1))
		rate := s.CallsPerSecond * (1 - s.LargeShare) / float64(s.Workspaces-s.Large)
		prefixes := prefixesSmall
		if w < s.Large {
			rate = s.CallsPerSecond * s.LargeShare / float64(s.Large)
			prefixes = prefixesLarge
		}
		lengths := make([]int, prefixes)
		for i := range lengths {
			lengths[i] = logNormal(random, meanPrefixTokens, 0.4)
		}
		zipf := rand.NewZipf(random, 1.2, 2, uint64(prefixes-1))
		burst, phaseEnds := false, exponential(random, meanQuietSeconds)
		for at := 0.0; ; {
			present := rate * quietRate
			if burst {
				present = rate * burstRate
			}
			if w < s.Large {
				present *= schedule.surge(time.Duration(at * float64(time.Second)))
			}
			at += exponential(random, 1/present)
			if at > phaseEnds {
				at, burst = phaseEnds, !burst
				phaseEnds += exponential(random, map[bool]float64{false: meanQuietSeconds, true: meanBurstSeconds}[burst])
				continue
			}
			t := time.Duration(at * float64(time.Second))
			if t >= schedule.End {
				break
			}
			out = append(out, call(random, schedule, t, w, int(zipf.Uint64()), lengths))
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return out
}

// surge is the factor on the calls of large workspaces.
func (s Schedule) surge(at time.Duration) float64 {
	if s.LargeSurge > 0 && at >= s.ShiftBegin && at < s.Reclaim {
		return s.LargeSurge
	}
	return 1
}

func call(random *rand.Rand, s Schedule, at time.Duration, workspace, prefix int, lengths []int) Arrival {
	// The ratio changes by factor: half of it by longer prompts and half by
	// shorter answers, so that the work stays about the same.
	factor := math.Pow(s.RatioFactor, progress(s, at))
	meanPrompt := (meanPrefixTokens + meanTailTokens) * math.Sqrt(factor)
	tail := logNormal(random, max(50, meanPrompt-meanPrefixTokens), 0.6)
	a := Arrival{
		At: at, Workspace: workspace, PromptTokens: lengths[prefix] + tail,
		OutputTokens: max(8, logNormal(random, meanOutputTokens/math.Sqrt(factor), 0.5)),
	}
	unique := random.Uint64()
	for block := range a.PromptTokens / blockTokens {
		if (block+1)*blockTokens <= lengths[prefix] {
			a.Prefix = append(a.Prefix, mix(uint64(workspace)<<32|uint64(prefix)<<16|uint64(block)))
		} else {
			a.Prefix = append(a.Prefix, mix(unique+uint64(block)))
		}
	}
	return a
}

// progress is how much of the shift has happened, from 0 to 1.
func progress(s Schedule, at time.Duration) float64 {
	return min(1, max(0, (at-s.ShiftBegin).Seconds()/(s.ShiftEnd-s.ShiftBegin).Seconds()))
}

// logNormal returns a length with the given mean and deviation of the logarithm.
func logNormal(random *rand.Rand, mean, sigma float64) int {
	return int(mean * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}

func exponential(random *rand.Rand, mean float64) float64 { return random.ExpFloat64() * mean }

// mix spreads the bits of x, as a block hash would.
func mix(x uint64) uint64 {
	random := rand.NewPCG(x, 0x9e3779b97f4a7c15)
	return random.Uint64()
}

func workspaceName(i int) string { return fmt.Sprintf("workspace-%d", i) }
