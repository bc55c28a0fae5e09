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

// fault is one kind of fault that a run injects.
type fault struct {
	name string
	// delaysNotices is true if leaving notices may reach nodes late during
	// the fault.
	delaysNotices bool
	begin         func(d *Deployment, r *rand.Rand) (end func())
}

// faults are the kinds of fault among which a run chooses at random.
var faults = []fault{
	{"kill", true, func(d *Deployment, r *rand.Rand) func() { return d.stopNode(r, syscall.SIGKILL) }},
	{"stop", false, func(d *Deployment, r *rand.Rand) func() { return d.stopNode(r, syscall.SIGTERM) }},
	{"pause", true, pauseNode},
	{"hangup", false, func(d *Deployment, r *rand.Rand) func() { d.randomNode(r).signal(syscall.SIGHUP); return func() {} }},
	{"store connection", true, disturbStoreConnection},
	{"store failures", true, failStoreOperations},
	{"store restored", true, restoreStore},
	{"server connection", false, disturbServerConnection},
	{"server faults", false, injectServerFaults},
	{"silent engine", false, silenceEngine},
	{"false refusals", false, refuseFalsely},
	{"release", false, replaceServer},
	{"notice", false, stateNotice},
	{"crashing part", false, crashOnPart},
	{"configuration", false, func(d *Deployment, _ *rand.Rand) func() { d.writeConfig(); d.writeConfig(); return d.writeConfig }},
	{"key withdrawn", false, withdrawKey},
}

func (d *Deployment) randomNode(r *rand.Rand) *node { return d.nodes[r.IntN(len(d.nodes))] }

// stopNode sends a signal that terminates the process of a random node. The end
// of the fault starts the process again.
func (d *Deployment) stopNode(r *rand.Rand, s syscall.Signal) func() {
	n := d.randomNode(r)
	n.mu.Lock()
	alreadyStopped := n.stopped
	n.stopped = true
	exited := n.exited
	n.mu.Unlock()
	if alreadyStopped {
		return func() {}
	}
	n.signal(syscall.SIGCONT)
	n.signal(s)
	return func() {
		<-exited
		n.mu.Lock()
		n.stopped = false
		n.mu.Unlock()
		if err := n.start(d); err != nil {
			d.recorder.addFinding("a node did not start: " + err.Error())
		}
	}
}

// pauseNode suspends the process of a random node with SIGSTOP until the end of the
// fault. Some callers send requests to it meanwhile and leave.
func pauseNode(d *Deployment, r *rand.Rand) func() {
	n := d.randomNode(r)
	n.signal(syscall.SIGSTOP)
	d.leaveSuspended(n)
	return func() { n.signal(syscall.SIGCONT) }
}

// disturbStoreConnection sets a random fault mode on the proxy between a random node
// and the store.
func disturbStoreConnection(d *Deployment, r *rand.Rand) func() {
	n := d.randomNode(r)
	n.storeProxy.SetMode(tcpproxy.Mode(1 + r.IntN(int(tcpproxy.ModeCount)-1)))
	return func() { n.storeProxy.SetMode(tcpproxy.Forward) }
}

// failStoreOperations makes a random ratio of all store operations fail: they are
// either refused, or applied with their response lost.
func failStoreOperations(d *Deployment, r *rand.Rand) func() {
	loseResponses := r.IntN(2) == 0
	ratio := r.Float64()
	d.store.SetFault(func(memstore.Op, string) memstore.Fault {
		if rand.Float64() > ratio {
			return memstore.Fault{}
		}
		return memstore.Fault{Refuse: !loseResponses, LoseAnswer: loseResponses}
	})
	return func() { d.store.SetFault(nil) }
}

// restoreStore copies the store. At the end of the fault the store is away for a moment and comes back
// as that copy; the operator then writes its configuration again, as the backend servers do.
func restoreStore(d *Deployment, r *rand.Rand) func() {
	earlier := d.store.Copy()
	away := time.Duration(r.IntN(int(maxRestoreTime)))
	return func() {
		d.store.SetFault(func(memstore.Op, string) memstore.Fault { return memstore.Fault{Refuse: true} })
		time.Sleep(away)
		d.store.Restore(earlier)
		d.store.SetFault(nil)
		d.writeConfig()
	}
}

