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

// Dependencies are the interfaces that a controller uses.
type Dependencies struct {
	Duty       Duty
	Journal    Journal
	PoolSource PoolSource
	Engines    Engines
	Platform   fleet.Orderer
	Notices    Notices
	Clock      authority.Clock
	Log        logr.Logger
}

// Controller executes the orders of one failure domain.
type Controller struct {
	failureDomain  string
	sender         string
	duty           Duty
	journal        Journal
	poolSource     PoolSource
	engines        Engines
	platform       fleet.Orderer
	platformTarget authority.Target
	notices        Notices
	clock          authority.Clock
	options        Options
	loadLimiter    *rate.Limiter
	log            logr.Logger
	stats          counters

	mu          sync.Mutex
	currentTerm *termState
	// previousTerms holds ended terms whose tasks may still be running.
	previousTerms []*termState
}

// New returns a controller for a failure domain. sender is the incarnation of
// the process.
func New(failureDomain, sender string, d Dependencies, options Options) *Controller {
	return &Controller{
		failureDomain: failureDomain, sender: sender, duty: d.Duty, journal: d.Journal, poolSource: d.PoolSource, engines: d.Engines,
		platform: d.Platform, platformTarget: PlatformTarget(failureDomain), notices: d.Notices, clock: d.Clock,
		options: options, loadLimiter: rate.NewLimiter(rate.Limit(options.LoadsPerSecond), options.LoadBurst), log: d.Log,
	}
}

// Run executes a round every Interval until ctx ends, and returns when all
// tasks have ended.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.round(ctx)
		_ = c.clock.Sleep(ctx, c.options.Interval)
	}
	c.mu.Lock()
	all := c.previousTerms
	if c.currentTerm != nil {
		c.currentTerm.cancel()
		all = append(all, c.currentTerm)
	}
	c.currentTerm, c.previousTerms = nil, nil
	c.mu.Unlock()
	for _, t := range all {
		t.running.Wait()
	}
}

// round claims servers, withdraws notices that belong to no change, and starts
// the actions of the plan.
func (c *Controller) round(ctx context.Context) {
	t := c.updateTerm(ctx)
	if t == nil {
		return
	}
	now := c.clock.Now()
	pools := c.poolSource.Pools(now)
	leaving := c.notices.LeavingServers()
	registered := c.startTasks(t, pools, leaving, now)
	c.withdrawUnregisteredNotices(t, leaving, registered)
}

// startTasks starts the tasks of a round and returns the names of the
// registered engines of the failure domain.
func (c *Controller) startTasks(t *termState, pools []Pool, leaving []string, now time.Time) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claimTarget(t, c.platformTarget)
	registered := make(map[string]bool)
	for i := range pools {
		for _, s := range pools[i].View.Servers {
			if s.FailureDomain != c.failureDomain {
				continue
			}
			registered[s.Name] = true
			t.observeServer(pools[i].View.Pool, s.Name)
			e := pools[i].Engines[s.Name]
			c.claimTarget(t, e.target(s.Name))
			if slices.Contains(leaving, s.Name) {
				c.reconcileNotice(t, s.Name, e, now)
			}
		}
	}
	t.firstRoundDone = true
	for i := range pools {
		c.startActions(t, &pools[i], leaving, now)
	}
	return registered
}

// claimTarget claims a target in this term. Unless an order of a previous
// holder is open, this only checks the cached journal record. The caller must
// hold mu.
func (c *Controller) claimTarget(t *termState, target authority.Target) {
	if _, done := t.claimedAt[target.Name]; done {
		return
	}
	c.startTask(t, target.Name, &task{kind: taskClaim}, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, c.options.OrderTimeout)
		defer cancel()
		if err := c.journal.Claim(ctx, target); err != nil {
			c.log.V(1).Info("target not taken over", "target", target.Name, "error", err.Error())
			return
		}
		now := c.clock.Now()
		c.mu.Lock()
		defer c.mu.Unlock()
		t.claimedAt[target.Name] = now
	})
}

