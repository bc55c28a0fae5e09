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

func init() { propertytest.Fix(map[string]string{"rapid.checks": "300", "rapid.steps": "60"}) }

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
	// focus is the target that most orders go to.
	focus *target
}

func newMachine(rt *rapid.T) *machine {
	m := &machine{w: newWorld()}
	m.w.addTarget("engine-ignoring", false)
	m.w.addTarget("engine-checking", true)
	m.w.addTarget("platform", false)
	m.w.addTarget("billing", false)
	m.focus = m.w.targets[rapid.IntRange(0, len(m.w.targets)-1).Draw(rt, "focus")]
	m.w.suspends = rapid.Bool().Draw(rt, "clocks stop while paused")
	m.drawLag(rt)
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

func (m *machine) drawLag(rt *rapid.T) {
	m.w.setList(rapid.SampledFrom([]time.Duration{0, 15 * time.Second, 30 * time.Second}).Draw(rt, "list lag"), false)
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

// holder returns the process that believes that it holds the duty, or draws
// one.
func (m *machine) holder(rt *rapid.T) *proc {
	for _, p := range m.w.procs {
		if !p.dead && !p.paused() && p.believes() {
			return p
		}
	}
	return m.live(rt)
}

func (m *machine) target(rt *rapid.T) *target {
	if rapid.IntRange(0, 3).Draw(rt, "elsewhere") > 0 {
		return m.focus
	}
	return m.w.targets[rapid.IntRange(0, len(m.w.targets)-1).Draw(rt, "target")]
}

// actions names the ones that matter most several times, so that faults meet
// orders often.
func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":               m.check,
		"faultyOrder":    m.faultyOrder,
		"faultyOrder2":   m.faultyOrder,
		"everyoneTries":  m.everyoneTries,
		"everyoneTries2": m.everyoneTries,
		"advance":        m.advance,
		"advance2":       m.advance,
		"wake":           func(rt *rapid.T) { m.live(rt).resume() },
		"claim": func(rt *rapid.T) {
			m.holder(rt).claim(m.target(rt))
		},
		"idleFault": func(rt *rapid.T) { m.armFault(rt, m.holder(rt)) },
		"fate":      func(rt *rapid.T) { m.fate(rt, m.live(rt)) },
		"ends": func(rt *rapid.T) {
			m.w.store.SetFault(nil)
			m.live(rt).setCut(false)
		},
		"listLag": m.drawLag,
		"replaceTarget": func(rt *rapid.T) {
			t := m.target(rt)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.Generation++
			t.last, t.writer, t.epoch, t.claimed = 0, nil, 0, 0
		},
	}
}

func (m *machine) advance(rt *rapid.T) {
	time.Sleep(rapid.SampledFrom([]time.Duration{311, 1711, 4903, 6101, 12007, 36013}).Draw(rt, "ms") * time.Millisecond)
}

// faultyOrder lets the holder send an order that meets a fault, and perhaps
// takes the holder away while the order is open.
func (m *machine) faultyOrder(rt *rapid.T) {
	p, t := m.holder(rt), m.target(rt)
	for range rapid.IntRange(1, 2).Draw(rt, "faults") {
		m.armFault(rt, p)
	}
	p.do(t, t.Target)
	time.Sleep(time.Millisecond)
	if rapid.Bool().Draw(rt, "then") {
		m.fate(rt, p)
	}
}

// everyoneTries lets every process send an order to one target, perhaps with
// an outdated registration first.
func (m *machine) everyoneTries(rt *rapid.T) {
	t := m.target(rt)
	registered := t.Target
	if rapid.IntRange(0, 3).Draw(rt, "stale") == 0 {
		registered.Generation--
		defer m.everyoneSends(t, t.Target)
	}
	m.everyoneSends(t, registered)
}

func (m *machine) everyoneSends(t *target, registered Target) {
	for _, p := range m.w.procs {
		if !p.dead {
			p.do(t, registered)
			time.Sleep(time.Millisecond)
		}
	}
}

// armFault prepares a fault of a process's next calls.
func (m *machine) armFault(rt *rapid.T, p *proc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch rapid.IntRange(0, 5).Draw(rt, "fault") {
	case 0, 1:
		at := rapid.SampledFrom([]point{beforeSend, beforeSend, beforeStore, afterStore, afterSend, atClock, atList}).Draw(rt, "point")
		p.armed[at] = true
	case 2, 3:
		p.sendFaults = nil
		for _, f := range rapid.SliceOfN(rapid.IntRange(int(loseAnswer), int(refuseCopy)), 1, 3).Draw(rt, "send faults") {
			p.sendFaults = append(p.sendFaults, sendFault(f))
		}
		p.copyDelay = rapid.SampledFrom([]time.Duration{1700 * time.Millisecond, 4999 * time.Millisecond}).Draw(rt, "delay")
	case 4:
		op := rapid.SampledFrom([]memstore.Op{memstore.OpPut, memstore.OpPut, memstore.OpGet, memstore.OpRenew, memstore.OpGrant}).Draw(rt, "op")
		lose := rapid.Bool().Draw(rt, "lose")
		p.storeFault[op] = memstore.Fault{LoseAnswer: lose, Refuse: !lose}
	case 5:
		p.lateWrite = rapid.SampledFrom([]time.Duration{time.Nanosecond, 700 * time.Millisecond, 2500 * time.Millisecond}).Draw(rt, "late write")
		if rapid.Bool().Draw(rt, "no read-back") {
			p.storeFault[memstore.OpGet] = memstore.Fault{Refuse: true}
		}
	}
}

// fate pauses, cuts off or kills a process, or takes the store away.
func (m *machine) fate(rt *rapid.T, p *proc) {
	switch rapid.IntRange(0, 6).Draw(rt, "fate") {
	case 0:
		p.pause()
	case 1:
		p.setCut(true)
	case 2:
		m.w.store.SetFault(func(memstore.Op, string) memstore.Fault { return memstore.Fault{Refuse: true} })
	case 3, 4: // the VM is gone
		p.kill()
		synctest.Wait()
		m.w.setLive(p.Address, false)
		m.startNew()
	case 5: // restarted at once
		p.kill()
		synctest.Wait()
		m.w.start(p.Address)
	case 6: // restarted later
		p.kill()
		time.Sleep(3 * time.Second)
		m.w.start(p.Address)
	}
}

// check is the oracle after each step.
func (m *machine) check(rt *rapid.T) {
	synctest.Wait()
	m.w.checkCalls()
	holders := 0
	for _, p := range m.w.procs {
		if !p.dead && !p.paused() && p.believes() {
			holders++
		}
	}
	// A clock that stops with its VM can't show a lapse; then only the journal
	// keeps orders apart.
	if holders > 1 && !m.w.suspends {
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
		p.cut, p.armed, p.sendFaults, p.lateWrite, p.storeFault = false, map[point]bool{}, nil, 0, map[memstore.Op]memstore.Fault{}
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
		if p.dead || !p.believes() {
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
