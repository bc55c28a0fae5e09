package metering

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/store"
)

// Keys of the store.
const (
	// countsPrefix starts the keys of the nodes' counts:
	// PREFIX WINDOW / INCARNATION.
	countsPrefix = "figweir/usage/"
	// sealedPrefix starts the keys of the figures that are reported:
	// PREFIX WINDOW.
	sealedPrefix = "figweir/sealed/"
)

const (
	// publishDelay is how long after the end of a window a node publishes its
	// counts: requests that began in it are known by then.
	publishDelay = 1200 * time.Millisecond
	// sealShare is the part of the time until a report is due after which the
	// figures are sealed if all nodes have published their counts.
	sealShare = 0.45
	// lateSealShare is the same for figures from which nodes are missing that
	// had requests: they may be cut off from the store for a while.
	lateSealShare = 0.7
	// keepLease is how long counts and figures stay in the store.
	keepLease = 5 * time.Minute
	// keepWindows is how many ended windows a node remembers and a new holder
	// looks back at.
	keepWindows = 4
	// tick is the time between two looks at the clock.
	tick = 200 * time.Millisecond
)

// Sender sends a report to the platform.
type Sender interface {
	ReportUsage(ctx context.Context, token uint64, window int64, counts map[string]int64) error
}

// Duty tells whether this node may report, and with which fencing token.
type Duty interface {
	Fence() (token uint64, held bool)
	GiveUp()
}

// Reporter publishes this node's counts and, while it holds the duty, reports
// the sum of all nodes.
type Reporter struct {
	Counter     *Counter
	Windows     Windows
	Clock       TrueTime
	Store       store.Store
	Duty        Duty
	Sender      Sender
	Incarnation string
	// Heard is what other nodes have said of their counts.
	Heard *Heard
	// Delay is how long after its end the report of a window is due.
	Delay time.Duration
	// Fenced reports whether an error means that another holder has acted.
	Fenced func(error) bool
	Log    logr.Logger

	lease     store.LeaseID
	leaseAt   time.Time
	published map[int64]*publication
	reported  map[int64]bool
	holding   bool
	// nodes are the incarnations with counts in the window sealed last.
	nodes map[string]Counts
	// retryAt is when a window is looked at again from which nodes were missing.
	retryAt map[int64]time.Time
}

// errNodesMissing means that nodes have not published their counts yet.
var errNodesMissing = errors.New("metering: counts of nodes are missing")

type publication struct {
	counts   Counts
	revision store.Revision
}

// Run publishes and reports until ctx ends. It then publishes what is left.
func (r *Reporter) Run(ctx context.Context) {
	r.published = make(map[int64]*publication)
	r.reported = make(map[int64]bool)
	r.retryAt = make(map[int64]time.Time)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
			defer cancel()
			r.publish(stop, r.now(), 0)
			return
		case <-ticker.C:
		}
		now := r.now()
		r.publish(ctx, now, publishDelay)
		r.report(ctx, now)
	}
}

func (r *Reporter) now() time.Time { return r.Clock.At(time.Now()) }

// publish writes the counts of ended windows. With a delay of 0 it writes the
// running window too, because the node stops.
func (r *Reporter) publish(ctx context.Context, now time.Time, delay time.Duration) {
	last := r.Windows.At(now.Add(-delay)) - 1
	if delay == 0 {
		last = r.Windows.At(now)
	}
	for window, counts := range r.Counter.snapshot(last) {
		p := r.published[window]
		if p == nil {
			p = &publication{}
			r.published[window] = p
		}
		if maps.Equal(p.counts, counts) {
			continue
		}
		if err := r.write(ctx, window, counts, p); err != nil {
			r.Log.Info("usage counts not published", "window", window, "cause", err.Error())
			return
		}
	}
	r.forget(r.Windows.At(now) - keepWindows)
}

func (r *Reporter) forget(before int64) {
	r.Counter.forget(before)
	for window := range r.published {
		if window < before {
			delete(r.published, window)
		}
	}
	for window := range r.reported {
		if window < before {
			delete(r.reported, window)
		}
	}
	for window := range r.retryAt {
		if window < before {
			delete(r.retryAt, window)
		}
	}
}

func (r *Reporter) write(ctx context.Context, window int64, counts Counts, p *publication) error {
	raw, err := json.Marshal(counts)
	if err != nil {
		return err
	}
	lease, err := r.keep(ctx)
	if err != nil {
		return err
	}
	key := countsKey(window) + r.Incarnation
	revision, err := r.Store.Put(ctx, key, raw, p.revision, lease)
	if errors.Is(err, store.ErrConflict) {
		// An earlier write whose answer was lost has taken effect.
		old, getErr := r.Store.Get(ctx, key)
		if getErr != nil {
			return getErr
		}
		p.revision = old.Revision
		return err
	}
	if errors.Is(err, store.ErrNotFound) {
		r.lease = 0
	}
	if err != nil {
		return err
	}
	p.revision, p.counts = revision, counts
	return nil
}

