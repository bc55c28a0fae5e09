//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

	"github.com/figweir/figweir/platform/kvserver"
	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

const (
	routeHost = "desk.example"
	apiKey    = "3fexd9dnn2ctnfzs989a"
	workspace = "hule930"
	// memoryMB is the memory of a machine in the small deployments.
	memoryMB = 284
	// portsPerNode is the number of consecutive ports that one node needs.
	portsPerNode = 8
	// startTimeout is how long the gateways may take until they are ready.
	startTimeout = 15 * time.Second
)

// deployment is a set of gateways with the stand-ins around them, on loopback.
type deployment struct {
	record  *record
	binary  string
	dir     string
	store   *memstore.Store
	address string
	subnet  string
	nodes   []*node
	servers []*server

	closeOnce sync.Once
	closed    atomic.Bool
	closers   []func()
}

// newDeployment starts the store. The gateways and servers are added by the case.
func newDeployment(r *record, binary string) (*deployment, error) {
	absolute, err := filepath.Abs(binary)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(absolute); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "figweir-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, binary: absolute, dir: dir, store: memstore.New(), subnet: fmt.Sprintf("127.%d.%d", 90+os.Getpid()%100, 1+os.Getpid()/100%250)}
	d.closers = append(d.closers, func() { _ = os.RemoveAll(dir) })
	router := chi.NewRouter()
	kvserver.Register(router, d.store)
	accept := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }
	router.Post("/usage", accept)
	router.Post("/scaling", accept)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: router, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	d.closers = append(d.closers, func() { _ = s.Close() })
	d.address = l.Addr().String()
	return d, nil
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	d.closeOnce.Do(func() {
		d.closed.Store(true)
		for _, n := range d.nodes {
			n.kill()
		}
		for _, s := range d.servers {
			s.stop()
		}
		for _, c := range d.closers {
			c()
		}
	})
}

// put writes a key of the operator or of a server at whatever revision it has.
func (d *deployment) put(key string, value any, lease store.LeaseID) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	ctx := context.Background()
	for range 20 {
		old, err := d.store.Get(ctx, key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		if _, err = d.store.Put(ctx, key, raw, old.Revision, lease); !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return store.ErrConflict
}

// writeConfig writes a configuration with a route of each kind that a case needs.
func (d *deployment) writeConfig() error {
	route := func(name, kind, service string, timeoutMS, targetMS, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": routeHost, "path_prefix": "/" + name + "/", "route_kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": targetMS,
			"priority": 1, "service": service, "max_attempts": attempts, "public": false, "session_affinity": kind == "streaming", "resumable": resumable, "gap_target_ms": 250,
		}
	}
	return d.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{
			route("draft", "streaming", "models", 8000, 800, 1, false),
			route("entry", "unsafe", "ledger", 8000, 500, 1, false),
			route("look", "safe", "ledger", 8000, 500, 2, false),
		},
		"services": []any{
			map[string]any{"name": "models", "health_check_path": "/health", "connection_limit": 370, "engine": map[string]any{
				"slots": 64, "kv_cache_tokens": 494558, "kv_token_bytes": 18432, "link_mbps": 550000.0, "handle_ttl_s": 5.0,
			}},
			map[string]any{"name": "ledger", "health_check_path": "/health", "connection_limit": 370},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": workspace, "api_keys": []string{apiKey}}},
	}, store.NoLease)
}

// node is one gateway process.
type node struct {
	name     string
	ip       string
	port     int
	settings string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// addNodes starts gateways and waits until all are ready.
func (d *deployment) addNodes(count int) error {
	for i := range count {
		d.nodes = append(d.nodes, &node{name: fmt.Sprintf("frontend-%d", i+1), ip: fmt.Sprintf("%s.%d", d.subnet, 10+i)})
	}
	if err := d.choosePorts(); err != nil {
		return err
	}
	for _, n := range d.nodes {
		if err := d.writeSettings(n); err != nil {
			return err
		}
		if err := d.start(n); err != nil {
			return err
		}
	}
	for _, n := range d.nodes {
		if err := n.awaitReady(startTimeout); err != nil {
			return err
		}
	}
	// All nodes read the list of nodes within a second of the last registration.
	time.Sleep(2500 * time.Millisecond)
	return nil
}

// choosePorts finds a range of ports that is free at the addresses of all nodes.
func (d *deployment) choosePorts() error {
	for first := 8100 + os.Getpid()%50*portsPerNode; first < 30000; first += portsPerNode {
		if d.portsFree(first) {
			for _, n := range d.nodes {
				n.port = first
			}
			return nil
		}
	}
	return errors.New("no free ports")
}

func (d *deployment) portsFree(first int) bool {
	for _, n := range d.nodes {
		for port := first; port < first+portsPerNode; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// writeSettings writes the settings file of a node as the template of the deploy file renders it.
func (d *deployment) writeSettings(n *node) error {
	at := func(offset int) string { return fmt.Sprintf("%s:%d", n.ip, n.port+offset) }
	raw, err := json.Marshal(map[string]any{
		"name": n.name, "ip_address": n.ip, "failure_domain": "keflavik",
		"listen": map[string]any{"callers": at(0), "readiness": at(1), "peers": at(2)},
		"ports":  []int{n.port + 3, n.port + portsPerNode - 1},
		"seeds":  []string{fmt.Sprintf("%s:%d", d.nodes[0].ip, n.port+2)},
		"limits": map[string]any{"cpu_share": 0.4, "memory_mb": memoryMB},
		"log":    map[string]any{"verbose": false, "lines_per_s": 200},
		"bounds": map[string]any{
			"drain_ms": 2000, "config_ms": 2000, "revocation_ms": 5000, "grace_period_s": 8, "lease_ms": 3000, "retry_ratio": 0.2, "retry_extra": 56,
			"usage_window_s": 5, "usage_delay_s": 10, "fencing_enforced": true,
		},
		"store": map[string]any{"min_lease_ms": 1000, "address": d.address},
		"cloud": map[string]any{"address": d.address, "duties": []string{"usage_reporting"}},
	})
	if err != nil {
		return err
	}
	n.settings = filepath.Join(d.dir, n.name+".json")
	return os.WriteFile(n.settings, raw, 0o600)
}

// start starts the process of a node with the command of the deploy file.
func (d *deployment) start(n *node) error {
	out, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.binary, "gateway")
	cmd.Env = []string{"FIGWEIR_NODE_FILE=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	d.record.logf("%s started, process %d", n.name, cmd.Process.Pid)
	return nil
}

// pid returns the process id of a node.
func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

// signal sends a signal to the process of a node.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// kill ends the process of a node and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

func (n *node) callerAddress() string { return fmt.Sprintf("%s:%d", n.ip, n.port) }

// isReady asks for the readiness as the load balancer does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", n.ip, n.port+1))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (n *node) awaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", n.name, timeout)
}
