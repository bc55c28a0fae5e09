package node

import (
	"context"
	"sync"
	"time"

	"github.com/figweir/figweir/boottime"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/route"
)

const (
	// pollInterval is the time between two reads of an engine's load report.
	pollInterval = 500 * time.Millisecond
	// minRefreshInterval is the minimum time between two refreshes of all load
	// reports that are caused by refusals.
	minRefreshInterval = 20 * time.Millisecond
	// cacheEventPolls is the number of reads of an engine's load report for each
	// read of its cache events. Cache events only correct the cache state that this
	// node derives from its own requests.
	cacheEventPolls = 4
	// pollsUntilUnusable is the number of consecutive load reports that must be
	// missing before a server gets no new work.
	pollsUntilUnusable = 3
	// subsetPollGrace is how long a server is polled after it has left the node's
	// subset. A role change takes seconds.
	subsetPollGrace = 5 * time.Minute
)

// polledServer is the state of a server according to its load reports.
type polledServer struct {
	sequence            uint64 // sequence number of the last report; 0 if there was none
	polls               int    // number of successful polls
	consecutiveFailures int    // consecutive polls that failed
	leaving             bool
	role                config.Role
	// lastInSubset is when the server was last in the node's subset.
	lastInSubset time.Time
	// cacheSequence is the sequence number of the last cache event applied.
	cacheSequence uint64
}

// RefreshLoads implements caller.Router. A call during a refresh waits for that
// refresh. Reports that were refreshed within minRefreshInterval are not read
// again, so that refusals under load cause little additional load.
func (b *backends) RefreshLoads(ctx context.Context) {
	if boottime.Now()-time.Duration(b.lastRefresh.Load()) < minRefreshInterval {
		return
	}
	done := b.refresh.DoChan("reports", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pollInterval)
		defer cancel()
		b.pollAll(ctx)
		b.lastRefresh.Store(int64(boottime.Now()))
		return nil, nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// pollAll reads the load reports of all engines to be polled, concurrently.
func (b *backends) pollAll(ctx context.Context) {
	snapshot := b.node.config.Load()
	if snapshot == nil {
		return
	}
	now := time.Now()
	var wg sync.WaitGroup
	for i := range snapshot.Document.BackendServers {
		server := &snapshot.Document.BackendServers[i]
		if !b.shouldPoll(server, now) {
			continue
		}
		wg.Go(func() { b.poll(ctx, server) })
	}
	wg.Wait()
}

// shouldPoll reports whether to poll the server. Engines outside the node's
// subset are not polled, so that the number of calls does not grow with the
// fleet; other nodes distribute their leaving notices. An engine that has left
// the subset is polled for subsetPollGrace, and for as long as it is leaving or
// failing: a server that leaves, fails or changes its role is in no subset, and
// its recovery would otherwise not be noticed.
func (b *backends) shouldPoll(server *config.BackendServer, now time.Time) bool {
	tracker := (*b.trackers.Load())[server.Pool]
	if tracker == nil || tracker.View().BlockTokens == 0 {
		return false
	}
	tracked := tracker.View().Server(server.Name)
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.polled[server.Name]
	if tracked != nil && tracked.InSubset() {
		if p == nil {
			p = &polledServer{role: config.RoleMixed}
			b.polled[server.Name] = p
		}
		p.lastInSubset = now
		return true
	}
	return p != nil && (p.leaving || p.consecutiveFailures > 0 || now.Sub(p.lastInSubset) < subsetPollGrace)
}

// poll reads the load report of one engine.
func (b *backends) poll(ctx context.Context, server *config.BackendServer) {
	report, err := b.node.engines.Load(ctx, server.Address)
	tracker := (*b.trackers.Load())[server.Pool]
	if tracker == nil || ctx.Err() != nil {
		return
	}
	b.mu.Lock()
	p := b.polled[server.Name]
	if p == nil {
		b.mu.Unlock()
		return
	}
	if err != nil {
		p.consecutiveFailures++
		b.mu.Unlock()
		return
	}
	isNew, roleChanged := p.update(report)
	readCache := p.polls%cacheEventPolls == 0
	p.polls++
	b.mu.Unlock()

	if isNew {
		tracker.Observe(server.Name, routeReport(report))
	}
	if readCache {
		b.readCacheEvents(ctx, tracker, server, p)
	}
	if roleChanged {
		b.applyConfig()
	}
	b.node.setNotice(reportNotice, server.Name, report.Leaving)
}

// update stores a load report. It returns whether the report is new and whether
// the role has changed. A smaller sequence number than before means that the
// engine has restarted.
func (p *polledServer) update(report engine.LoadReport) (isNew, roleChanged bool) {
	p.consecutiveFailures = 0
	p.leaving = report.Leaving
	isNew = report.Sequence != p.sequence
	if report.Sequence < p.sequence {
		p.cacheSequence = 0
	}
	p.sequence = report.Sequence
	roleChanged = report.Role != "" && report.Role != p.role
	if roleChanged {
		p.role = report.Role
	}
	return isNew, roleChanged
}

// readCacheEvents updates the record of the blocks cached on an engine. A gap
// in the sequence leaves wrong entries, which expire.
func (b *backends) readCacheEvents(ctx context.Context, tracker *route.Tracker, server *config.BackendServer, p *polledServer) {
	tracked := tracker.View().Server(server.Name)
	if tracked == nil || tracked.CachedBlocks() == nil {
		return
	}
	b.mu.Lock()
	after := p.cacheSequence
	b.mu.Unlock()
	events, err := b.node.engines.CacheEvents(ctx, server.Address, after)
	if err != nil {
		b.node.log.V(1).Info("cache events not read", "backend_server", server.Name, "error", err.Error())
		return
	}
	now := time.Now()
	for _, e := range events {
		tracked.CachedBlocks().Add(now, e.Added...)
		tracked.CachedBlocks().Remove(e.Removed...)
		after = max(after, e.Sequence)
	}
	b.mu.Lock()
	p.cacheSequence = after
	b.mu.Unlock()
}

// routeReport converts a load report of an engine for package route.
func routeReport(r engine.LoadReport) route.Report {
	return route.Report{MeasuredAt: r.ReceivedAt, Load: route.Load{
		Streams: int64(r.Running + r.Queued), PrefillTokens: int64(r.QueuedPrefillTokens),
		KVBlocks: int64(r.KVBlocksTotal - r.KVBlocksFree),
	}}
}
