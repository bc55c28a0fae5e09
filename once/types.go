package once

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// MaxAnswerBytes is the largest answer that is recorded whole. Of a longer one
// only the digest is kept.
const MaxAnswerBytes = 2048

// maxContentTypeBytes bounds the recorded content type.
const maxContentTypeBytes = 256

// maxOwnerBytes bounds the name of an incarnation.
const maxOwnerBytes = 128

// Key identifies a call: the hash of workspace, service and idempotency key.
type Key [16]byte

// Digest identifies the content of a call.
type Digest [16]byte

// Token identifies one claim.
type Token [16]byte

// Range is the number of a hash range.
type Range uint32

// NewKey hashes the parts of a key. Each part is hashed with its length, so that
// different parts never give the same input.
func NewKey(workspace, service, idempotencyKey string) Key {
	h := sha256.New()
	var length [8]byte
	for _, part := range [...]string{workspace, service, idempotencyKey} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return Key(h.Sum(nil)[:len(Key{})])
}

// NewDigest hashes the content of a call.
func NewDigest(content []byte) Digest {
	sum := sha256.Sum256(content)
	return Digest(sum[:len(Digest{})])
}

// NewToken returns a random token.
func NewToken() Token { return Token(uuid.New()) }

// RangeOf returns the range of a key among a number of ranges.
func RangeOf(k Key, ranges uint32) Range {
	return Range(binary.BigEndian.Uint64(k[:8]) % uint64(ranges))
}

// String returns the hexadecimal form.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// String returns the hexadecimal form.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// String returns the hexadecimal form.
func (t Token) String() string { return hex.EncodeToString(t[:]) }

// ParseID reads the hexadecimal form of a Key, Digest or Token.
func ParseID[T Key | Digest | Token](text string) (T, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(T{}) {
		return T{}, fmt.Errorf("once: %q is not %d bytes in hexadecimal", text, len(T{}))
	}
	return T(raw), nil
}

// Outcome is what is recorded of an answered call.
type Outcome struct {
	// Status is the HTTP status of the answer.
	Status      int
	ContentType string
	// Body is the answer, or nil if Truncated.
	Body []byte
	// BodyDigest is the SHA-256 of the whole answer in hexadecimal.
	BodyDigest string
	// Truncated says that the answer exceeds MaxAnswerBytes and was not kept.
	Truncated bool
}

// NewOutcome returns the record of an answer. It keeps the body if it has at
// most MaxAnswerBytes, and replaces an overlong content type.
func NewOutcome(status int, contentType string, body []byte) Outcome {
	sum := sha256.Sum256(body)
	if len(contentType) > maxContentTypeBytes {
		contentType = "application/octet-stream"
	}
	o := Outcome{Status: status, ContentType: contentType, BodyDigest: hex.EncodeToString(sum[:])}
	if len(body) > MaxAnswerBytes {
		o.Truncated = true
		return o
	}
	o.Body = append([]byte(nil), body...)
	return o
}

func (o *Outcome) check() error {
	if len(o.Body) > MaxAnswerBytes || len(o.ContentType) > maxContentTypeBytes || len(o.BodyDigest) > 2*sha256.Size {
		return fmt.Errorf("%w: outcome exceeds its limits", ErrInvalid)
	}
	return nil
}

// State is the answer to a claim.
type State int

// The answers to a claim. Only Granted allows the call to be sent.
const (
	// Refused means that nothing may be sent: the claim is not recorded. It says
	// nothing of earlier requests with the same key.
	Refused State = iota
	// Granted means that the claim is recorded and the call may be sent once.
	Granted
	// InProgress means that another claim of a live owner is open.
	InProgress
	// Done means that the call has run and its outcome is recorded. The outcome is
	// absent if it can't be read at the moment; the caller may ask again.
	Done
	// Unknown means that the call may have been sent and no outcome will come.
	Unknown
	// KeyReused means that the key is in use for a call with another content.
	KeyReused
)

var stateNames = [...]string{"refused", "granted", "in_progress", "done", "unknown", "key_reused"}

// String returns the name of the state.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return stateNames[s]
}

// ClaimRequest asks a writer to record a claim.
type ClaimRequest struct {
	Range      Range
	Key        Key
	BodyDigest Digest
	// Owner is the incarnation of the node that will send the call.
	Owner string
	Token Token
}

// Answer is a writer's answer to a claim. Refused from a writer is definite:
// this request has not recorded the claim and will not record it later.
type Answer struct {
	State   State
	Outcome *Outcome
}

// Settlement says how a claimed call ended.
type Settlement int

// The ways in which a claimed call ends.
const (
	// Finished means that an outcome was received.
	Finished Settlement = iota
	// Lost means that the call was sent and its outcome can't be learned.
	Lost
	// Released means that the call was certainly not sent.
	Released
)

// FinishRequest asks a writer to record how a claimed call ended.
type FinishRequest struct {
	Range      Range
	Key        Key
	Token      Token
	Settlement Settlement
	// Outcome is set if the settlement is Finished.
	Outcome *Outcome
}

// Errors of this package.
var (
	// ErrNoAnswer means that the writer gave no answer; the request may take
	// effect later.
	ErrNoAnswer = errors.New("once: no answer from the writer of the range")
	// ErrNotClaimed means that no open claim has this token. Repeating the
	// request is of no use.
	ErrNotClaimed = errors.New("once: no claim with this token")
	// ErrNotRecorded means that the request had no effect and may be repeated.
	ErrNotRecorded = errors.New("once: not recorded")
	// ErrInvalid means that a request is malformed.
	ErrInvalid = errors.New("once: invalid request")
	// ErrLayout means that the store holds another number of ranges than this
	// process is configured for.
	ErrLayout = errors.New("once: number of ranges differs from the store's")
	// ErrCorrupt means that a stored value can't be read.
	ErrCorrupt = errors.New("once: corrupt record")
)

// Handle reaches the writer of a range, in this process or on a peer. Both
// methods return when ctx ends.
type Handle interface {
	// Claim returns a definite answer, or an error after which the claim may or
	// may not be recorded.
	Claim(ctx context.Context, request ClaimRequest) (Answer, error)
	// Finish returns nil once the settlement is recorded. ErrNotClaimed is
	// final; after any other error the request may be repeated.
	Finish(ctx context.Context, request FinishRequest) error
}

// Incarnations tells which incarnations of nodes are gone. A wrong answer only
// changes whether an open claim is reported as in progress or unknown.
type Incarnations interface {
	Gone(owner string) bool
}

// RetryAfter is when a caller may come back after a refusal.
const RetryAfter = time.Second
