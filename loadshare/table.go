// Package loadshare tells nodes of each other's work on backend servers. Each
// node sends its whole work in one datagram shortly after a change; a lost one
// is made good by the next.
package loadshare

import (
	"sync"
	"sync/atomic"
	"time"

	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
)

// maxAge is how long the work of a node that falls silent still counts.
const maxAge = 2 * time.Second

// Table adds up the work of the other nodes. Reads take no lock.
type Table struct {
	mu    sync.Mutex
	peers map[uint64]*peer
	cells atomic.Pointer[map[uint64]*cell]
	// promptTokens adds up what the peers have sent to engines since they were
	// first heard of.
	promptTokens atomic.Uint64
	// count is the number of peers.
	count atomic.Int64
}

type peer struct {
	sequence uint64
	// promptTokens is the peer's own count.
	promptTokens uint64
	at           time.Time
	servers      map[uint64]work
}

type work struct{ requests, tokens int64 }

// cell is the sum of all peers for one backend server.
type cell struct{ requests, tokens atomic.Int64 }

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{peers: make(map[uint64]*peer)}
	t.cells.Store(&map[uint64]*cell{})
	return t
}

// Load returns the requests and the unprocessed prompt tokens that other nodes
// have on a backend server.
func (t *Table) Load(server uint64) (requests, tokens int64) {
	c := (*t.cells.Load())[server]
	if c == nil {
		return 0, 0
	}
	return c.requests.Load(), c.tokens.Load()
}

// Sums returns the work of all nodes on each server that has some.
func (t *Table) Sums() []*figweirv1.ServerLoad {
	var list []*figweirv1.ServerLoad
	for server, c := range *t.cells.Load() {
		requests, tokens := c.requests.Load(), c.tokens.Load()
		if requests > 0 {
			list = append(list, &figweirv1.ServerLoad{Server: server, Requests: uint32(requests), PrefillTokens: uint32(max(0, tokens))})
		}
	}
	return list
}

// PromptTokens returns the prompt tokens that the other nodes have sent to
// engines. It only grows.
func (t *Table) PromptTokens() uint64 { return t.promptTokens.Load() }

// Peers returns the number of nodes that were heard of lately.
func (t *Table) Peers() int { return int(t.count.Load()) }

// Update takes an update of another node. Older ones than the last are ignored.
func (t *Table) Update(now time.Time, u *figweirv1.LoadUpdate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[u.Incarnation]
	if p == nil {
		p = &peer{promptTokens: u.PromptTokens}
		t.peers[u.Incarnation] = p
		t.count.Add(1)
	} else if u.Sequence <= p.sequence {
		return
	}
	next := make(map[uint64]work, len(u.Servers))
	for _, s := range u.Servers {
		next[s.Server] = work{int64(s.Requests), int64(s.PrefillTokens)}
	}
	t.replace(p, next)
	t.promptTokens.Add(u.PromptTokens - min(p.promptTokens, u.PromptTokens))
	p.sequence, p.at, p.promptTokens = u.Sequence, now, u.PromptTokens
}

// Expire drops the work of nodes that have fallen silent. Call it about once a
// second.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for incarnation, p := range t.peers {
		if now.Sub(p.at) > maxAge {
			t.replace(p, nil)
			delete(t.peers, incarnation)
			t.count.Add(-1)
		}
	}
}

func (t *Table) replace(p *peer, next map[uint64]work) {
	for server, w := range p.servers {
		c := t.cell(server)
		c.requests.Add(-w.requests)
		c.tokens.Add(-w.tokens)
	}
	for server, w := range next {
		c := t.cell(server)
		c.requests.Add(w.requests)
		c.tokens.Add(w.tokens)
	}
	p.servers = next
}

// maxCells bounds the memory for backend servers that are gone.
const maxCells = 4096

func (t *Table) cell(server uint64) *cell {
	cells := *t.cells.Load()
	if c := cells[server]; c != nil {
		return c
	}
	next := make(map[uint64]*cell, len(cells)+1)
	for id, c := range cells {
		if len(cells) < maxCells || c.requests.Load() != 0 {
			next[id] = c
		}
	}
	c := &cell{}
	next[server] = c
	t.cells.Store(&next)
	return c
}
