package plan

import (
	"math"
	"time"
)

// Engine describes a running engine of the service to scale.
type Engine struct {
	ID            string
	FailureDomain string
	// Prefill is true if the engine processes prompts for decode engines, and
	// false if it decodes.
	Prefill     bool
	Reclaimable bool
	// Requests is the number of requests in progress.
	Requests int
	// Speed is the speed that the engine states, relative to a usual one; 0 counts as 1.
	Speed float64
}

// minSpeed limits how slow an engine may count. An engine below a tenth of the usual speed
// has probably stopped rather than become slow, and it may recover.
const minSpeed = 0.1

// RelativeSpeed returns the speed of the engine relative to a usual one.
func (e Engine) RelativeSpeed() float64 {
	if !(e.Speed > 0) || math.IsInf(e.Speed, 1) {
		return 1
	}
	return max(e.Speed, minSpeed)
}

// ScalingView is the state of one service that its target capacity depends on.
type ScalingView struct {
	// Engines are the running engines of the service without those that are
	// leaving.
	Engines []Engine
	// FailureDomains are the failure domains in which engines can be ordered,
	// sorted.
	FailureDomains []string
	// MinPerDomain and MaxPerDomain limit the number of engines per failure
	// domain, both classes together.
	MinPerDomain, MaxPerDomain int
	// ReclaimablePrice is the price of a reclaimable engine as a fraction of
	// the price of a standard one; 0 if the platform offers none.
	ReclaimablePrice float64
	// Unavailable holds the failure domains that currently offer no reclaimable
	// engines. Only TargetCapacity uses it.
	Unavailable map[string]bool
	// PromptTokensPerSecond is the prefill demand, as a peak that decays slowly; 0 if
	// unknown.
	PromptTokensPerSecond float64
	// MinEngines is the number of engines to keep regardless of the demand. Only
	// EnginesPerDomain uses it.
	MinEngines int
	// Streams is the number of running streams, as a peak that decays slowly; 0 if
	// unknown.
	Streams float64
	// DemandSettled is true if the demand was observed long enough to reduce the
	// number of engines, or of engines in a role, below that at startup.
	DemandSettled bool
	// Slots is the number of streams that one engine decodes concurrently.
	Slots int
	// SpeedsKnown is true if at least one engine of the service has stated its speed.
	SpeedsKnown bool
	// PrefillTokensPerSecond is the prompt throughput of one prefill engine of speed 1.
	PrefillTokensPerSecond float64
	// Prices holds the price of a server-second by failure domain; a missing one
	// counts as 1.
	Prices map[string]float64
	// StartupTime is the time from an order until the engine accepts requests.
	StartupTime time.Duration
	// Needs holds the inputs of the utilization of engines.
	Needs LatencyNeeds
}

// Capacity is the number of engines of each class in one failure domain.
type Capacity struct {
	Standard, Reclaimable int
}

const (
	// prefillLoad is the load of prefill engines at which queues stay short
	// while the demand varies.
	prefillLoad = 0.45
	// startupHeadroom is the spare capacity, as a fraction of the initial
	// engines, until the demand is known.
	startupHeadroom = 0.4
	// decodeLoad is the fraction of the decode slots that running streams may
	// occupy at the recent peak. A request that finds no free slot waits as
	// long as a stream lasts.
	decodeLoad = 0.25
	// minSurplus is the number of surplus decode engines required before one
	// becomes a prefill engine. A change takes seconds, and the demand varies.
	minSurplus = 3
	// defaultDecodeShare is the fraction of engines that decode while the
	// demand is unknown.
	defaultDecodeShare = 0.4
)

// TargetCapacity returns the target capacity of each failure domain for a service that is
// scaled by the number of its engines, without their speeds. Each failure domain
// keeps its minimum as standard engines, so that it keeps serving through a
// reclaim; the rest are reclaimable engines where available.
func TargetCapacity(v *ScalingView) map[string]Capacity {
	perDomain := v.EnginesPerDomain()
	extraPerDomain, uncovered := v.shiftToOthers(perDomain)
	atTarget := len(v.Engines) >= perDomain*len(v.FailureDomains)
	out := make(map[string]Capacity, len(v.FailureDomains))
	for _, d := range v.FailureDomains {
		running := v.count(d)
		target := Capacity{Standard: perDomain}
		if v.ReclaimablePrice > 0 && v.ReclaimablePrice < 1 {
			target.Standard = v.minStandard(perDomain)
			target.Reclaimable = perDomain - target.Standard
		}
		if v.Unavailable[d] {
			target.Reclaimable = running.Reclaimable
			target.Standard = max(target.Standard, v.standardReplacements(perDomain, running, uncovered))
		} else {
			target = v.stepToReclaimable(target, running, perDomain)
			target.Reclaimable += extraPerDomain
			if !atTarget {
				target.Reclaimable = max(target.Reclaimable, running.Reclaimable)
			}
		}
		if over := target.Standard + target.Reclaimable - v.MaxPerDomain; over > 0 {
			target.Reclaimable = max(0, target.Reclaimable-over)
		}
		out[d] = target
	}
	return out
}

