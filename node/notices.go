package node

import (
	"context"
	"strings"
	"time"

	"github.com/figweir/figweir/bus"
)

// A backend server gets no new work while any notice about it stands. Each
// source has notices of its own, so that withdrawing one can't undo another:
// the holder of an orders duty uses the plain name of the server.
const (
	// reportNotice is for servers whose own load report says that they leave.
	reportNotice = "report/"
	// vmNotice is for servers whose VM the platform lists as leaving.
	vmNotice = "vm/"
)

// setNotice spreads a notice to all nodes with the next heartbeats, unless it
// already stands as it should.
func (n *Node) setNotice(source, server string, leaving bool) {
	if n.members.View().ServerLeaving(source+server) == leaving {
		return
	}
	n.members.SetServerLeaving(source+server, leaving)
	n.log.Info("backend server leaving", "backend_server", server, "leaving", leaving, "source", strings.TrimSuffix(source, "/"))
}

// onServerLeaving handles what the platform's list says of a backend server.
func (n *Node) onServerLeaving(_ context.Context, e bus.Event[bus.ServerLeaving]) error {
	n.setNotice(vmNotice, e.Value.BackendServer, e.Value.Leaving)
	return nil
}

// noticed returns the servers about which a notice of any source stands.
func (n *Node) noticed() map[string]bool {
	out := make(map[string]bool)
	for _, name := range n.members.View().LeavingServers() {
		out[strings.TrimPrefix(strings.TrimPrefix(name, reportNotice), vmNotice)] = true
	}
	return out
}

// applyNotices marks the servers that get no new work from this node: those
// that a notice stands about, and those whose load reports say so or are missing.
func (b *backends) applyNotices(now time.Time) {
	noticed := b.node.noticed()
	for _, tracker := range *b.trackers.Load() {
		for _, s := range tracker.View().Servers {
			leaving := noticed[s.Name] || b.unusable(s.Name)
			if leaving != s.Leaving {
				tracker.Leave(now, s.Name, leaving)
			}
		}
	}
}

// unusable reports whether the server's own load reports say that it gets no
// work, or are missing.
func (b *backends) unusable(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.polled[name]
	return p != nil && (p.leaving || p.failures >= failedPolls)
}

// serverNotices implements orders.Notices by heartbeats only: they carry
// versions, so that a late withdrawal can't undo a newer notice.
type serverNotices struct{ node *Node }

// SetServerLeaving implements orders.Notices.
func (s serverNotices) SetServerLeaving(name string, leaving bool) {
	s.node.members.SetServerLeaving(name, leaving)
}

// LeavingServers implements orders.Notices. It leaves out the notices of other
// sources, which a holder must not withdraw.
func (s serverNotices) LeavingServers() []string {
	var out []string
	for _, name := range s.node.members.View().LeavingServers() {
		if !strings.HasPrefix(name, reportNotice) && !strings.HasPrefix(name, vmNotice) {
			out = append(out, name)
		}
	}
	return out
}
