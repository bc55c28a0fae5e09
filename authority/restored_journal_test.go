package authority

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// token returns the token of the last accepted order.
func (t *target) token() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastToken
}

// TestOrderOfEarlierEraDoesNotFollow guards against an order that a holder has sent before a restore
// and that arrives after one of its successor, although the target checks no tokens: its intent is
// gone with the store. The load: a holder that is killed as the store is restored, with a copy of its
// order on the way for as long as a connection can last.
func TestOrderOfEarlierEraDoesNotFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation()
		defer sim.stop()
		target := sim.addTarget("engine-ignoring", false)
		empty := sim.store.Copy()
		first := sim.start("10.0.0.1:7000")
		for range 5 {
			first.do(target, target.Target)
			time.Sleep(2 * time.Second)
		}
		last := target.token()
		first.mu.Lock()
		first.sendFaults, first.copyDelay = []sendFault{delayCopy}, 4999*time.Millisecond
		first.mu.Unlock()
		first.do(target, target.Target)
		time.Sleep(10 * time.Millisecond)
		sim.store.Restore(empty)
		first.kill()
		second := sim.start("10.0.0.2:7000")
		var accepted *call
		for range 60 {
			accepted = second.do(target, target.Target)
			time.Sleep(500 * time.Millisecond)
		}
		_, err := accepted.result()
		is.NoErr(err) // orders are possible again
		is.Equal(sim.failure(), "")
		is.True(target.token() > last)
	})
}

// TestNoOrderUntilEraIsSettled guards against an order that is sent before those of holders of an
// earlier era have arrived, and against an error that doesn't tell why it isn't sent.
func TestNoOrderUntilEraIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation()
		defer sim.stop()
		target := sim.addTarget("engine-ignoring", false)
		sim.store.Restore(nil)
		p := sim.start("10.0.0.1:7000")
		time.Sleep(DefaultLeaseOptions().LeaseTime + DefaultLeaseOptions().RenewEvery)
		_, held := p.duty.Term()
		is.True(held)
		c := p.do(target, target.Target)
		time.Sleep(time.Millisecond)
		_, err := c.result()
		var restored *RestoredError
		is.True(errors.As(err, &restored))
		is.True(restored.Wait > 0 && restored.Wait <= DefaultJournalOptions().ConnectionTimeout)
		time.Sleep(restored.Wait)
		c = p.do(target, target.Target)
		time.Sleep(time.Millisecond)
		done, err := c.result()
		is.True(done)
		is.NoErr(err)
	})
}
