package caller

import (
	"encoding/json"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/membudget"
)

// TestEndlessAnswerIsNotCollected guards against a process that runs out of memory because an engine
// generates without end for a caller that does not stream, and against other answers that find
// no memory then.
func TestEndlessAnswerIsNotCollected(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	memory := membudget.New(limit)
	newWriter := func() answerWriter {
		return newAnswerWriter(httptest.NewRecorder(), "1", &chatRequest{Model: "m"}, 0, memory)
	}
	var chunk engine.Chunk
	is.NoErr(json.Unmarshal([]byte(`{"choices":[{"delta":{"content":"`+strings.Repeat("x", 4<<10)+`"}}]}`), &chunk.Body))
	endless, other := newWriter(), newWriter()
	var err error
	for i := 0; err == nil; i++ {
		is.True(i < 1000)
		err = endless.writeChunk(chunk)
	}
	is.True(errors.Is(err, membudget.ErrExhausted))
	is.True(memory.Used() <= limit)
	for range 10 {
		is.NoErr(other.writeChunk(chunk))
	}
	endless.fail(err)
	other.fail(nil)
	is.Equal(memory.Used(), int64(0))
}
