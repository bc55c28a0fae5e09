package node

import (
	"context"

	"github.com/figweir/figweir/bus"
	"github.com/figweir/figweir/membership"
)

// vmLister reads the platform's list of VMs for package membership, and passes
// on which backend servers are leaving. It is used by one goroutine.
type vmLister struct {
	node *Node
	// leaving is what the last list said of each backend server.
	leaving map[string]bool
}

func newVMLister(n *Node) *vmLister { return &vmLister{node: n, leaving: make(map[string]bool)} }

// VMs implements membership.Lister. It returns figweir's own VMs.
func (l *vmLister) VMs(ctx context.Context) ([]membership.VM, error) {
	vms, err := l.node.fleet.VMs(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]membership.VM, 0, len(vms))
	for _, vm := range vms {
		if vm.BackendServer == "" {
			out = append(out, membership.VM{Name: vm.Name, Address: vm.Address, FailureDomain: vm.FailureDomain, Leaving: vm.Leaving})
			continue
		}
		if known, ok := l.leaving[vm.BackendServer]; !ok || known != vm.Leaving {
			l.leaving[vm.BackendServer] = vm.Leaving
			l.publish(vm.BackendServer, vm.Leaving)
		}
	}
	return out, nil
}

// publish tells the node what the list says. A server that is no longer listed
// stays as it was: its VM was leaving before it was gone.
func (l *vmLister) publish(server string, leaving bool) {
	event := bus.ServerLeaving{BackendServer: server, Leaving: leaving}
	if err := bus.Publish(l.node.bus, bus.TopicServerLeaving, event); err != nil {
		l.node.log.Error(err, "event not published")
	}
}
