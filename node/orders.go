package node

import (
	"cmp"
	"context"
	"errors"
	"expvar"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/figweir/figweir/authority"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/orders"
	"github.com/figweir/figweir/plan"
	"github.com/figweir/figweir/route"
)

// Parameters of scaling plans that configurations do not contain yet.
const (
	planRoleChangeTime = 10 * time.Second
	planStartupTime    = 3 * time.Minute
	planHeadroom       = 0.2
	// planCacheRefillTime and planReclaimablePrice are the values of the planning
	// experiments.
	planCacheRefillTime  = 8 * time.Second
	planReclaimablePrice = 0.4
	// pollsUntilGone is the number of consecutive load reports that must be missing,
	// at one per pollInterval or slower, before a server counts as gone and a
	// replacement is ordered.
	pollsUntilGone = 120
)

// orderControllers runs the controller of each failure domain.
type orderControllers struct {
	node   *Node
	demand *demandTracker

	mu          sync.Mutex
	controllers map[string]*orders.Controller
}

func newOrderControllers(n *Node) *orderControllers {
	o := &orderControllers{node: n, demand: newDemandTracker(n), controllers: make(map[string]*orders.Controller)}
	n.metrics.Publish("orders", expvar.Func(o.stats))
	return o
}

// run runs a controller for each failure domain of the configuration until ctx
// is canceled.
func (o *orderControllers) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { o.demand.run(ctx) })
	for ctx.Err() == nil {
		changed := o.node.config.Changed()
		for _, domain := range failureDomains(o.node.config.Load()) {
			if c := o.addController(domain); c != nil {
				wg.Go(func() { c.Run(ctx) })
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

// addController creates the controller of a failure domain. It returns nil if
// the controller exists already.
func (o *orderControllers) addController(domain string) *orders.Controller {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.controllers[domain] != nil {
		return nil
	}
	n := o.node
	name := orders.DutyPrefix + domain
	duty, journal := n.duties.Duty(name, func() bool {
		m, ok := n.duties.preferredHolder(name, domain)
		return ok && m.Name == n.settings.Name
	}, o.fence)
	options := orders.DefaultOptions()
	options.RoleChangeTime = planRoleChangeTime
	c := orders.New(domain, n.duties.process.Incarnation, orders.Dependencies{
		Duty: duty, Journal: journal, PoolSource: o, Engines: n.engines, Platform: n.fleet, Notices: serverNotices{n},
		Clock: authority.SystemClock{}, Log: n.log,
	}, options)
	o.controllers[domain] = c
	return c
}

// fence sends a fencing token to an engine.
func (o *orderControllers) fence(ctx context.Context, target authority.Target, token uint64) error {
	return orders.Fence(ctx, o.node.engines, o.address(target.Name), o.node.duties.process.Incarnation, token)
}

// address returns the address of a registered backend server, or "".
func (o *orderControllers) address(name string) string {
	if s := o.backendServer(name); s != nil {
		return s.Address
	}
	return ""
}

// backendServer returns a registered backend server, or nil.
func (o *orderControllers) backendServer(name string) *config.BackendServer {
	snapshot := o.node.config.Load()
	if snapshot == nil {
		return nil
	}
	for i := range snapshot.Document.BackendServers {
		if s := &snapshot.Document.BackendServers[i]; s.Name == name {
			return s
		}
	}
	return nil
}

// NotHolderError is returned for an order to a node that does not hold the duty.
// It names the node to which the operator should send the order.
type NotHolderError struct {
	Duty string
	// Holder is the name of the preferred holder, or "" if none is known.
	Holder string
}

// Error implements error.
func (e *NotHolderError) Error() string {
	return fmt.Sprintf("this node does not hold the duty %s; ask node %q", e.Duty, e.Holder)
}

// Submit implements operator.SubmitFunc. It accepts orders for engines in the
// failure domains whose duty this node holds. Otherwise it returns a
// *NotHolderError, or orders.ErrUnknownServer if no controller is responsible for
// the server.
func (o *orderControllers) Submit(ctx context.Context, order orders.Order) (orders.Result, error) {
	domain := o.failureDomain(order.Server)
	o.mu.Lock()
	c := o.controllers[domain]
	o.mu.Unlock()
	if c == nil {
		return orders.Result{}, orders.ErrUnknownServer
	}
	result, err := c.Submit(ctx, order)
	if errors.Is(err, orders.ErrNotHolder) {
		name := orders.DutyPrefix + domain
		holder, _ := o.node.duties.preferredHolder(name, domain)
		return result, &NotHolderError{Duty: name, Holder: holder.Name}
	}
	return result, err
}

// failureDomain returns the failure domain of a registered backend server, or "".
func (o *orderControllers) failureDomain(server string) string {
	if s := o.backendServer(server); s != nil {
		return s.FailureDomain
	}
	return ""
}

// stats returns the statistics of all controllers by failure domain.
func (o *orderControllers) stats() any {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[string]orders.Stats, len(o.controllers))
	for domain, c := range o.controllers {
		out[domain] = c.Stats()
	}
	return out
}

// Pools implements orders.PoolSource.
func (o *orderControllers) Pools(time.Time) []orders.Pool {
	snapshot := o.node.config.Load()
	if snapshot == nil {
		return nil
	}
	var out []orders.Pool
	for i := range snapshot.Document.Pools {
		if pool := &snapshot.Document.Pools[i]; pool.Kind == config.KindEngine {
			out = append(out, o.planPool(snapshot, pool))
		}
	}
	return out
}

// planPool builds the input of the controllers for one pool of engines.
func (o *orderControllers) planPool(snapshot *config.Snapshot, pool *config.Pool) orders.Pool {
	// Without a forecast only the minimums set by rules are planned, so roles and
	// the number of servers change automatically only in pools that have a rule.
	demand := plan.NewDemand()
	if hasRule(snapshot, pool.Name) {
		demand = o.demand.forecast(pool.Name)
	}
	p := orders.Pool{
		View:    plan.View{Pool: pool.Name, Demand: demand, Rates: planRates(snapshot), Rules: snapshot.Document.Rules},
		Engines: make(map[string]orders.Engine),
	}
	tracker := (*o.node.backends.trackers.Load())[pool.Name]
	for _, s := range snapshot.Servers(pool.Name) {
		state, role := o.node.backends.planState(s)
		server := plan.Server{Name: s.Name, FailureDomain: s.FailureDomain, Role: role, Class: s.Class, State: state}
		if tracker != nil {
			if tracked := tracker.View().Server(s.Name); tracked != nil {
				server.Streams = int(tracked.Load().Streams)
			}
		}
		p.View.Servers = append(p.View.Servers, server)
		p.Engines[s.Name] = orders.Engine{Address: s.Address, ChecksTokens: s.ChecksFencing}
	}
	return p
}

func hasRule(snapshot *config.Snapshot, pool string) bool {
	return slices.ContainsFunc(snapshot.Document.Rules, func(r config.Rule) bool { return r.Pool == pool })
}

// planState derives the state and the role of an engine from its load reports
// and leaving notices.
func (b *backends) planState(s *config.BackendServer) (plan.State, config.Role) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.polled[s.Name]
	switch {
	case p == nil:
		return plan.Starting, config.RoleMixed
	case s.Draining, p.leaving, p.consecutiveFailures >= pollsUntilGone, b.node.members.View().ServerLeaving(vmNotice + s.Name):
		return plan.Stopping, p.role
	case p.sequence == 0, p.consecutiveFailures >= pollsUntilUnusable:
		return plan.Starting, p.role
	}
	return plan.Running, p.role
}

// planRates returns the throughput of an engine of the default speed within the
// objectives.
func planRates(snapshot *config.Snapshot) plan.Rates {
	speed := route.DefaultSpeed
	// streams is the largest batch whose decode step is as long as the objective
	// allows.
	step := max(snapshot.Document.Objectives.BetweenTokensSeconds, speed.StepSeconds+speed.StepSecondsPerStream)
	streams := (step - speed.StepSeconds) / speed.StepSecondsPerStream
	return plan.Rates{
		PrefillTokensPerSecond: speed.PrefillTokensPerSecond, DecodeTokensPerSecond: streams / step,
		RoleChangeTime: planRoleChangeTime, CacheRefillTime: planCacheRefillTime, StartupTime: planStartupTime, Headroom: planHeadroom, ReclaimablePrice: planReclaimablePrice,
	}
}

// failureDomains returns the sorted failure domains of the registered backend
// servers.
func failureDomains(snapshot *config.Snapshot) []string {
	if snapshot == nil {
		return nil
	}
	var out []string
	for i := range snapshot.Document.BackendServers {
		out = append(out, snapshot.Document.BackendServers[i].FailureDomain)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func sortBy[T any](list []T, key func(T) string) {
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
}
