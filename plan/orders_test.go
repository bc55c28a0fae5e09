package plan

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLostEnginesAreOrderedAgain is the load of a platform that takes back the
// engines of a failure domain. It guards against a number that stays ordered, is
// no longer met, and is never ordered again.
func TestLostEnginesAreOrderedAgain(t *testing.T) {
	is := is.New(t)
	o := NewOrders[string]()
	start := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return start.Add(d) }
	is.True(o.Due(start, "a", 8, 0))
	o.Sent(start, "a", 8, 0, false)
	is.True(!o.Due(after(4*time.Second), "a", 8, 0)) // they still start
	is.True(!o.Due(after(6*time.Second), "a", 8, 8))
	is.True(!o.Due(after(time.Minute), "a", 8, 8)) // met: no call
	lost := after(time.Minute + time.Second)
	is.True(o.Due(lost, "a", 8, 1)) // at once
	o.Sent(lost, "a", 8, 1, false)
	is.True(!o.Due(lost.Add(4*time.Second), "a", 8, 1))
	is.True(o.Due(lost.Add(orderInterval), "a", 8, 1)) // not met in time
	o.Sent(start, "b", 8, 8, false)
	is.True(o.Due(after(2*time.Second), "b", 8, 1)) // lost right after an order
}

// TestReplacementsAreOrderedWithoutDelay is a reclaim shortly after an order: the
// standard engines of the failure domain have just been ordered down. It guards
// against seconds in which their number can't be raised again.
func TestReplacementsAreOrderedWithoutDelay(t *testing.T) {
	is := is.New(t)
	o := NewOrders[string]()
	start := time.Unix(1000, 0)
	o.Sent(start, "a", 1, 1, false)
	is.True(!o.Due(start.Add(3*time.Second), "a", 2, 1))
	is.True(o.Due(start.Add(3*time.Second), "a", 35, 1))
	is.True(!o.Due(start.Add(urgentInterval/2), "a", 35, 1))
}

// TestOrdersDoNotFollowEachChange guards against calls to the platform for every
// engine that crashes and for each new estimate of the demand.
func TestOrdersDoNotFollowEachChange(t *testing.T) {
	is := is.New(t)
	o := NewOrders[string]()
	start := time.Unix(1000, 0)
	o.Sent(start, "a", 8, 8, false)
	calls := 0
	for tick := range 100 { // ten seconds
		now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
		if present := 8 - tick%3; o.Due(now, "a", 8+tick%5, present) {
			o.Sent(now, "a", 8+tick%5, present, false)
			calls++
		}
	}
	is.True(calls <= int(10*time.Second/urgentInterval))
	o.Sent(start, "b", 8, 8, true)
	is.True(o.Due(start.Add(orderInterval), "b", 8, 8)) // a failed order is repeated
}
