package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tmaxmax/go-sse"

	client "github.com/figweir/figweir/engine"
)

const (
	defaultMaxTokens = 16
	// streamRetention is how long a finished stream can be resumed.
	streamRetention = 30 * time.Second
)

// stream generates the tokens of one attempt, whether or not a connection
// reads them.
type stream struct {
	server  *Server
	attempt string
	req     completionRequest
	prompt  int
	total   int
	hash    uint64
	// prefillServer, blocks and body are set for streams with a prompt that
	// another engine processes, or that may be cached.
	prefillServer string
	blocks        []uint64
	body          []byte

	mu      sync.Mutex
	ready   int
	stopped bool
	changed chan struct{}
}

func newStream(s *Server, attempt string, req completionRequest) *stream {
	total := req.MaxTokens
	if total <= 0 {
		total = defaultMaxTokens
	}
	h := xxhash.New()
	for _, m := range req.Messages {
		_, _ = h.WriteString(m.Role + "\x00" + m.Content + "\x00")
	}
	_, _ = fmt.Fprintf(h, "%s %d", req.Model, req.Seed)
	return &stream{
		server: s, attempt: attempt, req: req, prompt: countTokens(req.Messages),
		total: total, hash: h.Sum64(), changed: make(chan struct{}),
	}
}

// Token returns the nth token of an answer with the given hash. Equal prompts
// and seeds give equal answers on every engine.
func token(hash uint64, n int) string {
	return fmt.Sprintf("t%d-%04x ", n, uint16(xxhash.Sum64String(fmt.Sprintf("%x/%d", hash, n))))
}

func (st *stream) generate() {
	s := st.server
	s.mu.Lock()
	s.queued++
	s.queuedT += st.prompt
	for s.running >= s.settings.Slots {
		s.slotFree.Wait()
	}
	s.queued--
	s.queuedT -= st.prompt
	s.running++
	blocks := (st.prompt+st.total)/max(1, s.settings.KVBlockTokens) + 1
	s.kvUsed += blocks
	s.mu.Unlock()
	defer st.release(blocks)

	if st.prefillServer == "" || !st.importKV() {
		s.process(st.prompt, st.blocks)
	}
	for n := 0; n < st.total; n++ {
		time.Sleep(time.Duration(s.settings.TokenMillis) * time.Millisecond)
		if !st.advance() {
			return
		}
	}
}

func (st *stream) release(blocks int) {
	s := st.server
	s.mu.Lock()
	s.running--
	s.kvUsed -= blocks
	s.slotFree.Signal()
	s.mu.Unlock()
	time.AfterFunc(streamRetention, func() { s.forget(st.attempt) })
}

func (s *Server) forget(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, attempt)
}

func (st *stream) advance() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.stopped {
		return false
	}
	st.ready++
	close(st.changed)
	st.changed = make(chan struct{})
	return true
}

func (st *stream) stop() {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.stopped {
		st.stopped = true
		close(st.changed)
		st.changed = make(chan struct{})
	}
}

// wait returns when more than offset tokens are ready.
func (st *stream) wait(done <-chan struct{}, offset int) bool {
	for {
		st.mu.Lock()
		ready, stopped, changed := st.ready, st.stopped, st.changed
		st.mu.Unlock()
		if ready > offset {
			return true
		}
		if stopped {
			return false
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// serve writes the events from offset on to one connection.
func (st *stream) serve(w http.ResponseWriter, r *http.Request, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	sent := 0
	for n := offset; n < st.total; n++ {
		if !st.wait(r.Context().Done(), n) {
			panic(http.ErrAbortHandler)
		}
		st.server.mu.Lock()
		f := st.server.faults
		st.server.mu.Unlock()
		st.misbehave(w, f, n, sent)
		st.send(w, st.attempt, n, st.chunk(n))
		if f.RepeatEvery > 0 && sent%f.RepeatEvery == 0 {
			st.send(w, st.attempt, n, st.chunk(n))
		}
		_ = flusher.Flush()
		sent++
	}
	st.send(w, st.attempt, st.total, st.finish())
	event := &sse.Message{ID: sse.ID(client.EventID{Attempt: st.attempt, Offset: st.total}.String())}
	event.AppendData("[DONE]")
	_, _ = event.WriteTo(w)
	_ = flusher.Flush()
}

// misbehave applies the faults that come before chunk n.
func (st *stream) misbehave(w http.ResponseWriter, f Faults, n, sent int) {
	if f.LagMillis > 0 {
		time.Sleep(time.Duration(f.LagMillis) * time.Millisecond)
	}
	if f.CrossEvery > 0 && sent%f.CrossEvery == 0 {
		st.send(w, "other-"+st.attempt, n, st.chunk(n+1))
	}
	if f.ForgetAfter > 0 && n >= f.ForgetAfter {
		st.stop()
		st.server.forget(st.attempt)
		panic(http.ErrAbortHandler)
	}
	if f.TruncateAfter > 0 && sent >= f.TruncateAfter {
		panic(http.ErrAbortHandler)
	}
}

func (st *stream) send(w http.ResponseWriter, attempt string, offset int, body client.ChunkBody) {
	raw, err := json.Marshal(body)
	if err != nil {
		return
	}
	event := &sse.Message{ID: sse.ID(client.EventID{Attempt: attempt, Offset: offset}.String())}
	event.AppendData(string(raw))
	_, _ = event.WriteTo(w)
}

func (st *stream) chunk(n int) client.ChunkBody {
	return client.ChunkBody{
		ID: st.attempt, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: st.req.Model,
		Choices: []client.ChunkChoice{{Delta: client.Delta{Content: token(st.hash, n)}}},
	}
}

func (st *stream) finish() client.ChunkBody {
	reason := "stop"
	return client.ChunkBody{
		ID: st.attempt, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: st.req.Model,
		Choices: []client.ChunkChoice{{FinishReason: &reason}},
		Usage:   &client.Usage{PromptTokens: st.prompt, CompletionTokens: st.total, TotalTokens: st.prompt + st.total},
	}
}

// Answer returns the text that every healthy engine generates for a prompt of
// one user message.
func Answer(model, prompt string, seed int64, tokens int) string {
	st := newStream(nil, "", completionRequest{Model: model, Seed: seed, MaxTokens: tokens, Messages: []message{{Role: "user", Content: prompt}}})
	out := ""
	for n := range st.total {
		out += token(st.hash, n)
	}
	return out
}
