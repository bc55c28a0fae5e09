package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/tidwall/sjson"
	"github.com/tmaxmax/go-sse"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/membudget"
)

// answerWriter writes an answer to the caller. Its parts must be passed in order.
type answerWriter interface {
	// writeChunk writes a content chunk.
	writeChunk(c engine.Chunk) error
	// setFinish stores the chunk with the finish reason, which end writes.
	setFinish(c engine.Chunk)
	// end completes the answer.
	end(usage engine.Usage) error
	// fail ends the answer with an explicit error.
	fail(err error)
	// started reports whether part of an answer was sent.
	started() bool
}

// newAnswerWriter returns a writer for the kind of answer that is requested: a
// stream or a single JSON object.
func newAnswerWriter(w http.ResponseWriter, id string, req *chatRequest, timeout time.Duration, memory *membudget.Budget) answerWriter {
	r := responder{w: w, controller: http.NewResponseController(w), answerID: "chatcmpl-" + id, timeout: timeout}
	if !req.Stream {
		return &bufferedWriter{responder: r, model: req.Model, memory: membudget.Buffer{Budget: memory}}
	}
	return &streamWriter{responder: r, requestID: id, includeUsage: req.StreamOptions != nil && req.StreamOptions.IncludeUsage}
}

// responder holds the connection to the caller and the timeout for each write.
type responder struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	answerID   string
	timeout    time.Duration
}

// limitWrite sets the deadline for the next write.
func (r *responder) limitWrite() { _ = r.controller.SetWriteDeadline(time.Now().Add(r.timeout)) }

// streamWriter writes each chunk as a server-sent event.
type streamWriter struct {
	responder
	requestID    string
	includeUsage bool
	chunksSent   int
	headerSent   bool
	finishChunk  *engine.Chunk
}

func (s *streamWriter) started() bool { return s.headerSent }

func (s *streamWriter) writeChunk(c engine.Chunk) error {
	if err := s.writeEvent(c.Raw); err != nil {
		return err
	}
	s.chunksSent++
	return nil
}

func (s *streamWriter) setFinish(c engine.Chunk) { s.finishChunk = &c }

func (s *streamWriter) end(engine.Usage) error {
	raw := s.finishChunk.Raw
	if !s.includeUsage {
		stripped, err := sjson.DeleteBytes(raw, "usage")
		if err != nil {
			return err
		}
		raw = stripped
	}
	if err := s.writeEvent(raw); err != nil {
		return err
	}
	return s.write("[DONE]")
}

func (s *streamWriter) fail(err error) {
	if !s.headerSent {
		apierr.Write(s.w, err)
		return
	}
	raw, encodeErr := json.Marshal(apierr.Body{Error: apierr.Describe(err)})
	if encodeErr != nil {
		return
	}
	_ = s.write(string(raw))
}

// writeEvent writes a chunk with the ID of the request in place of the attempt's,
// so that the answer has one ID regardless of the number of attempts.
func (s *streamWriter) writeEvent(raw []byte) error {
	named, err := sjson.SetBytes(raw, "id", s.answerID)
	if err != nil {
		return err
	}
	return s.write(string(named))
}

// write writes one server-sent event, after the response header if it is the
// first one.
func (s *streamWriter) write(data string) error {
	if !s.headerSent {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
		s.headerSent = true
	}
	event := &sse.Message{ID: sse.ID(engine.EventID{Attempt: s.requestID, Offset: s.chunksSent}.String())}
	event.AppendData(data)
	s.limitWrite()
	if _, err := event.WriteTo(s.w); err != nil {
		return err
	}
	return s.controller.Flush()
}

// bufferedWriter collects the answer and writes it as one JSON object.
type bufferedWriter struct {
	responder
	model        string
	content      strings.Builder
	memory       membudget.Buffer
	finishReason string
	written      bool
}

// completion is an answer in the chat-completions format that is not streamed.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   engine.Usage       `json:"usage"`
}

type completionChoice struct {
	Index        int          `json:"index"`
	Message      engine.Delta `json:"message"`
	FinishReason string       `json:"finish_reason"`
}

func (s *bufferedWriter) started() bool { return s.written }

func (s *bufferedWriter) writeChunk(c engine.Chunk) error {
	text := c.Text()
	// The builder doubles its buffer.
	if err := s.memory.Grow(2 * (s.content.Len() + len(text))); err != nil {
		return err
	}
	s.content.WriteString(text)
	return nil
}

func (s *bufferedWriter) setFinish(c engine.Chunk) { s.finishReason = *c.Body.Choices[0].FinishReason }

func (s *bufferedWriter) end(usage engine.Usage) error {
	defer s.memory.Release()
	s.written = true
	s.limitWrite()
	s.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(s.w).Encode(completion{
		ID: s.answerID, Object: "chat.completion", Created: time.Now().Unix(), Model: s.model, Usage: usage,
		Choices: []completionChoice{{Message: engine.Delta{Role: "assistant", Content: s.content.String()}, FinishReason: s.finishReason}},
	})
}

func (s *bufferedWriter) fail(err error) {
	s.memory.Release()
	if !s.written {
		apierr.Write(s.w, err)
	}
}
