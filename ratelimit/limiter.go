package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/figweir/figweir/permit"
)

const (
	// permitLifetime bounds how many permits may be unused at the same time.
	permitLifetime = time.Second
	// requestTimeout is how long a granter may take to answer.
	requestTimeout = 250 * time.Millisecond
	// failoverTime is how long the next granter is asked after one did not answer.
	failoverTime = 5 * time.Second
	// grantersTTL is how long the choice of granters is kept.
	grantersTTL = 500 * time.Millisecond
	// maxPermitsPerRequest bounds one permit request.
	maxPermitsPerRequest = 64
	// minRequestInterval is the time between two permit requests of a node for a server.
	minRequestInterval = 20 * time.Millisecond
	// announceInterval is the time between two announcements of a limit that changes.
	announceInterval = 200 * time.Millisecond
	// maxOutbox bounds the messages that wait to be sent.
	maxOutbox = 4096
)

// Event is a change of a limit, for logs.
type Event string

// The events.
const (
	EventStated  Event = "stated"
	EventChanged Event = "changed"
	EventLifted  Event = "lifted"
)

// Limiter decides for one node which requests it may send to limited backend servers, and grants
// permits to other nodes. Its methods may be called from any goroutine.
type Limiter struct {
	// self is the address of this node among the granters.
	self        string
	incarnation uint64
	// granters returns the addresses of the nodes that grant permits for a server, the first
	// choice first; nil while the nodes are not known.
	granters func(server uint64) []string
	// OnEvent is called after each change of a limit. It must be set before the first call and
	// must not block.
	OnEvent func(e Event, r Report)

	mu      sync.Mutex
	servers atomic.Pointer[map[uint64]*server]

	outboxMu sync.Mutex
	outbox   []Message
	pending  chan struct{}
	requests atomic.Uint64
}

// New returns a limiter without limits. self is the address of this node as granters returns it,
// incarnation a random number that identifies this run of the node.
func New(self string, incarnation uint64, granters func(server uint64) []string) *Limiter {
	l := &Limiter{self: self, incarnation: incarnation, granters: granters, pending: make(chan struct{}, 1), OnEvent: func(Event, Report) {}}
	l.servers.Store(&map[uint64]*server{})
	return l
}

// find returns the state of a server, or nil if it never stated a limit.
func (l *Limiter) find(key uint64) *server { return (*l.servers.Load())[key] }

