package metering

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

// TestRestoredStoreCausesNoSecondReport guards against a window that is reported twice with
// different figures because the store came back from a copy without the sealed figures.
// The load: requests of three nodes, one of which is killed before it publishes its counts. The
// holder of the duty is killed while the store is away, after its report was accepted.
func TestRestoredStoreCausesNoSecondReport(t *testing.T) {
	is := is.New(t)
	st, b := memstore.New(), &fakeBilling{reports: map[int64]map[string]int64{}}
	holder, next := newTestNode("a", st, b, start), newTestNode("b", st, b, start)
	holder.duty.held = true
	window := holder.Windows.At(start)
	holder.Counter.RequestStarted("w", start)
	next.Counter.RequestStarted("w", start)
	holder.Heard.Update("killed", window, Counts{"w": 5}, true)
	end := holder.Windows.End(window)
	run := func(from, until time.Time) {
		for at := from; !at.After(until); at = at.Add(tickInterval) {
			holder.clock.now, next.clock.now = at, at
			next.tick()
			holder.tick()
		}
	}
	run(end, end.Add(FinalDelay))
	earlier := st.Copy() // with the published counts
	reportAt := end.Add(holder.delayFraction(lateSealFraction))
	run(end.Add(FinalDelay), reportAt)
	is.Equal(b.reports[window], map[string]int64{"w": 7}) // accepted before the restore
	st.Restore(earlier)
	next.duty.held, next.duty.token = true, 2
	for at := reportAt; !at.After(end.Add(next.Delay)); at = at.Add(tickInterval) {
		next.clock.now = at
		next.tick()
	}
	is.Equal(b.reports[window], map[string]int64{"w": 7})
	is.Equal(b.conflicts, 0)
}

// TestCountsArePublishedAgainAfterRestore guards against usage that is missing for good because
// the published counts of a node went with the copy. The load: one request of a node that is not
// the holder; the store is restored after its counts were acknowledged and before the window is
// sealed.
func TestCountsArePublishedAgainAfterRestore(t *testing.T) {
	is := is.New(t)
	st, b := memstore.New(), &fakeBilling{reports: map[int64]map[string]int64{}}
	holder, other := newTestNode("a", st, b, start), newTestNode("b", st, b, start)
	window := holder.Windows.At(start)
	other.Counter.RequestStarted("w", start)
	earlier := st.Copy()
	end := holder.Windows.End(window)
	published := end.Add(FinalDelay)
	other.clock.now = published
	other.tick()
	st.Restore(earlier)
	holder.duty.held = true
	for at := published; !at.After(end.Add(holder.Delay)); at = at.Add(tickInterval) {
		holder.clock.now, other.clock.now = at, at
		other.tick()
		holder.tick()
	}
	is.Equal(b.reports[window], map[string]int64{"w": 1})
}

// TestWindowIsSealedAfterRestore guards against windows that are never reported because the lease
// of the usage data went with the copy. The load: a request in each of two windows; the store
// is restored between them.
func TestWindowIsSealedAfterRestore(t *testing.T) {
	is := is.New(t)
	st, b := memstore.New(), &fakeBilling{reports: map[int64]map[string]int64{}}
	holder := newTestNode("a", st, b, start)
	holder.duty.held = true
	first := holder.Windows.At(start)
	holder.Counter.RequestStarted("w", start)
	sealed := holder.Windows.End(first).Add(holder.delayFraction(sealFraction))
	run := func(from, until time.Time) {
		for at := from; !at.After(until); at = at.Add(tickInterval) {
			holder.clock.now = at
			holder.tick()
		}
	}
	run(start, sealed)
	is.Equal(b.reports[first], map[string]int64{"w": 1})
	st.Restore(nil)
	holder.Counter.RequestStarted("w", sealed)
	run(sealed, holder.Windows.End(first+1).Add(holder.Delay))
	is.Equal(b.reports[first+1], map[string]int64{"w": 1})
	is.Equal(b.conflicts, 0)
}

