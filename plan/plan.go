// Package plan decides which engines change roles and which backend servers to
// order or stop. Plan is a pure function: it computes actions from a View and a
// time; the caller executes them.
package plan

import (
	"time"

	"github.com/figweir/figweir/config"
)

// State is the lifecycle state of a server.
type State string

// The lifecycle states of a server.
const (
	// Running servers accept requests.
	Running State = "running"
	// Starting servers are ordered but not ready yet.
	Starting State = "starting"
	// Changing servers are switching to a new role, which Server.Role already
	// holds.
	Changing State = "changing"
	// Stopping servers are draining, leaving or being reclaimed.
	Stopping State = "stopping"
)

// Server is a backend server as input to the planner.
type Server struct {
	Name          string
	FailureDomain string
	Role          config.Role
	Class         config.CapacityClass
	State         State
	// Streams is the number of responses in progress. Among otherwise equal
	// servers, the one with the fewest streams is changed or stopped first.
	Streams int
}

// Rates holds the throughput of one engine within the service-level objectives,
// and the costs of changes.
type Rates struct {
	// PrefillTokensPerSecond is the throughput of an engine that only processes
	// prompts. DecodeTokensPerSecond is that of an engine that only decodes,
	// with the largest batch that meets the objective for the time between
	// tokens.
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	// RoleChangeTime is how long a role change takes an engine out of service.
	RoleChangeTime time.Duration
	// CacheRefillTime is the engine time needed to refill the prefix cache that an
	// engine loses when it stops being a prefill engine.
	CacheRefillTime time.Duration
	// StartupTime is the time from ordering a server until it accepts requests.
	StartupTime time.Duration
	// Headroom is the spare capacity to provide, as a fraction of the demand.
	Headroom float64
	// ReclaimablePrice is the price of a reclaimable server as a fraction of
	// the price of a standard one.
	ReclaimablePrice float64
}

// View is the input of Plan.
type View struct {
	Pool    string
	Servers []Server
	Demand  Demand
	Rates   Rates
	// Rules limit the servers per failure domain. Rules of other pools are
	// ignored. Servers are only ordered in failure domains that have a rule.
	Rules []config.Rule
	// Unavailable holds the failure domains that currently offer no reclaimable
	// servers.
	Unavailable map[string]bool
}

// ActionKind is the kind of an action.
type ActionKind string

// The kinds of action.
const (
	// ChangeRole drains a server and switches it to Action.Role.
	ChangeRole ActionKind = "change role"
	// Order requests a server of Action.Class in Action.FailureDomain.
	Order ActionKind = "order"
	// Stop drains a server and shuts it down.
	Stop ActionKind = "stop"
)

// Action is one planned change. Server is empty for Order.
type Action struct {
	Kind          ActionKind
	Server        string
	FailureDomain string
	Class         config.CapacityClass
	Role          config.Role
	// Reason is logged with the action.
	Reason string
}

// Plan returns the actions to start now, role changes first, then orders, then
// stops. The result is empty if no change is worth its cost. Each server occurs
// in at most one action. Without a recent observation of the demand, Plan only
// orders the minimums of the rules.
func Plan(v *View, now time.Time) []Action {
	p := newPlanner(v, now)
	if v.Demand.ObservedRecently(now) {
		p.planCapacity()
		p.planRoles()
	} else {
		p.orderMinimums(0)
	}
	actions := append(p.roleChanges, p.orderActions...)
	return append(actions, p.stopActions...)
}

// domain counts the servers of one failure domain that are not stopping.
type domain struct {
	name         string
	rule         config.Rule
	hasRule      bool
	servers      int
	readyServers int
	reclaimable  int
	// prefill, decode and mixed count running and changing servers only,
	// because starting servers need minutes until they serve requests.
	prefill int
	decode  int
	mixed   int
	// startingPrefill and startingDecode count servers that are not ready yet.
	startingPrefill int
	startingDecode  int
}

// planner holds the server counts that decisions are based on. Each decided
// action updates the counts before the next decision.
type planner struct {
	view     *View
	now      time.Time
	domains  []*domain
	byName   map[string]*domain
	inAction map[int]bool
	// movable lists the servers that may change roles; see findMovable.
	movable      map[domainRole][]int
	totalServers int
	readyServers int

	roleChanges  []Action
	orderActions []Action
	stopActions  []Action
}

func newPlanner(v *View, now time.Time) *planner {
	p := &planner{view: v, now: now, byName: make(map[string]*domain), inAction: make(map[int]bool)}
	for _, r := range v.Rules {
		if r.Pool == v.Pool {
			d := p.domainFor(r.FailureDomain)
			d.rule, d.hasRule = r, true
		}
	}
	for _, s := range v.Servers {
		if s.State == Stopping {
			continue
		}
		d := p.domainFor(s.FailureDomain)
		d.servers++
		p.totalServers++
		if s.State == Running || s.State == Changing {
			d.readyServers++
			p.readyServers++
		}
		if s.Class == config.ClassReclaimable {
			d.reclaimable++
		}
		if s.State == Starting {
			d.addStarting(s.Role)
		} else {
			d.addRole(s.Role, 1)
		}
	}
	return p
}

// domainFor returns the counts of a failure domain and adds them if missing.
func (p *planner) domainFor(name string) *domain {
	d := p.byName[name]
	if d == nil {
		d = &domain{name: name}
		p.byName[name] = d
		p.domains = append(p.domains, d)
	}
	return d
}

func (d *domain) addRole(role config.Role, n int) {
	switch role {
	case config.RolePrefill:
		d.prefill += n
	case config.RoleDecode:
		d.decode += n
	default:
		d.mixed += n
	}
}

func (d *domain) addStarting(role config.Role) {
	switch role {
	case config.RolePrefill:
		d.startingPrefill++
	case config.RoleDecode:
		d.startingDecode++
	}
}

// engineDemand is a demand expressed as a number of engines of each role.
type engineDemand struct{ prefill, decode float64 }

func (d engineDemand) total() float64 { return d.prefill + d.decode }

// toEngines converts a demand to the number of engines of each role.
func (p *planner) toEngines(d Tokens) engineDemand {
	r := p.view.Rates
	return engineDemand{d.Prefill / max(1, r.PrefillTokensPerSecond), d.Decode / max(1, r.DecodeTokensPerSecond)}
}
