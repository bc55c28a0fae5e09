package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployments, as the platform's sheets state them.
const (
	contact   = 3 * time.Second
	heartbeat = 1200 * time.Millisecond
	drainMS   = 2000
)

// deployment is a small deployment on loopback addresses: a store, the platform's interface,
// servers, and gateway processes.
type deployment struct {
	rec     *record
	dir     string
	subnet  string
	ports   int
	store   *kvStore
	storeAt string
	cloudAt string
	// storeFor holds the address of the store as each node sees it, if that is a proxy.
	storeFor []string
	gateways []*gatewayProcess
}

// gatewayProcess is one process of the project, started with the command of the deploy file.
type gatewayProcess struct {
	name, ip, settings string
	callers, ready     string

	mu        sync.Mutex
	cmd       *exec.Cmd
	startedAt []time.Time
	exited    chan struct{}
}

func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, subnet: fmt.Sprintf("127.%d.%d", 64+os.Getpid()%120, 1+os.Getpid()/120%250), store: newStore()}
	if d.storeAt, err = serve(d.subnet+".2:0", d.store); err != nil {
		return nil, err
	}
	// The platform accepts usage reports and orders; no case depends on them.
	d.cloudAt, err = serve(d.subnet+".3:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	if err != nil {
		return nil, err
	}
	d.ports = freePorts(d.subnet + ".10")
	return d, nil
}

// serve starts an HTTP server and returns its address.
func serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// freePorts returns the first of 24 ports that are free at an address.
func freePorts(ip string) int {
	for base := 21000; base < 60000; base += 100 {
		free := true
		for p := base; p < base+24 && free; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				free = false
				continue
			}
			_ = l.Close()
		}
		if free {
			return base
		}
	}
	return 21000
}

// addGateway writes the settings of a node, as the template of the deploy file renders them, and
// starts its process.
func (d *deployment) addGateway(zone string) error {
	i := len(d.gateways)
	g := &gatewayProcess{name: fmt.Sprintf("frontend-%s-%d", zone, i+1), ip: fmt.Sprintf("%s.%d", d.subnet, 10+i)}
	g.callers, g.ready = fmt.Sprintf("%s:%d", g.ip, d.ports), fmt.Sprintf("%s:%d", g.ip, d.ports+1)
	storeAt := d.storeAt
	if i < len(d.storeFor) {
		storeAt = d.storeFor[i]
	}
	settings := map[string]any{
		"name": g.name, "ip_address": g.ip, "failure_domain": zone,
		"listen": map[string]any{"callers": g.callers, "readiness": g.ready, "peers": fmt.Sprintf("%s:%d", g.ip, d.ports+2)},
		"ports":  []int{d.ports + 4, d.ports + 19},
		"seeds":  []string{fmt.Sprintf("%s.10:%d", d.subnet, d.ports+2)},
		"limits": map[string]any{"cpu_share": 0.4, "memory_mb": 284},
		"log":    map[string]any{"verbose": false, "lines_per_s": 200},
		"bounds": map[string]any{
			"drain_ms": drainMS, "config_ms": 2000, "revocation_ms": 5000, "grace_period_s": 8, "lease_ms": 3000, "retry_ratio": 0.2,
			"retry_extra": 56, "usage_window_s": 5, "usage_delay_s": 10, "fencing_enforced": true,
		},
		"store": map[string]any{"min_lease_ms": 1000, "address": storeAt},
		"cloud": map[string]any{"address": d.cloudAt, "duties": []string{"usage_reporting"}},
	}
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	g.settings = filepath.Join(d.dir, g.name+".json")
	if err := os.WriteFile(g.settings, raw, 0o600); err != nil {
		return err
	}
	d.gateways = append(d.gateways, g)
	return g.start(d)
}

func (g *gatewayProcess) start(d *deployment) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(d.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.cmd = exec.Command("target/figweir", "gateway")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIGWEIR_NODE_FILE=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.startedAt = append(g.startedAt, time.Now())
	g.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}(g.cmd, g.exited)
	d.rec.Addf("start %s", g.name)
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (g *gatewayProcess) kill() {
	g.mu.Lock()
	c, exited := g.cmd, g.exited
	g.mu.Unlock()
	if c == nil || c.Process == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGKILL)
	<-exited
}

// inTouch reports whether the process had run for the contact time at a moment.
func (g *gatewayProcess) inTouch(at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, started := range g.startedAt {
		if started.Before(at) && at.Sub(started) < contact {
			return false
		}
	}
	return true
}

// awaitReady waits until all nodes are ready and serve the configuration.
func (d *deployment) awaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(timeout)
	for _, g := range d.gateways {
		for {
			resp, err := client.Get("http://" + g.ready + "/-/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return errors.New(g.name + " did not become ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (d *deployment) close() {
	for _, g := range d.gateways {
		g.kill()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are kept in", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// route is one route of the configuration.
type route struct {
	Name        string `json:"name"`
	Hostname    string `json:"hostname"`
	PathPrefix  string `json:"path_prefix"`
	RouteKind   string `json:"route_kind"`
	TimeoutMS   int    `json:"timeout_ms"`
	TargetMS    int    `json:"target_latency_ms"`
	GapTargetMS int    `json:"gap_target_ms,omitempty"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
	Public      bool   `json:"public"`
	Affinity    bool   `json:"session_affinity"`
	Resumable   bool   `json:"resumable"`
}

// Host and key of all requests.
const (
	host   = "ficu95.example"
	apiKey = "3fexd9dnn2ctnfzs989a"
	tenant = "hule930"
)

// configure writes the operator's configuration. engine adds the properties of an engine service.
func (d *deployment) configure(service string, engine bool, routes ...route) {
	s := map[string]any{"name": service, "health_check_path": "/health", "connection_limit": 370, "protocol": "h1", "tls": false}
	if engine {
		s["engine"] = map[string]any{
			"slots": 64, "kv_cache_tokens": 494558, "kv_token_bytes": 18432, "link_mbps": 550000.0, "migrations": false, "backups": false,
			"handle_ttl_s": 5.0, "role_switch_s": 3.0, "models": []any{map[string]any{"name": "m"}},
		}
	}
	config := map[string]any{
		"version": 7, "routes": routes, "services": []any{s},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}, "priority": 1}},
	}
	raw, _ := json.Marshal(config)
	d.store.Put("op/config", raw)
}

// startGateways starts n nodes and waits until they are ready and know each other.
func (d *deployment) startGateways(n int) error {
	for range n {
		if err := d.addGateway("z1"); err != nil {
			return err
		}
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(contact)
	return nil
}

// killAll kills all nodes at the same moment and starts them again after a while.
func (d *deployment) killAll(down time.Duration) error {
	d.rec.Say("all processes are killed")
	for _, g := range d.gateways {
		g.signal(syscall.SIGKILL)
	}
	for _, g := range d.gateways {
		g.kill()
	}
	time.Sleep(down)
	for _, g := range d.gateways {
		if err := g.start(d); err != nil {
			return err
		}
	}
	d.rec.Say("all processes are started again")
	return nil
}

// signal sends a signal to the process.
func (g *gatewayProcess) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil && g.cmd.Process != nil {
		_ = g.cmd.Process.Signal(s)
	}
}
