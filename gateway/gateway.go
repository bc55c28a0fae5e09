// Package gateway assembles a node on the users' platform from the core, the
// adapters for callers and backend servers, the followers of the store, and the
// duties.
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
	"runtime/debug"
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
	"github.com/figweir/figweir/inbound"
	"github.com/figweir/figweir/loadshare"
	"github.com/figweir/figweir/logging"
	"github.com/figweir/figweir/membudget"
	"github.com/figweir/figweir/metering"
	"github.com/figweir/figweir/peer"
	"github.com/figweir/figweir/platform"
	"github.com/figweir/figweir/store"
	"github.com/figweir/figweir/upstream"
)

const (
	// storeTimeout is the timeout of one call to the store. A slow store takes a
	// few hundred milliseconds.
	storeTimeout = 1500 * time.Millisecond
	// cloudTimeout is the timeout of one call to the platform's other interfaces.
	cloudTimeout = 2 * time.Second
	// sweepInterval is the time between two sweeps of idle connections.
	sweepInterval = time.Second
	// acceptAfterStop is how long a stopping node still accepts connections: the
	// load balancer stops using a node after two failed readiness probes, one
	// second apart.
	acceptAfterStop = 3 * time.Second
	// maxAcceptFraction limits acceptAfterStop to a fraction of the grace period, so that the
	// requests taken last have time to end.
	maxAcceptFraction = 0.5
	// stopMargin is how long before the end of the grace period the node ends the requests
	// that still run.
	stopMargin = 400 * time.Millisecond
	// stopAnswerTime is how long their answers may take.
	stopAnswerTime = 200 * time.Millisecond
	// retryBudgetFraction keeps the retries of all nodes below the shared budget
	// while nodes join and leave.
	retryBudgetFraction = 0.8
)

// Gateway is one node with all its components.
type Gateway struct {
	// settingsFile is the path of the settings file.
	settingsFile string
	settings     platform.Settings
	log          logr.Logger
	level        *logging.Level
	logWriter    *logging.AsyncWriter
	table        atomic.Pointer[core.Table]
	registry     *backends.Registry
	pool         *upstream.Pool
	// pauses recognizes suspensions of the process.
	pauses *boottime.PauseDetector
	store  *platform.Store
	// heartbeatStore wraps store and ends watches when the store stops answering.
	heartbeatStore *discovery.HeartbeatStore
	// reads is what the followers read: mirrors of other nodes, or heartbeatStore.
	reads          *discovery.SharedReads
	servers        *discovery.Servers
	config         *discovery.Config
	nodes          *discovery.Nodes
	callerHandler  *platform.CallerHandler
	observer       *observer
	trueTime       *boottime.TrueTime
	relay          *discovery.Relay
	dutyHolder     *discovery.Holder
	peerLoads      *peerLoads
	balancer       *backends.Balancer
	sharer         *loadshare.Sharer
	lease          *authority.Lease
	duty           *authority.Duty
	reporter       *metering.Reporter
	counter        *metering.Counter
	receivedCounts *metering.ReceivedCounts
	// seals holds the sealed usage figures that this node knows.
	seals        *metering.Seals
	usageWindows metering.Windows
	// incarnations holds the incarnation of the last update from each address. Only the
	// goroutine that receives updates uses it.
	incarnations map[string]uint64
	// incarnation identifies this run of the node among all nodes. It is not 0.
	incarnation uint64
	usageSentAt time.Time
	// statementsSentAt is when the last update was made. The next one has the speeds that
	// servers have stated since.
	statementsSentAt time.Time
	// reportedParts holds the parts of the prefill engines (see backends.Cell) on which
	// the last messages to aggregators reported load.
	reportedParts map[int]bool
	// peersPort is the port of the peer RPC listener, the same on all nodes; empty
	// if there is none.
	peersPort  string
	autoscaler *autoscaler
	// roleChanges holds the role changes that this node has ordered.
	roleChanges *roleChanges
	// quarantine blocks requests whose prompt parts crash backend servers.
	quarantine *quarantineSharing
	// limits keeps requests within the rate limits of backend servers.
	limits *rateLimits
	// quotas keeps requests within the quotas of workspaces.
	quotas *quotas
	// inbound limits the memory and the connections for what clients send on all listeners.
	inbound *membudget.Inbound
	// backend sends requests to backend servers.
	backend  *platform.Backend
	ready    atomic.Bool
	stopping atomic.Bool
}

