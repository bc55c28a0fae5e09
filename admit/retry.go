package admit

import (
	"sync"
	"sync/atomic"
)

// RetryBudget limits the retries of one service to a share of its first
// attempts, so that a failing service doesn't get a multiple of its load. It is
// a token bucket that first attempts fill.
type RetryBudget struct {
	// millitokens is the level; a retry takes 1,000.
	millitokens atomic.Int64
	perAttempt  int64
	limit       atomic.Int64
}

const retryMillitokens = 1000

// NewRetryBudget returns a full bucket. share is the number of retries that one
// first attempt pays for, and burst the number of retries that can be saved up.
func NewRetryBudget(share float64, burst int) *RetryBudget {
	b := &RetryBudget{perAttempt: int64(share * retryMillitokens)}
	b.SetBurst(burst)
	b.millitokens.Store(b.limit.Load())
	return b
}

// SetBurst changes the number of retries that can be saved up. What is saved above
// it is lost.
func (b *RetryBudget) SetBurst(burst int) { b.limit.Store(int64(burst) * retryMillitokens) }

// FirstAttempt fills the bucket by the share of one attempt.
func (b *RetryBudget) FirstAttempt() {
	for {
		old := b.millitokens.Load()
		level := min(b.limit.Load(), old+b.perAttempt)
		if level == old || b.millitokens.CompareAndSwap(old, level) {
			return
		}
	}
}

// Retry takes one retry out of the bucket and reports whether there was one.
func (b *RetryBudget) Retry() bool {
	for {
		old := b.millitokens.Load()
		level := min(b.limit.Load(), old)
		if level < retryMillitokens {
			return false
		}
		if b.millitokens.CompareAndSwap(old, level-retryMillitokens) {
			return true
		}
	}
}

// RetryBudgets holds one budget per service.
type RetryBudgets struct {
	// Share and Burst are those of NewRetryBudget. Set them before first use.
	Share float64
	Burst int

	budgets sync.Map
}

// Of returns the budget of a service.
func (b *RetryBudgets) Of(service string) *RetryBudget {
	if v, ok := b.budgets.Load(service); ok {
		return v.(*RetryBudget)
	}
	v, _ := b.budgets.LoadOrStore(service, NewRetryBudget(b.Share, b.Burst))
	return v.(*RetryBudget)
}
