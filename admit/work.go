// Package admit controls the admission of requests: weighted fair shares of engine work
// per workspace, bounded queues, refusals as soon as a deadline can't be met, retry
// budgets, and quotas that are leased to nodes. It does no I/O.
package admit

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"
)

// Work is the engine work of a request.
type Work struct {
	// PrefillTokens is the number of prompt tokens that are not cached.
	PrefillTokens int64
	// DecodeTokens is the expected number of output tokens.
	DecodeTokens int64
	// KVBlocks is the number of KV blocks that the request holds while it runs.
	KVBlocks int64
	// Streams is 1 for a request that occupies a place in a decode batch, since the size
	// of the batch determines the time between tokens. It adds no engine-seconds.
	Streams int64
}

// resourceCount is the number of fields of Work.
const resourceCount = 4

// vector returns the fields in the order of declaration.
func (w Work) vector() [resourceCount]int64 {
	return [resourceCount]int64{w.PrefillTokens, w.DecodeTokens, w.KVBlocks, w.Streams}
}

// CostModel converts work to engine-seconds, the unit of fair shares.
type CostModel struct {
	// PrefillToken, DecodeToken and KVBlock are the engine-seconds of one unit each.
	PrefillToken, DecodeToken, KVBlock float64
}

// DefaultCostModel assumes an engine that processes 8,000 prompt tokens or generates
// 1,500 tokens per second, and has 4,000 KV blocks that a request holds for about 4 s.
var DefaultCostModel = CostModel{PrefillToken: 1.0 / 8000, DecodeToken: 1.0 / 1500, KVBlock: 4.0 / 4000}

// EngineSeconds returns the cost of w. Requests without engine work, such as calls of a
// service, have a small cost, so that fair shares apply to them as well.
func (m CostModel) EngineSeconds(w Work) float64 {
	s := m.PrefillToken*float64(w.PrefillTokens) + m.DecodeToken*float64(w.DecodeTokens) + m.KVBlock*float64(w.KVBlocks)
	return max(s, minEngineSeconds)
}

// minEngineSeconds is the cost of a request without engine work.
const minEngineSeconds = 0.001

// Reason is the cause of a refusal.
type Reason string

// The reasons of a RefusedError. The request has not been sent to a server in any of
// them.
const (
	// ReasonQueueFull means that the workspace has too many queued requests.
	ReasonQueueFull Reason = "the queue of the workspace is full"
	// ReasonDeadline means that the request can't start in time.
	ReasonDeadline Reason = "the deadline can't be met"
	// ReasonWaitTimeout means that the request was queued for its longest wait. It still
	// has part of its time left, so that the caller can retry elsewhere.
	ReasonWaitTimeout Reason = "no capacity came free in time"
	// ReasonCanceled means that the caller has canceled the request.
	ReasonCanceled Reason = "the caller has canceled the request"
	// ReasonStopping means that the node accepts no more requests.
	ReasonStopping Reason = "the node is stopping"
)

// RefusedError is the refusal of a request. The request has not run.
type RefusedError struct {
	Workspace string
	Reason    Reason
	// RetryAfter is the time to wait before a retry.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("admit: workspace %s: %s, retry after %s", e.Workspace, e.Reason, e.RetryAfter)
}

// atomicFloat is a float64 with atomic operations.
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

// raiseTo sets f to v unless f is already greater.
func (f *atomicFloat) raiseTo(v float64) {
	for {
		old := f.bits.Load()
		if math.Float64frombits(old) >= v || f.bits.CompareAndSwap(old, math.Float64bits(v)) {
			return
		}
	}
}
