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
	// streamRetention is how long a stream can be resumed after it has ended.
	streamRetention = 30 * time.Second
)

// stream generates the tokens of one attempt, independently of the connections that
// read them.
type stream struct {
	server       *Server
	attempt      string
	request      completionRequest
	promptTokens int
	outputTokens int
	answerHash   uint64
	// prefillServer is the address of the engine that processes the prompt, or
	// empty. blocks are the hashes of the prompt's leading blocks, and body is the
	// request body that is forwarded to the prefill server.
	prefillServer string
	blocks        []uint64
	body          []byte

	mu        sync.Mutex
	generated int
	stopped   bool
	changed   chan struct{}
}

func newStream(s *Server, attempt string, req completionRequest) *stream {
	outputTokens := req.MaxTokens
	if outputTokens <= 0 {
		outputTokens = defaultMaxTokens
	}
	h := xxhash.New()
	for _, m := range req.Messages {
		_, _ = h.WriteString(m.Role + "\x00" + m.Content + "\x00")
	}
	_, _ = fmt.Fprintf(h, "%s %d", req.Model, req.Seed)
	return &stream{
		server: s, attempt: attempt, request: req, promptTokens: countTokens(req.Messages),
		outputTokens: outputTokens, answerHash: h.Sum64(), changed: make(chan struct{}),
	}
}

// tokenText returns the nth token of the answer with the given hash. The hash depends
// only on the model, the prompt and the seed, so that equal requests get equal answers
// from every engine.
func tokenText(hash uint64, n int) string {
	return fmt.Sprintf("t%d-%04x ", n, uint16(xxhash.Sum64String(fmt.Sprintf("%x/%d", hash, n))))
}

// generate waits for a free slot, processes the prompt and generates the tokens one
// by one until the answer is complete or the stream is stopped.
func (st *stream) generate() {
	s := st.server
	s.mu.Lock()
	s.queued++
	s.queuedPromptTokens += st.promptTokens
	for s.running >= s.settings.Slots {
		s.slotFree.Wait()
	}
	s.queued--
	s.queuedPromptTokens -= st.promptTokens
	s.running++
	blocks := (st.promptTokens+st.outputTokens)/max(1, s.settings.KVBlockTokens) + 1
	s.usedKVBlocks += blocks
	s.mu.Unlock()
	defer st.release(blocks)

	if st.prefillServer == "" || !st.importKV() {
		s.prefillPrompt(st.promptTokens, st.blocks)
	}
	if crash, crashes := s.crashesOn(st.request); crashes {
		crash()
		return
	}
	for n := 0; n < st.outputTokens; n++ {
		time.Sleep(time.Duration(s.settings.TokenMillis) * time.Millisecond)
		if !st.addToken() {
			return
		}
	}
}

// release frees the slot and the KV blocks of the stream, and schedules its removal.
func (st *stream) release(blocks int) {
	s := st.server
	s.mu.Lock()
	s.running--
	s.usedKVBlocks -= blocks
	s.slotFree.Signal()
	s.mu.Unlock()
	time.AfterFunc(streamRetention, func() { s.removeStream(st.attempt) })
}

func (s *Server) removeStream(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, attempt)
}

// addToken makes one more token available to readers. It returns false if the stream
// is stopped.
func (st *stream) addToken() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.stopped {
		return false
	}
	st.generated++
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

// waitForToken waits until more than offset tokens were generated. It returns false if
// the stream was stopped or the request canceled before that.
func (st *stream) waitForToken(canceled <-chan struct{}, offset int) bool {
	for {
		st.mu.Lock()
		ready, stopped, changed := st.generated, st.stopped, st.changed
		st.mu.Unlock()
		if ready > offset {
			return true
		}
		if stopped {
			return false
		}
		select {
		case <-changed:
		case <-canceled:
			return false
		}
	}
}

// writeEvents writes the events of the stream from offset on to a connection, with
// the injected faults. It closes the connection if the stream is stopped.
func (st *stream) writeEvents(w http.ResponseWriter, r *http.Request, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	sent := 0
	for n := offset; n < st.outputTokens; n++ {
		if !st.waitForToken(r.Context().Done(), n) {
			panic(http.ErrAbortHandler)
		}
		st.server.mu.Lock()
		f := st.server.faults
		st.server.mu.Unlock()
		st.injectFaults(w, f, n, sent)
		st.writeChunk(w, st.attempt, n, st.contentChunk(n))
		if f.RepeatEvery > 0 && sent%f.RepeatEvery == 0 {
			st.writeChunk(w, st.attempt, n, st.contentChunk(n))
		}
		_ = flusher.Flush()
		sent++
	}
	st.writeChunk(w, st.attempt, st.outputTokens, st.finishChunk())
	event := &sse.Message{ID: sse.ID(client.EventID{Attempt: st.attempt, Offset: st.outputTokens}.String())}
	event.AppendData("[DONE]")
	_, _ = event.WriteTo(w)
	_ = flusher.Flush()
}

// injectFaults applies the faults that occur before chunk n is sent. sent is the
// number of chunks already sent on this connection.
func (st *stream) injectFaults(w http.ResponseWriter, f Faults, n, sent int) {
	if f.LagMillis > 0 {
		time.Sleep(time.Duration(f.LagMillis) * time.Millisecond)
	}
	if f.CrossEvery > 0 && sent%f.CrossEvery == 0 {
		st.writeChunk(w, "other-"+st.attempt, n, st.contentChunk(n+1))
	}
	if f.ForgetAfter > 0 && n >= f.ForgetAfter {
		st.stop()
		st.server.removeStream(st.attempt)
		panic(http.ErrAbortHandler)
	}
	if f.TruncateAfter > 0 && sent >= f.TruncateAfter {
		panic(http.ErrAbortHandler)
	}
}

func (st *stream) writeChunk(w http.ResponseWriter, attempt string, offset int, body client.ChunkBody) {
	raw, err := json.Marshal(body)
	if err != nil {
		return
	}
	event := &sse.Message{ID: sse.ID(client.EventID{Attempt: attempt, Offset: offset}.String())}
	event.AppendData(string(raw))
	_, _ = event.WriteTo(w)
}

func (st *stream) contentChunk(n int) client.ChunkBody {
	return client.ChunkBody{
		ID: st.attempt, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: st.request.Model,
		Choices: []client.ChunkChoice{{Delta: client.Delta{Content: tokenText(st.answerHash, n)}}},
	}
}

func (st *stream) finishChunk() client.ChunkBody {
	reason := "stop"
	return client.ChunkBody{
		ID: st.attempt, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: st.request.Model,
		Choices: []client.ChunkChoice{{FinishReason: &reason}},
		Usage:   &client.Usage{PromptTokens: st.promptTokens, CompletionTokens: st.outputTokens, TotalTokens: st.promptTokens + st.outputTokens},
	}
}

// ExpectedAnswer returns the text that every engine without faults generates for a prompt
// that consists of one user message.
func ExpectedAnswer(model, prompt string, seed int64, tokens int) string {
	st := newStream(nil, "", completionRequest{Model: model, Seed: seed, MaxTokens: tokens, Messages: []message{{Role: "user", Content: prompt}}})
	out := ""
	for n := range st.outputTokens {
		out += tokenText(st.answerHash, n)
	}
	return out
}
