package caller_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/caller"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/metrics"
	"github.com/figweir/figweir/quarantine"
	"github.com/figweir/figweir/service"
	standin "github.com/figweir/figweir/standin/engine"
)

// fakeDependencies implements the interfaces that the handler uses.
type fakeDependencies struct {
	address  string            // address of every engine
	refusing atomic.Bool       // Check returns an error
	recorded *service.Response // result of Claim
	calls    atomic.Int64      // calls counted as usage
	// maxAttempts is the handler's MaxAttempts; 0 means 1.
	maxAttempts int
	// engineNames are the engines to pick from; if empty, there is one. picked are
	// those that were picked, in order.
	engineNames, picked []string
	// onRefresh, if not nil, is called by RefreshLoads.
	onRefresh func()
}

func (f *fakeDependencies) RefreshLoads(context.Context) {
	if f.onRefresh != nil {
		f.onRefresh()
	}
}

func (f *fakeDependencies) Pick(_ *config.Pool, info caller.RequestInfo) (caller.Target, error) {
	name := "e"
	if len(f.engineNames) > 0 {
		i := slices.IndexFunc(f.engineNames, func(n string) bool { return !slices.Contains(info.Exclude, n) })
		if i < 0 {
			return caller.Target{}, apierr.New(apierr.Unavailable, "no engine is left", apierr.NotRun())
		}
		name = f.engineNames[i]
	}
	f.picked = append(f.picked, name)
	return caller.Target{Name: name, Address: f.address, Release: func() {}, TokensReceived: func(int) {}}, nil
}
func (f *fakeDependencies) Admit(context.Context, caller.RequestInfo) (caller.Admission, error) {
	return f, nil
}
func (f *fakeDependencies) Retry(string) bool          { return true }
func (f *fakeDependencies) FirstToken()                {}
func (f *fakeDependencies) Done(int, int)              {}
func (f *fakeDependencies) Observe(caller.Observation) {}
func (f *fakeDependencies) Count(_ context.Context, _ string, calls, _, _ int) {
	f.calls.Add(int64(calls))
}
func (f *fakeDependencies) Claim(context.Context, caller.ClaimedCall) (caller.Claim, *service.Response, error) {
	return nil, f.recorded, nil
}
func (f *fakeDependencies) Check() error {
	if f.refusing.Load() {
		return apierr.New(apierr.Unavailable, "cut off", apierr.NotRun())
	}
	return nil
}

// newHandler returns a handler with one workspace and the workspace's key.
func newHandler(t *testing.T, f *fakeDependencies, grace time.Duration) (*caller.Handler, string) {
	t.Helper()
	key, record := config.NewKey("a-1", []byte("secret"))
	snapshot, err := config.NewSnapshot(&config.Document{
		Objectives: config.Objectives{FirstTokenSeconds: 1, BetweenTokensSeconds: 1, TargetRatio: 0.9},
		Pools:      []config.Pool{{Name: "p", Kind: config.KindEngine, Models: []string{"m"}, KVBlocks: 1, KVBlockTokens: 1}, {Name: "s", Kind: config.KindService}},
		Services:   []config.Service{{Name: "ledger", Pool: "s", TimeoutSeconds: 5}},
		Workspaces: []config.Workspace{{Name: "a", Weight: 1, Keys: []config.Key{record}}},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	current := config.NewCurrentSnapshot()
	current.StoreIfNewer(snapshot)
	return caller.New(caller.Dependencies{
		Config: current, KeySecret: []byte("secret"), Engines: engine.NewClient(), Services: service.NewClient(),
		Router: f, Admitter: f, Claimer: f, Meter: f, Observer: f, Gate: f, Metrics: metrics.New(), Quarantine: quarantine.NewTracker(1), Log: logr.Discard(),
	}, caller.Options{
		MaxBodyBytes: 1 << 20, BodyTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second,
		RequestTimeout: time.Minute, MaxAttempts: max(1, f.maxAttempts), RefusingGrace: grace,
	}), key
}

// TestStreamEndsWhenTheNodeIsCutOff guards against a stream that continues
// indefinitely on a node that can't check whether the key was withdrawn, and against a
// stream that is interrupted by a short partition of the node.
func TestStreamEndsWhenTheNodeIsCutOff(t *testing.T) {
	is := is.New(t)
	settings := standin.DefaultSettings("e")
	settings.TokenMillis = 1
	server := httptest.NewServer(standin.New(settings).Handler())
	defer server.Close()
	f := &fakeDependencies{address: server.Listener.Addr().String()}
	for _, test := range []struct {
		grace    time.Duration
		complete bool
	}{{20 * time.Millisecond, false}, {time.Hour, true}} {
		f.refusing.Store(false)
		h, key := newHandler(t, f, test.grace)
		body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, 200)
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+key)
		w := &cuttingRecorder{ResponseRecorder: httptest.NewRecorder(), fakes: f}
		h.ServeHTTP(w, r)
		text := w.Body.String()
		is.Equal(strings.Contains(text, "[DONE]"), test.complete)
		is.Equal(strings.Contains(text, string(apierr.Unavailable)), !test.complete) // an explicit error
	}
}

