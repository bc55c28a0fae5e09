package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// limit is the quota of most tests.
var limit = Limit{PerSecond: 100, Burst: 100}

// The loads of the tests, in amounts per second: well below the quota, and far above it.
const (
	below = 60
	above = 600
)

// TestQuotaIsUsableThroughOneNode guards against a quota that is divided among nodes beforehand: one
// node gets all requests of the workspace, at any node.
func TestQuotaIsUsableThroughOneNode(t *testing.T) {
	is := is.New(t)
	for _, nodes := range []int{1, 2, 7, 30} {
		f := newFleet(t, nodes, limit)
		f.run(3*time.Second, nil)
		for node := range min(nodes, 3) {
			f.forget()
			f.run(10*time.Second, f.flow(below, 1, node))
			is.Equal(f.refused, 0)
			f.run(10*time.Second, f.flow(above, 1, node))
			f.checkBound()
			is.True(f.total() >= 0.98*10*(below+limit.PerSecond)) // the quota is used
			f.run(3*time.Second, nil)
		}
	}
}

// TestBurstIsGrantedOnce guards against a burst that is refused although it was saved up, and
// against one that each node grants again.
func TestBurstIsGrantedOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 7, limit)
	f.run(3*time.Second, nil)
	burst := func(perNode int) {
		for i := range f.nodes {
			for range perNode {
				f.request(i, 1)
			}
		}
		f.run(100*time.Millisecond, nil)
	}
	burst(14)
	is.Equal(f.refused, 0)
	is.Equal(len(f.sent), 98)
	burst(50)
	is.True(len(f.sent) <= 125) // the burst, and the rate for 200 ms
	f.checkBound()
}

// TestManyNodesWithFewRequestsEach guards against permits that are stranded on nodes with few
// requests: each of the nodes sends a request now and then.
func TestManyNodesWithFewRequestsEach(t *testing.T) {
	is := is.New(t)
	for _, nodes := range []int{87, 490} {
		f := newFleet(t, nodes, limit)
		f.run(1500*time.Millisecond, nil)
		f.messages = 0
		f.run(2*time.Second, f.flow(below, 1))
		is.Equal(f.refused, 0)
		t.Logf("%d nodes: %.1f messages per second and node", nodes, float64(f.messages)/2/float64(nodes))
		f.run(2*time.Second, f.flow(above, 1))
		f.checkBound()
		is.True(f.total() >= 0.98*2*(below+limit.PerSecond))
	}
}

// TestLoweredQuotaBinds guards against permits that were saved up under the higher quota, and
// against a debt under it that blocks the workspace: the quota falls far below the traffic.
func TestLoweredQuotaBinds(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 7, limit)
	f.run(10*time.Second, f.flow(above, 1))
	f.checkBound()
	f.setLimit(Limit{PerSecond: 5, Burst: 5})
	f.forget()
	f.run(20*time.Second, f.flow(above, 1))
	f.checkBound()
	is.True(f.total() >= 0.9*5*20)
	f.setLimit(limit)
	f.forget()
	f.run(10*time.Second, f.flow(above, 1))
	f.checkBound()
	is.True(f.total() >= 0.98*limit.PerSecond*10)
}

// TestGranterDies guards against a workspace that is refused, or gets its quota twice, because its
// granter has crashed. The list of nodes shows that 3 s later.
func TestGranterDies(t *testing.T) {
	for _, nodes := range []int{3, 7, 87} {
		for _, perSecond := range []float64{below, above} {
			f := newFleet(t, nodes, limit)
			f.run(3*time.Second, f.flow(perSecond, 1))
			f.forget()
			dead := f.granter()
			f.nodes[dead].up = false
			f.run(3*time.Second, f.flow(perSecond, 1))
			for _, i := range f.others(dead) {
				f.setView(i, f.others(dead))
			}
			f.run(10*time.Second, f.flow(perSecond, 1))
			f.checkBound()
			f.checkServed(perSecond, 13, 0)
		}
	}
}

// TestGranterIsPaused guards against a granter that grants from a full bucket after a pause in which
// another one granted in its place.
func TestGranterIsPaused(t *testing.T) {
	is := is.New(t)
	for _, perSecond := range []float64{below, above} {
		for _, pause := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, time.Second, 5 * time.Second} {
			f := newFleet(t, 7, limit)
			f.run(3*time.Second, f.flow(perSecond, 1))
			f.forget()
			for range 3 {
				f.nodes[f.granter()].pausedUntil = f.now.Add(pause)
				f.run(pause+2*time.Second, f.flow(perSecond, 1))
			}
			f.checkBound()
			if perSecond == below {
				is.Equal(f.refused, 0)
			}
		}
	}
}

