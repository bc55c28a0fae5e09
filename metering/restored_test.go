package metering

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/standin/memstore"
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
	sealed := holder.Windows.End(first).Add(holder.delayFraction(lateSealFraction))
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
