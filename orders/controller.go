package orders

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/figweir/figweir/authority"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/fleet"
	"github.com/figweir/figweir/plan"
)

// Dependencies are what a controller works with.
type Dependencies struct {
	Duty     Duty
	Journal  Journal
	Views    Views
	Engines  Engines
	Platform fleet.Orderer
	Notices  Notices
	Clock    authority.Clock
	Log      logr.Logger
}

// Controller carries out the orders of one failure domain.
type Controller struct {
	domain         string
	sender         string
	duty           Duty
	journal        Journal
	views          Views
	engines        Engines
	platform       fleet.Orderer
	platformTarget authority.Target
	notices        Notices
	clock          authority.Clock
	options        Options
	loads          *rate.Limiter
	log            logr.Logger
	stats          counters

	mu      sync.Mutex
	current *tenure
	// former are ended terms whose tasks may still run.
	former []*tenure
}

// New returns a controller for a failure domain. sender is the incarnation of
// the process.
func New(failureDomain, sender string, d Dependencies, options Options) *Controller {
	return &Controller{
		domain: failureDomain, sender: sender, duty: d.Duty, journal: d.Journal, views: d.Views, engines: d.Engines,
		platform: d.Platform, platformTarget: PlatformTarget(failureDomain), notices: d.Notices, clock: d.Clock,
		options: options, loads: rate.NewLimiter(rate.Limit(options.LoadsPerSecond), options.LoadBurst), log: d.Log,
	}
}

// Run makes rounds until ctx ends, and returns when all tasks have ended.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.round(ctx)
		_ = c.clock.Sleep(ctx, c.options.Interval)
	}
	c.mu.Lock()
	all := c.former
	if c.current != nil {
		c.current.cancel()
		all = append(all, c.current)
	}
	c.current, c.former = nil, nil
	c.mu.Unlock()
	for _, t := range all {
		t.wait.Wait()
	}
}

// round takes servers over, withdraws notices that nothing explains, and starts
// what the plan says.
func (c *Controller) round(ctx context.Context) {
	t := c.enter(ctx)
	if t == nil {
		return
	}
	now := c.clock.Now()
	pools := c.views.Pools(now)
	leaving := c.notices.LeavingServers()
	registered := c.start(t, pools, leaving, now)
	c.withdrawUnregistered(t, leaving, registered)
}

// start starts the tasks of a round and returns the engines of the failure
// domain that are registered.
func (c *Controller) start(t *tenure, pools []Pool, leaving []string, now time.Time) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claim(t, c.platformTarget)
	registered := make(map[string]bool)
	for i := range pools {
		for _, s := range pools[i].View.Servers {
			if s.FailureDomain != c.domain {
				continue
			}
			registered[s.Name] = true
			t.see(pools[i].View.Pool, s.Name)
			e := pools[i].Engines[s.Name]
			c.claim(t, e.target(s.Name))
			if slices.Contains(leaving, s.Name) {
				c.reconcile(t, s.Name, e, now)
			}
		}
	}
	t.viewed = true
	for i := range pools {
		c.carryOut(t, &pools[i], leaving, now)
	}
	return registered
}

// claim takes a target over in this term. Unless an order of a former holder
// is open, that is a look at the last known journal record. It is called with
// mu held.
func (c *Controller) claim(t *tenure, target authority.Target) {
	if _, done := t.claimed[target.Name]; done {
		return
	}
	c.begin(t, target.Name, &task{kind: taskClaim}, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, c.options.OrderTimeout)
		defer cancel()
		if err := c.journal.Claim(ctx, target); err != nil {
			c.log.V(1).Info("target not taken over", "target", target.Name, "error", err.Error())
			return
		}
		now := c.clock.Now()
		c.mu.Lock()
		defer c.mu.Unlock()
		t.claimed[target.Name] = now
	})
}

