// Package soak is a randomized fault-injection test. It runs nodes as separate
// processes between simulated callers, backend servers and a store, injects
// faults from outside the processes, and checks the guaranteed behavior from
// what callers and backend servers observe.
package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/figweir/figweir/platform/backendsim"
	"github.com/figweir/figweir/platform/kvserver"
	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/standin/tcpproxy"
	"github.com/figweir/figweir/store"
)

// Options configures a run.
type Options struct {
	// Binary is the path of the program under test. Dir receives the settings and
	// logs of the nodes.
	Binary  string
	Dir     string
	Seed    uint64
	Nodes   int
	Clients int
	// Time is how long faults are injected.
	Time time.Duration
}

// Deployment is a set of nodes, backend servers, a store and callers on
// loopback.
type Deployment struct {
	Options
	rng           *rand.Rand
	subnet        string
	store         *memstore.Store
	nodes         []*node
	plainServers  []*backend
	engines       []*backend
	recorder      *Recorder
	closers       []func()
	configVersion atomic.Int64
	// configMu serializes the writes of the configuration.
	configMu  sync.Mutex
	keyBValid atomic.Bool
	// crashPart is the prompt part on which engines crash; empty if there is none.
	crashPart    atomic.Pointer[string]
	replacements atomic.Int64
	// pauses counts the processes that were suspended.
	pauses atomic.Int64
}

// node is one node, which runs as a process of the program under test.
type node struct {
	index      int
	ip         string
	settings   string
	storeProxy *tcpproxy.Proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has exited. stopped is true while the
	// process is stopped by a fault.
	exited  chan struct{}
	stopped bool
}

// backend is one simulated backend server behind a TCP proxy.
type backend struct {
	id, service, role string
	sim               *backendsim.Server
	proxy             *tcpproxy.Proxy
	removed           chan struct{}
	draining          atomic.Bool
	// disturbed is set once its connections have been disturbed.
	disturbed atomic.Bool
	// noticed is set while the server states something about itself.
	noticed atomic.Bool
}

// Ports that every node uses on its own loopback address.
const (
	callerPort, readinessPort, peerPort = 8100, 8101, 8102
	firstPort, lastPort                 = 8110, 8119
)

