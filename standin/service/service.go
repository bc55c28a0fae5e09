// Package service is a small stand-in for a plain application service. It
// counts how often each call ran.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/figweir/figweir/standin/fault"
)

// HeaderIdempotencyKey names the header that identifies a call.
const HeaderIdempotencyKey = "Idempotency-Key"

// Faults says how the service misbehaves. The zero value is a healthy service.
type Faults struct {
	// LoseAnswers runs each call and then closes the connection.
	LoseAnswers bool `json:"lose_answers,omitempty"`
	// DelayMillis delays each answer after the call has run.
	DelayMillis int `json:"delay_ms,omitempty"`
	// Refuse answers with status 503 without running the call.
	Refuse bool `json:"refuse,omitempty"`
}

// Answer is the JSON body of an answer.
type Answer struct {
	Server string `json:"server"`
	// Run is how often a call with this idempotency key has run.
	Run    int    `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body,omitempty"`
}

// Runs counts the runs of calls by idempotency key. Servers of one pool share it.
type Runs struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewRuns returns an empty count.
func NewRuns() *Runs { return &Runs{runs: make(map[string]int)} }

func (c *Runs) add(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[key]++
	return c.runs[key]
}

// Of returns how often the call with the key ran.
func (c *Runs) Of(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[key]
}

// Server is one server of a service.
type Server struct {
	name string
	runs *Runs
	// OnRequest, if set, sees every request with its body.
	OnRequest func(r *http.Request, body []byte)

	mu     sync.Mutex
	faults Faults
}

// New returns a server that adds its runs to runs.
func New(name string, runs *Runs) *Server { return &Server{name: name, runs: runs} }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+fault.Path, fault.Handler(s.SetFaults))
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
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
