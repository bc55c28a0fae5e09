// Package backends holds the registered backend servers with the load and the failures
// that this node has observed, and selects a server for each attempt. It does no I/O.
package backends

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figweir/figweir/capacity"
)

// Role is the function of an engine.
type Role int

// The roles. Servers that are not engines have RoleNone.
const (
	RoleNone Role = iota
	RolePrefill
	RoleDecode
)

// State determines whether a backend server accepts new requests.
type State int

// The states. Draining servers receive no new requests.
const (
	Ready State = iota
	Draining
)

// Registration holds the properties that a backend server has registered.
type Registration struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that the server runs at a time.
	Slots  int
	State  State
	Role   Role
	Models []string
	// StartUnixMillis is the start time of the server in Unix milliseconds. It
	// distinguishes incarnations with the same id.
	StartUnixMillis int64
	// Reclaimable servers may be reclaimed together with all others of their failure
	// domain.
	Reclaimable bool
}

// Server is a registered backend server with the statistics of this node. When a
// registration changes, a new Server with the same statistics replaces it.
type Server struct {
	Registration
	// Hash is the hash of the id. Nodes use it to refer to the server in messages.
	Hash uint64
	// Incarnation is the hash of the id and the start time. Rate limits belong to it.
	Incarnation uint64
	stats       *stats
}

// OwnLoad returns the requests in progress and the unprocessed prompt tokens of this node
// on the server.
func (s *Server) OwnLoad() (requests, prefillTokens int64) {
	return s.stats.inflight.Load(), s.stats.prefillTokens.Load()
}

// stats holds what this node has observed of one incarnation of a backend server.
type stats struct {
	inflight atomic.Int64
	// prefillTokens is the number of prompt tokens that this node has sent, that were
	// not expected to be cached, and that have not been processed yet.
	prefillTokens atomic.Int64

	report atomic.Pointer[report]
	// model is what the server can do. It has no effect unless the server states its speed.
	model capacity.Model
	// roleChange is the last announced change of the role; nil if there was none.
	roleChange atomic.Pointer[roleChange]

	// failureRate is a moving average of 1 for a failed attempt and 0 for others, as
	// the bits of a float64. suspendedUntil is when the server is selected again after
	// it could not be reached, see sinceEpoch. Both are written with mu held and read
	// without it, since every selection reads them for every server.
	failureRate    atomic.Uint64
	suspendedUntil atomic.Int64
	// leavingSince is when the server stated that it is about to stop, and heldUntil when it
	// accepts requests of this node again, see sinceEpoch.
	leavingSince atomic.Int64
	heldUntil    atomic.Int64

	mu sync.Mutex
	// holdLimit is the longest hold for the next refusal, see Server.Hold.
	holdLimit time.Duration
	// suspendedFor is the length of the suspension that ends at suspendedUntil.
	suspendedFor time.Duration
	// cached holds the time at which this node last had each shared part processed
	// on this server.
	cached map[string]time.Time
}

// roleChange is a change of an engine's role. The engine refuses all requests from the
// order until it has the new role.
type roleChange struct {
	to Role
	// until is when the change is assumed to have failed.
	until time.Time
}

// SetRoleChange records that the engine was ordered to change its role. It is selected
// again once its registration shows the new role, or at the given time.
func (s *Server) SetRoleChange(to Role, until time.Time) {
	s.stats.roleChange.Store(&roleChange{to, until})
}

// isChangingRole reports whether the engine refuses requests because its role changes.
func (s *Server) isChangingRole(now time.Time) bool {
	c := s.stats.roleChange.Load()
	return c != nil && s.Role != c.to && now.Before(c.until)
}

// report is the load that a server reported with an answer.
type report struct {
	running, waiting, slots int64
	// ownRequests is the number of requests of this node at the time of receipt.
	ownRequests int64
	receivedAt  time.Time
	// slowdownPercent is the slowdown that the server stated; 0 if it did not.
	slowdownPercent int
}

// notSuspended is a value of suspendedUntil that has always passed.
const notSuspended = math.MinInt64

// epoch is the reference for times that are stored as nanoseconds. Differences to it
// use the monotonic clock.
var epoch = time.Now()

// sinceEpoch returns the nanoseconds from epoch to t.
func sinceEpoch(t time.Time) int64 { return int64(t.Sub(epoch)) }

// newStats returns the statistics of a new incarnation.
func newStats() *stats {
	s := &stats{cached: make(map[string]time.Time)}
	s.suspendedUntil.Store(notSuspended)
	s.heldUntil.Store(notSuspended)
	s.leavingSince.Store(notLeaving)
	return s
}

// RecordReport stores the load that the server reported with an answer, and its speed if it
// stated one.
func (s *Server) RecordReport(now time.Time, r capacity.Report) {
	s.stats.report.Store(&report{int64(r.Running), int64(r.Waiting), int64(r.Slots), s.stats.inflight.Load(), now, r.SlowdownPercent})
	s.stats.model.RecordReport(now, r)
}

