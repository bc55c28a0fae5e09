package authority

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/standin/propertytest"
	"github.com/figweir/figweir/store"
)

func init() { propertytest.SetFlags(map[string]string{"rapid.checks": "300", "rapid.steps": "60"}) }

// Guards against conflicting orders: an order of a process that lost its
// authority arriving after one of its successor, a delayed copy arriving after
// a different order, a target accepting orders of two processes, and a result
// that contradicts what the target accepted. Also guards against intents that
// no rule closes after all faults have ended.
func TestNoConflictingOrders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rapid.SyncTest(rt, func(rt *rapid.T) {
			m := newStateMachine(rt)
			defer m.sim.stop()
			rt.Repeat(m.actions())
			m.endFaults(rt)
		})
	})
}

// Guards against conflicting orders, and against orders that targets refuse for good, when the store
// is restored: to copies of any age, again and again, while it is away, with lost answers, late
// writes, killed and frozen holders. The targets check fencing tokens: without that, an order of a
// frozen holder whose intent was lost can't be told apart.
func TestNoConflictingOrdersOverRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rapid.SyncTest(rt, func(rt *rapid.T) {
			m := &stateMachine{sim: newSimulation()}
			m.sim.addTarget("engine-checking", true)
			m.sim.addTarget("other-checking", true)
			m.mainTarget = m.sim.targets[0]
			m.drawListLag(rt)
			for range rapid.IntRange(2, 4).Draw(rt, "processes") {
				m.startProcess()
				time.Sleep(13 * time.Millisecond)
			}
			defer m.sim.stop()
			actions := m.actions()
			copies := []*memstore.Copy{m.sim.store.Copy()}
			actions["copy"] = func(*rapid.T) { copies = append(copies, m.sim.store.Copy()) }
			restore := func(rt *rapid.T) {
				m.sim.store.Restore(copies[rapid.IntRange(0, len(copies)-1).Draw(rt, "which copy")])
			}
			actions["restore"], actions["restore2"] = restore, restore
			rt.Repeat(actions)
			m.endFaults(rt)
		})
	})
}

type stateMachine struct {
	sim          *simulation
	addressCount int
	// mainTarget receives most orders.
	mainTarget *target
}

func newStateMachine(rt *rapid.T) *stateMachine {
	m := &stateMachine{sim: newSimulation()}
	m.sim.addTarget("engine-ignoring", false)
	m.sim.addTarget("engine-checking", true)
	m.sim.addTarget("platform", false)
	m.sim.addTarget("billing", false)
	m.mainTarget = m.sim.targets[rapid.IntRange(0, len(m.sim.targets)-1).Draw(rt, "focus")]
	m.sim.clockStops = rapid.Bool().Draw(rt, "clocks stop while paused")
	m.drawListLag(rt)
	for range rapid.IntRange(2, 4).Draw(rt, "processes") {
		m.startProcess()
		time.Sleep(13 * time.Millisecond)
	}
	return m
}

func (m *stateMachine) startProcess() {
	m.addressCount++
	m.sim.start(fmt.Sprintf("10.0.0.%d:7000", m.addressCount))
}

func (m *stateMachine) drawListLag(rt *rapid.T) {
	m.sim.setVMList(rapid.SampledFrom([]time.Duration{0, 15 * time.Second, 30 * time.Second}).Draw(rt, "list lag"), false)
}

// drawProcess draws a process that has not ended.
func (m *stateMachine) drawProcess(rt *rapid.T) *proc {
	var out []*proc
	for _, p := range m.sim.procs {
		if !p.ended {
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		rt.Skip("no process is running")
	}
	return out[rapid.IntRange(0, len(out)-1).Draw(rt, "process")]
}

// holderOrAny returns the running process that considers itself the holder of
// the duty, or draws a process if there is none.
func (m *stateMachine) holderOrAny(rt *rapid.T) *proc {
	for _, p := range m.sim.procs {
		if !p.ended && !p.paused() && p.mayAct() {
			return p
		}
	}
	return m.drawProcess(rt)
}

func (m *stateMachine) drawTarget(rt *rapid.T) *target {
	if rapid.IntRange(0, 3).Draw(rt, "elsewhere") > 0 {
		return m.mainTarget
	}
	return m.sim.targets[rapid.IntRange(0, len(m.sim.targets)-1).Draw(rt, "target")]
}

// actions lists the most important actions several times, so that faults often
// coincide with orders.
func (m *stateMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":               m.check,
		"faultyOrder":    m.faultyOrder,
		"faultyOrder2":   m.faultyOrder,
		"everyoneTries":  m.allProcessesSend,
		"everyoneTries2": m.allProcessesSend,
		"advance":        m.advance,
		"advance2":       m.advance,
		"wake":           func(rt *rapid.T) { m.drawProcess(rt).resume() },
		"claim": func(rt *rapid.T) {
			m.holderOrAny(rt).claim(m.drawTarget(rt))
		},
		"idleFault": func(rt *rapid.T) { m.injectFault(rt, m.holderOrAny(rt)) },
		"fate":      func(rt *rapid.T) { m.disruptProcess(rt, m.drawProcess(rt)) },
		"ends": func(rt *rapid.T) {
			m.sim.store.SetFault(nil)
			m.drawProcess(rt).setStoreCut(false)
		},
		"listLag": m.drawListLag,
		"replaceTarget": func(rt *rapid.T) {
			t := m.drawTarget(rt)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.Generation++
			t.lastToken, t.lastWriter, t.lastEpoch, t.claimedEpoch = 0, nil, 0, 0
		},
	}
}

