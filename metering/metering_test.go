package metering

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

// fakeClock is a TrueTime that returns the time set by the test.
type fakeClock struct{ now time.Time }

func (c *fakeClock) At(time.Time) time.Time { return c.now }

type fakeDuty struct {
	token uint64
	held  bool
}

func (d *fakeDuty) FencingToken() (uint64, bool) { return d.token, d.held }
func (d *fakeDuty) MarkLost()                    { d.held = false }

// fakeBilling records reports like the platform.
type fakeBilling struct {
	reports map[int64]map[string]int64
	// conflicts counts reports that differ from an earlier report of the same window.
	conflicts    int
	loseResponse bool
	calls        int
}

var errResponseLost = errors.New("response lost")

func (b *fakeBilling) ReportUsage(_ context.Context, _ uint64, window int64, counts map[string]int64) error {
	b.calls++
	if old, ok := b.reports[window]; ok && fmt.Sprint(old) != fmt.Sprint(counts) {
		b.conflicts++
	}
	b.reports[window] = counts
	if b.loseResponse {
		return errResponseLost
	}
	return nil
}

const testWindow = 5 * time.Second

type testNode struct {
	*Reporter
	duty  *fakeDuty
	clock *fakeClock
}

func newTestNode(name string, st store.Store, b *fakeBilling, at time.Time) *testNode {
	windows := Windows{testWindow}
	c, d := &fakeClock{at}, &fakeDuty{token: 1}
	r := &Reporter{
		Counter: NewCounter(windows, c), Windows: windows, Clock: c, Store: st, Duty: d, Sender: b,
		Incarnation: name, Heard: NewReceivedCounts(), Seals: NewSeals(), Delay: 10 * time.Second,
		Fenced: func(error) bool { return false }, Log: logr.Discard(),
		published: make(map[int64]*publication), reported: make(map[int64]bool),
		retryAt: make(map[int64]time.Time),
	}
	if s, ok := st.(*memstore.Store); ok {
		r.Era = s.Eras.Current
	}
	return &testNode{r, d, c}
}

func (n *testNode) tick() {
	n.updateEra(n.now())
	n.publish(context.Background(), n.now(), FinalDelay)
	n.reportDue(context.Background(), n.now())
}

var start = time.Unix(1_700_000_000, 0)

// TestReportIncludesAllNodes guards against reports without the counts that other nodes
// published, or that a node sent directly before it was killed.
func TestReportIncludesAllNodes(t *testing.T) {
	is := is.New(t)
	st, b := memstore.New(), &fakeBilling{reports: map[int64]map[string]int64{}}
	holder, other := newTestNode("a", st, b, start), newTestNode("b", st, b, start)
	holder.duty.held = true
	window := holder.Windows.At(start)
	holder.Counter.RequestStarted("w", start)
	other.Counter.RequestStarted("w", start)
	other.Counter.RequestStarted("x", start)
	holder.Heard.Update("dead", window, Counts{"w": 5}, false)
	holder.Heard.Update("b", window, Counts{"w": 1}, false)
	for s := range 13 {
		at := start.Add(time.Duration(s) * time.Second)
		holder.clock.now, other.clock.now = at, at
		other.tick()
		holder.tick()
	}
	is.Equal(b.reports[window], map[string]int64{"w": 7, "x": 1})
	is.Equal(b.calls, 1)
}

// TestCompleteWindowIsSealedEarly guards against a report that is missed in a store outage
// although the counts of all nodes were known before, in a fleet where some node is always
// idle, restarting or gone.
func TestCompleteWindowIsSealedEarly(t *testing.T) {
	is := is.New(t)
	st, b := memstore.New(), &fakeBilling{reports: map[int64]map[string]int64{}}
	holder := newTestNode("a", st, b, start)
	holder.duty.held = true
	window := holder.Windows.At(start)
	end := holder.Windows.End(window)
	sealAt := end.Add(holder.delayFraction(sealFraction))
	holder.lastSealed = map[string]Counts{"idle": {"w": 1}, "killed": {"w": 1}, "late": {"w": 1}}
	holder.Heard.Update("idle", window, nil, true)
	holder.Heard.Update("late", window, Counts{"w": 2}, false)
	holder.Heard.Update("killed", window, Counts{"w": 3}, false)
	holder.Heard.End("killed")
	holder.clock.now = sealAt
	holder.tick()
	is.Equal(b.calls, 0) // a node may still send more
	holder.Heard.Update("late", window, Counts{"w": 4}, true)
	holder.clock.now = sealAt.Add(sealRetryDelay)
	holder.tick()
	is.Equal(b.reports[window], map[string]int64{"w": 7})
	is.True(holder.clock.now.Before(end.Add(holder.delayFraction(lateSealFraction))))
}