// TestPartition guards against two sides of a network partition that each grant the whole quota,
// and against one that grants nothing. Nodes on one side have no granter when it is small.
func TestPartition(t *testing.T) {
	for _, nodes := range []int{7, 87} {
		for _, cut := range []int{1, nodes / 3, nodes / 2} {
			t.Run(fmt.Sprintf("%d of %d", cut, nodes), func(t *testing.T) {
				for _, perSecond := range []float64{below, above} {
					f := newFleet(t, nodes, limit)
					f.run(4*time.Second, f.flow(perSecond, 1))
					f.forget()
					first := f.granter()
					for i := range cut {
						f.nodes[(first+i)%nodes].side = 1
					}
					f.run(12*time.Second, f.flow(perSecond, 1))
					for _, n := range f.nodes {
						n.side = 0
					}
					f.run(8*time.Second, f.flow(perSecond, 1))
					f.checkBound()
					f.checkServed(perSecond, 20, 0.01)
				}
			})
		}
	}
}

// TestCutOffNodesLeaveTheList guards against nodes that go on with their share after the others have
// divided it among themselves, because they are cut off from the store too and left the list.
func TestCutOffNodesLeaveTheList(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 7, limit)
	f.run(3*time.Second, nil)
	cut := []int{f.granter(), (f.granter() + 1) % 7, (f.granter() + 2) % 7}
	for _, i := range cut {
		f.nodes[i].side, f.nodes[i].storeAway = 1, true
	}
	f.run(3*time.Second, f.flow(above, 1))
	for _, i := range f.others(cut...) {
		f.setView(i, f.others(cut...))
	}
	f.run(20*time.Second, f.flow(above, 1))
	f.checkBound()
	f.forget()
	f.run(10*time.Second, f.flow(above, 1))
	is.True(f.total() >= 0.98*limit.PerSecond*10)
}

// TestBurstsOnBothSidesOfAPartition guards against a burst that each side of a network partition
// grants: the workspace was idle, and both sides get a burst at once.
func TestBurstsOnBothSidesOfAPartition(t *testing.T) {
	for _, nodes := range []int{7, 87} {
		for _, wait := range []time.Duration{0, 300 * time.Millisecond, 5 * time.Second} {
			f := newFleet(t, nodes, Limit{PerSecond: 100, Burst: 800})
			f.run(12*time.Second, nil)
			for i := range nodes / 2 {
				f.nodes[(f.granter()+i)%nodes].side = 1
			}
			f.run(wait, nil)
			f.run(10*time.Second, f.flow(2000, 1))
			f.checkBound()
		}
	}
}

// TestDatagramsAreLostLateOrRepeated guards against permits that are counted twice, and against a
// workspace that is refused because of a lost message.
func TestDatagramsAreLostLateOrRepeated(t *testing.T) {
	for _, c := range []struct {
		loss, repeat float64
		maxDelay     time.Duration
	}{{0.03, 0, 3 * time.Millisecond}, {0.3, 0, 3 * time.Millisecond}, {0, 0.3, 3 * time.Millisecond}, {0, 0, 50 * time.Millisecond}, {0.03, 0.1, 200 * time.Millisecond}} {
		for _, perSecond := range []float64{below, above} {
			f := newFleet(t, 7, limit)
			f.loss, f.repeat, f.maxDelay = c.loss, c.repeat, c.maxDelay
			f.run(3*time.Second, nil)
			f.run(20*time.Second, f.flow(perSecond, 1))
			t.Logf("loss %v, repeat %v, delay %v", c.loss, c.repeat, c.maxDelay)
			f.checkBound()
			f.checkServed(perSecond, 20, 0.01)
		}
	}
}

// TestNodesWithDifferentLists guards against granters that don't know of each other, because some
// nodes don't know the first granter and others know a node that is gone.
func TestNodesWithDifferentLists(t *testing.T) {
	for _, perSecond := range []float64{below, above} {
		f := newFleet(t, 9, limit)
		first := f.granter()
		for i := range f.nodes {
			if i != first && i%2 == 0 {
				f.setView(i, f.others(first))
			}
		}
		f.run(3*time.Second, f.flow(perSecond, 1))
		f.forget()
		f.run(16*time.Second, f.flow(perSecond, 1))
		f.checkBound()
		f.checkServed(perSecond, 16, 0)
	}
}

