package authority

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/standin/memstore"
)

// TestHoldersDoNotAlternateWithinALease guards against a process that acquires a duty again right
// after the next holder has given it up: a target would get orders of the first, the second and
// again the first within the lease time.
func TestHoldersDoNotAlternateWithinALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memstore.New()
		options := DefaultLeaseOptions()
		options.ReacquireDelay = options.LeaseTime
		first := NewLease(s, NewProcess("10.0.0.1"), SystemClock{}, options)
		second := NewLease(s, NewProcess("10.0.0.2"), SystemClock{}, options)
		always := func() bool { return true }
		duty, other := first.Duty(testDuty, always), second.Duty(testDuty, always)
		is.NoErr(first.round(t.Context()))
		token, held := duty.FencingToken()
		is.True(held)
		first.stop(t.Context())
		lostAt := time.Now()
		_, err := duty.TimeToAct(token)
		is.Equal(err, ErrDutyLost)

		is.NoErr(second.round(t.Context()))
		otherToken, held := other.FencingToken()
		is.True(held)
		remaining, err := other.TimeToAct(otherToken)
		is.NoErr(err)
		is.Equal(remaining, options.LeaseTime-options.Margin)
		second.stop(t.Context())
		for !duty.isHeld() {
			is.NoErr(first.round(t.Context()))
			time.Sleep(options.RenewEvery)
		}
		is.True(time.Since(lostAt) >= options.LeaseTime)
		time.Sleep(time.Hour) // all timers of leases end
	})
}
