package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/core"
	"github.com/figweir/figweir/plan"
	"github.com/figweir/figweir/platform"
	"github.com/figweir/figweir/store"
)

const (
	// scalingInterval is the time between two rounds of scaling.
	scalingInterval = 500 * time.Millisecond
	// roleOrderTimeout is how long to wait for a role order to take effect before
	// it is repeated.
	roleOrderTimeout = 5 * time.Second
	// reclaimableRetryDelay is how long no reclaimable servers are ordered in a
	// failure domain after an order was refused there.
	reclaimableRetryDelay = 8 * time.Second
	// maxRoleChangeFraction is the maximum fraction of the engines that change roles
	// at the same time, since they serve nothing meanwhile. If all engines are idle,
	// all may change.
	maxRoleChangeFraction = 0.15
	// maxConcurrentRoleOrders is the number of role orders sent concurrently.
	maxConcurrentRoleOrders = 8
	// registrationSettleTime is how long after its start a node must have read no
	// additional backend servers before it sends orders. An order states a total,
	// computed from the servers read so far, so servers that register later would
	// be released.
	registrationSettleTime = 2 * time.Second
)

// autoscaler orders backend servers and changes the roles of engines while this node
// holds the duty.
type autoscaler struct {
	*Gateway
	cloud   *platform.Cloud
	backend *platform.Backend
	// dutySince is when this node acquired the duty; zero while it does not hold it.
	dutySince time.Time
	// lastGrowth is when maxKnownServers last grew; maxKnownServers is the largest
	// number of backend servers read so far.
	lastGrowth           time.Time
	maxKnownServers      int
	registrationsSettled bool
	// lastOrders holds the last order per service, failure domain and class. The
	// count in the keys is zero.
	lastOrders *plan.OrderTracker[platform.ServerOrder]
	// roleOrderTimes holds the time of the last role order, by engine id.
	roleOrderTimes map[string]time.Time
	// unavailableUntil is, by failure domain, the time until which reclaimable
	// servers are assumed to be unavailable.
	unavailableUntil map[string]time.Time
	demand           demand
	// minEngines is the minimum number of engines of each service: the number when
	// this node acquired the duty, raised as demand grows. Fewer are not ordered,
	// since the demand observed so far may be low by chance.
	minEngines map[string]int
	// minEnginesRevision is the store revision of the record of minEngines.
	minEnginesRevision store.Revision
}

func newAutoscaler(g *Gateway, cloud *platform.Cloud, backend *platform.Backend) *autoscaler {
	return &autoscaler{
		Gateway: g, cloud: cloud, backend: backend, lastOrders: plan.NewOrderTracker[platform.ServerOrder](),
		roleOrderTimes: make(map[string]time.Time), unavailableUntil: make(map[string]time.Time), minEngines: make(map[string]int),
	}
}

// run samples the demand and, while this node holds the duty, scales all services, until
// ctx ends.
func (a *autoscaler) run(ctx context.Context) {
	ticker := time.NewTicker(scalingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			a.updateSettled(now)
			a.demand.observe(a.balancer.PromptTokens()+a.peerLoads.nodes.PromptTokens(), a.activeStreams())
			token, held := a.duty.FencingToken()
			if !held {
				a.dutySince = time.Time{}
				a.lastOrders.Reset()
				clear(a.minEngines)
				continue
			}
			if a.dutySince.IsZero() {
				a.dutySince = now
				a.loadMinEngines(ctx)
			}
			table := a.table.Load()
			if table == nil || !a.registrationsSettled {
				continue
			}
			for _, service := range table.Services {
				a.scaleService(ctx, now, token, service)
			}
		}
	}
}

// updateSettled sets registrationsSettled once the registrations read after the start
// are probably complete.
func (a *autoscaler) updateSettled(now time.Time) {
	known := len(a.registry.View().All())
	if known > a.maxKnownServers || a.lastGrowth.IsZero() {
		a.maxKnownServers, a.lastGrowth = known, now
	}
	a.registrationsSettled = a.registrationsSettled || known > 0 && now.Sub(a.lastGrowth) >= registrationSettleTime
}

// scaleService changes the roles of engines and orders servers of one service, as far as
// the configuration of the service permits.
func (a *autoscaler) scaleService(ctx context.Context, now time.Time, token uint64, service *core.Service) {
	if service.Engine == nil && service.Scaling == nil {
		return
	}
	v := a.scalingView(now, service)
	if service.Engine != nil {
		a.changeRoles(ctx, now, token, v)
	}
	if service.Scaling == nil {
		return
	}
	// Releasing a server and ordering it again costs its start time and its cache,
	// so the number of servers follows the peak of the demand, not its current value.
	if v.PromptTokensPerSecond > 0 || a.lastOrders.Empty() {
		a.raiseMinEngines(ctx, service.Name, v.EnginesPerDomain()*len(v.FailureDomains))
		v.MinEngines = a.minEngines[service.Name]
	}
	a.orderServers(ctx, now, token, service, v)
}

// setUnavailable marks the failure domains in v that are assumed to have no reclaimable
// servers.
func (a *autoscaler) setUnavailable(now time.Time, v *plan.ScalingView) {
	for _, d := range v.FailureDomains {
		v.Unavailable[d] = now.Before(a.unavailableUntil[d])
	}
}

// minEnginesKey is the store key of minEngines. The next holder of the duty reads it so
// that it does not order fewer engines while some still start.
const minEnginesKey = "figweir/staff"

// loadMinEngines reads the minEngines record of the previous holder.
func (a *autoscaler) loadMinEngines(ctx context.Context) {
	entry, err := a.store.Get(ctx, minEnginesKey)
	if err == nil {
		err = json.Unmarshal(entry.Value, &a.minEngines)
	}
	a.minEnginesRevision = entry.Revision
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		a.log.Info("cannot read minimum engine counts, using the registered engines", "cause", err.Error())
	}
}

