// Package core carries a request from authentication to its answer: it
// authenticates, chooses a backend server, sends attempts, relays the answer,
// settles failures and accounts. It parses no message. The ends that do, towards
// callers and towards backend servers, implement Sink and Upstream.
package core

import (
	"context"
	"time"

	"github.com/figweir/figweir/backends"
)

// Request is one request of a caller, as an end has decoded it.
type Request struct {
	ID string
	// Host and Path pick the route.
	Host, Path string
	// Key is the credential that came with the request.
	Key     string
	Arrived time.Time
	// Patience is how long the caller waits; 0 if it does not say.
	Patience time.Duration
	// Prompt is nil for requests that no engine serves.
	Prompt *backends.Prompt
	// LastEventID is the event after which the caller resumes a stream.
	LastEventID string
	// Message is the decoded message. Only the ends look into it.
	Message any
}

// Attempt is one request to one backend server.
type Attempt struct {
	Request *Request
	Server  *backends.Server
	// Workspace is empty on public routes.
	Workspace string
	Priority  int
	// Left is the time that the backend server may use.
	Left time.Duration
	// After is the last event that the caller has; empty at the start.
	After string
	// Source is the KV cache to go on from; nil if there is none.
	Source *Handle
}

// Handle names KV cache that an engine holds for one request.
type Handle struct {
	// Address is that of the engine.
	Address string
	ID      string
}

// Head is the start of an answer: status and headers as the backend server sent
// them.
type Head struct {
	Status  int
	Message any
}

// Event is one or more whole events of a stream, as received.
type Event struct {
	Bytes []byte
	// LastID is the id of the last of the events; empty if none has an id.
	LastID string
}

// Answer is the answer of a backend server to one attempt.
type Answer interface {
	Head() Head
	// Stream reports whether the answer is a stream of events.
	Stream() bool
	// Whole reads the body to its end. It fails if the answer is cut.
	Whole() ([]byte, error)
	// Next returns the events that have arrived, and io.EOF after the end of a
	// complete stream. Any other error means that the stream is cut.
	Next() (Event, error)
	// Close ends the exchange. Closing before the end makes the backend server
	// drop the request.
	Close()
}

// Outcome is how an attempt ended, a closed set: NotSent, Refused, Lost and
// Answered.
type Outcome interface{ outcome() }

// NotSent means that the backend server can't have received the request.
type NotSent struct{ Cause error }

// Refused means that the backend server has said that it did not run the
// request.
type Refused struct {
	Status int
	// WrongServer means that another backend server has the address.
	WrongServer bool
}

// Lost means that the request may have run and there is no answer.
type Lost struct{ Cause error }

// Answered means that the request has run.
type Answered struct{ Answer Answer }

func (NotSent) outcome()  {}
func (Refused) outcome()  {}
func (Lost) outcome()     {}
func (Answered) outcome() {}

// Upstream sends attempts to backend servers.
type Upstream interface {
	// Send sends one attempt, once. It ends when ctx ends.
	Send(ctx context.Context, a *Attempt) Outcome
	// Prefill has the prompt of an attempt processed by an engine and returns
	// the KV cache. The outcome is nil if there is a handle.
	Prefill(ctx context.Context, a *Attempt) (*Handle, Outcome)
	// Free gives up KV cache that no request will use.
	Free(h *Handle)
}

// Sink takes the answer to the caller. After an error of any method the caller
// is gone.
type Sink interface {
	// Whole sends a complete answer.
	Whole(h Head, body []byte) error
	// Begin starts a stream.
	Begin(h Head) error
	// Events sends whole events.
	Events(b []byte) error
	// End completes the stream.
	End() error
	// Abort ends an answer that is not complete, so that it can't look
	// complete.
	Abort()
	// Refuse sends an answer of figweir's own.
	Refuse(r Refusal)
}
