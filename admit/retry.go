package admit

import (
	"sync"
	"sync/atomic"
)

// RetryBudget limits the retries of one service to a fraction of its first attempts, so
// that retries don't multiply the load of a failing service. It is a token bucket that is
// filled by first attempts.
type RetryBudget struct {
	// millitokens is the level of the bucket, in thousandths of a retry.
	millitokens     atomic.Int64
	perFirstAttempt int64
	capacity        atomic.Int64
}

// millitokensPerRetry is the cost of one retry.
const millitokensPerRetry = 1000

// NewRetryBudget returns a budget with a full bucket. ratio is the number of retries per
// first attempt, and burst the number of retries that the bucket holds, to a thousandth.
func NewRetryBudget(ratio, burst float64) *RetryBudget {
	b := &RetryBudget{perFirstAttempt: int64(ratio * millitokensPerRetry)}
	b.SetBurst(burst)
	b.millitokens.Store(b.capacity.Load())
	return b
}

// SetBurst changes the number of retries that the bucket holds. A level above it is lost.
func (b *RetryBudget) SetBurst(burst float64) {
	b.capacity.Store(int64(burst * millitokensPerRetry))
}

// FirstAttempt counts a first attempt: it adds the ratio of NewRetryBudget to the bucket.
func (b *RetryBudget) FirstAttempt() {
	for {
		old := b.millitokens.Load()
		level := min(b.capacity.Load(), old+b.perFirstAttempt)
		if level == old || b.millitokens.CompareAndSwap(old, level) {
			return
		}
	}
}

// Retry acquires one retry and reports whether one was available.
func (b *RetryBudget) Retry() bool {
	for {
		old := b.millitokens.Load()
		level := min(b.capacity.Load(), old)
		if level < millitokensPerRetry {
			return false
		}
		if b.millitokens.CompareAndSwap(old, level-millitokensPerRetry) {
			return true
		}
	}
}

// RetryBudgets holds one budget per service.
type RetryBudgets struct {
	// Ratio and Burst are the parameters of NewRetryBudget. They must be set before the
	// first use.
	Ratio float64
	Burst float64

	budgets sync.Map
}

// For returns the budget of a service and creates it if necessary.
func (b *RetryBudgets) For(service string) *RetryBudget {
	if v, ok := b.budgets.Load(service); ok {
		return v.(*RetryBudget)
	}
	v, _ := b.budgets.LoadOrStore(service, NewRetryBudget(b.Ratio, b.Burst))
	return v.(*RetryBudget)
}
