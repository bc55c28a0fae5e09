package usage

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/figweir/figweir/billing"
	"github.com/figweir/figweir/standin/memstore"
)

// machine drives a world with random actions and knows what callers were told.
type machine struct {
	w *world
	// answered is the usage of calls that were answered whole.
	answered map[string]Figures
	// maybe is the usage of calls whose node was killed between mirroring and
	// the end of the answer.
	maybe map[string]Figures
	// lost is the usage at risk of killed nodes.
	lost Figures
	// spare counts, for each incarnation with unsealed usage, how many copies of
	// it may be lost: two after mirroring, none if only one copy is left.
	spare map[string]int
}

func newMachine() *machine {
	return &machine{
		w: newWorld(), answered: make(map[string]Figures), maybe: make(map[string]Figures), spare: make(map[string]int),
	}
}

// TestWindowsMatchAnswers guards against usage that is lost, counted twice or
// reported with different figures while nodes, owners, the store, the network
// and billing fail.
func TestWindowsMatchAnswers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rapid.SyncTest(rt, func(rt *rapid.T) {
			m := newMachine()
			rt.Repeat(map[string]func(*rapid.T){
				"":           m.check,
				"call":       m.call,
				"callKilled": m.callKilled,
				"kill":       m.kill,
				"stop":       m.restart,
				"cut":        m.cut,
				"recheck":    m.recheck,
				"time":       m.time,
				"step":       m.step,
				"stepFault":  m.stepFault,
				"outage":     m.outage,
				"billing":    m.billing,
				"takeOver":   m.takeOver,
				"settle":     m.settle,
			})
			m.settle(rt)
			m.check(rt)
			m.compare(rt)
		})
	})
}

// TestCopiesSurviveRollingKills guards against mirrors that are taken to hold
// totals that they lost in a restart: nodes are killed one after the other, and
// the rest mirrors again in between.
func TestCopiesSurviveRollingKills(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rapid.SyncTest(rt, func(rt *rapid.T) {
			m := newMachine()
			rt.Repeat(map[string]func(*rapid.T){
				"":       m.check,
				"call":   m.call,
				"kill":   m.kill,
				"stop":   m.restart,
				"gossip": func(*rapid.T) { m.w.gossip() },
				"idle":   m.recheck,
			})
			m.settle(rt)
			m.compare(rt)
		})
	})
}

var workspaces = []string{"vogar", "keflavik", "surco", "callao"}

func (m *machine) drawFigures(rt *rapid.T) Figures {
	return Figures{1, rapid.Uint64Range(0, 50).Draw(rt, "prompt"), rapid.Uint64Range(0, 50).Draw(rt, "output")}
}

func (m *machine) check(rt *rapid.T) {
	if m.w.failed != "" {
		rt.Fatal(m.w.failed)
	}
}

// compare checks the sum of all reports against what callers were told.
func (m *machine) compare(rt *rapid.T) {
	var missing Figures
	reported := m.w.reported()
	for _, workspace := range workspaces {
		answered, got := m.answered[workspace], reported[workspace]
		if most := answered.Plus(m.maybe[workspace]); !got.Beyond(most).IsZero() {
			rt.Fatalf("%s: %+v reported, at most %+v were used", workspace, got, most)
		}
		missing = missing.Plus(answered.Beyond(got))
	}
	if beyond := missing.Beyond(m.lost); !beyond.IsZero() {
		rt.Fatalf("%+v of answered usage was not reported, %+v was at risk", missing, m.lost)
	}
}

func (m *machine) call(rt *rapid.T) {
	slot := rapid.IntRange(0, testSlots-1).Draw(rt, "slot")
	workspace := rapid.SampledFrom(workspaces).Draw(rt, "workspace")
	f := m.drawFigures(rt)
	r := m.w.nodes[slot].recorder
	ticket := r.Add(workspace, f)
	if rapid.IntRange(0, 3).Draw(rt, "mirrored late") == 0 {
		m.time(rt)
		m.step(rt)
	}
	r.flush()
	mirrors, err := r.Wait(context.Background(), ticket)
	if err != nil {
		rt.Fatal(err)
	}
	m.answered[workspace] = m.answered[workspace].Plus(f)
	m.mirrored(slot, mirrors)
}

// mirrored notes how many mirrors the recorder of a node says that it has.
func (m *machine) mirrored(slot, mirrors int) {
	incarnation := m.w.nodes[slot].ledger.incarnation
	if _, ok := m.spare[incarnation]; !ok || mirrors >= wantedMirrors {
		m.spare[incarnation] = min(mirrors, wantedMirrors)
	}
}

