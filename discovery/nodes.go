package discovery

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/figweir/figweir/boottime"
	"github.com/figweir/figweir/store"
)

// nodesPrefix is the prefix of the keys of the nodes' leased entries.
const nodesPrefix = "figweir/nodes/"

const (
	// nodeLease is how long a node that stops renewing stays in the list.
	nodeLease = 6 * time.Second
	// nodesBatchDelay is the time over which changes of the list of nodes are
	// batched. Nothing that depends on the list is urgent.
	nodesBatchDelay = time.Second
	// nodeRenewInterval allows two failed renewals before the lease lapses.
	nodeRenewInterval = 2 * time.Second
	// nodeGracePeriod is how long a node whose entry lapsed in a store outage stays
	// in the list after the store recovers. A running node registers again within
	// that time, even if it first waits for a renewal that the store dropped.
	nodeGracePeriod = 2 * nodeRenewInterval
)

// Nodes registers this node and follows the list of all nodes.
type Nodes struct {
	self Node
	log  logr.Logger
	// now returns the time on the boot clock.
	now func() time.Duration

	mu    sync.Mutex
	nodes map[string]Node
	// unverified holds nodes whose entries are not under their lease: they run or not.
	unverified map[string]Node
	// lapsedUntil holds the end of the grace period of each node whose entry was lost in
	// a store outage, on the boot clock.
	lapsedUntil map[string]time.Duration
	// loaded is true once the list has been read.
	loaded bool
	// revision is the position up to which the list has been read.
	revision store.Revision
	// ordered holds the nodes sorted by failure domain and name.
	ordered  []Node
	position atomic.Pointer[position]
	// Registrations counts how often this node has written its entry.
	Registrations atomic.Int64
	// lease is the lease of this node's entry; nil while there is none.
	lease atomic.Pointer[store.LeaseID]
}

// Lease returns the lease of this node's entry; store.NoLease while there is none.
func (n *Nodes) Lease() store.LeaseID {
	if lease := n.lease.Load(); lease != nil {
		return *lease
	}
	return store.NoLease
}

// NewNodes returns a list that holds only this node until Follow reads the store.
func NewNodes(self Node, log logr.Logger) *Nodes {
	return &Nodes{
		self: self, log: log, now: boottime.Now,
		nodes: map[string]Node{self.Name: self}, lapsedUntil: make(map[string]time.Duration),
		unverified: make(map[string]Node),
	}
}

// Count returns the number of nodes, at least 1.
func (n *Nodes) Count() int {
	count, _ := n.CountIfLoaded()
	return count
}

// CountIfLoaded returns the number of nodes, at least 1; false until the list has been read.
func (n *Nodes) CountIfLoaded() (count int, loaded bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(1, len(n.nodes)), n.loaded
}

// List returns the nodes sorted by name.
func (n *Nodes) List() []Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]Node, 0, len(n.nodes))
	for _, node := range n.nodes {
		list = append(list, node)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// PeerAddresses returns the RPC addresses of the other nodes.
func (n *Nodes) PeerAddresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]string, 0, len(n.nodes))
	for _, node := range n.nodes {
		if node.Name != n.self.Name && node.RPCAddress != "" {
			list = append(list, node.RPCAddress)
		}
	}
	return list
}

// UnverifiedAddresses returns the RPC addresses of nodes whose entries come from a copy of the store.
// They may be gone.
func (n *Nodes) UnverifiedAddresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]string, 0, len(n.unverified))
	for _, node := range n.unverified {
		if node.Name != n.self.Name && node.RPCAddress != "" {
			list = append(list, node.RPCAddress)
		}
	}
	return list
}

// Loaded reports whether the list has been read.
func (n *Nodes) Loaded() bool {
	_, loaded := n.CountIfLoaded()
	return loaded
}

// Position returns the index of this node in the list sorted by failure domain
// and name, and the number of nodes.
func (n *Nodes) Position() (index, count int) {
	p := n.position.Load()
	if p == nil {
		return 0, 1
	}
	return p.index, p.count
}

type position struct{ index, count int }

// CellPeers returns the UDP addresses of the other nodes in this node's cell: those
// whose position equals this node's position modulo cells.
func (n *Nodes) CellPeers(cells int) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	self, _ := n.Position()
	var list []string
	for i, node := range n.ordered {
		if node.Name != n.self.Name && node.LoadAddress != "" && i%cells == self%cells {
			list = append(list, node.LoadAddress)
		}
	}
	return list
}

// AllLoadAddresses returns the UDP addresses of all nodes, this one included; nil until the list
// has been read.
func (n *Nodes) AllLoadAddresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.loaded {
		return nil
	}
	list := make([]string, 0, len(n.nodes))
	for _, node := range n.nodes {
		if node.LoadAddress != "" {
			list = append(list, node.LoadAddress)
		}
	}
	return list
}

// LoadAddresses returns the UDP addresses of all other nodes.
func (n *Nodes) LoadAddresses() []string { return n.CellPeers(1) }

