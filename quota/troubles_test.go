package quota

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figweir/figweir/standin/propertytest"
)

// The number of checks of the property tests is fixed, so that runs are comparable.
func init() { propertytest.SetFlags(map[string]string{"rapid.checks": "60", "rapid.seed": "7"}) }

// mixedOptions are the bound for mixes of failures. Each failure uses a part of the slack until the
// nodes know of it, so the tolerance is larger than for single ones: the rate for two seconds.
var mixedOptions = Options{Window: 8 * time.Second, Overage: 0.1, Tolerance: 200}

// TestBoundHoldsThroughTroubles checks random mixes of failures: nodes that stop, restart, are
// paused, are on one side of a partition or don't know another node, datagrams that are lost, late
// and repeated, and requests of several amounts from some of the nodes or all of them. It guards
// against failures that together break the bound although none does alone.
func TestBoundHoldsThroughTroubles(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.IntRange(1, 12).Draw(rt, "nodes")
		f := newFleetWithin(t, mixedOptions, nodes, Limit{PerSecond: 100, Burst: rapid.SampledFrom([]float64{0, 50, 100, 300}).Draw(rt, "burst")})
		f.loss = rapid.SampledFrom([]float64{0, 0, 0.03}).Draw(rt, "loss")
		f.repeat = rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "repeat")
		f.maxDelay = rapid.SampledFrom([]time.Duration{3 * time.Millisecond, 20 * time.Millisecond}).Draw(rt, "delay")
		var senders []int
		if rapid.Bool().Draw(rt, "one sender") {
			senders = []int{rapid.IntRange(0, nodes-1).Draw(rt, "sender")}
		}
		f.run(3*time.Second, nil)
		for range rapid.IntRange(1, 6).Draw(rt, "steps") {
			f.trouble(rt)
			amount := rapid.SampledFrom([]int64{1, 1, 5, 20}).Draw(rt, "amount")
			perSecond := rapid.SampledFrom([]float64{0, below, above, 3000}).Draw(rt, "amount per second")
			f.run(time.Duration(rapid.IntRange(100, 5000).Draw(rt, "span ms"))*time.Millisecond, f.flow(perSecond/float64(amount), amount, senders...))
		}
		if most := f.most(f.options.Window); most > f.bound() {
			rt.Fatalf("%.0f in %v, bound %.0f", most, f.options.Window, f.bound())
		}
	})
}

// trouble makes one random change.
func (f *fleet) trouble(rt *rapid.T) {
	i := rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "node")
	n := f.nodes[i]
	switch rapid.SampledFrom([]string{"restart", "stop", "pause", "partition", "heal", "view"}).Draw(rt, "trouble") {
	case "restart":
		f.start(i)
	case "stop":
		n.up = false
	case "pause":
		n.pausedUntil = f.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(rt, "pause ms")) * time.Millisecond)
	case "partition":
		for _, other := range f.nodes {
			other.side = rapid.IntRange(0, 1).Draw(rt, "side")
		}
	case "heal":
		for _, other := range f.nodes {
			other.side, other.storeAway = 0, false
		}
	case "view":
		// This node does not know another one any more, whose lease in the store has lapsed.
		missing := rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "missing")
		if !slices.Contains(f.nodes[missing].view, i) {
			// Two nodes that never list each other grant the whole rate each.
			return
		}
		if missing != i {
			f.nodes[missing].storeAway = true
			f.setView(i, f.others(missing))
		}
	}
}
