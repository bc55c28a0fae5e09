package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/matryer/is"

	"github.com/figweir/figweir/platform/backendsim"
	"github.com/figweir/figweir/platform/kvserver"
	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

// gatewayAddress is the loopback address of the node, another one in each run of the tests.
var gatewayAddress = fmt.Sprintf("127.%d.77.1", 200+os.Getpid()%50)

const (
	gatewayGrace = 3 * time.Second
	// gatewayWorkTime is how long a backend server works on one request.
	gatewayWorkTime = gatewayGrace / 5
	callerKey       = "key-a"
)

// startGateway starts a node of the users' platform as a process, with one backend server that
// calls onRun, and waits until it is ready.
func startGateway(t *testing.T, onRun func(backendsim.Run)) *process {
	is := is.New(t)
	server, err := backendsim.StartProcess(backendsim.Options{ID: "p0", Slots: 100, WorkTime: gatewayWorkTime, OnRun: onRun}, "127.0.0.1")
	is.NoErr(err)
	t.Cleanup(server.Close)
	return startGatewayWith(t, gatewayOptions{memoryMB: 200, servers: []gatewayServer{{"p0", "plain", server.Address()}}})
}

// gatewayServer is a backend server that is registered with the gateway.
type gatewayServer struct{ id, service, address string }

// gatewayOptions are the options of startGatewayWith.
type gatewayOptions struct {
	memoryMB int
	servers  []gatewayServer
	// wrapStore, if set, changes what the store answers.
	wrapStore func(http.Handler) http.Handler
}

// startGatewayWith starts a node and waits until it is ready.
func startGatewayWith(t *testing.T, o gatewayOptions) *process {
	is := is.New(t)
	st := memstore.New()
	router := chi.NewRouter()
	kvserver.Register(router, st)
	handler := http.Handler(router)
	if o.wrapStore != nil {
		handler = o.wrapStore(handler)
	}
	platform := httptest.NewServer(handler)
	t.Cleanup(platform.Close)
	put := func(key string, raw []byte, err error) {
		is.NoErr(err)
		_, err = st.Put(t.Context(), key, raw, 0, store.NoLease)
		is.NoErr(err)
	}
	raw, err := backendsim.Config(1, map[string]string{"a": callerKey})
	put(backendsim.ConfigKey, raw, err)
	for _, s := range o.servers {
		raw, err = backendsim.Registration(s.service, s.address, "", false)
		put(backendsim.ServersPrefix+s.id, raw, err)
	}
	raw, err = json.Marshal(map[string]any{
		"name": "n0", "ip_address": gatewayAddress, "failure_domain": "z",
		"listen": map[string]any{"callers": gatewayAddress + ":8100", "readiness": gatewayAddress + ":8101", "peers": gatewayAddress + ":8102"},
		"ports":  []int{8110, 8119}, "limits": map[string]any{"memory_mb": o.memoryMB},
		"bounds": map[string]any{"grace_period_s": gatewayGrace.Seconds(), "retry_ratio": 0.2, "retry_extra": 50.0},
		"store":  map[string]any{"address": platform.Listener.Addr().String()},
	})
	is.NoErr(err)
	file := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(file, raw, 0o600))
	p := startProcess(t, "gateway", "gateway", "--settings", file)
	eventually(t, "the gateway is ready", func() error {
		resp, err := http.Get("http://" + gatewayAddress + ":8101/-/readiness")
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return nil
	})
	return p
}

// slowBody delays the end of a request's body.
type slowBody struct {
	io.Reader
	until time.Time
}

func (b *slowBody) Read(p []byte) (int, error) {
	if time.Now().Before(b.until) {
		if len(p) > 1 {
			p = p[:1]
		}
		time.Sleep(min(time.Until(b.until), 20*time.Millisecond))
	}
	return b.Reader.Read(p)
}

// TestPlannedStopOfGatewayCutsNoRequest guards against requests that a stopping node takes late in
// its grace period, passes on, and cuts without an answer at its end, and against answers that
// say "not run" of requests that ran. The load: in each tenth of the grace period a request that may
// not be repeated on a new connection, one on a connection that has been open since before the stop,
// and one whose body began to arrive before the stop and ends then.
func TestPlannedStopOfGatewayCutsNoRequest(t *testing.T) {
	is := is.New(t)
	var runs sync.Map
	p := startGateway(t, func(r backendsim.Run) { runs.Store(r.Attempt, true) })
	send := func(client *http.Client, id string, body io.Reader, length int64) (status int) {
		r, err := http.NewRequest(http.MethodPost, "http://"+gatewayAddress+":8100/unsafe/x", body)
		if err != nil {
			t.Error(err)
			return 0
		}
		r.Host, r.ContentLength = backendsim.Host, length
		backendsim.SetCallerHeaders(r.Header, id, callerKey, 4*time.Second)
		resp, err := client.Do(r)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return 0
		}
		return resp.StatusCode
	}
	const tenths, bodyBytes = 10, 400
	var kept [tenths]*http.Client
	for i := range kept {
		kept[i] = &http.Client{Transport: &http.Transport{}}
		is.Equal(send(kept[i], fmt.Sprintf("open-%d", i), nil, 0), http.StatusOK)
	}
	begin := time.Now()
	var results sync.Map
	var wg sync.WaitGroup
	start := func(id string, after time.Duration, do func() int) {
		wg.Go(func() {
			time.Sleep(time.Until(begin.Add(after)))
			results.Store(id, do())
		})
	}
	for i := range tenths {
		at := time.Duration(i) * gatewayGrace / tenths
		start(fmt.Sprintf("new-%d", i), at, func() int {
			return send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, fmt.Sprintf("new-%d", i), nil, 0)
		})
		start(fmt.Sprintf("kept-%d", i), at, func() int { return send(kept[i], fmt.Sprintf("kept-%d", i), nil, 0) })
		start(fmt.Sprintf("slow-%d", i), 0, func() int {
			body := &slowBody{bytes.NewReader(make([]byte, bodyBytes)), begin.Add(at)}
			return send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, fmt.Sprintf("slow-%d", i), body, bodyBytes)
		})
	}
	p.signal(t, syscall.SIGTERM)
	wg.Wait()
	is.Equal(p.waitForExit(t), 0)
	served := 0
	results.Range(func(id, status any) bool {
		_, ran := runs.Load(id)
		t.Logf("%v: status %v, ran %v", id, status, ran)
		if ran && status == 0 {
			t.Errorf("%v ran and got no answer", id)
		}
		if ran && status == http.StatusServiceUnavailable {
			t.Errorf("%v ran and was answered as not run", id)
		}
		if status == http.StatusOK {
			served++
		}
		return true
	})
	is.True(served > 0)
}