// New returns a node with the settings s that were read from file. The file is read
// again on SIGHUP. Log lines are written to out.
func New(file string, s platform.Settings, out *logging.AsyncWriter) *Gateway {
	level := &logging.Level{}
	level.SetVerbose(s.Log.Verbose)
	log, failureLog := logging.NewLoggers(out, level)
	log, failureLog = log.WithValues("node", s.Name), failureLog.WithValues("node", s.Name)
	g := &Gateway{settingsFile: file, settings: s, log: log, level: level, logWriter: out, registry: backends.NewRegistry(), trueTime: boottime.NewTrueTime()}
	g.pool, g.pauses = upstream.NewPool(upstream.DefaultOptions), boottime.NewPauseDetector()
	g.pool.SetPauses(g.pauses)
	g.store = platform.NewStore(s.Store.Address, storeTimeout)
	g.store.Eras.OnChange(func(era store.Era) { g.log.Info("era of the store", "era", uint64(era)) })
	g.servers = discovery.NewServers(g.registry, platform.ServersPrefix, platform.DecodeServer, g.registrationBatchDelay, s.DrainBound(), log)
	g.config = discovery.NewConfig(&g.table, platform.ConfigKey, platform.DecodeConfig, s.ConfigBound(), log)
	g.nodes = discovery.NewNodes(discovery.Node{Name: s.Name, FailureDomain: s.FailureDomain, RPCAddress: s.Listen.Peers, LoadAddress: g.loadAddress(), CPU: s.Limits.CPUShare}, log)
	g.setUpReads(log)
	g.peerLoads = newPeerLoads()
	g.incarnation = rand.Uint64() | 1
	g.roleChanges = newRoleChanges(rand.Uint64() | 1)
	g.sharer = loadshare.NewSharer(g.incarnation, g.localLoad, g.loadMessages, log)
	g.sharer.OnUpdate = g.handleLoadUpdate
	g.observer = newObserver(log, failureLog, s.Log.LinesPerSecond)
	g.observer.gauges = g.gauges
	g.setUpQuarantine()
	g.setUpRateLimits(rand.Uint64() | 1)
	g.setUpQuotas(rand.Uint64() | 1)
	g.observer.burn = &burnMonitor{
		recorder: burn.NewRecorder(maxBurnSeries), targetRatio: s.Objectives.TargetRatio,
		peerAddresses: g.nodes.PeerAddresses, client: peer.NewHTTPClient(), log: log,
	}
	_, g.peersPort, _ = net.SplitHostPort(s.Listen.Peers)
	client := peer.NewStateClient(peer.NewHTTPClient(), peer.NewAuth(""))
	g.dutyHolder = discovery.NewHolder(authority.DutyPrefix+dutyName, decodeHolder, log)
	g.relay = discovery.NewRelay(g.config, g.servers, g.quarantine.tracker, client, g.peerAddresses, log)
	g.relay.PeersLoaded = g.nodes.Loaded
	windows := metering.Windows{Length: s.UsageWindow()}
	g.usageWindows, g.incarnations = windows, make(map[string]uint64)
	counter := metering.NewCounter(windows, g.trueTime)
	g.counter, g.receivedCounts, g.seals = counter, metering.NewReceivedCounts(), metering.NewSeals()
	memory := inbound.MemoryMB(s.Limits.MemoryMB)
	g.inbound = memory.NewAccount(inbound.MaxConnections(inbound.DescriptorLimit(s.Limits.FileDescriptors)), g.observer.logInbound)
	g.callerHandler = &platform.CallerHandler{CurrentTable: &g.table, OnReject: g.observer.logRejection, OnSocketError: g.observer.logSocketError}
	g.balancer = backends.NewBalancer(g.registry, s.FailureDomain, g.peerLoads, g.cell, g.sharer.NotifyChange)
	g.balancer.SetRateLimits(g.limits.limiter)
	backend := &platform.Backend{
		Pool: g.pool, Answers: membudget.New(memory.AnswerBytes()), OnFreeFailed: g.observer.logFreeFailure,
		OnNotice: g.onNotice, OnMalformedLoad: g.onMalformedLoad,
	}
	g.backend = backend
	g.callerHandler.Core = &core.Core{
		CurrentTable: &g.table,
		Chooser:      g.balancer,
		RetryBudget:  g.newRetryBudgets(),
		Upstream:     backend,
		Meter:        counter,
		Observer:     g.observer,
		Quarantine:   g.quarantine.tracker,
		Quotas:       g.quotas,
		Draining:     core.NewDrain(),
		Servers:      g.registry.View,
	}
	g.setUpDuties(counter, windows, backend)
	return g
}

