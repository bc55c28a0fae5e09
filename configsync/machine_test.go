package configsync_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/configsync"
	"github.com/figweir/figweir/store"
)

// CI always runs the same cases; flags on the command line override these.
func init() {
	_ = flag.Set("rapid.seed", "7120412")
	_ = flag.Set("rapid.checks", "25")
}

// machine drives a deployment and checks what must hold at every moment.
type machine struct {
	f        *fabric
	next     int // number of the next VM or change
	pending  sync.WaitGroup
	stopped  chan struct{}
	failures chan string

	mu       sync.Mutex
	accepted []acceptance
	won      map[store.Revision]string   // author of the change that took a base revision
	served   map[string]store.Revision   // greatest revision by VM name, over restarts
	inForce  map[*process]store.Revision // greatest revision by process
	verdicts map[configsync.Verdict]int  // samples taken
	outcomes map[configsync.Status]int   // of changes
	reverted int                         // restarts after which a revision that was never accepted was gone
}

type acceptance struct {
	revision store.Revision
	at       time.Time
}

func (m *machine) failf(format string, args ...any) {
	select {
	case m.failures <- fmt.Sprintf(format, args...):
	default: // the first failure is enough
	}
}

// floor returns the greatest revision that was accepted more than one evidence
// window ago; no node may serve by an older one.
func (m *machine) floor(now time.Time, window time.Duration) store.Revision {
	var floor store.Revision
	for _, a := range m.accepted {
		if now.Sub(a.at) > window {
			floor = max(floor, a.revision)
		}
	}
	return floor
}

// observe checks every node at this moment.
func (m *machine) observe() {
	m.f.mu.Lock()
	nodes := make(map[string]*process)
	for name, n := range m.f.nodes {
		nodes[name] = n.process.Load()
	}
	m.f.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range nodes {
		if p == nil {
			continue
		}
		revision := p.sync.Revision()
		if revision < m.inForce[p] {
			m.failf("%s went back from revision %d to %d", name, m.inForce[p], revision)
		}
		m.inForce[p] = revision
		floor := m.floor(time.Now(), p.members.EvidenceWindow())
		verdict := p.sync.Verdict()
		m.verdicts[verdict]++
		s, err := p.sync.Snapshot()
		if err != nil {
			continue
		}
		if s.Revision < floor {
			m.failf("%s serves (%v) by revision %d although %d was accepted", name, verdict, s.Revision, floor)
		}
		if s.Revision < m.served[name] {
			for _, a := range m.accepted {
				if a.revision > s.Revision && a.revision <= m.served[name] {
					m.failf("%s served revision %d, which was accepted, and serves %d after a restart", name, m.served[name], s.Revision)
				}
			}
			m.reverted++
		}
		m.served[name] = s.Revision
	}
}

func (m *machine) monitor() {
	for {
		select {
		case <-m.stopped:
			return
		case <-time.After(20 * time.Millisecond):
			m.observe()
		}
	}
}

// change lets an operator withdraw a key through a node.
func (m *machine) change(p *process, d *config.Document, base store.Revision) {
	m.next++
	i, author := m.next, fmt.Sprintf("operator %d", m.next)
	m.pending.Go(func() {
		result, err := withdraw(p, d, base, i, author)
		at := time.Now()
		m.mu.Lock()
		defer m.mu.Unlock()
		var race *config.RaceError
		switch {
		case err == nil:
			if other, ok := m.won[base]; ok {
				m.failf("%q and %q both took revision %d", other, author, base)
			}
			m.won[base] = author
			m.outcomes[result.Status]++
			if result.Status == configsync.Accepted {
				m.accepted = append(m.accepted, acceptance{result.Revision, at})
			}
		case errors.As(err, &race) && race.Current <= base:
			m.failf("%q was told of a race with revision %d, which is not after %d", author, race.Current, base)
		}
	})
}

func (m *machine) pick(rt *rapid.T) *node {
	return m.f.nodes[rapid.SampledFrom(m.f.names()).Draw(rt, "vm")]
}