// TestHoldersReportSameFiguresOverRestores guards against two different reports of one window when
// the store is restored, once or again and again, with lost answers, during outages, and with
// holders that are killed or frozen. The load: requests at three nodes, each with its own view of
// the store; copies of any age; nodes that start anew. As the lease of the duty does, the test
// gives it to no node within the lease time after the node has seen a new era, and takes it from a
// holder that has seen one.
func TestHoldersReportSameFiguresOverRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		st, b := memstore.New(), &fakeBilling{reports: map[int64]map[string]int64{}}
		started := 0
		var nodes [3]*testNode
		var clients [3]*memstore.Store
		var heldIn [3]store.Era
		startNode := func(i int, at time.Time) {
			started++
			clients[i] = st.NewClient()
			nodes[i] = newTestNode(fmt.Sprintf("n%d", started), clients[i], b, at)
			nodes[i].OnSealed = func(window int64, counts Counts) {
				for _, other := range nodes {
					if rapid.Bool().Draw(t, "announcement arrives") {
						_ = other.Seals.Add(window, counts)
					}
				}
			}
		}
		for i := range nodes {
			startNode(i, start)
		}
		copies := []*memstore.Copy{st.Copy()}
		const step, leaseTime = 250 * time.Millisecond, 3 * time.Second
		freeAt := start
		for s := range 160 {
			at := start.Add(time.Duration(s) * step)
			b.loseResponse = rapid.IntRange(0, 3).Draw(t, "lose") == 0
			outage := rapid.IntRange(0, 7).Draw(t, "outage") == 0
			st.SetFault(func(memstore.Op, string) memstore.Fault {
				n := rapid.IntRange(0, 9).Draw(t, "fault")
				return memstore.Fault{Refuse: outage || n == 0, LoseAnswer: n == 1}
			})
			if rapid.IntRange(0, 15).Draw(t, "copy") == 0 {
				copies = append(copies, st.Copy())
			}
			if rapid.IntRange(0, 19).Draw(t, "restore") == 0 {
				st.Restore(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "which copy")])
				freeAt = at.Add(leaseTime)
			}
			if rapid.IntRange(0, 15).Draw(t, "kill") == 0 {
				i := rapid.IntRange(0, 2).Draw(t, "killed")
				if nodes[i].duty.held {
					freeAt = at.Add(leaseTime)
				}
				startNode(i, at)
			}
			holder := rapid.IntRange(0, 2).Draw(t, "holder")
			for i, n := range nodes {
				n.clock.now = at
				if n.duty.held && clients[i].Eras.Current() != heldIn[i] {
					n.duty.held, freeAt = false, at.Add(leaseTime)
				}
			}
			if none := !nodes[0].duty.held && !nodes[1].duty.held && !nodes[2].duty.held; none && !at.Before(freeAt) {
				if _, err := clients[holder].Get(t.Context(), "duty"); errors.Is(err, store.ErrNotFound) {
					nodes[holder].duty.held, heldIn[holder] = true, clients[holder].Eras.Current()
				}
			}
			for i, n := range nodes {
				if frozen := rapid.IntRange(0, 4).Draw(t, "frozen") == 0; frozen {
					continue
				}
				if rapid.Bool().Draw(t, "request") {
					n.Counter.RequestStarted("w", at)
				}
				n.tick()
				if n.duty.held && clients[i].Eras.Current() != heldIn[i] {
					n.duty.held, freeAt = false, at.Add(leaseTime)
				}
			}
		}
		if b.conflicts > 0 {
			t.Fatalf("%d windows were reported with different figures", b.conflicts)
		}
	})
}

// TestWindowIsWithheldIfItsSealMayBeLost guards against other figures for a window whose seal was
// lost together with all that knew of it. The load: the holder and all nodes that had its
// announcement are killed as the store is restored; the next holder starts after it.
func TestWindowIsWithheldIfItsSealMayBeLost(t *testing.T) {
	is := is.New(t)
	st, b := memstore.New(), &fakeBilling{reports: map[int64]map[string]int64{}}
	holder := newTestNode("a", st, b, start)
	holder.duty.held = true
	window := holder.Windows.At(start)
	holder.Counter.RequestStarted("w", start)
	end := holder.Windows.End(window)
	earlier := st.Copy()
	sealed := end.Add(holder.delayFraction(sealFraction))
	for at := end; !at.After(sealed); at = at.Add(tickInterval) {
		holder.clock.now = at
		holder.tick()
	}
	is.Equal(b.reports[window], map[string]int64{"w": 1})
	st.Restore(earlier)
	next := newTestNode("b", st.NewClient(), b, sealed)
	next.duty.held = true
	next.Heard.Update("c", window, Counts{"x": 1}, true)
	for at := sealed; !at.After(end.Add(next.Delay)); at = at.Add(tickInterval) {
		next.clock.now = at
		next.tick()
	}
	is.Equal(b.conflicts, 0)
	is.Equal(next.Withheld.Load(), int64(1))
}

// TestAnnouncedSealIsReportedByNextHolder guards against usage that is lost although another node
// knows the sealed figures. The load: a holder that is killed as the store is restored, after it
// has announced the figures and before its report was accepted.
func TestAnnouncedSealIsReportedByNextHolder(t *testing.T) {
	is := is.New(t)
	st, b := memstore.New(), &fakeBilling{reports: map[int64]map[string]int64{}}
	next := newTestNode("b", st, b, start)
	window := next.Windows.At(start)
	end := next.Windows.End(window)
	is.NoErr(next.Seals.Add(window, Counts{"w": 7}))
	st.Restore(nil)
	next.duty.held = true
	for at := end.Add(4 * time.Second); !at.After(end.Add(next.Delay)); at = at.Add(tickInterval) {
		next.clock.now = at
		next.tick()
	}
	is.Equal(b.reports[window], map[string]int64{"w": 7})
	entry, err := st.Get(t.Context(), sealedKey(window))
	is.NoErr(err)
	is.Equal(string(entry.Value), `{"w":7}`) // written again for later holders
}