// minEnginesRecordRevision returns the revision of the minEngines record; 0 if there is none or it
// can't be read.
func (a *autoscaler) minEnginesRecordRevision(ctx context.Context) store.Revision {
	entry, err := a.store.Get(ctx, minEnginesKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		a.log.Info("cannot read minimum engine counts", "cause", err.Error())
	}
	return entry.Revision
}

// raiseMinEngines raises the minimum number of engines of a service to n and stores it.
func (a *autoscaler) raiseMinEngines(ctx context.Context, service string, n int) {
	if n <= a.minEngines[service] {
		return
	}
	a.minEngines[service] = n
	raw, err := json.Marshal(a.minEngines)
	if err == nil {
		a.minEnginesRevision, err = a.store.Put(ctx, minEnginesKey, raw, a.minEnginesRevision, store.NoLease)
	}
	if errors.Is(err, store.ErrConflict) {
		// The store was restored, or an earlier write whose response was lost took effect. The
		// next raise replaces that record.
		a.minEnginesRevision = a.minEnginesRecordRevision(ctx)
	}
	if err != nil {
		a.log.Info("cannot store minimum engine counts", "cause", err.Error())
	}
}

// scalingView collects the engines, the demand and the limits of a service for plan.
func (a *autoscaler) scalingView(now time.Time, service *core.Service) *plan.ScalingView {
	engines := a.engines(service.Name)
	if a.minEngines[service.Name] == 0 {
		a.minEngines[service.Name] = len(engines)
	}
	v := &plan.ScalingView{
		Engines: engines, MinEngines: a.minEngines[service.Name], Unavailable: make(map[string]bool),
		PromptTokensPerSecond: a.demand.tokens.peak, Streams: a.demand.streams.peak,
		DemandSettled:          !a.demand.firstSeen.IsZero() && now.Sub(a.demand.firstSeen) > demandWarmup,
		PrefillTokensPerSecond: a.balancer.PrefillTokensPerSecond(),
	}
	if service.Engine != nil {
		v.Slots = service.Engine.Slots
	}
	if service.Scaling != nil {
		v.MinPerDomain, v.MaxPerDomain = service.Scaling.MinServers, service.Scaling.MaxServers
		v.ReclaimablePrice = service.Scaling.ReclaimablePrice
		for d := range service.Scaling.Prices {
			v.FailureDomains = append(v.FailureDomains, d)
		}
		sort.Strings(v.FailureDomains)
		a.setUnavailable(now, v)
	}
	return v
}

// activeStreams returns the number of requests at decode engines, over all nodes.
func (a *autoscaler) activeStreams() int {
	n := 0
	for _, b := range a.registry.View().All() {
		if b.Role != backends.RoleDecode {
			continue
		}
		own, _ := b.OwnLoad()
		others, _ := a.peerLoads.Load(b.Hash)
		n += int(own + others)
	}
	return n
}

// engines returns the engines of a service with their requests over all nodes.
func (a *autoscaler) engines(service string) []plan.Engine {
	var list []plan.Engine
	for _, b := range a.registry.View().Servers(service) {
		requests, _ := b.OwnLoad()
		others, _ := a.peerLoads.Load(b.Hash)
		list = append(list, plan.Engine{
			ID: b.ID, FailureDomain: b.FailureDomain, Prefill: b.Role == backends.RolePrefill,
			Reclaimable: b.Reclaimable, Requests: int(requests + others),
		})
	}
	return list
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// changeRoles orders role changes and waits for the calls. Engines with a recent role
// order count towards the limit.
func (a *autoscaler) changeRoles(ctx context.Context, now time.Time, token uint64, v *plan.ScalingView) {
	changing := 0
	for id, at := range a.roleOrderTimes {
		if now.Sub(at) < roleOrderTimeout {
			changing++
		} else {
			delete(a.roleOrderTimes, id)
		}
	}
	view := a.registry.View().All()
	limit := max(1, int(maxRoleChangeFraction*float64(len(v.Engines))))
	if allIdle(v.Engines) {
		limit = len(v.Engines)
	}
	// The calls are concurrent: an unresponsive engine must not delay the other orders.
	var group errgroup.Group
	group.SetLimit(maxConcurrentRoleOrders)
	for _, c := range v.RoleChanges(limit - changing) {
		if _, ordered := a.roleOrderTimes[c.ID]; ordered {
			continue
		}
		a.roleOrderTimes[c.ID] = now
		group.Go(func() error {
			a.changeRole(ctx, token, view[c.ID], c.Prefill, v)
			return nil
		})
	}
	_ = group.Wait() // the calls log their errors
}

// changeRole sends one engine an order to change its role. Errors are only logged.
func (a *autoscaler) changeRole(ctx context.Context, token uint64, server *backends.Server, prefill bool, v *plan.ScalingView) {
	role := backends.RoleDecode
	if prefill {
		role = backends.RolePrefill
	}
	err := a.backend.ChangeRole(ctx, server, role, a.settings.Name, token)
	if err == nil {
		until := time.Now().Add(roleOrderTimeout)
		server.SetRoleChange(role, until)
		a.roleChanges.add(server.Hash, prefill, until)
		a.sharer.NotifyChange()
	}
	a.log.Info("role ordered", "backend_server", server.ID, "prefill", prefill, "streams", int(v.Streams), "decode_engines", v.DecodeEngines(), "fencing_token", token, "error", errorText(err))
}

// allIdle reports whether no engine has a request.
func allIdle(engines []plan.Engine) bool {
	for _, e := range engines {
		if e.Requests > 0 {
			return false
		}
	}
	return true
}
