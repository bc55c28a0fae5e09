package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/figweir/figweir/backends"
	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/loadshare"
	"github.com/figweir/figweir/metering"
	"github.com/figweir/figweir/store"
)

const (
	// totalsInterval is the time between two updates by an aggregator. A prompt takes a
	// few hundred milliseconds, so older totals would be misleading.
	totalsInterval = 100 * time.Millisecond
	// longPromptTokens is the number of tokens from which an aggregator sends its totals
	// at once. An engine that processes such a prompt delays all others by more than
	// totalsInterval, and until the nodes know of it they send it further prompts.
	longPromptTokens = 8000
)

// peerLoads holds the load that other nodes report. On small deployments every node
// sends its load to every other. On large ones it sends it to the nodes of its cell,
// and aggregators sum the load on prefill engines, which all nodes share.
type peerLoads struct {
	// nodes holds the updates of the nodes of the cell, totals the sums that
	// aggregators sent, and parts the updates for the parts of the prefill engines
	// whose load this node sums as an aggregator.
	nodes, totals, parts *loadshare.Table
	// longPrompt is signaled when an engine whose load this node sums has received a
	// long prompt.
	longPrompt chan struct{}
}

func newPeerLoads() *peerLoads {
	return &peerLoads{
		nodes: loadshare.NewTable(), totals: loadshare.NewTable(), parts: loadshare.NewTable(),
		longPrompt: make(chan struct{}, 1),
	}
}

// updatePart stores the load of a node on engines whose load this node sums.
func (l *peerLoads) updatePart(now time.Time, u *figweirv1.LoadUpdate) {
	if l.parts.Update(now, u) < longPromptTokens {
		return
	}
	select {
	case l.longPrompt <- struct{}{}:
	default:
	}
}

// Load returns the requests in progress and the unprocessed prompt tokens of other nodes
// on the server with the given hash.
func (l *peerLoads) Load(server uint64) (requests, prefillTokens int64) {
	requests, prefillTokens = l.nodes.Load(server)
	r, t := l.totals.Load(server)
	return max(requests, r), max(prefillTokens, t)
}

// PeerCount returns the number of other nodes of the cell whose updates are recent.
func (l *peerLoads) PeerCount() int { return l.nodes.PeerCount() }

// cell returns the cell of this node.
func (g *Gateway) cell() backends.Cell { return backends.CellOf(g.nodes.Position()) }

// localLoad returns this node's load on backend servers and, once per usageInterval, its
// usage counts.
func (g *Gateway) localLoad() *figweirv1.LoadUpdate {
	u := &figweirv1.LoadUpdate{
		PromptTokens:  g.balancer.PromptTokens(),
		ConfigVersion: g.config.Version(), RegistrationsRevision: uint64(g.servers.Revision()),
	}
	// A statement that arrives from now on goes into the next update, and possibly into this one
	// too.
	statedAfter := g.statementsSentAt
	g.statementsSentAt = time.Now()
	for _, s := range g.registry.View().All() {
		requests, tokens := s.OwnLoad()
		stated := s.StatedSince(statedAfter)
		if requests > 0 || stated > 0 {
			u.Servers = append(u.Servers, &figweirv1.ServerLoad{
				Server: s.Hash, Requests: uint32(requests), PrefillTokens: uint32(max(0, tokens)), SlowdownPercent: uint32(stated),
			})
		}
	}
	if now := time.Now(); now.Sub(g.usageSentAt) >= usageInterval {
		g.usageSentAt = now
		trueNow := g.trueTime.At(now)
		for window, counts := range g.counter.Latest(usageWindowsPerUpdate) {
			final := trueNow.After(g.usageWindows.End(window).Add(metering.FinalDelay))
			u.Usage = append(u.Usage, &figweirv1.WindowUsage{Window: window, Counts: counts, Final: final})
		}
	}
	return u
}

// loadMessages returns the messages for an update: to the nodes of the cell, to the
// aggregators of the prefill engines that it lists, and, if it carries usage counts, to
// the holder of the duty. With a single cell every node is in the cell, and there are no
// aggregators.
func (g *Gateway) loadMessages(u *figweirv1.LoadUpdate) []loadshare.Message {
	cell := g.cell()
	messages := []loadshare.Message{{Update: u, Recipients: g.nodes.CellPeers(cell.Count)}}
	if changes := g.roleChanges.updateDue(time.Now()); changes != nil {
		messages = append(messages, loadshare.Message{Update: changes, Recipients: g.nodes.LoadAddresses()})
	}
	if cell.Count == 1 {
		return messages
	}
	if len(u.Usage) > 0 {
		messages[0].Recipients = append(messages[0].Recipients, g.dutyHolderLoadAddress()...)
	}
	return append(messages, g.partMessages(cell, u)...)
}

// recordPeerStatements records the speeds that servers have stated to another node of the cell.
func (g *Gateway) recordPeerStatements(now time.Time, u *figweirv1.LoadUpdate) {
	view := g.registry.View()
	for _, load := range u.Servers {
		if load.SlowdownPercent == 0 {
			continue
		}
		if s := view.ByHash(load.Server); s != nil {
			s.RecordPeerStatement(now, int(load.SlowdownPercent))
		}
	}
}

// dutyHolderLoadAddress returns the UDP address of the holder of the duty if that is
// another node.
func (g *Gateway) dutyHolderLoadAddress() []string {
	holder, _ := g.dutyHolder.Address()
	if holder == "" || holder == g.settings.IPAddress {
		return nil
	}
	for _, node := range g.nodes.List() {
		if host, _, err := net.SplitHostPort(node.LoadAddress); err == nil && host == holder {
			return []string{node.LoadAddress}
		}
	}
	return nil
}

