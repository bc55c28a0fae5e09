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
)

// sink receives the parts of an answer in order.
type sink interface {
	// chunk takes a content chunk.
	chunk(c engine.Chunk) error
	// finish takes the chunk with the finish reason; it is sent by end.
	finish(c engine.Chunk)
	// end completes the answer.
	end(usage engine.Usage) error
	// fail ends the answer with an explicit error.
	fail(err error)
	// started reports whether part of an answer was sent.
	started() bool
}

func newSink(w http.ResponseWriter, id string, req *chatRequest, timeout time.Duration) sink {
	base := responder{w: w, control: http.NewResponseController(w), id: "chatcmpl-" + id, timeout: timeout}
	if !req.Stream {
		return &wholeSink{responder: base, model: req.Model}
	}
	return &streamSink{responder: base, request: id, usage: req.StreamOptions != nil && req.StreamOptions.IncludeUsage}
}

// responder writes to a caller within a time limit for each write.
type responder struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	timeout time.Duration
}

func (r *responder) limitWrite() { _ = r.control.SetWriteDeadline(time.Now().Add(r.timeout)) }

// streamSink sends each chunk as a server-sent event.
type streamSink struct {
	responder
	request string
	usage   bool
	sent    int
	open    bool
	last    *engine.Chunk
}

func (s *streamSink) started() bool { return s.open }

func (s *streamSink) chunk(c engine.Chunk) error {
	if err := s.event(c.Raw); err != nil {
		return err
	}
	s.sent++
	return nil
}

func (s *streamSink) finish(c engine.Chunk) { s.last = &c }

func (s *streamSink) end(engine.Usage) error {
	raw := s.last.Raw
	if !s.usage {
		stripped, err := sjson.DeleteBytes(raw, "usage")
		if err != nil {
			return err
		}
		raw = stripped
	}
	if err := s.event(raw); err != nil {
		return err
	}
	return s.write("[DONE]")
}

func (s *streamSink) fail(err error) {
	if !s.open {
		apierr.Write(s.w, err)
		return
	}
	raw, encodeErr := json.Marshal(apierr.Body{Error: apierr.Describe(err)})
	if encodeErr != nil {
		return
	}
	_ = s.write(string(raw))
}

// event sends a chunk under the id of the request, so that the caller sees one
// answer however many attempts it took.
func (s *streamSink) event(raw []byte) error {
	named, err := sjson.SetBytes(raw, "id", s.id)
	if err != nil {
		return err
	}
	return s.write(string(named))
}

func (s *streamSink) write(data string) error {
	if !s.open {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
		s.open = true
	}
	event := &sse.Message{ID: sse.ID(engine.EventID{Attempt: s.request, Offset: s.sent}.String())}
	event.AppendData(data)
	s.limitWrite()
	if _, err := event.WriteTo(s.w); err != nil {
		return err
	}
	return s.control.Flush()
}

// wholeSink collects an answer and sends it in one piece.
type wholeSink struct {
	responder
	model   string
	content strings.Builder
	reason  string
	sent    bool
}

// completion is a whole answer in the chat-completions format.
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

func (s *wholeSink) started() bool { return s.sent }

func (s *wholeSink) chunk(c engine.Chunk) error {
	s.content.WriteString(c.Text())
	return nil
}

func (s *wholeSink) finish(c engine.Chunk) { s.reason = *c.Body.Choices[0].FinishReason }

func (s *wholeSink) end(usage engine.Usage) error {
	s.sent = true
	s.limitWrite()
	s.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(s.w).Encode(completion{
		ID: s.id, Object: "chat.completion", Created: time.Now().Unix(), Model: s.model, Usage: usage,
		Choices: []completionChoice{{Message: engine.Delta{Role: "assistant", Content: s.content.String()}, FinishReason: s.reason}},
	})
}

func (s *wholeSink) fail(err error) {
	if !s.sent {
		apierr.Write(s.w, err)
	}
}