func (m *stateMachine) advance(rt *rapid.T) {
	time.Sleep(rapid.SampledFrom([]time.Duration{311, 1711, 4903, 6101, 12007, 36013}).Draw(rt, "ms") * time.Millisecond)
}

// faultyOrder makes the holder send an order that meets a fault, and may
// disrupt the holder while the order is open.
func (m *stateMachine) faultyOrder(rt *rapid.T) {
	p, t := m.holderOrAny(rt), m.drawTarget(rt)
	for range rapid.IntRange(1, 2).Draw(rt, "faults") {
		m.injectFault(rt, p)
	}
	p.do(t, t.Target)
	time.Sleep(time.Millisecond)
	if rapid.Bool().Draw(rt, "then") {
		m.disruptProcess(rt, p)
	}
}

// allProcessesSend makes every process send an order to one target, in some
// cases with an outdated registration first.
func (m *stateMachine) allProcessesSend(rt *rapid.T) {
	t := m.drawTarget(rt)
	registered := t.Target
	if rapid.IntRange(0, 3).Draw(rt, "stale") == 0 {
		registered.Generation--
		defer m.sendFromAll(t, t.Target)
	}
	m.sendFromAll(t, registered)
}

func (m *stateMachine) sendFromAll(t *target, registered Target) {
	for _, p := range m.sim.procs {
		if !p.ended {
			p.do(t, registered)
			time.Sleep(time.Millisecond)
		}
	}
}

// injectFault prepares a fault for the next calls of a process.
func (m *stateMachine) injectFault(rt *rapid.T, p *proc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch rapid.IntRange(0, 5).Draw(rt, "fault") {
	case 0, 1:
		at := rapid.SampledFrom([]pausePoint{beforeSend, beforeSend, beforeStore, afterStore, afterSend, atClock, atList}).Draw(rt, "point")
		p.armedPoints[at] = true
	case 2, 3:
		p.sendFaults = nil
		for _, f := range rapid.SliceOfN(rapid.IntRange(int(loseResponse), int(refuseCopy)), 1, 3).Draw(rt, "send faults") {
			p.sendFaults = append(p.sendFaults, sendFault(f))
		}
		p.copyDelay = rapid.SampledFrom([]time.Duration{1700 * time.Millisecond, 4999 * time.Millisecond}).Draw(rt, "delay")
	case 4:
		op := rapid.SampledFrom([]memstore.Op{memstore.OpPut, memstore.OpPut, memstore.OpGet, memstore.OpRenew, memstore.OpGrant}).Draw(rt, "op")
		lose := rapid.Bool().Draw(rt, "lose")
		p.storeFault[op] = memstore.Fault{LoseAnswer: lose, Refuse: !lose}
	case 5:
		p.writeDelay = rapid.SampledFrom([]time.Duration{time.Nanosecond, 700 * time.Millisecond, 2500 * time.Millisecond}).Draw(rt, "late write")
		if rapid.Bool().Draw(rt, "no read-back") {
			p.storeFault[memstore.OpGet] = memstore.Fault{Refuse: true}
		}
	}
}

// disruptProcess pauses a process, cuts it off from the store, kills it, or
// makes the store unavailable.
func (m *stateMachine) disruptProcess(rt *rapid.T, p *proc) {
	switch rapid.IntRange(0, 6).Draw(rt, "fate") {
	case 0:
		p.pause()
	case 1:
		p.setStoreCut(true)
	case 2:
		m.sim.store.SetFault(func(memstore.Op, string) memstore.Fault { return memstore.Fault{Refuse: true} })
	case 3, 4: // the VM no longer exists
		p.kill()
		synctest.Wait()
		m.sim.setVM(p.Address, false)
		m.startProcess()
	case 5: // restarted immediately
		p.kill()
		synctest.Wait()
		m.sim.start(p.Address)
	case 6: // restarted later
		p.kill()
		time.Sleep(3 * time.Second)
		m.sim.start(p.Address)
	}
}

// check verifies the guarantees after each step.
func (m *stateMachine) check(rt *rapid.T) {
	synctest.Wait()
	m.sim.checkCalls()
	holders := 0
	for _, p := range m.sim.procs {
		if !p.ended && !p.paused() && p.mayAct() {
			holders++
		}
	}
	// A process whose clock stops with its VM can't detect that its lease
	// expired. In that case only the journal prevents conflicting orders.
	if holders > 1 && !m.sim.clockStops {
		m.sim.failf("%d processes consider themselves the holder of the duty", holders)
	}
	if f := m.sim.failure(); f != "" {
		rt.Fatalf("%s", f)
	}
}

// endFaults ends all faults. After the longest closing rule no intent may be
// open, and the holder can send to every target.
func (m *stateMachine) endFaults(rt *rapid.T) {
	m.sim.store.SetFault(nil)
	for _, p := range m.sim.procs {
		p.mu.Lock()
		p.storeCut, p.armedPoints, p.sendFaults, p.writeDelay, p.storeFault = false, map[pausePoint]bool{}, nil, 0, map[memstore.Op]memstore.Fault{}
		p.mu.Unlock()
		p.resume()
	}
	o := m.sim.journalOptions
	time.Sleep(2*(o.VMListLag+o.ConnectionTimeout) + 3*m.sim.leaseOptions.LeaseTime + 20*time.Second)
	m.check(rt)
	entry, err := m.sim.store.Get(context.Background(), journalPrefix+testDuty)
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
		rt.Fatalf("%d intents are still open after all faults have ended: %+v", len(r.Intents), r.Intents)
	}
	for _, p := range m.sim.procs {
		if p.ended || !p.mayAct() {
			continue
		}
		for _, t := range m.sim.targets {
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
