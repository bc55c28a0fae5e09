// Package core implements the life of a request: it authenticates the request,
// chooses a backend server, sends attempts, relays the answer, decides about retries
// and meters usage. It does not parse protocol messages. The caller side and the
// backend side implement the interfaces Sink and Upstream.
package core

import (
	"context"
	"time"

	"github.com/figweir/figweir/backends"
)

// Request is one request of a caller, decoded from the protocol.
type Request struct {
	ID string
	// Host and Path determine the route.
	Host, Path string
	// Key is the API key of the request; empty if there is none.
	Key       string
	ArrivedAt time.Time
	// Unread is how long the request had been waiting in the machine when it was read, as far
	// as the kernel tells.
	Unread time.Duration
	// ReadTime is the time from the first byte that was read of the request to its last one.
	ReadTime time.Duration
	// Caller is the caller's connection; nil if it can't be observed.
	Caller Caller
	// CallerTimeout is how long the caller waits for the answer; 0 if not stated.
	CallerTimeout time.Duration
	// Prompt is nil for requests to services that don't serve models.
	Prompt *backends.Prompt
	// LastEventID is the event after which the caller resumes a stream.
	LastEventID string
	// Message is the decoded protocol message. Only the implementations of Sink and
	// Upstream read it.
	Message any
	// ReleaseBody is called when the request will not be sent to another backend server; nil if
	// nothing is to be released. It may be called more than once.
	ReleaseBody func()
}

// releaseBody calls ReleaseBody.
func (r *Request) releaseBody() {
	if r.ReleaseBody != nil {
		r.ReleaseBody()
	}
}

// Caller is the connection of a caller.
type Caller interface {
	// HasLeft reports whether the caller has closed the connection, as far as this machine
	// knows, also if nothing has read that yet. It must not block.
	HasLeft() bool
}

// Attempt is one try to run a request on one backend server.
type Attempt struct {
	Request *Request
	Server  *backends.Server
	// Workspace is empty for requests without a key on public routes.
	Workspace string
	// Priority is 0 for the most urgent requests.
	Priority int
	// TimeLeft is the time until the deadline, which the backend server may use.
	TimeLeft time.Duration
	// LastEventID is the id of the last event that the caller has received; empty at the
	// start of a stream.
	LastEventID string
	// KVSource refers to the KV cache of a separate prefill; nil if there is none.
	KVSource *KVHandle
	// NewConnection is set if an earlier attempt was made to this address: on a connection that
	// carried it, a repeat of its response would have the right id.
	NewConnection bool
	// Trace records how far the attempt was sent.
	Trace *SendTrace
}

// KVHandle identifies KV cache that an engine holds for one request.
type KVHandle struct {
	// Address is the address of the engine.
	Address string
	ID      string
}

// Head holds the status code and the headers of an answer as the backend server sent
// them.
type Head struct {
	Status int
	// Message is the decoded protocol message with the headers.
	Message any
}

// Event is one or more complete server-sent events of a stream, as received.
type Event struct {
	Bytes []byte
	// LastID is the id of the last of these events; empty if none has an id.
	LastID string
}

// Answer is the answer of a backend server to one attempt.
type Answer interface {
	// Head returns the status code and the headers.
	Head() Head
	// Stream reports whether the answer is a stream of events.
	Stream() bool
	// ReadAll reads the complete body. If the body is truncated, it returns what has arrived
	// and an error.
	ReadAll() ([]byte, error)
	// Next returns the events that have arrived since the last call. It returns
	// io.EOF at the end of a complete stream and any other error if the stream was
	// interrupted.
	Next() (Event, error)
	// Close releases the answer and must be called once. If the answer has not been read
	// completely, the backend server learns at once that the request is canceled.
	Close()
}

// Outcome is the result of an attempt. The only implementations are NotSent, Abandoned,
// Refused, Lost and Answered.
type Outcome interface{ outcome() }

// NotSent means that the backend server can't have received the request.
type NotSent struct {
	Cause error
	// Connected is set if there was a connection, to which nothing was written.
	Connected bool
}

// Abandoned means that the attempt was not sent because the caller has left, see ErrCallerLeft.
type Abandoned struct{}

// Refused means that the backend server reported that it did not run the request.
type Refused struct {
	Status int
	// WrongServer means that a different backend server now uses the address.
	WrongServer bool
	// Response tells how the statement came.
	Response ResponseTrace
}

// Lost means that the request may have run but no answer was received.
type Lost struct{ Cause error }

// Answered means that the request has run and an answer is available.
type Answered struct{ Answer Answer }

func (NotSent) outcome()   {}
func (Abandoned) outcome() {}
func (Refused) outcome()   {}
func (Lost) outcome()      {}
func (Answered) outcome()  {}

// Upstream sends attempts to backend servers. Its methods may be called from any
// goroutine.
type Upstream interface {
	// Send sends one attempt, without retries. Canceling ctx ends the
	// attempt. Send and Prefill call a.Trace.BeforeWrite right before the first byte is
	// written, and send nothing if it returns an error.
	Send(ctx context.Context, a *Attempt) Outcome
	// Prefill processes the prompt of an attempt on the engine a.Server and returns
	// a handle of the KV cache. The outcome is nil if there is a handle.
	Prefill(ctx context.Context, a *Attempt) (*KVHandle, Outcome)
	// Free releases KV cache that no request will use.
	Free(h *KVHandle)
	// Crashed reports whether a backend server that has just broken off an exchange refuses
	// connections. It may take a few hundred milliseconds. A server that can't be reached has
	// not crashed as far as this node knows.
	Crashed(server *backends.Server) bool
}

// Sink sends the answer to the caller. An error of any method means that the caller
// has disconnected.
type Sink interface {
	// WriteAnswer sends a complete answer.
	WriteAnswer(h Head, body []byte) error
	// BeginStream sends the head of a stream.
	BeginStream(h Head) error
	// WriteEvents sends one or more complete events.
	WriteEvents(b []byte) error
	// EndStream completes the stream.
	EndStream() error
	// Abort terminates an incomplete answer so that the caller can distinguish it from
	// a complete one.
	Abort()
	// Refuse sends an answer that figweir generates itself.
	Refuse(r Refusal)
}