// TestReportWaitsForPartitionedNodes guards against figures without the requests of nodes
// that can reach neither the store nor the holder until some seconds after the end of a
// window.
func TestReportWaitsForPartitionedNodes(t *testing.T) {
	is := is.New(t)
	st, b := memstore.New(), &fakeBilling{reports: map[int64]map[string]int64{}}
	partitioned := &partitionedStore{Store: st}
	holder, other := newTestNode("a", st, b, start), newTestNode("b", partitioned, b, start)
	holder.duty.held = true
	first := holder.Windows.At(start)
	for s := range 40 {
		at := start.Add(time.Duration(s) * 500 * time.Millisecond)
		holder.clock.now, other.clock.now = at, at
		partitioned.unreachable = s >= 14 && s < 32 // from 2 s into the second window to 6 s after its end
		if s < 20 && s%2 == 0 {
			holder.Counter.RequestStarted("w", at)
			other.Counter.RequestStarted("w", at)
		}
		other.tick()
		holder.tick()
	}
	is.Equal(b.reports[first], map[string]int64{"w": 10})
	is.Equal(b.reports[first+1], map[string]int64{"w": 10})
	is.Equal(b.conflicts, 0)
}

// TestRefusedPublicationsAreNotRepeatedAtOnce guards against a flood of calls to a store
// that refuses many nodes for seconds.
func TestRefusedPublicationsAreNotRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	st, b := memstore.New(), &fakeBilling{reports: map[int64]map[string]int64{}}
	n := newTestNode("a", st, b, start)
	n.Counter.RequestStarted("w", start)
	st.SetFault(func(memstore.Op, string) memstore.Fault { return memstore.Fault{Refuse: true} })
	const refusedFor = 9 * time.Second
	ended := n.Windows.End(n.Windows.At(start)).Add(FinalDelay)
	for at := ended; at.Before(ended.Add(refusedFor)); at = at.Add(tickInterval) {
		n.clock.now = at
		n.tick()
	}
	is.True(st.Calls()[memstore.OpGrant] <= int(refusedFor/publishRetryDelay)+1)
	st.SetFault(nil)
	n.clock.now = ended.Add(refusedFor + publishRetryDelay)
	n.tick()
	is.Equal(st.Calls()[memstore.OpPut], 1)
}

// partitionedStore is one node's connection to the store. Writes fail while unreachable.
type partitionedStore struct {
	*memstore.Store
	unreachable bool
}

func (s *partitionedStore) Put(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	if s.unreachable {
		return 0, store.ErrUnavailable
	}
	return s.Store.Put(ctx, key, value, expected, lease)
}

// TestHoldersReportSameFigures guards against two different reports of one window when the
// holder changes or a response is lost.
func TestHoldersReportSameFigures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		st, b := memstore.New(), &fakeBilling{reports: map[int64]map[string]int64{}}
		var nodes []*testNode
		var stores []*partitionedStore
		for _, name := range []string{"a", "b", "c"} {
			nodeStore := &partitionedStore{Store: st}
			stores = append(stores, nodeStore)
			nodes = append(nodes, newTestNode(name, nodeStore, b, start))
		}
		for s := range 120 {
			at := start.Add(time.Duration(s) * 250 * time.Millisecond)
			b.loseResponse = rapid.IntRange(0, 3).Draw(t, "lose") == 0
			st.SetFault(func(memstore.Op, string) memstore.Fault {
				n := rapid.IntRange(0, 9).Draw(t, "fault")
				return memstore.Fault{Refuse: n == 0, LoseAnswer: n == 1}
			})
			holder := rapid.IntRange(0, 2).Draw(t, "holder")
			for i, n := range nodes {
				n.clock.now = at
				if s%12 == 0 {
					stores[i].unreachable = rapid.IntRange(0, 2).Draw(t, "away") == 0
				}
				if s%40 == 0 {
					n.duty.held = i == holder
				}
				if rapid.Bool().Draw(t, "request") {
					n.Counter.RequestStarted("w", at)
				}
				n.tick()
			}
		}
		if b.conflicts > 0 {
			t.Fatalf("%d windows were reported with different figures", b.conflicts)
		}
	})
}

// TestStoppingNodePublishesCurrentWindow guards against losing the counts of a node that
// stops gracefully.
func TestStoppingNodePublishesCurrentWindow(t *testing.T) {
	is := is.New(t)
	st, b := memstore.New(), &fakeBilling{reports: map[int64]map[string]int64{}}
	n := newTestNode("a", st, b, start)
	n.Counter.RequestStarted("w", start)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.Run(ctx)
	entries, _, err := st.List(context.Background(), countsPrefix)
	is.NoErr(err)
	is.Equal(len(entries), 1)
	is.Equal(string(entries[0].Value), `{"w":1}`)
}

// TestInvalidCountsAreSkipped guards against one invalid entry that prevents the report of
// a window.
func TestInvalidCountsAreSkipped(t *testing.T) {
	is := is.New(t)
	st, b := memstore.New(), &fakeBilling{reports: map[int64]map[string]int64{}}
	n := newTestNode("a", st, b, start)
	n.duty.held = true
	window := n.Windows.At(start)
	for i, raw := range []string{`{"w":-4}`, `[]`, `{"":3}`} {
		_, err := st.Put(context.Background(), fmt.Sprintf("%sx%d", countsKey(window), i), []byte(raw), 0, store.NoLease)
		is.NoErr(err)
	}
	n.Counter.RequestStarted("w", start)
	n.clock.now = start.Add(10 * time.Second)
	n.tick()
	is.Equal(b.reports[window], map[string]int64{"w": 1})
}
