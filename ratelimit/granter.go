package ratelimit

import (
	"slices"
	"time"
)

// Receive handles a message of the node with the given address.
func (l *Limiter) Receive(now time.Time, from string, m Message) {
	switch {
	case m.Statement != nil:
		l.receiveStatement(now, *m.Statement)
	case m.Request != nil:
		l.receiveRequest(now, from, m.Request)
	case m.Grant != nil:
		l.receiveGrant(now, m.Grant)
	case m.Granted != nil:
		l.receiveGranted(now, m.Granted)
	}
}

// receiveStatement merges the knowledge of another node.
func (l *Limiter) receiveStatement(now time.Time, statement Statement) {
	if statement.Lifted && l.find(statement.Server) == nil {
		return
	}
	s := l.findOrAdd(statement.Server)
	s.mu.Lock()
	defer s.mu.Unlock()
	l.merge(now, s, statement)
}

// merge merges the knowledge of another node. s.mu must be held.
func (l *Limiter) merge(now time.Time, s *server, statement Statement) {
	previous := s.known
	if s.known.merge(statement) {
		l.changed(now, s, previous)
	}
}

// receiveRequest answers a permit request of another node.
func (l *Limiter) receiveRequest(now time.Time, from string, r *PermitRequest) {
	s := l.findOrAdd(r.Statement.Server)
	s.mu.Lock()
	defer s.mu.Unlock()
	l.merge(now, s, r.Statement)
	grant := &Grant{ID: r.ID}
	if !slices.Contains(l.grantersOf(now, s), l.self) {
		// The other granters don't tell this node what they grant.
		grant.NotGranter = true
	} else if s.known.inForce() {
		grant.Permits = l.grant(now, s, min(r.Permits, maxPermitsPerRequest))
		grant.Wait = s.bucket.wait(s.rate())
	}
	grant.Statement = s.known.statement(s.key)
	l.send(Message{To: from, Grant: grant})
}

// grant takes permits from the bucket and tells the other granters. s.mu must be held.
func (l *Limiter) grant(now time.Time, s *server, want int) int {
	n := s.bucket.take(now, s.rate(), want)
	if n == 0 {
		return 0
	}
	s.granted += uint64(n)
	for _, other := range l.grantersOf(now, s) {
		if other != l.self {
			l.send(Message{To: other, Granted: &Granted{Server: s.key, Incarnation: l.incarnation, Permits: n, Total: s.granted}})
		}
	}
	return n
}

// receiveGrant adds the permits of a grant. A grant for another request than the last one came
// twice or too late, and its permits are not used.
func (l *Limiter) receiveGrant(now time.Time, g *Grant) {
	s := l.find(g.Statement.Server)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.ID == 0 || g.ID != s.requestID {
		return
	}
	s.requestID = 0
	if g.NotGranter {
		l.failOver(now, s)
		return
	}
	s.addPermits(min(g.Permits, maxPermitsPerRequest))
	if g.Permits == 0 {
		wait := min(g.Wait, permitLifetime)
		wait += time.Duration(float64(wait) * l.retryJitter(g.ID))
		s.nextRequestAt = now.Add(max(minRequestInterval, wait))
	}
	l.merge(now, s, g.Statement)
}

// receiveGranted subtracts what another granter has granted from the bucket of this node.
func (l *Limiter) receiveGranted(now time.Time, g *Granted) {
	s := l.find(g.Server)
	if s == nil || g.Incarnation == l.incarnation {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.otherGranted.Add(g.Incarnation, uint64(max(0, g.Permits)), g.Total)
	if n > 0 {
		s.bucket.debit(now, s.rate(), int(min(n, maxPermitsPerSecond)))
	}
}
