//go:build review

package harness3

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Names of the deployment.
const (
	Host      = "clubs.example"
	Key       = "review-key-0001"
	Workspace = "club0001"
	// The path prefixes of the routes.
	UnsafePath = "/result/"
	SafePath   = "/standing/"
	StreamPath = "/pairing/"
	// The services.
	Ledger = "ledger"
	Models = "models"
)

// Config returns a configuration like that of a small deployment: an unsafe, a safe and a streaming route.
func Config(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeoutMillis, targetMillis, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": Host, "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeoutMillis, "target_latency_ms": targetMillis,
			"priority": 1, "service": service, "max_attempts": attempts, "public": false, "resumable": false,
		}
	}
	stream := route("pairing", StreamPath, "streaming", Models, 8000, 800, 1)
	stream["session_affinity"], stream["gap_target_ms"] = true, 250
	return map[string]any{
		"version": version,
		"routes": []any{
			route("result", UnsafePath, "unsafe", Ledger, 8000, 150, 1), route("standing", SafePath, "safe", Ledger, 8000, 150, 2), stream,
		},
		"services": []any{
			map[string]any{"name": Ledger, "health_check_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": Models, "health_check_path": "/health", "connection_limit": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_cache_tokens": 494558, "kv_token_bytes": 18432, "link_mbps": 550000.0, "migrations": true, "backups": true,
				"handle_ttl_s": 5.0, "role_switch_s": 3.0, "models": []any{map[string]any{"name": "m"}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": Workspace, "api_keys": []string{Key}, "priority": 1}},
	}
}

// Run is a request that a server has run.
type Run struct {
	Attempt, Server, Method, Path, Workspace string
	At                                       time.Time
}

// Runs collects what servers have run.
type Runs struct {
	// OnlyCount is set if the runs are counted and not kept.
	OnlyCount bool

	mu    sync.Mutex
	list  []Run
	count int
}

// add adds a run.
func (r *Runs) add(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	if !r.OnlyCount {
		r.list = append(r.list, run)
	}
}

// Of returns the runs of an attempt.
func (r *Runs) Of(attempt string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Run
	for _, run := range r.list {
		if run.Attempt == attempt {
			list = append(list, run)
		}
	}
	return list
}

// Count returns the number of runs.
func (r *Runs) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Seal returns the signature of a server's answer.
func Seal(attempt string, status int) string {
	return fmt.Sprintf("%x", xxhash.Sum64String(fmt.Sprint(attempt, " ", status)))
}

// Body returns the body of a server's answer.
func Body(attempt string) string { return "answer to " + Seal(attempt, http.StatusOK) + "\n" }

// Work is what a server does for a request. The zero value stands for no work.
type Work struct {
	// Events is the number of events of a stream, at least 3, and Pause the time before each of them.
	Events int
	Pause  time.Duration
}

// minEvents is the least number of events of a stream.
const minEvents = 3

// StartServer starts a sound server of a service and registers it. Its runs are added to runs.
func (w *World) StartServer(id, service string, runs *Runs, work Work) (address string) {
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		h := rw.Header()
		h.Set("Instance-Id", id)
		if r.URL.Path == "/health" {
			return
		}
		attempt := r.Header.Get("Attempt-Id")
		h.Set("Attempt-Id", attempt)
		if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if attempt == "" {
			h.Set("Not-Executed", "1")
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		runs.add(Run{attempt, id, r.Method, r.RequestURI, r.Header.Get("Tenant-Name"), time.Now()})
		h.Set("Response-Seal", Seal(attempt, http.StatusOK))
		if service != Models {
			_, _ = rw.Write([]byte(Body(attempt)))
			return
		}
		h.Set("Content-Type", "text/event-stream")
		for n := 1; n <= max(minEvents, work.Events); n++ {
			if work.Pause > 0 {
				time.Sleep(work.Pause)
			}
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", n, Seal(attempt, http.StatusOK), n)
			if work.Pause > 0 {
				_ = http.NewResponseController(rw).Flush()
			}
		}
	})
	address = w.Serve(handler)
	w.Register(id, service, address, "ready")
	return address
}

// Register writes the registration of a server.
func (w *World) Register(id, service, address, state string) {
	registration := map[string]any{
		"service": service, "address": address, "zone": "z1", "version": "v1", "slots": 64, "state": state, "cold_remaining_ms": 0, "sequence": 0,
		"born": w.start.UnixMilli(),
	}
	if service == Models {
		registration["stage"], registration["models"] = "decode", []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	w.Put("servers/"+id, registration)
}

// Head returns the head of a client's request with the given further lines.
func Head(method, path, attempt string, deadline time.Duration, lines ...string) string {
	all := append([]string{
		method + " " + path + " HTTP/1.1", "Host: " + Host, "Attempt-Id: " + attempt, fmt.Sprintf("Deadline-Ms: %d", deadline.Milliseconds()),
		"Api-Key: " + Key,
	}, lines...)
	return strings.Join(all, "\r\n") + "\r\n\r\n"
}
