package backends

import (
	"sync"
	"time"

	"github.com/figweir/figweir/capacity"
)

// The functions of this file are for servers that state their speed. The choice among servers
// that don't is the same as without them.

const (
	// eventPauseShare is the share of the target pause up to which the expected time between
	// events costs nothing. The longest of some dozens of pauses counts, so the expected one
	// must stay well below the target.
	eventPauseShare = 0.6
	// minEventInterval is the shortest interval that counts as one between events. Events that
	// arrive closer together were sent together.
	minEventInterval = time.Millisecond
)

// eventTimes holds the event times by service: engines of one service are of one type.
type eventTimes struct{ byService sync.Map }

// of returns the event times of a service.
func (t *eventTimes) of(service string) *capacity.EventTime {
	if v, ok := t.byService.Load(service); ok {
		return v.(*capacity.EventTime)
	}
	v, _ := t.byService.LoadOrStore(service, new(capacity.EventTime))
	return v.(*capacity.EventTime)
}

// scaledShare returns the share of busy slots of a service, scaled by the slowdown of the server
// so that an idle slow server is dearer than an idle fast one. At the usual speed it is the
// share of busy slots.
func scaledShare(requests, slots, slowdown float64) float64 {
	return (slowdown*(requests+1) - 1) / slots
}

// usualPromptRate returns the rate of prompt processing in tokens per millisecond of a server
// at its usual speed, by its role.
func (b *Balancer) usualPromptRate(role Role) float64 {
	if role == RoleDecode {
		return b.decodeRate.TokensPerMilli(decodeTokensPerMilli)
	}
	return b.prefillRate.TokensPerMilli(prefillTokensPerMilli)
}

// promptRate returns the rate of prompt processing of a server in tokens per millisecond.
// usualRate is that of the servers of its role at their usual speed.
func promptRate(e *capacity.Estimate, usualRate float64) float64 {
	if e.PromptTokensPerMilli > 0 {
		return e.PromptTokensPerMilli
	}
	return usualRate / e.Slowdown
}

// recordPrompt adds the time that a prompt took on an engine without a queue.
func (b *Balancer) recordPrompt(now time.Time, s *Server, tokens int, elapsed time.Duration) {
	model := &s.stats.model
	if model.StatesSpeed() {
		model.RecordPrompt(now, tokens, elapsed, b.usualPromptRate(s.Role))
		elapsed = time.Duration(float64(elapsed) / model.Slowdown(now))
	}
	b.prefillRate.Observe(tokens, elapsed, prefillTokensPerMilli)
}

// addPause adds the delay by the requests that run on an engine, and the expected time between
// events there. inflight is the number of requests.
func (c *engineCost) addPause(e *capacity.Estimate, criteria *Criteria, inflight float64, eventTime *capacity.EventTime) {
	c.totalMillis += runningRequestMillis * ((inflight+1)*e.Slowdown - 1)
	if c.server.Role != RoleDecode {
		return
	}
	c.pauseMillis = eventTime.Millis(inflight+1) * e.Slowdown * e.EventRatio
	allowedMillis := eventPauseShare * float64(criteria.TargetPause/time.Millisecond)
	if pauseMillis := c.pauseMillis + c.queueMillis; criteria.TargetPause > 0 && pauseMillis > allowedMillis {
		c.pausePenalty = pausePenaltyFactor * (pauseMillis - allowedMillis)
	}
}

// Event records that an event of the stream arrived. The intervals between events show how the
// time between them grows with the number of requests, for engines that state their speed.
func (c *Choice) Event(now time.Time) {
	at := sinceEpoch(now)
	last := c.lastEvent.Swap(at)
	interval := time.Duration(at - last)
	if last == 0 || interval < minEventInterval || c.Server.Role != RoleDecode || !c.Server.stats.model.StatesSpeed() {
		return
	}
	c.balancer.recordEvent(now, c.Server, interval)
}

// recordEvent adds an interval between two events of a stream on an engine.
func (b *Balancer) recordEvent(now time.Time, s *Server, interval time.Duration) {
	model := &s.stats.model
	inflight, queued := b.load(now, s)
	e := model.At(now)
	prompts := time.Duration(queued / promptRate(&e, b.usualPromptRate(s.Role)) * float64(time.Millisecond))
	// How much of the queue falls into this interval is not known exactly.
	steps := max(interval-prompts, interval/2)
	times := b.eventTimes.of(s.Service)
	model.RecordEvent(now, steps, times.Millis(inflight))
	times.Observe(steps, inflight, e.Slowdown)
}

// SlowdownRange returns the least and the greatest slowdown of the servers that state their speed.
// ok is false if there is none.
func (v *View) SlowdownRange(now time.Time) (low, high float64, ok bool) {
	for _, s := range v.byID {
		e := s.Capacity(now)
		if !e.StatesSpeed {
			continue
		}
		if !ok {
			low, high, ok = e.Slowdown, e.Slowdown, true
		}
		low, high = min(low, e.Slowdown), max(high, e.Slowdown)
	}
	return low, high, ok
}
