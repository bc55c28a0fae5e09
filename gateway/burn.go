package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/burn"
	"github.com/figweir/figweir/core"
	"github.com/figweir/figweir/peer"
)

const (
	// maxBurnSeries is the maximum number of (workspace, service) pairs whose burn
	// rate is recorded: about 6 MB of memory.
	maxBurnSeries = 8192
	// burnCollectTimeout is the timeout for collecting burn rates from all nodes.
	burnCollectTimeout = 2 * time.Second
)

// burnMonitor measures how fast the requests of each workspace consume the error
// budgets of services, and reports the sum over all nodes.
type burnMonitor struct {
	recorder *burn.Recorder
	// targetRatio is the fraction of requests that must be good.
	targetRatio float64
	// peerAddresses returns the RPC addresses of the other nodes.
	peerAddresses func() []string
	client        *http.Client
	log           logr.Logger
}

// observe records one request. Errors by callers and requests that callers canceled
// are not recorded: they are no failures of the service.
func (b *burnMonitor) observe(r *core.Record, now time.Time) {
	switch r.Reason {
	case core.ReasonBadKey, core.ReasonNoRoute, core.ReasonCallerGone, core.ReasonOverQuota:
		return
	}
	if r.Route == nil || r.Service == "" {
		return
	}
	b.recorder.Observe(r.Workspace, r.Service, isGood(r), now)
}

// isGood reports whether a request succeeded within the latency targets of its route.
func isGood(r *core.Record) bool {
	if r.Reason != "" || r.Status >= http.StatusInternalServerError {
		return false
	}
	if r.Route.TargetLatency > 0 && r.TimeToFirstEvent > r.Route.TargetLatency {
		return false
	}
	return r.Route.TargetPause <= 0 || r.MaxPause <= r.Route.TargetPause
}

// report merges the burn rates of this node and of all nodes that answer in time.
func (b *burnMonitor) report(ctx context.Context) burn.Report {
	ctx, cancel := context.WithTimeout(ctx, burnCollectTimeout)
	defer cancel()
	addresses := b.peerAddresses()
	peerSeries := make(chan []burn.Series, len(addresses))
	for _, address := range addresses {
		go func() {
			series, err := peer.CollectBurn(ctx, b.client, "http://"+address)
			if err != nil {
				b.log.Info("burn of a node is missing from the report", "address", address, "cause", err.Error())
			}
			peerSeries <- series
		}()
	}
	now := time.Now()
	all := [][]burn.Series{b.recorder.Series(now)}
	for range addresses {
		all = append(all, <-peerSeries)
	}
	return burn.NewReport(burn.Merge(all...), func(string, string) float64 { return b.targetRatio }, now)
}

// serve writes the report as JSON.
func (b *burnMonitor) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := b.report(r.Context()).WriteJSON(w); err != nil {
		b.log.Info("cannot send burn report", "cause", err.Error())
	}
}