// cuttingRecorder makes the gate refuse requests once the first chunk is sent.
type cuttingRecorder struct {
	*httptest.ResponseRecorder
	fakes *fakeDependencies
}

func (r *cuttingRecorder) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte("t0-")) {
		r.fakes.refusing.Store(true)
	}
	return r.ResponseRecorder.Write(p)
}

// TestCanceledRequestIsNotReportedAsNotRun guards against reporting "not run" for
// a request that an engine received before its caller disconnected.
func TestCanceledRequestIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	}))
	defer server.Close()
	f := &fakeDependencies{address: server.Listener.Addr().String()}
	h, key := newHandler(t, f, time.Second)
	body := `{"model":"m","messages":[{"role":"user","content":"x"}]}`
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	is.True(strings.Contains(w.Body.String(), `"not_run":false`))
}

// TestRecordedAnswerIsNotCounted guards against counting usage for a repeat that
// is answered with the recorded answer.
func TestRecordedAnswerIsNotCounted(t *testing.T) {
	is := is.New(t)
	f := &fakeDependencies{recorded: &service.Response{Status: http.StatusOK, Body: []byte("before")}}
	h, key := newHandler(t, f, time.Second)
	r := httptest.NewRequest(http.MethodPost, "/services/ledger/results", strings.NewReader("{}"))
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set(caller.HeaderIdempotencyKey, "k")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	is.Equal(w.Body.String(), "before")
	is.Equal(f.calls.Load(), int64(0))
}

// TestRefusedRequestWaitsForNewLoadReports guards against a request that uses up
// all its attempts within a millisecond on engines that change their roles at the
// same time. Each further attempt must use load reports that were read after the
// refusal. Engines that were not tried are picked first, then one that refused
// earlier.
func TestRefusedRequestWaitsForNewLoadReports(t *testing.T) {
	is := is.New(t)
	e := standin.New(standin.DefaultSettings("e"))
	e.SetFaults(standin.Faults{RefuseStreams: true})
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	f := &fakeDependencies{address: server.Listener.Addr().String(), engineNames: []string{"a", "b"}, maxAttempts: 3}
	refreshes := 0
	f.onRefresh = func() {
		if refreshes++; refreshes == 2 {
			e.SetFaults(standin.Faults{})
		}
	}
	h, key := newHandler(t, f, time.Second)
	body := `{"model":"m","max_tokens":2,"messages":[{"role":"user","content":"x"}]}`
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusOK)
	is.Equal(refreshes, 2) // one after each refusal
	is.Equal(f.picked, []string{"a", "b", "a"})
}

// TestRefusalWithoutStatementIsNotReportedAsNotRun guards against telling callers "not run" because
// an engine answered with a status that engines also use for refusals: it may have run the request
// and then failed.
func TestRefusalWithoutStatementIsNotReportedAsNotRun(t *testing.T) {
	for _, status := range []int{400, 404, 408, 409, 413, 421, 422, 425, 429, 499, 500, 502, 503, 504} {
		for _, states := range []bool{false, true} {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if states {
					w.Header().Set("X-Not-Run", "1")
				}
				w.WriteHeader(status)
			}))
			f := &fakeDependencies{address: server.Listener.Addr().String()}
			h, key := newHandler(t, f, time.Second)
			body := `{"model":"m","messages":[{"role":"user","content":"x"}]}`
			r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
			r.Header.Set("Authorization", "Bearer "+key)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			server.Close()
			is.Equal(strings.Contains(w.Body.String(), `"not_run":true`), states)
		}
	}
}
