package ratelimit

import (
	"slices"
	"time"
)

// Report describes a limit for logs and operators.
type Report struct {
	Server    uint64
	PerSecond float64
	// InForce is false once the limit has been lifted.
	InForce bool
	// Age is the time since the limit came into force, and Confirmed since the last answer
	// that stated it.
	Age, Confirmed time.Duration
	// FromPeer is true if no answer to a request of this node has stated the limit.
	FromPeer bool
	// Permits is the number of unused permits of this node. Used and Withheld count the
	// requests that got a permit and that did not, Granted the permits that this node has
	// granted.
	Permits                 int
	Used, Withheld, Granted uint64
}

// report returns the report on a server. s.mu must be held.
func (s *server) report(now time.Time) Report {
	s.dropExpired(now)
	return Report{
		Server: s.key, PerSecond: s.known.perSecond, InForce: s.known.inForce(), Age: now.Sub(s.known.since),
		Confirmed: now.Sub(s.known.statedAt), FromPeer: s.known.fromPeer,
		Permits: len(s.permits), Used: s.used, Withheld: s.withheld, Granted: s.granted,
	}
}

// Reports returns the limits in force, ordered by server.
func (l *Limiter) Reports(now time.Time) []Report {
	var list []Report
	for _, s := range *l.servers.Load() {
		s.mu.Lock()
		if s.known.inForce() {
			list = append(list, s.report(now))
		}
		s.mu.Unlock()
	}
	slices.SortFunc(list, func(a, b Report) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	return list
}
