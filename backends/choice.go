package backends

import (
	"sync/atomic"
	"time"
)

// Choice is the backend server of one attempt, with this node's part of its
// load. Its methods may be called from any goroutine; Done ends it.
type Choice struct {
	Server *Server
	// Prefill tells that the engine should process the prompt only. The rest of
	// the request is chosen for after that.
	Prefill bool
	// Estimate is the expected time to the first event; 0 if there is none.
	Estimate time.Duration
	// Uncached are the prompt tokens that are not expected to be cached.
	Uncached int

	balancer *Balancer
	prompt   *Prompt
	// pending are the tokens that count as unprocessed.
	pending atomic.Int64
	done    atomic.Bool
	// alone tells that no other unprocessed prompt was known at the engine;
	// begun is when the choice was made.
	alone bool
	begun time.Time
}

func (b *Balancer) newChoice(s *Server, prefill bool, w *Work, uncached int, estimateMillis float64) *Choice {
	c := &Choice{
		Server: s, Prefill: prefill, prompt: w.Prompt, balancer: b, begun: time.Now(), Uncached: uncached,
		Estimate: time.Duration(estimateMillis * float64(time.Millisecond)),
		alone:    s.stats.prefillTokens.Load() == 0,
	}
	s.stats.inflight.Add(1)
	c.pending.Store(int64(uncached))
	s.stats.prefillTokens.Add(int64(uncached))
	if !w.Again {
		b.promptTokens.Add(uint64(max(0, uncached)))
	}
	b.changed()
	return c
}

// settle takes the unprocessed tokens out of the load.
func (c *Choice) settle() {
	if tokens := c.pending.Swap(0); tokens != 0 {
		c.Server.stats.prefillTokens.Add(-tokens)
		c.balancer.changed()
	}
}

// Prefilled says that the prompt has been processed apart.
func (c *Choice) Prefilled(now time.Time) {
	if c.alone && c.Uncached == c.prompt.Own() {
		c.balancer.prefillRate.observe(c.Uncached, now.Sub(c.begun), prefillTokensPerMilli)
	}
	c.processed(now)
	c.Server.stats.observe(false)
}

// FirstEvent says that the first event of the answer has arrived, so the prompt
// has been processed.
func (c *Choice) FirstEvent(now time.Time) { c.processed(now) }

func (c *Choice) processed(now time.Time) {
	c.settle()
	if c.prompt != nil {
		c.Server.stats.touch(c.prompt.Shared(), now)
	}
}

// Succeeded notes a whole answer.
func (c *Choice) Succeeded() { c.Server.stats.observe(false) }

// Failed notes an attempt that failed at the server.
func (c *Choice) Failed() { c.Server.stats.observe(true) }

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
	c.balancer.changed()
}
