package scaler

import (
	"math"
	"time"

	"github.com/figweir/figweir/plan"
)

const (
	// refusalTime is how long no reclaimable servers are ordered in a failure domain
	// after an order was refused there.
	refusalTime = 8 * time.Second
	// lateTime is how much longer an order without an answer may take to have its
	// effect.
	lateTime = 12 * time.Second
	// startMargin is how much longer than the startup time an accepted order may take
	// until its servers are registered and read.
	startMargin = 2 * time.Second
	// releaseDelay is how long standard engines that were ordered are kept beyond their
	// start, so that they are not released and ordered again around a reclaim.
	releaseDelay = 3 * time.Second
)

// Key identifies the servers that an order concerns: those of one class in one failure
// domain.
type Key struct {
	FailureDomain string
	Reclaimable   bool
}

// Order sets the total number of servers of a class in a failure domain.
type Order struct {
	Key
	Count int
	// Present is the number of running servers of the class there.
	Present int
	// Reason states what the order is for.
	Reason string
	// Probe is set if the order only shows whether reclaimable servers are available again.
	// The orders that follow from it are computed after it.
	Probe bool
}

// Outcome is what became of an order.
type Outcome int

// The outcomes of an order.
const (
	// Accepted orders take effect within the startup time.
	Accepted Outcome = iota
	// Refused orders have no effect because the platform has none of these servers.
	Refused
	// NoEffect orders did not reach the platform or were rejected for another reason.
	NoEffect
	// Unknown orders had no answer. They may take effect up to lateTime later.
	Unknown
)

// keyState is what the controller knows of one key.
type keyState struct {
	// count was ordered last, at sentAt.
	count   int
	sentAt  time.Time
	outcome Outcome
	// raisedAt is when the count was last raised.
	raisedAt time.Time
	// restored is set if the order is that of the previous holder of the duty; sentAt is
	// then when this holder took the duty, since the time of the order is not known.
	restored bool
}

// pending returns until when servers that the order asked for may still be starting.
func (s *keyState) pending(startup time.Duration) time.Time {
	switch {
	case s.outcome == Accepted:
		return s.sentAt.Add(startup + startMargin)
	case s.outcome == Unknown:
		return s.sentAt.Add(startup + lateTime)
	}
	return s.sentAt
}

// Controller decides on the orders for one service while this node holds the duty. It is
// not safe for concurrent use.
type Controller struct {
	heldSince time.Time
	orders    map[Key]*keyState
	tracker   *plan.OrderTracker[Key]
	// refusedUntil holds the failure domains where reclaimable servers were refused. It
	// keeps a failure domain until an order there is accepted.
	refusedUntil map[string]time.Time
	// initial is the number of engines that ran or were starting when the duty was taken;
	// -1 until the first decision. takenOver is set if orders of a previous holder are known.
	initial   int
	takenOver bool
	// minPerClass is set once the platform has kept the minimum of a failure domain for
	// standard servers alone, although reclaimable ones run there.
	minPerClass bool
	// highest is the highest need for the demand, see highestDecay.
	highest float64
	// demands are the needs for the demand over keepWindow.
	demands []timedValue
	need    Need
	// minimum is the number of engines that ordersByCount keeps; 0 until it is known.
	minimum int
	// lastDecode and lastPrefill are when engines were last changed to these roles.
	lastDecode, lastPrefill time.Time
}

// NewController returns a controller for a holder that took the duty at the given time.
// restored holds the counts that the previous holder had ordered, and total the engines
// that it had decided on; both may be empty. Only ordersByCount orders servers because of
// total. Otherwise neither is a reason to order any: total may be too high, and it says
// nothing about the demand.
func NewController(heldSince time.Time, total int, restored map[Key]int) *Controller {
	c := &Controller{
		heldSince: heldSince, initial: -1, takenOver: len(restored) > 0, minimum: total, orders: make(map[Key]*keyState),
		tracker: plan.NewOrderTracker[Key](), refusedUntil: make(map[string]time.Time),
	}
	for k, n := range restored {
		c.orders[k] = &keyState{count: n, sentAt: heldSince, raisedAt: heldSince, restored: true}
	}
	return c
}

// State returns what the next holder needs to know: the engines decided on and the counts
// ordered.
func (c *Controller) State() (total int, ordered map[Key]int) {
	ordered = make(map[Key]int, len(c.orders))
	for k, s := range c.orders {
		if s.outcome == Accepted || s.outcome == Unknown {
			ordered[k] = s.count
		}
	}
	return int(math.Ceil(c.need.Running)), ordered
}

// Unavailable reports whether reclaimable servers are assumed to be unavailable in a
// failure domain.
func (c *Controller) Unavailable(now time.Time, domain string) bool {
	return now.Before(c.refusedUntil[domain])
}