// keep returns a lease that removes old keys by itself. It is not renewed: keys
// have to outlive the node that wrote them.
func (r *Reporter) keep(ctx context.Context) (store.LeaseID, error) {
	if r.lease != 0 && time.Since(r.leaseAt) < keepLease/2 {
		return r.lease, nil
	}
	lease, err := r.Store.Grant(ctx, keepLease)
	if err != nil {
		return 0, err
	}
	r.lease, r.leaseAt = lease, time.Now()
	return lease, nil
}

func countsKey(window int64) string {
	return countsPrefix + strconv.FormatInt(window, 10) + "/"
}

func sealedKey(window int64) string { return sealedPrefix + strconv.FormatInt(window, 10) }

// report reports the windows that are due, oldest first.
func (r *Reporter) report(ctx context.Context, now time.Time) {
	token, held := r.Duty.Fence()
	if held != r.holding {
		r.holding = held
		r.Log.Info("usage duty", "held", held, "fencing_token", token)
		r.reported = make(map[int64]bool)
	}
	if !held {
		return
	}
	newest := r.Windows.At(now.Add(-r.delayShare(sealShare))) - 1
	for window := newest - keepWindows + 1; window <= newest; window++ {
		end := r.Windows.End(window)
		if r.reported[window] || now.After(end.Add(r.Delay)) || now.Before(r.retryAt[window]) {
			continue
		}
		late := end.Add(r.delayShare(lateSealShare))
		err := r.reportWindow(ctx, token, window, !now.Before(late))
		if errors.Is(err, errNodesMissing) {
			r.Log.Info("usage of nodes is missing, sealing later", "window", window, "fencing_token", token)
			r.retryAt[window] = late
			continue
		}
		if err != nil {
			r.Log.Info("usage not reported", "window", window, "fencing_token", token, "cause", err.Error())
			if r.Fenced(err) {
				r.Duty.GiveUp()
			}
			return
		}
		r.reported[window] = true
	}
}

func (r *Reporter) delayShare(share float64) time.Duration {
	return time.Duration(share * float64(r.Delay))
}

// reportWindow reports a window; if it is not late, only once all nodes that
// should have counts have published them.
func (r *Reporter) reportWindow(ctx context.Context, token uint64, window int64, late bool) error {
	counts, err := r.seal(ctx, window, late)
	if err != nil || len(counts) == 0 {
		return err
	}
	if _, held := r.Duty.Fence(); !held {
		return errors.New("duty lost")
	}
	if err := r.Sender.ReportUsage(ctx, token, window, counts); err != nil {
		return err
	}
	r.Log.Info("usage reported", "window", window, "fencing_token", token, "workspaces", len(counts), "requests", total(counts))
	return nil
}

func total(c Counts) int64 {
	var n int64
	for _, k := range c {
		n += k
	}
	return n
}

// seal returns the figures of a window. They are written once, so that every
// later holder reports the same.
func (r *Reporter) seal(ctx context.Context, window int64, late bool) (Counts, error) {
	entry, err := r.Store.Get(ctx, sealedKey(window))
	if err == nil {
		return decodeCounts(entry.Value)
	}
	if !errors.Is(err, store.ErrNotFound) {
		return nil, err
	}
	entries, _, err := r.Store.List(ctx, countsKey(window))
	if err != nil {
		return nil, err
	}
	published := r.decodeEntries(window, entries)
	nodes := r.Heard.in(window)
	if nodes == nil {
		nodes = make(map[string]Counts)
	}
	if !late && (missing(published, nodes) || missing(published, r.nodes)) {
		return nil, errNodesMissing
	}
	for incarnation, counts := range published {
		nodes[incarnation] = greater(nodes[incarnation], counts)
	}
	r.nodes = nodes
	sum := make(Counts)
	for _, counts := range nodes {
		sum.add(counts)
	}
	if len(sum) == 0 {
		return nil, nil
	}
	raw, err := json.Marshal(sum)
	if err != nil {
		return nil, err
	}
	lease, err := r.keep(ctx)
	if err != nil {
		return nil, err
	}
	if _, err := r.Store.Put(ctx, sealedKey(window), raw, 0, lease); err != nil {
		return nil, fmt.Errorf("seal of window %d: %w", window, err)
	}
	return sum, nil
}

// missing reports whether an expected incarnation has published no counts.
func missing(published, expected map[string]Counts) bool {
	for incarnation := range expected {
		if _, ok := published[incarnation]; !ok {
			return true
		}
	}
	return false
}

// decodeEntries returns the counts of a window by incarnation. This node's are
// those that it holds.
func (r *Reporter) decodeEntries(window int64, entries []store.Entry) map[string]Counts {
	published := map[string]Counts{r.Incarnation: r.Counter.snapshot(window)[window]}
	for _, e := range entries {
		counts, err := decodeCounts(e.Value)
		if err != nil {
			r.Log.Info("usage counts not readable", "key", e.Key, "cause", err.Error())
			continue
		}
		incarnation := strings.TrimPrefix(e.Key, countsKey(window))
		published[incarnation] = greater(published[incarnation], counts)
	}
	return published
}

func decodeCounts(raw []byte) (Counts, error) {
	var c Counts
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, err
	}
	for workspace, n := range c {
		if n < 0 || strings.TrimSpace(workspace) == "" {
			return nil, fmt.Errorf("count %d of workspace %q", n, workspace)
		}
	}
	return c, nil
}
