package orders

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/plan"
)

// calm returns a world without plan actions, and its one process after the
// settling time.
func calm(seed uint64, engines int) (*world, *proc) {
	w := newWorld(seed, engines)
	w.rule.MaxServers, w.rule.MinServers = engines, engines
	w.tokens = plan.Tokens{Prefill: 1, Decode: 1}
	p := w.startProc("10.0.0.1:7000")
	time.Sleep(40 * time.Second)
	return w, p
}

func (w *world) engineOf(role config.Role, checks bool) *fakeEngine {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range w.names() {
		if e := w.engines[name]; e.role == role && e.checks == checks {
			return e
		}
	}
	return nil
}

// TestRoleChangesOfOperators guards against cut streams and missed floors while
// many operators change roles at a time, and measures how long and how many
// engines are out of service.
func TestRoleChangesOfOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, p := calm(7, 18)
		defer w.stop()
		w.mu.Lock()
		w.rule.MinPrefill, w.rule.MinDecode = 5, 5
		w.mu.Unlock()
		var mu sync.Mutex
		var drains, outs []float64
		var wait sync.WaitGroup
		for range 3 {
			wait.Go(func() {
				for i := range 40 {
					role := []config.Role{config.RolePrefill, config.RoleDecode}[i%2]
					w.mu.Lock()
					names := w.names()
					name := names[w.rng.IntN(len(names))]
					same := w.engines[name].role == role
					w.mu.Unlock()
					if same {
						continue
					}
					r, err := p.controller.Submit(context.Background(), Order{Kind: engine.OrderRole, Server: name, Role: role})
					mu.Lock()
					if err == nil {
						drains, outs = append(drains, r.DrainSeconds), append(outs, r.OutSeconds)
					}
					mu.Unlock()
					time.Sleep(time.Second)
				}
			})
		}
		wait.Wait()
		is.Equal(w.failure(), "")
		is.True(len(outs) > 20)
		w.mu.Lock()
		defer w.mu.Unlock()
		is.Equal(w.longest, time.Duration(0)) // no floor was missed
		is.True(w.maxOut <= 4)                // a quarter of 18
		slices.Sort(drains)
		slices.Sort(outs)
		n := len(outs)
		t.Logf("%d changes: drain median %.1f s, greatest %.1f s; out of service median %.1f s, greatest %.1f s; at most %d out at a time",
			n, drains[n/2], drains[n-1], outs[n/2], outs[n-1], w.maxOut)
	})
}

// TestSubmitRefusals guards against an order that goes out although it is
// incomplete, for an unknown server, below a floor or sent by a process that
// does not hold the duty.
func TestSubmitRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, p := calm(3, 8)
		defer w.stop()
		ctx := context.Background()
		other := w.startProc("10.0.0.2:7000")
		w.mu.Lock()
		w.rule.MinPrefill = 4
		w.mu.Unlock()
		prefill, decode := w.engineOf(config.RolePrefill, true).name, w.engineOf(config.RoleDecode, false).name

		var invalid *InvalidError
		_, err := p.controller.Submit(ctx, Order{Kind: engine.OrderRole, Server: decode, Role: "both"})
		is.True(errors.As(err, &invalid))
		_, err = p.controller.Submit(ctx, Order{Kind: engine.OrderLoadModel, Server: decode, Model: "saumur"})
		is.True(errors.As(err, &invalid))
		_, err = p.controller.Submit(ctx, Order{Kind: engine.OrderRole, Server: "none", Role: config.RoleDecode})
		is.True(errors.Is(err, ErrUnknownServer))
		_, err = other.controller.Submit(ctx, Order{Kind: engine.OrderRole, Server: decode, Role: config.RolePrefill})
		is.True(errors.Is(err, ErrNotHolder))
		var floor *FloorError
		_, err = p.controller.Submit(ctx, Order{Kind: engine.OrderRole, Server: prefill, Role: config.RoleDecode})
		is.True(errors.As(err, &floor))
		is.Equal(p.controller.Stats().NoticesRaised, int64(0))
	})
}

// TestDrainTimeout guards against a role change that cuts a stream that runs
// longer than the drain time-out, and against a notice that stays then.
func TestDrainTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, p := calm(5, 8)
		defer w.stop()
		e := w.engineOf(config.RoleDecode, false)
		w.mu.Lock()
		e.streams = append(e.streams, [2]time.Time{time.Now(), time.Now().Add(3 * time.Minute)})
		w.mu.Unlock()
		_, err := p.controller.Submit(context.Background(), Order{Kind: engine.OrderRole, Server: e.name, Role: config.RolePrefill})
		var late *DrainTimeoutError
		is.True(errors.As(err, &late))
		is.Equal(w.failure(), "")
		time.Sleep(5 * time.Second)
		is.Equal(p.LeavingServers(), nil)
	})
}

// TestEngineLeavingKeepsNotice guards against a withdrawn notice of an engine
// that reports itself that it is leaving.
func TestEngineLeavingKeepsNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, p := calm(5, 8)
		defer w.stop()
		e := w.engineOf(config.RoleDecode, true)
		w.mu.Lock()
		// With these floors the plan changes and stops nothing.
		w.rule.MinPrefill, w.rule.MinDecode = 8, 8
		e.leaving = true
		w.mu.Unlock()
		p.SetServerLeaving(e.name, true)
		time.Sleep(2 * time.Minute)
		is.Equal(p.LeavingServers(), []string{e.name})
		w.mu.Lock()
		e.leaving = false
		w.mu.Unlock()
		time.Sleep(10 * time.Second)
		is.True(!slices.Contains(p.LeavingServers(), e.name))
	})
}

// TestSuccessorWaitsForStops guards against a successor that puts a server back
// into service while the platform still carries out the stop that the former
// holder ordered.
func TestSuccessorWaitsForStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, p := calm(5, 8)
		defer w.stop()
		w.startProc("10.0.0.2:7000")
		w.mu.Lock()
		w.traffic, w.stopAfter = 1, stopTime-time.Second
		w.rule.MinServers, w.tokens = 5, plan.Tokens{}
		w.mu.Unlock()
		for p.controller.Stats().Stops == 0 {
			time.Sleep(100 * time.Millisecond)
		}
		p.kill()
		time.Sleep(time.Minute)
		is.Equal(w.failure(), "")
		is.Equal(w.procs[1].controller.Stats().Terms, int64(1))
	})
}

// TestLoadsShareTheBudget guards against loads that together exceed the rate of
// the weight store.
func TestLoadsShareTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, p := calm(5, 8)
		defer w.stop()
		start := time.Now()
		var wait sync.WaitGroup
		for _, name := range w.names()[:6] {
			wait.Go(func() {
				_, err := p.controller.Submit(context.Background(), Order{Kind: engine.OrderLoadAdapter, Server: name, Model: "hems", Version: "4"})
				is.NoErr(err)
			})
		}
		wait.Wait()
		// Virtual time: two at once, four more at one each 10 s.
		is.Equal(time.Since(start).Round(time.Second), 40*time.Second)
		is.Equal(p.controller.Stats().Loads, int64(6))
	})
}
