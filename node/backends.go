package node

import (
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/boottime"
	"github.com/figweir/figweir/caller"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/route"
	"github.com/figweir/figweir/settings"
)

const (
	// pollInterval is how often the load report of each engine is read.
	pollInterval = 500 * time.Millisecond
	// renewInterval is the least time between two readings of all load reports
	// that refusals cause.
	renewInterval = 20 * time.Millisecond
	// publishInterval is how often the views of the pools are renewed.
	publishInterval = 100 * time.Millisecond
	// cacheEventPolls is how many load reports are read for each read of cache
	// events, which only correct what this node knows from its own requests.
	cacheEventPolls = 4
	// failedPolls is how many reports in a row may be missing before a server
	// gets no new work.
	failedPolls = 3
	// pollAfterwards is how long a server is polled after it has left the node's
	// subset. A role change takes seconds.
	pollAfterwards = 5 * time.Minute
	// minPickRetry is the least time after which a caller is told to come back.
	minPickRetry = time.Second
)

// backends tracks the backend servers of the configuration and chooses among
// them.
type backends struct {
	node   *Node
	policy route.Policy
	// trackers maps the name of a pool to its tracker. The map is replaced when
	// the configuration changes, never changed.
	trackers atomic.Pointer[map[string]*route.Tracker]
	// registered is set once the servers of a configuration are known.
	registered atomic.Bool

	// renewal joins the readings of load reports that refusals cause; renewed is
	// the boot time at which the last one ended.
	renewal singleflight.Group
	renewed atomic.Int64

	mu sync.Mutex
	// polled is the state of each server by name.
	polled map[string]*polledServer
}

type polledServer struct {
	sequence uint64
	polls    int
	failures int
	leaving  bool
	role     config.Role
	// member is when the server was last in the node's subset.
	member time.Time
	// cacheSequence is the last cache event that was taken into account.
	cacheSequence uint64
}

func newBackends(n *Node) *backends {
	b := &backends{node: n, policy: newPolicy(n), polled: make(map[string]*polledServer)}
	b.trackers.Store(&map[string]*route.Tracker{})
	return b
}

func newPolicy(n *Node) route.Policy {
	switch n.settings.Routing.Policy {
	case settings.PolicyRoundRobin:
		return &route.RoundRobin{}
	case settings.PolicyLeastOutstanding:
		return &route.LeastOutstanding{}
	case settings.PolicyPrefixAffinity:
		return &route.PrefixAffinity{}
	}
	// Nodes with different seeds don't choose the same servers in step.
	h := fnv.New64a()
	_, _ = h.Write([]byte(n.process))
	return route.NewCost(h.Sum64(), route.DefaultWeights)
}

// register takes over the backend servers of the configuration in force.
func (b *backends) register() {
	snapshot := b.node.config.Load()
	if snapshot == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	old := *b.trackers.Load()
	trackers := make(map[string]*route.Tracker, len(snapshot.Document.Pools))
	for i := range snapshot.Document.Pools {
		pool := &snapshot.Document.Pools[i]
		tracker := old[pool.Name]
		if tracker == nil {
			tracker = route.NewTracker(pool.Name, b.node.settings.Name, pool.KVBlockTokens)
		}
		tracker.Register(now, b.registrations(snapshot, pool))
		trackers[pool.Name] = tracker
	}
	b.trackers.Store(&trackers)
	b.registered.Store(true)
	b.forget(snapshot)
}

// forget drops what is known of servers that are no longer registered. It is
// called with mu held.
func (b *backends) forget(snapshot *config.Snapshot) {
	registered := make(map[string]bool, len(snapshot.Document.BackendServers))
	for i := range snapshot.Document.BackendServers {
		registered[snapshot.Document.BackendServers[i].Name] = true
	}
	for name := range b.polled {
		if !registered[name] {
			delete(b.polled, name)
		}
	}
}

