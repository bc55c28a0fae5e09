package scaler

import (
	"time"

	"github.com/figweir/figweir/plan"
)

// ordersByCount returns the orders for a service whose engines don't state their speeds, or for
// which no reclaimable servers are offered. The number of servers follows the greatest demand since
// the duty was taken: without speeds it is not known what the running ones can do, so a lower number
// is not safe.
func (c *Controller) ordersByCount(now time.Time, v *plan.ScalingView) []Order {
	if c.minimum == 0 {
		c.minimum = c.initial
	}
	v.MinEngines = c.minimum
	if v.PromptTokensPerSecond > 0 || c.tracker.Empty() {
		c.minimum = max(c.minimum, v.EnginesPerDomain()*len(v.FailureDomains))
		v.MinEngines = c.minimum
	}
	c.need.Running, c.need.Total = float64(c.minimum), float64(c.minimum)
	if probes := c.probes(now, v); len(probes) > 0 {
		return probes
	}
	v.Unavailable = make(map[string]bool, len(v.FailureDomains))
	for _, d := range v.FailureDomains {
		v.Unavailable[d] = c.Unavailable(now, d)
	}
	capacities := plan.TargetCapacity(v)
	offered := v.ReclaimablePrice > 0 && v.ReclaimablePrice < 1
	var lower, reclaimable, standard []Order
	for _, d := range v.FailureDomains {
		available, target := offered && !v.Unavailable[d], capacities[d]
		if o, due := c.orderByCount(now, v, Key{d, false}, target.Standard); due {
			if available && o.Count < o.Present {
				// The maximum covers both classes, so one is reduced before the other is raised.
				lower = append(lower, o)
			} else {
				standard = append(standard, o)
			}
		}
		if o, due := c.orderByCount(now, v, Key{d, true}, target.Reclaimable); due && available {
			reclaimable = append(reclaimable, o)
		}
	}
	return append(append(lower, reclaimable...), standard...)
}

// orderByCount returns the order that sets a key to count servers, and whether it is due.
func (c *Controller) orderByCount(now time.Time, v *plan.ScalingView, k Key, count int) (o Order, due bool) {
	o = Order{Key: k, Count: count, Present: v.RunningEngines(k.FailureDomain, k.Reclaimable), Reason: c.need.Reason}
	if k.Reclaimable && count == 0 && !c.tracker.HasOrder(k) {
		return o, false
	}
	return o, c.tracker.Due(now, k, count, o.Present)
}

// probes returns orders of one more reclaimable server for the failure domains where such an order
// was refused and refusalTime has passed. They are sent before any standard server is released.
func (c *Controller) probes(now time.Time, v *plan.ScalingView) []Order {
	var orders []Order
	for _, d := range v.FailureDomains {
		until, refused := c.refusedUntil[d]
		if !refused || now.Before(until) {
			continue
		}
		delete(c.refusedUntil, d)
		running := v.RunningEngines(d, true)
		if running+v.RunningEngines(d, false) < v.MaxPerDomain {
			orders = append(orders, Order{Key: Key{d, true}, Count: running + 1, Present: running, Reason: "availability of reclaimable servers", Probe: true})
		}
	}
	return orders
}