// findOrAdd returns the state of a server.
func (l *Limiter) findOrAdd(key uint64) *server {
	if s := l.find(key); s != nil {
		return s
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := *l.servers.Load()
	if s := old[key]; s != nil {
		return s
	}
	next := make(map[uint64]*server, len(old)+1)
	for k, s := range old {
		next[k] = s
	}
	s := &server{key: key, otherGranted: make(permit.Totals)}
	next[key] = s
	l.servers.Store(&next)
	return s
}

// Retain forgets all servers for which keep returns false.
func (l *Limiter) Retain(keep func(server uint64) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := *l.servers.Load()
	next := make(map[uint64]*server, len(old))
	for k, s := range old {
		if keep(k) {
			next[k] = s
		}
	}
	if len(next) < len(old) {
		l.servers.Store(&next)
	}
}

// Stated records that an answer stated a limit. The answer belongs to a request of this node that
// was sent at sentAt.
func (l *Limiter) Stated(now, sentAt time.Time, key uint64, perSecond float64) {
	s := l.findOrAdd(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.known
	if !s.known.state(perSecond, sentAt, now) {
		return
	}
	l.changed(now, s, previous)
	if now.Sub(s.announcedAt) >= announceInterval {
		s.announcedAt = now
		statement := s.known.statement(key)
		l.send(Message{Statement: &statement})
	}
}

// NotStated records that an answer stated no limit. The answer belongs to a request of this node
// that was sent at sentAt.
func (l *Limiter) NotStated(now, sentAt time.Time, key uint64) {
	s := l.find(key)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.known
	if !s.known.lift(sentAt) {
		return
	}
	l.changed(now, s, previous)
	statement := s.known.statement(key)
	l.send(Message{Statement: &statement})
}

// changed applies a change of what is known about a server. s.mu must be held.
func (l *Limiter) changed(now time.Time, s *server, previous knowledge) {
	s.changed(now, previous)
	event := EventChanged
	switch {
	case !s.known.inForce():
		event = EventLifted
	case !previous.inForce():
		event = EventStated
	}
	l.OnEvent(event, s.report(now))
}

// Limit returns the limit of a server in requests per second, or false if none is in force.
func (l *Limiter) Limit(key uint64) (perSecond float64, limited bool) {
	s := l.find(key)
	if s == nil {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known.perSecond, s.known.inForce()
}

// Allows reports whether a request may be sent to a server now. It takes no permit.
func (l *Limiter) Allows(now time.Time, key uint64) bool {
	s := l.find(key)
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known.inForce() {
		return true
	}
	s.dropExpired(now)
	if len(s.permits) > 0 {
		return true
	}
	if !l.isFirstGranter(now, s) {
		return false
	}
	s.bucket.fill(now, s.rate())
	return s.bucket.Tokens >= 1
}

// Acquire takes a permit for a request to a server and reports whether there was one. Without
// one, and to have one for the next request, it asks a granter. A request to a server without a
// limit needs no permit.
func (l *Limiter) Acquire(now time.Time, key uint64) bool {
	s := l.find(key)
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known.inForce() {
		return true
	}
	s.needed++
	acquired := l.takePermit(now, s)
	if acquired {
		s.used++
	} else {
		s.withheld++
	}
	l.requestPermits(now, s)
	return acquired
}

// takePermit takes a permit of this node, or grants one to itself. s.mu must be held.
func (l *Limiter) takePermit(now time.Time, s *server) bool {
	s.dropExpired(now)
	if len(s.permits) > 0 {
		s.permits = s.permits[1:]
		return true
	}
	return l.isFirstGranter(now, s) && l.grant(now, s, 1) == 1
}

// isFirstGranter reports whether this node is the first choice among the granters of a server.
// s.mu must be held.
func (l *Limiter) isFirstGranter(now time.Time, s *server) bool {
	granters := l.grantersOf(now, s)
	return len(granters) > 0 && granters[0] == l.self
}

// grantersOf returns the granters of a server. s.mu must be held.
func (l *Limiter) grantersOf(now time.Time, s *server) []string {
	if s.grantersAt.IsZero() || now.Sub(s.grantersAt) >= grantersTTL {
		s.granters, s.grantersAt = l.granters(s.key), now
	}
	return s.granters
}

// requestPermits asks a granter for the permits that recent requests needed, unless this node has
// them or has just asked. s.mu must be held.
func (l *Limiter) requestPermits(now time.Time, s *server) {
	granters := l.grantersOf(now, s)
	if len(granters) == 0 || granters[0] == l.self {
		return
	}
	if s.requestID != 0 {
		if now.Sub(s.requestedAt) < requestTimeout {
			return
		}
		l.failOver(now, s)
	}
	want := min(s.needed-len(s.permits), maxPermitsPerRequest)
	if want <= 0 || now.Before(s.nextRequestAt) {
		return
	}
	if now.After(s.rankUntil) {
		s.rank = 0
	}
	granter := granters[s.rank%len(granters)]
	s.needed = 0
	s.requestedAt, s.nextRequestAt = now, now.Add(minRequestInterval)
	if granter == l.self {
		s.addPermits(l.grant(now, s, want))
		return
	}
	s.requestID = l.requests.Add(1)
	l.send(Message{To: granter, Request: &PermitRequest{ID: s.requestID, Permits: want, Statement: s.known.statement(s.key)}})
}

// failOver makes the next permit request go to the next granter. s.mu must be held.
func (l *Limiter) failOver(now time.Time, s *server) {
	s.requestID = 0
	s.rank++
	s.rankUntil = now.Add(failoverTime)
}

// retryJitter spreads the permit requests of nodes that were told to wait for the same permit.
func (l *Limiter) retryJitter(id uint64) float64 { return permit.Jitter(l.incarnation, id) }

// send queues a message.
func (l *Limiter) send(m Message) {
	l.outboxMu.Lock()
	if len(l.outbox) < maxOutbox {
		l.outbox = append(l.outbox, m)
	}
	l.outboxMu.Unlock()
	select {
	case l.pending <- struct{}{}:
	default:
	}
}

// Pending receives a value when messages wait to be sent.
func (l *Limiter) Pending() <-chan struct{} { return l.pending }

// Messages returns the messages that wait to be sent and removes them.
func (l *Limiter) Messages() []Message {
	l.outboxMu.Lock()
	defer l.outboxMu.Unlock()
	list := l.outbox
	l.outbox = nil
	return list
}
