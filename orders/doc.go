// Package orders carries out what package plan decides and what operators ask
// for: role changes and loads of engines, and starts and stops of backend
// servers. A Controller does so for one failure domain while its process holds
// the duty for that, and sends every order through the duty's journal.
//
// A role change and a stop drain the server first. The controller spreads a
// leaving notice, waits until no node can send new work any more and until a
// load report measured after that shows no stream, and only then sends the
// order. A drain that takes too long is given up; no request is cut.
//
// A notice is withdrawn only by the holder of the duty, under an entry of the
// journal, and only when no order of any process can reach the server any more:
// Journal.Claim has succeeded in this term, and the time that the platform needs
// to carry out a stop has passed since. A change begins only on a server without
// a notice, so its own notice has a greater version than a withdrawal that a
// former holder spreads late.
package orders

import (
	"context"
	"time"

	"github.com/figweir/figweir/authority"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/plan"
)

// DutyPrefix starts the names of the duties of this package; a failure domain
// follows.
const DutyPrefix = "orders/"

// PlatformTarget returns the journal target of the platform's ordering
// interface for a failure domain. The platform ignores fencing tokens.
func PlatformTarget(failureDomain string) authority.Target {
	return authority.Target{Name: "platform/" + failureDomain}
}

// Duty is the authority to send the orders; *authority.Duty implements it.
type Duty interface {
	Term() (uint64, bool)
	MayAct(term uint64) bool
}

// Journal guards the orders; *authority.Journal implements it.
type Journal interface {
	Do(ctx context.Context, target authority.Target, order authority.Order, send authority.Send) error
	Claim(ctx context.Context, target authority.Target) error
}

// Engines sends orders to engines and reads their load reports;
// *engine.Client implements it.
type Engines interface {
	Load(ctx context.Context, address string) (engine.LoadReport, error)
	Order(ctx context.Context, address string, order engine.Order) error
}

// Notices spreads leaving notices about backend servers to all nodes.
type Notices interface {
	// SetServerLeaving raises or withdraws a notice. Each change has a greater
	// version than the notice that this process knows.
	SetServerLeaving(name string, leaving bool)
	// LeavingServers returns the servers with a standing notice.
	LeavingServers() []string
}

// Views returns what to plan on.
type Views interface {
	// Pools returns the engine pools. The servers of the views are those of all
	// failure domains; the controller marks those that it changes itself.
	Pools(now time.Time) []Pool
}

// Pool is a pool of engines.
type Pool struct {
	View plan.View
	// Engines are the registrations of the view's servers by name.
	Engines map[string]Engine
}

// Engine is the registration of an engine.
type Engine struct {
	Address string
	// ChecksTokens says that it refuses orders with an old fencing token.
	ChecksTokens bool
	// Generation grows when another engine takes the name.
	Generation uint64
}

func (e Engine) target(name string) authority.Target {
	return authority.Target{Name: name, Generation: e.Generation, ChecksTokens: e.ChecksTokens}
}

// Options sets the times and bounds of a controller.
type Options struct {
	// Interval is the time between two rounds.
	Interval time.Duration
	// PollInterval is the time between two load reports of a server that is
	// being drained or that changes its role.
	PollInterval time.Duration
	// NoticeSpread bounds the time from a notice until no node sends new work.
	NoticeSpread time.Duration
	// ReportLag bounds the age of what a load report shows.
	ReportLag time.Duration
	// DrainTimeout is how long streams may run before a change is given up.
	DrainTimeout time.Duration
	// OrderTimeout bounds the sending of one order with its repeats.
	OrderTimeout time.Duration
	// RoleChange is how long an engine takes no streams after a role order. Its
	// load report does not show that.
	RoleChange time.Duration
	// RoleTimeout is how long an engine may take to report a new role.
	RoleTimeout time.Duration
	// StopTime bounds the time from a stop order that the platform took until
	// the server is gone.
	StopTime time.Duration
	// ConnectionTimeout is that of the journal.
	ConnectionTimeout time.Duration
	// MaxOutShare bounds the servers of a pool in the failure domain that are
	// out of service for changes at a time. One may always be.
	MaxOutShare float64
	// LoadsPerSecond and LoadBurst are this holder's share of the weight store,
	// in loads of a model or adapter.
	LoadsPerSecond float64
	LoadBurst      int
}

// DefaultOptions returns the options for the times that the design page names.
func DefaultOptions() Options {
	return Options{
		Interval: 2 * time.Second, PollInterval: 500 * time.Millisecond,
		NoticeSpread: 3 * time.Second, ReportLag: time.Second,
		DrainTimeout: 2 * time.Minute, OrderTimeout: 30 * time.Second,
		RoleChange: 10 * time.Second, RoleTimeout: time.Minute, StopTime: time.Minute,
		ConnectionTimeout: authority.DefaultJournalOptions().ConnectionTimeout,
		MaxOutShare:       0.1, LoadsPerSecond: 0.1, LoadBurst: 2,
	}
}

// Order is an order of an operator for one engine.
type Order struct {
	// Kind is engine.OrderRole, engine.OrderLoadModel or engine.OrderLoadAdapter.
	Kind   engine.OrderKind `json:"kind"`
	Server string           `json:"server"`
	// Role is the new role.
	Role config.Role `json:"role,omitempty"`
	// Model and Version name the model or adapter to load.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
}

// Result is the outcome of an order that the engine took.
type Result struct {
	OrderID string `json:"order_id"`
	// DrainSeconds is how long the engine took to become idle.
	DrainSeconds float64 `json:"drain_s"`
	// OutSeconds is how long the engine was out of service, with the drain.
	OutSeconds float64 `json:"out_s"`
}
