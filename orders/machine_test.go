package orders

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/plan"
	"github.com/figweir/figweir/standin/propertytest"
)

func init() { propertytest.Fix(map[string]string{"rapid.checks": "100", "rapid.steps": "30"}) }

// TestChangesUnderFaults guards against streams cut by a role change or a stop,
// orders of two holders interleaved at an engine that ignores fencing tokens or
// at the platform, floors that don't hold, and leaving notices that stand for
// ever after the faults have ended.
func TestChangesUnderFaults(t *testing.T) {
	var total Stats
	rapid.Check(t, func(rt *rapid.T) {
		rapid.SyncTest(rt, func(rt *rapid.T) {
			m := &machine{w: newWorld(rapid.Uint64().Draw(rt, "world"), rapid.IntRange(6, 9).Draw(rt, "engines"))}
			defer m.w.stop()
			m.w.suspends = rapid.Bool().Draw(rt, "clocks stop while paused")
			for range rapid.IntRange(2, 3).Draw(rt, "processes") {
				m.startNew()
			}
			time.Sleep(40 * time.Second)
			rt.Repeat(m.actions())
			m.heal(rt)
			m.add(&total)
		})
	})
	t.Logf("%+v", total)
	for name, n := range map[string]int64{
		"role changes": total.RoleChanges, "stops": total.Stops, "starts": total.Starts, "loads": total.Loads,
		"drain time-outs": total.DrainTimeouts, "unknown": total.Unknown, "reconciled": total.Reconciled, "terms": total.Terms,
	} {
		if n == 0 {
			t.Errorf("no run had %s", name)
		}
	}
}

// add sums up what the processes of a run did.
func (m *machine) add(total *Stats) {
	for _, p := range m.w.procs {
		s := p.controller.Stats()
		total.Terms += s.Terms
		total.RoleChanges += s.RoleChanges
		total.Stops += s.Stops
		total.Starts += s.Starts
		total.Loads += s.Loads
		total.DrainTimeouts += s.DrainTimeouts
		total.Unknown += s.Unknown
		total.NotSent += s.NotSent
		total.FloorRefused += s.FloorRefused
		total.NoticesRaised += s.NoticesRaised
		total.NoticesWithdrawn += s.NoticesWithdrawn
		total.Reconciled += s.Reconciled
	}
}

type machine struct {
	w     *world
	procs int
}

func (m *machine) startNew() {
	m.procs++
	m.w.startProc(fmt.Sprintf("10.0.0.%d:7000", m.procs))
	time.Sleep(13 * time.Millisecond)
}

// live draws a process that has not ended; the holder comes first.
func (m *machine) live(rt *rapid.T) *proc {
	var out []*proc
	for _, p := range m.w.procs {
		if !p.alive() {
			continue
		}
		if p.reachable() && p.leads() {
			out = append([]*proc{p, p}, out...)
		}
		out = append(out, p)
	}
	if len(out) == 0 {
		rt.Skip("no process runs")
	}
	return out[rapid.IntRange(0, len(out)-1).Draw(rt, "process")]
}

func (m *machine) engine(rt *rapid.T) *fakeEngine {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	names := m.w.names()
	return m.w.engines[names[rapid.IntRange(0, len(names)-1).Draw(rt, "engine")]]
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":             m.check,
		"advance":      m.advance,
		"advance2":     m.advance,
		"demand":       m.demand,
		"demand2":      m.demand,
		"operator":     m.operator,
		"operator2":    m.operator,
		"operator3":    m.operator,
		"pausePoint":   m.pausePoint,
		"pausePoint2":  m.pausePoint,
		"wake":         func(rt *rapid.T) { m.live(rt).resume() },
		"lostAnswers":  m.lostAnswers,
		"kill":         m.kill,
		"storeOutage":  m.storeOutage,
		"cutFromStore": func(rt *rapid.T) { p := m.live(rt); p.mu.Lock(); p.cut = !p.cut; p.mu.Unlock() },
		"crash": func(rt *rapid.T) {
			e := m.engine(rt)
			m.w.mu.Lock()
			defer m.w.mu.Unlock()
			e.downUntil, e.streams = time.Now().Add(8*time.Second), nil
		},
		"engineLeaves": func(rt *rapid.T) {
			e := m.engine(rt)
			m.w.mu.Lock()
			defer m.w.mu.Unlock()
			e.leaving = !e.leaving
		},
	}
}

