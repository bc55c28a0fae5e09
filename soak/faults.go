package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/figweir/figweir/platform/backendsim"
	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/standin/tcpproxy"
)

// fault begins and returns what ends it.
type fault struct {
	name string
	// excuses tells that nodes may know late of leaving servers meanwhile.
	excuses bool
	begin   func(w *World, r *rand.Rand) (end func())
}

var faults = []fault{
	{"kill", true, func(w *World, r *rand.Rand) func() { return w.stopNode(r, syscall.SIGKILL) }},
	{"stop", false, func(w *World, r *rand.Rand) func() { return w.stopNode(r, syscall.SIGTERM) }},
	{"pause", true, pause},
	{"hangup", false, func(w *World, r *rand.Rand) func() { w.anyNode(r).signal(syscall.SIGHUP); return func() {} }},
	{"store away", true, storeAway},
	{"store fails", true, storeFails},
	{"server cut", false, serverCut},
	{"server faults", false, serverFaults},
	{"release", false, release},
	{"configuration", false, func(w *World, _ *rand.Rand) func() { w.writeConfig(); w.writeConfig(); return w.writeConfig }},
	{"key withdrawn", false, withdrawKey},
}

func (w *World) anyNode(r *rand.Rand) *node { return w.nodes[r.IntN(len(w.nodes))] }

// stopNode ends the process of a node; the end of the fault starts it again.
func (w *World) stopNode(r *rand.Rand, s syscall.Signal) func() {
	n := w.anyNode(r)
	n.mu.Lock()
	taken := n.stopped
	n.stopped = true
	ended := n.ended
	n.mu.Unlock()
	if taken {
		return func() {}
	}
	n.signal(syscall.SIGCONT)
	n.signal(s)
	return func() {
		<-ended
		n.mu.Lock()
		n.stopped = false
		n.mu.Unlock()
		if err := n.start(w); err != nil {
			w.ledger.mu.Lock()
			w.ledger.findings = append(w.ledger.findings, "a node did not start: "+err.Error())
			w.ledger.mu.Unlock()
		}
	}
}

func pause(w *World, r *rand.Rand) func() {
	n := w.anyNode(r)
	n.signal(syscall.SIGSTOP)
	return func() { n.signal(syscall.SIGCONT) }
}

func storeAway(w *World, r *rand.Rand) func() {
	n := w.anyNode(r)
	n.storeway.Set(tcpproxy.Mode(1 + r.IntN(int(tcpproxy.Modes)-1)))
	return func() { n.storeway.Set(tcpproxy.Pass) }
}

func storeFails(w *World, r *rand.Rand) func() {
	lose := r.IntN(2) == 0
	share := r.Float64()
	w.store.SetFault(func(memstore.Op, string) memstore.Fault {
		if rand.Float64() > share {
			return memstore.Fault{}
		}
		return memstore.Fault{Refuse: !lose, LoseAnswer: lose}
	})
	return func() { w.store.SetFault(nil) }
}

func (w *World) anyBackend(r *rand.Rand) *backend {
	all := append(append([]*backend{}, w.plain...), w.engine...)
	return all[r.IntN(len(all))]
}

func serverCut(w *World, r *rand.Rand) func() {
	b := w.anyBackend(r)
	b.proxy.Set(tcpproxy.Mode(1 + r.IntN(int(tcpproxy.Modes)-1)))
	return func() { b.proxy.Set(tcpproxy.Pass) }
}

func serverFaults(w *World, r *rand.Rand) func() {
	b := w.anyBackend(r)
	share := func() float64 { return r.Float64() * r.Float64() / 2 }
	b.sim.SetFaults(backendsim.Faults{
		Errors: share(), Resets: share(), Cuts: share(), Extras: share(), Refusals: share(), Hangs: share() / 4,
	})
	return func() { b.sim.SetFaults(backendsim.Faults{}) }
}

