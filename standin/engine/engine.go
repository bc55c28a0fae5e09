// Package engine is a stand-in for a model engine in tests and demos. It implements
// streams that can be resumed and canceled, load reports, cache events, orders and
// injected faults.
package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/figweir/figweir/config"
	client "github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/standin/fault"
)

// Settings holds the speed and the limits of the stand-in. They are not measured on
// any real engine.
type Settings struct {
	Name string `json:"name"`
	// Slots is the number of streams that run at the same time. More are queued.
	Slots int `json:"slots"`
	// TokenMillis is the time between two tokens of a stream in milliseconds.
	TokenMillis int `json:"token_ms"`
	// PrefillTokensPerSecond is the number of prompt tokens processed per
	// second. 0 means no delay.
	PrefillTokensPerSecond int `json:"prefill_tokens_per_s"`
	KVBlocks               int `json:"kv_blocks"`
	KVBlockTokens          int `json:"kv_block_tokens"`
	// ReportLagMillis is the age of load reports when they are returned, in
	// milliseconds.
	ReportLagMillis int `json:"report_lag_ms"`
	// RoleChangeMillis is how long the engine refuses streams during a role
	// change, in milliseconds.
	RoleChangeMillis int `json:"role_change_ms"`
	// ChecksFencing makes the engine refuse orders with a lower fencing token
	// than the highest that it has accepted.
	ChecksFencing bool `json:"checks_fencing"`
}

// DefaultSettings returns settings that are fast enough for tests.
func DefaultSettings(name string) Settings {
	return Settings{
		Name: name, Slots: 32, TokenMillis: 2, PrefillTokensPerSecond: 100_000,
		KVBlocks: 4000, KVBlockTokens: 16, RoleChangeMillis: 200,
	}
}

// Faults selects the faults to inject. The zero value injects none.
type Faults struct {
	// CrossEvery sends a chunk with the ID of another attempt before every nth
	// chunk.
	CrossEvery int `json:"cross_every,omitempty"`
	// RepeatEvery sends every nth chunk twice.
	RepeatEvery int `json:"repeat_every,omitempty"`
	// TruncateAfter closes each connection after this number of chunks. The
	// stream can be resumed.
	TruncateAfter int `json:"truncate_after,omitempty"`
	// ForgetAfter closes the connection after this number of chunks and removes
	// the stream, so that it can't be resumed, like a crash.
	ForgetAfter int `json:"forget_after,omitempty"`
	// LagMillis delays each chunk, in milliseconds.
	LagMillis int `json:"lag_ms,omitempty"`
	// RefuseStreams answers new streams with status 503.
	RefuseStreams bool `json:"refuse_streams,omitempty"`
	// FailReports answers requests for load reports with status 500.
	FailReports bool `json:"fail_reports,omitempty"`
	// DropCacheEvents omits every nth cache event.
	DropCacheEvents int `json:"drop_cache_events,omitempty"`
}

// Server is a stand-in engine. It is safe for concurrent use.
type Server struct {
	// crashText and crash are set by SetCrash; mu must be held.
	crashText string
	crash     func()

	settings Settings
	// OnRequest, if not nil, is called with every request for a stream or a
	// prefill and its body. It must be set before the first request.
	OnRequest func(r *http.Request, body []byte)

	mu                  sync.Mutex
	faults              Faults
	streams             map[string]*stream
	running             int
	queued              int
	queuedPromptTokens  int
	usedKVBlocks        int
	role                config.Role
	changingRole        bool
	leaving             bool
	sequence            uint64
	reports             []timedReport
	orders              []client.Order
	highestFencingToken uint64
	slotFree            *sync.Cond
	attemptsByRequest   map[string]int
	cache               prefixCache
	// prefillCount counts the prompts accepted for other engines.
	prefillCount int
}

// timedReport is a load report with the time at which the figures were read.
type timedReport struct {
	takenAt time.Time
	load    client.LoadReport
}

// New returns a healthy engine with the mixed role.
func New(settings Settings) *Server {
	s := &Server{settings: settings, streams: make(map[string]*stream), role: config.RoleMixed, attemptsByRequest: make(map[string]int)}
	s.slotFree = sync.NewCond(&s.mu)
	return s
}

// SetCrash makes the engine crash whenever it begins to answer a request in which any message
// but the last contains the text: crash must close all connections. "" stops that.
func (s *Server) SetCrash(text string, crash func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashText, s.crash = text, crash
}

// crashesOn reports whether the engine crashes on a request, and how.
func (s *Server) crashesOn(req completionRequest) (crash func(), crashes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashText == "" || len(req.Messages) == 0 {
		return nil, false
	}
	for _, m := range req.Messages[:len(req.Messages)-1] {
		if strings.Contains(m.Content, s.crashText) {
			return s.crash, true
		}
	}
	return nil, false
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetLeaving sets whether the engine reports that it is leaving.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Orders returns the orders that were accepted, in order of arrival and without
// repetitions.
func (s *Server) Orders() []client.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]client.Order(nil), s.orders...)
}

// Running returns the number of streams that occupy a slot.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// AttemptsByRequest returns the number of attempts started for each request, by request ID.
func (s *Server) AttemptsByRequest() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.attemptsByRequest))
	for id, n := range s.attemptsByRequest {
		out[id] = n
	}
	return out
}

