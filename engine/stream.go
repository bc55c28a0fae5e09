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
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 256 << 10
	// drainTimeout bounds the wait for the end of a body after the end marker.
	drainTimeout = time.Second
)

// Dropped counts chunks that a stream discarded.
type Dropped struct {
	// Crossed chunks belong to another attempt.
	Crossed int
	// Late chunks repeat an offset that was delivered already.
	Late int
	// Malformed events could not be decoded.
	Malformed int
}

// Stream reads the chunks of one attempt in order. It delivers each offset
// once, and drops and counts everything that does not belong to the attempt.
// It is not safe for concurrent use.
type Stream struct {
	attempt string
	next    int
	body    io.ReadCloser
	read    func() (sse.Event, error, bool)
	stop    func()
	whole   bool
	// finished is set once the chunk with the finish reason has come.
	finished bool
	usage    *Usage
	// Dropped counts what was discarded so far.
	Dropped Dropped
}

func newStream(body io.ReadCloser, attempt string, offset int) *Stream {
	s := &Stream{attempt: attempt, next: offset, body: body}
	events := sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes})
	s.read, s.stop = iter.Pull2(iter.Seq2[sse.Event, error](events))
	return s
}

// Offset returns the number of content chunks delivered so far.
func (s *Stream) Offset() int { return s.next }

// Usage returns the token counts of the end of the stream, or nil.
func (s *Stream) Usage() *Usage { return s.usage }

// Close releases the stream.
func (s *Stream) Close() {
	s.stop()
	if s.whole {
		go s.drain()
		return
	}
	_ = s.body.Close()
}

// drain reads what follows the end marker, so that the connection can be used
// again; closing a body before its end closes the connection.
func (s *Stream) drain() {
	timer := time.AfterFunc(drainTimeout, func() { _ = s.body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, s.body, maxEventBytes)
	_ = s.body.Close()
}

// Next returns the next chunk, io.EOF after the end marker if all chunks were
// delivered, or ErrTruncated if the stream ended in any other way.
func (s *Stream) Next() (Chunk, error) {
	for {
		event, err, ok := s.read()
		if !ok {
			return Chunk{}, ErrTruncated
		}
		if err != nil {
			return Chunk{}, fmt.Errorf("%w: %s", ErrTruncated, err.Error())
		}
		chunk, deliver, err := s.accept(event)
		if err != nil || deliver {
			return chunk, err
		}
	}
}

// accept decides what to do with one event.
func (s *Stream) accept(event sse.Event) (Chunk, bool, error) {
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
		return Chunk{}, false, s.end(id)
	}
	if id.Offset < s.next {
		s.Dropped.Late++
		return Chunk{}, false, nil
	}
	if id.Offset > s.next {
		return Chunk{}, false, fmt.Errorf("%w: offset %d where %d was expected", ErrTruncated, id.Offset, s.next)
	}
	chunk := Chunk{Offset: id.Offset, Raw: json.RawMessage(event.Data)}
	if err := json.Unmarshal(chunk.Raw, &chunk.Body); err != nil {
		return Chunk{}, false, fmt.Errorf("%w: %s", ErrTruncated, err.Error())
	}
	if chunk.Finish() {
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
	s.next++
	return chunk, true, nil
}

// end checks the end marker: its offset is the number of content chunks, the
// finish reason must have come, and the token count must match.
func (s *Stream) end(id EventID) error {
	if id.Offset != s.next || !s.finished {
		return fmt.Errorf("%w: end marker at offset %d where %d was expected", ErrTruncated, id.Offset, s.next)
	}
	if s.usage != nil && s.usage.CompletionTokens != s.next {
		return fmt.Errorf("%w: %d chunks for %d tokens", ErrTruncated, s.next, s.usage.CompletionTokens)
	}
	s.whole = true
	return io.EOF
}

// Whole reports whether the end marker was received and everything before it
// was delivered.
func (s *Stream) Whole() bool { return s.whole }
