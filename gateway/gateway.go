// Package gateway wires a node on the users' platform: the core between its two
// ends, what it follows in the store, and its duties.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/authority"
	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/boottime"
	"github.com/figweir/figweir/burn"
	"github.com/figweir/figweir/core"
	"github.com/figweir/figweir/discovery"
	"github.com/figweir/figweir/loadshare"
	"github.com/figweir/figweir/logging"
	"github.com/figweir/figweir/metering"
	"github.com/figweir/figweir/peer"
	"github.com/figweir/figweir/platform"
	"github.com/figweir/figweir/upstream"
)

const (
	// storeTimeout bounds one call to the store; a slow store takes some
	// hundred milliseconds.
	storeTimeout = 1500 * time.Millisecond
	// cloudTimeout bounds one call to the platform's other interfaces.
	cloudTimeout = 2 * time.Second
	// sweepEvery is the time between two rounds of closing idle connections.
	sweepEvery = time.Second
	// serveAfterStop is how long a stopping node still takes connections: the
	// balancer notices a node that is not ready after two questions, a second
	// apart.
	serveAfterStop = 3 * time.Second
	// stopMargin is how much earlier than the end by force the node ends.
	stopMargin = 400 * time.Millisecond
	// budgetShare keeps the retries of all nodes below the shared budget while
	// nodes come and go.
	budgetShare = 0.8
	// memoryShare is the part of the machine's memory that the Go heap may use.
	memoryShare = 0.6
	// answersShare is the part of the machine's memory for answers of backend
	// servers that are being read.
	answersShare = 0.125
)

// Gateway is one node.
type Gateway struct {
	// file is that of the settings.
	file     string
	settings platform.Settings
	log      logr.Logger
	level    *logging.Level
	out      *logging.Async
	table    atomic.Pointer[core.Table]
	registry *backends.Registry
	pool     *upstream.Pool
	store    *platform.Store
	// live is store with watches that end when it falls silent.
	live     *discovery.LiveStore
	servers  *discovery.Servers
	config   *discovery.Config
	nodes    *discovery.Nodes
	front    *platform.Front
	observer *observer
	truth    *boottime.TrueTime
	relay    *discovery.Relay
	holder   *discovery.Holder
	loads    *loads
	balancer *backends.Balancer
	sharer   *loadshare.Sharer
	lease    *authority.Lease
	duty     *authority.Duty
	reporter *metering.Reporter
	counter  *metering.Counter
	heard    *metering.Heard
	// incarnation names this run of the node among the others; it is not 0.
	incarnation uint64
	usageSentAt time.Time
	// partsSent are the parts of which a keeper was told work last.
	partsSent map[int]bool
	// peersPort is the port of the peers' listener, equal on all nodes; empty if
	// there is none.
	peersPort string
	staffer   *staffer
	ready     atomic.Bool
	stopping  atomic.Bool
}

