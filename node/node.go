// Package node creates the parts of the node daemon, connects them and runs them.
package node

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"github.com/figweir/figweir/bus"
	"github.com/figweir/figweir/caller"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/configsync"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/fleet"
	"github.com/figweir/figweir/inbound"
	"github.com/figweir/figweir/logging"
	"github.com/figweir/figweir/membership"
	"github.com/figweir/figweir/membudget"
	"github.com/figweir/figweir/metrics"
	"github.com/figweir/figweir/operator"
	"github.com/figweir/figweir/peer"
	"github.com/figweir/figweir/platform"
	"github.com/figweir/figweir/service"
	"github.com/figweir/figweir/settings"
	"github.com/figweir/figweir/store"
)

const (
	// maxConfigBytes limits the size of a configuration that an operator sends, if the memory has room
	// for it.
	maxConfigBytes = 64 << 20
	// refusingGrace is how long running streams continue on a node that refuses new
	// requests. A partitioned node refuses after 2 s, so a withdrawn key stops
	// working there within 5 s.
	refusingGrace = 3 * time.Second
)

// Node is a node daemon.
type Node struct {
	settings settings.Settings
	// process is the node's name and a random ID, which distinguishes this process
	// from earlier ones on the same VM.
	process string
	log     logr.Logger
	metrics *metrics.Set
	store   store.Store
	// eras holds the newest era of the store.
	eras       *store.EraTracker
	fleet      *fleet.Client
	config     *config.CurrentSnapshot
	repository *config.Repository
	engines    *engine.Client
	services   *service.Client
	// answers limits the memory of answers that are read whole before they are sent, inbound that of
	// what clients send on all listeners.
	answers      *membudget.Budget
	inbound      *membudget.Inbound
	peerHTTP     *http.Client
	auth         *peer.Auth
	bus          *bus.Bus
	events       *peer.EventPublisher
	quarantine   *quarantineSharing
	members      *membership.Membership
	sync         *configsync.Sync
	backends     *backends
	claims       *claims
	admission    *admission
	meter        *meter
	observer     *observer
	spending     *spending
	duties       *duties
	orders       *orderControllers
	usageWindows *usageWindows
	callers      *caller.Handler
	listeners    *listeners
	draining     atomic.Bool
	// configApplied is set once all parts of the node know the pools of a configuration.
	configApplied atomic.Bool
}

// New returns a node with open listeners. Run starts serving. New returns an
// error if a listener can't be opened or the event bus can't be created.
func New(s settings.Settings, log logr.Logger) (*Node, error) {
	base := "http://" + s.Platform.Address
	timeout := settings.SecondsToDuration(s.Platform.TimeoutSeconds)
	n := &Node{
		settings: s,
		process:  s.Name + "/" + uuid.NewString(),
		log:      log.WithValues("node", s.Name, logging.FailureDomainKey, s.FailureDomain),
		metrics:  metrics.New(),
		fleet:    fleet.NewClient(base, timeout),
		config:   config.NewCurrentSnapshot(),
		engines:  engine.NewClient(),
		services: service.NewClient(),
		answers:  membudget.New(inbound.MemoryMB(s.Limits.MemoryMB).AnswerBytes()),
		peerHTTP: peer.NewHTTPClient(),
		auth:     peer.NewAuth(s.Secrets.Peer),
	}
	n.services.Memory = n.answers
	client := platform.NewStore(s.Platform.Address, timeout)
	client.Eras.OnChange(func(era store.Era) { n.log.Info("era of the store", "era", uint64(era)) })
	n.eras, n.store = client.Eras, countCalls(client, n.metrics.StoreCallsTotal)
	n.repository = config.NewRepository(n.store)
	n.inbound = newInbound(n)
	var err error
	if n.listeners, err = openListeners(s, n.inbound, newUnsoundRefusals(n)); err != nil {
		return nil, err
	}
	if n.bus, err = bus.New(n.log); err != nil {
		n.listeners.close()
		return nil, err
	}
	n.newPeerParts()
	n.backends = newBackends(n)
	n.claims = newClaims(n)
	n.admission = newAdmission(n)
	n.meter = newMeter(n)
	n.observer = newObserver(n)
	n.spending = newSpending(time.Now())
	n.duties = newDuties(n)
	n.orders = newOrderControllers(n)
	n.usageWindows = newUsageWindows(n)
	n.callers = caller.New(n.callerDependencies(), callerOptions(s.Limits))
	n.handleEvents()
	n.listeners.setHandlers(n.callers, n.peerHandler(), n.operatorHandler())
	return n, nil
}

// newPeerParts creates the parts that communicate with other nodes.
func (n *Node) newPeerParts() {
	self := n.VM()
	n.members = membership.New(membership.Settings{
		Self:    membership.VM{Name: self.Name, Address: self.Address, FailureDomain: self.FailureDomain},
		ListLag: settings.SecondsToDuration(n.settings.Platform.ListLagSeconds),
	}, newVMLister(n), peer.NewMembershipClient(n.peerHTTP, n.auth), n.log)
	n.sync = configsync.New(configsync.Settings{}, n.members, n.store, n.config, peer.NewConfigClient(n.peerHTTP, n.auth), n.log)
	n.events = newEventPublisher(n)
	n.quarantine = newQuarantineSharing(n)
}

