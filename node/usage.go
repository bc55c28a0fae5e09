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
	// maxLedgerEntries bounds the totals that are kept for other nodes: 2,300
	// workspaces of a few nodes over a few windows, at about 100 bytes each.
	maxLedgerEntries = 100_000
	// maxBurnSeries bounds the pairs of workspace and service that burn is
	// measured for on one node.
	maxBurnSeries = 8192
	// burnTimeout bounds the collection of burn from one peer.
	burnTimeout = 2 * time.Second
	// mirrorWait bounds how long the end of an answer waits for its mirrors.
	mirrorWait = 500 * time.Millisecond
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

// baseURL returns the address of a peer, whose id is its address.
func (m *meter) baseURL(p usage.Peer) string { return "http://" + p.ID }

// Mirrors implements usage.MirrorPicker.
func (m *meter) Mirrors() []usage.Peer {
	self := m.node.VM()
	return usage.RankMirrors(usage.Peer{ID: self.Address, FailureDomain: self.FailureDomain}, m.peers())
}

// Nodes implements usage.NodeLister.
func (m *meter) Nodes() []usage.Peer { return m.peers() }

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
	ctx, cancel := context.WithTimeout(ctx, mirrorWait)
	defer cancel()
	if _, err := m.recorder.Wait(ctx, ticket); err != nil && ctx.Err() == nil {
		m.node.log.Info("usage not mirrored", "workspace", workspace, "error", err.Error())
	}
}

// run mirrors usage until ctx ends, then hands over what this node keeps for
// others.
func (m *meter) run(ctx context.Context) {
	m.recorder.Run(ctx)
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), burnTimeout)
	defer cancel()
	if m.node.draining.Load() {
		m.node.log.Info("usage handed over", "peers", m.recorder.HandOver(last))
	}
}

// observer feeds package burn.
type observer struct {
	node     *Node
	recorder *burn.Recorder
	// goodTotal and badTotal count requests by model or service.
	goodTotal, badTotal *expvar.Map
}

func newObserver(n *Node) *observer {
	return &observer{
		node: n, recorder: burn.NewRecorder(maxBurnSeries),
		goodTotal: n.metrics.GoodTotal, badTotal: n.metrics.BadTotal,
	}
}

func (o *observer) served(service string, good bool) {
	if good {
		o.goodTotal.Add(service, 1)
		return
	}
	o.badTotal.Add(service, 1)
}

// Observe implements caller.Observer. Errors of the caller's own making don't
// count.
func (o *observer) Observe(x caller.Observation) {
	if x.Workspace == "" || x.Service == "" || callerError(x) {
		return
	}
	snapshot := o.node.config.Load()
	good := x.Whole && x.FirstToken.Seconds() <= snapshot.Document.Objectives.FirstTokenSeconds &&
		float64(x.SlowGaps) <= (1-snapshot.Document.Objectives.TargetRatio)*float64(x.Gaps)
	o.recorder.Observe(x.Workspace, x.Service, good, x.At)
	o.served(x.Service, good)
}

// callerError reports whether the request failed for a reason that is not the
// service's.
func callerError(x caller.Observation) bool {
	switch x.Code {
	case apierr.BadRequest, apierr.Unauthorized, apierr.Forbidden, apierr.NotFound, apierr.TooLarge,
		apierr.KeyReused, apierr.InProgress, apierr.OutcomeTooLarge:
		return true
	}
	return false
}

// report merges the burn of all live nodes.
func (o *observer) report(ctx context.Context) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	now := time.Now()
	series := [][]burn.Series{o.recorder.Series(now)}
	for _, other := range o.node.otherNodes() {
		theirs, err := peer.CollectBurn(ctx, o.node.peerHTTP, other.URL, connect.WithInterceptors(o.node.auth))
		if err != nil {
			o.node.log.Info("burn of a peer is missing from the report", "peer", other.Name, "error", err.Error())
			continue
		}
		series = append(series, theirs)
	}
	target := o.node.config.Load().Document.Objectives.TargetRatio
	return burn.NewReport(burn.Merge(series...), func(string, string) float64 { return target }, now), nil
}