// release replaces a backend server: the new one comes first, the old one drains.
func release(w *World, r *rand.Rand) func() {
	b := w.anyBackend(r)
	if b.draining.Swap(true) {
		return func() {}
	}
	w.add(b.service, fmt.Sprintf("%s.%d", b.id, w.spare.Add(1)), b.role)
	return func() {}
}

// withdrawKey removes a key for a while.
func withdrawKey(w *World, _ *rand.Rand) func() {
	w.keyB.Store(false)
	w.writeConfig()
	return func() { w.keyB.Store(true); w.writeConfig() }
}

// Run lets clients work under faults and judges the run. The last part has no
// faults, and requests have to be served again.
func (w *World) Run() Result {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	time.Sleep(settle)
	for i := range w.Clients {
		clients.Go(func() { w.client(ctx, i) })
	}
	end := time.Now().Add(w.Time)
	var active sync.WaitGroup
	for time.Now().Before(end) {
		f := faults[w.random.IntN(len(faults))]
		length := time.Duration(200+w.random.IntN(2500)) * time.Millisecond
		r := rand.New(rand.NewPCG(w.Seed, w.random.Uint64()))
		excused := func() {}
		if f.excuses {
			excused = w.ledger.excuse()
		}
		stop := f.begin(w, r)
		active.Go(func() {
			time.Sleep(length)
			stop()
			excused()
		})
		time.Sleep(time.Duration(w.random.IntN(1200)) * time.Millisecond)
	}
	active.Wait()
	for _, n := range w.nodes {
		n.signal(syscall.SIGCONT)
		n.storeway.Set(tcpproxy.Pass)
	}
	w.store.SetFault(nil)
	w.silence()
	time.Sleep(recovery)
	recovered := time.Now()
	release(w, w.random)
	late := w.withdrawn()
	time.Sleep(calmEnd)
	cancel()
	clients.Wait()
	result := w.ledger.Judge()
	result.Findings = append(result.Findings, late...)
	result.Findings = append(result.Findings, w.ledger.recovered(recovered)...)
	return result
}

const (
	// applySlack is the time after which a configuration must be in force: the
	// bound of the settings, 2 s, and what a request may take on its way here.
	applySlack = 2500 * time.Millisecond
	// settle is the time that the nodes have before the first fault.
	settle = 2 * time.Second
	// calmEnd is the time without faults at the end, in which requests have to be
	// served and a leaving server must get none after drainSlack.
	calmEnd = drainSlack + 2*time.Second
	// recovery is the time that the nodes have after the last fault.
	recovery = 6 * time.Second
)

// silence lets the store fall silent for all nodes shortly after a version, when they
// have sent their next watches or are about to.
func (w *World) silence() {
	excused := w.ledger.excuse()
	w.writeConfig()
	time.Sleep(time.Duration(w.random.IntN(200)) * time.Millisecond)
	for _, n := range w.nodes {
		n.storeway.Set(tcpproxy.Silent)
	}
	time.Sleep(time.Duration(50+w.random.IntN(2500)) * time.Millisecond)
	for _, n := range w.nodes {
		n.storeway.Set(tcpproxy.Pass)
	}
	excused()
}

// withdrawn withdraws a key and checks that no node accepts it after applySlack.
func (w *World) withdrawn() (findings []string) {
	w.keyB.Store(false)
	w.writeConfig()
	time.Sleep(applySlack)
	for _, n := range w.nodes {
		status, err := w.askOnce(n, "key-b")
		if err == nil && status != http.StatusUnauthorized {
			findings = append(findings, fmt.Sprintf("node %d answers %d to a key that was withdrawn %v before", n.index, status, applySlack))
		}
	}
	return findings
}

// recovered checks that most requests of the calm end were answered whole.
func (l *Ledger) recovered(from time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	asked, whole := 0, 0
	for _, a := range l.asked {
		if a.sent.After(from) {
			asked++
			if a.whole {
				whole++
			}
		}
	}
	if asked == 0 || 4*whole < 3*asked {
		return []string{fmt.Sprintf("after the last fault %d of %d requests were served", whole, asked)}
	}
	return nil
}
