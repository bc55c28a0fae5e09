package node

import (
	"context"
	"strings"
	"time"

	"github.com/figweir/figweir/bus"
)

// Prefixes of the names of leaving notices. A backend server gets no new work
// while any notice about it is in effect. Each source uses its own prefix, so
// that withdrawing one notice does not withdraw another. The holder of an orders
// duty uses the name of the server without a prefix.
const (
	// reportNotice is used for servers whose load report states that they leave.
	reportNotice = "report/"
	// vmNotice is used for servers whose VM the platform lists as leaving.
	vmNotice = "vm/"
)

// setNotice raises or withdraws a notice, which heartbeats distribute to all
// nodes. It does nothing if the notice already has that state.
func (n *Node) setNotice(source, server string, leaving bool) {
	if n.members.View().ServerLeaving(source+server) == leaving {
		return
	}
	n.members.SetServerLeaving(source+server, leaving)
	n.log.Info("backend server leaving", "backend_server", server, "leaving", leaving, "source", strings.TrimSuffix(source, "/"))
}

// onServerLeaving handles the event that the VM of a backend server is leaving,
// or no longer leaving, according to the platform's list.
func (n *Node) onServerLeaving(_ context.Context, e bus.Event[bus.ServerLeaving]) error {
	n.setNotice(vmNotice, e.Value.BackendServer, e.Value.Leaving)
	return nil
}

// noticedServers returns the servers with a notice in effect from any source.
func (n *Node) noticedServers() map[string]bool {
	out := make(map[string]bool)
	for _, name := range n.members.View().LeavingServers() {
		out[strings.TrimPrefix(strings.TrimPrefix(name, reportNotice), vmNotice)] = true
	}
	return out
}

// applyNotices marks the servers that get no new work from this node: those with
// a notice in effect, and those whose load reports state that they leave or are
// missing.
func (b *backends) applyNotices(now time.Time) {
	noticed := b.node.noticedServers()
	for _, tracker := range *b.trackers.Load() {
		for _, s := range tracker.View().Servers {
			leaving := noticed[s.Name] || b.unusable(s.Name)
			if leaving != s.Leaving {
				tracker.SetLeaving(now, s.Name, leaving)
			}
		}
	}
}

// unusable reports whether the load reports of the server state that it leaves,
// or are missing.
func (b *backends) unusable(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.polled[name]
	return p != nil && (p.leaving || p.consecutiveFailures >= pollsUntilUnusable)
}

// serverNotices implements orders.Notices. It distributes notices only by
// heartbeats, which carry versions, so that a late withdrawal does not override a
// newer notice.
type serverNotices struct{ node *Node }

// SetServerLeaving implements orders.Notices.
func (s serverNotices) SetServerLeaving(name string, leaving bool) {
	s.node.members.SetServerLeaving(name, leaving)
}

// LeavingServers implements orders.Notices. It omits the notices of other
// sources, which the holder of an orders duty must not withdraw.
func (s serverNotices) LeavingServers() []string {
	var out []string
	for _, name := range s.node.members.View().LeavingServers() {
		if !strings.HasPrefix(name, reportNotice) && !strings.HasPrefix(name, vmNotice) {
			out = append(out, name)
		}
	}
	return out
}
