package route

import (
	"fmt"
	"time"
)

// Request is what a policy needs to know of a request.
type Request struct {
	PromptTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// Prefix holds the chained hashes of the full prompt blocks, first to last.
	Prefix []uint64
	// Exclude names servers that must not be chosen, for example because an
	// attempt there has failed.
	Exclude []string
	// Now is the time of the decision.
	Now time.Time
}

func (r *Request) excluded(name string) bool {
	for _, n := range r.Exclude {
		if n == name {
			return true
		}
	}
	return false
}

// Choice names the server of a request, or a prefill and a decode server. Where
// one server does both, Prefill and Decode are equal.
type Choice struct {
	Prefill, Decode *Server
	// CachedTokens is how much of the prompt the prefill server has cached.
	CachedTokens int
	// FirstToken estimates the time to the first token; 0 if the policy makes
	// no estimate.
	FirstToken time.Duration
	// BetweenTokens estimates the time between tokens; 0 if there is no estimate.
	BetweenTokens time.Duration
}

// Pair reports whether prefill and decode run on different servers.
func (c Choice) Pair() bool { return c.Prefill != c.Decode }

// Policy chooses the backend server of a request. Implementations are safe for
// use by many goroutines. The error is a *NoServerError.
type Policy interface {
	Pick(v *View, r *Request) (Choice, error)
}

// Reason says why no server could be picked.
type Reason string

// The reasons of a NoServerError.
const (
	// ReasonEmpty means that the pool has no registered server.
	ReasonEmpty Reason = "no server is registered"
	// ReasonStopping means that all servers are draining or leaving.
	ReasonStopping Reason = "all servers are draining or leaving"
	// ReasonRole means that the servers left can't do prefill and decode.
	ReasonRole Reason = "no prefill and decode server are available together"
	// ReasonExcluded means that the request has failed on all usable servers.
	ReasonExcluded Reason = "all usable servers are excluded by the request"
	// ReasonTooLarge means that the request needs more KV blocks than any
	// server has. There is no point in retrying.
	ReasonTooLarge Reason = "the request needs more KV blocks than any server has"
)

// NoServerError says why no server could be picked and when to retry.
type NoServerError struct {
	Pool   string
	Reason Reason
	// RetryAfter is 0 if a retry can't succeed.
	RetryAfter time.Duration
	Registered int
	Draining   int
	Leaving    int
}

func (e *NoServerError) Error() string {
	return fmt.Sprintf("route: pool %s: %s (%d registered, %d draining, %d leaving)",
		e.Pool, e.Reason, e.Registered, e.Draining, e.Leaving)
}

// Times to retry after. A drain or role change takes seconds, and a new server
// takes longer than that to start.
const (
	retryAfterStopping = 3 * time.Second
	retryAfterEmpty    = 10 * time.Second
	retryAfterExcluded = time.Second
)

// fail explains why v offers nothing for r.
func (v *View) fail(r *Request, tooLarge bool) error {
	e := &NoServerError{Pool: v.Pool, Registered: len(v.Servers), Draining: v.draining, Leaving: v.leaving}
	both, prefill, decode := len(v.both.servers), len(v.prefill.servers), len(v.decode.servers)
	switch {
	case len(v.Servers) == 0:
		e.Reason, e.RetryAfter = ReasonEmpty, retryAfterEmpty
	case both+prefill+decode == 0:
		e.Reason, e.RetryAfter = ReasonStopping, retryAfterStopping
	case both == 0 && (prefill == 0 || decode == 0):
		e.Reason, e.RetryAfter = ReasonRole, retryAfterStopping
	case tooLarge:
		e.Reason = ReasonTooLarge
	default:
		e.Reason, e.RetryAfter = ReasonExcluded, retryAfterExcluded
	}
	return e
}
