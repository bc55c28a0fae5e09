package route

import (
	"fmt"
	"time"
)

// Request holds the properties of a request that policies use.
type Request struct {
	PromptTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// Prefix holds the chained hashes of the complete prompt blocks, in order.
	Prefix []uint64
	// Exclude holds the names of servers that must not be chosen, for example because an
	// attempt there has failed.
	Exclude []string
	// Now is the time of the choice.
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

// Choice is the server of a request, or a prefill and a decode server. Prefill and Decode
// are equal if one server does both.
type Choice struct {
	Prefill, Decode *Server
	// CachedTokens is the number of prompt tokens that the prefill server is likely to
	// have cached.
	CachedTokens int
	// FirstToken is the estimated time to the first token; 0 if the policy doesn't
	// estimate it.
	FirstToken time.Duration
	// BetweenTokens is the estimated time between tokens; 0 if the policy doesn't
	// estimate it.
	BetweenTokens time.Duration
}

// Pair reports whether prefill and decode run on different servers.
func (c Choice) Pair() bool { return c.Prefill != c.Decode }

// Policy chooses the backend server of a request. Implementations are safe for use by
// many goroutines. Errors are of type *NoServerError.
type Policy interface {
	Pick(v *View, r *Request) (Choice, error)
}

// Reason is the cause of a NoServerError.
type Reason string

// The reasons of a NoServerError.
const (
	// ReasonEmpty means that the pool has no registered server.
	ReasonEmpty Reason = "no server is registered"
	// ReasonStopping means that all servers are draining or leaving.
	ReasonStopping Reason = "all servers are draining or leaving"
	// ReasonRole means that the usable servers can't run both prefill and decode.
	ReasonRole Reason = "no prefill and decode server are available together"
	// ReasonExcluded means that no usable server is left, because attempts of the request
	// have failed on all of them.
	ReasonExcluded Reason = "all usable servers are excluded by the request"
	// ReasonTooLarge means that the request needs more KV blocks than any server has. A
	// retry can't succeed.
	ReasonTooLarge Reason = "the request needs more KV blocks than any server has"
)

// NoServerError means that no server can be chosen. It states the cause and when to
// retry.
type NoServerError struct {
	Pool   string
	Reason Reason
	// RetryAfter is the time to wait before a retry; 0 if a retry can't succeed.
	RetryAfter time.Duration
	// Registered, Draining and Leaving count the servers of the pool.
	Registered int
	Draining   int
	Leaving    int
}

func (e *NoServerError) Error() string {
	return fmt.Sprintf("route: pool %s: %s (%d registered, %d draining, %d leaving)",
		e.Pool, e.Reason, e.Registered, e.Draining, e.Leaving)
}

// Retry delays. A drain or a role change takes seconds, and starting a new server takes
// longer.
const (
	retryAfterStopping = 3 * time.Second
	retryAfterEmpty    = 10 * time.Second
	retryAfterExcluded = time.Second
)

// noServerError returns a *NoServerError with the reason why no server can run r.
func (v *View) noServerError(r *Request, tooLarge bool) error {
	e := &NoServerError{Pool: v.Pool, Registered: len(v.Servers), Draining: v.draining, Leaving: v.leaving}
	mixed, prefill, decode := len(v.mixed.servers), len(v.prefill.servers), len(v.decode.servers)
	switch {
	case len(v.Servers) == 0:
		e.Reason, e.RetryAfter = ReasonEmpty, retryAfterEmpty
	case mixed+prefill+decode == 0:
		e.Reason, e.RetryAfter = ReasonStopping, retryAfterStopping
	case mixed == 0 && (prefill == 0 || decode == 0):
		e.Reason, e.RetryAfter = ReasonRole, retryAfterStopping
	case tooLarge:
		e.Reason = ReasonTooLarge
	default:
		e.Reason, e.RetryAfter = ReasonExcluded, retryAfterExcluded
	}
	return e
}
