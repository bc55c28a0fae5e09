package gateway

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/figweir/figweir/core"
	"github.com/figweir/figweir/plan"
	"github.com/figweir/figweir/plan/scaler"
	"github.com/figweir/figweir/platform"
)

// maxOrderRounds is how often the controller is asked at most in one round of scaling: at first, after
// probes, and after a refusal.
const maxOrderRounds = 3

// orderServers sends the orders that the controller of a service decides on. The
// controller is asked again after a probe or a refusal, which change the decision.
func (a *autoscaler) orderServers(ctx context.Context, token uint64, service *core.Service, c *scaler.Controller, v *plan.ScalingView) {
	sent, again := false, true
	for round := 0; again && round < maxOrderRounds; round++ {
		var more bool
		more, again = a.sendOrders(ctx, token, service.Name, c, v)
		sent = sent || more
	}
	if sent {
		total, ordered := c.State()
		a.storeOrdered(ctx, service.Name, total, ordered)
	}
}

// sendOrders sends the orders of one decision. again is true if one of them was a probe, or
// reclaimable servers were refused, and this node still holds the duty.
func (a *autoscaler) sendOrders(ctx context.Context, token uint64, service string, c *scaler.Controller, v *plan.ScalingView) (sent, again bool) {
	for _, o := range c.Orders(time.Now(), v, &a.demand) {
		// The previous call may have taken longer than the lease was valid.
		if current, held := a.duty.FencingToken(); !held || current != token {
			return sent, false
		}
		sent = true
		switch outcome := a.sendOrder(ctx, token, service, c, v, o); {
		case outcome == scaler.Refused && !o.Reclaimable:
			// Standard servers are always available, so the conflict means a newer holder.
			a.duty.MarkLost()
			return sent, false
		case outcome == scaler.Unknown:
			// Each further call could block the sampling of the demand as long. What is
			// still due follows in the next round, with the servers known then.
			return sent, false
		case outcome == scaler.Refused || o.Probe:
			again = true
		}
	}
	return sent, again
}

// sendOrder sends one order and records its outcome.
func (a *autoscaler) sendOrder(ctx context.Context, token uint64, service string, c *scaler.Controller, v *plan.ScalingView, o scaler.Order) scaler.Outcome {
	err := a.cloud.OrderServers(ctx, token, platform.ServerOrder{
		Service: service, FailureDomain: o.FailureDomain, Count: o.Count, Reclaimable: o.Reclaimable,
	})
	need, tokens, streams := c.Need(), a.demand.PromptTokens(), a.demand.Streams()
	a.log.Info("servers ordered", "service", service, "failure_domain", o.FailureDomain, "reclaimable", o.Reclaimable,
		"count", o.Count, "present", o.Present, "reason", o.Reason, "fencing_token", token, "engines", len(v.Engines),
		"need", int(math.Ceil(need.Total)), "need_at_least", int(math.Ceil(need.Hard)), "floor", need.Floor, "capacity", int(v.Speed()),
		"prompt_tokens_per_s", int(tokens.RecentPeak), "mean_prompt_tokens_per_s", int(tokens.Mean), "slope", int(tokens.Slope),
		"engine_tokens_per_s", int(v.PrefillTokensPerSecond), "streams", int(streams.RecentPeak),
		"prefill_load_percent", int(100*need.PrefillLoad), "decode_load_percent", int(100*need.DecodeLoad), "error", errorText(err))
	outcome := outcomeOf(err)
	// The call may have taken seconds, so the order counts from its end.
	c.Record(time.Now(), v, o, outcome)
	return outcome
}

// outcomeOf returns the outcome that an error of the platform means for an order.
func outcomeOf(err error) scaler.Outcome {
	switch {
	case err == nil:
		return scaler.Accepted
	case errors.Is(err, platform.ErrFenced):
		return scaler.Refused
	case errors.Is(err, platform.ErrNoEffect):
		return scaler.NoEffect
	}
	return scaler.Unknown
}