// New returns a node with the settings that were read from a file. The file is
// read again on SIGHUP.
func New(file string, s platform.Settings, out *logging.Async) *Gateway {
	level := &logging.Level{}
	level.SetVerbose(s.Log.Verbose)
	log, important := logging.NewPair(out, level)
	log, important = log.WithValues("node", s.Name), important.WithValues("node", s.Name)
	g := &Gateway{file: file, settings: s, log: log, level: level, out: out, registry: backends.NewRegistry(), truth: boottime.NewTrueTime()}
	g.pool = upstream.NewPool(upstream.DefaultOptions)
	g.store = platform.NewStore(s.Store.Address, storeTimeout)
	g.servers = discovery.NewServers(g.registry, platform.ServersPrefix, platform.DecodeServer, g.registrationPause, s.Drain(), log)
	g.config = discovery.NewConfig(&g.table, platform.ConfigKey, platform.DecodeConfig, s.Apply(), log)
	g.nodes = discovery.NewNodes(discovery.Node{Name: s.Name, FailureDomain: s.FailureDomain, Peers: s.Listen.Peers, Load: g.loadAddress(), CPU: s.Limits.CPUShare}, log)
	g.live = discovery.NewLiveStore(g.store, g.nodes.Lease, min(s.Apply(), s.Drain()))
	g.loads = newLoads()
	g.incarnation = rand.Uint64() | 1
	g.sharer = loadshare.NewSharer(g.incarnation, g.ownWork, g.recipients, log)
	g.sharer.OnUpdate = g.noteUpdate
	g.observer = newObserver(log, important, s.Log.LinesPerSecond)
	g.observer.gauges = g.gauges
	g.observer.burn = &burnReport{
		recorder: burn.NewRecorder(maxBurnSeries), targetRatio: s.Objectives.TargetRatio,
		addresses: g.nodes.PeerAddresses, client: peer.NewHTTPClient(), log: log,
	}
	_, g.peersPort, _ = net.SplitHostPort(s.Listen.Peers)
	client := peer.NewStateClient(peer.NewHTTPClient(), peer.NewAuth(""))
	g.holder = discovery.NewHolder(authority.DutyPrefix+dutyName, decodeHolder, log)
	g.relay = discovery.NewRelay(g.config, g.servers, client, g.peerAddresses, log)
	windows := metering.Windows{Length: s.UsageWindow()}
	counter := metering.NewCounter(windows, g.truth)
	g.counter, g.heard = counter, metering.NewHeard()
	g.front = &platform.Front{Tables: &g.table, OnReject: g.observer.rejected}
	g.balancer = backends.NewBalancer(g.registry, s.FailureDomain, g.loads, g.cell, g.sharer.Changed)
	backend := &platform.Backend{
		Pool: g.pool, Answers: platform.NewAnswerBytes(answersMemory(s.Limits.MemoryMB)), OnFreeFailed: g.observer.freeFailed,
	}
	g.front.Core = &core.Core{
		Tables:   &g.table,
		Chooser:  g.balancer,
		Budget:   g.newBudget(),
		Upstream: backend,
		Meter:    counter,
		Observer: g.observer,
	}
	g.newDuties(counter, windows, backend)
	return g
}

const (
	// drainShare is the part of the time in which a leaving backend server must
	// get no more requests that registrations may wait to be read together.
	drainShare = 0.15
	// largeDrainShare is the same on deployments with several cells: each change
	// is a call of every node there, and the calls of all are many.
	largeDrainShare = 0.35
)

// registrationPause returns how long the changes of registrations that follow one
// another are collected. The first after a while is read at once.
func (g *Gateway) registrationPause() time.Duration {
	share := drainShare
	if g.cell().Count > 1 {
		share = largeDrainShare
	}
	return time.Duration(share * float64(g.settings.Drain()))
}

func (g *Gateway) newDuties(counter *metering.Counter, windows metering.Windows, backend *platform.Backend) {
	process := authority.NewProcess(g.settings.IPAddress)
	g.lease = authority.NewLease(g.store, process, boottime.Clock{}, authority.LeaseOptions{
		LeaseTime: g.settings.Lease(), Margin: g.settings.Lease() / 6,
		RenewEvery: g.settings.Lease() / 3, StoreTimeout: g.settings.Lease() / 4,
	})
	g.duty = g.lease.Duty(dutyName, g.dutyCandidate)
	cloud := platform.NewCloud(g.settings.Cloud.Address, g.settings.Name, cloudTimeout)
	g.staffer = newStaffer(g, cloud, backend)
	g.reporter = &metering.Reporter{
		Counter: counter, Windows: windows, Clock: g.truth, Store: g.store, Duty: g.duty, Sender: cloud,
		Incarnation: incarnationName(g.incarnation), Heard: g.heard,
		Delay:  time.Duration(g.settings.Bounds.UsageDelaySeconds * float64(time.Second)),
		Fenced: func(err error) bool { return errors.Is(err, platform.ErrFenced) },
		Log:    g.log,
	}
}

