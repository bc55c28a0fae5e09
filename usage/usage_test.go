package usage

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/billing"
	"github.com/figweir/figweir/standin/memstore"
)

// TestOwnersAgreeOnFirstWindow guards against two owners that start a shard at
// once from different views and count the usage of the first windows twice.
func TestOwnersAgreeOnFirstWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.nodes[0].recorder.Add("vogar", Figures{Calls: 1})
		w.nodes[0].recorder.flush()
		time.Sleep(3*testWindow + testGrace)
		// Process 0 sees the usage and is paused at its first write; process 1
		// sees nothing and goes on.
		prefix := recordPrefix(ShardOf("vogar", testShards))
		w.store.SetFault(func(op memstore.Op, key string) memstore.Fault {
			if op != memstore.OpPut || !strings.HasPrefix(key, prefix) {
				return memstore.Fault{}
			}
			return memstore.Fault{Before: func() {
				w.store.SetFault(nil)
				w.cut = [testSlots]bool{true, true, true, true, true}
				_, _ = w.step(w.processes[1])
				w.cut = [testSlots]bool{}
			}}
		})
		_, _ = w.step(w.processes[0])
		for range 3 {
			time.Sleep(testWindow)
			w.inCharge = 1 - w.inCharge
			w.startProcess(w.inCharge)
			_, err := w.step(w.processes[w.inCharge])
			is.NoErr(err)
		}
		is.Equal(w.failed, "")
		is.Equal(w.reported()["vogar"], Figures{Calls: 1}) // reported once
	})
}

// TestPlannedStopsKeepUsage guards against a rolling restart that stops, one
// after the other, all mirrors of a node that is gone.
func TestPlannedStopsKeepUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.nodes[0].recorder.Add("vogar", Figures{Calls: 1})
		w.nodes[0].recorder.flush()
		w.start(0)
		w.gossip()
		for slot := 1; slot < testSlots; slot++ {
			r := w.nodes[slot].recorder
			r.flush()
			is.Equal(r.HandOver(t.Context()), wantedMirrors)
			w.start(slot)
			w.gossip()
		}
		time.Sleep(2*testWindow + testGrace)
		_, err := w.step(w.processes[0])
		is.NoErr(err)
		is.Equal(w.reported()["vogar"], Figures{Calls: 1})
	})
}

// TestRecheckCallsBothMirrors guards against a mirror that restarted and is still
// listed with its old incarnation when the other mirror is replaced: usage would
// be taken to be safe while one node holds the only copy. Found by
// TestCopiesSurviveRollingKills with seed 2 and 4,000 cases.
func TestRecheckCallsBothMirrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		r := w.nodes[2].recorder
		r.Add("vogar", Figures{Calls: 1})
		r.flush()
		mirrors := r.choose()
		for i, p := range mirrors {
			slot, err := transportOf{w, -1}.reach(p)
			is.NoErr(err)
			w.start(slot)
			if i == 0 {
				w.gossip()
			}
		}
		is.True(r.mirrorsChanged())
		r.flush()
		is.Equal(w.copies(r.options.Ledger.incarnation, "vogar"), 1+wantedMirrors)
		is.Equal(r.Stats().AtRisk, Figures{})
	})
}

// TestLedgerBound guards against a ledger that grows without limit, and against
// one that drops a total to make room for another.
func TestLedgerBound(t *testing.T) {
	is := is.New(t)
	l := NewLedger("self", 2)
	total := func(incarnation, workspace string) Total {
		return Total{Incarnation: incarnation, Workspace: workspace, Window: 10, Figures: Figures{Calls: 1}}
	}
	is.NoErr(l.Mirror([]Total{total("a", "x"), total("a", "y")}))
	is.True(errors.Is(l.Mirror([]Total{total("a", "z")}), ErrLedgerFull))
	is.NoErr(l.Mirror([]Total{total("self", "z")})) // own totals are always taken
	is.NoErr(l.Mirror([]Total{total("a", "x")}))    // known totals too
	is.Equal(len(l.Collect(CollectRequest{Window: 10, Shards: 1}).Totals), 3)
	is.Equal(l.Stats().Refused, uint64(1))

	// Dropping sealed totals makes room.
	version := l.Collect(CollectRequest{Window: 10, Shards: 1}).Version
	is.NoErr(l.Mirror([]Total{{Incarnation: "a", Workspace: "y", Window: 10, Figures: Figures{Calls: 2}}}))
	left := l.Collect(CollectRequest{Window: 10, Shards: 1, Incarnation: "self", SealedWindow: 10, SealedVersion: version})
	is.Equal(len(left.Totals), 1) // the total that changed since is kept
	is.Equal(left.Totals[0].Calls, uint64(2))
	is.NoErr(l.Mirror([]Total{total("b", "x")}))
}

