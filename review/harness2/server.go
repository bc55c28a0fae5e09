//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figweir/figweir/store"
)

const (
	// beatInterval is the interval of the heartbeats of a server, and beatLease the time of
	// silence after which its entry is removed.
	beatInterval = 1200 * time.Millisecond
	beatLease    = 3 * beatInterval
)

// request is a request that reached a server.
type request struct {
	*http.Request
	attempt string
	at      time.Time
	server  *server
}

// shares reports whether the prompt has a part that is not its last one.
func (r request) shares(part string) bool {
	parts := strings.Split(r.Header.Get("Prompt-Prefix"), ",")
	for _, p := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(p, ":"); id == part {
			return true
		}
	}
	return false
}

// server is a backend server on a loopback address. It can crash and start again.
type server struct {
	d       *deployment
	id      string
	service string
	stage   string
	slots   int64
	// answer writes the answer of a request that runs, to a connection that it may take over.
	answer func(s *server, w *bufio.ReadWriter, r request)

	running atomic.Int64
	mu      sync.Mutex
	address string
	http    *http.Server
	conns   map[net.Conn]bool
	endBeat context.CancelFunc
	born    int64
}

// addServer starts a server and registers it.
func (d *deployment) addServer(id, service, stage string, slots int64, answer func(*server, *bufio.ReadWriter, request)) (*server, error) {
	s := &server{d: d, id: id, service: service, stage: stage, slots: slots, answer: answer, address: "127.0.0.1:0"}
	d.servers = append(d.servers, s)
	return s, s.start()
}

// start opens the listener, at the same address after a crash, and registers the server.
func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.address, s.born, s.conns = l.Addr().String(), time.Now().UnixMilli(), make(map[net.Conn]bool)
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	go func(h *http.Server) { _ = h.Serve(&trackingListener{l, s, s.conns}) }(s.http)
	ctx, cancel := context.WithCancel(context.Background())
	s.endBeat = cancel
	go s.beat(ctx, s.entry())
	return nil
}

// entry returns the registration. s.mu must be held.
func (s *server) entry() map[string]any {
	e := map[string]any{
		"service": s.service, "address": s.address, "zone": "keflavik", "version": "v1", "slots": s.slots, "state": "ready", "cold_remaining_ms": 0, "born": s.born,
	}
	if s.stage != "" {
		e["stage"], e["models"] = s.stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return e
}

// beat writes the registration with each heartbeat, until ctx ends. Then the store removes it after
// beatLease.
func (s *server) beat(ctx context.Context, entry map[string]any) {
	lease := store.NoLease
	for sequence := 1; ctx.Err() == nil; sequence++ {
		if lease == store.NoLease || s.d.store.Renew(context.Background(), lease) != nil {
			lease, _ = s.d.store.Grant(context.Background(), beatLease)
		}
		entry["sequence"] = sequence
		if err := s.d.put("servers/"+s.id, entry, lease); err != nil {
			s.d.record.logf("%s cannot register: %v", s.id, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatInterval):
		}
	}
}

// stop ends the server: its listener and all its connections are closed.
func (s *server) stop() {
	s.mu.Lock()
	h, conns, endBeat := s.http, s.conns, s.endBeat
	s.http = nil
	s.mu.Unlock()
	if h == nil {
		return
	}
	endBeat()
	_ = h.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
}

// crash ends the server at once and starts it again after a time.
func (s *server) crash(downFor time.Duration) {
	s.d.record.logf("%s crashes", s.id)
	s.stop()
	time.AfterFunc(downFor, func() {
		if s.d.closed.Load() {
			return
		}
		if err := s.start(); err != nil {
			s.d.record.logf("%s does not start: %v", s.id, err)
			return
		}
		s.d.record.logf("%s is back", s.id)
	})
}

// isUp reports whether the server accepts connections.
func (s *server) isUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.http != nil
}

// trackingListener records the open connections, also those that a handler takes over.
type trackingListener struct {
	net.Listener
	server *server
	conns  map[net.Conn]bool
}

func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// serve handles one request up to its run.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	bodyBytes, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Instance-Id", s.id)
	w.Header().Set("Instance-Load", fmt.Sprintf("%d,0,%d", s.running.Load(), s.slots))
	if attempt != "" {
		w.Header().Set("Attempt-Id", attempt)
	}
	switch {
	case r.URL.Path == "/health":
		return
	case strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
		return
	case r.URL.Path == "/-/order":
		w.WriteHeader(http.StatusConflict)
		return
	case r.Header.Get("Expected-Instance") != "" && r.Header.Get("Expected-Instance") != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case s.stage != "" && (r.Header.Get("Serving-Stage") == "prefill") != (s.stage == "prefill"):
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case attempt == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.running.Add(1) > s.slots {
		s.running.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.running.Add(-1)
	s.d.record.logf("%s runs %s, %d bytes", s.id, attempt, bodyBytes)
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	s.answer(s, buffered, request{Request: r, attempt: attempt, at: time.Now(), server: s})
}

// head returns the head of a success, without its end.
func (s *server) head(attempt, contentType string) string {
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Seal: seal-" + attempt + "\r\nContent-Type: " + contentType +
		"\r\nInstance-Load: " + fmt.Sprintf("%d,0,%d", s.running.Load(), s.slots) + "\r\nConnection: close\r\n"
}

// event returns one event of a stream.
func event(attempt string, number int) string {
	return "id: " + strconv.Itoa(number) + "\ndata: " + attempt + "-" + strconv.Itoa(number) + "\n\n"
}

// chunk returns data as one chunk.
func chunk(data string) string {
	return strconv.FormatInt(int64(len(data)), 16) + "\r\n" + data + "\r\n"
}

// stream answers with a number of events. Without framing the answer ends with its connection.
func (s *server) stream(w *bufio.ReadWriter, r request, events int, gap time.Duration, framed bool) {
	frame := func(data string) string { return data }
	head := s.head(r.attempt, "text/event-stream")
	if framed {
		frame = chunk
		head += "Transfer-Encoding: chunked\r\n"
	}
	_, _ = w.WriteString(head + "\r\n")
	for n := 1; n <= events; n++ {
		time.Sleep(gap)
		_, _ = w.WriteString(frame(event(r.attempt, n)))
		if w.Flush() != nil {
			return
		}
	}
	if framed {
		_, _ = w.WriteString("0\r\n\r\n")
		_ = w.Flush()
	}
	s.d.record.logf("%s has ended %s", s.id, r.attempt)
}

// reply answers with a body of known length.
func (s *server) reply(w *bufio.ReadWriter, r request, contentType, body string) {
	_, _ = w.WriteString(s.head(r.attempt, contentType) + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	_ = w.Flush()
}