// StatesSpeed reports whether the server has stated its speed.
func (s *Server) StatesSpeed() bool { return s.stats.model.StatesSpeed() }

// Capacity returns what the server can do now, as far as this node knows.
func (s *Server) Capacity(now time.Time) capacity.Estimate { return s.stats.model.At(now) }

const (
	// failureSmoothing is the weight of the latest attempt in the moving average of
	// failures.
	failureSmoothing = 0.2
	// minUnreachableSuspension and maxUnreachableSuspension bound the suspension after a
	// failure to connect.
	minUnreachableSuspension = 300 * time.Millisecond
	maxUnreachableSuspension = 3 * time.Second
	// minRefusedSuspension and maxRefusedSuspension bound the suspension after a full
	// server refused a request.
	minRefusedSuspension = 100 * time.Millisecond
	maxRefusedSuspension = 800 * time.Millisecond
	// notAcceptingSuspension is the suspension after a server with free slots refused
	// a request: it is changing its role or about to stop.
	notAcceptingSuspension = 1200 * time.Millisecond
	// reportDecay is half the age at which the weight of a reported load has fallen to
	// a quarter. A report that is older than reportDecay does not show that slots are
	// free.
	reportDecay = 500 * time.Millisecond
	// cachedPartTTL is how long a shared part is assumed to be cached after its last
	// use.
	cachedPartTTL = 20 * time.Second
	// maxCachedParts is the number of cached parts of one server above which old ones
	// are evicted.
	maxCachedParts = 512
)

// recordResult adds an attempt to the failure rate. A success ends a suspension.
func (s *stats) recordResult(failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failureRate := math.Float64frombits(s.failureRate.Load()) * (1 - failureSmoothing)
	if failed {
		failureRate += failureSmoothing
	} else {
		s.suspendedFor = 0
		s.suspendedUntil.Store(notSuspended)
	}
	s.failureRate.Store(math.Float64bits(failureRate))
}

// suspend excludes the server for a time that doubles with each consecutive failure,
// between minDuration and maxDuration.
func (s *stats) suspend(now time.Time, minDuration, maxDuration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspendedFor = min(max(minDuration, 2*s.suspendedFor), maxDuration)
	// A suspension that is in force does not become shorter.
	s.suspendedUntil.Store(max(s.suspendedUntil.Load(), sinceEpoch(now.Add(s.suspendedFor))))
}

// recordRefusal suspends a server that refused a request.
func (s *stats) recordRefusal(now time.Time) {
	if r := s.report.Load(); r != nil && r.running < r.slots && r.waiting == 0 && now.Sub(r.receivedAt) < reportDecay {
		s.suspend(now, notAcceptingSuspension, notAcceptingSuspension)
		return
	}
	s.suspend(now, minRefusedSuspension, maxRefusedSuspension)
}

// suspendedAt reports whether the server is suspended at a time, see sinceEpoch.
func (s *stats) suspendedAt(at int64) bool { return at < s.suspendedUntil.Load() }

// failedShare returns the moving average of failed attempts.
func (s *stats) failedShare() float64 { return math.Float64frombits(s.failureRate.Load()) }

// markCached records that the parts were used and are now cached.
func (s *stats) markCached(parts []Part, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.cached) > maxCachedParts {
		s.evictOldParts(now)
	}
	for _, p := range parts {
		s.cached[p.ID] = now
	}
}

// evictOldParts removes the parts that were not used for half of cachedPartTTL.
func (s *stats) evictOldParts(now time.Time) {
	for id, at := range s.cached {
		if now.Sub(at) > cachedPartTTL/2 {
			delete(s.cached, id)
		}
	}
}

// cachedTokens returns the number of tokens in the leading parts that are likely cached.
func (s *stats) cachedTokens(parts []Part, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens := 0
	for _, p := range parts {
		at, ok := s.cached[p.ID]
		if !ok || now.Sub(at) > cachedPartTTL {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// otherRequests estimates the requests of other nodes on the server from its last
// report. The weight of the report falls linearly with its age to a quarter.
func (s *stats) otherRequests(now time.Time) float64 {
	r := s.report.Load()
	if r == nil {
		return 0
	}
	n := float64(max(0, r.running+r.waiting-r.ownRequests))
	age := now.Sub(r.receivedAt)
	if age >= 2*reportDecay {
		return n / 4
	}
	return n * (1 - 0.75*float64(age)/float64(2*reportDecay))
}

// Suspend excludes the server from selection for a short time, because it does not accept
// connections.
func (s *Server) Suspend(now time.Time) {
	s.stats.suspend(now, minUnreachableSuspension, maxUnreachableSuspension)
}