// TestRestoreNoticedWhileSealing guards against figures that are sealed anew in the round in which
// the node learns that the store was restored. The load: a node that has not called the store since
// before the restore, and a window that another node has reported.
func TestRestoreNoticedWhileSealing(t *testing.T) {
	is := is.New(t)
	st, b := memstore.New(), &fakeBilling{reports: map[int64]map[string]int64{}}
	n := newTestNode("b", st.NewClient(), b, start)
	window := n.Windows.At(start)
	b.reports[window] = map[string]int64{"w": 7}
	n.Heard.Update("c", window, Counts{"w": 1}, true)
	_, _, err := n.Store.List(t.Context(), countsPrefix)
	is.NoErr(err)
	st.Restore(nil)
	n.duty.held = true
	n.clock.now = n.Windows.End(window).Add(n.delayFraction(lateSealFraction))
	n.tick()
	is.Equal(b.conflicts, 0)
	is.Equal(b.calls, 0)
}

// TestLateStarterReportsWindowsOfKnownEra guards against windows that are withheld although the
// store was restored long before, because the holder has just started. The load: a holder that is
// killed before it seals a window, and a new process that takes over.
func TestLateStarterReportsWindowsOfKnownEra(t *testing.T) {
	is := is.New(t)
	st, b := memstore.New(), &fakeBilling{reports: map[int64]map[string]int64{}}
	st.Restore(nil)
	holder := newTestNode("a", st.NewClient(), b, start)
	holder.duty.held = true
	later := start.Add(time.Minute)
	window := holder.Windows.At(later)
	end := holder.Windows.End(window)
	for at := start; at.Before(end); at = at.Add(tickInterval) {
		holder.clock.now = at
		holder.tick()
	}
	next := newTestNode("b", st.NewClient(), b, end)
	next.Heard.Update("c", window, Counts{"w": 4}, true)
	next.duty.held = true
	for at := end.Add(2 * time.Second); !at.After(end.Add(next.Delay)); at = at.Add(tickInterval) {
		next.clock.now = at
		next.tick()
	}
	is.Equal(b.reports[window], map[string]int64{"w": 4})
	is.Equal(next.Withheld.Load(), int64(0))
}

// TestDifferentSealsAreNotReported guards against a report although two holders have sealed other
// figures for the window.
func TestDifferentSealsAreNotReported(t *testing.T) {
	is := is.New(t)
	s := NewSeals()
	is.NoErr(s.Add(7, Counts{"w": 1}))
	is.NoErr(s.Add(7, Counts{"w": 1}))
	is.True(errors.Is(s.Add(7, Counts{"w": 2}), errSealsDiffer))
	counts, known := s.get(7)
	is.True(known)
	is.Equal(counts, Counts{"w": 1})
	is.NoErr(s.Add(7+maxKnownSeals, Counts{}))
	_, known = s.get(7)
	is.True(!known) // memory is bounded
}

// TestWindowSealableJustAfterRestoreIsWithheld guards against a report of a window that the former
// holder may have sealed by a clock that is ahead. The load: a request in each of two windows; the
// store is restored less than the clock error before the second one could be sealed.
func TestWindowSealableJustAfterRestoreIsWithheld(t *testing.T) {
	is := is.New(t)
	st, b := memstore.New(), &fakeBilling{reports: map[int64]map[string]int64{}}
	holder := newTestNode("a", st, b, start)
	holder.duty.held = true
	first := holder.Windows.At(start)
	holder.Counter.RequestStarted("w", start)
	restoredAt := holder.Windows.End(first).Add(holder.delayFraction(lateSealFraction))
	run := func(from, until time.Time) {
		for at := from; !at.After(until); at = at.Add(tickInterval) {
			holder.clock.now = at
			holder.tick()
		}
	}
	second := holder.Windows.End(first).Add(time.Second)
	run(start, second)
	holder.Counter.RequestStarted("w", second)
	run(second, restoredAt)
	is.Equal(b.reports[first], map[string]int64{"w": 1})
	st.Restore(nil)
	run(restoredAt, holder.Windows.End(first+1).Add(holder.Delay))
	_, reported := b.reports[first+1]
	is.True(!reported)
	is.Equal(holder.Withheld.Load(), int64(1))
}
