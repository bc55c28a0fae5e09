package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/matryer/is"

	"github.com/figweir/figweir/logging"
	"github.com/figweir/figweir/platform"
	"github.com/figweir/figweir/platform/backendsim"
	"github.com/figweir/figweir/platform/kvserver"
	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

// deployment is a set of nodes in front of engines, in one process over loopback.
type deployment struct {
	t *testing.T
	// store is the platform's store, which is served at storeAddress.
	store        *memstore.Store
	storeAddress string
	// subnet holds the first three numbers of the nodes' addresses.
	subnet string

	hosts    []string
	gateways []*Gateway
	engines  []*backendsim.Process
	runs     sync.Map
	sent     int
	// bounds are the bounds in the settings of the nodes.
	bounds map[string]any
	// ctx ends when the nodes are to stop; nodes counts the running ones.
	ctx    context.Context
	cancel context.CancelFunc
	nodes  sync.WaitGroup
}

// startDeployment starts the store, the engines and the nodes, and waits until the nodes are
// ready and know each other. The engines have the ids d0, d1 and so on.
func startDeployment(t *testing.T, nodes, engines int) *deployment {
	is := is.New(t)
	d := &deployment{t: t, bounds: map[string]any{"retry_ratio": 0.2, "retry_extra": 50.0}}
	d.subnet = fmt.Sprintf("127.%d.77", 10+os.Getpid()%80)
	st := memstore.New()
	r := chi.NewRouter()
	kvserver.Register(r, st)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	put := func(key string, raw []byte, err error) {
		is.NoErr(err)
		_, err = st.Put(context.Background(), key, raw, 0, store.NoLease)
		is.NoErr(err)
	}
	raw, err := backendsim.Config(1, map[string]string{"a": "key-a"})
	put(backendsim.ConfigKey, raw, err)
	for i := range engines {
		id := fmt.Sprintf("d%d", i)
		engine, err := backendsim.StartProcess(backendsim.Options{
			ID: id, Role: "decode", Slots: 8, WorkTime: time.Millisecond, Events: 3,
			OnRun: func(r backendsim.Run) { d.runs.Store(r.Attempt, true) },
		}, "127.0.0.1")
		is.NoErr(err)
		t.Cleanup(engine.Close)
		d.engines = append(d.engines, engine)
		raw, err := backendsim.Registration("models", engine.Address(), "decode", false)
		put(backendsim.ServersPrefix+id, raw, err)
	}
	t.Cleanup(d.stopNodes)
	d.store, d.storeAddress = st, l.Addr().String()
	d.startNodes(nodes)
	return d
}

// startNodes starts nodes and waits until they are ready and know each other.
func (d *deployment) startNodes(nodes int) {
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.hosts, d.gateways = nil, nil
	for i := range nodes {
		d.startNode(fmt.Sprintf("n%d", i), fmt.Sprintf("%s.%d", d.subnet, i+1), d.storeAddress)
	}
	for _, g := range d.gateways {
		for g.nodes.Count() < nodes {
			time.Sleep(time.Millisecond)
		}
	}
}

// stopNodes stops all nodes. What they know is lost.
func (d *deployment) stopNodes() {
	d.cancel()
	d.nodes.Wait()
}

// startNode starts a node and waits until it is ready.
func (d *deployment) startNode(name, ip, storeAddress string) {
	is := is.New(d.t)
	raw, err := json.Marshal(map[string]any{
		"name": name, "ip_address": ip, "failure_domain": "z",
		"listen": map[string]any{"callers": ip + ":8100", "readiness": ip + ":8101", "peers": ip + ":8102"},
		"ports":  []int{8110, 8119}, "limits": map[string]any{"memory_mb": 200},
		"bounds": d.bounds,
		"store":  map[string]any{"address": storeAddress},
	})
	is.NoErr(err)
	s, err := platform.ParseSettings(name, raw)
	is.NoErr(err)
	logWriter := logging.NewAsyncWriter(io.Discard)
	g := New("", s, logWriter)
	d.nodes.Go(func() {
		defer logWriter.Close()
		if err := g.Run(d.ctx); err != nil {
			d.t.Error(err)
		}
	})
	d.hosts = append(d.hosts, ip+":8100")
	d.gateways = append(d.gateways, g)
	for !g.ready.Load() {
		time.Sleep(time.Millisecond)
	}
}

// send sends a request with the given shared parts to a node. It returns the status and
// whether an engine ran the request.
func (d *deployment) send(node int, parts ...string) (status int, ran bool) {
	is := is.New(d.t)
	d.sent++
	id := fmt.Sprintf("%08x", d.sent)
	r, err := http.NewRequest(http.MethodPost, "http://"+d.hosts[node]+"/stream/x", http.NoBody)
	is.NoErr(err)
	r.Host = backendsim.Host
	backendsim.SetCallerHeaders(r.Header, id, "key-a", 3*time.Second)
	backendsim.SetPromptParts(r.Header, id, parts...)
	resp, err := http.DefaultTransport.RoundTrip(r)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	if err == nil {
		status = resp.StatusCode
	}
	_ = resp.Body.Close()
	_, ran = d.runs.Load(id)
	return status, ran
}