// registrations is called with mu held.
func (b *backends) registrations(snapshot *config.Snapshot, pool *config.Pool) []route.Registration {
	servers := snapshot.Servers(pool.Name)
	out := make([]route.Registration, len(servers))
	for i, s := range servers {
		role := config.RoleMixed
		if p := b.polled[s.Name]; p != nil && p.role != "" {
			role = p.role
		}
		out[i] = route.Registration{
			Name: s.Name, FailureDomain: s.FailureDomain, Address: s.Address, Role: role, Class: s.Class,
			Distance: b.distance(s.FailureDomain), Draining: s.Draining, KVBlocks: pool.KVBlocks,
		}
	}
	return out
}

// remoteDistance is assumed between two failure domains. The deployments of
// today lie within about a millisecond.
const remoteDistance = time.Millisecond

func (b *backends) distance(failureDomain string) time.Duration {
	if failureDomain == b.node.settings.FailureDomain {
		return 0
	}
	return remoteDistance
}

// usable returns how many servers of a pool take work.
func (b *backends) usable(pool string) int {
	tracker := (*b.trackers.Load())[pool]
	if tracker == nil {
		return 0
	}
	n := 0
	for _, s := range tracker.View().Servers {
		if !s.Draining && !s.Leaving {
			n++
		}
	}
	return n
}

// Pick implements caller.Router.
func (b *backends) Pick(pool *config.Pool, w caller.Work) (caller.Target, error) {
	tracker := (*b.trackers.Load())[pool.Name]
	if tracker == nil {
		return caller.Target{}, unavailable(nil, minPickRetry)
	}
	request := route.Request{
		PromptTokens: w.PromptTokens, OutputTokens: w.MaxOutputTokens,
		Prefix: w.PrefixBlocks, Exclude: w.Exclude, Now: time.Now(),
	}
	view := tracker.View()
	choice, err := b.policy.Pick(view, &request)
	if err != nil {
		alone, ok := decodeAlone(view, &request)
		if !ok || tooLarge(err) {
			return caller.Target{}, pickError(err)
		}
		choice = alone
	}
	flight := choice.Begin(&request, pool.KVBlockTokens)
	if digest := choice.Prefill.Digest(); digest != nil {
		digest.Add(request.Now, w.PrefixBlocks...)
	}
	server := choice.Decode
	target := caller.Target{
		Name: server.Name, Address: server.Address, FailureDomain: server.FailureDomain,
		Release:   flight.End,
		Generated: func(int) { flight.Token() },
	}
	if choice.Pair() {
		target.PrefillAddress = choice.Prefill.Address
	}
	return target, nil
}

// decodeAlone chooses the decode engine with the fewest streams to process the
// prompt as well. It serves requests while no prefill engine is known, for
// example until this node has heard of a role change.
func decodeAlone(view *route.View, r *route.Request) (route.Choice, bool) {
	var best *route.Server
	for _, s := range view.Servers {
		if s.Role != config.RoleDecode || s.Draining || s.Leaving || slices.Contains(r.Exclude, s.Name) {
			continue
		}
		if best == nil || s.Load().Streams < best.Load().Streams {
			best = s
		}
	}
	return route.Choice{Prefill: best, Decode: best}, best != nil
}

// tooLarge reports whether no engine of the pool could ever run the request.
func tooLarge(err error) bool {
	var none *route.NoServerError
	return errors.As(err, &none) && none.Reason == route.ReasonTooLarge
}

func pickError(err error) error {
	var none *route.NoServerError
	if !errors.As(err, &none) {
		return err
	}
	if tooLarge(err) {
		return apierr.Wrap(err, apierr.TooLarge, string(none.Reason), apierr.NotRun())
	}
	return unavailable(err, max(none.RetryAfter, minPickRetry))
}

func unavailable(cause error, retry time.Duration) error {
	const message = "no backend server takes work now"
	if cause == nil {
		return apierr.New(apierr.Unavailable, message, apierr.NotRun(), apierr.RetryAfter(retry))
	}
	return apierr.Wrap(cause, apierr.Unavailable, message, apierr.NotRun(), apierr.RetryAfter(retry))
}

