package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"iter"
	"time"

	"github.com/tmaxmax/go-sse"
)

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 256 << 10
	// drainTimeout limits the wait for the end of a response body after the end
	// marker.
	drainTimeout = time.Second
)

// Dropped counts the events that a stream discarded, by reason.
type Dropped struct {
	// Crossed counts events whose ID names another attempt.
	Crossed int
	// Late counts duplicates: chunks with an offset that was already delivered.
	Late int
	// Malformed counts events whose ID could not be parsed.
	Malformed int
}

// Stream reads the chunks of one attempt in order. It delivers each offset
// exactly once, and discards and counts duplicates and events that do not belong
// to the attempt. It is not safe for concurrent use.
type Stream struct {
	attempt    string
	nextOffset int
	body       io.ReadCloser
	nextEvent  func() (sse.Event, error, bool)
	stopEvents func()
	complete   bool
	// finished is set once the chunk with the finish reason was received.
	finished bool
	usage    *Usage
	// Dropped counts the events discarded so far.
	Dropped Dropped
}

func newStream(body io.ReadCloser, attempt string, offset int) *Stream {
	s := &Stream{attempt: attempt, nextOffset: offset, body: body}
	events := sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes})
	s.nextEvent, s.stopEvents = iter.Pull2(iter.Seq2[sse.Event, error](events))
	return s
}

// Offset returns the number of content chunks of the attempt delivered so far. For a
// resumed stream this includes the chunks before the offset of the resume.
func (s *Stream) Offset() int { return s.nextOffset }

// Usage returns the token counts that the engine sent with the finish reason. It
// is nil before that, or if the engine sent none.
func (s *Stream) Usage() *Usage { return s.usage }

// Close releases the resources of the stream. After a complete stream the
// connection returns to the pool; otherwise it is closed.
func (s *Stream) Close() {
	s.stopEvents()
	if s.complete {
		go s.drainBody()
		return
	}
	_ = s.body.Close()
}

// drainBody reads what follows the end marker, so that the connection can be
// reused: net/http closes a connection whose response body is closed before its
// end.
func (s *Stream) drainBody() {
	timer := time.AfterFunc(drainTimeout, func() { _ = s.body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, s.body, maxEventBytes)
	_ = s.body.Close()
}

// Next returns the next chunk. It returns io.EOF after the end marker if all
// chunks were delivered, and an error that wraps ErrTruncated if the stream ended
// in any other way.
func (s *Stream) Next() (Chunk, error) {
	for {
		event, err, ok := s.nextEvent()
		if !ok {
			return Chunk{}, ErrTruncated
		}
		if err != nil {
			return Chunk{}, fmt.Errorf("%w: %s", ErrTruncated, err.Error())
		}
		chunk, deliver, err := s.handleEvent(event)
		if err != nil || deliver {
			return chunk, err
		}
	}
}

// handleEvent checks one event against the state of the stream. It returns true if
// the chunk is to be delivered, and io.EOF at the end of a complete stream; an event
// without either is discarded.
func (s *Stream) handleEvent(event sse.Event) (Chunk, bool, error) {
	id, err := ParseEventID(event.LastEventID)
	if err != nil {
		s.Dropped.Malformed++
		return Chunk{}, false, nil
	}
	if id.Attempt != s.attempt {
		s.Dropped.Crossed++
		return Chunk{}, false, nil
	}
	if event.Data == doneData {
		return Chunk{}, false, s.checkEnd(id)
	}
	if id.Offset < s.nextOffset {
		s.Dropped.Late++
		return Chunk{}, false, nil
	}
	if id.Offset > s.nextOffset {
		return Chunk{}, false, fmt.Errorf("%w: chunk at offset %d, expected offset %d", ErrTruncated, id.Offset, s.nextOffset)
	}
	chunk := Chunk{Offset: id.Offset, Raw: json.RawMessage(event.Data)}
	if err := json.Unmarshal(chunk.Raw, &chunk.Body); err != nil {
		return Chunk{}, false, fmt.Errorf("%w: %s", ErrTruncated, err.Error())
	}
	if chunk.HasFinishReason() {
		if s.finished {
			s.Dropped.Late++
			return Chunk{}, false, nil
		}
		s.finished = true
		s.usage = chunk.Body.Usage
		return chunk, true, nil
	}
	if s.finished {
		return Chunk{}, false, fmt.Errorf("%w: content after the finish reason", ErrTruncated)
	}
	s.nextOffset++
	return chunk, true, nil
}

// checkEnd verifies the end marker: its offset must be the number of delivered
// chunks, the finish reason must have been received, and the reported number of
// completion tokens must match. It returns io.EOF if all hold.
func (s *Stream) checkEnd(id EventID) error {
	if id.Offset != s.nextOffset || !s.finished {
		return fmt.Errorf("%w: end marker at offset %d, expected after the finish reason at offset %d", ErrTruncated, id.Offset, s.nextOffset)
	}
	if s.usage != nil && s.usage.CompletionTokens != s.nextOffset {
		return fmt.Errorf("%w: received %d chunks, but the engine reported %d completion tokens", ErrTruncated, s.nextOffset, s.usage.CompletionTokens)
	}
	s.complete = true
	return io.EOF
}

// Complete reports whether the end marker was received and all chunks before it
// were delivered.
func (s *Stream) Complete() bool { return s.complete }