// callKilled kills the node before or after the mirroring of a call that is
// then not answered.
func (m *machine) callKilled(rt *rapid.T) {
	slot := rapid.IntRange(0, testSlots-1).Draw(rt, "slot")
	workspace := rapid.SampledFrom(workspaces).Draw(rt, "workspace")
	f := m.drawFigures(rt)
	if !m.mayKill(slot) {
		return
	}
	r := m.w.nodes[slot].recorder
	r.Add(workspace, f)
	if rapid.Bool().Draw(rt, "mirrored") {
		r.flush()
	}
	m.maybe[workspace] = m.maybe[workspace].Plus(f)
	m.killSlot(slot)
}

func (m *machine) kill(rt *rapid.T) {
	if slot := rapid.IntRange(0, testSlots-1).Draw(rt, "slot"); m.mayKill(slot) {
		m.killSlot(slot)
	}
}

// mayKill reports whether the loss of a node leaves a copy of everything that
// was mirrored twice.
func (m *machine) mayKill(slot int) bool {
	for incarnation, spare := range m.spare {
		if spare == 0 && m.w.nodes[slot].holds(incarnation) {
			return false
		}
	}
	return true
}

func (m *machine) killSlot(slot int) {
	for incarnation := range m.spare {
		if m.w.nodes[slot].holds(incarnation) {
			m.spare[incarnation]--
		}
	}
	m.lost = m.lost.Plus(m.w.nodes[slot].recorder.Stats().AtRisk)
	m.w.start(slot)
}

// restart is a planned stop with a hand-over, and a start with empty memory.
// Copies are lost only if the peers that took over had them already.
func (m *machine) restart(rt *rapid.T) {
	slot := rapid.IntRange(0, testSlots-1).Draw(rt, "slot")
	r := m.w.nodes[slot].recorder
	if !m.mayKill(slot) || m.w.cut[slot] {
		return
	}
	r.flush()
	before := m.copies()
	if r.HandOver(context.Background()) < wantedMirrors {
		return
	}
	m.lost = m.lost.Plus(r.Stats().AtRisk)
	m.w.start(slot)
	after := m.copies()
	for incarnation := range m.spare {
		if after[incarnation] < before[incarnation] {
			m.spare[incarnation]--
		}
	}
}

// copies counts the nodes that hold something of each incarnation.
func (m *machine) copies() map[string]int {
	copies := make(map[string]int)
	for incarnation := range m.spare {
		for _, n := range m.w.nodes {
			if n.holds(incarnation) {
				copies[incarnation]++
			}
		}
	}
	return copies
}

func (m *machine) cut(rt *rapid.T) {
	slot := rapid.IntRange(0, testSlots-1).Draw(rt, "slot")
	if rapid.Bool().Draw(rt, "answers only") {
		m.w.loseMirror[slot] = !m.w.loseMirror[slot]
		return
	}
	m.w.cut[slot] = !m.w.cut[slot]
}

// recheck does what an idle recorder does once a second.
func (m *machine) recheck(rt *rapid.T) {
	if rapid.Bool().Draw(rt, "gossip") {
		m.w.gossip()
	}
	slot := rapid.IntRange(0, testSlots-1).Draw(rt, "slot")
	if r := m.w.nodes[slot].recorder; r.mirrorsChanged() {
		r.flush()
		if r.Stats().AtRisk.IsZero() {
			m.mirrored(slot, wantedMirrors)
		}
	}
}

func (m *machine) time(rt *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 25).Draw(rt, "seconds")) * time.Second)
}

func (m *machine) process(rt *rapid.T) *process {
	return m.w.processes[rapid.IntRange(0, 1).Draw(rt, "process")]
}

func (m *machine) step(rt *rapid.T) { _, _ = m.w.step(m.process(rt)) }

// stepFault runs a step of which one store call, or the report, fails, is
// killed or is paused while the other process takes over and steps.
func (m *machine) stepFault(rt *rapid.T) {
	p := m.process(rt)
	other := m.w.processes[1-p.index]
	at := rapid.IntRange(0, 6).Draw(rt, "call")
	writes := rapid.Bool().Draw(rt, "count writes only")
	kind := rapid.SampledFrom([]string{"refuse", "lose", "kill before", "kill after", "pause", "pause and lose", "late write", "pause report", "kill report"}).Draw(rt, "kind")
	takeOver := func() {
		m.w.store.SetFault(nil)
		m.w.inCharge = other.index
		_, _ = m.w.step(other)
	}
	switch kind {
	case "late write":
		m.w.store.delayNext = true
	case "pause report":
		m.w.pauseReport = takeOver
	case "kill report":
		m.w.pauseReport = func() { panic(killed{}) }
	default:
		m.w.store.SetFault(faultAt(at, writes, kind, takeOver))
	}
	_, _ = m.w.step(p)
	m.w.store.SetFault(nil)
	m.w.pauseReport = nil
	m.w.store.delayNext = false
}

