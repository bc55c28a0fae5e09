// Package plan decides which engines change their role and which backend
// servers to order or stop. Plan is pure: it reads a view and a time and returns
// actions; carrying them out is up to the caller.
package plan

import (
	"time"

	"github.com/figweir/figweir/config"
)

// State is the state of a server.
type State string

// The states of a server.
const (
	// Running servers take work.
	Running State = "running"
	// Starting servers are ordered and not ready yet.
	Starting State = "starting"
	// Changing servers load a new role; Server.Role is the new one.
	Changing State = "changing"
	// Stopping servers are draining, leaving or being reclaimed.
	Stopping State = "stopping"
)

// Server is a backend server as the planner sees it.
type Server struct {
	Name          string
	FailureDomain string
	Role          config.Role
	Class         config.CapacityClass
	State         State
	// Streams is the number of answers in progress. Of equal servers the one
	// with the fewest is changed or stopped.
	Streams int
}

// Rates say what one engine delivers within the service-level objectives, and
// what changes cost.
type Rates struct {
	// PrefillTokensPerSecond is the prompt processing of an engine that does
	// only that; DecodeTokensPerSecond the generation with the largest batch
	// that still meets the time between tokens.
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	// RoleChange is how long an engine is out of service for a role change.
	RoleChange time.Duration
	// CacheLoss is the work, in time of one engine, to fill the prefix cache
	// that an engine loses when it stops being a prefill engine.
	CacheLoss time.Duration
	// Start is the time from an order until the server takes work.
	Start time.Duration
	// Headroom is the spare capacity to keep, as a share of the demand.
	Headroom float64
	// ReclaimablePrice is the price of a reclaimable server as a share of the
	// price of a standard one.
	ReclaimablePrice float64
}

// View is what Plan decides on.
type View struct {
	Pool    string
	Servers []Server
	Demand  Demand
	Rates   Rates
	// Rules bound the servers per failure domain. Rules of other pools are
	// ignored. Servers are ordered only in failure domains that have a rule.
	Rules []config.Rule
	// Unavailable names failure domains that have no reclaimable servers now.
	Unavailable map[string]bool
}

// Kind is the kind of an action.
type Kind string

// The kinds of action.
const (
	// ChangeRole drains a server and gives it Action.Role.
	ChangeRole Kind = "change role"
	// Order orders a server of Action.Class in Action.FailureDomain.
	Order Kind = "order"
	// Stop drains a server and stops it.
	Stop Kind = "stop"
)

// Action is one thing to do.
type Action struct {
	Kind          Kind
	Server        string
	FailureDomain string
	Class         config.CapacityClass
	Role          config.Role
	// Reason says why, for the log.
	Reason string
}

// Plan returns what to do now. It returns nothing while the present servers are
// as good as any change. No server is in more than one action. Role changes come
// first, then orders, then stops. Without a recent observation of the demand it
// only orders what the floors need.
func Plan(v *View, now time.Time) []Action {
	p := newPlanner(v, now)
	if v.Demand.Known(now) {
		p.planCapacity()
		p.planRoles()
	} else {
		p.orderFloors(0)
	}
	actions := append(p.roleChanges, p.orders...)
	return append(actions, p.stops...)
}

// domain counts the servers of one failure domain that are not stopping.
type domain struct {
	name        string
	rule        config.Rule
	hasRule     bool
	servers     int
	ready       int
	reclaimable int
	// prefill, decode and mixed count running and changing servers only:
	// starting ones serve nothing for minutes.
	prefill int
	decode  int
	mixed   int
	// startingPrefill and startingDecode are on the way.
	startingPrefill int
	startingDecode  int
}

// planner holds the counts that a plan is made from. Planned actions are
// applied to the counts as they are decided.
type planner struct {
	view    *View
	now     time.Time
	domains []*domain
	byName  map[string]*domain
	touched map[int]bool
	// movable lists the servers that may change their role; see findMovable.
	movable map[roleIn][]int
	total   int
	ready   int

	roleChanges []Action
	orders      []Action
	stops       []Action
}

func newPlanner(v *View, now time.Time) *planner {
	p := &planner{view: v, now: now, byName: make(map[string]*domain), touched: make(map[int]bool)}
	for _, r := range v.Rules {
		if r.Pool == v.Pool {
			d := p.domain(r.FailureDomain)
			d.rule, d.hasRule = r, true
		}
	}
	for _, s := range v.Servers {
		if s.State == Stopping {
			continue
		}
		d := p.domain(s.FailureDomain)
		d.servers++
		p.total++
		if s.State == Running || s.State == Changing {
			d.ready++
			p.ready++
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

func (p *planner) domain(name string) *domain {
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

// need is a demand in engines of either role.
type need struct{ prefill, decode float64 }

func (n need) total() float64 { return n.prefill + n.decode }

func (p *planner) need(d Tokens) need {
	r := p.view.Rates
	return need{d.Prefill / max(1, r.PrefillTokensPerSecond), d.Decode / max(1, r.DecodeTokensPerSecond)}
}
