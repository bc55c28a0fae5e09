package ratelimit

import (
	"sync"
	"time"

	"github.com/figweir/figweir/permit"
)

// server is the state of one incarnation of a backend server that has stated a limit.
type server struct {
	key uint64

	mu    sync.Mutex
	known knowledge
	// permits holds the expiry times of the permits of this node, the earliest first.
	permits []time.Time
	// needed counts the requests that needed a permit since the last one was asked for.
	needed int
	// used and withheld count the requests that got a permit and that did not.
	used, withheld uint64

	// granters are the addresses of the granters, as of grantersAt.
	granters   []string
	grantersAt time.Time
	// rank is the index of the granter that is asked; 0 again from rankUntil on.
	rank      int
	rankUntil time.Time
	// requestID identifies the last permit request, sent at requestedAt; 0 if it is answered.
	requestID   uint64
	requestedAt time.Time
	// nextRequestAt is the earliest time of the next permit request.
	nextRequestAt time.Time

	// bucket, granted and otherGranted serve if this node is a granter: the permits that it
	// has granted, and the totals that other granters have told, by incarnation.
	bucket       bucket
	granted      uint64
	otherGranted permit.Totals
	announcedAt  time.Time
}

// rate returns the permits per second. s.mu must be held.
func (s *server) rate() float64 { return permitRate(s.known.perSecond) }

// dropExpired drops permits that have expired. s.mu must be held.
func (s *server) dropExpired(now time.Time) {
	for len(s.permits) > 0 && !now.Before(s.permits[0]) {
		s.permits = s.permits[1:]
	}
}

// addPermits adds permits that a granter granted for the last request. They expire counted from
// the time of the request, which is before the time of the grant. s.mu must be held.
func (s *server) addPermits(n int) {
	for range n {
		s.permits = append(s.permits, s.requestedAt.Add(permitLifetime))
	}
}

// changed applies a change of what is known about the limit. s.mu must be held.
func (s *server) changed(now time.Time, previous knowledge) {
	if !s.known.inForce() {
		s.permits, s.needed, s.requestID = nil, 0, 0
		return
	}
	if !previous.inForce() {
		// Permits for the time before are not saved up.
		s.bucket = bucket{permit.Bucket{UpdatedAt: now}}
		s.permits, s.needed, s.requestID, s.nextRequestAt = nil, 0, 0, time.Time{}
		return
	}
	if s.known.perSecond < previous.perSecond {
		s.permits = nil
		s.requestID = 0
		s.bucket.fill(now, permitRate(previous.perSecond))
		s.bucket.Tokens = min(s.bucket.Tokens, 0)
	}
}
