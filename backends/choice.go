package backends

import (
	"sync/atomic"
	"time"
)

// Choice is a backend server, or an engine for the prefill and one for the
// rest, with this node's part of their load. Its methods may be called once
// each, in the order of a request's life; Done ends it.
type Choice struct {
	Server *Server
	// Prefill is nil unless the prompt is to be processed apart.
	Prefill *Server
	// Estimate is the expected time to the first event; 0 if there is none.
	Estimate time.Duration
	// Uncached are the prompt tokens that are not expected to be cached.
	Uncached int

	prompt *Prompt
	// pending are the tokens that count as unprocessed at holder.
	pending atomic.Int64
	holder  *stats
	done    atomic.Bool
	b       *Balancer
	// alone tells that no other work was known at the engine that processes the
	// prompt; begun is when the choice was made.
	alone bool
	begun time.Time
}

func (b *Balancer) newChoice(s, prefill *Server, p *Prompt, uncached int, estimateMillis float64) *Choice {
	c := &Choice{Server: s, Prefill: prefill, prompt: p, b: b, begun: time.Now(), Uncached: uncached, Estimate: time.Duration(estimateMillis * float64(time.Millisecond))}
	s.stats.inflight.Add(1)
	c.holder = s.stats
	if prefill != nil {
		prefill.stats.inflight.Add(1)
		c.holder = prefill.stats
	}
	c.alone = c.holder.prefillTokens.Load() == 0
	c.pending.Store(int64(uncached))
	c.holder.prefillTokens.Add(int64(uncached))
	b.promptTokens.Add(uint64(max(0, uncached)))
	b.changed()
	return c
}

// settle takes the unprocessed tokens out of the load.
func (c *Choice) settle() {
	if tokens := c.pending.Swap(0); tokens != 0 {
		c.holder.prefillTokens.Add(-tokens)
		c.b.changed()
	}
}

// Prefilled says that the prompt has been processed apart.
func (c *Choice) Prefilled(now time.Time) {
	c.settle()
	if c.alone && c.Uncached == c.prompt.Own() {
		c.b.prefillRate.observe(c.Uncached, now.Sub(c.begun), prefillTokensPerMilli)
	}
	c.Prefill.stats.inflight.Add(-1)
	c.Prefill.stats.observe(false)
	c.Prefill.stats.touch(c.prompt.Shared(), now)
	c.holder = c.Server.stats
	c.Prefill = nil
}

// PrefillFailed says that the engine for the prefill did not do it.
func (c *Choice) PrefillFailed(now time.Time, unreachable bool) {
	if unreachable {
		c.Prefill.stats.pause(now, minSuspect, maxSuspect)
	} else {
		c.Prefill.stats.observe(true)
	}
}

// PrefillRefused notes that the engine for the prefill did not take the request.
func (c *Choice) PrefillRefused(now time.Time) { c.Prefill.stats.refused(now) }

// Started says that the backend server has begun its answer.
func (c *Choice) Started(time.Time) {}

// FirstEvent says that the prompt has been processed.
func (c *Choice) FirstEvent(now time.Time) {
	c.settle()
	if c.prompt != nil {
		c.Server.stats.touch(c.prompt.Shared(), now)
	}
}

// Succeeded notes a whole answer.
func (c *Choice) Succeeded(time.Time) { c.Server.stats.observe(false) }

// Failed notes an attempt that failed at the server.
func (c *Choice) Failed(time.Time) { c.Server.stats.observe(true) }

// Refused notes that the server did not take the request.
func (c *Choice) Refused(now time.Time) { c.Server.stats.refused(now) }

// Unreachable notes that no connection to the server could be made.
func (c *Choice) Unreachable(now time.Time) { c.Server.stats.pause(now, minSuspect, maxSuspect) }

// Done takes the request out of the load.
func (c *Choice) Done() {
	if c.done.Swap(true) {
		return
	}
	c.settle()
	c.Server.stats.inflight.Add(-1)
	if c.Prefill != nil {
		c.Prefill.stats.inflight.Add(-1)
	}
	c.b.changed()
}
