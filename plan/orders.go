package plan

import "time"

const (
	// orderInterval is how long an order has to take effect before it is sent
	// again or replaced: somewhat more than engines take to start.
	orderInterval = 5 * time.Second
	// urgentInterval is the least time between two orders when engines are lost or
	// many more are needed.
	urgentInterval = time.Second
	// urgentShare is the growth of a number that is ordered without delay.
	urgentShare = 0.25
)

// Orders remembers what was ordered for each key and decides when to order
// again. A platform that takes engines back does not replace them by itself.
type Orders[K comparable] struct {
	sent map[K]*sentOrder
}

type sentOrder struct {
	at    time.Time
	count int
	// failed is set if the order may not have taken effect.
	failed bool
	// present is the greatest number of engines seen since the order.
	present int
}

// NewOrders returns a memory without orders.
func NewOrders[K comparable]() *Orders[K] { return &Orders[K]{sent: make(map[K]*sentOrder)} }

// Empty reports whether nothing has been ordered.
func (o *Orders[K]) Empty() bool { return len(o.sent) == 0 }

// Reset forgets all orders.
func (o *Orders[K]) Reset() { clear(o.sent) }

// Forget forgets what was ordered for a key, so that an order is due.
func (o *Orders[K]) Forget(key K) { delete(o.sent, key) }

// Known reports whether an order was sent for the key.
func (o *Orders[K]) Known(key K) bool { return o.sent[key] != nil }

// Due reports whether to order count engines now, while present ones run. An
// order is due if the number is another one, if the last order failed or is not
// met in time, and almost without delay if engines that ran have gone or the
// number grows by much.
func (o *Orders[K]) Due(now time.Time, key K, count, present int) bool {
	s := o.sent[key]
	if s == nil {
		return true
	}
	since := now.Sub(s.at)
	if present < min(s.present, count) {
		return since >= urgentInterval
	}
	s.present = max(s.present, present)
	if s.count == count && !s.failed && present >= count {
		return false
	}
	if grown := count - s.count; grown > 1 && float64(grown) >= urgentShare*float64(s.count) {
		return since >= urgentInterval
	}
	return since >= orderInterval
}

// Sent records an order and whether it may not have taken effect.
func (o *Orders[K]) Sent(now time.Time, key K, count, present int, failed bool) {
	o.sent[key] = &sentOrder{at: now, count: count, failed: failed, present: present}
}
