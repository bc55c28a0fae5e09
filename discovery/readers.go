package discovery

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// readersPerFailureDomain is the number of nodes of a failure domain that read the
	// store for the others: a second one for when the first fails.
	readersPerFailureDomain = 2
	// minNodesForReaders is the number of nodes of a failure domain below which each
	// node reads the store itself.
	minNodesForReaders = 6
)

// Readers returns the RPC addresses of the readers that this node uses (see SharedReads),
// the preferred one first. It returns none if this node reads the store itself.
func (n *Nodes) Readers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	readers := chooseReaders(n.ordered, n.self.FailureDomain)
	addresses := make([]string, 0, len(readers))
	for _, reader := range readers {
		if reader.Name == n.self.Name {
			return nil
		}
		addresses = append(addresses, reader.RPCAddress)
	}
	if len(addresses) > 1 && xxhash.Sum64String(n.self.Name)%2 == 1 {
		slices.Reverse(addresses)
	}
	return addresses
}

// IsReader reports whether this node reads the store for other nodes.
func (n *Nodes) IsReader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, reader := range chooseReaders(n.ordered, n.self.FailureDomain) {
		if reader.Name == n.self.Name {
			return true
		}
	}
	return false
}

// chooseReaders returns the readers of a failure domain: by rendezvous hashing among its
// nodes with the most CPU, so that all nodes choose the same ones. It returns none if the
// failure domain has few nodes.
func chooseReaders(nodes []Node, failureDomain string) []Node {
	maxCPU := 0.0
	count := 0
	for _, node := range nodes {
		if node.FailureDomain == failureDomain {
			maxCPU = max(maxCPU, node.CPU)
			count++
		}
	}
	if count < minNodesForReaders {
		return nil
	}
	var candidates []Node
	for _, node := range nodes {
		if node.FailureDomain == failureDomain && node.RPCAddress != "" && node.CPU >= largeNodeCPUFraction*maxCPU {
			candidates = append(candidates, node)
		}
	}
	slices.SortFunc(candidates, func(a, b Node) int {
		return cmp.Compare(readerHash(b.Name), readerHash(a.Name))
	})
	return candidates[:min(len(candidates), readersPerFailureDomain)]
}

func readerHash(name string) uint64 { return xxhash.Sum64String(name + "/reader") }
