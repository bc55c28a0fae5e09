package discovery

import (
	"fmt"
	"net"
	"strconv"

	"github.com/figweir/figweir/store"
)

// Node is the entry of one node in the store.
type Node struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	// RPCAddress is the address for RPCs between nodes.
	RPCAddress string `json:"peers"`
	// LoadAddress is the UDP address for load updates.
	LoadAddress string `json:"load"`
	// CPU is the fraction of a CPU core that the node may use.
	CPU float64 `json:"cpu"`
	// Lease is the lease under which the node wrote its entry; nil if an earlier version wrote
	// it.
	Lease *store.LeaseID `json:"lease,omitempty"`
}

// maxNodeCPU is the greatest number of CPU cores that is plausible for one node.
const maxNodeCPU = 1 << 12

// validate returns an error if the entry, which stands under the key of the node with the given
// name, describes no node: another writer may have left it.
func (n Node) validate(name string) error {
	if n.Name == "" || n.Name != name {
		return fmt.Errorf("entry of node %.40q names %.40q", name, n.Name)
	}
	if n.CPU < 0 || n.CPU > maxNodeCPU {
		return fmt.Errorf("%g CPU cores are out of range", n.CPU)
	}
	for _, address := range []string{n.RPCAddress, n.LoadAddress} {
		if address != "" && !isAddress(address) {
			return fmt.Errorf("address %.40q is no host and port", address)
		}
	}
	return nil
}

// isAddress reports whether an address has a host and a port that can be called.
func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	number, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && portErr == nil && host != "" && number > 0
}

// largeNodeCPUFraction is the minimum CPU of an aggregator or reader, as a fraction of
// the CPU of the largest node.
const largeNodeCPUFraction = 0.7