// faultAt faults one call of all calls, or of the writes among them.
func faultAt(at int, writes bool, kind string, takeOver func()) memstore.FaultFunc {
	n := -1
	die := func() { panic(killed{}) }
	return func(op memstore.Op, _ string) memstore.Fault {
		if writes && op != memstore.OpPut {
			return memstore.Fault{}
		}
		if n++; n != at {
			return memstore.Fault{}
		}
		switch kind {
		case "refuse":
			return memstore.Fault{Refuse: true}
		case "lose":
			return memstore.Fault{LoseAnswer: true}
		case "kill before":
			return memstore.Fault{Before: die}
		case "kill after":
			return memstore.Fault{After: die}
		case "pause and lose":
			return memstore.Fault{Before: takeOver, LoseAnswer: true}
		default:
			return memstore.Fault{Before: takeOver}
		}
	}
}

// outage lets owners step while the store is down, and late writes arrive.
func (m *machine) outage(rt *rapid.T) {
	if rapid.Bool().Draw(rt, "late writes arrive") {
		m.w.store.applyDelayed()
		return
	}
	m.w.store.SetFault(func(memstore.Op, string) memstore.Fault { return memstore.Fault{Refuse: true} })
	_, _ = m.w.step(m.process(rt))
	time.Sleep(3 * testWindow)
	_, _ = m.w.step(m.process(rt))
	m.w.store.SetFault(nil)
}

func (m *machine) billing(rt *rapid.T) {
	fault := rapid.SampledFrom([]error{billing.ErrAmbiguous, billing.ErrUnavailable, billing.ErrRefused}).Draw(rt, "fault")
	m.w.billingFaults = append(m.w.billingFaults, fault)
}

// takeOver puts a process in charge, as a new incarnation or as it is.
func (m *machine) takeOver(rt *rapid.T) {
	p := m.process(rt)
	if rapid.Bool().Draw(rt, "new") {
		m.w.startProcess(p.index)
	}
	m.w.inCharge = p.index
}

func (m *machine) settle(rt *rapid.T) {
	m.w.settle(rt)
	clear(m.spare)
}

// TestLossEqualsUsageAtRisk guards against usage at risk that is counted wrong:
// a node that reaches no mirror is killed, and exactly what it counted is
// missing from the reports.
func TestLossEqualsUsageAtRisk(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rapid.SyncTest(rt, func(rt *rapid.T) {
			is := is.New(t)
			m := newMachine()
			slot := rapid.IntRange(0, testSlots-1).Draw(rt, "slot")
			add := func() (unmirrored Figures) {
				for range rapid.IntRange(1, 8).Draw(rt, "calls") {
					workspace := rapid.SampledFrom(workspaces).Draw(rt, "workspace")
					f := m.drawFigures(rt)
					r := m.w.nodes[slot].recorder
					ticket := r.Add(workspace, f)
					r.flush()
					mirrors, err := r.Wait(context.Background(), ticket)
					is.NoErr(err)
					if mirrors == 0 {
						unmirrored = unmirrored.Plus(f)
					}
					m.answered[workspace] = m.answered[workspace].Plus(f)
					time.Sleep(time.Duration(rapid.IntRange(0, 4).Draw(rt, "seconds")) * time.Second)
				}
				return unmirrored
			}
			add()
			for other := range m.w.cut {
				m.w.cut[other] = other != slot
			}
			unmirrored := add()
			atRisk := m.w.nodes[slot].recorder.Stats().AtRisk
			m.killSlot(slot)
			m.settle(rt)
			var missing Figures
			reported := m.w.reported()
			for _, workspace := range workspaces {
				missing = missing.Plus(m.answered[workspace].Beyond(reported[workspace]))
			}
			if missing != unmirrored || missing != atRisk {
				rt.Fatalf("%+v is missing, %+v was counted at risk, callers were told %+v", missing, atRisk, unmirrored)
			}
		})
	})
}