// run publishes views and reads load reports until ctx ends.
func (b *backends) run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() {
		for ctx.Err() == nil {
			now := time.Now()
			for _, tracker := range *b.trackers.Load() {
				tracker.Publish(now)
			}
			b.applyNotices(now)
			sleep(ctx, publishInterval)
		}
	})
	wait.Go(func() {
		for ctx.Err() == nil {
			b.pollAll(ctx)
			sleep(ctx, pollInterval)
		}
	})
	wait.Wait()
}

// Refused implements caller.Router. Calls that come while reports are being
// read wait for those; reports that have just been read are not read again, so
// that refusals under load don't add to it.
func (b *backends) Refused(ctx context.Context) {
	if boottime.Now()-time.Duration(b.renewed.Load()) < renewInterval {
		return
	}
	done := b.renewal.DoChan("reports", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pollInterval)
		defer cancel()
		b.pollAll(ctx)
		b.renewed.Store(int64(boottime.Now()))
		return nil, nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (b *backends) pollAll(ctx context.Context) {
	snapshot := b.node.config.Load()
	if snapshot == nil {
		return
	}
	now := time.Now()
	var wait sync.WaitGroup
	for i := range snapshot.Document.BackendServers {
		server := &snapshot.Document.BackendServers[i]
		if !b.talksTo(server, now) {
			continue
		}
		wait.Go(func() { b.poll(ctx, server) })
	}
	wait.Wait()
}

// talksTo reports whether to poll the server. Engines outside the node's subset
// are not polled, so that the calls of a node don't grow with the fleet; their
// leaving notices come from other nodes. One that has left the subset is polled
// for a while longer, and as long as it is not seen to be well: a server that
// leaves, fails or changes its role is in no subset until it is back.
func (b *backends) talksTo(server *config.BackendServer, now time.Time) bool {
	tracker := (*b.trackers.Load())[server.Pool]
	if tracker == nil || tracker.View().BlockTokens == 0 {
		return false
	}
	known := tracker.View().Server(server.Name)
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.polled[server.Name]
	if known != nil && known.InSubset() {
		if p == nil {
			p = &polledServer{role: config.RoleMixed}
			b.polled[server.Name] = p
		}
		p.member = now
		return true
	}
	return p != nil && (p.leaving || p.failures > 0 || now.Sub(p.member) < pollAfterwards)
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
		p.failures++
		b.mu.Unlock()
		return
	}
	fresh, roleChanged := p.take(report)
	readCache := p.polls%cacheEventPolls == 0
	p.polls++
	b.mu.Unlock()

	if fresh {
		tracker.Observe(server.Name, loadReport(report))
	}
	if readCache {
		b.readCacheEvents(ctx, tracker, server, p)
	}
	if roleChanged {
		b.register()
	}
	b.node.setNotice(reportNotice, server.Name, report.Leaving)
}

// take records a report, and returns whether it is new and whether the role has
// changed. A sequence number that goes back means that the engine has started
// again.
func (p *polledServer) take(report engine.LoadReport) (fresh, roleChanged bool) {
	p.failures = 0
	p.leaving = report.Leaving
	fresh = report.Sequence != p.sequence
	if report.Sequence < p.sequence {
		p.cacheSequence = 0
	}
	p.sequence = report.Sequence
	roleChanged = report.Role != "" && report.Role != p.role
	if roleChanged {
		p.role = report.Role
	}
	return fresh, roleChanged
}

// readCacheEvents updates what is known of the prefixes cached on an engine. A
// gap in the sequence leaves entries that are wrong; they age.
func (b *backends) readCacheEvents(ctx context.Context, tracker *route.Tracker, server *config.BackendServer, p *polledServer) {
	known := tracker.View().Server(server.Name)
	if known == nil || known.Digest() == nil {
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
		known.Digest().Add(now, e.Added...)
		known.Digest().Remove(e.Removed...)
		after = max(after, e.Sequence)
	}
	b.mu.Lock()
	p.cacheSequence = after
	b.mu.Unlock()
}

func loadReport(r engine.LoadReport) route.Report {
	return route.Report{MeasuredAt: r.Received, Load: route.Load{
		Streams: int64(r.Running + r.Queued), PrefillTokens: int64(r.QueuedPrefillTokens),
		KVBlocks: int64(r.KVBlocksTotal - r.KVBlocksFree),
	}}
}
