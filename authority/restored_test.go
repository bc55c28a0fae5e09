package authority

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

// restoredStore is a store whose duty is wanted by the processes that a test starts.
type restoredStore struct {
	*memstore.Store
	ctx context.Context
}

// start runs a process that is always a candidate for the duty, until the returned function is
// called. Like a killed process it leaves its lease behind.
func (s *restoredStore) start(address string) (duty *Duty, kill func()) {
	l := NewLease(s.Store, NewProcess(address), SystemClock{}, DefaultLeaseOptions())
	duty = l.Duty(testDuty, func() bool { return true })
	ctx, cancel := context.WithCancel(s.ctx)
	go func() {
		for ctx.Err() == nil {
			_ = l.round(ctx)
			_ = l.clock.Sleep(ctx, l.options.RenewEvery)
		}
	}()
	return duty, cancel
}

func runRestored(t *testing.T, run func(is *is.I, s *restoredStore)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		run(is.New(t), &restoredStore{memstore.New(), ctx})
		cancel()
		time.Sleep(time.Hour) // all timers of leases end
	})
}

// TestFencingTokenIncreasesOverRestore guards against a holder whose orders are refused, or are
// not told apart from those of the holder before, because the store gave revisions out again.
// The load: a holder that is killed as the store is restored to the time before anything was
// written, twice in a row.
func TestFencingTokenIncreasesOverRestore(t *testing.T) {
	runRestored(t, func(is *is.I, s *restoredStore) {
		var last uint64
		for _, address := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
			_, err := s.Put(s.ctx, "other/"+address, nil, 0, store.NoLease)
			is.NoErr(err)
			duty, kill := s.start(address)
			time.Sleep(time.Minute)
			token, held := duty.FencingToken()
			is.True(held)
			is.True(token > last) // greater than every token before
			last = token
			kill()
			s.Restore(nil)
		}
	})
}

// TestRenewalDoesNotProveLeaseOfEarlierEra guards against a process that goes on as the holder
// although its lease is gone, because the number of its lease was given to another process.
// The load: a frozen holder; the store is restored meanwhile, and another process takes a lease
// before any candidate does.
func TestRenewalDoesNotProveLeaseOfEarlierEra(t *testing.T) {
	runRestored(t, func(is *is.I, s *restoredStore) {
		duty, kill := s.start("10.0.0.1")
		defer kill()
		time.Sleep(DefaultLeaseOptions().RenewEvery / 2)
		token, held := duty.FencingToken()
		is.True(held)
		s.Restore(nil)
		_, err := s.Grant(s.ctx, time.Hour) // the number of the holder's lease
		is.NoErr(err)
		time.Sleep(time.Minute)
		now, held := duty.FencingToken()
		is.True(!held || now > token) // under the old lease no more
	})
}

// TestOneHolderAfterRestore guards against two processes that both believe that they hold the
// duty after the store has lost the record of the first. The load: a holder that does not call
// the store for most of its lease, and a second candidate that reads the restored store at once.
func TestOneHolderAfterRestore(t *testing.T) {
	runRestored(t, func(is *is.I, s *restoredStore) {
		first, kill := s.start("10.0.0.1")
		time.Sleep(time.Minute)
		second, killSecond := s.start("10.0.0.2")
		defer killSecond()
		time.Sleep(time.Second)
		kill() // it is frozen: its lease stays valid by its own clock
		s.Restore(nil)
		for range 300 {
			_, firstHolds := first.Term()
			_, secondHolds := second.Term()
			is.True(!(firstHolds && secondHolds)) // one at a time
			time.Sleep(100 * time.Millisecond)
		}
		_, held := second.Term()
		is.True(held) // the duty is not free for good
	})
}

// TestRecordUnderAnotherLeaseIsFree guards against a duty that nobody can take, because a lease
// of another process keeps the record of a holder that is gone. The load: a store that was
// restored; it gave the number of the dead holder's lease out again, to a process that renews it.
func TestRecordUnderAnotherLeaseIsFree(t *testing.T) {
	runRestored(t, func(is *is.I, s *restoredStore) {
		_, kill := s.start("10.0.0.1")
		time.Sleep(time.Second)
		kill()
		s.Restore(s.Copy()) // the record and its lease are in the copy
		go func() {
			lease := store.LeaseID{Era: 1, Number: 1}
			for s.Renew(s.ctx, lease) == nil {
				time.Sleep(time.Second)
			}
		}()
		second, killSecond := s.start("10.0.0.2")
		defer killSecond()
		time.Sleep(2 * DefaultLeaseOptions().LeaseTime)
		_, held := second.Term()
		is.True(held)
	})
}

// TestDutyEndsAsProcessSeesLaterEra guards against a holder that acts on after another part of its
// process has learned that the store was restored.
func TestDutyEndsAsProcessSeesLaterEra(t *testing.T) {
	runRestored(t, func(is *is.I, s *restoredStore) {
		options := DefaultLeaseOptions()
		options.Era = s.Eras.Current
		l := NewLease(s.Store, NewProcess("10.0.0.1"), SystemClock{}, options)
		duty := l.Duty(testDuty, func() bool { return true })
		is.NoErr(l.round(s.ctx))
		token, held := duty.FencingToken()
		is.True(held)
		s.Restore(nil)
		_, _, err := s.List(s.ctx, "other/")
		is.NoErr(err)
		_, held = duty.FencingToken()
		is.True(!held)
		_, held = duty.Term()
		is.True(!held)
		for range 10 {
			_ = l.round(s.ctx)
			time.Sleep(options.RenewEvery)
		}
		now, held := duty.FencingToken()
		is.True(held && now > token)
		is.Equal(l.DutiesEndedByEra(), 1)
	})
}

// TestStopEndsNoLeaseOfAnotherProcess guards against a planned stop that ends the duty of another
// process, whose lease has the number of the stopping one's. The load: a stop just after the
// store was restored and before this process has called it again.
func TestStopEndsNoLeaseOfAnotherProcess(t *testing.T) {
	runRestored(t, func(is *is.I, s *restoredStore) {
		l := NewLease(s.NewClient(), NewProcess("10.0.0.1"), SystemClock{}, DefaultLeaseOptions())
		l.Duty(testDuty, func() bool { return true })
		is.NoErr(l.round(s.ctx))
		s.Restore(nil)
		lease, err := s.Grant(s.ctx, time.Hour)
		is.NoErr(err)
		is.Equal(lease.Number, l.id.Number)
		_, err = s.Put(s.ctx, "other", nil, 0, lease)
		is.NoErr(err)
		l.stop(s.ctx)
		_, err = s.Get(s.ctx, "other")
		is.NoErr(err)
	})
}

// TestStopFreesDuty guards against a duty that stays with a stopped process until its lease lapses.
func TestStopFreesDuty(t *testing.T) {
	runRestored(t, func(is *is.I, s *restoredStore) {
		l := NewLease(s.Store, NewProcess("10.0.0.1"), SystemClock{}, DefaultLeaseOptions())
		duty := l.Duty(testDuty, func() bool { return true })
		is.NoErr(l.round(s.ctx))
		l.stop(s.ctx)
		_, held := duty.Term()
		is.True(!held)
		_, err := s.Get(s.ctx, duty.key())
		is.True(errors.Is(err, store.ErrNotFound))
	})
}