// setUpDuties creates the lease, the usage reporter and the autoscaler.
func (g *Gateway) setUpDuties(counter *metering.Counter, windows metering.Windows, backend *platform.Backend) {
	process := authority.NewProcess(g.settings.IPAddress)
	g.lease = authority.NewLease(g.store, process, boottime.Clock{}, authority.LeaseOptions{
		LeaseTime: g.settings.LeaseTime(), Margin: g.settings.LeaseTime() / 6,
		RenewEvery: g.settings.LeaseTime() / 3, StoreTimeout: g.settings.LeaseTime() / 4,
		ReacquireDelay: g.settings.LeaseTime(),
		Era:            g.store.Eras.Current, Log: g.log,
	})
	g.duty = g.lease.Duty(dutyName, g.isDutyCandidate)
	cloud := platform.NewCloud(g.settings.Cloud.Address, g.settings.Name, cloudTimeout)
	cloud.Duty, backend.Duty = g.duty.TimeToAct, g.duty.TimeToAct
	g.autoscaler = newAutoscaler(g, cloud, backend)
	g.reporter = &metering.Reporter{
		Counter: counter, Windows: windows, Clock: g.trueTime, Store: g.store, Duty: g.duty, Sender: cloud,
		Incarnation: incarnationName(g.incarnation), Heard: g.receivedCounts,
		Seals: g.seals, Era: g.store.Eras.Current,
		Delay:  time.Duration(g.settings.Bounds.UsageDelaySeconds * float64(time.Second)),
		Fenced: func(err error) bool { return errors.Is(err, platform.ErrFenced) },
		Log:    g.log,
	}
}

// loadAddress returns the UDP address for load updates: the second port of the range.
func (g *Gateway) loadAddress() string {
	return fmt.Sprintf("%s:%d", g.settings.IPAddress, g.settings.Ports[0]+1)
}

// incarnationName returns the text form of an incarnation.
func incarnationName(incarnation uint64) string { return fmt.Sprintf("%016x", incarnation) }

// dutyName names the only duty: its holder reports usage and orders backend servers.
const dutyName = "platform"

// maxDutyCandidates is how many nodes try to acquire a free duty.
const maxDutyCandidates = 2

// isDutyCandidate reports whether this node should try to acquire the duty. A stopping node
// must not: the duty would soon change its holder again.
func (g *Gateway) isDutyCandidate() bool {
	holder, known := g.dutyHolder.Address()
	return g.settings.Cloud.Address != "" && g.ready.Load() && !g.stopping.Load() && known && holder == "" && g.nodes.Rank() < maxDutyCandidates
}

// decodeHolder returns the address of the holder named in the record of a duty; "" if the record
// is not under the holder's lease.
func decodeHolder(e store.Entry) (string, error) {
	process, err := authority.DecodeHolder(e)
	return process.Address, err
}