// maxRestoreTime is the longest time for which a store that is restored is away.
const maxRestoreTime = time.Second

func (d *Deployment) randomBackend(r *rand.Rand) *backend {
	all := append(append([]*backend{}, d.plainServers...), d.engines...)
	return all[r.IntN(len(all))]
}

// disturbServerConnection sets a random fault mode on the proxy of a random backend
// server.
func disturbServerConnection(d *Deployment, r *rand.Rand) func() {
	b := d.randomBackend(r)
	b.disturbed.Store(true)
	b.proxy.SetMode(tcpproxy.Mode(1 + r.IntN(int(tcpproxy.ModeCount)-1)))
	return func() { b.proxy.SetMode(tcpproxy.Forward) }
}

// injectServerFaults sets random fault ratios on a random backend server.
func injectServerFaults(d *Deployment, r *rand.Rand) func() {
	b := d.randomBackend(r)
	randomRatio := func() float64 { return r.Float64() * r.Float64() / 2 }
	b.sim.SetFaults(backendsim.Faults{
		Errors: randomRatio(), Resets: randomRatio(), Cuts: randomRatio(), Extras: randomRatio(), Refusals: randomRatio(), Hangs: randomRatio() / 4,
	})
	return func() { b.sim.SetFaults(backendsim.Faults{}) }
}

// silenceEngine makes the streams of a random engine fall silent. The engine goes on accepting
// requests, as one whose process hangs does.
func silenceEngine(d *Deployment, r *rand.Rand) func() {
	b := d.engines[r.IntN(len(d.engines))]
	b.sim.SetFaults(backendsim.Faults{Stalls: 1})
	return func() { b.sim.SetFaults(backendsim.Faults{}) }
}

// refuseFalsely makes all backend servers of a service refuse requests that they have run, repeat
// refusals, and go on with streams that broke off.
func refuseFalsely(d *Deployment, r *rand.Rand) func() {
	servers := d.plainServers
	if r.IntN(2) == 0 {
		servers = d.engines
	}
	f := backendsim.Faults{OwnRefusals: r.Float64() / 5, Repeats: r.Float64() / 5, WriteOnly: r.Float64() / 2}
	for _, b := range servers {
		b.sim.SetFaults(f)
	}
	return func() {
		for _, b := range servers {
			b.sim.SetFaults(backendsim.Faults{})
		}
	}
}

// replaceServer starts to drain a random backend server and adds a new one of
// the same service and role.
func replaceServer(d *Deployment, r *rand.Rand) func() {
	b := d.randomBackend(r)
	if b.draining.Swap(true) {
		return func() {}
	}
	d.addBackend(b.service, fmt.Sprintf("%s.%d", b.id, d.replacements.Add(1)), b.role)
	return func() {}
}

// crashOnPart makes all engines crash on requests with a new prompt part, which some clients
// send until the end of the fault. Only one such part exists at a time.
func crashOnPart(d *Deployment, r *rand.Rand) func() {
	part := fmt.Sprintf("crash%x", r.Uint32())
	none := d.crashPart.Load()
	if *none != "" || !d.crashPart.CompareAndSwap(none, &part) {
		return func() {}
	}
	d.recorder.beginCrashingPart()
	setAll := func(part string) {
		for _, b := range d.engines {
			b.sim.SetCrashPart(part)
		}
	}
	setAll(part)
	return func() {
		d.crashPart.Store(new(string))
	}
}

// withdrawKey withdraws the key of workspace b until the end of the fault.
func withdrawKey(d *Deployment, _ *rand.Rand) func() {
	d.keyBValid.Store(false)
	d.writeConfig()
	return func() { d.keyBValid.Store(true); d.writeConfig() }
}

