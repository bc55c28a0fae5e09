package authority

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/figweir/figweir/platform/store"
	"github.com/figweir/figweir/standin/memstore"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// TestOrdersStayApart guards against conflicting orders: an order of a process
// that has lost its authority arriving after one of its successor, a delayed
// copy arriving after a different order, a target taking orders from two
// processes, and a result that doesn't agree with what the target took. It
// also guards against intents that no rule closes once the faults have ended.
func TestOrdersStayApart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rapid.SyncTest(rt, func(rt *rapid.T) {
			m := newMachine(rt)
			defer m.w.stop()
			rt.Repeat(m.actions())
			m.heal(rt)
		})
	})
}

type machine struct {
	w         *world
	addresses int
}

func newMachine(rt *rapid.T) *machine {
	m := &machine{w: newWorld()}
	m.w.addTarget("engine-ignoring", false)
	m.w.addTarget("engine-checking", true)
	m.w.addTarget("platform", false)
	m.w.addTarget("billing", false)
	for range rapid.IntRange(2, 4).Draw(rt, "processes") {
		m.startNew()
		time.Sleep(13 * time.Millisecond)
	}
	return m
}

func (m *machine) startNew() {
	m.addresses++
	m.w.start(fmt.Sprintf("10.0.0.%d:7000", m.addresses))
}

// live draws a process that has not ended.
func (m *machine) live(rt *rapid.T) *proc {
	var out []*proc
	for _, p := range m.w.procs {
		if !p.dead {
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		rt.Skip("no process runs")
	}
	return out[rapid.IntRange(0, len(out)-1).Draw(rt, "process")]
}

func (m *machine) target(rt *rapid.T) *target {
	return m.w.targets[rapid.IntRange(0, len(m.w.targets)-1).Draw(rt, "target")]
}

func (m *machine) do(rt *rapid.T) {
	p, t := m.live(rt), m.target(rt)
	p.do(t, t.Target)
	synctest.Wait()
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": m.check,
		// Orders are named several times, so that faults meet them often.
		"do":  m.do,
		"do2": m.do,
		"do3": m.do,
		"doEverywhere": func(rt *rapid.T) {
			for _, p := range m.w.procs {
				for _, t := range m.w.targets {
					if !p.dead {
						p.do(t, t.Target)
					}
				}
			}
		},
		"claim": func(rt *rapid.T) { m.live(rt).claim(m.target(rt)) },
		"advance": func(rt *rapid.T) {
			time.Sleep(rapid.SampledFrom([]time.Duration{311, 1711, 4903, 6101, 12007, 36013}).Draw(rt, "ms") * time.Millisecond)
		},
		"pause": func(rt *rapid.T) { m.live(rt).pause() },
		"pauseAt": func(rt *rapid.T) {
			p := m.live(rt)
			at := rapid.SampledFrom([]point{beforeSend, beforeSend, beforeStore, afterStore, afterSend, atClock, atList}).Draw(rt, "point")
			p.mu.Lock()
			defer p.mu.Unlock()
			p.armed[at] = true
		},
		"wake": func(rt *rapid.T) { m.live(rt).resume() },
		"kill": func(rt *rapid.T) {
			p := m.live(rt)
			p.kill()
			synctest.Wait()
			switch rapid.IntRange(0, 2).Draw(rt, "then") {
			case 0:
				m.w.setLive(p.Address, false)
				m.startNew()
			case 1:
				m.w.start(p.Address)
			case 2:
				time.Sleep(3 * time.Second)
				m.w.start(p.Address)
			}
		},
		"sendFaults": func(rt *rapid.T) {
			p := m.live(rt)
			faults := rapid.SliceOfN(rapid.IntRange(int(loseAnswer), int(refuseCopy)), 1, 3).Draw(rt, "faults")
			p.mu.Lock()
			defer p.mu.Unlock()
			p.sendFaults = nil
			for _, f := range faults {
				p.sendFaults = append(p.sendFaults, sendFault(f))
			}
			p.copyDelay = rapid.SampledFrom([]time.Duration{1700 * time.Millisecond, 4999 * time.Millisecond}).Draw(rt, "delay")
		},
		"storeFault": func(rt *rapid.T) {
			p := m.live(rt)
			op := rapid.SampledFrom([]memstore.Op{memstore.OpPut, memstore.OpPut, memstore.OpGet, memstore.OpRenew, memstore.OpGrant}).Draw(rt, "op")
			lose := rapid.Bool().Draw(rt, "lose")
			p.mu.Lock()
			defer p.mu.Unlock()
			p.storeFault[op] = memstore.Fault{LoseAnswer: lose, Refuse: !lose}
		},
		"cut":   func(rt *rapid.T) { m.setCut(m.live(rt), true) },
		"uncut": func(rt *rapid.T) { m.setCut(m.live(rt), false) },
		"outage": func(*rapid.T) {
			m.w.store.SetFault(func(memstore.Op, string) memstore.Fault { return memstore.Fault{Refuse: true} })
		},
		"outageEnds": func(*rapid.T) { m.w.store.SetFault(nil) },
		"listLag": func(rt *rapid.T) {
			lag := rapid.SampledFrom([]time.Duration{0, 15 * time.Second, 30 * time.Second}).Draw(rt, "lag")
			m.w.mu.Lock()
			defer m.w.mu.Unlock()
			m.w.listLag = lag
		},
		"replaceTarget": func(rt *rapid.T) {
			t := m.target(rt)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.Generation++
			t.last, t.writer, t.epoch, t.claimed = 0, nil, 0, nil
		},
	}
}

