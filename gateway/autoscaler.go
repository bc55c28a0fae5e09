package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sort"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/capacity"
	"github.com/figweir/figweir/core"
	"github.com/figweir/figweir/plan"
	"github.com/figweir/figweir/plan/scaler"
	"github.com/figweir/figweir/platform"
	"github.com/figweir/figweir/store"
)

const (
	// scalingInterval is the time between two rounds of scaling.
	scalingInterval = 500 * time.Millisecond
	// roleOrderTimeout is how long to wait for a role order to take effect before
	// it is repeated.
	roleOrderTimeout = 5 * time.Second
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
	// roleOrderTimes holds the time of the last role order, by engine id.
	roleOrderTimes map[string]time.Time
	demand         scaler.Demand
	// controllers decide on the orders while this node holds the duty, by service.
	controllers map[string]*scaler.Controller
	// speedChecks counts the health checks made by askForSpeeds, by service. It is kept when the
	// duty is lost.
	speedChecks map[string]int
	// speedsStated holds the services of which a server has stated its speed. It is kept when all
	// of their servers are replaced.
	speedsStated map[string]bool
	// ordered is the record of the orders in the store, see orderedKey, and orderedRevision
	// its revision.
	ordered         map[string]int
	orderedRevision store.Revision
}

func newAutoscaler(g *Gateway, cloud *platform.Cloud, backend *platform.Backend) *autoscaler {
	return &autoscaler{
		Gateway: g, cloud: cloud, backend: backend, roleOrderTimes: make(map[string]time.Time),
		controllers: make(map[string]*scaler.Controller), ordered: make(map[string]int),
		speedChecks: make(map[string]int), speedsStated: make(map[string]bool),
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
			// The current time, since a call without an answer may have delayed the tick.
			a.demand.Observe(time.Now(), a.balancer.PromptTokens()+a.peerLoads.nodes.PromptTokens(), a.activeStreams())
			token, held := a.duty.FencingToken()
			if !held {
				a.dutySince = time.Time{}
				clear(a.controllers)
				continue
			}
			if a.dutySince.IsZero() {
				a.dutySince = now
				a.loadOrdered(ctx)
				if a.cell().Count > 1 {
					// Nodes of other cells report their demand to the holder only.
					a.demand = scaler.Demand{}
				}
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
	a.askForSpeeds(ctx, service)
	v := a.scalingView(now, service)
	c := a.controller(now, service, v)
	if service.Engine != nil {
		a.changeRoles(ctx, now, token, c, v)
	}
	if service.Scaling == nil {
		return
	}
	a.orderServers(ctx, token, service, c, v)
}

// maxSpeedChecks is how many servers of a service are asked for their speeds before any request.
const maxSpeedChecks = 3

// askForSpeeds makes a health check of a server, unless one of the service has stated its speed or
// maxSpeedChecks were made. Before there is traffic nothing else shows whether servers state their
// speeds, which decides how the service is scaled.
func (a *autoscaler) askForSpeeds(ctx context.Context, service *core.Service) {
	if service.Scaling == nil || service.HealthPath == "" || a.speedChecks[service.Name] >= maxSpeedChecks || a.speedsKnown(service.Name) {
		return
	}
	servers := a.registry.View().Servers(service.Name)
	if len(servers) == 0 {
		return
	}
	a.backend.RequestLoad(ctx, servers[a.speedChecks[service.Name]%len(servers)], service.HealthPath)
	a.speedChecks[service.Name]++
}

// speedsKnown reports whether a server of a service has stated its speed.
func (a *autoscaler) speedsKnown(service string) bool {
	if !a.speedsStated[service] {
		a.speedsStated[service] = slices.ContainsFunc(a.registry.View().Servers(service), (*backends.Server).StatesSpeed)
	}
	return a.speedsStated[service]
}

// controller returns the controller of a service. The first one after this node acquired
// the duty continues the orders of the previous holder.
func (a *autoscaler) controller(now time.Time, service *core.Service, v *plan.ScalingView) *scaler.Controller {
	c := a.controllers[service.Name]
	if c == nil {
		restored := make(map[scaler.Key]int)
		for _, d := range v.FailureDomains {
			for _, reclaimable := range []bool{false, true} {
				k := scaler.Key{FailureDomain: d, Reclaimable: reclaimable}
				if n, ok := a.ordered[recordName(service.Name, k)]; ok {
					restored[k] = n
				}
			}
		}
		c = scaler.NewController(now, a.ordered[service.Name], restored)
		a.controllers[service.Name] = c
	}
	return c
}

// orderedKey is the store key of the orders. The next holder of the duty reads it so
// that it does not release engines that still start.
const orderedKey = "figweir/staff"

// recordName returns the name of a count in the record of the orders. The total of a
// service has the name of the service.
func recordName(service string, k scaler.Key) string {
	class := "standard"
	if k.Reclaimable {
		class = "reclaimable"
	}
	return service + "\x00" + k.FailureDomain + "\x00" + class
}

// loadOrdered reads the orders of the previous holder.
func (a *autoscaler) loadOrdered(ctx context.Context) {
	clear(a.ordered)
	entry, err := a.store.Get(ctx, orderedKey)
	if err == nil {
		err = json.Unmarshal(entry.Value, &a.ordered)
	}
	a.orderedRevision = entry.Revision
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		a.log.Info("cannot read the orders of the previous holder, using the registered engines", "cause", err.Error())
	}
}

// orderedRecordRevision returns the revision of the record of the orders; 0 if there is
// none or it can't be read.
func (a *autoscaler) orderedRecordRevision(ctx context.Context) store.Revision {
	entry, err := a.store.Get(ctx, orderedKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		a.log.Info("cannot read the record of the orders", "cause", err.Error())
	}
	return entry.Revision
}

// storeOrdered stores the engines decided on for a service and the counts ordered, if they
// have changed.
func (a *autoscaler) storeOrdered(ctx context.Context, service string, total int, ordered map[scaler.Key]int) {
	changed := a.ordered[service] != total
	a.ordered[service] = total
	for k, n := range ordered {
		name := recordName(service, k)
		changed = changed || a.ordered[name] != n
		a.ordered[name] = n
	}
	if !changed {
		return
	}
	raw, err := json.Marshal(a.ordered)
	if err == nil {
		a.orderedRevision, err = a.store.Put(ctx, orderedKey, raw, a.orderedRevision, store.NoLease)
	}
	if errors.Is(err, store.ErrConflict) {
		// The store was restored, or an earlier write whose response was lost took effect. The
		// next change replaces that record.
		a.orderedRevision = a.orderedRecordRevision(ctx)
	}
	if err != nil {
		a.log.Info("cannot store the orders", "cause", err.Error())
	}
}

// scalingView collects the engines, the demand and the limits of a service for plan.
func (a *autoscaler) scalingView(now time.Time, service *core.Service) *plan.ScalingView {
	v := &plan.ScalingView{
		Engines:       a.engines(now, service.Name),
		DemandSettled: a.demand.Settled(now),
		SpeedsKnown:   a.speedsKnown(service.Name),
	}
	if service.Engine != nil {
		v.PromptTokensPerSecond, v.Streams = a.demand.PromptTokens().Peak, a.demand.Streams().Peak
		v.PrefillTokensPerSecond = a.balancer.PrefillTokensPerSecond()
		v.Slots = service.Engine.Slots
	}
	if service.Engine != nil && v.SpeedsKnown {
		v.Needs.PromptTokens = a.balancer.PromptTokensPerPrompt()
		v.Needs.TargetLatency, v.Needs.TargetPause = a.table.Load().ShortestTargets(service.Name)
		if slots := float64(v.DecodingEngines() * v.Slots); slots > 0 {
			v.Needs.EventPause = a.observer.eventPause.value()
			v.Needs.DecodeOccupancy = a.demand.Streams().Mean / slots
		}
	}
	if service.Scaling != nil {
		v.MinPerDomain, v.MaxPerDomain = service.Scaling.MinServers, service.Scaling.MaxServers
		v.ReclaimablePrice, v.Prices = service.Scaling.ReclaimablePrice, service.Scaling.Prices
		v.StartupTime = service.Scaling.StartupTime
		for d := range service.Scaling.Prices {
			v.FailureDomains = append(v.FailureDomains, d)
		}
		sort.Strings(v.FailureDomains)
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

// engines returns the engines of a service with their requests over all nodes and their speeds.
func (a *autoscaler) engines(now time.Time, service string) []plan.Engine {
	var list []plan.Engine
	for _, b := range a.registry.View().Servers(service) {
		requests, _ := b.OwnLoad()
		others, _ := a.peerLoads.Load(b.Hash)
		list = append(list, plan.Engine{
			ID: b.ID, FailureDomain: b.FailureDomain, Prefill: b.Role == backends.RolePrefill,
			Reclaimable: b.Reclaimable, Requests: int(requests + others), Speed: relativeSpeed(b.Capacity(now)),
		})
	}
	return list
}

// relativeSpeed returns the speed of a server that states its slowdown; 0 if it states none.
func relativeSpeed(e capacity.Estimate) float64 {
	if !e.StatesSpeed || e.Slowdown <= 0 {
		return 0
	}
	return 1 / e.Slowdown
}

// errorText returns the text of an error for the log; empty if there is none.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// changeRoles orders role changes and waits for the calls. Engines with a recent role
// order count towards the limit.
func (a *autoscaler) changeRoles(ctx context.Context, now time.Time, token uint64, c *scaler.Controller, v *plan.ScalingView) {
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
	for _, c := range c.RoleChanges(now, v, limit-changing) {
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
