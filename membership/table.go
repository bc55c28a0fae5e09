package membership

import (
	"cmp"
	"slices"
	"time"
)

// peerState is what a node knows about another one.
type peerState struct {
	state   NodeState
	changed time.Time // last change that is worth passing on
}

// table holds the states of other nodes. It is not safe for concurrent use.
type table struct {
	self  string
	peers map[string]*peerState
}

func newTable(self string) table { return table{self: self, peers: make(map[string]*peerState)} }

// direct takes over what a node said about itself. Having spoken ends every
// suspicion that is not about a later heartbeat. It reports whether the view
// may have changed.
func (t *table) direct(s NodeState, now time.Time) bool {
	p := t.peers[s.Name]
	if p == nil {
		s.SuspectedBy = nil
		t.peers[s.Name] = &peerState{state: s, changed: now}
		return true
	}
	if older(s, p.state) {
		return false
	}
	visible := s.Incarnation != p.state.Incarnation || s.Leaving != p.state.Leaving || len(p.state.SuspectedBy) > 0
	s.SuspectedBy = nil
	p.state = s
	if visible {
		p.changed = now
	}
	return visible
}

// relayed takes over what a node passed on about another one.
func (t *table) relayed(s NodeState, now time.Time) bool {
	if s.Name == t.self {
		return false
	}
	p := t.peers[s.Name]
	if p == nil {
		t.peers[s.Name] = &peerState{state: s, changed: now}
		return true
	}
	if older(s, p.state) {
		return false
	}
	if s.Incarnation == p.state.Incarnation && s.Heartbeat == p.state.Heartbeat {
		return t.merge(p, s, now)
	}
	visible := s.Incarnation != p.state.Incarnation || s.Leaving != p.state.Leaving ||
		len(s.SuspectedBy) > 0 || len(p.state.SuspectedBy) > 0
	p.state = s
	if visible {
		p.changed = now
	}
	return visible
}

func (t *table) merge(p *peerState, s NodeState, now time.Time) bool {
	visible := s.Leaving && !p.state.Leaving
	p.state.Leaving = p.state.Leaving || s.Leaving
	for _, by := range s.SuspectedBy {
		visible = p.suspect(by) || visible
	}
	if visible {
		p.changed = now
	}
	return visible
}

// suspect records that this node could not reach the named one.
func (t *table) suspect(name string, now time.Time) bool {
	p := t.peers[name]
	if p == nil {
		p = &peerState{state: NodeState{Name: name}}
		t.peers[name] = p
	}
	if p.suspect(t.self) {
		p.changed = now
		return true
	}
	return false
}

func (p *peerState) suspect(by string) bool {
	if slices.Contains(p.state.SuspectedBy, by) || len(p.state.SuspectedBy) >= suspectsNeeded {
		return false
	}
	// The slice may be shared with a message, so it is not appended in place.
	p.state.SuspectedBy = append(slices.Clone(p.state.SuspectedBy), by)
	return true
}

// suspectsNeeded is how many nodes must have failed to reach a member at the
// same heartbeat before it counts as gone: one that suspects and one that
// confirms.
const suspectsNeeded = 2

// gone reports whether the suspicion of a node was confirmed. With fewer than
// three VMs nobody else could confirm it.
func (t *table) gone(name string, listed int) bool {
	p := t.peers[name]
	if p == nil {
		return false
	}
	needed := suspectsNeeded
	if listed < 3 {
		needed = 1
	}
	return len(p.state.SuspectedBy) >= needed
}

// changes returns the states that changed in the last seconds, newest first.
func (t *table) changes(now time.Time) []NodeState {
	var recent []*peerState
	for _, p := range t.peers {
		if !p.changed.IsZero() && now.Sub(p.changed) < changeSpread {
			recent = append(recent, p)
		}
	}
	slices.SortFunc(recent, func(a, b *peerState) int {
		if c := b.changed.Compare(a.changed); c != 0 {
			return c
		}
		return cmp.Compare(a.state.Name, b.state.Name)
	})
	if len(recent) > maxChanges {
		recent = recent[:maxChanges]
	}
	out := make([]NodeState, len(recent))
	for i, p := range recent {
		out[i] = p.state
	}
	return out
}

// retain forgets the nodes that are on no list.
func (t *table) retain(listed func(name string) bool) {
	for name := range t.peers {
		if !listed(name) {
			delete(t.peers, name)
		}
	}
}

func older(a, b NodeState) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Heartbeat < b.Heartbeat
}