func (m *machine) setCut(p *proc, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// check is the oracle after each step.
func (m *machine) check(rt *rapid.T) {
	synctest.Wait()
	m.w.checkCalls()
	holders := 0
	for _, p := range m.w.procs {
		if p.dead || p.paused() {
			continue
		}
		if _, held := p.duty.Term(); held {
			holders++
		}
	}
	if holders > 1 {
		m.w.failf("%d processes believe that they are in charge", holders)
	}
	if f := m.w.failure(); f != "" {
		rt.Fatalf("%s", f)
	}
}

// heal ends all faults. After the longest of the closing rules no intent may
// be open, and the holder can send to every target.
func (m *machine) heal(rt *rapid.T) {
	m.w.store.SetFault(nil)
	for _, p := range m.w.procs {
		p.mu.Lock()
		p.cut, p.armed, p.sendFaults, p.storeFault = false, map[point]bool{}, nil, map[memstore.Op]memstore.Fault{}
		p.mu.Unlock()
		p.resume()
	}
	o := m.w.journal
	time.Sleep(2*(o.ListLag+o.ConnectionTimeout) + 3*m.w.lease.LeaseTime + 20*time.Second)
	m.check(rt)
	entry, err := m.w.store.Get(context.Background(), journalPrefix+testDuty)
	if errors.Is(err, store.ErrNotFound) {
		return
	}
	if err != nil {
		rt.Fatal(err)
	}
	r, err := decodeRecord(entry)
	if err != nil {
		rt.Fatal(err)
	}
	if len(r.Intents) > 0 {
		rt.Fatalf("after all faults have ended %d intents are open: %+v", len(r.Intents), r.Intents)
	}
	for _, p := range m.w.procs {
		if _, held := p.duty.Term(); p.dead || !held {
			continue
		}
		for _, t := range m.w.targets {
			c := p.do(t, t.Target)
			time.Sleep(100 * time.Millisecond)
			if done, err := c.result(); !done || err != nil {
				rt.Fatalf("after all faults have ended, an order to %s fails: %v", t.Name, err)
			}
		}
		return
	}
	rt.Fatalf("after all faults have ended, no process holds the duty")
}
