// Package demo runs a complete small deployment in one process over loopback: real
// nodes, and stand-ins for the platform, the engines and the servers of a service.
package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/fleet"
	"github.com/figweir/figweir/node"
	"github.com/figweir/figweir/settings"
	"github.com/figweir/figweir/standin/engine"
	"github.com/figweir/figweir/standin/platform"
	"github.com/figweir/figweir/standin/service"
)

// Names and secrets of the demo deployment.
const (
	Model           = "demo-lm"
	EnginePool      = "demo-engines"
	ServicePool     = "demo-ledger-servers"
	Service         = "ledger"
	OpenService     = "status"
	Workspace       = "north"
	SecondWorkspace = "south"
	failureDomain   = "local"
	keySecret       = "demo-key-digest-secret"
	peerSecret      = "demo-peer-secret-0000"
)

// Options configures a deployment.
type Options struct {
	Nodes   int
	Engines int
	// Services is the number of servers of the plain service.
	Services int
	Log      logr.Logger
	// Settings, if not nil, modifies the settings of node i before it starts.
	Settings func(i int, s *settings.Settings)
	// Engine, if not nil, modifies the settings of engine i before it starts.
	Engine func(i int, s *engine.Settings)
}

// Deployment is a running deployment.
type Deployment struct {
	Platform *platform.Server
	Engines  []*engine.Server
	Services []*service.Server
	// Runs counts the calls that Services ran.
	Runs  *service.Runs
	Nodes []*node.Node
	// Key and SecondKey are the keys of Workspace and SecondWorkspace. WithdrawnKey
	// is a withdrawn key of Workspace.
	Key          string
	SecondKey    string
	WithdrawnKey string
	// Document is the configuration that Start wrote to the store.
	Document *config.Document

	PlatformAddress string
	engineAddresses []string
	servers         []*http.Server
	cancels         []context.CancelFunc
	stopResults     []chan error
	wg              sync.WaitGroup
}

// readyTimeout is the longest time for the nodes to become ready, and for one
// node to stop.
const readyTimeout = 30 * time.Second

// Start starts a deployment and waits until its nodes are ready. If a part can't
// be started, it closes the deployment and returns the error.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	d := &Deployment{Platform: platform.New(nil), Runs: service.NewRuns()}
	if err := d.startStandins(o); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.configure(ctx); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.startNodes(o); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.waitReady(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) startStandins(o Options) error {
	var err error
	if d.PlatformAddress, err = d.serve(d.Platform.Handler()); err != nil {
		return err
	}
	d.Document = newDocument()
	for i := range o.Engines {
		s := engine.DefaultSettings(fmt.Sprintf("engine-%d", i+1))
		if o.Engine != nil {
			o.Engine(i, &s)
		}
		e := engine.New(s)
		address, err := d.serve(e.Handler())
		if err != nil {
			return err
		}
		d.Engines = append(d.Engines, e)
		d.engineAddresses = append(d.engineAddresses, address)
		d.Document.BackendServers = append(d.Document.BackendServers, config.BackendServer{
			Name: s.Name, Pool: EnginePool, FailureDomain: failureDomain, Address: address, ChecksFencing: s.ChecksFencing,
		})
	}
	for i := range o.Services {
		name := fmt.Sprintf("ledger-%d", i+1)
		s := service.New(name, d.Runs)
		address, err := d.serve(s.Handler())
		if err != nil {
			return err
		}
		d.Services = append(d.Services, s)
		d.Document.BackendServers = append(d.Document.BackendServers, config.BackendServer{
			Name: name, Pool: ServicePool, FailureDomain: failureDomain, Address: address,
		})
	}
	return nil
}

