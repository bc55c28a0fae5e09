package node

import (
	"runtime"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/settings"
)

// TestReadyNodeAdmitsRequests guards against a node that reports itself ready while its
// admission does not know the pools yet, and so refuses the first requests although all
// backend servers are free.
func TestReadyNodeAdmitsRequests(t *testing.T) {
	is := is.New(t)
	document := &config.Document{Objectives: config.Objectives{FirstTokenSeconds: 1, BetweenTokensSeconds: 1, TargetRatio: 0.5}, Pools: []config.Pool{{Name: "p", Kind: config.KindEngine, Models: []string{"m"}, KVBlocks: 10, KVBlockTokens: 16}}}
	snapshot, err := config.NewSnapshot(document, 1)
	is.NoErr(err)
	const starts = 50
	for range starts {
		s := settings.Default()
		s.Name, s.FailureDomain = "n", "z"
		s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
		n, err := New(s, logr.Discard())
		is.NoErr(err)
		n.config.StoreIfNewer(snapshot)
		go n.applyConfig()
		for !n.configApplied.Load() {
			runtime.Gosched()
		}
		is.True((*n.admission.controllers.Load())["p"] != nil)
		is.True((*n.backends.trackers.Load())["p"] != nil)
		n.listeners.close()
		n.claims.close()
	}
}