// peerAddresses returns the other nodes, and the seeds while none is known.
func (g *Gateway) peerAddresses() []string {
	if list := g.nodes.PeerAddresses(); len(list) > 0 {
		return list
	}
	var list []string
	for _, seed := range g.settings.Seeds {
		if seed != g.settings.Listen.Peers {
			list = append(list, seed)
		}
	}
	return list
}

// loadAddress is the address for datagrams: the second port of the range.
func (g *Gateway) loadAddress() string {
	return fmt.Sprintf("%s:%d", g.settings.IPAddress, g.settings.Ports[0]+1)
}

// incarnationName is the name of an incarnation in the store.
func incarnationName(incarnation uint64) string { return fmt.Sprintf("%016x", incarnation) }

// dutyName is the one duty: whoever holds it reports usage and orders servers.
const dutyName = "platform"

// dutyCandidates is how many nodes try to take the duty while it is free.
const dutyCandidates = 2

func (g *Gateway) dutyCandidate() bool {
	holder, known := g.holder.Address()
	return g.settings.Cloud.Address != "" && g.ready.Load() && !g.stopping.Load() && known && holder == "" && g.nodes.Rank() < dutyCandidates
}

// decodeHolder returns the address of the process in the record of a duty.
func decodeHolder(raw []byte) (string, error) {
	process, err := authority.Holder(raw)
	return process.Address, err
}

// Run serves until SIGTERM, then stops as planned.
func (g *Gateway) Run(ctx context.Context) error {
	limitMemory(g.settings.Limits.MemoryMB)
	callers, err := listen(g.settings.Listen.Callers)
	if err != nil {
		return err
	}
	readiness, err := listen(g.settings.Listen.Readiness)
	if err != nil {
		return err
	}
	peers, err := listen(g.settings.Listen.Peers)
	if err != nil {
		return err
	}
	admin, err := listen(fmt.Sprintf("%s:%d", g.settings.IPAddress, g.settings.Ports[0]))
	if err != nil {
		return err
	}
	datagrams, err := net.ListenPacket("udp4", g.loadAddress())
	if err != nil {
		return err
	}
	stop, cancelStop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancelStop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	g.log.Info("start", "failure_domain", g.settings.FailureDomain, "store", g.settings.Store.Address)

	background, cancelBackground := context.WithCancel(context.WithoutCancel(ctx))
	duties, cancelDuties := context.WithCancel(background)
	var dutyGroup, group sync.WaitGroup
	g.follow(background, &group)
	dutyGroup.Go(func() { g.lease.Run(duties) })
	if g.settings.Cloud.Has(platform.DutyUsage) {
		dutyGroup.Go(func() { g.reporter.Run(duties) })
	}
	if g.settings.Cloud.Has(platform.DutyOrders) {
		dutyGroup.Go(func() { g.staffer.run(duties) })
	}
	dutyGroup.Go(func() { g.nodes.Announce(duties, g.store) })
	group.Go(func() { g.sweep(background) })
	group.Go(func() { g.sharer.Run(background, datagrams) })
	group.Go(func() { g.keep(background, datagrams) })
	go g.sharer.Receive(datagrams)
	group.Go(func() { g.reload(background, hangup) })

	wrapped := platform.NewListener(callers, &g.table)
	callerServer := &http.Server{
		Handler: g.callerRoutes(), ConnContext: platform.KeepConnection, ConnState: platform.NoteState,
		ReadHeaderTimeout: callerHeaderTimeout, MaxHeaderBytes: callerMaxHeaderBytes,
	}
	readyServer := &http.Server{Handler: g.readyRoutes(), ReadHeaderTimeout: callerHeaderTimeout}
	adminServer := &http.Server{Handler: g.adminRoutes(), ReadHeaderTimeout: callerHeaderTimeout}
	go g.serve(callerServer, wrapped)
	go g.serve(readyServer, readiness)
	peerServer := &http.Server{Handler: g.peerRoutes(), ReadHeaderTimeout: callerHeaderTimeout, Protocols: peer.Protocols()}
	go g.serve(adminServer, admin)
	go g.serve(peerServer, peers)

	<-stop.Done()
	g.log.Info("stop requested", "in_flight", g.front.InFlight.Load(), "connections", wrapped.Connections())
	g.stop(wrapped)
	cancelDuties()
	dutyGroup.Wait()
	cancelBackground()
	group.Wait()
	_ = callerServer.Close()
	_ = readyServer.Close()
	_ = adminServer.Close()
	_ = peerServer.Close()
	_ = datagrams.Close()
	g.log.Info("stop", "in_flight", g.front.InFlight.Load())
	return nil
}

