// Package experiment compares routing, admission and planning policies in a
// simulation of entry nodes and engines in virtual time. All variants of a
// comparison get the same arrivals.
package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Deployment describes the engines, the network and the load of a deployment.
type Deployment struct {
	Name string
	// Engines is the number of engines at the start, spread evenly over Domains
	// failure domains. PrefillEngines of them start with the prefill role.
	Engines, Domains, PrefillEngines int
	// LargeWorkspaces of the Workspaces workspaces make LargeCallShare of all
	// calls, as a fraction of 1.
	Workspaces, LargeWorkspaces int
	LargeCallShare              float64
	// CallsPerSecond is the mean arrival rate of the whole deployment.
	CallsPerSecond float64
	// SameDomainRTT and CrossDomainRTT are the round-trip times within a failure
	// domain and between two failure domains.
	SameDomainRTT, CrossDomainRTT time.Duration
}

// The two present deployments. The call rates use about 70% of the capacity that
// the engines have at the start.
var (
	Faldur = Deployment{
		Name: "18 engines, 4 failure domains", Engines: 18, Domains: 4, PrefillEngines: 8, Workspaces: 8, LargeWorkspaces: 3, LargeCallShare: 0.75,
		CallsPerSecond: 33, SameDomainRTT: 200 * time.Microsecond, CrossDomainRTT: 800 * time.Microsecond,
	}
	Quispe = Deployment{
		Name: "12 engines, 3 failure domains", Engines: 12, Domains: 3, PrefillEngines: 5, Workspaces: 8, LargeWorkspaces: 3, LargeCallShare: 0.75,
		CallsPerSecond: 22, SameDomainRTT: 300 * time.Microsecond, CrossDomainRTT: 1400 * time.Microsecond,
	}
)

// Schedule defines the phases of a run and how the workload changes between them.
// Times count from the start of the run.
type Schedule struct {
	// WarmUp is the length of the initial phase, which is not measured.
	WarmUp time.Duration
	// The prompt-to-output ratio changes gradually from ShiftBegin to ShiftEnd.
	ShiftBegin, ShiftEnd time.Duration
	// ReclaimAt is when the failure domain with the most reclaimable engines
	// loses them. The time from then on is a measurement window of its own.
	ReclaimAt time.Duration
	End       time.Duration
	// RatioFactor is the prompt-to-output ratio after the shift divided by the
	// ratio before it.
	RatioFactor float64
	// LargeSurge multiplies the call rate of the large workspaces from
	// ShiftBegin to ReclaimAt. 0 means no change.
	LargeSurge float64
}

// DefaultSchedule returns a run of 12 minutes in which the prompt-to-output ratio
// changes by ratioFactor within 2 minutes.
func DefaultSchedule(ratioFactor float64) Schedule {
	return Schedule{
		WarmUp: time.Minute, ShiftBegin: 4 * time.Minute, ShiftEnd: 6 * time.Minute,
		ReclaimAt: 11 * time.Minute, End: 12 * time.Minute, RatioFactor: ratioFactor,
	}
}

// Arrival is a call that arrives at time At after the start of the run. Prefix holds
// the hashes of the prompt's full KV blocks.
type Arrival struct {
	At           time.Duration
	Workspace    int
	PromptTokens int
	OutputTokens int
	Prefix       []uint64
}

// Lengths of prompts and answers before the shift, in tokens. A prompt consists of
// one of the prefixes that the calls of its workspace share, and of a tail that no
// other call has.
const (
	meanPrefixTokens = 900
	meanTailTokens   = 600
	meanOutputTokens = 200
	prefixesLarge    = 40
	prefixesSmall    = 10
	blockTokens      = 16
)

// A workspace alternates between quiet and burst phases, in which its call rate is
// multiplied by quietRate and burstRate. The two average to 1 over time.
const (
	meanQuietSeconds = 60
	meanBurstSeconds = 20
	burstRate        = 1.8
	quietRate        = (meanQuietSeconds + meanBurstSeconds - burstRate*meanBurstSeconds) / meanQuietSeconds
)

