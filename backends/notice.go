package backends

import (
	"math"
	"time"
)

// Notice is what a backend server states about itself in an answer, apart from its load.
type Notice struct {
	// Limit is the rate limit that the server states.
	Limit LimitStatement
	// Leaving means that the server is about to stop and accepts no further requests.
	Leaving bool
	// RetryAfter is how long the server refuses requests of this node; 0 if not stated.
	RetryAfter time.Duration
}

// LimitStatement is what one answer states about the rate limit of its server.
type LimitStatement struct {
	Kind LimitKind
	// PerSecond is the number of requests per second that the server accepts from all
	// nodes together. It is set only for Limited and is finite and not negative.
	PerSecond float64
}

// LimitKind tells the kinds of statements about a rate limit apart.
type LimitKind int

// The kinds of statements.
const (
	// Unlimited means that the answer states no limit, so none is in force.
	Unlimited LimitKind = iota
	// Limited means that the answer states a limit.
	Limited
	// Unreadable means that the statement could not be decoded. What was known before
	// stays in force.
	Unreadable
)

// notLeaving is the value of leavingSince of a server that has not stated that it leaves.
const notLeaving = math.MinInt64

const (
	// firstHoldLimit bounds how long one refusal keeps requests away from a server. If the
	// server refuses the next request too, the bound is holdLimitGrowth times as long, so a
	// server that states a very long time gets few requests within it.
	firstHoldLimit  = 10 * time.Minute
	holdLimitGrowth = 6
)

// MarkLeaving records that the server stated that it is about to stop. It gets no further
// requests of this node unless MarkStaying is called or it starts again.
func (s *Server) MarkLeaving(now time.Time) {
	s.stats.leavingSince.CompareAndSwap(notLeaving, sinceEpoch(now))
}

// ConfirmLeaving records that the server still leaves, or can't be reached.
func (s *Server) ConfirmLeaving(now time.Time) { s.stats.leavingSince.Store(sinceEpoch(now)) }

// MarkStaying records that the server does not stop after all.
func (s *Server) MarkStaying() { s.stats.leavingSince.Store(notLeaving) }

// IsLeaving reports whether the server stated that it is about to stop.
func (s *Server) IsLeaving() bool { return s.stats.leavingSince.Load() != notLeaving }

// LeavingFor returns the time since the server stated that it is about to stop, or since that was
// last confirmed.
func (s *Server) LeavingFor(now time.Time) time.Duration {
	return time.Duration(sinceEpoch(now) - s.stats.leavingSince.Load())
}

// Hold keeps requests of this node away from the server for a time that it stated. A hold does
// not end earlier because a request that was sent before succeeds, or because a later refusal
// states a shorter time.
func (s *Server) Hold(now time.Time, d time.Duration) {
	st := s.stats
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.holdLimit == 0 {
		st.holdLimit = firstHoldLimit
	}
	if d > st.holdLimit {
		d = st.holdLimit
		if sinceEpoch(now) >= st.heldUntil.Load() {
			st.holdLimit = min(st.holdLimit*holdLimitGrowth, math.MaxInt64/(2*holdLimitGrowth))
		}
	}
	st.heldUntil.Store(max(st.heldUntil.Load(), sinceEpoch(now.Add(d))))
}

// heldFor returns the time until the hold of the server ends; 0 or less if there is none.
func (s *Server) heldFor(now time.Time) time.Duration {
	until := s.stats.heldUntil.Load()
	if until == notSuspended {
		return 0
	}
	return time.Duration(until - sinceEpoch(now))
}

// declinesAt reports whether the server has stated that it wants no request of this node at a
// time, see sinceEpoch.
func (s *Server) declinesAt(at int64) bool { return s.IsLeaving() || at < s.stats.heldUntil.Load() }
