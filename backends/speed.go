package backends

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figweir/figweir/capacity"
)

// The functions of this file are for servers that state their speed. The choice among servers
// that don't is the same as without them.

const (
	// eventPauseShare is the share of the target pause up to which the expected time between
	// events costs nothing. A stream has some dozens of pauses and its longest one counts, which
	// is more than twice the mean.
	eventPauseShare = 0.4
	// minEventInterval is the shortest interval that counts as one between events. Events that
	// arrive closer together were sent together.
	minEventInterval = time.Millisecond
	// unseenShare bounds the requests that a plain server or a decode engine may have besides those
	// that this node knows of, as a multiple of the mean that such servers report. A number up to it
	// is drawn for each server. Without it all nodes choose the same server, because the load that
	// they know is old compared with the time of a call, or the fastest engines. Between 1.5 and 3
	// the load is about equally even, and a greater number sends more requests to other failure
	// domains; see docs/design/even-load.md.
	unseenShare = 2.0
	// reportWeight is the weight of one report in the mean of them.
	reportWeight = 0.1
)

// observations holds what was observed of the servers of each service.
type observations struct{ byService sync.Map }

// observation is what was observed of the servers of one service. Engines of one service are of
// one type.
type observation struct {
	eventTime capacity.EventTime
	// reported is the mean number of requests that a server reports, by role.
	reported [RoleDecode + 1]meanRequests
}

// forService returns the observations of a service.
func (o *observations) forService(service string) *observation {
	if v, ok := o.byService.Load(service); ok {
		return v.(*observation)
	}
	v, _ := o.byService.LoadOrStore(service, new(observation))
	return v.(*observation)
}

// meanRequests is a moving mean of numbers of requests, as the bits of a float64. If two numbers
// are added at the same time, one of them may be lost.
type meanRequests struct{ bits atomic.Uint64 }

func (m *meanRequests) load() float64 { return math.Float64frombits(m.bits.Load()) }

func (m *meanRequests) add(requests float64) {
	mean := m.load()
	m.bits.Store(math.Float64bits(mean + reportWeight*(requests-mean)))
}

// observeReport adds the last report of a server that was chosen to the mean of its service.
func (b *Balancer) observeReport(s *Server) {
	if r := s.stats.report.Load(); r != nil && s.stats.model.StatesSpeed() {
		b.observed.forService(s.Service).reported[s.Role].add(float64(r.running + r.waiting))
	}
}

// random draws numbers for the candidates of one choice. It is cheaper than the global source,
// which matters for hundreds of candidates.
type random struct{ source rand.PCG }

// newRandom returns a source with a random seed.
func newRandom() (r random) {
	r.source.Seed(rand.Uint64(), 0)
	return r
}

// float64 returns a number from 0 up to but not including 1.
func (r *random) float64() float64 {
	const bits = 53
	return float64(r.source.Uint64()>>(64-bits)) * (1.0 / (1 << bits))
}

// scaledShare returns the share of busy slots of a service, scaled by the slowdown of the server
// so that an idle slow server has a higher score than an idle fast one. At the usual speed it is the
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
	c.requestMillis = runningRequestMillis * e.Slowdown
	c.totalMillis += c.requestMillis*(inflight+1) - runningRequestMillis
	if c.server.Role != RoleDecode {
		return
	}
	c.pauseMillis = eventTime.Millis(inflight+1) * e.Slowdown * e.EventRatio
	allowedMillis := eventPauseShare * float64(criteria.TargetPause/time.Millisecond)
	if pauseMillis := c.pauseMillis + c.queueMillis; criteria.TargetPause > 0 && pauseMillis > allowedMillis {
		c.choicePenalty = pausePenaltyFactor * (pauseMillis - allowedMillis)
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
	// How much of the queue falls into this interval is not known, so at most half of the interval
	// is taken as time for prompts.
	steps := max(interval-prompts, interval/2)
	times := &b.observed.forService(s.Service).eventTime
	model.RecordEvent(now, steps, times.Millis(inflight))
	times.Observe(steps, inflight, e.Slowdown)
}

// StatedSince returns the slowdown in percent that the server stated to this node with its last
// answer, or 0 if it stated none or that was not after the given time.
func (s *Server) StatedSince(t time.Time) int {
	if r := s.stats.report.Load(); r != nil && r.receivedAt.After(t) {
		return r.slowdownPercent
	}
	return 0
}

// RecordPeerStatement records the slowdown in percent that the server stated to another node just
// before now. An impossible one has no effect.
func (s *Server) RecordPeerStatement(now time.Time, percent int) {
	s.stats.model.RecordReport(now, capacity.Report{SlowdownPercent: percent})
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

// OwnLoadSpread returns the requests of this node at the busiest server over the mean of the
// servers of its service and role; of several services and roles the greatest such ratio. It is 0
// without requests.
func (v *View) OwnLoadSpread() float64 {
	type group struct{ most, sum, servers int64 }
	type key struct {
		service string
		role    Role
	}
	groups := make(map[key]group)
	for service, servers := range v.services {
		for _, s := range servers {
			k := key{service, s.Role}
			g, requests := groups[k], s.stats.inflight.Load()
			groups[k] = group{max(g.most, requests), g.sum + requests, g.servers + 1}
		}
	}
	spread := 0.0
	for _, g := range groups {
		if g.sum > 0 {
			spread = max(spread, float64(g.most*g.servers)/float64(g.sum))
		}
	}
	return spread
}