// startActions starts the actions of the plan for a pool. The caller must hold
// mu.
func (c *Controller) startActions(t *termState, p *Pool, leaving []string, now time.Time) {
	view := p.View
	view.Servers = c.effectiveServers(t, p, leaving, now)
	for _, a := range plan.Plan(&view, now) {
		if a.FailureDomain != c.failureDomain {
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
		// Include the changes that were started in this loop.
		servers := c.effectiveServers(t, p, leaving, now)
		if c.checkInterruption(t, p, servers, ch, now) != nil {
			continue
		}
		c.startTask(t, a.Server, ch.task(servers), func(ctx context.Context) {
			if ch.stop {
				c.stopServer(ctx, t, ch)
			} else {
				_, _ = c.changeRole(ctx, t, ch)
			}
		})
	}
}

// effectiveServers returns the servers of the view with their states adjusted
// for current changes and notices, plus the ordered servers that are not
// registered yet. The caller must hold mu.
func (c *Controller) effectiveServers(t *termState, p *Pool, leaving []string, now time.Time) []plan.Server {
	servers := slices.Clone(p.View.Servers)
	for i := range servers {
		s := &servers[i]
		switch k := t.tasks[s.Name]; {
		case t.stopping[s.Name] || k != nil && k.kind == taskStop:
			s.State = plan.Stopping
		case k != nil && k.kind == taskRoleChange && s.State != plan.Stopping:
			// An engine that changes its role may not respond, and then looks
			// like a starting one.
			s.State, s.Role = plan.Changing, k.server.Role
		case s.State != plan.Running:
		case slices.Contains(leaving, s.Name):
			s.State = plan.Changing
		}
	}
	t.pendingStarts = slices.DeleteFunc(t.pendingStarts, func(s pendingStart) bool { return !now.Before(s.expiresAt) })
	for _, s := range t.pendingStarts {
		if s.pool == p.View.Pool {
			servers = append(servers, s.server)
		}
	}
	return servers
}

// checkInterruption returns an error if the server may not be taken out of
// service now. The caller must hold mu.
func (c *Controller) checkInterruption(t *termState, p *Pool, servers []plan.Server, ch *change, now time.Time) error {
	if t.tasks[ch.server] != nil || !c.previousStopsExpired(t, ch.server, now) {
		return &BusyError{Server: ch.server}
	}
	if err := c.checkMinimums(t, p, servers, ch); err != nil {
		c.stats.minimumRefused.Add(1)
		return err
	}
	return nil
}

// checkMinimums returns a *MinimumError if taking the server out of service
// leaves too few servers, or too many out of service. The caller must hold mu.
func (c *Controller) checkMinimums(t *termState, p *Pool, servers []plan.Server, ch *change) error {
	rule := ruleFor(p, c.failureDomain)
	var role config.Role
	remaining, outOfService, localServers, runningInPool := 0, 0, 0, 0
	serving := make(map[config.Role]int)
	for _, s := range servers {
		local := s.FailureDomain == c.failureDomain
		if s.Name == ch.server {
			role = s.Role
			localServers++
			if s.State != plan.Running {
				return &MinimumError{ch.server, "it is not in service"}
			}
			continue
		}
		if s.State == plan.Running {
			runningInPool++
		}
		if !local || s.State == plan.Starting {
			continue
		}
		if k := t.tasks[s.Name]; s.State == plan.Changing || k != nil && k.interruptsService() {
			outOfService++
		}
		if s.State != plan.Stopping {
			localServers++
			remaining++
		}
		if s.State == plan.Running {
			serving[s.Role]++
		}
	}
	switch {
	case runningInPool == 0:
		return &MinimumError{ch.server, "it is the last server of the pool in service"}
	case outOfService >= max(1, int(c.options.MaxOutOfServiceShare*float64(localServers))):
		return &MinimumError{ch.server, "too many servers of the pool are out of service"}
	case role == config.RolePrefill && serving[role] < rule.MinPrefill, role == config.RoleDecode && serving[role] < rule.MinDecode:
		return &MinimumError{ch.server, "the floor of its role is reached"}
	case ch.stop && remaining < rule.MinServers:
		return &MinimumError{ch.server, "the floor of the failure domain is reached"}
	}
	return nil
}

// ruleFor returns the rule for a pool in a failure domain, or the zero rule.
func ruleFor(p *Pool, domain string) config.Rule {
	for _, r := range p.View.Rules {
		if r.Pool == p.View.Pool && r.FailureDomain == domain {
			return r
		}
	}
	return config.Rule{}
}