// Run sends requests while it injects faults, and checks the results. The last
// part of the run has no faults; requests must then be served again.
func (d *Deployment) Run() Result {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	time.Sleep(startupTime)
	for i := range d.Clients {
		clients.Go(func() { d.runClient(ctx, i) })
	}
	end := time.Now().Add(d.Time)
	var activeFaults sync.WaitGroup
	for time.Now().Before(end) {
		f := faults[d.rng.IntN(len(faults))]
		length := time.Duration(200+d.rng.IntN(2500)) * time.Millisecond
		r := rand.New(rand.NewPCG(d.Seed, d.rng.Uint64()))
		resumeDrainCheck := func() {}
		if f.delaysNotices {
			resumeDrainCheck = d.recorder.suspendDrainCheck()
		}
		endFault := f.begin(d, r)
		activeFaults.Go(func() {
			time.Sleep(length)
			endFault()
			resumeDrainCheck()
		})
		time.Sleep(time.Duration(d.rng.IntN(1200)) * time.Millisecond)
	}
	activeFaults.Wait()
	for _, n := range d.nodes {
		n.signal(syscall.SIGCONT)
		n.storeProxy.SetMode(tcpproxy.Forward)
	}
	d.store.SetFault(nil)
	d.blackholeStore()
	time.Sleep(recoveryTime)
	recoveredAt := time.Now()
	replaceServer(d, d.rng)
	withdrawalFindings := d.checkWithdrawnKey()
	time.Sleep(faultFreeTime)
	cancel()
	clients.Wait()
	result := d.recorder.Check()
	result.Findings = append(result.Findings, withdrawalFindings...)
	result.Findings = append(result.Findings, d.recorder.checkRecovery(recoveredAt)...)
	return result
}

const (
	// maxConfigDelay is the time after which a configuration must be in force on
	// all nodes: 2 s, the bound of the settings, plus 0.5 s for a request on its
	// way.
	maxConfigDelay = 2500 * time.Millisecond
	// startupTime is the time between the start of the nodes and the first request.
	startupTime = 2 * time.Second
	// faultFreeTime is the last part of the run. Requests must be served, and a
	// draining server must not receive any after maxDrainDelay.
	faultFreeTime = maxDrainDelay + 2*time.Second
	// recoveryTime is the time in which nodes must recover from the last fault.
	recoveryTime = 6 * time.Second
)

// blackholeStore discards the traffic between all nodes and the store for a short
// time. It begins shortly after a new configuration version, when the nodes have
// sent their next watch requests or are about to.
func (d *Deployment) blackholeStore() {
	resumeDrainCheck := d.recorder.suspendDrainCheck()
	d.writeConfig()
	time.Sleep(time.Duration(d.rng.IntN(200)) * time.Millisecond)
	for _, n := range d.nodes {
		n.storeProxy.SetMode(tcpproxy.Blackhole)
	}
	time.Sleep(time.Duration(50+d.rng.IntN(2500)) * time.Millisecond)
	for _, n := range d.nodes {
		n.storeProxy.SetMode(tcpproxy.Forward)
	}
	resumeDrainCheck()
}

// checkWithdrawnKey withdraws a key and checks that no node accepts it after
// maxConfigDelay.
func (d *Deployment) checkWithdrawnKey() (findings []string) {
	d.keyBValid.Store(false)
	d.writeConfig()
	time.Sleep(maxConfigDelay)
	for _, n := range d.nodes {
		status, err := d.sendSingle(n, "key-b")
		if err == nil && status != http.StatusUnauthorized {
			findings = append(findings, fmt.Sprintf("node %d answered %d to a key that was withdrawn %v earlier", n.index, status, maxConfigDelay))
		}
	}
	return findings
}

// checkRecovery checks that at least 3 of 4 requests sent after the given time
// got a complete response.
func (rec *Recorder) checkRecovery(from time.Time) []string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	sent, complete := 0, 0
	for _, req := range rec.requests {
		if req.sentAt.After(from) {
			sent++
			if req.complete {
				complete++
			}
		}
	}
	if sent == 0 || 4*complete < 3*sent {
		return []string{fmt.Sprintf("after the last fault %d of %d requests were served", complete, sent)}
	}
	return nil
}
