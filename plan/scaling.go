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
	// Speed is the measured speed of the engine relative to a usual one; 0 counts as 1.
	Speed float64
}

// minSpeed limits how slow an engine may count. An engine that measures slower than a
// tenth of the usual speed has stopped rather than become slow, and it may recover.
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
	// PromptTokensPerSecond is the recent peak of the prefill demand; 0 if
	// unknown.
	PromptTokensPerSecond float64
	// MinEngines is the number of engines to keep regardless of the demand.
	MinEngines int
	// Streams is the recent peak of the number of running streams; 0 if
	// unknown.
	Streams float64
	// DemandSettled is true if the demand was observed long enough to reduce the
	// number of engines, or of engines in a role, below that at startup.
	DemandSettled bool
	// Slots is the number of streams that one engine decodes concurrently.
	Slots int
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

// EnginesPerDomain returns the target number of engines per failure domain where no
// reclaimable engines are offered.
func (v *ScalingView) EnginesPerDomain() int {
	domains := max(1, len(v.FailureDomains))
	total := float64(v.MinEngines)
	if v.PromptTokensPerSecond <= 0 {
		total *= 1 + startupHeadroom
	}
	if prefill := v.prefillNeed(); prefill > 0 {
		total = max(total, prefill+max(v.decodeNeed(), float64(v.DecodeEngines())))
	}
	n := int(math.Ceil(total / float64(domains)))
	return min(max(n, v.MinPerDomain, 2), max(v.MaxPerDomain, 1))
}

// RunningEngines returns the number of running engines of a class in a failure domain, or
// in all if domain is empty.
func (v *ScalingView) RunningEngines(domain string, reclaimable bool) int {
	n := 0
	for _, e := range v.Engines {
		n += boolToInt((domain == "" || e.FailureDomain == domain) && e.Reclaimable == reclaimable)
	}
	return n
}

// Speed returns the sum of the speeds of the running engines.
func (v *ScalingView) Speed() float64 {
	sum := 0.0
	for _, e := range v.Engines {
		sum += e.RelativeSpeed()
	}
	return sum
}
