package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/figweir/figweir/core"
	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/loadshare"
	"github.com/figweir/figweir/peer"
	"github.com/figweir/figweir/quota"
)

const (
	// quotaIdleInterval is the time between two checks of the configuration while no workspace
	// has a quota.
	quotaIdleInterval = 500 * time.Millisecond
	// quotaReachLogInterval is the least time between two log lines about the fraction of
	// nodes that is reachable for quotas.
	quotaReachLogInterval = time.Second
)

// quotas keeps what all nodes send for a workspace within its quota. It implements core.Quotas.
type quotas struct {
	limiter *quota.Limiter
	log     logr.Logger
	// incarnation distinguishes these messages from load updates of this node.
	incarnation uint64
	// table is the configuration of the node, and applied the one whose quotas the limiter has.
	table   *atomic.Pointer[core.Table]
	applied atomic.Pointer[core.Table]
	// applyMu guards changes of applied.
	applyMu sync.Mutex
	// nodes returns the addresses of all listed nodes.
	nodes func() []string
	// wake is signaled when a configuration with quotas is applied, which ends quotaIdleInterval.
	wake chan struct{}
	// reachable is the fraction of nodes that was last logged. Only the goroutine that ticks
	// uses it.
	reachable  float64
	reachLines *rate.Limiter
}

// setUpQuotas creates the quotas of the node. incarnation is not 0.
func (g *Gateway) setUpQuotas(incarnation uint64) {
	b := &g.settings.Bounds
	options := quota.Options{Window: g.settings.QuotaWindow(), Overage: b.QuotaOverage, Tolerance: b.QuotaTolerance}
	g.quotas = &quotas{
		limiter: quota.New(g.loadAddress(), incarnation, options), incarnation: incarnation, table: &g.table, log: g.log,
		nodes: g.nodes.AllLoadAddresses, wake: make(chan struct{}, 1),
		reachable: 1, reachLines: rate.NewLimiter(rate.Every(quotaReachLogInterval), 1),
	}
}

