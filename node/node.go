// Package node wires the parts of a daemon together and runs it.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"golang.org/x/net/netutil"

	"github.com/figweir/figweir/caller"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/logging"
	"github.com/figweir/figweir/metrics"
	"github.com/figweir/figweir/operator"
	"github.com/figweir/figweir/platform/fleet"
	"github.com/figweir/figweir/platform/store"
	"github.com/figweir/figweir/service"
	"github.com/figweir/figweir/settings"
)

// maxConfigBytes bounds a configuration that an operator sends.
const maxConfigBytes = 64 << 20

// Node is one daemon.
type Node struct {
	settings    settings.Settings
	incarnation string
	log         logr.Logger
	metrics     *metrics.Set
	store       store.Store
	fleet       *fleet.Client
	repository  *config.Repository
	config      *config.Holder
	engines     *engine.Client
	services    *service.Client
	backends    *backends
	callers     *caller.Handler
	draining    atomic.Bool

	servers   []*http.Server
	listeners []net.Listener
}

// New returns a node that has opened its listeners but does not serve yet.
func New(s settings.Settings, log logr.Logger) (*Node, error) {
	n := &Node{
		settings:    s,
		incarnation: s.Name + "/" + uuid.NewString(),
		metrics:     metrics.New(),
		config:      config.NewHolder(),
		engines:     engine.NewClient(),
		services:    service.NewClient(),
	}
	n.log = log.WithValues("node", s.Name, logging.FailureDomain, s.FailureDomain)
	base := "http://" + s.Platform.Address
	timeout := settings.Seconds(s.Platform.TimeoutSeconds)
	n.store = store.NewClient(base, timeout)
	n.fleet = fleet.NewClient(base, timeout)
	n.repository = config.NewRepository(n.store)
	n.backends = newBackends(n.engines, n.config, n.metrics, s.FailureDomain)
	n.callers = caller.New(caller.Dependencies{
		Config: n.config, KeySecret: []byte(s.Secrets.KeyDigest),
		Engines: n.engines, Services: n.services,
		Router: n.backends, Admitter: openAdmitter{}, Claimer: localClaimer{}, Meter: noMeter{},
		Observer: noObserver{}, Gate: openGate{}, Metrics: n.metrics, Log: n.log,
	}, caller.Options{
		MaxBodyBytes: s.Limits.MaxBodyBytes, BodyTimeout: settings.Seconds(s.Limits.BodyTimeoutSeconds),
		WriteTimeout:   settings.Seconds(s.Limits.WriteTimeoutSeconds),
		RequestTimeout: settings.Seconds(s.Limits.RequestTimeoutSeconds), MaxAttempts: s.Limits.MaxAttempts,
	})
	operators := &operator.Handler{
		Node: n, Metrics: n.metrics, Secret: s.Secrets.Operator, Log: n.log,
		MaxBodyBytes: maxConfigBytes, Reports: map[string]operator.Report{},
	}
	if err := n.listen(s.Listen.Callers, n.callers); err != nil {
		return nil, err
	}
	if err := n.listen(s.Listen.Operators, operators.Router()); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

func (n *Node) listen(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	limits := n.settings.Limits
	n.listeners = append(n.listeners, netutil.LimitListener(l, limits.MaxConnections))
	n.servers = append(n.servers, &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: settings.Seconds(limits.HeaderTimeoutSeconds),
		IdleTimeout:       settings.Seconds(limits.IdleTimeoutSeconds),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
	})
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range n.listeners {
		_ = l.Close()
	}
}

// CallerAddress returns the address on which callers are served.
func (n *Node) CallerAddress() string { return n.listeners[0].Addr().String() }

// OperatorAddress returns the address on which operators are served.
func (n *Node) OperatorAddress() string { return n.listeners[1].Addr().String() }

// VM returns the node as the platform's list of VMs shows it.
func (n *Node) VM() fleet.VM {
	return fleet.VM{Name: n.settings.Name, FailureDomain: n.settings.FailureDomain}
}

// Ready implements operator.Node.
func (n *Node) Ready() error {
	if n.draining.Load() {
		return errors.New("the node is being stopped")
	}
	if n.config.Load() == nil {
		return errors.New("the node has no configuration yet")
	}
	return nil
}

// Run serves until ctx ends, then stops: it takes no new requests, lets the
// running ones finish and returns nil if all of them did.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wait sync.WaitGroup
	wait.Go(func() { n.watchConfig(background) })
	wait.Go(func() { n.backends.poll(background) })
	failed := make(chan error, len(n.servers))
	for i, server := range n.servers {
		go func() { failed <- server.Serve(n.listeners[i]) }()
	}
	n.log.Info("node started", "incarnation", n.incarnation, "callers", n.settings.Listen.Callers,
		"peers", n.settings.Listen.Peers, "operators", n.settings.Listen.Operators)
	var err error
	select {
	case <-ctx.Done():
		err = n.stop()
	case err = <-failed:
		n.closeListeners()
	}
	cancel()
	wait.Wait()
	n.engines.Close()
	n.services.Close()
	return err
}

// stop drains the listeners; the operators' one goes last, so that readiness
// can be seen to be gone.
func (n *Node) stop() error {
	start := time.Now()
	n.draining.Store(true)
	n.callers.Drain()
	n.log.Info("node stopping", "in_flight", n.metrics.InFlight.Value())
	ctx, cancel := context.WithTimeout(context.Background(), settings.Seconds(n.settings.Limits.StopTimeoutSeconds))
	defer cancel()
	var errs []error
	for _, server := range n.servers {
		errs = append(errs, server.Shutdown(ctx))
	}
	err := errors.Join(errs...)
	n.log.Info("node stopped", "duration_s", time.Since(start).Seconds(), "cut", err != nil)
	return err
}
