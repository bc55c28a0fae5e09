package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in of one server. Its handler decides what it does with a request that it may
// run; the rest follows the platform's pages.
type server struct {
	d       *deployment
	id      string
	service string
	stage   string
	slots   int
	handle  func(s *server, w http.ResponseWriter, r *http.Request)
	running atomic.Int64
	slot    chan struct{}
	// cut is set while the server can't reach the store.
	cut atomic.Bool

	mu       sync.Mutex
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	sequence int
	up       bool
	draining bool
	lastBeat time.Time
	entry    string
}

// addServer starts a server and registers it.
func (d *deployment) addServer(i int, service, stage string, slots int, handle func(*server, http.ResponseWriter, *http.Request)) (*server, error) {
	s := &server{d: d, id: fmt.Sprintf("i-%s-%d", service, i), service: service, stage: stage, slots: slots, slot: make(chan struct{}, slots), handle: handle, address: fmt.Sprintf("%s.%d:0", d.subnet, 100+i), conns: map[net.Conn]bool{}}
	if err := s.start(); err != nil {
		return nil, err
	}
	go s.beat()
	return s, nil
}

// start begins to listen, at the same address as before.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.address, s.listener, s.born, s.sequence, s.up = l.Addr().String(), l, time.Now().UnixMilli(), 0, true
	s.mu.Unlock()
	h := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateClosed {
			delete(s.conns, c)
		} else if state != http.StateHijacked {
			s.conns[c] = true
		}
	}}
	go func() { _ = h.Serve(l) }()
	return nil
}

// crash ends the server as the end of its process does: all connections are reset and new ones are
// refused. It is back, as a new incarnation, after the given time.
func (s *server) crash(down time.Duration) {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	_ = s.listener.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	s.conns = map[net.Conn]bool{}
	s.mu.Unlock()
	s.d.rec.Addf("crash %s", s.id)
	time.AfterFunc(down, func() {
		if err := s.start(); err != nil {
			s.d.rec.Addf("start of %s failed: %s", s.id, err)
		}
	})
}

// beat keeps the entry in the store: it is removed after three heartbeat intervals of silence and
// written again when the server reaches the store.
func (s *server) beat() {
	for {
		s.mu.Lock()
		up := s.up
		s.mu.Unlock()
		if up && !s.cut.Load() {
			s.write()
		}
		s.mu.Lock()
		silent := s.entry != "" && time.Since(s.lastBeat) > 3*heartbeat
		s.mu.Unlock()
		if silent {
			s.d.store.Remove("servers/" + s.id)
			s.mu.Lock()
			s.entry = ""
			s.mu.Unlock()
			s.d.rec.Say("store: entry of %s removed after three silent heartbeat intervals", s.id)
		}
		time.Sleep(heartbeat / 4)
	}
}

// write writes the entry if more than its sequence has changed.
func (s *server) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastBeat = time.Now()
	e := map[string]any{
		"service": s.service, "address": s.address, "zone": "z1", "version": "v1", "slots": s.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": s.born,
	}
	if s.draining {
		e["state"] = "draining"
	}
	if s.stage != "" {
		e["stage"] = s.stage
		e["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	raw, _ := json.Marshal(e)
	if string(raw) == s.entry {
		return
	}
	if s.entry == "" {
		s.d.rec.Addf("store: entry of %s written", s.id)
	}
	s.entry = string(raw)
	s.d.store.Put("servers/"+s.id, raw)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		s.setLoad(w.Header())
		return
	}
	if strings.HasPrefix(r.URL.Path, "/-/") {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.Header().Set("Attempt-Id", id)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != s.id || r.Header.Get("Serving-Stage") == "prefill" {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.handle(s, w, r)
}

func (s *server) setLoad(h http.Header) {
	n := s.running.Load()
	h.Set("Instance-Load", fmt.Sprintf("%d,%d,%d", min(n, int64(s.slots)), max(0, n-int64(s.slots)), s.slots))
}

// seal returns the server's signature of an answer.
func seal(id string, status int) string { return "s." + id + "." + strconv.Itoa(status) }

// turnAway answers that the request was not run. retryAfter is empty or a time in seconds.
func (s *server) turnAway(w http.ResponseWriter, retryAfter string) {
	w.Header().Set("Not-Executed", "1")
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	s.setLoad(w.Header())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// queueLength is how many requests wait for a slot at most.
const queueLength = 192

// enter waits for a slot. It returns false if the request was turned away or its caller is gone.
func (s *server) enter(w http.ResponseWriter, r *http.Request) bool {
	if s.running.Add(1) > int64(s.slots+queueLength) {
		s.running.Add(-1)
		s.turnAway(w, "")
		return false
	}
	select {
	case s.slot <- struct{}{}:
		return true
	case <-r.Context().Done():
		s.running.Add(-1)
		return false
	}
}

// leave frees the slot.
func (s *server) leave() {
	s.running.Add(-1)
	<-s.slot
}

// eventText returns one event of a stream.
func eventText(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// stream sends the events after the given one until the last, one each pause.
func (s *server) stream(w http.ResponseWriter, r *http.Request, after, last int, first, pause time.Duration) {
	id := r.Header.Get("Attempt-Id")
	if !s.enter(w, r) {
		return
	}
	defer s.leave()
	if !wait(r, first) {
		return
	}
	s.setLoad(w.Header())
	w.Header().Set("Response-Seal", seal(id, http.StatusOK))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := after + 1; n <= last; n++ {
		if n > after+1 && !wait(r, pause) {
			return
		}
		_, _ = w.Write([]byte(eventText(id, n)))
		if control.Flush() != nil {
			return
		}
	}
}

// wait waits and reports whether the caller is still there.
func wait(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