// Aggregator returns the node that sums the load on one part of the prefill engines (see
// backends.Cell). It is chosen by rendezvous hashing among the nodes with the most CPU,
// so all nodes choose the same one.
func (n *Nodes) Aggregator(part int) Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	maxCPU := 0.0
	for _, node := range n.ordered {
		maxCPU = max(maxCPU, node.CPU)
	}
	var aggregator Node
	var maxHash uint64
	for _, node := range n.ordered {
		if node.CPU < largeNodeCPUFraction*maxCPU {
			continue
		}
		if h := xxhash.Sum64String(node.Name + "/" + strconv.Itoa(part)); aggregator.Name == "" || h > maxHash {
			aggregator, maxHash = node, h
		}
	}
	return aggregator
}

// updatePositions recomputes the sorted list and this node's position. The caller
// holds mu.
func (n *Nodes) updatePositions() {
	n.ordered = n.ordered[:0]
	for _, node := range n.nodes {
		n.ordered = append(n.ordered, node)
	}
	slices.SortFunc(n.ordered, func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Name, b.Name))
	})
	for i, node := range n.ordered {
		if node.Name == n.self.Name {
			n.position.Store(&position{i, len(n.ordered)})
		}
	}
}

// Rank returns the index of this node in the list sorted by name.
func (n *Nodes) Rank() int {
	for i, node := range n.List() {
		if node.Name == n.self.Name {
			return i
		}
	}
	return 0
}

// IsFirstOfFailureDomain reports whether this node has the least name of its failure domain.
func (n *Nodes) IsFirstOfFailureDomain() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, node := range n.nodes {
		if node.FailureDomain == n.self.FailureDomain && node.Name < n.self.Name {
			return false
		}
	}
	return true
}

// Follow updates the list from the store until ctx ends.
func (n *Nodes) Follow(ctx context.Context, st store.Store, onResponse func()) {
	f := &follower{store: st, prefix: nodesPrefix, log: n.log, bound: nodeLease, batchDelay: constantDelay(nodesBatchDelay), onResponse: onResponse}
	f.run(ctx, n)
}

func (n *Nodes) reset(entries []store.Entry, at store.Revision, afterOutage bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	previous := n.nodes
	clear(n.unverified)
	// A restored store doesn't have the entries that were written since the copy.
	afterOutage = afterOutage || n.loaded && at.Era() > n.revision.Era()
	n.revision = at
	n.nodes = map[string]Node{n.self.Name: n.self}
	for _, e := range entries {
		n.upsert(e)
	}
	n.retainLapsed(previous, afterOutage)
	n.loaded = true
	n.updatePositions()
	n.log.Info("nodes read", "count", len(n.nodes), "lapsed", len(n.lapsedUntil))
}

// retainLapsed keeps nodes whose entries are missing after a store outage for a grace
// period: a long outage lets all leases lapse although the nodes still run. The caller
// holds mu.
func (n *Nodes) retainLapsed(previous map[string]Node, afterOutage bool) {
	now := n.now()
	for name, node := range previous {
		if _, listed := n.nodes[name]; listed {
			continue
		}
		until, lapsed := n.lapsedUntil[name]
		if !lapsed && afterOutage {
			until = now + nodeGracePeriod
			n.lapsedUntil[name] = until
		}
		if now < until {
			n.nodes[name] = node
		}
	}
}

// removeExpired removes the nodes that did not register again within the grace
// period. The caller holds mu.
func (n *Nodes) removeExpired() {
	now := n.now()
	for name, until := range n.lapsedUntil {
		if now >= until {
			n.remove(name)
		}
	}
}

// remove removes a node other than this one. The caller holds mu.
func (n *Nodes) remove(name string) {
	delete(n.lapsedUntil, name)
	if _, known := n.nodes[name]; known && name != n.self.Name {
		delete(n.nodes, name)
		n.log.Info("node gone", "name", name, "count", len(n.nodes))
	}
}

func (n *Nodes) apply(events []store.Event, _ store.Revision, _ bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			n.handleDeleted(strings.TrimPrefix(e.Entry.Key, nodesPrefix))
		} else {
			n.upsert(e.Entry)
		}
	}
	n.removeExpired()
	n.updatePositions()
}

// handleDeleted removes a node whose entry was deleted, unless it is in its grace period: the
// entry of a copy lapses before the node has registered again. The caller holds mu.
func (n *Nodes) handleDeleted(name string) {
	delete(n.unverified, name)
	if until, lapsed := n.lapsedUntil[name]; !lapsed || n.now() >= until {
		n.remove(name)
	}
}

// upsert stores the entry of a node. An entry under another lease than the node's is kept alive by
// another process, or comes from a copy of the store. The caller holds mu.
func (n *Nodes) upsert(e store.Entry) {
	var node Node
	err := json.Unmarshal(e.Value, &node)
	if err == nil {
		err = node.validate(strings.TrimPrefix(e.Key, nodesPrefix))
	}
	if err != nil {
		n.log.Info("node entry ignored", "key", e.Key, "cause", err.Error())
		return
	}
	if node.Lease != nil && e.Lease != store.NoLease && *node.Lease != e.Lease {
		n.log.Info("node entry under another lease ignored", "name", node.Name, "era", uint64(e.Revision.Era()))
		n.unverified[node.Name] = node
		return
	}
	delete(n.unverified, node.Name)
	if _, known := n.nodes[node.Name]; !known {
		n.log.V(1).Info("node added", "name", node.Name, "peers", node.RPCAddress)
	}
	n.nodes[node.Name] = node
	delete(n.lapsedUntil, node.Name)
}
