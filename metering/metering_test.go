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

// clock is a true time that tests move.
type clock struct{ now time.Time }

func (c *clock) At(time.Time) time.Time { return c.now }

type duty struct {
	token uint64
	held  bool
}

func (d *duty) Fence() (uint64, bool) { return d.token, d.held }
func (d *duty) GiveUp()               { d.held = false }

// billing records reports as the platform does.
type billing struct {
	reports map[int64]map[string]int64
	// conflicts counts windows that were reported twice with other figures.
	conflicts int
	lose      bool
	calls     int
}

var errLost = errors.New("answer lost")

func (b *billing) ReportUsage(_ context.Context, _ uint64, window int64, counts map[string]int64) error {
	b.calls++
	if old, ok := b.reports[window]; ok && fmt.Sprint(old) != fmt.Sprint(counts) {
		b.conflicts++
	}
	b.reports[window] = counts
	if b.lose {
		return errLost
	}
	return nil
}

const testWindow = 5 * time.Second

type node struct {
	*Reporter
	duty  *duty
	clock *clock
}

func newNode(name string, st store.Store, b *billing, at time.Time) *node {
	windows := Windows{testWindow}
	c, d := &clock{at}, &duty{token: 1}
	r := &Reporter{
		Counter: NewCounter(windows, c), Windows: windows, Clock: c, Store: st, Duty: d, Sender: b,
		Incarnation: name, Heard: NewHeard(), Delay: 10 * time.Second,
		Fenced: func(error) bool { return false }, Log: logr.Discard(),
		published: make(map[int64]*publication), reported: make(map[int64]bool),
		retryAt: make(map[int64]time.Time),
	}
	return &node{r, d, c}
}

func (n *node) tick() {
	n.publish(context.Background(), n.now(), publishDelay)
	n.report(context.Background(), n.now())
}

var start = time.Unix(1_700_000_000, 0)

// TestWindowIsReportedWithAllCounts guards against counts of other nodes that are
// left out: published ones, and those of a node that died before it published.
func TestWindowIsReportedWithAllCounts(t *testing.T) {
	is := is.New(t)
	st, b := memstore.New(), &billing{reports: map[int64]map[string]int64{}}
	holder, other := newNode("a", st, b, start), newNode("b", st, b, start)
	holder.duty.held = true
	window := holder.Windows.At(start)
	holder.Counter.Began("w", start)
	other.Counter.Began("w", start)
	other.Counter.Began("x", start)
	holder.Heard.Update("dead", window, Counts{"w": 5})
	holder.Heard.Update("b", window, Counts{"w": 1})
	for s := range 13 {
		at := start.Add(time.Duration(s) * time.Second)
		holder.clock.now, other.clock.now = at, at
		other.tick()
		holder.tick()
	}
	is.Equal(b.reports[window], map[string]int64{"w": 7, "x": 1})
	is.Equal(b.calls, 1)
}

// TestNodesCutOffFromTheStoreAreWaitedFor is a partition that hides a part of the
// nodes from the store and from the holder until seconds after a window. It
// guards against figures without their requests.
func TestNodesCutOffFromTheStoreAreWaitedFor(t *testing.T) {
	is := is.New(t)
	st, b := memstore.New(), &billing{reports: map[int64]map[string]int64{}}
	w := &way{Store: st}
	holder, other := newNode("a", st, b, start), newNode("b", w, b, start)
	holder.duty.held = true
	first := holder.Windows.At(start)
	for s := range 40 {
		at := start.Add(time.Duration(s) * 500 * time.Millisecond)
		holder.clock.now, other.clock.now = at, at
		w.away = s >= 14 && s < 32 // from 2 s into the second window to 6 s after it
		if s < 20 && s%2 == 0 {
			holder.Counter.Began("w", at)
			other.Counter.Began("w", at)
		}
		other.tick()
		holder.tick()
	}
	is.Equal(b.reports[first], map[string]int64{"w": 10})
	is.Equal(b.reports[first+1], map[string]int64{"w": 10})
	is.Equal(b.conflicts, 0)
}

// way is one node's way to the store.
type way struct {
	*memstore.Store
	away bool
}

func (w *way) Put(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	if w.away {
		return 0, store.ErrUnavailable
	}
	return w.Store.Put(ctx, key, value, expected, lease)
}

// TestSuccessorReportsTheSameFigures guards against two reports of one window with
// different figures when the holder changes or an answer is lost.
func TestSuccessorReportsTheSameFigures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		st, b := memstore.New(), &billing{reports: map[int64]map[string]int64{}}
		var nodes []*node
		var ways []*way
		for _, name := range []string{"a", "b", "c"} {
			w := &way{Store: st}
			ways = append(ways, w)
			nodes = append(nodes, newNode(name, w, b, start))
		}
		for s := range 120 {
			at := start.Add(time.Duration(s) * 250 * time.Millisecond)
			b.lose = rapid.IntRange(0, 3).Draw(t, "lose") == 0
			st.SetFault(func(memstore.Op, string) memstore.Fault {
				n := rapid.IntRange(0, 9).Draw(t, "fault")
				return memstore.Fault{Refuse: n == 0, LoseAnswer: n == 1}
			})
			holder := rapid.IntRange(0, 2).Draw(t, "holder")
			for i, n := range nodes {
				n.clock.now = at
				if s%12 == 0 {
					ways[i].away = rapid.IntRange(0, 2).Draw(t, "away") == 0
				}
				if s%40 == 0 {
					n.duty.held = i == holder
				}
				if rapid.Bool().Draw(t, "request") {
					n.Counter.Began("w", at)
				}
				n.tick()
			}
		}
		if b.conflicts > 0 {
			t.Fatalf("%d windows were reported with different figures", b.conflicts)
		}
	})
}

// TestStoppingNodePublishesTheRunningWindow guards against losing the counts of a
// node that is stopped as planned.
func TestStoppingNodePublishesTheRunningWindow(t *testing.T) {
	is := is.New(t)
	st, b := memstore.New(), &billing{reports: map[int64]map[string]int64{}}
	n := newNode("a", st, b, start)
	n.Counter.Began("w", start)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.Run(ctx)
	entries, _, err := st.List(context.Background(), countsPrefix)
	is.NoErr(err)
	is.Equal(len(entries), 1)
	is.Equal(string(entries[0].Value), `{"w":1}`)
}

// TestCountsOfUnreadableEntriesAreLeftOut guards against one bad entry that keeps
// a window from being reported.
func TestCountsOfUnreadableEntriesAreLeftOut(t *testing.T) {
	is := is.New(t)
	st, b := memstore.New(), &billing{reports: map[int64]map[string]int64{}}
	n := newNode("a", st, b, start)
	n.duty.held = true
	window := n.Windows.At(start)
	for i, raw := range []string{`{"w":-4}`, `[]`, `{"":3}`} {
		_, err := st.Put(context.Background(), fmt.Sprintf("%sx%d", countsKey(window), i), []byte(raw), 0, 0)
		is.NoErr(err)
	}
	n.Counter.Began("w", start)
	n.clock.now = start.Add(10 * time.Second)
	n.tick()
	is.Equal(b.reports[window], map[string]int64{"w": 1})
}