// minStandard returns the number of standard engines a failure domain keeps
// where reclaimable engines are available.
func (v *ScalingView) minStandard(perDomain int) int {
	return min(perDomain, max(1, v.MinPerDomain))
}

// swapShare is the fraction of the missing reclaimable engines for which
// standard engines are stopped per step if the failure domain has no room for
// both.
const swapShare = 1.0 / 3

// stepToReclaimable returns the next step from the running to the wanted
// capacity. Standard engines are stopped only when the reclaimable engines that
// replace them are running, or to make room for some of them.
func (v *ScalingView) stepToReclaimable(want, running Capacity, perDomain int) Capacity {
	missing := want.Reclaimable - running.Reclaimable
	if missing <= 0 || running.Standard <= want.Standard {
		return want
	}
	next := want
	next.Standard = min(running.Standard, max(want.Standard, min(perDomain, want.Standard+missing)))
	if next.Standard < v.MaxPerDomain-running.Reclaimable {
		return next
	}
	step := int(math.Ceil(swapShare * float64(missing)))
	next.Standard = max(want.Standard, v.MaxPerDomain-running.Reclaimable-step)
	return next
}

// shiftToOthers returns how many extra reclaimable engines each available
// failure domain gets to replace those of unavailable ones, and the fraction of
// the missing engines that exceeds the limits there.
func (v *ScalingView) shiftToOthers(perDomain int) (extraPerDomain int, uncovered float64) {
	missing, others := 0, 0
	for _, d := range v.FailureDomains {
		if v.Unavailable[d] {
			missing += max(0, perDomain-v.count(d).Reclaimable-v.minStandard(perDomain))
		} else {
			others++
		}
	}
	if missing == 0 || others == 0 || v.PromptTokensPerSecond <= 0 {
		return 0, 1
	}
	extraPerDomain = (missing + others - 1) / others
	extraPerDomain = max(0, min(extraPerDomain, v.MaxPerDomain-perDomain))
	return extraPerDomain, max(0, 1-float64(extraPerDomain*others)/float64(missing))
}

// standardReplacements returns the number of standard engines that a failure
// domain without available reclaimable engines needs for the uncovered fraction
// of its missing engines. While the demand is unknown, running ones are kept
// and no more are ordered.
func (v *ScalingView) standardReplacements(perDomain int, running Capacity, uncovered float64) int {
	missing := perDomain - running.Reclaimable
	if v.PromptTokensPerSecond <= 0 {
		missing = min(running.Standard, missing)
	}
	missing = int(math.Ceil(uncovered * float64(missing)))
	// Leave room for one engine: ordering it shows when reclaimable engines are
	// available again.
	return min(missing, max(running.Standard, v.MaxPerDomain-running.Reclaimable-1))
}

// EnginesPerDomain returns the target number of engines per failure domain, both
// classes together.
func (v *ScalingView) EnginesPerDomain() int {
	domains := max(1, len(v.FailureDomains))
	total := float64(v.MinEngines)
	if v.PromptTokensPerSecond <= 0 && v.count("").Reclaimable == 0 {
		total *= 1 + startupHeadroom
	}
	if prefill := v.prefillNeed(); prefill > 0 {
		total = max(total, prefill+max(v.decodeNeed(), float64(v.DecodeEngines())))
	}
	n := int(math.Ceil(total / float64(domains)))
	return min(max(n, v.MinPerDomain, 2), max(v.MaxPerDomain, 1))
}

// RunningEngines returns the number of running engines of a class in a failure domain.
func (v *ScalingView) RunningEngines(domain string, reclaimable bool) int {
	c := v.count(domain)
	if reclaimable {
		return c.Reclaimable
	}
	return c.Standard
}

// Speed returns the sum of the speeds of the running engines.
func (v *ScalingView) Speed() float64 {
	sum := 0.0
	for _, e := range v.Engines {
		sum += e.RelativeSpeed()
	}
	return sum
}

// count counts the engines of a failure domain, or all engines if domain is
// empty.
func (v *ScalingView) count(domain string) Capacity {
	var c Capacity
	for _, e := range v.Engines {
		if domain != "" && e.FailureDomain != domain {
			continue
		}
		if e.Reclaimable {
			c.Reclaimable++
		} else {
			c.Standard++
		}
	}
	return c
}