// carryOut starts the actions of the plan for a pool. It is called with mu
// held.
func (c *Controller) carryOut(t *tenure, p *Pool, leaving []string, now time.Time) {
	view := p.View
	view.Servers = c.overlay(t, p, leaving, now)
	for _, a := range plan.Plan(&view, now) {
		if a.FailureDomain != c.domain {
			continue
		}
		if a.Kind == plan.Order {
			c.startServer(t, p, a, now)
			continue
		}
		ch := &change{
			server: a.Server, engine: p.Engines[a.Server], role: a.Role, stop: a.Kind == plan.Stop,
			pool: p.View.Pool, class: a.Class, reason: a.Reason,
		}
		// Each change that has begun counts for the next.
		servers := c.overlay(t, p, leaving, now)
		if c.admit(t, p, servers, ch, now) != nil {
			continue
		}
		c.begin(t, a.Server, ch.task(servers), func(ctx context.Context) {
			if ch.stop {
				c.stopServer(ctx, t, ch)
			} else {
				_, _ = c.changeRole(ctx, t, ch)
			}
		})
	}
}

// overlay returns the servers of the view with the state that the changes under
// way and the notices give them. It is called with mu held.
func (c *Controller) overlay(t *tenure, p *Pool, leaving []string, now time.Time) []plan.Server {
	servers := slices.Clone(p.View.Servers)
	for i := range servers {
		s := &servers[i]
		switch k := t.tasks[s.Name]; {
		case t.stopping[s.Name] || k != nil && k.kind == taskStop:
			s.State = plan.Stopping
		case k != nil && k.kind == taskRole && s.State != plan.Stopping:
			// An engine that changes may not answer, and look like one that starts.
			s.State, s.Role = plan.Changing, k.role.Role
		case s.State != plan.Running:
		case slices.Contains(leaving, s.Name):
			s.State = plan.Changing
		}
	}
	t.starts = slices.DeleteFunc(t.starts, func(s pendingStart) bool { return !now.Before(s.until) })
	for _, s := range t.starts {
		if s.pool == p.View.Pool {
			servers = append(servers, s.server)
		}
	}
	return servers
}

// admit returns an error if the server may not be taken out of service now. It
// is called with mu held.
func (c *Controller) admit(t *tenure, p *Pool, servers []plan.Server, ch *change, now time.Time) error {
	if t.tasks[ch.server] != nil || !c.settled(t, ch.server, now) {
		return &BusyError{Server: ch.server}
	}
	if err := c.floor(t, p, servers, ch); err != nil {
		c.stats.floorRefused.Add(1)
		return err
	}
	return nil
}

// floor counts the servers in service without the one to change. It is called
// with mu held.
func (c *Controller) floor(t *tenure, p *Pool, servers []plan.Server, ch *change) error {
	rule := ruleFor(p, c.domain)
	var role config.Role
	total, out, all, inPool := 0, 0, 0, 0
	serving := make(map[config.Role]int)
	for _, s := range servers {
		local := s.FailureDomain == c.domain
		if s.Name == ch.server {
			role = s.Role
			all++
			if s.State != plan.Running {
				return &FloorError{ch.server, "it is not in service"}
			}
			continue
		}
		if s.State == plan.Running {
			inPool++
		}
		if !local || s.State == plan.Starting {
			continue
		}
		if k := t.tasks[s.Name]; s.State == plan.Changing || k != nil && k.takesOut() {
			out++
		}
		if s.State != plan.Stopping {
			all++
			total++
		}
		if s.State == plan.Running {
			serving[s.Role]++
		}
	}
	switch {
	case inPool == 0:
		return &FloorError{ch.server, "it is the last server of the pool in service"}
	case out >= max(1, int(c.options.MaxOutShare*float64(all))):
		return &FloorError{ch.server, "too many servers of the pool are out of service"}
	case role == config.RolePrefill && serving[role] < rule.MinPrefill, role == config.RoleDecode && serving[role] < rule.MinDecode:
		return &FloorError{ch.server, "the floor of its role is reached"}
	case ch.stop && total < rule.MinServers:
		return &FloorError{ch.server, "the floor of the failure domain is reached"}
	}
	return nil
}

func ruleFor(p *Pool, domain string) config.Rule {
	for _, r := range p.View.Rules {
		if r.Pool == p.View.Pool && r.FailureDomain == domain {
			return r
		}
	}
	return config.Rule{}
}
