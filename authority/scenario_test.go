package authority

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

// scene has a process whose order is paused between its check and its send,
// and a successor that tries the same target twice a second.
type scene struct {
	w        *world
	old, new *proc
	target   *target
	order    *call
}

func newScene(checks bool, listLag time.Duration) *scene {
	s := &scene{w: newWorld()}
	s.w.listLag = listLag
	s.target = s.w.addTarget("target", checks)
	s.old = s.w.start("10.0.0.1:7000")
	time.Sleep(100 * time.Millisecond)
	s.old.arm(beforeSend)
	s.order = s.old.do(s.target, s.target.Target)
	time.Sleep(100 * time.Millisecond)
	s.new = s.w.start("10.0.0.2:7000")
	return s
}

// run lets d pass while the successor tries, and returns its last call.
func (s *scene) run(d time.Duration) *call {
	var last *call
	for end := time.Now().Add(d); time.Now().Before(end); {
		last = s.new.do(s.target, s.target.Target)
		time.Sleep(500 * time.Millisecond)
	}
	return last
}

// wakeAndSend wakes the old holder; the copy of its order is delayed as long
// as a connection can last.
func (s *scene) wakeAndSend() {
	s.old.mu.Lock()
	s.old.sendFaults, s.old.copyDelay = []sendFault{delayCopy}, 4999*time.Millisecond
	s.old.mu.Unlock()
	s.old.resume()
	time.Sleep(time.Millisecond)
}

// TestLateOrderNeverFollowsSuccessor guards against an order of a former holder
// that arrives after one of its successor, once for each way in which the
// former holder's intent is closed. It also guards against a target that stays
// blocked.
func TestLateOrderNeverFollowsSuccessor(t *testing.T) {
	pass := func(s *scene) {}
	cases := []struct {
		name    string
		listLag time.Duration
		steps   func(s *scene)
	}{
		{"paused, woken, answered", 0, func(s *scene) { s.run(40 * time.Second); s.old.resume() }},
		{"woken, outcome unknown", 0, func(s *scene) { s.run(15 * time.Second); s.wakeAndSend() }},
		{"VM too young to be listed", 30 * time.Second, func(s *scene) { s.run(25 * time.Second); s.old.resume() }},
		{"VM gone after a late send", 0, func(s *scene) {
			s.run(15 * time.Second)
			s.wakeAndSend()
			s.old.kill()
			s.w.setLive(s.old.Address, false)
		}},
		{"VM gone while the list was out of reach", 30 * time.Second, func(s *scene) {
			s.run(14 * time.Second)
			s.w.setList(30*time.Second, true)
			s.run(30 * time.Second)
			s.wakeAndSend()
			s.old.kill()
			s.w.setLive(s.old.Address, false)
			s.w.setList(0, false)
		}},
		{"restarted after a late send", 0, func(s *scene) {
			s.run(15 * time.Second)
			s.wakeAndSend()
			s.old.kill()
			s.w.start(s.old.Address)
		}},
		{"target replaced", 0, func(s *scene) {
			s.run(15 * time.Second)
			s.target.mu.Lock()
			s.target.Generation++
			s.target.mu.Unlock()
			s.run(2 * time.Second)
			s.old.resume()
		}},
		{"never woken on a target that checks tokens", 0, pass},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newScene(c.name == cases[len(cases)-1].name, c.listLag)
				defer s.w.stop()
				c.steps(s)
				last := s.run(60 * time.Second)
				s.w.checkCalls()
				is.Equal(s.w.failure(), "")
				done, err := last.result()
				is.True(done)
				is.NoErr(err)
			})
		})
	}
}

// TestBlockedIsReported guards against operators who can't see which target is
// blocked, by which process and since when, and against a blocked target that
// is sent an order.
func TestBlockedIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScene(false, 0)
		defer s.w.stop()
		opened := time.Now().Add(-100 * time.Millisecond)
		_, err := s.run(20 * time.Second).result()
		var blocked *BlockedError
		is.True(errors.As(err, &blocked))
		is.Equal(blocked.Intent.Writer, s.old.Process)
		is.Equal(blocked.Intent.OpenedUnixMillis, opened.UnixMilli())
		report := s.new.journal.Blocked()
		is.Equal(len(report), 1)
		is.Equal(report[0].Intent, blocked.Intent)
		is.True(report[0].ForSeconds > 0)
		s.old.resume()
		s.run(2 * time.Second)
		is.Equal(len(s.new.journal.Blocked()), 0)
		stats := s.new.journal.Stats()
		is.Equal(stats.BlockedEnded, int64(1))
		is.True(stats.BlockedMaxSeconds > 0)
		is.True(stats.RefusedBlocked > 0)
	})
}

