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

// What one engine delivers within the objectives, until configurations say it.
const (
	planRoleChange = 10 * time.Second
	planStart      = 3 * time.Minute
	planHeadroom   = 0.2
	// planCacheLoss and planPrice are those of the planning experiments.
	planCacheLoss = 8 * time.Second
	planPrice     = 0.4
	// goneAfterPolls is how many load reports in a row may be missing, at one
	// each pollInterval or slower, before a server counts as gone and another is
	// ordered in its place.
	goneAfterPolls = 120
)

// orderers runs the controller of each failure domain.
type orderers struct {
	node   *Node
	demand *demand

	mu          sync.Mutex
	controllers map[string]*orders.Controller
}

func newOrderers(n *Node) *orderers {
	o := &orderers{node: n, demand: newDemand(n), controllers: make(map[string]*orders.Controller)}
	n.metrics.Publish("orders", expvar.Func(o.stats))
	return o
}

// run starts a controller for each failure domain of the configuration until
// ctx ends.
func (o *orderers) run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { o.demand.run(ctx) })
	for ctx.Err() == nil {
		changed := o.node.config.Changed()
		for _, domain := range failureDomains(o.node.config.Load()) {
			if c := o.add(domain); c != nil {
				wait.Go(func() { c.Run(ctx) })
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	wait.Wait()
}

// add returns the controller of a failure domain if it is new.
func (o *orderers) add(domain string) *orders.Controller {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.controllers[domain] != nil {
		return nil
	}
	n := o.node
	name := orders.DutyPrefix + domain
	duty, journal := n.duties.Duty(name, func() bool {
		m, ok := n.duties.chosen(name, domain)
		return ok && m.Name == n.settings.Name
	}, o.fence)
	options := orders.DefaultOptions()
	options.RoleChange = planRoleChange
	c := orders.New(domain, n.duties.process.Incarnation, orders.Dependencies{
		Duty: duty, Journal: journal, Views: o, Engines: n.engines, Platform: n.fleet, Notices: serverNotices{n},
		Clock: authority.SystemClock{}, Log: n.log,
	}, options)
	o.controllers[domain] = c
	return c
}

// fence sends a fencing order to an engine.
func (o *orderers) fence(ctx context.Context, target authority.Target, token uint64) error {
	return orders.Fence(ctx, o.node.engines, o.address(target.Name), o.node.duties.process.Incarnation, token)
}

func (o *orderers) address(name string) string {
	if s := o.server(name); s != nil {
		return s.Address
	}
	return ""
}

// server returns a registered backend server, or nil.
func (o *orderers) server(name string) *config.BackendServer {
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

// NotHolderError tells an operator which node to ask.
type NotHolderError struct {
	Duty string
	// Holder is the node that should hold the duty; empty if none is known.
	Holder string
}

// Error implements error.
func (e *NotHolderError) Error() string {
	return fmt.Sprintf("this node does not hold the duty %s; ask node %q", e.Duty, e.Holder)
}

// Submit implements operator.SubmitFunc for the engines of the failure domains
// whose duty this node holds.
func (o *orderers) Submit(ctx context.Context, order orders.Order) (orders.Result, error) {
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
		holder, _ := o.node.duties.chosen(name, domain)
		return result, &NotHolderError{Duty: name, Holder: holder.Name}
	}
	return result, err
}

// failureDomain returns that of a registered backend server, or "".
func (o *orderers) failureDomain(server string) string {
	if s := o.server(server); s != nil {
		return s.FailureDomain
	}
	return ""
}

func (o *orderers) stats() any {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[string]orders.Stats, len(o.controllers))
	for domain, c := range o.controllers {
		out[domain] = c.Stats()
	}
	return out
}

// Pools implements orders.Views.
func (o *orderers) Pools(time.Time) []orders.Pool {
	snapshot := o.node.config.Load()
	if snapshot == nil {
		return nil
	}
	var out []orders.Pool
	for i := range snapshot.Document.Pools {
		if pool := &snapshot.Document.Pools[i]; pool.Kind == config.KindEngine {
			out = append(out, o.pool(snapshot, pool))
		}
	}
	return out
}

func (o *orderers) pool(snapshot *config.Snapshot, pool *config.Pool) orders.Pool {
	// Without a forecast nothing is planned but floors, and those need rules:
	// roles and servers change by themselves only in pools that have a rule.
	demand := plan.NewDemand()
	if hasRule(snapshot, pool.Name) {
		demand = o.demand.of(pool.Name)
	}
	p := orders.Pool{
		View:    plan.View{Pool: pool.Name, Demand: demand, Rates: rates(snapshot), Rules: snapshot.Document.Rules},
		Engines: make(map[string]orders.Engine),
	}
	tracker := (*o.node.backends.trackers.Load())[pool.Name]
	for _, s := range snapshot.Servers(pool.Name) {
		state, role := o.node.backends.planState(s)
		server := plan.Server{Name: s.Name, FailureDomain: s.FailureDomain, Role: role, Class: s.Class, State: state}
		if tracker != nil {
			if routed := tracker.View().Server(s.Name); routed != nil {
				server.Streams = int(routed.Load().Streams)
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

// planState returns the state and role of an engine by its load reports.
func (b *backends) planState(s *config.BackendServer) (plan.State, config.Role) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.polled[s.Name]
	switch {
	case p == nil:
		return plan.Starting, config.RoleMixed
	case s.Draining, p.leaving, p.failures >= goneAfterPolls, b.node.members.View().ServerLeaving(vmNotice + s.Name):
		return plan.Stopping, p.role
	case p.sequence == 0, p.failures >= failedPolls:
		return plan.Starting, p.role
	}
	return plan.Running, p.role
}

// rates are what an engine of the assumed speed delivers within the objectives.
func rates(snapshot *config.Snapshot) plan.Rates {
	speed := route.DefaultSpeed
	// The largest batch whose decode step is as long as the objective allows.
	step := max(snapshot.Document.Objectives.BetweenTokensSeconds, speed.StepSeconds+speed.StepSecondsPerStream)
	streams := (step - speed.StepSeconds) / speed.StepSecondsPerStream
	return plan.Rates{
		PrefillTokensPerSecond: speed.PrefillTokensPerSecond, DecodeTokensPerSecond: streams / step,
		RoleChange: planRoleChange, CacheLoss: planCacheLoss, Start: planStart, Headroom: planHeadroom, ReclaimablePrice: planPrice,
	}
}

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
