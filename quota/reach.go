package quota

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// minHeartbeatInterval is the shortest time between two messages to the same node that
	// show that this node is running. maxHeartbeatsPerSecond bounds their number on large
	// deployments, where 60 of about 50 bytes are 3 KB/s.
	minHeartbeatInterval   = 500 * time.Millisecond
	maxHeartbeatsPerSecond = 60
	// missedHeartbeats is the number of intervals after which a node counts as unreachable.
	missedHeartbeats = 2.5
	// answerTimeout is the time after which a node counts as unreachable that does not answer a
	// probe, and probeInterval the time between two probes of it. After suspectTime without an
	// answer all nodes are probed, at most once per probeAllInterval: if the network is
	// partitioned, both sides grant the whole rate until they know.
	answerTimeout    = 400 * time.Millisecond
	probeInterval    = 100 * time.Millisecond
	suspectTime      = 200 * time.Millisecond
	probeAllInterval = 2 * time.Second
	// settleTime is how long requests wait for the first heartbeats after a start.
	settleTime = 150 * time.Millisecond
	// lostTime is how long a silent node is counted that left the list without saying that it
	// stops. It may be cut off from the store and from this node, and goes on granting its part
	// of the rate for offlineTime.
	lostTime    = 5 * time.Second
	offlineTime = 3 * time.Second
	// partOverage is the fraction of the overage that a granter grants beyond the part of the
	// nodes that it can reach, so that the loss of a few nodes costs nothing.
	partOverage = 0.25
	// maxUnlisted bounds the memory for nodes that are not listed.
	maxUnlisted = 1024
)

// peer is another node.
type peer struct {
	address string
	// heardAt is the time of the last datagram from the node, in nanoseconds. A node that joins
	// counts as heard, but none does when this node has just started.
	heardAt atomic.Int64
	// probedAt is when the node was first probed since its last datagram; 0 if it was not.
	probedAt atomic.Int64
	// left is set once the node has said that it stops.
	left atomic.Bool

	// The fields below are guarded by Limiter.nodesMu.

	// listed is false if the node is not in the list any more, or not yet. It may still be
	// running, without access to the store.
	listed bool
	// probes is the number of repeated probes, and suspected is set once that made this node
	// probe all nodes.
	probes    int64
	suspected bool
}

// reachable reports whether the node counts as reachable.
func (p *peer) reachable(now time.Time, timeout time.Duration) bool {
	probedAt := p.probedAt.Load()
	return now.UnixNano()-p.heardAt.Load() <= int64(timeout) && (probedAt == 0 || now.UnixNano()-probedAt <= int64(answerTimeout))
}

// reach is the set of nodes that this node can reach. It is immutable.
type reach struct {
	// nodes holds the addresses of the reachable listed nodes, this one included if it is
	// listed.
	nodes []string
	// counted is the number of nodes among which the rate is divided: the listed ones, those that
	// are running without being listed or were within lostTime, and this one.
	counted int
	// fraction is the fraction of these nodes that is reachable, and part the part of the rate
	// that this node grants.
	fraction, part float64
}

// SetNodes sets the addresses of all listed nodes. The address of this node may be among them.
func (l *Limiter) SetNodes(now time.Time, addresses []string) {
	l.nodesMu.Lock()
	defer l.nodesMu.Unlock()
	if slices.Equal(addresses, l.listed) {
		return
	}
	// What this node granted before a restart is not known. If it also took nodes for reachable
	// that are not, each restart would grant the whole rate for a time.
	starting := len(l.listed) == 0
	if starting {
		l.startedAt.Store(now.UnixNano())
	}
	peers := maps.Clone(*l.peers.Load())
	for _, p := range peers {
		p.listed = false
	}
	for _, a := range addresses {
		if a == l.self {
			continue
		}
		if peers[a] == nil {
			peers[a] = newPeer(now, a)
			if starting {
				peers[a].heardAt.Store(0)
			}
			peers[a].probedAt.Store(now.UnixNano())
			l.send(Message{To: a, Heartbeat: &Heartbeat{Ask: true}})
		}
		peers[a].listed = true
	}
	l.listed = slices.Clone(addresses)
	l.setPeers(peers)
	l.updateReach(now)
}

func newPeer(now time.Time, address string) *peer {
	p := &peer{address: address}
	p.heardAt.Store(now.UnixNano())
	return p
}