func (m *machine) advance(rt *rapid.T) {
	time.Sleep(rapid.SampledFrom([]time.Duration{311, 4903, 12007, 36013}).Draw(rt, "ms") * time.Millisecond)
}

// demand changes the ratio or the amount, so that the plan changes roles, and
// orders or stops servers.
func (m *machine) demand(rt *rapid.T) {
	m.w.mu.Lock()
	m.w.tokens = plan.Tokens{
		Prefill: float64(rapid.IntRange(0, 6).Draw(rt, "prefill")) * 500,
		Decode:  float64(rapid.IntRange(0, 6).Draw(rt, "decode")) * 50,
	}
	m.w.mu.Unlock()
	time.Sleep(7 * time.Second)
}

func (m *machine) operator(rt *rapid.T) {
	p, e := m.live(rt), m.engine(rt)
	order := Order{Kind: engine.OrderRole, Server: e.name, Role: rapid.SampledFrom([]config.Role{config.RolePrefill, config.RoleDecode}).Draw(rt, "role")}
	if rapid.IntRange(0, 3).Draw(rt, "load") == 0 {
		order = Order{Kind: engine.OrderLoadModel, Server: e.name, Model: "saumur", Version: "2"}
	}
	p.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, _ = p.controller.Submit(ctx, order)
	})
	time.Sleep(3 * time.Second)
}

func (m *machine) pausePoint(rt *rapid.T) {
	p := m.live(rt)
	p.mu.Lock()
	p.armed[rapid.SampledFrom(points).Draw(rt, "point")] = true
	p.mu.Unlock()
	time.Sleep(rapid.SampledFrom([]time.Duration{time.Second, 5 * time.Second, 25 * time.Second}).Draw(rt, "for"))
}

func (m *machine) lostAnswers(rt *rapid.T) {
	p := m.live(rt)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lose = rapid.IntRange(0, 3).Draw(rt, "lose")
	p.delay = rapid.SampledFrom([]time.Duration{0, 1700 * time.Millisecond, 4999 * time.Millisecond}).Draw(rt, "delay")
}

func (m *machine) kill(rt *rapid.T) {
	p := m.live(rt)
	p.kill()
	synctest.Wait()
	if rapid.Bool().Draw(rt, "restart") {
		m.w.startProc(p.process.Address)
		return
	}
	m.w.mu.Lock()
	m.w.gone[p.process.Address] = true
	m.w.mu.Unlock()
	m.startNew()
}

func (m *machine) storeOutage(rt *rapid.T) {
	m.w.store.SetFault(refuseAll)
	time.Sleep(rapid.SampledFrom([]time.Duration{2 * time.Second, 20 * time.Second, 70 * time.Second}).Draw(rt, "outage"))
	m.w.store.SetFault(nil)
}

func (m *machine) check(rt *rapid.T) {
	synctest.Wait()
	if f := m.w.failure(); f != "" {
		rt.Fatalf("%s", f)
	}
}

// heal ends all faults and expects that the notices of all engines that run and
// are not changed are withdrawn.
func (m *machine) heal(rt *rapid.T) {
	m.w.store.SetFault(nil)
	m.w.mu.Lock()
	m.w.tokens = plan.Tokens{}
	for _, e := range m.w.engines {
		e.leaving = false
	}
	m.w.mu.Unlock()
	for _, p := range m.w.procs {
		p.mu.Lock()
		p.cut, p.armed, p.lose, p.delay = false, map[point]bool{}, 0, 0
		p.mu.Unlock()
		p.resume()
	}
	// The closing rules of the journal, the settling time, one change.
	time.Sleep(3 * time.Minute)
	m.check(rt)
	m.w.mu.Lock()
	m.w.longest = 0
	m.w.mu.Unlock()
	standing := make(map[string]int)
	const samples = 40
	for range samples {
		time.Sleep(10 * time.Second)
		m.w.mu.Lock()
		for name, n := range m.w.nodes[0] {
			if e := m.w.engines[name]; n.leaving && !e.stopped {
				standing[name]++
			}
		}
		m.w.mu.Unlock()
	}
	m.check(rt)
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if m.w.longest > 0 {
		rt.Fatalf("after all faults have ended, a role was below its floor for %s", m.w.longest)
	}
	for name, n := range standing {
		if n == samples {
			rt.Fatalf("after all faults have ended, %s keeps its leaving notice", name)
		}
	}
}
