package plan

import "time"

const (
	// retryInterval is the time an order has to take effect before it is sent
	// again or replaced. It is slightly longer than engines take to start.
	retryInterval = 5 * time.Second
	// urgentInterval is the minimum time between two orders when engines are
	// lost or many more are needed.
	urgentInterval = time.Second
	// urgentGrowth is the relative growth of the ordered number from which
	// urgentInterval applies instead of retryInterval.
	urgentGrowth = 0.25
)

// OrderTracker records the last order sent for each key and decides when the next one
// is due. A platform that reclaims engines does not replace them by itself.
type OrderTracker[K comparable] struct {
	// PromptReleases makes a lower count due after urgentInterval once the last order has been
	// met, and an order due if more engines run than ordered: an earlier one was carried out late.
	PromptReleases bool

	lastSent map[K]*sentOrder
}

type sentOrder struct {
	sentAt time.Time
	count  int
	// failed is set if the order returned an error and may not have taken
	// effect.
	failed bool
	// maxRunning is the largest number of running engines observed since the
	// order.
	maxRunning int
}

// NewOrderTracker returns an empty tracker.
func NewOrderTracker[K comparable]() *OrderTracker[K] {
	return &OrderTracker[K]{lastSent: make(map[K]*sentOrder)}
}

// Empty reports whether no order is recorded.
func (t *OrderTracker[K]) Empty() bool { return len(t.lastSent) == 0 }

// Reset removes the recorded orders of all keys.
func (t *OrderTracker[K]) Reset() { clear(t.lastSent) }

// Forget removes the recorded order of a key, so that an order becomes due.
func (t *OrderTracker[K]) Forget(key K) { delete(t.lastSent, key) }

// HasOrder reports whether an order is recorded for the key.
func (t *OrderTracker[K]) HasOrder(key K) bool { return t.lastSent[key] != nil }

// Due reports whether an order for count engines should be sent now, given the
// number of running engines. An order is due after retryInterval if the count
// differs, the last order failed or it has not been met. It is due after
// urgentInterval if running engines were lost or the count grows by at least
// urgentGrowth and by more than one engine. With
// PromptReleases lower counts are due sooner.
func (t *OrderTracker[K]) Due(now time.Time, key K, count, running int) bool {
	s := t.lastSent[key]
	if s == nil {
		return true
	}
	elapsed := now.Sub(s.sentAt)
	if running < min(s.maxRunning, count) {
		return elapsed >= urgentInterval
	}
	s.maxRunning = max(s.maxRunning, running)
	if s.count == count && !s.failed && (running == count || running > count && !t.PromptReleases) {
		return false
	}
	if growth := count - s.count; growth > 1 && float64(growth) >= urgentGrowth*float64(s.count) {
		return elapsed >= urgentInterval
	}
	if t.PromptReleases && count < s.count && running == s.count && !s.failed {
		return elapsed >= urgentInterval
	}
	return elapsed >= retryInterval
}

// Record stores the order that was sent for a key; failed means that it may not
// have taken effect.
func (t *OrderTracker[K]) Record(now time.Time, key K, count, running int, failed bool) {
	t.lastSent[key] = &sentOrder{sentAt: now, count: count, failed: failed, maxRunning: running}
}