// TestHalfOfTheNodesRestart guards against nodes that grant a burst again after a restart, and
// against a workspace that is refused until they know what was granted.
func TestHalfOfTheNodesRestart(t *testing.T) {
	for _, nodes := range []int{7, 87} {
		for _, perSecond := range []float64{below, above} {
			for _, with := range []int{0, 1} { // with the granter or without it
				f := newFleet(t, nodes, limit)
				f.run(3*time.Second, f.flow(perSecond, 1))
				f.forget()
				f.run(8*time.Second, f.flow(perSecond, 1))
				first := f.granter()
				var stopped []int
				for i := range nodes / 2 {
					stopped = append(stopped, (first+with+i)%nodes)
				}
				for _, i := range stopped {
					f.nodes[i].up = false
				}
				f.run(700*time.Millisecond, f.flow(perSecond, 1))
				for _, i := range stopped {
					f.start(i)
				}
				f.run(8*time.Second, f.flow(perSecond, 1))
				f.checkBound()
				f.checkServed(perSecond, 16, 0)
			}
		}
	}
}

// TestLargeRequestsAreServed guards against a request above the burst that is never sent, alone and
// among small ones that use the whole rate, and against one that breaks the bound.
func TestLargeRequestsAreServed(t *testing.T) {
	is := is.New(t)
	for _, small := range []float64{0, below, above} {
		f := newFleet(t, 7, limit)
		f.run(3*time.Second, nil)
		large := 0
		f.run(60*time.Second, func(i int) {
			if small > 0 {
				f.flow(small, 1)(i)
			}
			if i == 3 && f.step()%100 == 0 {
				f.nodes[i].limiter.Request(f.now, workspaceName, 300, func(granted bool, _ time.Duration) {
					if granted {
						large++
						f.sent = append(f.sent, grantedAmount{f.now, 300})
					}
				})
			}
		})
		f.checkBound()
		t.Logf("%d large requests beside %v small ones per second", large, small)
		is.True(large >= 2)
	}
	// A request that no window has room for is refused for good.
	f := newFleet(t, 3, limit)
	f.run(20*time.Second, nil)
	f.request(0, int64(f.bound())+1)
	f.run(time.Second, nil)
	is.Equal(f.refused, 1)
}

// TestPermitsThatWereNotUsedAreGivenBack guards against a quota that is used up by requests that
// were not sent, and against a return that counts twice.
func TestPermitsThatWereNotUsedAreGivenBack(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 7, limit)
	f.repeat = 0.5
	f.run(3*time.Second, nil)
	f.run(10*time.Second, func(i int) {
		f.nodes[i].limiter.Request(f.now, workspaceName, 1, func(granted bool, _ time.Duration) {
			if granted {
				f.after(tick, func() { f.nodes[i].limiter.Return(f.now, workspaceName, 1) })
			}
		})
	})
	f.run(time.Second, nil)
	for range 90 {
		f.request(1, 1)
	}
	f.run(time.Second, nil)
	is.Equal(f.refused, 0)
	f.run(8*time.Second, f.flow(above, 1))
	f.checkBound()
}

// TestWorkspaceWithoutQuotaIsNotLimited guards against a limit on workspaces that have none, and
// against requests that wait for a quota that was removed.
func TestWorkspaceWithoutQuotaIsNotLimited(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 7, limit)
	granted := 0
	done := func(ok bool, _ time.Duration) {
		if ok {
			granted++
		}
	}
	node := (f.granter() + 1) % len(f.nodes)
	f.nodes[node].limiter.Request(f.now, "other", 1<<50, done)
	is.Equal(granted, 1)
	f.nodes[node].limiter.Request(f.now, workspaceName, 50, done)
	is.Equal(granted, 1)
	f.nodes[node].limiter.SetLimits(f.now, nil)
	is.Equal(granted, 2)
	is.True(!f.nodes[node].limiter.Active())
}

// TestRequestOfRemovedQuotaIsGranted guards against a request that waits until its deadline because the
// quota of its workspace was removed after the request had looked it up.
func TestRequestOfRemovedQuotaIsGranted(t *testing.T) {
	is := is.New(t)
	w := newWorkspace("a", Limit{PerSecond: 1})
	l := New("n", 1, Options{Window: time.Second})
	w.end()
	l.byName.Store(&map[string]*workspace{"a": w})
	granted := false
	l.Request(time.Now(), "a", 5, func(ok bool, _ time.Duration) { granted = ok })
	is.True(granted)
}
