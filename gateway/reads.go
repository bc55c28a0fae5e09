package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/discovery"
	"github.com/figweir/figweir/peer"
	"github.com/figweir/figweir/platform"
)

// setUpReads creates what the followers of the store read.
func (g *Gateway) setUpReads(log logr.Logger) {
	bound := min(g.settings.ConfigBound(), g.settings.DrainBound())
	interval := func() time.Duration { return g.heartbeatInterval(bound) }
	g.heartbeatStore = discovery.NewHeartbeatStore(g.store, g.nodes.Lease, bound, interval)
	client := peer.NewMirrorClient(peer.NewHTTPClient(), peer.NewAuth(""))
	g.reads = discovery.NewSharedReads(g.heartbeatStore, client, g.nodes.Readers, g.heartbeatStore.ResponseAge, bound, log)
}

const (
	// heartbeatFraction is the interval of heartbeats to the store as a fraction of the
	// bound within which a change must be read.
	heartbeatFraction = 0.5
	// readerHeartbeatFraction is the same on readers: other nodes must learn soon that
	// their reader has lost the store.
	readerHeartbeatFraction = 0.125
)

// heartbeatInterval returns the interval of heartbeats to the store.
func (g *Gateway) heartbeatInterval(bound time.Duration) time.Duration {
	fraction := heartbeatFraction
	if g.nodes.IsReader() {
		fraction = readerHeartbeatFraction
	}
	return time.Duration(fraction * float64(bound))
}

const (
	// batchDrainFraction is the fraction of the drain bound over which changes of
	// registrations may be batched.
	batchDrainFraction = 0.15
	// multiCellBatchDrainFraction is the same on deployments with several cells.
	// Every change costs one store call per node, and there are many nodes.
	multiCellBatchDrainFraction = 0.35
	// readerBatchDrainFraction is the same on nodes that read the store for others, and
	// sharedBatchDrainFraction on nodes that read the batches of a reader.
	readerBatchDrainFraction = 0.1
	sharedBatchDrainFraction = 0.01
)

// registrationBatchDelay returns the time over which consecutive changes of
// registrations are batched. The first change after a pause is read at once.
func (g *Gateway) registrationBatchDelay() time.Duration {
	fraction := batchDrainFraction
	switch {
	case g.nodes.IsReader():
		fraction = readerBatchDrainFraction
	case g.reads.ViaReader(platform.ServersPrefix):
		fraction = sharedBatchDrainFraction
	case g.cell().Count > 1:
		fraction = multiCellBatchDrainFraction
	}
	return time.Duration(fraction * float64(g.settings.DrainBound()))
}

// peerAddresses returns the RPC addresses of the other nodes. If the list of nodes is empty, these
// are the seeds and the nodes of which it is not known whether they run.
func (g *Gateway) peerAddresses() []string {
	if list := g.nodes.PeerAddresses(); len(list) > 0 {
		return list
	}
	list := g.nodes.UnverifiedAddresses()
	for _, seed := range g.settings.Seeds {
		if seed != g.settings.Listen.Peers {
			list = append(list, seed)
		}
	}
	return list
}

// startFollowers starts everything that reads the store or other nodes' state.
func (g *Gateway) startFollowers(ctx context.Context, group *sync.WaitGroup) {
	onResponse := func() { g.updateReady() }
	group.Go(func() { g.heartbeatStore.Run(ctx) })
	group.Go(func() { g.config.Run(ctx, g.reads, onResponse) })
	group.Go(func() { g.servers.Run(ctx, g.reads, onResponse) })
	group.Go(func() { g.nodes.Follow(ctx, g.reads, onResponse) })
	group.Go(func() { g.dutyHolder.Run(ctx, g.reads, onResponse) })
	quarantineLoaded := make(chan struct{})
	group.Go(func() {
		g.loadQuarantine(ctx)
		close(quarantineLoaded)
	})
	g.relay.QuarantineLoaded = quarantineLoaded
	group.Go(func() { g.relay.Run(ctx) })
}

// updateReady marks the node as ready once it has read a configuration and the
// registrations. A ready node stays ready during a store outage.
func (g *Gateway) updateReady() {
	if g.ready.Load() || g.config.Version() == 0 || !g.servers.Loaded() {
		return
	}
	if !g.ready.Swap(true) {
		g.log.Info("ready", "config_version", g.table.Load().Version, "backend_servers", len(g.registry.View().All()))
	}
}