// Run serves until ctx ends or SIGTERM arrives, then stops gracefully. It returns an
// error if a listener cannot be opened.
func (g *Gateway) Run(ctx context.Context) error {
	// First of all, because the default action of the signal ends the process.
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	debug.SetMemoryLimit(inbound.MemoryMB(g.settings.Limits.MemoryMB).HeapBytes())
	baseListener, err := g.listen(g.settings.Listen.Callers, "callers", inbound.HTTP1)
	if err != nil {
		return err
	}
	readinessListener, err := g.listen(g.settings.Listen.Readiness, "readiness", inbound.HTTP1)
	if err != nil {
		return err
	}
	peerListener, err := g.listen(g.settings.Listen.Peers, "peers", inbound.HTTP2(peerStreams))
	if err != nil {
		return err
	}
	adminListener, err := g.listen(fmt.Sprintf("%s:%d", g.settings.IPAddress, g.settings.Ports[0]), "admin", inbound.HTTP1)
	if err != nil {
		return err
	}
	loadConn, err := net.ListenPacket("udp4", g.loadAddress())
	if err != nil {
		return err
	}
	stopSignal, cancelStop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancelStop()
	g.log.Info("start", "failure_domain", g.settings.FailureDomain, "store", g.settings.Store.Address)

	backgroundCtx, cancelBackground := context.WithCancel(context.WithoutCancel(ctx))
	dutyCtx, cancelDuties := context.WithCancel(backgroundCtx)
	var dutyGroup, backgroundGroup sync.WaitGroup
	g.startFollowers(backgroundCtx, &backgroundGroup)
	dutyGroup.Go(func() { g.lease.Run(dutyCtx) })
	g.reporter.OnSealed = func(window int64, counts metering.Counts) { g.announceSeal(loadConn, window, counts) }
	if g.settings.Cloud.HasDuty(platform.DutyUsage) {
		dutyGroup.Go(func() { g.reporter.Run(dutyCtx) })
	}
	if g.settings.Cloud.HasDuty(platform.DutyOrders) {
		dutyGroup.Go(func() { g.autoscaler.run(dutyCtx) })
	}
	dutyGroup.Go(func() { g.nodes.Announce(dutyCtx, g.store) })
	backgroundGroup.Go(func() { g.sweep(backgroundCtx) })
	backgroundGroup.Go(func() { g.pauses.Run(backgroundCtx) })
	backgroundGroup.Go(func() { g.sharer.Run(backgroundCtx, loadConn) })
	backgroundGroup.Go(func() { g.sendTotals(backgroundCtx, loadConn) })
	backgroundGroup.Go(func() { g.runQuarantine(backgroundCtx, loadConn) })
	backgroundGroup.Go(func() { g.checkLeavingServers(backgroundCtx, leavingCheckInterval) })
	backgroundGroup.Go(func() { g.runRateLimits(backgroundCtx, loadConn) })
	backgroundGroup.Go(func() { g.runQuotas(backgroundCtx, loadConn) })
	go g.sharer.Receive(loadConn)
	backgroundGroup.Go(func() { g.reloadOnSignal(backgroundCtx, sighup) })

	callerListener := platform.NewListener(baseListener, &g.table)
	callerListener.OnSocketError = g.observer.logSocketError
	callerServer := &http.Server{
		Handler: g.callerRoutes(), ReadHeaderTimeout: callerHeaderTimeout, MaxHeaderBytes: callerMaxHeaderBytes,
	}
	g.callerHandler.Attach(callerServer)
	readyServer := inbound.NewServer(g.readyRoutes(), inbound.HTTP1, g.refuseUnsound("readiness"))
	adminServer := inbound.NewServer(g.adminRoutes(), inbound.HTTP1, g.refuseUnsound("admin"))
	go g.serve(callerServer, callerListener)
	go g.serve(readyServer, readinessListener)
	peerServer := inbound.NewServer(g.peerRoutes(), inbound.HTTP2(peerStreams), g.refuseUnsound("peers"))
	go g.serve(adminServer, adminListener)
	go g.serve(peerServer, peerListener)

	<-stopSignal.Done()
	g.log.Info("stop requested", "in_flight", g.callerHandler.InFlight.Load(), "connections", callerListener.Connections())
	g.stop(callerListener)
	cancelDuties()
	dutyGroup.Wait()
	cancelBackground()
	backgroundGroup.Wait()
	_ = callerServer.Close()
	_ = readyServer.Close()
	_ = adminServer.Close()
	_ = peerServer.Close()
	_ = loadConn.Close()
	g.log.Info("stop", "in_flight", g.callerHandler.InFlight.Load())
	return nil
}

const (
	// callerHeaderTimeout is the timeout for reading the header of a request.
	callerHeaderTimeout = 5 * time.Second
	// callerMaxHeaderBytes is the maximum size of a header that is read; the limit
	// of the configuration is checked afterwards.
	callerMaxHeaderBytes = 64 << 10
)

// sweep closes idle connections and drops expired loads of other nodes, until ctx ends.
func (g *Gateway) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.updateReady()
			g.forgetLimits()
			g.peerLoads.nodes.Expire(time.Now())
			g.pool.Sweep()
			g.store.Sweep()
		}
	}
}

// reloadOnSignal reads the settings file again on SIGHUP. Only the log settings are
// applied: addresses and bounds keep their values until a restart.
func (g *Gateway) reloadOnSignal(ctx context.Context, sighup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
			g.reloadSettings()
		}
	}
}

// reloadSettings applies the log settings of the settings file. After an error the settings
// stay as they are.
func (g *Gateway) reloadSettings() {
	s, err := platform.LoadSettings(g.settingsFile)
	if err != nil {
		g.log.Info("reload failed, settings unchanged", "cause", err.Error())
		return
	}
	g.level.SetVerbose(s.Log.Verbose)
	g.observer.setLogRate(s.Log.LinesPerSecond)
	g.log.Info("reload", "verbose", s.Log.Verbose, "lines_per_s", s.Log.LinesPerSecond)
}

// serve runs an HTTP server until it is closed.
func (g *Gateway) serve(s *http.Server, l net.Listener) {
	err := s.Serve(l)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		g.log.Error(err, "listener failed", "address", l.Addr().String())
	}
}
