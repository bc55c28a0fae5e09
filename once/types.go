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

// MaxOutcomeBodyBytes is the size of the largest response body that is
// recorded. For a larger body only the digest is recorded.
const MaxOutcomeBodyBytes = 2048

// maxContentTypeBytes limits the length of the recorded content type.
const maxContentTypeBytes = 256

// maxOwnerBytes limits the length of ClaimRequest.Owner.
const maxOwnerBytes = 128

// Key identifies a call. It is a hash of the workspace, the service and the
// idempotency key.
type Key [16]byte

// Digest is a hash of the content of a call.
type Digest [16]byte

// Token is the unique ID of one claim.
type Token [16]byte

// Range is the number of a hash range, starting at 0.
type Range uint32

// NewKey returns the key of a call. Each part is hashed together with its
// length, so that two different sets of parts never produce the same hash
// input.
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

// NewDigest returns the digest of the content of a call.
func NewDigest(content []byte) Digest {
	sum := sha256.Sum256(content)
	return Digest(sum[:len(Digest{})])
}

// NewToken returns a random token.
func NewToken() Token { return Token(uuid.New()) }

// RangeOf returns the hash range that a key belongs to, out of the given number
// of ranges.
func RangeOf(k Key, ranges uint32) Range {
	return Range(binary.BigEndian.Uint64(k[:8]) % uint64(ranges))
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// String returns the token in hexadecimal.
func (t Token) String() string { return hex.EncodeToString(t[:]) }

// ParseID parses the hexadecimal form of a Key, Digest or Token. It returns an
// error if text is not hexadecimal or has the wrong length.
func ParseID[T Key | Digest | Token](text string) (T, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(T{}) {
		return T{}, fmt.Errorf("once: %q is not the hexadecimal form of %d bytes", text, len(T{}))
	}
	return T(raw), nil
}

// Outcome is the recorded response to a call.
type Outcome struct {
	// Status is the HTTP status code of the response.
	Status      int
	ContentType string
	// Body is the response body, or nil if Truncated is set.
	Body []byte
	// BodyDigest is the SHA-256 hash of the complete response body in
	// hexadecimal.
	BodyDigest string
	// Truncated is set if the response body was longer than MaxOutcomeBodyBytes
	// and was not recorded.
	Truncated bool
}

// NewOutcome returns the outcome to record for a response. Bodies longer than
// MaxOutcomeBodyBytes are left out, and a content type longer than
// maxContentTypeBytes is replaced by application/octet-stream.
func NewOutcome(status int, contentType string, body []byte) Outcome {
	sum := sha256.Sum256(body)
	if len(contentType) > maxContentTypeBytes {
		contentType = "application/octet-stream"
	}
	o := Outcome{Status: status, ContentType: contentType, BodyDigest: hex.EncodeToString(sum[:])}
	if len(body) > MaxOutcomeBodyBytes {
		o.Truncated = true
		return o
	}
	o.Body = append([]byte(nil), body...)
	return o
}

func (o *Outcome) validate() error {
	if len(o.Body) > MaxOutcomeBodyBytes || len(o.ContentType) > maxContentTypeBytes || len(o.BodyDigest) > 2*sha256.Size {
		return fmt.Errorf("%w: outcome exceeds the size limits", ErrInvalid)
	}
	return nil
}

// State is the result of a claim request.
type State int

// The results of a claim request. The call may be sent only after Granted.
const (
	// Refused means that the claim is not recorded and the call must not be
	// sent. It doesn't indicate whether an earlier request with the same key
	// was sent.
	Refused State = iota
	// Granted means that the claim is recorded and the call may be sent once.
	Granted
	// InProgress means that another claim on the key is open and its owner is
	// still running.
	InProgress
	// Done means that the call has run and its outcome is recorded. The outcome
	// is missing if it can't be read at the moment; the request may be
	// repeated.
	Done
	// Unknown means that the call may have been sent and its outcome will never
	// be recorded.
	Unknown
	// KeyReused means that the key is already in use for a call with different
	// content.
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

// ClaimRequest is a request to the writer of a range to record a claim.
type ClaimRequest struct {
	Range      Range
	Key        Key
	BodyDigest Digest
	// Owner is the incarnation of the node that is going to send the call.
	Owner string
	Token Token
}

// ClaimResponse is a writer's response to a ClaimRequest. If the state is Refused,
// this request has not recorded the claim and never will.
type ClaimResponse struct {
	State State
	// Outcome is set if the state is Done and the outcome could be read.
	Outcome *Outcome
}

// Settlement is the final result of a claimed call.
type Settlement int

// The final results of a claimed call.
const (
	// Finished means that the outcome of the call was received.
	Finished Settlement = iota
	// Lost means that the call was sent and its outcome can't be determined.
	Lost
	// Released means that the call was definitely not sent.
	Released
)

// FinishRequest is a request to the writer of a range to record the settlement
// of a claim.
type FinishRequest struct {
	Range      Range
	Key        Key
	Token      Token
	Settlement Settlement
	// Outcome is set only if Settlement is Finished.
	Outcome *Outcome
}

// Errors returned by range writers and handles.
var (
	// ErrNoResponse means that no response was received from the writer. The
	// request may still take effect later.
	ErrNoResponse = errors.New("once: no response from the writer of the range")
	// ErrNotClaimed means that there is no open claim with this token. Repeating
	// the request can't succeed.
	ErrNotClaimed = errors.New("once: no open claim with this token")
	// ErrNotRecorded means that the request had no effect and may be repeated.
	ErrNotRecorded = errors.New("once: not recorded")
	// ErrInvalid means that a request is malformed or was sent to the wrong
	// range.
	ErrInvalid = errors.New("once: invalid request")
	// ErrLayout means that the number of ranges in the store differs from the
	// configured one.
	ErrLayout = errors.New("once: number of ranges differs from the stored one")
	// ErrCorrupt means that a stored value can't be decoded.
	ErrCorrupt = errors.New("once: corrupt record")
)

// Handle gives access to the writer of a range, in this process or on another
// node. Both methods return when ctx ends.
type Handle interface {
	// Claim returns the writer's response. After an error, the claim may or may
	// not be recorded.
	Claim(ctx context.Context, request ClaimRequest) (ClaimResponse, error)
	// Finish returns nil once the settlement is recorded. ErrNotClaimed and
	// ErrInvalid are final; after any other error the request may be repeated.
	Finish(ctx context.Context, request FinishRequest) error
}

// Incarnations reports which node incarnations have ended. A wrong result only
// affects whether an open claim is reported as InProgress or Unknown.
type Incarnations interface {
	// Gone reports whether the incarnation owner has ended.
	Gone(owner string) bool
}

// RetryAfter is how long a caller should wait before it repeats a refused
// request.
const RetryAfter = time.Second