// Handler returns the HTTP handler of the engine protocol and of the interface for
// faults.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", s.handleStart)
	r.Get("/v1/streams/{attempt}", s.handleResume)
	r.Delete("/v1/streams/{attempt}", s.handleCancel)
	r.Get("/v1/load", s.handleLoad)
	r.Get("/v1/cache-events", s.handleCacheEvents)
	r.Post("/v1/prefill", s.handlePrefill)
	r.Post("/v1/orders", s.handleOrder)
	r.Put(fault.Path, fault.Handler(s.SetFaults))
	r.Put("/v1/leaving", func(w http.ResponseWriter, r *http.Request) {
		s.SetLeaving(r.URL.Query().Get("value") != "false")
		w.WriteHeader(http.StatusNoContent)
	})
	return r
}

// completionRequest holds the fields of a request body that the stand-in uses.
type completionRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Seed      int64     `json:"seed"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// readRequest reads and decodes the body of a request. If the body is not valid JSON,
// it answers with status 400 and returns false.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request) (req completionRequest, raw []byte, ok bool) {
	const maxBodyBytes = 16 << 20
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return req, nil, false
	}
	if s.OnRequest != nil {
		s.OnRequest(r, raw)
	}
	if err := json.Unmarshal(raw, &req); err != nil {
		w.Header().Set(client.HeaderNotRun, "1")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return req, nil, false
	}
	return req, raw, true
}

// handleStart starts a new stream, or answers with status 503 if the engine accepts
// none.
func (s *Server) handleStart(w http.ResponseWriter, r *http.Request) {
	req, raw, ok := s.readRequest(w, r)
	if !ok {
		return
	}
	attempt := r.Header.Get(client.HeaderAttemptID)
	st := newStream(s, attempt, req)
	st.prefillServer = r.Header.Get(client.HeaderPrefillServer)
	st.blocks = client.ParseBlocks(r.Header.Get(client.HeaderPrefixBlocks))
	st.body = raw
	s.mu.Lock()
	if s.faults.RefuseStreams || s.changingRole || s.role == config.RolePrefill {
		s.mu.Unlock()
		w.Header().Set(client.HeaderNotRun, "1")
		http.Error(w, "engine takes no streams now", http.StatusServiceUnavailable)
		return
	}
	s.streams[attempt] = st
	s.attemptsByRequest[r.Header.Get(client.HeaderRequestID)]++
	s.mu.Unlock()
	go st.generate()
	st.writeEvents(w, r, 0)
}

func (s *Server) handleResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.Header.Get(client.HeaderStreamOffset))
	if err != nil {
		http.Error(w, "malformed offset", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	st := s.streams[chi.URLParam(r, "attempt")]
	s.mu.Unlock()
	if st == nil {
		http.Error(w, "stream unknown", http.StatusNotFound)
		return
	}
	st.writeEvents(w, r, offset)
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	st := s.streams[chi.URLParam(r, "attempt")]
	s.mu.Unlock()
	if st != nil {
		st.stop()
	}
	w.WriteHeader(http.StatusNoContent)
}

// handleLoad answers with the newest report that is at least ReportLagMillis old, or
// with the oldest one if none is.
func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	if s.faults.FailReports {
		s.mu.Unlock()
		http.Error(w, "no load report", http.StatusInternalServerError)
		return
	}
	now := time.Now()
	s.sequence++
	s.reports = append(s.reports, timedReport{now, client.LoadReport{
		Role: s.role, Sequence: s.sequence, Running: s.running, Queued: s.queued,
		QueuedPrefillTokens: s.queuedPromptTokens, KVBlocksFree: s.settings.KVBlocks - s.usedKVBlocks,
		KVBlocksTotal: s.settings.KVBlocks, Leaving: s.leaving,
	}})
	lag := time.Duration(s.settings.ReportLagMillis) * time.Millisecond
	newest := 0
	for i := range s.reports {
		if now.Sub(s.reports[i].takenAt) >= lag {
			newest = i
		}
	}
	s.reports = s.reports[newest:]
	out := s.reports[0].load
	// The leaving notice is current, unlike the load figures.
	out.Leaving = s.leaving
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// handleOrder applies an order. It answers with status 409 if the fencing token is too
// old and the engine checks it. A repetition with the same ID has no effect.
func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order client.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.ChecksFencing && order.FencingToken < s.highestFencingToken {
		http.Error(w, "fencing token is too old", http.StatusConflict)
		return
	}
	s.highestFencingToken = max(s.highestFencingToken, order.FencingToken)
	for _, applied := range s.orders {
		if applied.ID == order.ID {
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
	s.orders = append(s.orders, order)
	if order.Kind == client.OrderRole && order.Role != s.role {
		s.role = order.Role
		s.changingRole = true
		time.AfterFunc(time.Duration(s.settings.RoleChangeMillis)*time.Millisecond, s.finishRoleChange)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) finishRoleChange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changingRole = false
}

// countTokens counts one token per word of the messages.
func countTokens(messages []message) int {
	n := 0
	for _, m := range messages {
		n += len(strings.Fields(m.Content))
	}
	return n
}
