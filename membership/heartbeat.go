package membership

import (
	"context"
	"time"

	"github.com/figweir/figweir/store"
)

// sendHeartbeat exchanges one heartbeat with the next node of the round.
func (m *Membership) sendHeartbeat(ctx context.Context) {
	to, request, ok := m.nextRequest()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.settings.HeartbeatTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := m.transport.Heartbeat(ctx, to, request)
	if err != nil || reply.Self.Name != to.Name {
		m.handleFailure(to)
		return
	}
	m.handleReply(to, sent, reply)
}

// nextRequest selects the next node and builds the request for it. It returns
// false if there is no other node.
func (m *Membership) nextRequest() (VM, *Request, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	list := m.quorum.current()
	to, ok := m.nextPeerLocked(list)
	if !ok {
		m.publishLocked(now) // a single listed node is a majority by itself
		return VM{}, nil, false
	}
	m.heartbeat++
	return to, &Request{
		Self:          m.selfStateLocked(),
		Changes:       m.peers.recentChanges(now),
		Notices:       m.notices.recent(now, false),
		NoticesDigest: m.notices.digest,
		ListHash:      list.hash,
		WantReach:     m.wantReachLocked(len(list.names), now),
	}, true
}

// wantReachLocked reports whether to request Reach, which is the largest part of
// a reply in a large deployment.
func (m *Membership) wantReachLocked(listed int, now time.Time) bool {
	if listed <= maxVMsFineReach {
		return true
	}
	read := ageOf(now, m.evidence.storeRead.at)
	return !m.informed || !read.Known || read.Age > m.settings.EvidenceWindow/2
}

// nextPeerLocked returns the next peer in a random order that covers all peers
// before it repeats one.
func (m *Membership) nextPeerLocked(list *vmList) (VM, bool) {
	for range 2 {
		for len(m.roundRemaining) > 0 {
			name := m.roundRemaining[len(m.roundRemaining)-1]
			m.roundRemaining = m.roundRemaining[:len(m.roundRemaining)-1]
			if vm, ok := list.byName[name]; ok {
				return vm, true
			}
		}
		m.roundRemaining = list.peersOf(m.settings.Self.Name)
		m.rng.Shuffle(len(m.roundRemaining), func(i, j int) { m.roundRemaining[i], m.roundRemaining[j] = m.roundRemaining[j], m.roundRemaining[i] })
	}
	return VM{}, false
}

// handleFailure records that a heartbeat to a node got no valid reply.
func (m *Membership) handleFailure(to VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.viewStale = m.peers.suspect(to.Name, now) || m.viewStale
	m.publishLocked(now)
}

// handleReply merges a reply. The node created it after the request was sent, so
// all ages in the reply are counted from the sending time.
func (m *Membership) handleReply(to VM, sent time.Time, reply *Reply) {
	m.mu.Lock()
	now := time.Now()
	m.mergeLocked(reply.Self, reply.Changes, reply.Notices, now)
	if reply.StoreReadAge.Known {
		m.evidence.addStoreRead(sent.Add(-reply.StoreReadAge.Age), reply.Self.Revision, m.inForce)
	}
	if reply.Self.Informed {
		m.evidence.addReached(to.Name, sent, reply.Self.Revision)
	}
	if reply.Reach != nil {
		m.evidence.mergeReach(reply.Reach, m.quorum.current(), sent, reply.Self.Revision)
	}
	m.publishLocked(now)
	peerIsNewer := reply.Self.Revision > m.inForce
	m.mu.Unlock()
	if peerIsNewer {
		m.notifyNewerRevision(to, reply.Self.Revision)
	}
}

// Handle processes a heartbeat of another node and returns the reply. The error
// is always nil.
func (m *Membership) Handle(_ context.Context, request *Request) (*Reply, error) {
	m.mu.Lock()
	now := time.Now()
	m.mergeLocked(request.Self, request.Changes, request.Notices, now)
	if m.viewStale {
		m.publishLocked(now)
	}
	// The age is computed before the revision is read. A later revision would only
	// make the receiver more conservative, since evidence is valid only where the
	// revision it came with is in force.
	reply := &Reply{StoreReadAge: ageOf(now, m.evidence.storeRead.at)}
	reply.Self = m.selfStateLocked()
	reply.Changes = m.peers.recentChanges(now)
	reply.Notices = m.notices.recent(now, request.NoticesDigest != m.notices.digest)
	list := m.quorum.current()
	if request.WantReach {
		reply.Reach = m.evidence.encodeReach(list, now, m.inForce, request.ListHash != list.hash)
	}
	peer, listed := list.byName[request.Self.Name]
	peerIsNewer := request.Self.Revision > m.inForce
	m.mu.Unlock()
	if peerIsNewer && listed {
		m.notifyNewerRevision(peer, request.Self.Revision)
	}
	return reply, nil
}

// mergeLocked merges the states and notices of a request or a reply.
func (m *Membership) mergeLocked(self NodeState, changes []NodeState, notices []ServerNotice, now time.Time) {
	m.viewStale = m.peers.mergeDirect(self, now) || m.viewStale
	m.highestRevision = max(m.highestRevision, self.Revision)
	for _, s := range changes {
		if s.Name == m.settings.Self.Name {
			m.refuteLocked(s)
			continue
		}
		m.viewStale = m.peers.mergeRelayed(s, now) || m.viewStale
	}
	for _, s := range notices {
		m.viewStale = m.notices.add(s, now) || m.viewStale
	}
}

// notifyNewerRevision calls the function set by OnNewerRevision, if any.
func (m *Membership) notifyNewerRevision(peer VM, revision store.Revision) {
	if f := m.onNewerRevision.Load(); f != nil {
		(*f)(peer, revision)
	}
}
