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
	// maxBurnSeries bounds the pairs of workspace and service that burn is kept
	// for: about 6 MB at the most.
	maxBurnSeries = 8192
	// burnTimeout bounds the collection of burn from all nodes.
	burnTimeout = 2 * time.Second
)

// burnReport measures how fast workspaces use up the error budget of the services
// that they call, and reports it for all nodes.
type burnReport struct {
	recorder *burn.Recorder
	// targetRatio is the share of requests that must be good.
	targetRatio float64
	// addresses returns the other nodes.
	addresses func() []string
	client    *http.Client
	log       logr.Logger
}

// observe counts a request. What callers do wrong and those that they give up are
// not the service's failures.
func (b *burnReport) observe(r *core.Record, now time.Time) {
	switch r.Reason {
	case core.ReasonBadKey, core.ReasonNoRoute, core.ReasonCallerGone:
		return
	}
	if r.Route == nil || r.Service == "" {
		return
	}
	b.recorder.Observe(r.Workspace, r.Service, good(r), now)
}

// good reports whether a request was answered as its route aims for.
func good(r *core.Record) bool {
	if r.Reason != "" || r.Status >= http.StatusInternalServerError {
		return false
	}
	if r.Route.Target > 0 && r.FirstEvent > r.Route.Target {
		return false
	}
	return r.Route.TargetPause <= 0 || r.MaxPause <= r.Route.TargetPause
}

// report merges the burn of all nodes that answer in time.
func (b *burnReport) report(ctx context.Context) burn.Report {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	addresses := b.addresses()
	theirs := make(chan []burn.Series, len(addresses))
	for _, address := range addresses {
		go func() {
			series, err := peer.CollectBurn(ctx, b.client, "http://"+address)
			if err != nil {
				b.log.Info("burn of a node is missing from the report", "address", address, "cause", err.Error())
			}
			theirs <- series
		}()
	}
	now := time.Now()
	all := [][]burn.Series{b.recorder.Series(now)}
	for range addresses {
		all = append(all, <-theirs)
	}
	return burn.NewReport(burn.Merge(all...), func(string, string) float64 { return b.targetRatio }, now)
}

// serve answers with the report as JSON.
func (b *burnReport) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := b.report(r.Context()).WriteJSON(w); err != nil {
		b.log.Info("burn report not sent", "cause", err.Error())
	}
}