// TestCursorOfAnotherIncarnation guards against a restarted node that leaves
// out, or drops, totals because a request speaks of its predecessor.
func TestCursorOfAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	l := NewLedger("second", 10)
	is.NoErr(l.Mirror([]Total{{Incarnation: "second", Workspace: "x", Window: 10, Figures: Figures{Calls: 1}}}))
	req := CollectRequest{
		Window: 20, Shards: 1, Incarnation: "first",
		AfterWindow: 10, AfterVersion: 99, SealedWindow: 10, SealedVersion: 99,
	}
	is.Equal(len(l.Collect(req).Totals), 1)
	is.Equal(len(l.Collect(req).Totals), 1)
}

// TestRankMirrors guards against mirrors in the node's own failure domain, and
// against two mirrors in one domain while there are others.
func TestRankMirrors(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	for slot, n := range w.nodes {
		ranked := pickerOf{w, slot}.Mirrors()
		for _, p := range ranked {
			is.True(p.FailureDomain != domainOf(slot))
		}
		chosen := n.recorder.choose()
		is.Equal(len(chosen), wantedMirrors)
		is.True(chosen[0].FailureDomain != chosen[1].FailureDomain)
	}
}

// TestConcurrentAdditions guards against additions that are lost between
// concurrent requests, batches and the change of the window, and against
// goroutines that keep running. Every total must be mirrored when Wait returns.
func TestConcurrentAdditions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		r := w.nodes[0].recorder
		ctx, cancel := context.WithCancel(t.Context())
		var running, requests sync.WaitGroup
		running.Go(func() { r.Run(ctx) })
		for i := range 50 {
			requests.Go(func() {
				for range 20 {
					ticket := r.Add(workspaces[i%len(workspaces)], Figures{Calls: 1, OutputTokens: 2})
					mirrors, err := r.Wait(ctx, ticket)
					is.NoErr(err)
					is.Equal(mirrors, wantedMirrors)
					time.Sleep(time.Duration(i) * 40 * time.Millisecond)
				}
			})
		}
		requests.Wait()
		cancel()
		running.Wait()
		is.Equal(r.Stats().AtRisk, Figures{})
		copies := make(map[string]Figures)
		for _, n := range w.nodes {
			for key, e := range n.ledger.entries {
				if key.incarnation == r.options.Ledger.incarnation {
					copies[n.ledger.incarnation] = copies[n.ledger.incarnation].Plus(e.figures)
				}
			}
		}
		is.Equal(len(copies), 1+wantedMirrors)
		for _, sum := range copies {
			is.Equal(sum, Figures{Calls: 1000, OutputTokens: 2000})
		}
	})
}

// TestAdditionsRaceBatches guards against a Wait that returns before the
// mirrors hold the addition, and against an addition that is left behind because
// its cell was being read. It runs on real threads.
func TestAdditionsRaceBatches(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	r := w.nodes[0].recorder
	r.options.BatchDelay = time.Microsecond
	ctx, cancel := context.WithCancel(t.Context())
	var running, requests sync.WaitGroup
	running.Go(func() { r.Run(ctx) })
	const perRequester = 2000
	for g := range 8 {
		requests.Go(func() {
			for i := range perRequester {
				// Four requesters share each workspace.
				workspace := fmt.Sprint(g/4, "-", i)
				ticket := r.Add(workspace, Figures{Calls: 1})
				if i%10 != 0 {
					continue
				}
				if _, err := r.Wait(ctx, ticket); err != nil {
					t.Error(err)
				}
				if n := w.copies(r.options.Ledger.incarnation, workspace); n < 1+wantedMirrors {
					t.Errorf("%s has %d copies after Wait", workspace, n)
				}
			}
		})
	}
	requests.Wait()
	cancel()
	running.Wait()
	var sum Figures
	for key, e := range w.nodes[0].ledger.entries {
		if key.incarnation == r.options.Ledger.incarnation {
			sum = sum.Plus(e.figures)
		}
	}
	is.Equal(sum.Calls, uint64(8*perRequester))
}