func (n *Node) callerDependencies() caller.Dependencies {
	return caller.Dependencies{
		Config: n.config, KeySecret: []byte(n.settings.Secrets.KeyDigest),
		Engines: n.engines, Services: n.services, AnswerMemory: n.answers,
		Router: n.backends, Admitter: demandAdmitter{n.admission, n.orders.demand}, Claimer: n.claims, Meter: n.meter,
		Observer: n.observer, Gate: freshnessGate{n.sync}, Metrics: n.metrics, Quarantine: n.quarantine.tracker, Log: n.log,
	}
}

func callerOptions(l settings.Limits) caller.Options {
	return caller.Options{
		MaxBodyBytes: l.MaxBodyBytes, BodyTimeout: settings.SecondsToDuration(l.BodyTimeoutSeconds),
		WriteTimeout:   settings.SecondsToDuration(l.WriteTimeoutSeconds),
		RequestTimeout: settings.SecondsToDuration(l.RequestTimeoutSeconds), MaxAttempts: l.MaxAttempts,
		RefusingGrace: refusingGrace,
	}
}

func (n *Node) operatorHandler() http.Handler {
	h := &operator.Handler{
		Node: n, Metrics: n.metrics, Secret: n.settings.Secrets.Operator, Log: n.log,
		MaxBodyBytes: min(maxConfigBytes, inbound.MemoryMB(n.settings.Limits.MemoryMB).MaxDecodedBodyBytes()), Submit: n.orders.Submit,
		Reports: map[string]operator.Report{
			"burn": n.observer.burnReport, "usage": n.usageReport, "spend": n.spendReport, "blocked": n.duties.blockedReport,
			"quarantine": n.quarantine.report,
		},
	}
	return inbound.NewHandler(h.Router(), n.inboundOptions())
}

// freshnessGate admits requests while the freshness rule allows the node to
// serve.
type freshnessGate struct{ sync *configsync.Sync }

// Check implements caller.Gate.
func (g freshnessGate) Check() error {
	_, err := g.sync.Snapshot()
	return err
}

// CallerAddress returns the address on which callers are served.
func (n *Node) CallerAddress() string { return n.listeners.callers.Addr().String() }

// OperatorAddress returns the address on which operators are served.
func (n *Node) OperatorAddress() string { return n.listeners.operators.Addr().String() }

// VM returns this node as the platform lists it.
func (n *Node) VM() fleet.VM {
	return fleet.VM{Name: n.settings.Name, Address: n.listeners.peers.Addr().String(), FailureDomain: n.settings.FailureDomain}
}

// Ready implements operator.Node.
func (n *Node) Ready() error {
	if n.draining.Load() {
		return errors.New("the node is being stopped")
	}
	if !n.sync.Ready() || !n.configApplied.Load() {
		return errors.New("the node does not know the current configuration yet")
	}
	_, err := n.sync.Snapshot()
	return err
}

// Run serves until ctx is canceled. It then refuses new requests and waits for
// the running ones. It returns nil if all of them finished, and an error if some
// did not finish in time or a listener failed.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := n.bus.Run(background); err != nil {
			n.log.Error(err, "event bus ended")
		}
	})
	for _, run := range []func(context.Context){n.members.Run, n.sync.Run, n.backends.run, n.claims.run, n.admission.run, n.meter.run, n.announceConfig, n.duties.run, n.orders.run, n.usageWindows.run, n.quarantine.run} {
		wg.Go(func() { run(background) })
	}
	wg.Go(func() { n.spending.run(background, n.config) })
	failed := n.listeners.serve()
	n.log.Info("node started", "process", n.process, "callers", n.CallerAddress(),
		"peers", n.VM().Address, "operators", n.OperatorAddress())
	var err error
	select {
	case <-ctx.Done():
		err = n.stop()
	case err = <-failed:
		n.listeners.close()
	}
	cancel()
	wg.Wait()
	n.claims.close()
	n.engines.Close()
	n.services.Close()
	n.peerHTTP.CloseIdleConnections()
	return err
}

// stop drains the node. It announces first that it is leaving, so that other
// nodes acquire its duties while its last requests finish.
func (n *Node) stop() error {
	start := time.Now()
	n.draining.Store(true)
	n.members.SetLeaving(true)
	n.callers.Drain()
	n.log.Info("node stopping", "in_flight", n.metrics.InFlight.Value())
	err := n.listeners.drain(settings.SecondsToDuration(n.settings.Limits.StopTimeoutSeconds))
	n.log.Info("node stopped", "duration_s", time.Since(start).Seconds(), "cut", err != nil)
	return err
}
