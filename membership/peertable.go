package membership

import (
	"cmp"
	"slices"
	"time"
)

// peerState is the newest known state of another node.
type peerState struct {
	state     NodeState
	changedAt time.Time // last change that must be relayed to other nodes
}

// peerTable holds the states of other nodes. It is not safe for concurrent use.
type peerTable struct {
	self   string
	byName map[string]*peerState
}

func newPeerTable(self string) peerTable {
	return peerTable{self: self, byName: make(map[string]*peerState)}
}

// mergeDirect merges a state that a node sent about itself. It clears every
// suspicion of the node that is not about a later heartbeat. The result is true
// if the view may have changed.
func (t *peerTable) mergeDirect(s NodeState, now time.Time) bool {
	p := t.byName[s.Name]
	if p == nil {
		s.SuspectedBy = nil
		t.byName[s.Name] = &peerState{state: s, changedAt: now}
		return true
	}
	if older(s, p.state) {
		return false
	}
	changed := s.Incarnation != p.state.Incarnation || s.Leaving != p.state.Leaving || len(p.state.SuspectedBy) > 0
	s.SuspectedBy = nil
	p.state = s
	if changed {
		p.changedAt = now
	}
	return changed
}

// mergeRelayed merges a state that a node relayed about another one. The result
// is true if the view may have changed.
func (t *peerTable) mergeRelayed(s NodeState, now time.Time) bool {
	if s.Name == t.self {
		return false
	}
	p := t.byName[s.Name]
	if p == nil {
		t.byName[s.Name] = &peerState{state: s, changedAt: now}
		return true
	}
	if older(s, p.state) {
		return false
	}
	if s.Incarnation == p.state.Incarnation && s.Heartbeat == p.state.Heartbeat {
		return t.mergeSuspicions(p, s, now)
	}
	changed := s.Incarnation != p.state.Incarnation || s.Leaving != p.state.Leaving ||
		len(s.SuspectedBy) > 0 || len(p.state.SuspectedBy) > 0
	p.state = s
	if changed {
		p.changedAt = now
	}
	return changed
}

// mergeSuspicions merges two states of the same heartbeat: the union of the
// suspicions, and leaving if either state is leaving.
func (t *peerTable) mergeSuspicions(p *peerState, s NodeState, now time.Time) bool {
	changed := s.Leaving && !p.state.Leaving
	p.state.Leaving = p.state.Leaving || s.Leaving
	for _, by := range s.SuspectedBy {
		changed = p.addSuspecter(by) || changed
	}
	if changed {
		p.changedAt = now
	}
	return changed
}

// suspect records that this node could not reach the named one. The result is
// true if the suspicion is new.
func (t *peerTable) suspect(name string, now time.Time) bool {
	p := t.byName[name]
	if p == nil {
		p = &peerState{state: NodeState{Name: name}}
		t.byName[name] = p
	}
	if p.addSuspecter(t.self) {
		p.changedAt = now
		return true
	}
	return false
}

func (p *peerState) addSuspecter(by string) bool {
	if slices.Contains(p.state.SuspectedBy, by) || len(p.state.SuspectedBy) >= minSuspecters {
		return false
	}
	// Cloned because a message may share the slice.
	p.state.SuspectedBy = append(slices.Clone(p.state.SuspectedBy), by)
	return true
}

// minSuspecters is the number of nodes that must fail to reach a member at the
// same heartbeat before it is removed from the live members: one that suspects
// it and one that confirms the suspicion.
const minSuspecters = 2

// suspicionConfirmed reports whether enough nodes suspect the named one. With
// fewer than three listed VMs one suspicion is enough, since no third node
// exists that could confirm it.
func (t *peerTable) suspicionConfirmed(name string, listed int) bool {
	p := t.byName[name]
	if p == nil {
		return false
	}
	needed := minSuspecters
	if listed < 3 {
		needed = 1
	}
	return len(p.state.SuspectedBy) >= needed
}

// recentChanges returns the states that changed within changeRelayTime, newest first,
// at most maxChangesPerMessage.
func (t *peerTable) recentChanges(now time.Time) []NodeState {
	var recent []*peerState
	for _, p := range t.byName {
		if !p.changedAt.IsZero() && now.Sub(p.changedAt) < changeRelayTime {
			recent = append(recent, p)
		}
	}
	slices.SortFunc(recent, func(a, b *peerState) int {
		if c := b.changedAt.Compare(a.changedAt); c != 0 {
			return c
		}
		return cmp.Compare(a.state.Name, b.state.Name)
	})
	if len(recent) > maxChangesPerMessage {
		recent = recent[:maxChangesPerMessage]
	}
	out := make([]NodeState, len(recent))
	for i, p := range recent {
		out[i] = p.state
	}
	return out
}

// retain deletes the states of all nodes for which listed returns false.
func (t *peerTable) retain(listed func(name string) bool) {
	for name := range t.byName {
		if !listed(name) {
			delete(t.byName, name)
		}
	}
}

// older reports whether a has an earlier incarnation than b, or an earlier
// heartbeat of the same incarnation.
func older(a, b NodeState) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Heartbeat < b.Heartbeat
}