// apply gives the limiter the quotas of the configuration in force.
func (q *quotas) apply(now time.Time) {
	if q.table.Load() == q.applied.Load() {
		return
	}
	q.applyMu.Lock()
	defer q.applyMu.Unlock()
	table := q.table.Load()
	if table == q.applied.Load() {
		return
	}
	limits := make(map[string]quota.Limit, len(table.Quotas))
	for name, w := range table.Quotas {
		limits[name] = quota.Limit{PerSecond: w.PerSecond, Burst: w.Burst}
	}
	if len(limits) > 0 {
		q.limiter.SetNodes(now, q.nodes())
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	q.limiter.SetLimits(now, limits)
	before := q.applied.Swap(table)
	if len(limits) > 0 || before != nil && len(before.Quotas) > 0 {
		q.log.Info("quotas in force", "workspaces", len(limits), "config_version", table.Version)
	}
}

// Acquire implements core.Quotas.
func (q *quotas) Acquire(ctx context.Context, workspace string, amount int64) (granted bool, retryAfter time.Duration) {
	q.apply(time.Now())
	return q.limiter.Acquire(ctx, workspace, amount)
}

// Return implements core.Quotas.
func (q *quotas) Return(workspace string, amount int64) {
	q.limiter.Return(time.Now(), workspace, amount)
}

var _ core.Quotas = (*quotas)(nil)

// runQuotas keeps the limiter up to date and sends its messages until ctx ends.
func (g *Gateway) runQuotas(ctx context.Context, conn net.PacketConn) {
	timer := time.NewTimer(quota.TickInterval)
	defer timer.Stop()
	limiter := g.quotas.limiter
	for {
		select {
		case <-ctx.Done():
			limiter.Leave()
			g.sendQuotaMessages(conn)
			return
		case now := <-timer.C:
			g.tickQuotas(now)
			timer.Reset(g.quotas.tickInterval())
		case <-g.quotas.wake:
			timer.Reset(quota.TickInterval)
		case <-limiter.Pending():
		}
		g.sendQuotaMessages(conn)
	}
}

// sendQuotaMessages sends the pending messages of the limiter to other nodes.
func (g *Gateway) sendQuotaMessages(conn net.PacketConn) {
	for _, m := range g.quotas.limiter.Messages() {
		u := &figweirv1.LoadUpdate{Scope: figweirv1.Scope_SCOPE_QUOTAS, Incarnation: g.quotas.incarnation, Quotas: peer.EncodeQuota(&m)}
		g.sharer.Send(conn, loadshare.Message{Update: u, Recipients: []string{m.To}})
	}
}

// tickInterval returns the time until the next tick.
func (q *quotas) tickInterval() time.Duration {
	if q.limiter.Active() {
		return quota.TickInterval
	}
	return quotaIdleInterval
}

// tickQuotas applies changes of the configuration and of the list of nodes.
func (g *Gateway) tickQuotas(now time.Time) {
	g.quotas.apply(now)
	if !g.quotas.limiter.Active() {
		return
	}
	g.quotas.limiter.SetNodes(now, g.quotas.nodes())
	g.quotas.limiter.SetStoreReachable(now, g.config.Following())
	g.quotas.limiter.Tick(now)
	if reachable, part := g.quotas.limiter.Reach(); reachable != g.quotas.reachable && g.quotas.reachLines.AllowN(now, 1) {
		g.quotas.reachable = reachable
		g.log.Info("nodes reachable for quotas", "fraction", reachable, "part", part, "nodes", g.nodes.Count())
	}
}

// receiveQuota handles a message of another node.
func (g *Gateway) receiveQuota(now time.Time, from net.Addr, u *figweirv1.LoadUpdate) {
	m, ok := peer.DecodeQuota(u.Quotas)
	if !ok {
		g.sharer.Malformed.Add(1)
		return
	}
	g.quotas.limiter.Receive(now, from.String(), m)
}

// quotaReport is the report on the quota of one workspace for operators.
type quotaReport struct {
	Workspace string   `json:"workspace"`
	PerSecond float64  `json:"per_s"`
	Burst     float64  `json:"burst"`
	Granters  []string `json:"granters"`
	// Granter is true if this node is one of them. Tokens is then what its bucket holds, and
	// Part the part of the quota that it would grant.
	Granter       bool    `json:"granter"`
	Tokens        float64 `json:"tokens"`
	Part          float64 `json:"part"`
	Granted       uint64  `json:"granted"`
	Refused       uint64  `json:"refused"`
	Share         uint64  `json:"share"`
	TimedOut      uint64  `json:"timed_out"`
	GrantedAmount uint64  `json:"granted_amount"`
}

// listQuotas answers an operator with the quotas of all workspaces.
func (g *Gateway) listQuotas(w http.ResponseWriter, _ *http.Request) {
	list := []quotaReport{}
	for _, r := range g.quotas.limiter.Reports(time.Now()) {
		list = append(list, quotaReport{
			Workspace: r.Workspace, PerSecond: r.Limit.PerSecond, Burst: r.Limit.Burst, Granters: r.Granters, Granter: r.Granter,
			Tokens: r.Tokens, Part: r.Part, Granted: r.Counts.Granted, Refused: r.Counts.Refused,
			Share: r.Counts.Share, TimedOut: r.Counts.TimedOut, GrantedAmount: r.Counts.GrantedAmount,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		g.log.V(1).Info("cannot write the list of quotas", "cause", err.Error())
	}
}

// addQuotaGauges adds the sums over all workspaces with a quota.
func (g *Gateway) addQuotaGauges(gauges map[string]float64) {
	if !g.quotas.limiter.Active() {
		return
	}
	var sum quota.Counts
	reports := g.quotas.limiter.Reports(time.Now())
	for _, r := range reports {
		sum.Granted += r.Counts.Granted
		sum.Refused += r.Counts.Refused
		sum.Share += r.Counts.Share
		sum.TimedOut += r.Counts.TimedOut
	}
	gauges["quotas"] = float64(len(reports))
	gauges["quota_reachable_fraction"], gauges["quota_part"] = g.quotas.limiter.Reach()
	gauges["quota_granted_total"], gauges["quota_refused_total"] = float64(sum.Granted), float64(sum.Refused)
	gauges["quota_share_total"], gauges["quota_timeouts_total"] = float64(sum.Share), float64(sum.TimedOut)
}
