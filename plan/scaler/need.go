package scaler

import (
	"time"

	"github.com/figweir/figweir/plan"
)

const (
	// startupHeadroom is the spare capacity, as a fraction of the initial engines, until
	// the demand is known.
	startupHeadroom = 0.4
	// maxForecastGrowth limits how far the need may exceed the recent peak because the
	// demand grows. The slope of a wave predicts more than its crest.
	maxForecastGrowth = 1.15
	// hardPrefillLoad and hardDecodeLoad are the utilization that the reclaim of a failure
	// domain may cause until replacements run. Prompts whose cache was lost there are
	// processed again meanwhile, so a higher utilization would let queues grow without bound.
	hardPrefillLoad, hardDecodeLoad = 0.7, 0.55
	// highestShare is the fraction of the highest need of the tenure that is kept also when
	// there is no traffic, so that traffic that returns finds engines while others start.
	// highestDecay is how much the highest need falls at each decision; it halves in about
	// ten minutes.
	highestShare = 0.5
	highestDecay = 0.0006
)

// Need is how many engines of speed 1 the demand requires.
type Need struct {
	// Total keeps the utilization at its targets at the recent peak, and contains the
	// headroom while the demand is unknown. Running is Total without that headroom.
	Total, Running float64
	// Hard is the least that must run, also after the reclaim of a failure domain.
	Hard float64
	// Floor is the number of engines that is kept until the demand has been observed
	// over a full period; 0 after that.
	Floor int
	// Kept is the greatest need for the demand over keepWindow, half of the highest one, or
	// what Total contains besides. Only what exceeds it is released.
	Kept float64
	// PrefillLoad and DecodeLoad are the utilization targets.
	PrefillLoad, DecodeLoad float64
	// Reason names what determined Total: "start-up headroom", "initial engines",
	// "demand" or "reserve for a reclaim".
	Reason string
	// Stale is set if the last sample of the demand is too old to release servers.
	Stale bool
}

// updateNeed computes the need and adds it to the recent ones.
func (c *Controller) updateNeed(now time.Time, v *plan.ScalingView, d *Demand) {
	n := Need{
		Reason: "demand", Stale: d.Age(now) > maxSampleAge,
		PrefillLoad: v.Needs.PrefillLoad(v.PrefillTokensPerSecond), DecodeLoad: v.Needs.DecodeLoad(),
	}
	tokens, streams := d.PromptTokens(), d.Streams()
	known := v.Slots > 0 && v.PrefillTokensPerSecond > 0 && tokens.RecentPeak > 0
	if known {
		n.setForDemand(v, tokens, streams)
	}
	c.demands = append(c.demands, timedValue{now, n.Running})
	for now.Sub(c.demands[0].at) > keepWindow {
		c.demands = c.demands[1:]
	}
	for _, t := range c.demands {
		n.Kept = max(n.Kept, t.value)
	}
	c.highest = max(c.highest*(1-highestDecay), n.Running)
	n.Kept = max(n.Kept, highestShare*c.highest)
	if !known || !v.DemandSettled {
		n.Floor = c.initial
		if float64(n.Floor) > n.Running {
			n.Running, n.Reason = float64(n.Floor), "initial engines"
		}
	}
	n.Total = n.Running
	headroom := float64(n.Floor) * (1 + startupHeadroom)
	if !known && !c.takenOver && headroom > n.Total {
		n.Total, n.Reason = headroom, "start-up headroom"
	}
	n.Kept = max(n.Kept, n.Total)
	if !c.takenOver {
		// Servers released during the first seconds of traffic would have streams.
		n.Kept = max(n.Kept, headroom)
	}
	c.need = n
}

// setForDemand sets Running and Hard to what the demand requires.
func (n *Need) setForDemand(v *plan.ScalingView, tokens, streams Estimate) {
	rate, slots := v.PrefillTokensPerSecond, float64(v.Slots)
	prefill := forecast(tokens, v.StartupTime) / (rate * n.PrefillLoad)
	decode := forecast(streams, v.StartupTime) / (slots * n.DecodeLoad)
	n.Running = prefill + max(decode, float64(len(v.FailureDomains)))
	n.Hard = tokens.RecentPeak/(rate*hardPrefillLoad) + streams.RecentPeak/(slots*hardDecodeLoad)
	// With the engines spread evenly, the reclaim of one failure domain must leave Hard.
	if domains := float64(len(v.FailureDomains)); domains > 1 {
		if reserve := n.Hard * domains / (domains - 1); reserve > n.Running {
			n.Running, n.Reason = reserve, "reserve for a reclaim"
		}
	}
}

// forecast returns the demand to provide for when a server ordered now accepts requests.
func forecast(e Estimate, startup time.Duration) float64 {
	return max(e.RecentPeak, min(e.Mean+e.Slope*startup.Seconds(), e.RecentPeak*maxForecastGrowth))
}