const (
	// callerHeaderTimeout bounds the time of a request's head.
	callerHeaderTimeout = 5 * time.Second
	// callerMaxHeaderBytes is the most that is read of a head; the limit of the
	// configuration is checked after that.
	callerMaxHeaderBytes = 64 << 10
)

// stop serves on until the balancer has taken the node out, then refuses new
// requests, which could be cut by the end of the grace period, and waits for the
// open ones.
func (g *Gateway) stop(l *platform.Listener) {
	deadline := time.Now().Add(g.settings.Grace() - stopMargin)
	g.stopping.Store(true)
	g.front.Stopping.Store(true)
	time.Sleep(serveAfterStop)
	g.front.Closing.Store(true)
	_ = l.Listener.Close()
	for time.Now().Before(deadline) {
		l.CloseIdle(idleAfterStop)
		if g.front.InFlight.Load() == 0 && l.Connections() == 0 {
			return
		}
		time.Sleep(stopPoll)
	}
}

const (
	// idleAfterStop is how long a connection must have been idle before a
	// stopping node closes it.
	idleAfterStop = 300 * time.Millisecond
	// stopPoll is the time between two looks at the open connections.
	stopPoll = 50 * time.Millisecond
)

func (g *Gateway) follow(ctx context.Context, group *sync.WaitGroup) {
	onRead := func() { g.updateReady() }
	group.Go(func() { g.live.Run(ctx) })
	group.Go(func() { g.config.Run(ctx, g.live, onRead) })
	group.Go(func() { g.servers.Run(ctx, g.live, onRead) })
	group.Go(func() { g.nodes.Follow(ctx, g.live, onRead) })
	group.Go(func() { g.holder.Run(ctx, g.live, onRead) })
	group.Go(func() { g.relay.Run(ctx) })
}

func (g *Gateway) updateReady() {
	if g.ready.Load() || g.config.Version() == 0 || !g.servers.Known() {
		return
	}
	if !g.ready.Swap(true) {
		g.log.Info("ready", "config_version", g.table.Load().Version, "backend_servers", len(g.registry.View().All()))
	}
}

func (g *Gateway) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.updateReady()
			g.loads.nodes.Expire(time.Now())
			g.pool.Sweep()
			g.store.Sweep()
		}
	}
}

// reload reads the settings again on SIGHUP. Only what is logged changes: addresses
// and bounds are those of the start.
func (g *Gateway) reload(ctx context.Context, hangup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			g.reloadSettings()
		}
	}
}

func (g *Gateway) reloadSettings() {
	s, err := platform.LoadSettings(g.file)
	if err != nil {
		g.log.Info("reload failed, settings unchanged", "cause", err.Error())
		return
	}
	g.level.SetVerbose(s.Log.Verbose)
	g.observer.setRate(s.Log.LinesPerSecond)
	g.log.Info("reload", "verbose", s.Log.Verbose, "lines_per_s", s.Log.LinesPerSecond)
}

func (g *Gateway) serve(s *http.Server, l net.Listener) {
	err := s.Serve(l)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		g.log.Error(err, "listener ended", "address", l.Addr().String())
	}
}
