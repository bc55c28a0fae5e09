//go:build review

// Package harness3 starts the programs of a case of the third review: gateways as separate
// processes with the command of the deploy file, and stand-ins of the platform and of backend
// servers in the process of the case. All addresses are loopback addresses.
package harness3

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/figweir/figweir/platform/kvserver"
	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	Unusable = 2
)

// host is the address of all stand-ins and gateways.
const host = "127.0.0.1"

// World holds what a case has started.
type World struct {
	// Trouble is false if the case runs without the disruption.
	Trouble bool

	dir     string
	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	start   time.Time
	closers []func()
	store   *memstore.Store
	address string
}

// Fatal is the panic value of an error because of which a case can't run.
type Fatal struct{ Err error }

// Check ends the case as unusable if err is not nil.
func Check(err error) {
	if err != nil {
		panic(Fatal{err})
	}
}

// Main runs a case and exits with its result. name is its folder in review.
func Main(name string, run func(w *World) int) {
	os.Exit(runCase(name, run))
}

func runCase(name string, run func(w *World) int) (code int) {
	w := &World{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if w.dir, err = os.MkdirTemp("", "figweir-review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return Unusable
	}
	defer os.RemoveAll(w.dir)
	if w.file, err = os.Create(filepath.Join("review", name, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return Unusable
	}
	w.record = bufio.NewWriter(w.file)
	defer func() {
		if r := recover(); r != nil {
			f, ok := r.(Fatal)
			if !ok {
				f.Err = fmt.Errorf("%v", r)
			}
			w.Logf("the case could not run: %v", f.Err)
			code = Unusable
		}
		for i := len(w.closers) - 1; i >= 0; i-- {
			w.closers[i]()
		}
		w.Logf("result: %d (0 held, 1 broken, 2 could not run), trouble %t", code, w.Trouble)
		w.mu.Lock()
		_ = w.record.Flush()
		_ = w.file.Close()
		w.mu.Unlock()
	}()
	return run(w)
}

// Logf writes a line to the record of the case and to standard output.
func (w *World) Logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(w.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.record.WriteString(line)
	fmt.Print(line)
}

// Recordf writes a line to the record only.
func (w *World) Recordf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(w.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.record.WriteString(line)
}

// OnClose adds a function that is called at the end of the case.
func (w *World) OnClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// StartStore starts the stand-in of the platform's store.
func (w *World) StartStore() *memstore.Store {
	w.store = memstore.New()
	router := chi.NewRouter()
	kvserver.Register(router, w.store)
	w.address = w.Serve(router)
	return w.store
}

// Put writes what the operator or a backend server writes to the store.
func (w *World) Put(key string, value any) {
	raw, err := json.Marshal(value)
	Check(err)
	old, err := w.store.Get(context.Background(), key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		Check(err)
	}
	_, err = w.store.Put(context.Background(), key, raw, old.Revision, store.NoLease)
	Check(err)
}

// Serve starts an HTTP server on a free port and returns its address.
func (w *World) Serve(h http.Handler) string {
	l := w.Listen()
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	w.OnClose(func() { _ = s.Close() })
	return l.Addr().String()
}

// Listen listens on a free port.
func (w *World) Listen() net.Listener {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	Check(err)
	w.OnClose(func() { _ = l.Close() })
	return l
}

// freePorts returns a port from which on count ports are free for TCP and UDP now. They lie below those
// that the kernel gives to connections.
func freePorts(count int) int {
	const lowest, highest, tries = 10000, 30000, 1000
	for range tries {
		first := lowest + rand.IntN(highest-lowest-count)
		if allFree(first, count) {
			return first
		}
	}
	panic(Fatal{errors.New("no free ports")})
}

// allFree reports whether ports can be listened on with TCP and UDP.
func allFree(first, count int) bool {
	for port := first; port < first+count; port++ {
		address := net.JoinHostPort(host, fmt.Sprint(port))
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = tcp.Close()
		udp, err := net.ListenPacket("udp4", address)
		if err != nil {
			return false
		}
		_ = udp.Close()
	}
	return true
}

// Gateway is a gateway process.
type Gateway struct {
	Callers, Readiness string

	name string
	file string
	log  *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// GatewayOptions are the settings in which gateways of cases differ.
type GatewayOptions struct {
	Name     string
	Zone     string
	MemoryMB int
	// Cloud is the address of the platform's interfaces for duties; empty if there is none.
	Cloud string
}

// The limits of a machine of the small deployments.
const (
	smallMemoryMB    = 284
	smallDescriptors = 4100
)

// StartGateway starts a gateway with the settings that the platform would render from the template of
// the deploy file for a small deployment, and waits until it is ready.
func (w *World) StartGateway(o GatewayOptions) *Gateway {
	if o.MemoryMB == 0 {
		o.MemoryMB = smallMemoryMB
	}
	const fixedPorts, peerPorts = 3, 16
	port := freePorts(fixedPorts + peerPorts)
	at := func(offset int) string { return net.JoinHostPort(host, fmt.Sprint(port+offset)) }
	settings := map[string]any{
		"name": o.Name, "ip_address": host, "failure_domain": o.Zone,
		"listen": map[string]any{"callers": at(0), "readiness": at(1), "peers": at(2)},
		"ports":  []int{port + fixedPorts, port + fixedPorts + peerPorts - 1},
		"seeds":  []string{at(2)},
		"limits": map[string]any{"cpu_share": 0.4, "file_descriptors": smallDescriptors, "memory_mb": o.MemoryMB},
		"log":    map[string]any{"verbose": false, "lines_per_s": 200},
		"bounds": map[string]any{
			"drain_ms": 2000, "config_ms": 2000, "revocation_ms": 5000, "grace_period_s": 8, "lease_ms": 3000, "retry_ratio": 0.2,
			"retry_extra": 56, "usage_window_s": 5, "usage_delay_s": 10, "fencing_enforced": true,
		},
		"store": map[string]any{"min_lease_ms": 1000, "address": w.address},
	}
	if o.Cloud != "" {
		settings["cloud"] = map[string]any{"address": o.Cloud, "duties": []string{"usage_reporting", "autoscaling"}}
	}
	raw, err := json.Marshal(settings)
	Check(err)
	g := &Gateway{Callers: at(0), Readiness: at(1), name: o.Name, file: filepath.Join(w.dir, o.Name+".json")}
	Check(os.WriteFile(g.file, raw, 0o600))
	g.log, err = os.Create(filepath.Join(w.dir, o.Name+".log"))
	Check(err)
	w.OnClose(func() {
		g.kill()
		_ = g.log.Close()
	})
	g.start()
	w.awaitReady(g)
	w.Logf("%s is ready, process %d, callers at %s, memory %d MB", o.Name, g.Pid(), g.Callers, o.MemoryMB)
	return g
}

// start starts the process with the command of the deploy file.
func (g *Gateway) start() {
	cmd, exited := exec.Command("target/figweir", "gateway"), make(chan struct{})
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "FIGWEIR_NODE_FILE=" + g.file}
	cmd.Stdout, cmd.Stderr = g.log, g.log
	Check(cmd.Start())
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	g.mu.Lock()
	g.cmd, g.exited = cmd, exited
	g.mu.Unlock()
}

// process returns the process and a channel that is closed when it has ended.
func (g *Gateway) process() (process *os.Process, exited chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cmd.Process, g.exited
}

// kill ends the process.
func (g *Gateway) kill() {
	process, exited := g.process()
	_ = process.Kill()
	<-exited
}

// Pid returns the process id.
func (g *Gateway) Pid() int {
	process, _ := g.process()
	return process.Pid
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s os.Signal) {
	process, _ := g.process()
	Check(process.Signal(s))
}

// Exited reports whether the process has ended.
func (g *Gateway) Exited() bool {
	_, exited := g.process()
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

// Log returns what the process has logged.
func (g *Gateway) Log() string {
	raw, err := os.ReadFile(g.log.Name())
	Check(err)
	return string(raw)
}

// MemoryMB returns the resident memory of the process now and its peak.
func (g *Gateway) MemoryMB() (now, peak int) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.Pid()))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(raw)) {
		var kilobytes int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); err == nil {
			now = kilobytes >> 10
		}
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			peak = kilobytes >> 10
		}
	}
	return now, peak
}

func (w *World) awaitReady(g *Gateway) {
	const patience = 20 * time.Second
	for begun := time.Now(); time.Since(begun) < patience; time.Sleep(20 * time.Millisecond) {
		if g.Exited() {
			panic(Fatal{fmt.Errorf("%s has ended: %s", g.name, g.Log())})
		}
		if g.IsReady() {
			return
		}
	}
	panic(Fatal{fmt.Errorf("%s is not ready: %s", g.name, g.Log())})
}

// IsReady reports whether the gateway states that it is ready.
func (g *Gateway) IsReady() bool {
	resp, err := http.Get("http://" + g.Readiness + "/-/readiness")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
