// Package service is a stand-in for a backend server of an application service. It
// counts how often it ran each call.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/figweir/figweir/standin/fault"
)

// HeaderIdempotencyKey is the HTTP header that identifies a call.
const HeaderIdempotencyKey = "Idempotency-Key"

// Faults selects the faults to inject. The zero value injects none.
type Faults struct {
	// LoseAnswers runs each call and closes the connection without an answer.
	LoseAnswers bool `json:"lose_answers,omitempty"`
	// DelayMillis delays each answer after the call has run, in milliseconds.
	DelayMillis int `json:"delay_ms,omitempty"`
	// Refuse answers with status 503 without running the call.
	Refuse bool `json:"refuse,omitempty"`
}

// Answer is the JSON body of an answer. It repeats the call as the server received
// it.
type Answer struct {
	Server string `json:"server"`
	// Run is the number of times that calls with this idempotency key have run,
	// including this one.
	Run    int    `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body,omitempty"`
}

// Runs counts how often calls ran, by idempotency key. The servers of a pool share
// it. It is safe for concurrent use.
type Runs struct {
	mu    sync.Mutex
	byKey map[string]int
}

// NewRuns returns a Runs without any calls.
func NewRuns() *Runs { return &Runs{byKey: make(map[string]int)} }

func (r *Runs) add(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byKey[key]++
	return r.byKey[key]
}

// Count returns the number of times that the call with the given key ran.
func (r *Runs) Count(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byKey[key]
}

// Server is a stand-in backend server. It is safe for concurrent use.
type Server struct {
	name string
	runs *Runs
	// OnRequest, if not nil, is called with every request and its body. It must be
	// set before the first request.
	OnRequest func(r *http.Request, body []byte)

	mu     sync.Mutex
	faults Faults
}

// New returns a server that counts its calls in runs.
func New(name string, runs *Runs) *Server { return &Server{name: name, runs: runs} }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Handler returns the HTTP handler of the service and of the interface for faults.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+fault.Path, fault.Handler(s.SetFaults))
	mux.HandleFunc("/", s.handleCall)
	return mux
}

// handleCall runs a call and answers with a description of it.
func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	const maxBodyBytes = 8 << 20
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if s.OnRequest != nil {
		s.OnRequest(r, raw)
	}
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Refuse {
		http.Error(w, "service takes no calls now", http.StatusServiceUnavailable)
		return
	}
	answer := Answer{Server: s.name, Method: r.Method, Path: r.URL.RequestURI(), Body: string(raw)}
	answer.Run = s.runs.add(r.Header.Get(HeaderIdempotencyKey))
	if f.DelayMillis > 0 {
		time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	}
	if f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
