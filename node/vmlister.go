package node

import (
	"context"

	"github.com/figweir/figweir/bus"
	"github.com/figweir/figweir/membership"
)

// vmLister reads the platform's list of VMs for package membership, and publishes
// which backend servers are leaving. It is not safe for concurrent use.
type vmLister struct {
	node *Node
	// lastLeaving is the last published value by backend server.
	lastLeaving map[string]bool
}

func newVMLister(n *Node) *vmLister { return &vmLister{node: n, lastLeaving: make(map[string]bool)} }

// VMs implements membership.Lister. It returns only the VMs of figweir's nodes.
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
		if last, ok := l.lastLeaving[vm.BackendServer]; !ok || last != vm.Leaving {
			l.lastLeaving[vm.BackendServer] = vm.Leaving
			l.publishLeaving(vm.BackendServer, vm.Leaving)
		}
	}
	return out, nil
}

// publishLeaving publishes on the bus whether the list shows the VM of a backend
// server as leaving. The value of a server that is no longer listed does not
// change: its VM was leaving before it was removed.
func (l *vmLister) publishLeaving(server string, leaving bool) {
	event := bus.ServerLeaving{BackendServer: server, Leaving: leaving}
	if err := bus.Publish(l.node.bus, bus.TopicServerLeaving, event); err != nil {
		l.node.log.Error(err, "event not published")
	}
}