// setPeers sets the other nodes. l.nodesMu must be held.
func (l *Limiter) setPeers(peers map[string]*peer) {
	l.peers.Store(&peers)
	l.order = slices.Sorted(maps.Keys(peers))
}

// addUnlisted adds a node that sends heartbeats and is not listed here.
func (l *Limiter) addUnlisted(now time.Time, address string) {
	l.nodesMu.Lock()
	defer l.nodesMu.Unlock()
	peers := *l.peers.Load()
	if peers[address] != nil || address == l.self || len(peers)-len(l.listed) > maxUnlisted {
		return
	}
	peers = maps.Clone(peers)
	peers[address] = newPeer(now, address)
	l.setPeers(peers)
}

// removeGone removes nodes that are not listed and have left, or were silent for lostTime.
// l.nodesMu must be held.
func (l *Limiter) removeGone(now time.Time) {
	gone := func(_ string, p *peer) bool {
		return !p.listed && (p.left.Load() || now.UnixNano()-p.heardAt.Load() > int64(lostTime))
	}
	peers := *l.peers.Load()
	for a, p := range peers {
		if gone(a, p) {
			peers = maps.Clone(peers)
			maps.DeleteFunc(peers, gone)
			l.setPeers(peers)
			return
		}
	}
}

// SetStoreReachable states whether this node can read the list of nodes.
func (l *Limiter) SetStoreReachable(now time.Time, reachable bool) {
	l.nodesMu.Lock()
	defer l.nodesMu.Unlock()
	l.storeWatched = true
	if reachable {
		l.storeReadAt = now
	}
}

// offline reports whether this node may have left the list of the others without knowing.
// l.nodesMu must be held.
func (l *Limiter) offline(now time.Time) bool {
	return l.storeWatched && now.Sub(l.storeReadAt) > offlineTime
}

// Leave tells all nodes that this one stops and will send nothing more. Otherwise they would keep
// its part of the rate for it.
func (l *Limiter) Leave() {
	for _, p := range *l.peers.Load() {
		l.send(Message{To: p.address, Heartbeat: &Heartbeat{Leaving: true}})
	}
}

// Heard records that a datagram of any kind came from a node.
func (l *Limiter) Heard(now time.Time, from string) {
	if p := (*l.peers.Load())[from]; p != nil {
		p.heardAt.Store(now.UnixNano())
		p.probedAt.Store(0)
		if p.left.Load() {
			p.left.Store(false)
		}
	}
}

// receiveHeartbeat answers a heartbeat that asks for it. A sender that is not listed is counted: it
// may have lost its lease in the store, and still sends requests.
func (l *Limiter) receiveHeartbeat(now time.Time, from string, h *Heartbeat) {
	p := (*l.peers.Load())[from]
	switch {
	case h.Leaving && p != nil:
		p.left.Store(true)
	case !h.Leaving && p == nil:
		l.addUnlisted(now, from)
	}
	if h.Ask {
		l.send(Message{To: from, Heartbeat: &Heartbeat{Answer: true}})
	}
}

// settling reports whether this node has just started and waits for the first heartbeats.
func (l *Limiter) settling(now time.Time) bool {
	startedAt := l.startedAt.Load()
	return startedAt != 0 && now.UnixNano()-startedAt < int64(settleTime) && l.reach.Load().fraction < 1
}

// expectAnswer makes a node that was just sent a message count as unreachable if nothing comes from
// it. It is probed meanwhile.
func (l *Limiter) expectAnswer(now time.Time, address string) {
	if p := (*l.peers.Load())[address]; p != nil {
		p.probedAt.CompareAndSwap(0, now.UnixNano())
	}
}

// probeSilent probes nodes from which an answer is missing, and all nodes if one of them is suspected
// of being unreachable. l.nodesMu must be held.
func (l *Limiter) probeSilent(now time.Time) {
	peers, suspicion := *l.peers.Load(), false
	timeout := reachTimeout(len(peers))
	for _, a := range l.order {
		p := peers[a]
		probedAt := p.probedAt.Load()
		if probedAt == 0 {
			p.probes, p.suspected = 0, false
			if now.UnixNano()-p.heardAt.Load() > int64(timeout/2) && p.probedAt.CompareAndSwap(0, now.UnixNano()) {
				l.send(Message{To: p.address, Heartbeat: &Heartbeat{Ask: true}})
			}
			continue
		}
		silent := time.Duration(now.UnixNano() - probedAt)
		if n := int64(silent / probeInterval); n > p.probes && silent < answerTimeout {
			p.probes = n
			l.send(Message{To: p.address, Heartbeat: &Heartbeat{Ask: true}})
		}
		if silent >= suspectTime && !p.suspected {
			p.suspected, suspicion = true, true
		}
	}
	if suspicion && now.Sub(l.probedAllAt) >= probeAllInterval {
		l.probeAll(now)
	}
}

