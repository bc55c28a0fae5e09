package backends

import (
	"errors"
	"time"
)

// Criteria are the properties of a request by which a backend server is selected.
type Criteria struct {
	Service string
	// Prompt is nil for services that don't serve models.
	Prompt *Prompt
	// Excluded holds the ids of servers that must not be selected.
	Excluded []string
	// TimeLeft is the time until the deadline, and TargetLatency the target for the
	// time to the first event.
	TimeLeft, TargetLatency time.Duration
	// TargetPause is the target for the longest pause between events; 0 if there is
	// none.
	TargetPause time.Duration
	// DemandCounted means that an earlier choice has added the prompt to the demand,
	// so that it is not counted again.
	DemandCounted bool
	// Prefilled means that the prompt has already been processed.
	Prefilled bool
	// HandleDomain is the failure domain of the engine that holds the KV cache.
	HandleDomain string
	// Resumed requests continue a stream after an event and need no separate prefill.
	Resumed bool

	// KVTokenBytes is the size of the KV cache of one token in bytes, and
	// LinkBitsPerSecond the bandwidth between engines; 0 if unknown.
	KVTokenBytes      float64
	LinkBitsPerSecond float64
}

const (
	// Callers are assumed to wait for an event for two seconds, four times the target
	// latency or eight times the target pause, whichever is longest.
	minCallerTimeout     = 2 * time.Second
	callerTimeoutTargets = 4
	callerTimeoutPauses  = 8
	// firstEventShare is the share of that time within which the first event must be
	// expected. It is below 1 because estimates are too short under load.
	firstEventShare = 0.8
)

// checkCallerTimeout returns ErrDeadlineUnreachable if the caller is expected to cancel before
// the first event, so that processing the request would be wasted.
func (c *Criteria) checkCallerTimeout(millis float64) error {
	callerTimeout := max(minCallerTimeout, callerTimeoutTargets*c.TargetLatency, callerTimeoutPauses*c.TargetPause)
	callerTimeout = min(callerTimeout, c.TimeLeft)
	if millis > firstEventShare*float64(callerTimeout/time.Millisecond) {
		return ErrDeadlineUnreachable
	}
	return nil
}

func (c *Criteria) excluded(id string) bool {
	for _, x := range c.Excluded {
		if x == id {
			return true
		}
	}
	return false
}

// Errors of Balancer.Choose.
var (
	// ErrNoServer means that no backend server of the service accepts requests.
	ErrNoServer = errors.New("backends: no backend server accepts requests")
	// ErrFull means that all registered servers are full or excluded.
	ErrFull = errors.New("backends: all backend servers are full or excluded")
	// ErrRateLimited means that all servers that could accept the request have reached their
	// rate limits.
	ErrRateLimited = errors.New("backends: all backend servers have reached their rate limits")
	// ErrDeadlineUnreachable means that no backend server is expected to answer in
	// time.
	ErrDeadlineUnreachable = errors.New("backends: no backend server can answer before the deadline")
)
