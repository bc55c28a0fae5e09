package node

import (
	"context"
	"expvar"
	"time"

	"connectrpc.com/connect"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/burn"
	"github.com/figweir/figweir/caller"
	"github.com/figweir/figweir/peer"
	"github.com/figweir/figweir/usage"
)

const (
	// maxLedgerEntries limits the totals stored for other nodes: 2,300 workspaces
	// of a few nodes over a few windows, at about 100 bytes each.
	maxLedgerEntries = 100_000
	// maxBurnSeries limits the pairs of workspace and service whose burn rate one
	// node measures.
	maxBurnSeries = 8192
	// peerCallsTimeout limits the total time of the calls to all peers that collect
	// the burn series, and of those that hand over mirrored totals when the node
	// stops.
	peerCallsTimeout = 2 * time.Second
	// mirrorTimeout limits how long the end of an answer is delayed until its usage
	// is mirrored.
	mirrorTimeout = 500 * time.Millisecond
)

// meter connects package usage to the request path and to the peers.
type meter struct {
	node     *Node
	ledger   *usage.Ledger
	recorder *usage.Recorder
	client   *peer.UsageClient
}

func newMeter(n *Node) *meter {
	m := &meter{node: n, ledger: usage.NewLedger(n.process, maxLedgerEntries)}
	m.client = peer.NewUsageClient(n.peerHTTP, m.baseURL, connect.WithInterceptors(n.auth))
	m.recorder = usage.NewRecorder(usage.RecorderOptions{
		Window: n.settings.UsageWindow(), Ledger: m.ledger, Mirrors: m, Transport: m.client,
	})
	return m
}

// baseURL returns the URL of a peer. The ID of a peer is its address.
func (m *meter) baseURL(p usage.Peer) string { return "http://" + p.ID }

// Mirrors implements usage.MirrorPicker.
func (m *meter) Mirrors() []usage.Peer {
	self := m.node.VM()
	return usage.RankMirrors(usage.Peer{ID: self.Address, FailureDomain: self.FailureDomain}, m.peers())
}

// Nodes implements usage.NodeLister.
func (m *meter) Nodes() []usage.Peer { return m.peers() }

// peers returns the live nodes, including this one.
func (m *meter) peers() []usage.Peer {
	live := m.node.members.View().Live
	out := make([]usage.Peer, len(live))
	for i, member := range live {
		out[i] = usage.Peer{ID: member.Address, FailureDomain: member.FailureDomain}
	}
	return out
}

// Count implements caller.Meter.
func (m *meter) Count(ctx context.Context, workspace string, calls, promptTokens, outputTokens int) {
	ticket := m.recorder.Add(workspace, usage.Figures{
		Calls: uint64(calls), PromptTokens: uint64(promptTokens), OutputTokens: uint64(outputTokens),
	})
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	if _, err := m.recorder.Wait(ctx, ticket); err != nil && ctx.Err() == nil {
		m.node.log.Info("usage not mirrored", "workspace", workspace, "error", err.Error())
	}
}

// run mirrors usage until ctx is canceled. If the node is draining, it then
// sends the totals that it mirrors for other nodes to two peers, so that their
// number of copies does not decrease.
func (m *meter) run(ctx context.Context) {
	m.recorder.Run(ctx)
	handOverCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerCallsTimeout)
	defer cancel()
	if m.node.draining.Load() {
		m.node.log.Info("usage handed over", "peers", m.recorder.HandOver(handOverCtx))
	}
}

// observer implements caller.Observer. It counts requests for package burn and
// for the metrics.
type observer struct {
	node     *Node
	recorder *burn.Recorder
	// goodTotal and badTotal count requests that met or missed the objectives, by
	// model or service.
	goodTotal, badTotal *expvar.Map
}

func newObserver(n *Node) *observer {
	return &observer{
		node: n, recorder: burn.NewRecorder(maxBurnSeries),
		goodTotal: n.metrics.GoodTotal, badTotal: n.metrics.BadTotal,
	}
}

// countServed adds one request to the metrics.
func (o *observer) countServed(service string, good bool) {
	if good {
		o.goodTotal.Add(service, 1)
		return
	}
	o.badTotal.Add(service, 1)
}

// Observe implements caller.Observer. Requests that failed because of an error
// of the caller are not counted.
func (o *observer) Observe(observation caller.Observation) {
	if observation.Workspace == "" || observation.Service == "" || isCallerError(observation) {
		return
	}
	snapshot := o.node.config.Load()
	good := observation.Complete && observation.FirstToken.Seconds() <= snapshot.Document.Objectives.FirstTokenSeconds &&
		float64(observation.SlowGaps) <= (1-snapshot.Document.Objectives.TargetRatio)*float64(observation.Gaps)
	o.recorder.Observe(observation.Workspace, observation.Service, good, observation.At)
	o.countServed(observation.Service, good)
}

// isCallerError reports whether the request failed because of an error of the
// caller.
func isCallerError(observation caller.Observation) bool {
	switch observation.Code {
	case apierr.BadRequest, apierr.Unauthorized, apierr.Forbidden, apierr.NotFound, apierr.TooLarge,
		apierr.KeyReused, apierr.InProgress, apierr.OutcomeTooLarge:
		return true
	}
	return false
}

// burnReport implements operator.Report. It merges the burn series of all live
// nodes. A peer that does not respond is logged and left out.
func (o *observer) burnReport(ctx context.Context) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallsTimeout)
	defer cancel()
	now := time.Now()
	series := [][]burn.Series{o.recorder.Series(now)}
	for _, other := range o.node.otherNodes() {
		peerSeries, err := peer.CollectBurn(ctx, o.node.peerHTTP, other.URL, connect.WithInterceptors(o.node.auth))
		if err != nil {
			o.node.log.Info("burn of a peer is missing from the report", "peer", other.Name, "error", err.Error())
			continue
		}
		series = append(series, peerSeries)
	}
	target := o.node.config.Load().Document.Objectives.TargetRatio
	return burn.NewReport(burn.Merge(series...), func(string, string) float64 { return target }, now), nil
}
