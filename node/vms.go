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
	// leaving holds the backend servers that the last list showed as leaving.
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
	leaving := make(map[string]bool)
	for _, vm := range vms {
		if vm.BackendServer == "" {
			out = append(out, membership.VM{Name: vm.Name, Address: vm.Address, FailureDomain: vm.FailureDomain, Leaving: vm.Leaving})
			continue
		}
		if vm.Leaving {
			leaving[vm.BackendServer] = true
		}
	}
	l.notice(leaving)
	return out, nil
}

// notice publishes what has changed since the last list. A server that is no
// longer listed stays as it was: a VM that is gone was leaving before.
func (l *vmLister) notice(leaving map[string]bool) {
	for name := range leaving {
		if !l.leaving[name] {
			l.publish(name)
		}
	}
	l.leaving = leaving
}

func (l *vmLister) publish(server string) {
	event := bus.ServerLeaving{BackendServer: server, Leaving: true}
	if err := bus.Publish(l.node.bus, bus.TopicServerLeaving, event); err != nil {
		l.node.log.Error(err, "event not published")
	}
}
