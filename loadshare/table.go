// Package loadshare exchanges the load on backend servers between nodes. Each node sends
// its complete load in one UDP datagram shortly after a change and repeats it
// periodically, so a lost datagram is replaced by the next one.
package loadshare

import (
	"sync"
	"sync/atomic"
	"time"

	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
)

// peerTimeout is how long the load of a node counts after its last update.
const peerTimeout = 2 * time.Second

// Table adds up the loads of other nodes. Reading sums takes no lock. Its methods may be
// called from any goroutine.
type Table struct {
	mu     sync.Mutex
	peers  map[uint64]*lastUpdate
	totals atomic.Pointer[map[uint64]*serverTotal]
	// promptTokens is the number of tokens that the peers have sent to engines since
	// the first update from each of them.
	promptTokens atomic.Uint64
	// peerCount is the number of entries in peers.
	peerCount atomic.Int64
}

// lastUpdate is the last update of one peer.
type lastUpdate struct {
	sequence uint64
	// promptTokens is the counter of the peer, which never decreases.
	promptTokens uint64
	updatedAt    time.Time
	servers      map[uint64]serverLoad
}

// serverLoad is the load of one peer on one backend server.
type serverLoad struct{ requests, tokens int64 }

// serverTotal is the load of all peers on one backend server.
type serverTotal struct{ requests, tokens atomic.Int64 }

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{peers: make(map[uint64]*lastUpdate)}
	t.totals.Store(&map[uint64]*serverTotal{})
	return t
}

// Load returns the requests in progress and the unprocessed prompt tokens of other nodes
// on the backend server with the given hash.
func (t *Table) Load(server uint64) (requests, tokens int64) {
	total := (*t.totals.Load())[server]
	if total == nil {
		return 0, 0
	}
	return total.requests.Load(), total.tokens.Load()
}

// Sums returns the load of all peers on each server with requests in progress.
func (t *Table) Sums() []*figweirv1.ServerLoad {
	var list []*figweirv1.ServerLoad
	for server, total := range *t.totals.Load() {
		requests, tokens := total.requests.Load(), total.tokens.Load()
		if requests > 0 {
			list = append(list, &figweirv1.ServerLoad{Server: server, Requests: uint32(requests), PrefillTokens: uint32(max(0, tokens))})
		}
	}
	return list
}

// PromptTokens returns the number of prompt tokens that the other nodes have sent to
// engines since their first update. The count never decreases.
func (t *Table) PromptTokens() uint64 { return t.promptTokens.Load() }

// PeerCount returns the number of nodes whose last update has not expired.
func (t *Table) PeerCount() int { return int(t.peerCount.Load()) }

// Update applies an update of another node and returns by how many unprocessed prompt
// tokens the load of a single backend server has grown at most. It ignores updates that
// are older than the last one.
func (t *Table) Update(now time.Time, u *figweirv1.LoadUpdate) (growth int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[u.Incarnation]
	if p == nil {
		p = &lastUpdate{promptTokens: u.PromptTokens}
		t.peers[u.Incarnation] = p
		t.peerCount.Add(1)
	} else if u.Sequence <= p.sequence {
		return 0
	}
	loads := make(map[uint64]serverLoad, len(u.Servers))
	for _, s := range u.Servers {
		loads[s.Server] = serverLoad{int64(s.Requests), int64(s.PrefillTokens)}
		growth = max(growth, int64(s.PrefillTokens)-p.servers[s.Server].tokens)
	}
	t.replaceLoads(p, loads)
	t.promptTokens.Add(u.PromptTokens - min(p.promptTokens, u.PromptTokens))
	p.sequence, p.updatedAt, p.promptTokens = u.Sequence, now, u.PromptTokens
	return growth
}

// Expire removes the load of nodes without an update in the last two seconds. It should
// be called about once a second.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for incarnation, p := range t.peers {
		if now.Sub(p.updatedAt) > peerTimeout {
			t.replaceLoads(p, nil)
			delete(t.peers, incarnation)
			t.peerCount.Add(-1)
		}
	}
}

// replaceLoads replaces the loads of a peer and updates the totals. t.mu must be held.
func (t *Table) replaceLoads(p *lastUpdate, loads map[uint64]serverLoad) {
	for server, load := range p.servers {
		total := t.total(server)
		total.requests.Add(-load.requests)
		total.tokens.Add(-load.tokens)
	}
	for server, load := range loads {
		total := t.total(server)
		total.requests.Add(load.requests)
		total.tokens.Add(load.tokens)
	}
	p.servers = loads
}

// maxTotals is the number of backend servers above which servers without requests are
// removed from the totals. It bounds the memory for servers that no longer exist.
const maxTotals = 4096

// total returns the total of a backend server and adds one if there is none. t.mu must
// be held.
func (t *Table) total(server uint64) *serverTotal {
	totals := *t.totals.Load()
	if total := totals[server]; total != nil {
		return total
	}
	next := make(map[uint64]*serverTotal, len(totals)+1)
	for id, total := range totals {
		if len(totals) < maxTotals || total.requests.Load() != 0 {
			next[id] = total
		}
	}
	total := &serverTotal{}
	next[server] = total
	t.totals.Store(&next)
	return total
}