// partMessages returns the load on prefill engines as messages to the aggregators, one
// per part of the engines. For a part that no longer has load, the update is empty.
func (g *Gateway) partMessages(cell backends.Cell, u *figweirv1.LoadUpdate) []loadshare.Message {
	byPart := make(map[int][]*figweirv1.ServerLoad)
	for part := range g.reportedParts {
		byPart[part] = nil
	}
	prefill := g.registry.View().PrefillHashes()
	for _, s := range u.Servers {
		if prefill[s.Server] && s.Requests > 0 {
			part := cell.EnginePart(s.Server)
			byPart[part] = append(byPart[part], s)
		}
	}
	g.reportedParts = make(map[int]bool, len(byPart))
	var messages []loadshare.Message
	for part, servers := range byPart {
		if len(servers) > 0 {
			g.reportedParts[part] = true
		}
		// Each part has its own incarnation, because one node may aggregate several parts.
		update := &figweirv1.LoadUpdate{
			Scope: figweirv1.Scope_SCOPE_PART, Servers: servers, Incarnation: partIncarnation(g.incarnation, part),
		}
		aggregator := g.nodes.Aggregator(part)
		if aggregator.Name == g.settings.Name {
			update.Sequence = g.sharer.NextSequence()
			g.peerLoads.updatePart(time.Now(), update)
			continue
		}
		messages = append(messages, loadshare.Message{Update: update, Recipients: []string{aggregator.LoadAddress}})
	}
	return messages
}

// partIncarnation returns the incarnation under which one part of a node's load is sent.
func partIncarnation(incarnation uint64, part int) uint64 {
	return incarnation ^ uint64(part+1)<<48
}

// sendTotals sends the sums that this node aggregates, until ctx ends.
func (g *Gateway) sendTotals(ctx context.Context, conn net.PacketConn) {
	ticker := time.NewTicker(totalsInterval)
	defer ticker.Stop()
	// Receivers must distinguish an aggregator's totals from its own load.
	incarnation := rand.Uint64() | 1
	sent := false
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.peerLoads.parts.Expire(now)
			g.peerLoads.totals.Expire(now)
		case <-g.peerLoads.longPrompt:
		}
		if g.cell().Count == 1 || g.peerLoads.parts.PeerCount() == 0 {
			continue
		}
		servers := g.peerLoads.parts.Sums()
		if len(servers) == 0 && !sent {
			continue
		}
		sent = len(servers) > 0
		u := &figweirv1.LoadUpdate{Scope: figweirv1.Scope_SCOPE_TOTAL, Incarnation: incarnation, Servers: servers}
		g.sharer.Send(conn, loadshare.Message{Update: u, Recipients: g.nodes.LoadAddresses()})
		g.peerLoads.totals.Update(time.Now(), u)
	}
}

const (
	// usageInterval is the time between two updates that carry usage counts.
	usageInterval = time.Second
	// usageWindowsPerUpdate is the number of usage windows that such an update carries.
	usageWindowsPerUpdate = 2
)

// maxIncarnations bounds the memory for addresses of nodes that are gone.
const maxIncarnations = 4096

// recordIncarnation records which incarnation runs at an address. An earlier one at the
// same address has ended.
func (g *Gateway) recordIncarnation(address string, incarnation uint64) {
	if len(g.incarnations) > maxIncarnations {
		clear(g.incarnations)
	}
	old, known := g.incarnations[address]
	g.incarnations[address] = incarnation
	if known && old != incarnation {
		g.receivedCounts.End(incarnationName(old))
	}
}

// handleLoadUpdate stores the update of another node: its load, its usage counts, and
// up to where it has read the store.
func (g *Gateway) handleLoadUpdate(from net.Addr, u *figweirv1.LoadUpdate) {
	now := time.Now()
	if g.quotas.limiter.Active() {
		g.quotas.limiter.Heard(now, from.String())
	}
	switch u.Scope {
	case figweirv1.Scope_SCOPE_QUOTAS:
		g.receiveQuota(now, from, u)
		return
	case figweirv1.Scope_SCOPE_PART:
		g.peerLoads.updatePart(now, u)
		return
	case figweirv1.Scope_SCOPE_TOTAL:
		g.peerLoads.totals.Update(now, u)
		return
	case figweirv1.Scope_SCOPE_ROLE_CHANGES:
		applyRoleChanges(g.registry.View(), now, u.ChangingServers)
		return
	case figweirv1.Scope_SCOPE_RATE_LIMITS:
		g.receiveRateLimit(now, from, u)
		return
	case figweirv1.Scope_SCOPE_SEALED_USAGE:
		g.receiveSeals(now, from, u)
		return
	case figweirv1.Scope_SCOPE_QUARANTINE:
		g.quarantine.receive(now, u)
		return
	}
	g.peerLoads.nodes.Update(now, u)
	g.recordPeerStatements(now, u)
	if udp, ok := from.(*net.UDPAddr); ok && g.peersPort != "" {
		g.relay.Hint(net.JoinHostPort(udp.IP.String(), g.peersPort), u.ConfigVersion, store.Revision(u.RegistrationsRevision))
	}
	g.recordIncarnation(from.String(), u.Incarnation)
	current := g.usageWindows.At(g.trueTime.At(now))
	for _, w := range u.Usage {
		if w.Window < current-usageWindowsPerUpdate || w.Window > current+1 {
			// Counts of a node with a wrong clock would displace those of the others.
			continue
		}
		g.receivedCounts.Update(incarnationName(u.Incarnation), w.Window, w.Counts, w.Final)
	}
}
