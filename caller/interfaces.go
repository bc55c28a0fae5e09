// Package caller implements the HTTP handler for callers. It authenticates a
// request, admits it, sends it to backend servers and returns the answer.
package caller

import (
	"context"
	"time"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/service"
)

// RequestInfo describes a request for admission and routing.
type RequestInfo struct {
	RequestID string
	Workspace string
	// Pool is the pool that serves the request.
	Pool *config.Pool
	// Service is the name of the model or of the service, under which burn rates
	// are reported.
	Service string
	// PromptTokens is an estimate, since only the engine counts the tokens.
	PromptTokens    int
	MaxOutputTokens int
	// PrefixBlocks are the hashes of the prompt's leading KV blocks.
	PrefixBlocks []uint64
	// Deadline is when the request times out; zero if unknown.
	Deadline time.Time
	// FirstTokenBy is the deadline for the first token.
	FirstTokenBy time.Time
	// Exclude names backend servers that must not be picked, since they were tried
	// already.
	Exclude []string
}

// Target is a backend server that was chosen for a request.
type Target struct {
	Name          string
	Address       string
	FailureDomain string
	// PrefillAddress is the address of the engine that processes the prompt, or ""
	// if it is the same engine.
	PrefillAddress string
	// Release ends the reservation of the server. It must be called once.
	Release func()
	// TokensReceived reports to the router that tokens were received.
	TokensReceived func(tokens int)
}

// Router chooses backend servers.
type Router interface {
	// Pick reserves a server of the pool. Its errors are from apierr, with a
	// Retry-After value if a retry can succeed.
	Pick(pool *config.Pool, info RequestInfo) (Target, error)
	// RefreshLoads reads the load reports of the servers again. It is called after
	// a picked server has refused a request, which means that the reports are out
	// of date. It returns when they are refreshed or ctx ends.
	RefreshLoads(ctx context.Context)
}

// Admitter decides whether a request may run now.
type Admitter interface {
	// Admit waits in the queue of the workspace until the request may run, or
	// returns an error from apierr if the request is refused.
	Admit(ctx context.Context, info RequestInfo) (Admission, error)
	// Retry reports whether the retry budget of the service allows a retry.
	Retry(service string) bool
}

// Admission is the permission to run a request.
type Admission interface {
	// FirstToken reports that the first token was received, so that the prompt has
	// been processed.
	FirstToken()
	// Done ends the admission. It must be called once, with the numbers of tokens
	// used.
	Done(promptTokens, outputTokens int)
}

// Claimer records calls that must run at most once.
type Claimer interface {
	// Claim returns a claim if the call may be sent now, the recorded answer if
	// the call has run before, or otherwise an error from apierr.
	Claim(ctx context.Context, call ClaimedCall) (Claim, *service.Response, error)
}

// ClaimedCall identifies a call that must run at most once.
type ClaimedCall struct {
	Workspace      string
	Service        string
	IdempotencyKey string
	// Content is the method, the path and the body, which must be equal in a repeat
	// of the call.
	Content []byte
}

// Claim is the permission to send a call once.
type Claim interface {
	// Done records the answer.
	Done(answer service.Response)
	// MarkUnknown records that the call may have run.
	MarkUnknown()
	// Release records that the call was definitely not sent.
	Release()
}

// Meter counts usage.
type Meter interface {
	// Count adds usage. It returns when the usage is stored such that it survives
	// the loss of this node, or when ctx ends.
	Count(ctx context.Context, workspace string, calls, promptTokens, outputTokens int)
}

// Observer records the result of each request.
type Observer interface {
	// Observe records one result. It is called at most once per request.
	Observe(o Observation)
}

// Observation is the result of one request.
type Observation struct {
	Workspace string
	Service   string
	// Complete is true if the complete answer was sent to the caller.
	Complete bool
	// FirstToken is the time from the request to the first token.
	FirstToken time.Duration
	// Gaps is the number of intervals between two tokens. SlowGaps is the number of
	// those that were longer than the objective.
	Gaps     int
	SlowGaps int
	// Code is the error code of a request that was refused or failed, or "".
	Code apierr.Code
	// At is when the request ended.
	At time.Time
}

// Gate decides whether this node may serve with its current configuration.
type Gate interface {
	// Check returns nil if the node may serve, or an error from apierr that is
	// marked as not run.
	Check() error
}