// New starts the store, the backend servers and the nodes. It returns an error
// if the store or a node can't be started.
func New(o Options) (*Deployment, error) {
	d := &Deployment{Options: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), store: memstore.New(), recorder: NewRecorder()}
	// Concurrent runs use different parts of the loopback range.
	d.subnet = fmt.Sprintf("127.%d.%d", 100+os.Getpid()%100, 1+o.Seed%250)
	d.keyBValid.Store(true)
	d.crashPart.Store(new(string))
	r := chi.NewRouter()
	kvserver.Register(r, d.store)
	r.Post("/usage", d.recorder.handleUsageReport)
	storeAddress, err := d.serve(r)
	if err != nil {
		return nil, err
	}
	d.writeConfig()
	for i := range 3 {
		d.addBackend("plain", fmt.Sprintf("s%d", i), "")
	}
	for i := range 2 {
		d.addBackend("models", fmt.Sprintf("p%d", i), "prefill")
		d.addBackend("models", fmt.Sprintf("d%d", i), "decode")
	}
	d.addBackend("models", "d2", "decode")
	for i := range o.Nodes {
		if err := d.addNode(i, storeAddress); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// serve starts an HTTP server of the test on a free loopback port and returns
// its address.
func (d *Deployment) serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ErrorLog: nil}
	go func() { _ = s.Serve(l) }()
	d.closers = append(d.closers, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// writeConfig writes the configuration to the store with the next version.
func (d *Deployment) writeConfig() {
	// The lock keeps versions in order, each with the keys valid at that time.
	d.configMu.Lock()
	defer d.configMu.Unlock()
	keys := map[string]string{"a": "key-a"}
	if d.keyBValid.Load() {
		keys["b"] = "key-b"
	}
	if raw, err := backendsim.Config(d.configVersion.Add(1), keys); err == nil {
		d.putWithRetry(backendsim.ConfigKey, raw, store.NoLease)
	}
}

// putWithRetry writes a key at any current revision and retries failed writes
// until putTimeout, as operators and backend servers do.
func (d *Deployment) putWithRetry(key string, raw []byte, lease store.LeaseID) {
	ctx := context.Background()
	for deadline := time.Now().Add(putTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		old, err := d.store.Get(ctx, key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			continue
		}
		if _, err := d.store.Put(ctx, key, raw, old.Revision, lease); err == nil {
			return
		}
	}
}

// putTimeout is how long a failed write is retried.
const putTimeout = 10 * time.Second

// addBackend starts a backend server and keeps it registered in the store until
// it is removed. It returns nil if the server can't be started.
func (d *Deployment) addBackend(service, id, role string) *backend {
	b := &backend{id: id, service: service, role: role, removed: make(chan struct{})}
	b.sim = backendsim.New(backendsim.Options{
		ID: id, Role: role, Slots: 8, WorkTime: 8 * time.Millisecond, Events: 12, OnRun: func(r backendsim.Run) { d.recorder.addRun(r, b) },
		OnCrash: func() { d.crash(b) },
	})
	b.sim.SetCrashPart(*d.crashPart.Load())
	address, err := d.serve(b.sim.Handler())
	if err != nil {
		return nil
	}
	if b.proxy, err = tcpproxy.New("127.0.0.1:0", address); err != nil {
		return nil
	}
	d.closers = append(d.closers, b.proxy.Close)
	if service == "plain" {
		d.plainServers = append(d.plainServers, b)
	} else {
		d.engines = append(d.engines, b)
	}
	go d.register(b)
	return b
}

// crash refuses connections to a backend server for engineDowntime.
func (d *Deployment) crash(b *backend) {
	d.recorder.addCrash()
	b.proxy.Refuse()
	time.AfterFunc(engineDowntime, func() {
		if err := b.proxy.Accept(); err != nil {
			d.recorder.addFinding("a crashed backend server did not start: " + err.Error())
		}
	})
}

// engineDowntime is how long a crashed engine is down.
const engineDowntime = 800 * time.Millisecond

// register writes the registration of a backend server, keeps its lease alive
// and writes it again when the server starts to drain or the lease is lost. It
// returns when the server is removed.
func (d *Deployment) register(b *backend) {
	ctx := context.Background()
	lease, _ := d.store.Grant(ctx, 2*time.Second)
	const unwritten, ready, draining = 0, 1, 2
	state := unwritten
	for {
		next := ready
		if b.draining.Load() {
			next = draining
		}
		if next != state {
			state = next
			raw, err := backendsim.Registration(b.service, b.proxy.Address(), b.role, state == draining)
			if err == nil {
				d.putWithRetry(backendsim.ServersPrefix+b.id, raw, lease)
			}
			if state == draining {
				d.recorder.setDraining(b)
			}
		}
		select {
		case <-b.removed:
			_ = d.store.Revoke(ctx, lease)
			return
		case <-time.After(500 * time.Millisecond):
		}
		if d.store.Renew(ctx, lease) != nil {
			lease, _ = d.store.Grant(ctx, 2*time.Second)
			state = unwritten
		}
	}
}

// addNode writes a node's settings and starts its process, with a proxy between the
// node and the store.
func (d *Deployment) addNode(i int, storeAddress string) error {
	n := &node{index: i, ip: fmt.Sprintf("%s.%d", d.subnet, 10+i)}
	var err error
	if n.storeProxy, err = tcpproxy.New("127.0.0.1:0", storeAddress); err != nil {
		return err
	}
	d.closers = append(d.closers, n.storeProxy.Close)
	seeds := []string{fmt.Sprintf("%s.10:%d", d.subnet, peerPort)}
	raw, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("node-%d", i), "ip_address": n.ip, "failure_domain": "z",
		"listen": map[string]any{
			"callers": fmt.Sprintf("%s:%d", n.ip, callerPort), "readiness": fmt.Sprintf("%s:%d", n.ip, readinessPort), "peers": fmt.Sprintf("%s:%d", n.ip, peerPort),
		},
		"ports": []int{firstPort, lastPort}, "seeds": seeds, "limits": map[string]any{"memory_mb": 200}, "log": map[string]any{"lines_per_s": 1000},
		"bounds": map[string]any{"retry_ratio": 0.2, "retry_extra": 50.0, "fencing_enforced": true, "usage_window_s": 2, "usage_delay_s": 4},
		"store":  map[string]any{"address": n.storeProxy.Address()},
		"cloud":  map[string]any{"address": storeAddress, "duties": []string{"usage_reporting"}},
	})
	if err != nil {
		return err
	}
	n.settings = filepath.Join(d.Dir, fmt.Sprintf("node-%d.json", i))
	if err := os.WriteFile(n.settings, raw, 0o600); err != nil {
		return err
	}
	d.nodes = append(d.nodes, n)
	return n.start(d)
}

// start starts the process of a node and appends its output to the node's log
// file.
func (n *node) start(d *Deployment) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(d.Dir, fmt.Sprintf("node-%d.log", n.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(d.Binary, "gateway", "--settings", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		_ = out.Close()
		close(exited)
	}(n.cmd, n.exited)
	return nil
}

// signal sends a signal to the node's process if it was started.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// Close kills all node processes and stops all servers of the run.
func (d *Deployment) Close() {
	for _, n := range d.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
	}
	for _, b := range append(d.plainServers, d.engines...) {
		select {
		case <-b.removed:
		default:
			close(b.removed)
		}
	}
	for _, c := range d.closers {
		c()
	}
}
