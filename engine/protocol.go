// Package engine is the client of model engines: streams in the
// chat-completions format with resume and cancel, load reports and orders.
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

// HTTP headers of a request to an engine.
const (
	HeaderRequest  = "X-Request-Id"
	HeaderAttempt  = "X-Attempt-Id"
	HeaderPriority = "X-Priority"
	// HeaderOffset is the number of chunks that the client already has.
	HeaderOffset = "X-Stream-Offset"
	// HeaderPrefillServer is the address of the engine that processes the
	// prompt and exports its KV cache to the engine that gets the request.
	HeaderPrefillServer = "X-Prefill-Server"
	// HeaderPrefixBlocks lists the hashes of the prompt's leading KV blocks, in
	// hexadecimal, separated by commas. Cache events refer to them.
	HeaderPrefixBlocks = "X-Prefix-Blocks"
)

// doneData is the payload of the last event of a stream.
const doneData = "[DONE]"

// Errors of streams.
var (
	// ErrNotSent means that no byte of the request can have reached the engine.
	ErrNotSent = errors.New("engine: request not sent")
	// ErrTruncated means that a stream ended without its end marker.
	ErrTruncated = errors.New("engine: stream truncated")
	// ErrRefused means that the engine refused the request without running it.
	ErrRefused = errors.New("engine: request refused")
	// ErrStreamUnknown means that the engine can't resume the stream.
	ErrStreamUnknown = errors.New("engine: stream unknown")
)

// EventID identifies a chunk: which attempt it belongs to and how many chunks
// of the answer precede it.
type EventID struct {
	Attempt string
	Offset  int
}

// String formats the id as it is sent in the "id" field of an event.
func (e EventID) String() string { return e.Attempt + "/" + strconv.Itoa(e.Offset) }

// ParseEventID parses the "id" field of an event.
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

// Delta is the text that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChunkChoice is one choice of a chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ChunkBody is a chunk in the chat-completions format.
type ChunkBody struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// Chunk is one event of a stream, checked to be the next one of its attempt.
type Chunk struct {
	// Offset is the number of content chunks before this one.
	Offset int
	Body   ChunkBody
	// Raw is the payload as received.
	Raw json.RawMessage
}

// Finish reports whether the chunk carries the finish reason.
func (c *Chunk) Finish() bool {
	return len(c.Body.Choices) > 0 && c.Body.Choices[0].FinishReason != nil
}

// Text returns the content that the chunk adds.
func (c *Chunk) Text() string {
	if len(c.Body.Choices) == 0 {
		return ""
	}
	return c.Body.Choices[0].Delta.Content
}

// LoadReport is what an engine says of its load. It lags.
type LoadReport struct {
	Role config.Role `json:"role"`
	// Sequence grows with each report; an older report never replaces a newer.
	Sequence uint64 `json:"sequence"`
	// Running and Queued count streams.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// QueuedPrefillTokens are prompt tokens that wait to be processed.
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
	KVBlocksFree        int `json:"kv_blocks_free"`
	KVBlocksTotal       int `json:"kv_blocks_total"`
	// Leaving engines take no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Received is set by the client.
	Received time.Time `json:"-"`
}

// CacheEvent says that an engine has cached or evicted blocks. Events arrive
// late and with gaps in their sequence.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Added    []uint64 `json:"added,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// FormatBlocks encodes block hashes for HeaderPrefixBlocks.
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

// ParseBlocks decodes HeaderPrefixBlocks. It stops at the first block that is
// malformed.
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

// OrderKind is what an order changes.
type OrderKind string

// The kinds of orders.
const (
	OrderRole        OrderKind = "role"
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	// OrderFence changes nothing; it makes a checking engine refuse orders
	// with an older fencing token.
	OrderFence OrderKind = "fence"
)

// Order is a command to an engine.
type Order struct {
	// ID identifies the order; an engine takes a repeat of it once.
	ID           string      `json:"id"`
	Kind         OrderKind   `json:"kind"`
	Role         config.Role `json:"role,omitempty"`
	Model        string      `json:"model,omitempty"`
	Version      string      `json:"version,omitempty"`
	FencingToken uint64      `json:"fencing_token"`
	// Sender is the incarnation of the node that sends the order.
	Sender string `json:"sender"`
}
