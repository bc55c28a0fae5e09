// Package engine implements the client side of the protocol of model engines:
// streams in the chat-completions format, which can be resumed and canceled, load
// reports, cache events and orders.
package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/figweir/figweir/config"
)

// HTTP headers of requests to an engine.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttemptID = "X-Attempt-Id"
	HeaderPriority  = "X-Priority"
	// HeaderStreamOffset is the number of chunks that the client has already
	// received, from which a stream is resumed.
	HeaderStreamOffset = "X-Stream-Offset"
	// HeaderPrefillServer is the address of the engine that processes the
	// prompt and exports its KV cache to the engine that receives the request.
	HeaderPrefillServer = "X-Prefill-Server"
	// HeaderPrefixBlocks lists the hashes of the prompt's leading KV blocks in
	// hexadecimal, separated by commas. Cache events use the same hashes.
	HeaderPrefixBlocks = "X-Prefix-Blocks"
)

// HeaderNotRun is the header of a response with which an engine states that it has not run the
// request. A status alone does not state that.
const HeaderNotRun = "X-Not-Run"

// doneData is the payload of the end marker, which is the last event of a stream.
const doneData = "[DONE]"

// Errors of Client and Stream.
var (
	// ErrNotSent is returned when no connection could be made, so that no byte
	// of the request can have reached the engine.
	ErrNotSent = errors.New("engine: request not sent")
	// ErrTruncated is returned when a stream ended without its end marker or
	// with chunks missing, or when it could not be opened although the engine
	// may have started the request.
	ErrTruncated = errors.New("engine: stream truncated")
	// ErrRefused is returned when the engine refused the request. ProvesNotRun
	// tells whether it is certain that the engine has not run it.
	ErrRefused = errors.New("engine: request refused")
	// ErrStreamUnknown is returned when the engine no longer has the stream to
	// resume.
	ErrStreamUnknown = errors.New("engine: stream unknown")
)

// EventID identifies an event of a stream by its attempt and by the number of
// content chunks that precede it.
type EventID struct {
	Attempt string
	Offset  int
}

// String formats the ID as ATTEMPT/OFFSET, as sent in the "id" field of an event.
func (e EventID) String() string { return e.Attempt + "/" + strconv.Itoa(e.Offset) }

// ParseEventID parses the "id" field of an event. It returns an error if the
// attempt is empty or the offset is not a non-negative decimal number.
func ParseEventID(s string) (EventID, error) {
	i := strings.LastIndexByte(s, '/')
	if i <= 0 {
		return EventID{}, fmt.Errorf("engine: malformed event id %q", s)
	}
	offset, err := strconv.Atoi(s[i+1:])
	if err != nil || offset < 0 {
		return EventID{}, fmt.Errorf("engine: malformed event id %q", s)
	}
	return EventID{Attempt: s[:i], Offset: offset}, nil
}

// Delta is the text that a chunk appends to the answer.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChunkChoice holds the text that a chunk appends to one choice of the answer,
// or the reason why the choice ended.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Usage holds the token counts of a request, as the engine reports them at the
// end of a stream.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ChunkBody is the JSON payload of a chunk in the chat-completions format.
type ChunkBody struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// Chunk is one event of a stream. Stream.Next has verified that it is the next
// one of its attempt.
type Chunk struct {
	// Offset is the number of content chunks before this one.
	Offset int
	Body   ChunkBody
	// Raw is the JSON payload as received.
	Raw json.RawMessage
}

// HasFinishReason reports whether the chunk holds the finish reason, which ends the answer.
func (c *Chunk) HasFinishReason() bool {
	return len(c.Body.Choices) > 0 && c.Body.Choices[0].FinishReason != nil
}

// Text returns the content that the chunk appends to the first choice.
func (c *Chunk) Text() string {
	if len(c.Body.Choices) == 0 {
		return ""
	}
	return c.Body.Choices[0].Delta.Content
}

// LoadReport is the load of an engine as the engine reports it. The figures can
// be out of date when they arrive.
type LoadReport struct {
	Role config.Role `json:"role"`
	// Sequence increases with each report, so that an older report never
	// replaces a newer one.
	Sequence uint64 `json:"sequence"`
	// Running and Queued are numbers of streams.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// QueuedPrefillTokens is the number of prompt tokens that wait to be
	// processed.
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
	KVBlocksFree        int `json:"kv_blocks_free"`
	KVBlocksTotal       int `json:"kv_blocks_total"`
	// Leaving is set if the engine is about to be removed. It must get no new
	// streams.
	Leaving bool `json:"leaving,omitempty"`
	// ReceivedAt is when the client received the report; the client sets it.
	ReceivedAt time.Time `json:"-"`
}

// CacheEvent reports the KV blocks that an engine has cached and evicted, by their
// hashes. Events arrive late and with gaps in their sequence numbers.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Added    []uint64 `json:"added,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// FormatBlocks encodes block hashes as a value of HeaderPrefixBlocks.
func FormatBlocks(blocks []uint64) string {
	var b strings.Builder
	for i, hash := range blocks {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.FormatUint(hash, 16))
	}
	return b.String()
}

// ParseBlocks decodes a value of HeaderPrefixBlocks. It returns the hashes before
// the first malformed one.
func ParseBlocks(s string) []uint64 {
	var out []uint64
	for part := range strings.SplitSeq(s, ",") {
		hash, err := strconv.ParseUint(part, 16, 64)
		if err != nil {
			break
		}
		out = append(out, hash)
	}
	return out
}

// OrderKind selects what an order changes.
type OrderKind string

// Kinds of orders.
const (
	OrderRole        OrderKind = "role"
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	// OrderFence changes nothing on the engine but the highest fencing token
	// that it has accepted: an engine that checks tokens then refuses orders
	// with a lower one.
	OrderFence OrderKind = "fence"
)

// Order instructs an engine to change its role, to load a model or an adapter, or to
// refuse orders with lower fencing tokens.
type Order struct {
	// ID identifies the order. The engine carries out an order that is sent
	// several times with the same ID only once.
	ID           string      `json:"id"`
	Kind         OrderKind   `json:"kind"`
	Role         config.Role `json:"role,omitempty"`
	Model        string      `json:"model,omitempty"`
	Version      string      `json:"version,omitempty"`
	FencingToken uint64      `json:"fencing_token"`
	// Sender is the incarnation of the node that sends the order.
	Sender string `json:"sender"`
}