// TestOldHolderAfterFence guards against a checking target that takes an order
// of a former holder after the successor has claimed it to read its state.
func TestOldHolderAfterFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScene(true, 0)
		defer s.w.stop()
		time.Sleep(15 * time.Second)
		s.new.claim(s.target)
		time.Sleep(time.Second)
		s.target.mu.Lock()
		is.True(s.target.claimed > 0)
		s.target.mu.Unlock()
		s.old.resume()
		time.Sleep(time.Second)
		is.Equal(s.w.failure(), "")
		var refused *RefusedError
		_, err := s.order.result()
		is.True(errors.As(err, &refused))
	})
}

// TestLostAcquisitionIsAdopted guards against a duty that nobody serves: the
// write of its leased record took effect, its answer was lost, and renewals
// for another duty keep the record alive.
func TestLostAcquisitionIsAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		p := w.start("10.0.0.1:7000")
		defer w.stop()
		var wanted atomic.Bool
		second := p.lease.Duty("usage/0", wanted.Load)
		p.mu.Lock()
		// The read-back fails as well.
		p.storeFault[memstore.OpPut] = memstore.Fault{LoseAnswer: true, After: func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.storeFault[memstore.OpGet] = memstore.Fault{Refuse: true}
		}}
		wanted.Store(true)
		p.mu.Unlock()
		time.Sleep(w.lease.RenewEvery * 3)
		_, held := second.Term()
		is.True(held)
	})
}

// TestRenewalsArePerProcess guards against renewals that cost the store a write
// for each duty.
func TestRenewalsArePerProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		ctx, cancel := context.WithCancel(t.Context())
		lease := NewLease(w.store, NewProcess("10.0.0.1:7000"), SystemClock{}, w.lease)
		var duties []*Duty
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			duties = append(duties, lease.Duty(name, func() bool { return true }))
		}
		duties = append(duties, lease.Duty("other", func() bool { return false }))
		done := make(chan struct{})
		go func() { defer close(done); lease.Run(ctx) }()
		time.Sleep(31 * time.Second)
		for i, d := range duties {
			_, held := d.Term()
			is.Equal(held, i < 5)
		}
		calls := w.store.Calls()
		is.Equal(calls["renew"], 10)
		is.Equal(calls["grant"], 1)
		is.Equal(calls["put"], 5)
		cancel()
		<-done
		_, err := w.store.Get(t.Context(), "duty/a")
		is.True(errors.Is(err, store.ErrNotFound)) // given up at once
		time.Sleep(time.Minute)
	})
}

// TestRenewalWithLateAnswer guards against a holder that counts its lease from
// the answer of a renewal, and against an order planned before a lapse that is
// sent after the duty was acquired again.
func TestRenewalWithLateAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		defer w.stop()
		p := w.start("10.0.0.1:7000")
		term, held := p.duty.Term()
		is.True(held)
		p.arm(afterStore) // the next call is a renewal
		time.Sleep(w.lease.LeaseTime * 2)
		p.resume()
		time.Sleep(time.Millisecond)
		is.True(!p.believes())
		time.Sleep(w.lease.LeaseTime)
		is.True(p.believes())
		is.True(!p.duty.MayAct(term))
	})
}

// TestLateTakeOver guards against a journal that a process takes over after its
// lease has lapsed: it read the record, was paused before its write, and a
// successor has taken the journal over in the meantime.
func TestLateTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.journal.StoreTimeout = time.Minute // longer than the lease
		defer w.stop()
		old := w.start("10.0.0.1:7000")
		old.setCut(true)
		time.Sleep(w.lease.LeaseTime * 2)
		w.store.SetFault(func(op memstore.Op, key string) memstore.Fault {
			if op != memstore.OpPut || key != journalPrefix+testDuty {
				return memstore.Fault{}
			}
			w.store.SetFault(nil)
			return memstore.Fault{Before: func() { old.pause(); old.gate(beforeStore) }}
		})
		old.setCut(false)
		time.Sleep(w.lease.RenewEvery * 2)
		is.True(old.paused())
		successor := w.start("10.0.0.2:7000")
		time.Sleep(w.lease.LeaseTime * 2)
		is.True(successor.believes())
		old.resume()
		time.Sleep(time.Millisecond)
		entry, err := w.store.Get(t.Context(), journalPrefix+testDuty)
		is.NoErr(err)
		r, err := decodeRecord(entry)
		is.NoErr(err)
		is.Equal(r.Holder, successor.Process)
	})
}