// newDocument returns the configuration without backend servers and workspaces.
func newDocument() *config.Document {
	return &config.Document{
		Objectives: config.Objectives{FirstTokenSeconds: 0.54, BetweenTokensSeconds: 0.03, TargetRatio: 0.95},
		Pools: []config.Pool{
			{Name: EnginePool, Kind: config.KindEngine, Models: []string{Model}, KVBlocks: 4000, KVBlockTokens: 16},
			{Name: ServicePool, Kind: config.KindService},
		},
		Services: []config.Service{
			{Name: Service, Pool: ServicePool, IdempotentMethods: []string{http.MethodGet}, TimeoutSeconds: 10},
			{Name: OpenService, Pool: ServicePool, Open: true, IdempotentMethods: []string{http.MethodGet}, TimeoutSeconds: 10},
		},
	}
}

// configure creates the keys and writes the configuration to the store.
func (d *Deployment) configure(ctx context.Context) error {
	var key, second, withdrawn config.Key
	d.Key, key = config.NewKey("north-1", []byte(keySecret))
	d.SecondKey, second = config.NewKey("south-1", []byte(keySecret))
	d.WithdrawnKey, withdrawn = config.NewKey("north-0", []byte(keySecret))
	withdrawn.Withdrawn = true
	d.Document.Workspaces = []config.Workspace{
		{Name: Workspace, Weight: 2, Keys: []config.Key{key, withdrawn}},
		{Name: SecondWorkspace, Weight: 1, Keys: []config.Key{second}},
	}
	_, err := config.NewRepository(d.Platform.Store).Apply(ctx, d.Document, 0, "demo")
	return err
}

func (d *Deployment) startNodes(o Options) error {
	for i := range o.Nodes {
		n, err := node.New(d.nodeSettings(i, o), o.Log)
		if err != nil {
			return err
		}
		d.Nodes = append(d.Nodes, n)
	}
	vms := make([]fleet.VM, len(d.Nodes))
	for i, n := range d.Nodes {
		vms[i] = n.VM()
	}
	d.Platform.SetVMs(vms)
	for _, n := range d.Nodes {
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan error, 1)
		d.cancels = append(d.cancels, cancel)
		d.stopResults = append(d.stopResults, stopped)
		d.wg.Go(func() { stopped <- n.Run(ctx) })
	}
	return nil
}

func (d *Deployment) nodeSettings(i int, o Options) settings.Settings {
	s := settings.Default()
	s.Name = fmt.Sprintf("entry-%d", i+1)
	s.FailureDomain = failureDomain
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	s.Platform.Address = d.PlatformAddress
	s.Secrets = settings.Secrets{KeyDigest: keySecret, Peer: peerSecret}
	s.Limits.StopTimeoutSeconds = 30
	if o.Settings != nil {
		o.Settings(i, &s)
	}
	return s
}

func (d *Deployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for _, n := range d.Nodes {
		for {
			err := n.Ready()
			if err == nil {
				break
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return fmt.Errorf("node not ready: %w", err)
			}
		}
	}
	return nil
}

// serve starts an HTTP server on a free loopback port and returns its address.
func (d *Deployment) serve(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	d.servers = append(d.servers, server)
	d.wg.Go(func() { _ = server.Serve(l) })
	return l.Addr().String(), nil
}

// CallerURL returns the base URL of the caller listener of node i.
func (d *Deployment) CallerURL(i int) string { return "http://" + d.Nodes[i].CallerAddress() }

// OperatorURL returns the base URL of the operator listener of node i.
func (d *Deployment) OperatorURL(i int) string { return "http://" + d.Nodes[i].OperatorAddress() }

// BeginStop begins the planned stop of node i and returns a channel that
// receives the result.
func (d *Deployment) BeginStop(i int) <-chan error {
	d.cancels[i]()
	return d.stopResults[i]
}

// Close stops the nodes and servers and waits for them. It returns the errors of
// the nodes joined.
func (d *Deployment) Close() error {
	for _, stop := range d.cancels {
		stop()
	}
	var errs []error
	for _, stopped := range d.stopResults {
		select {
		case err := <-stopped:
			errs = append(errs, err)
		case <-time.After(readyTimeout):
			errs = append(errs, errors.New("demo: a node did not stop"))
		}
	}
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.wg.Wait()
	return errors.Join(errs...)
}
