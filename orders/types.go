// Package orders executes the actions of package plan and the orders of
// operators: role changes and weight loads of engines, and starts and stops of
// backend servers. A Controller does this for one failure domain while its
// process holds the duty for it, and sends every order through the duty's
// journal.
//
// A role change or a stop drains the server first. The controller raises a
// leaving notice, waits until no node can send new requests and a load report
// measured after that shows no streams, and only then sends the order. If
// draining takes too long, the change is canceled; no request is cut.
//
// Only the holder of the duty withdraws a notice, while an intent is open in
// the journal, and only when no order of any process can reach the server
// anymore: Journal.Claim has succeeded in this term, and the time the platform
// needs to execute a stop has passed since. A change starts only on a server
// without a notice, so its own notice has a higher version than a withdrawal
// that a previous holder sends late.
package orders

import (
	"context"
	"time"

	"github.com/figweir/figweir/authority"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/plan"
)

// DutyPrefix is the prefix of the names of this package's duties, followed by a
// failure domain.
const DutyPrefix = "orders/"

// PlatformTarget returns the journal target of the platform's ordering
// interface for a failure domain. The platform ignores fencing tokens.
func PlatformTarget(failureDomain string) authority.Target {
	return authority.Target{Name: "platform/" + failureDomain}
}

// Duty is the authority to send the orders. *authority.Duty implements it.
type Duty interface {
	// Term returns the number of the current term, and whether this process
	// holds the duty.
	Term() (uint64, bool)
	// MayAct reports whether this process may still send orders in the term.
	MayAct(term uint64) bool
}

// Journal prevents conflicting orders. *authority.Journal implements it.
type Journal interface {
	// Do opens an intent for an order and sends the order to the target.
	Do(ctx context.Context, target authority.Target, order authority.Order, send authority.Send) error
	// Claim returns nil when no order of another process can change the
	// target anymore.
	Claim(ctx context.Context, target authority.Target) error
}

// Engines sends orders to engines and reads their load reports. *engine.Client
// implements it.
type Engines interface {
	// Load reads the load report of an engine.
	Load(ctx context.Context, address string) (engine.LoadReport, error)
	// Order sends an order to an engine. Its errors are those of
	// engine.Client.Order.
	Order(ctx context.Context, address string, order engine.Order) error
}

// Notices distributes leaving notices about backend servers to all nodes.
type Notices interface {
	// SetServerLeaving raises or withdraws a notice. Each change has a higher
	// version than the notice that this process has stored.
	SetServerLeaving(name string, leaving bool)
	// LeavingServers returns the servers whose notice is raised.
	LeavingServers() []string
}

// PoolSource provides the input of the planner.
type PoolSource interface {
	// Pools returns the engine pools with the servers of all failure domains.
	// The controller itself sets the states of the servers that it changes.
	Pools(now time.Time) []Pool
}

// Pool is a pool of engines.
type Pool struct {
	View plan.View
	// Engines holds the registrations of the view's servers by name.
	Engines map[string]Engine
}

// Engine is the registration of an engine.
type Engine struct {
	Address string
	// ChecksTokens is true if the engine refuses orders with an outdated
	// fencing token.
	ChecksTokens bool
	// Generation increases when another engine takes over the name.
	Generation uint64
}

func (e Engine) target(name string) authority.Target {
	return authority.Target{Name: name, Generation: e.Generation, ChecksTokens: e.ChecksTokens}
}

// Options holds the intervals, timeouts and limits of a controller.
type Options struct {
	// Interval is the time between two rounds.
	Interval time.Duration
	// PollInterval is the time between two load reports of a server that is
	// being drained or is changing its role.
	PollInterval time.Duration
	// NoticePropagation is the maximum time from raising a notice until no node
	// sends new requests.
	NoticePropagation time.Duration
	// MaxReportAge is the maximum age of the data in a load report.
	MaxReportAge time.Duration
	// DrainTimeout is how long streams may run before a change is canceled.
	DrainTimeout time.Duration
	// OrderTimeout limits sending one order, including retries.
	OrderTimeout time.Duration
	// RoleChangeTime is how long an engine accepts no streams after a role order.
	// Its load report does not show this.
	RoleChangeTime time.Duration
	// RoleTimeout is the maximum time until an engine reports a new role.
	RoleTimeout time.Duration
	// StopTime is the maximum time from a stop order accepted by the platform
	// until the server has stopped.
	StopTime time.Duration
	// ConnectionTimeout is the connection timeout of the journal.
	ConnectionTimeout time.Duration
	// MaxOutOfServiceShare is the maximum fraction of a pool's servers in the
	// failure domain that are out of service for changes. One server is always
	// allowed.
	MaxOutOfServiceShare float64
	// LoadsPerSecond and LoadBurst are this holder's share of the weight
	// store's rate limit, in loads of a model or adapter.
	LoadsPerSecond float64
	LoadBurst      int
}

// DefaultOptions returns the intervals, timeouts and limits given in the design.
func DefaultOptions() Options {
	return Options{
		Interval: 2 * time.Second, PollInterval: 500 * time.Millisecond,
		NoticePropagation: 3 * time.Second, MaxReportAge: time.Second,
		DrainTimeout: 2 * time.Minute, OrderTimeout: 30 * time.Second,
		RoleChangeTime: 10 * time.Second, RoleTimeout: time.Minute, StopTime: time.Minute,
		ConnectionTimeout:    authority.DefaultJournalOptions().ConnectionTimeout,
		MaxOutOfServiceShare: 0.1, LoadsPerSecond: 0.1, LoadBurst: 2,
	}
}

// Order is an operator's order for one engine.
type Order struct {
	// Kind is engine.OrderRole, engine.OrderLoadModel or
	// engine.OrderLoadAdapter.
	Kind   engine.OrderKind `json:"kind"`
	Server string           `json:"server"`
	// Role is the new role.
	Role config.Role `json:"role,omitempty"`
	// Model and Version identify the model or adapter to load.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
}

// Result is the outcome of an order that the engine accepted.
type Result struct {
	OrderID string `json:"order_id"`
	// DrainSeconds is how long draining the engine took.
	DrainSeconds float64 `json:"drain_s"`
	// OutSeconds is how long the engine was out of service, including the
	// drain.
	OutSeconds float64 `json:"out_s"`
}
