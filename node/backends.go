package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/caller"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/metrics"
)

const (
	// pollInterval is how often load reports are read.
	pollInterval = 500 * time.Millisecond
	pickRetry    = time.Second
)

// backends tracks the backend servers of the configuration and chooses among
// them by the least outstanding requests of this node.
type backends struct {
	engines *engine.Client
	config  *config.Holder
	metrics *metrics.Set
	domain  string
	servers sync.Map
}

type backendServer struct {
	outstanding atomic.Int64
	leaving     atomic.Bool
	unreachable atomic.Bool
}

func newBackends(engines *engine.Client, holder *config.Holder, set *metrics.Set, domain string) *backends {
	return &backends{engines: engines, config: holder, metrics: set, domain: domain}
}

func (b *backends) server(name string) *backendServer {
	v, ok := b.servers.Load(name)
	if !ok {
		v, _ = b.servers.LoadOrStore(name, &backendServer{})
	}
	return v.(*backendServer)
}

// Pick implements caller.Router.
func (b *backends) Pick(pool *config.Pool, w caller.Work) (caller.Target, error) {
	var best *config.BackendServer
	var state *backendServer
	for _, server := range b.config.Load().Servers(pool.Name) {
		s := b.server(server.Name)
		if server.Draining || s.leaving.Load() || s.unreachable.Load() || slices.Contains(w.Exclude, server.Name) {
			continue
		}
		if best == nil || s.outstanding.Load() < state.outstanding.Load() {
			best, state = server, s
		}
	}
	if best == nil {
		return caller.Target{}, apierr.New(apierr.Unavailable, "no backend server takes work now", apierr.NotRun(), apierr.RetryAfter(pickRetry))
	}
	state.outstanding.Add(1)
	return caller.Target{
		Name: best.Name, Address: best.Address, FailureDomain: best.FailureDomain,
		Release: func() { state.outstanding.Add(-1) }, Generated: func(int) {},
	}, nil
}

// poll reads the load reports of all engines until ctx ends.
func (b *backends) poll(ctx context.Context) {
	for ctx.Err() == nil {
		if snapshot := b.config.Load(); snapshot != nil {
			b.pollOnce(ctx, snapshot)
		}
		sleep(ctx, pollInterval)
	}
}

func (b *backends) pollOnce(ctx context.Context, snapshot *config.Snapshot) {
	var wait sync.WaitGroup
	for i := range snapshot.Document.BackendServers {
		server := &snapshot.Document.BackendServers[i]
		pool := snapshot.Pool(server.Pool)
		if pool == nil || pool.Kind != config.KindEngine {
			continue
		}
		wait.Go(func() {
			report, err := b.engines.Load(ctx, server.Address)
			state := b.server(server.Name)
			state.unreachable.Store(err != nil)
			if err == nil {
				state.leaving.Store(report.Leaving)
			}
		})
	}
	wait.Wait()
}