// TestBatchesAreByTime guards against one mirror message for each request.
func TestBatchesAreByTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		r := w.nodes[0].recorder
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.Run(ctx)
		var last Ticket
		for range 100 {
			last = r.Add("vogar", Figures{Calls: 1})
		}
		_, err := r.Wait(ctx, last)
		is.NoErr(err)
		is.Equal(r.Stats().SentTotals, uint64(wantedMirrors))
	})
}

// TestWaitWithoutMirrors guards against an answer that is held back because no
// mirror can be reached, and against such usage that is not counted.
func TestWaitWithoutMirrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.cut[0] = true
		r := w.nodes[0].recorder
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.Run(ctx)
		mirrors, err := r.Wait(ctx, r.Add("vogar", Figures{Calls: 1, PromptTokens: 7}))
		is.NoErr(err)
		is.Equal(mirrors, 0)
		is.Equal(r.Stats().AtRisk, Figures{Calls: 1, PromptTokens: 7})
		is.Equal(r.Stats().Unmirrored, Figures{Calls: 1, PromptTokens: 7})
		// Each mirror is tried once, then answers don't wait for it for a while.
		for range 10 {
			_, err = r.Wait(ctx, r.Add("surco", Figures{}))
			is.NoErr(err)
		}
		w.netMu.Lock()
		unreached := w.unreached
		// Once mirrors can be reached again, nothing is at risk.
		w.cut[0] = false
		w.netMu.Unlock()
		is.True(unreached < testSlots)
		time.Sleep(DefaultBackoff + 2*DefaultRecheck)
		synctest.Wait()
		is.Equal(r.Stats().AtRisk, Figures{})
		is.Equal(r.Stats().Unmirrored, Figures{Calls: 1, PromptTokens: 7})
	})
}

// TestTotalsKeptUntilSealed guards against nodes that drop totals which an owner
// has collected, when that owner is killed before it can seal them.
func TestTotalsKeptUntilSealed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.nodes[0].recorder.Add("vogar", Figures{Calls: 1})
		w.nodes[0].recorder.flush()
		time.Sleep(testWindow + testGrace)
		w.store.SetFault(func(op memstore.Op, _ string) memstore.Fault { return memstore.Fault{Refuse: op == memstore.OpPut} })
		for range 3 {
			_, err := w.step(w.processes[0])
			is.True(err != nil)
		}
		w.store.SetFault(nil)
		w.startProcess(0)
		_, err := w.step(w.processes[0])
		is.NoErr(err)
		is.Equal(w.reported()["vogar"], Figures{Calls: 1})
	})
}

// TestOwnerRun guards against an owner that misses a window, does not come back
// to a report that failed, or does not end.
func TestOwnerRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.billingFaults = []error{billing.ErrUnavailable}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		o := w.processes[0].owners[0]
		running.Go(func() { o.Run(ctx, time.Second) })
		time.Sleep(5*testWindow + testGrace + time.Second)
		cancel()
		running.Wait()
		// The first window is the newest one that was due at the start: 20 s before.
		is.Equal(o.Stats().Reported, uint64(7))
		is.Equal(len(w.reports), 7)
	})
}

// TestOutageSealsInOrder guards against windows that are skipped because nobody
// could seal them while the store was down, and against a successor that lists
// whole records to find the newest one.
func TestOutageSealsInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		p := w.processes[0]
		w.store.SetFault(func(memstore.Op, string) memstore.Fault { return memstore.Fault{Refuse: true} })
		for range 6 {
			w.nodes[1].recorder.Add("vogar", Figures{Calls: 1})
			w.nodes[1].recorder.flush()
			time.Sleep(testWindow)
			_, err := w.step(p)
			is.True(err != nil)
		}
		time.Sleep(testWindow)
		w.store.SetFault(nil)
		_, err := w.step(p)
		is.NoErr(err)
		shard := ShardOf("vogar", testShards)
		for window := range int64(6) {
			first := p.owners[shard].firstWindow
			report, ok := w.reports[fmt.Sprint(shard, "/", first+window*10)]
			is.True(ok)
			is.Equal(len(report.Figures), 1)
			is.Equal(report.Figures[0].Calls, uint64(1))
		}
		is.True(p.owners[shard].Stats().LateReports > 0)

		time.Sleep(4 * testWindow)
		lists, last := w.store.Calls()[memstore.OpList], p.owners[shard].latest.Window
		w.startProcess(0)
		_, err = w.step(w.processes[0])
		is.NoErr(err)
		is.Equal(w.store.Calls()[memstore.OpList], lists)
		is.Equal(w.processes[0].owners[shard].latest.Window, last+4*10)
		is.Equal(w.failed, "")
	})
}