// probeAll probes all nodes that are not being probed. l.nodesMu must be held.
func (l *Limiter) probeAll(now time.Time) {
	l.probedAllAt = now
	peers := *l.peers.Load()
	for _, a := range l.order {
		p := peers[a]
		if p.probedAt.CompareAndSwap(0, now.UnixNano()) {
			// A missing answer to this probe must not start the next round.
			p.suspected = true
			l.send(Message{To: p.address, Heartbeat: &Heartbeat{Ask: true}})
		}
	}
}

// Reach returns the fraction of the nodes that this node can reach, and the part of each quota that
// it grants if it is the granter.
func (l *Limiter) Reach() (fraction, part float64) {
	r := l.reach.Load()
	return r.fraction, r.part
}

// heartbeatInterval returns the time between two heartbeats to the same node.
func heartbeatInterval(nodes int) time.Duration {
	return max(minHeartbeatInterval, time.Duration(nodes)*time.Second/maxHeartbeatsPerSecond)
}

// reachTimeout returns the time after which a silent node counts as unreachable.
func reachTimeout(nodes int) time.Duration {
	return time.Duration(missedHeartbeats * float64(heartbeatInterval(nodes)))
}

// updateReach determines which nodes are reachable. l.nodesMu must be held.
func (l *Limiter) updateReach(now time.Time) {
	l.removeGone(now)
	peers := *l.peers.Load()
	timeout := reachTimeout(len(peers))
	nodes := make([]string, 0, len(l.listed))
	for _, a := range l.listed {
		if p := peers[a]; a == l.self || p.reachable(now, timeout) && !p.left.Load() {
			nodes = append(nodes, a)
		}
	}
	counted, reachable := 1, 1
	for _, p := range peers {
		if p.left.Load() {
			continue
		}
		counted++
		if p.reachable(now, timeout) {
			reachable++
		}
	}
	fraction := float64(reachable) / float64(counted)
	part := min(1, fraction+l.options.Overage*partOverage)
	if l.offline(now) && fraction <= 0.5 {
		// The others may have divided the whole rate among themselves.
		part = min(part, l.options.Overage*partOverage)
	}
	if old := l.reach.Load(); old.counted != counted || old.fraction != fraction || old.part != part || !slices.Equal(old.nodes, nodes) {
		l.reach.Store(&reach{nodes: nodes, counted: counted, fraction: fraction, part: part})
	}
}

// sendHeartbeats sends this tick's part of the heartbeats. l.nodesMu must be held.
func (l *Limiter) sendHeartbeats(now time.Time) {
	n := len(l.order)
	if n == 0 || l.heartbeatsAt.IsZero() {
		l.heartbeatsAt = now
		return
	}
	interval := heartbeatInterval(n) / time.Duration(n)
	for range n {
		if now.Sub(l.heartbeatsAt) < interval {
			return
		}
		l.heartbeatsAt = l.heartbeatsAt.Add(interval)
		l.nextHeartbeat = (l.nextHeartbeat + 1) % n
		l.send(Message{To: l.order[l.nextHeartbeat], Heartbeat: &Heartbeat{}})
	}
	l.heartbeatsAt = now
}

// adjustForPause keeps nodes reachable that were reachable before this node was paused: what they have
// sent meanwhile is not read yet. l.nodesMu must be held.
func (l *Limiter) adjustForPause(now time.Time, pause time.Duration) {
	for _, p := range *l.peers.Load() {
		heardAt := p.heardAt.Load()
		if p.probedAt.Load() != 0 {
			p.probedAt.Store(now.UnixNano())
		}
		if now.UnixNano()-heardAt-int64(pause) <= int64(reachTimeout(len(l.order))) {
			p.heardAt.CompareAndSwap(heardAt, now.UnixNano()-int64(reachTimeout(len(l.order))/2))
		}
	}
}
