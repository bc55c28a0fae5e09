package backends

import (
	"sync/atomic"
	"time"
)

// Choice is the backend server for one attempt. It counts as load of this node until
// Done is called. Its methods may be called from any goroutine.
type Choice struct {
	Server *Server
	// Prefill means that the engine only processes the prompt. The decode engine is
	// chosen afterwards.
	Prefill bool
	// FirstEventEstimate is the expected time to the first event; 0 if unknown.
	FirstEventEstimate time.Duration
	// UncachedTokens is the number of prompt tokens that are not expected to be
	// cached.
	UncachedTokens int

	balancer *Balancer
	prompt   *Prompt
	// pendingTokens is the number of tokens that still count as unprocessed.
	pendingTokens atomic.Int64
	released      atomic.Bool
	// engineIdle is set if this node had no other unprocessed prompt on the engine
	// when the choice was made, at chosenAt.
	engineIdle bool
	chosenAt   time.Time
	// lastEvent is when the last event arrived, see sinceEpoch; 0 before the first one.
	lastEvent atomic.Int64
}

// newChoice returns a choice and adds the request to the load of the server.
func (b *Balancer) newChoice(now time.Time, p pick, criteria *Criteria) *Choice {
	s, uncached := p.server, p.uncachedTokens
	c := &Choice{
		Server: s, Prefill: p.prefill, prompt: criteria.Prompt, balancer: b, chosenAt: now, UncachedTokens: uncached,
		FirstEventEstimate: time.Duration(p.estimateMillis * float64(time.Millisecond)),
		engineIdle:         s.stats.prefillTokens.Load() == 0,
	}
	b.observeReport(s)
	s.stats.inflight.Add(1)
	c.pendingTokens.Store(int64(uncached))
	s.stats.prefillTokens.Add(int64(uncached))
	if !criteria.DemandCounted {
		tokens := uint64(max(0, uncached))
		b.promptTokens.Add(tokens)
		b.promptTokenSquares.Add(tokens * tokens)
	}
	b.onLoadChange()
	return c
}

// clearPendingTokens subtracts the unprocessed tokens from the load of the server.
func (c *Choice) clearPendingTokens() {
	if tokens := c.pendingTokens.Swap(0); tokens != 0 {
		c.Server.stats.prefillTokens.Add(-tokens)
		c.balancer.onLoadChange()
	}
}

// Prefilled records that a separate prefill has been completed.
func (c *Choice) Prefilled(now time.Time) {
	if c.engineIdle && c.UncachedTokens == c.prompt.OwnTokens() {
		c.balancer.recordPrompt(now, c.Server, c.UncachedTokens, now.Sub(c.chosenAt))
	}
	c.promptProcessed(now)
	c.Server.stats.recordResult(false)
}

// FirstEvent records that the first event of the answer was received, which means that
// the prompt has been processed.
func (c *Choice) FirstEvent(now time.Time) { c.promptProcessed(now) }

// promptProcessed subtracts the prompt from the load and marks its shared parts as
// cached.
func (c *Choice) promptProcessed(now time.Time) {
	c.clearPendingTokens()
	if c.prompt != nil {
		c.Server.stats.markCached(c.prompt.SharedParts(), now)
	}
}

// Succeeded records a complete answer.
func (c *Choice) Succeeded() { c.Server.stats.recordResult(false) }

// Failed records that the server failed the attempt.
func (c *Choice) Failed() { c.Server.stats.recordResult(true) }

// Refused records that the server did not accept the request.
func (c *Choice) Refused(now time.Time) { c.Server.stats.recordRefusal(now) }

// Unreachable records that no connection to the server could be established.
func (c *Choice) Unreachable(now time.Time) { c.Server.Suspend(now) }

// Done subtracts the request from the load of the server. Calls after the first have no
// effect.
func (c *Choice) Done() {
	if c.released.Swap(true) {
		return
	}
	c.clearPendingTokens()
	c.Server.stats.inflight.Add(-1)
	c.balancer.onLoadChange()
}