// Record stores the outcome of an order that Orders returned.
func (c *Controller) Record(now time.Time, v *plan.ScalingView, o Order, outcome Outcome) {
	c.tracker.Record(now, o.Key, o.Count, o.Present, outcome != Accepted)
	if o.Probe {
		c.tracker.Forget(o.Key)
	}
	s := &keyState{count: o.Count, sentAt: now, outcome: outcome}
	if old := c.orders[o.Key]; old != nil {
		s.raisedAt = old.raisedAt
	}
	if o.Count > o.Present {
		s.raisedAt = now
	}
	c.orders[o.Key] = s
	switch {
	case o.Reclaimable && outcome == Refused:
		c.refusedUntil[o.FailureDomain] = now.Add(refusalTime)
	case o.Reclaimable && outcome == Accepted && o.Count > o.Present:
		delete(c.refusedUntil, o.FailureDomain)
	case !o.Reclaimable && outcome == NoEffect && o.Count < v.MinPerDomain:
		c.minPerClass = true
	}
}

// Need returns the need that the last orders were computed from.
func (c *Controller) Need() Need { return c.need }

// Orders returns the orders that are due. Within a failure domain a class is reduced
// before the other is raised, because the maximum covers both. The caller sends and
// records them, and asks again if one was refused. Nothing is ordered without a maximum.
func (c *Controller) Orders(now time.Time, v *plan.ScalingView, d *Demand) []Order {
	if v.MaxPerDomain <= 0 {
		return nil
	}
	t := c.newTargets(now, v)
	if c.initial < 0 {
		c.initial = t.countAll()
	}
	c.updateNeed(now, v, d)
	c.tracker.PromptReleases = v.SpeedsKnown
	if !v.SpeedsKnown || v.ReclaimablePrice <= 0 || v.ReclaimablePrice >= 1 {
		return c.ordersByCount(now, v)
	}
	t.setMinStandard()
	t.place()
	t.releaseStandard()
	t.releaseReclaimable()
	t.applyLimits()
	return c.dueOrders(t)
}

// dueOrders returns the orders that are due for the targets, the lower counts first.
func (c *Controller) dueOrders(t *targets) []Order {
	var lower, raise []Order
	for _, domain := range t.v.FailureDomains {
		for _, reclaimable := range []bool{false, true} {
			key := Key{domain, reclaimable}
			count, running := t.count[key], t.running[key]
			if count == running || reclaimable && count > running && !t.available[domain] {
				continue
			}
			if !c.tracker.Due(t.now, key, count, running) {
				continue
			}
			o := Order{Key: key, Count: count, Present: running, Reason: t.reason[key]}
			if count < running {
				lower = append(lower, o)
			} else {
				raise = append(raise, o)
			}
		}
	}
	return append(lower, raise...)
}

const (
	// prefillHold is how long after a change to decode no engine changes to prefill. It
	// covers a period of the load, so that engines don't change back and forth while the
	// mix of prompts and answers shifts.
	prefillHold = 12 * time.Second
	// decodeHold is how long after a change to prefill none changes back for a small lack
	// of decode engines, below decodeHoldLack of those wanted. It covers two bursts in turn.
	decodeHold     = 30 * time.Second
	decodeHoldLack = 0.2
)

// RoleChanges returns at most limit role changes. Changes to decode are held back for a
// small lack only, because no stream runs without a decode engine.
func (c *Controller) RoleChanges(now time.Time, v *plan.ScalingView, limit int) []plan.RoleAssignment {
	if !v.SpeedsKnown {
		return v.RoleChanges(limit)
	}
	view, decoding := *v, v.DecodingEngines()
	settling := c.takenOver && !v.DemandSettled && now.Sub(c.heldSince) < warmup && decoding > 0 && decoding < len(v.Engines)
	if settling {
		// The previous holder had settled the roles. Until this one knows the demand, only
		// a lack of decode engines is a reason to change them.
		if v.Streams <= 0 {
			return nil
		}
		view.DemandSettled = true
	}
	changes := view.RoleChanges(limit)
	held := settling || !c.lastDecode.IsZero() && now.Sub(c.lastDecode) < prefillHold
	wanted := view.DecodeEngines()
	decodeHeld := !c.lastPrefill.IsZero() && now.Sub(c.lastPrefill) < decodeHold && decoding > 0 &&
		float64(wanted-decoding) < decodeHoldLack*float64(wanted)
	kept := changes[:0]
	for _, change := range changes {
		if change.Prefill && held || !change.Prefill && decodeHeld {
			continue
		}
		switch {
		case v.Streams <= 0: // no stream is affected, so no later change is held back
		case change.Prefill:
			c.lastPrefill = now
		default:
			c.lastDecode = now
		}
		kept = append(kept, change)
	}
	return kept
}