func (m *machine) actions() map[string]func(*rapid.T) {
	ms := func(rt *rapid.T, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(rt, "ms")) * time.Millisecond
	}
	locked := func(change func(f *fabric)) {
		m.f.change(func() { change(m.f) })
	}
	race := func(rt *rapid.T, operators int) {
		d, version, err := config.NewRepository(m.f.mem).Load(context.Background())
		if err != nil {
			return // the operator can't read the configuration either
		}
		for range operators {
			if p := m.pick(rt).process.Load(); p != nil {
				m.change(p, d, version.Revision)
			}
		}
		time.Sleep(ms(rt, 0, 1000))
	}
	return map[string]func(*rapid.T){
		"wait":   func(rt *rapid.T) { time.Sleep(ms(rt, 10, 3000)) },
		"change": func(rt *rapid.T) { race(rt, 1) },
		"race":   func(rt *rapid.T) { race(rt, rapid.IntRange(2, 3).Draw(rt, "operators")) },
		"heal":   func(*rapid.T) { m.f.heal() },
		"restart": func(rt *rapid.T) {
			for range rapid.IntRange(1, 2).Draw(rt, "nodes") {
				n := m.pick(rt)
				n.stop()
				time.Sleep(ms(rt, 0, 500))
				n.start()
			}
		},
		"replace": func(rt *rapid.T) {
			old := m.pick(rt)
			old.stop()
			m.next++
			locked(func(f *fabric) { delete(f.nodes, old.vm.Name) })
			n := m.f.add(fmt.Sprintf("new%03d", m.next), old.vm.FailureDomain)
			m.f.publish()
			n.start()
		},
		"lag": func(rt *rapid.T) {
			n, lag := m.pick(rt), ms(rt, 0, 4000)
			locked(func(*fabric) { n.lag = lag })
		},
		"partition": func(rt *rapid.T) {
			cut := rapid.SliceOfN(rapid.Bool(), 2, 2).Draw(rt, "store cut by side")
			for _, name := range m.f.names() {
				side := rapid.IntRange(0, 1).Draw(rt, name)
				locked(func(f *fabric) { f.group[name], f.storeCut[name] = side, cut[side] })
			}
		},
		"store": func(rt *rapid.T) {
			down := rapid.Bool().Draw(rt, "down")
			locked(func(f *fabric) { f.storeDown = down })
		},
		"store cut": func(rt *rapid.T) {
			n, cut := m.pick(rt), rapid.Bool().Draw(rt, "cut")
			locked(func(f *fabric) { f.storeCut[n.vm.Name] = cut })
		},
		"network": func(rt *rapid.T) {
			loss, storeLoss := rapid.Float64Range(0, 0.3).Draw(rt, "loss"), rapid.Float64Range(0, 0.3).Draw(rt, "store loss")
			delay := ms(rt, 0, 300)
			locked(func(f *fabric) { f.lossRate, f.storeLoss, f.maxDelay = loss, storeLoss, delay })
		},
		"": func(rt *rapid.T) {
			select {
			case failure := <-m.failures:
				rt.Fatal(failure)
			default:
			}
		},
	}
}

// recovers checks that the deployment works again after the faults have ended.
func (m *machine) recovers(rt *rapid.T) {
	m.pending.Wait()
	m.f.heal()
	time.Sleep(testMembership.ListLag + 5*time.Second)
	d, version, err := config.NewRepository(m.f.mem).Load(context.Background())
	if err != nil {
		rt.Fatal(err)
	}
	first := m.f.nodes[m.f.names()[0]].process.Load()
	first.members.SetServerLeaving("laugar-17", true)
	result, err := withdraw(first, d, version.Revision, 0, "last")
	if err != nil || result.Status != configsync.Accepted {
		rt.Fatalf("the change after the faults: %+v, %v", result, err)
	}
	time.Sleep(first.members.EvidenceWindow())
	for _, name := range m.f.names() {
		p := m.f.nodes[name].process.Load()
		view := p.members.View()
		if p.sync.Verdict() != configsync.Fresh || p.sync.Revision() != result.Revision || !view.Reachable(time.Now()) ||
			len(view.Live) != len(m.f.names()) || !view.ServerLeaving("laugar-17") {
			rt.Fatalf("%s after the faults: %v at revision %d of %d, %d live of %d, reachable %v, leaving %v", name, p.sync.Verdict(),
				p.sync.Revision(), result.Revision, len(view.Live), len(m.f.names()), view.Reachable(time.Now()), view.LeavingServers())
		}
	}
}

// TestConfigurationUnderFaults guards against revisions that go back, a node
// that serves by an older revision than an accepted one, two operators who both
// win a race, and a deployment that does not recover. Nodes restart and are
// replaced, the network loses and delays messages and parts, the VM list lags,
// and the store is out or loses answers.
func TestConfigurationUnderFaults(t *testing.T) {
	var verdicts [3]atomic.Int64
	var accepted, stored, reverted atomic.Int64
	rapid.Check(t, func(rt *rapid.T) {
		nodes, domains := rapid.IntRange(3, 8).Draw(rt, "nodes"), rapid.IntRange(1, 4).Draw(rt, "domains")
		seed := rapid.Uint64().Draw(rt, "fabric seed")
		inBubble(t, func() {
			m := &machine{
				f: newFabric(seed), next: 100, stopped: make(chan struct{}), failures: make(chan string, 1),
				won: make(map[store.Revision]string), served: make(map[string]store.Revision), inForce: make(map[*process]store.Revision),
				verdicts: make(map[configsync.Verdict]int), outcomes: make(map[configsync.Status]int),
			}
			defer m.f.stop()
			defer m.pending.Wait()
			m.f.deploy(nodes, domains, testDocument(40))
			go m.monitor()
			defer close(m.stopped)
			actions := m.actions()
			rt.Repeat(actions)
			m.recovers(rt)
			actions[""](rt)
			m.mu.Lock()
			defer m.mu.Unlock()
			for v, n := range m.verdicts {
				verdicts[v].Add(int64(n))
			}
			accepted.Add(int64(m.outcomes[configsync.Accepted]))
			stored.Add(int64(m.outcomes[configsync.Stored]))
			reverted.Add(int64(m.reverted))
		})
	})
	t.Logf("samples: %d fresh, %d by majority, %d refusing; changes: %d accepted, %d stored; unaccepted revisions gone after a restart: %d",
		verdicts[configsync.Fresh].Load(), verdicts[configsync.ServingByMajority].Load(), verdicts[configsync.Refusing].Load(),
		accepted.Load(), stored.Load(), reverted.Load())
}

// inBubble runs f in virtual time and passes on its panic, with which rapid
// ends a failed case.
func inBubble(t *testing.T, f func()) {
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		f()
	})
	if failure != nil {
		panic(failure)
	}
}
