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
	"github.com/figweir/figweir/caller"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/route"
	"github.com/figweir/figweir/settings"
)

const (
	// publishInterval is the time between two updates of the views of the pools.
	publishInterval = 100 * time.Millisecond
	// minPickRetryAfter is the minimum Retry-After value when no server can be
	// picked.
	minPickRetryAfter = time.Second
)

// backends tracks the load of the backend servers of the configuration and picks
// servers for requests.
type backends struct {
	node          *Node
	routingPolicy route.Policy
	// trackers maps the name of a pool to its tracker. The map is immutable; a new
	// one replaces it when the configuration changes.
	trackers atomic.Pointer[map[string]*route.Tracker]

	// refresh merges concurrent refreshes of the load reports. lastRefresh is the
	// boot time at which the last one ended, in nanoseconds.
	refresh     singleflight.Group
	lastRefresh atomic.Int64

	mu sync.Mutex
	// polled is the state of each polled server by name.
	polled map[string]*polledServer
}

func newBackends(n *Node) *backends {
	b := &backends{node: n, routingPolicy: newPolicy(n), polled: make(map[string]*polledServer)}
	b.trackers.Store(&map[string]*route.Tracker{})
	return b
}

// newPolicy returns the routing policy of the settings.
func newPolicy(n *Node) route.Policy {
	switch n.settings.Routing.Policy {
	case settings.PolicyRoundRobin:
		return &route.RoundRobin{}
	case settings.PolicyLeastOutstanding:
		return &route.LeastOutstanding{}
	case settings.PolicyPrefixAffinity:
		return &route.PrefixAffinity{}
	}
	// Different seeds prevent nodes from choosing the same servers at the same time.
	h := fnv.New64a()
	_, _ = h.Write([]byte(n.process))
	return route.NewCost(h.Sum64(), route.DefaultWeights)
}

// applyConfig registers the backend servers of the configuration in force.
func (b *backends) applyConfig() {
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
	b.dropUnregistered(snapshot)
}

// dropUnregistered deletes the state of servers that are no longer registered.
// The caller must hold mu.
func (b *backends) dropUnregistered(snapshot *config.Snapshot) {
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

// registrations returns the registrations of the servers of a pool. The caller
// must hold mu.
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
			RoundTripTime: b.roundTripTime(s.FailureDomain), Draining: s.Draining, KVBlocks: pool.KVBlocks,
		}
	}
	return out
}

// remoteRoundTripTime is the assumed round-trip time between two failure domains.
// Current deployments have about a millisecond.
const remoteRoundTripTime = time.Millisecond

// roundTripTime returns the round-trip time from this node to a failure domain.
func (b *backends) roundTripTime(failureDomain string) time.Duration {
	if failureDomain == b.node.settings.FailureDomain {
		return 0
	}
	return remoteRoundTripTime
}

// countUsable returns the number of servers of a pool that accept work.
func (b *backends) countUsable(pool string) int {
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
func (b *backends) Pick(pool *config.Pool, info caller.RequestInfo) (caller.Target, error) {
	tracker := (*b.trackers.Load())[pool.Name]
	if tracker == nil {
		return caller.Target{}, unavailable(nil, minPickRetryAfter)
	}
	request := route.Request{
		PromptTokens: info.PromptTokens, OutputTokens: info.MaxOutputTokens,
		Prefix: info.PrefixBlocks, Exclude: info.Exclude, Now: time.Now(),
	}
	view := tracker.View()
	choice, err := b.routingPolicy.Pick(view, &request)
	if err != nil {
		decodeOnly, ok := pickDecodeOnly(view, &request)
		if !ok || isTooLarge(err) {
			return caller.Target{}, pickError(err)
		}
		choice = decodeOnly
	}
	inFlight := choice.Begin(&request, pool.KVBlockTokens)
	if cachedBlocks := choice.Prefill.CachedBlocks(); cachedBlocks != nil {
		cachedBlocks.Add(request.Now, info.PrefixBlocks...)
	}
	server := choice.Decode
	target := caller.Target{
		Name: server.Name, Address: server.Address, FailureDomain: server.FailureDomain,
		Release:        inFlight.End,
		TokensReceived: func(int) { inFlight.Token() },
	}
	if choice.Pair() {
		target.PrefillAddress = choice.Prefill.Address
	}
	return target, nil
}

// pickDecodeOnly picks the decode engine with the fewest streams to process the
// prompt as well. It is used while no prefill engine is known, for example until
// a load report shows a role change.
func pickDecodeOnly(view *route.View, r *route.Request) (route.Choice, bool) {
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

// isTooLarge reports whether the request is too large for any engine of the pool.
func isTooLarge(err error) bool {
	var none *route.NoServerError
	return errors.As(err, &none) && none.Reason == route.ReasonTooLarge
}

// pickError converts an error of the routing policy to an error for the caller.
func pickError(err error) error {
	var none *route.NoServerError
	if !errors.As(err, &none) {
		return err
	}
	if isTooLarge(err) {
		return apierr.Wrap(err, apierr.TooLarge, string(none.Reason), apierr.NotRun())
	}
	return unavailable(err, max(none.RetryAfter, minPickRetryAfter))
}

// unavailable returns an error for the caller: no server, not run, retry later.
func unavailable(cause error, retry time.Duration) error {
	const message = "no backend server takes work now"
	if cause == nil {
		return apierr.New(apierr.Unavailable, message, apierr.NotRun(), apierr.RetryAfter(retry))
	}
	return apierr.Wrap(cause, apierr.Unavailable, message, apierr.NotRun(), apierr.RetryAfter(retry))
}

// run publishes views and reads load reports until ctx is canceled.
func (b *backends) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			now := time.Now()
			for _, tracker := range *b.trackers.Load() {
				tracker.Publish(now)
			}
			b.applyNotices(now)
			sleep(ctx, publishInterval)
		}
	})
	wg.Go(func() {
		for ctx.Err() == nil {
			b.pollAll(ctx)
			sleep(ctx, pollInterval)
		}
	})
	wg.Wait()
}