// Arrivals generates the calls of a run in order of arrival. The same seed gives
// the same calls.
func Arrivals(deployment Deployment, schedule Schedule, seed uint64) []Arrival {
	var out []Arrival
	for w := range deployment.Workspaces {
		random := rand.New(rand.NewPCG(seed, uint64(w)+1))
		rate := deployment.CallsPerSecond * (1 - deployment.LargeCallShare) / float64(deployment.Workspaces-deployment.LargeWorkspaces)
		prefixes := prefixesSmall
		if w < deployment.LargeWorkspaces {
			rate = deployment.CallsPerSecond * deployment.LargeCallShare / float64(deployment.LargeWorkspaces)
			prefixes = prefixesLarge
		}
		prefixLengths := make([]int, prefixes)
		for i := range prefixLengths {
			prefixLengths[i] = logNormal(random, meanPrefixTokens, 0.4)
		}
		zipf := rand.NewZipf(random, 1.2, 2, uint64(prefixes-1))
		burst, phaseEnds := false, exponential(random, meanQuietSeconds)
		for at := 0.0; ; {
			callRate := rate * quietRate
			if burst {
				callRate = rate * burstRate
			}
			if w < deployment.LargeWorkspaces {
				callRate *= schedule.surgeFactor(time.Duration(at * float64(time.Second)))
			}
			at += exponential(random, 1/callRate)
			if at > phaseEnds {
				at, burst = phaseEnds, !burst
				phaseEnds += exponential(random, map[bool]float64{false: meanQuietSeconds, true: meanBurstSeconds}[burst])
				continue
			}
			t := time.Duration(at * float64(time.Second))
			if t >= schedule.End {
				break
			}
			out = append(out, newArrival(random, schedule, t, w, int(zipf.Uint64()), prefixLengths))
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return out
}

// surgeFactor returns the factor on the call rate of large workspaces.
func (s Schedule) surgeFactor(at time.Duration) float64 {
	if s.LargeSurge > 0 && at >= s.ShiftBegin && at < s.ReclaimAt {
		return s.LargeSurge
	}
	return 1
}

func newArrival(random *rand.Rand, s Schedule, at time.Duration, workspace, prefix int, prefixLengths []int) Arrival {
	// The prompt-to-output ratio changes by factor. Prompts get longer and answers
	// shorter by its square root each, so that the work stays about the same.
	factor := math.Pow(s.RatioFactor, shiftProgress(s, at))
	meanPrompt := (meanPrefixTokens + meanTailTokens) * math.Sqrt(factor)
	tailTokens := logNormal(random, max(50, meanPrompt-meanPrefixTokens), 0.6)
	a := Arrival{
		At: at, Workspace: workspace, PromptTokens: prefixLengths[prefix] + tailTokens,
		OutputTokens: max(8, logNormal(random, meanOutputTokens/math.Sqrt(factor), 0.5)),
	}
	tailSeed := random.Uint64()
	for block := range a.PromptTokens / blockTokens {
		if (block+1)*blockTokens <= prefixLengths[prefix] {
			a.Prefix = append(a.Prefix, blockHash(uint64(workspace)<<32|uint64(prefix)<<16|uint64(block)))
		} else {
			a.Prefix = append(a.Prefix, blockHash(tailSeed+uint64(block)))
		}
	}
	return a
}

// shiftProgress returns the elapsed fraction of the shift, from 0 to 1.
func shiftProgress(s Schedule, at time.Duration) float64 {
	return min(1, max(0, (at-s.ShiftBegin).Seconds()/(s.ShiftEnd-s.ShiftBegin).Seconds()))
}

// logNormal returns a random length from a log-normal distribution with the given
// mean and the standard deviation sigma of its logarithm.
func logNormal(random *rand.Rand, mean, sigma float64) int {
	return int(mean * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}

func exponential(random *rand.Rand, mean float64) float64 { return random.ExpFloat64() * mean }

// blockHash returns a pseudo-random hash for block x.
func blockHash(x uint64) uint64 {
	random := rand.NewPCG(x, 0x9e3779b97f4a7c15)
	return random.Uint64()
}

func workspaceName(i int) string { return fmt.Sprintf("workspace-%d", i) }
