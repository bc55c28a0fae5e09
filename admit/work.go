// Package admit decides whether and when a request may start: weighted fair
// shares of engine work per workspace, bounded queues, refusals as soon as a
// deadline can't be met, retry budgets, and quota lent between nodes. It does no
// input or output.
package admit

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"
)

// Work is the engine work of a request.
type Work struct {
	// PrefillTokens are the prompt tokens that are not cached.
	PrefillTokens int64
	// DecodeTokens are the expected output tokens.
	DecodeTokens int64
	// KVBlocks are the KV blocks that the request holds while it runs.
	KVBlocks int64
	// Streams is 1 for an answer that takes a place in a decode batch, whose
	// size decides the time between tokens. It has no price.
	Streams int64
}

// resources is the number of fields of Work.
const resources = 4

func (w Work) vector() [resources]int64 {
	return [resources]int64{w.PrefillTokens, w.DecodeTokens, w.KVBlocks, w.Streams}
}

// Prices turn work into engine-seconds, the unit of fair shares.
type Prices struct {
	// PrefillToken, DecodeToken and KVBlock are in engine-seconds each.
	PrefillToken, DecodeToken, KVBlock float64
}

// DefaultPrices follow from an engine that processes 8,000 prompt tokens or
// generates 1,500 tokens a second, and has 4,000 KV blocks that a request holds
// for about 4 s.
var DefaultPrices = Prices{PrefillToken: 1.0 / 8000, DecodeToken: 1.0 / 1500, KVBlock: 4.0 / 4000}

// EngineSeconds returns the price of w. A request without engine work, such as
// a call of a service, has a small price, so that shares apply to it as well.
func (p Prices) EngineSeconds(w Work) float64 {
	s := p.PrefillToken*float64(w.PrefillTokens) + p.DecodeToken*float64(w.DecodeTokens) + p.KVBlock*float64(w.KVBlocks)
	return max(s, minEngineSeconds)
}

const minEngineSeconds = 0.001

// Reason says why a request was refused.
type Reason string

// The reasons of a RefusedError. In none of them has the request been sent.
const (
	// ReasonQueueFull means that the workspace has too many waiting requests.
	ReasonQueueFull Reason = "the queue of the workspace is full"
	// ReasonDeadline means that the request can't start in time.
	ReasonDeadline Reason = "the deadline can't be met"
	// ReasonGivenUp means that a request waited for its longest wait. It still
	// has part of its time left, so that the caller can go elsewhere.
	ReasonGivenUp Reason = "no capacity came free in time"
	// ReasonCanceled means that the caller has gone.
	ReasonCanceled Reason = "the caller has canceled the request"
	// ReasonStopping means that the node takes no more requests.
	ReasonStopping Reason = "the node is stopping"
)

// RefusedError says why a request was refused and when to retry. The request
// was not run.
type RefusedError struct {
	Workspace  string
	Reason     Reason
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("admit: workspace %s: %s, retry after %s", e.Workspace, e.Reason, e.RetryAfter)
}

// atomicFloat is a float64 that is read and changed atomically.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

func (f *atomicFloat) add(v float64) {
	for {
		old := f.bits.Load()
		if f.bits.CompareAndSwap(old, math.Float64bits(math.Float64frombits(old)+v)) {
			return
		}
	}
}

// raise sets f to v unless it is greater already.
func (f *atomicFloat) raise(v float64) {
	for {
		old := f.bits.Load()
		if math.Float64frombits(old) >= v || f.bits.CompareAndSwap(old, math.Float64bits(v)) {
			return
		}
	}
}
