package metering

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/store"
)

// Key prefixes in the store.
const (
	// countsPrefix is the prefix of each node's published counts. The key continues
	// with WINDOW/INCARNATION.
	countsPrefix = "figweir/usage/"
	// sealedPrefix is the prefix of the sealed figures, which are reported. The key
	// continues with WINDOW.
	sealedPrefix = "figweir/sealed/"
)

const (
	// FinalDelay is how long after the end of a window the counts of a node are final: by
	// then all requests that began in the window have been counted. The node publishes
	// them then.
	FinalDelay = 1200 * time.Millisecond
	// sealFraction is the fraction of Delay after which the figures of a window are
	// sealed if the counts of all nodes are known.
	sealFraction = 0.3
	// lateSealFraction is the same if counts of nodes that had requests are missing:
	// these nodes may be unable to reach the store for a while.
	lateSealFraction = 0.7
	// sealRetryDelay is the time between two attempts to seal a window while counts are
	// missing.
	sealRetryDelay = time.Second
	// publishRetryDelay is the time between two attempts to publish while the store
	// refuses them. Refused calls cost as much as others, and the store may refuse many
	// nodes at the same time.
	publishRetryDelay = time.Second
	// dataTTL is how long counts and sealed figures stay in the store.
	dataTTL = 5 * time.Minute
	// retainedWindows is how many ended windows a node retains and a new holder
	// checks for missing reports.
	retainedWindows = 4
	// tickInterval is the time between two rounds of publishing and reporting.
	tickInterval = 200 * time.Millisecond
)

// Sender sends usage reports to the platform, under a fencing token. An error of
// ReportUsage doesn't exclude that the report was received.
type Sender interface {
	ReportUsage(ctx context.Context, token uint64, window int64, counts map[string]int64) error
}

// Duty is the duty of reporting usage.
type Duty interface {
	// FencingToken returns the fencing token and whether this node holds the duty.
	FencingToken() (token uint64, held bool)
	// MarkLost marks the duty as not held until it is acquired again.
	MarkLost()
}

// Reporter publishes this node's counts and, while it holds the duty, reports the sums
// over all nodes.
type Reporter struct {
	Counter     *Counter
	Windows     Windows
	Clock       TrueTime
	Store       store.Store
	Duty        Duty
	Sender      Sender
	Incarnation string
	// Heard holds the counts that other nodes have sent directly.
	Heard *ReceivedCounts
	// Seals holds the sealed figures that this node knows. OnSealed, if not nil, is called with
	// those of this node, to announce them to other nodes.
	Seals    *Seals
	OnSealed func(window int64, counts Counts)
	// Era returns the newest era of the store that was seen; nil if the store states none.
	Era func() store.Era
	// Delay is the time after the end of a window by which its report is due.
	Delay time.Duration
	// SealsRewritten counts the sealed figures that were written again because the store had
	// lost them.
	SealsRewritten atomic.Int64
	// Withheld counts the windows that were not reported because their figures may have been
	// lost with the store after a report.
	Withheld atomic.Int64
	// Fenced reports whether an error means that another holder has acted.
	Fenced func(error) bool
	Log    logr.Logger

	lease        store.LeaseID
	leaseGranted time.Time
	published    map[int64]*publication
	reported     map[int64]bool
	dutyHeld     bool
	// lastSealed holds the counts of the window that was sealed last, by incarnation.
	lastSealed map[string]Counts
	// publishAt is when to publish again after a failure, in true time.
	publishAt time.Time
	// retryAt is when to try again to seal a window whose counts were incomplete.
	retryAt map[int64]time.Time
	// eraSince states since when the era of the store is known.
	eraSince store.EraSince
}

// errMayBeReported means that a window may have been reported with figures that are lost.
var errMayBeReported = errors.New("metering: the window may have been reported before the store was restored")

// errStoreRestored means that the store was restored while a window was being sealed.
var errStoreRestored = errors.New("metering: the store was restored")

// errNodesMissing means that some nodes have not published their counts yet.
var errNodesMissing = errors.New("metering: some nodes have not published their counts")

// publication holds the counts of a window that were last written, and the revision of
// their key.
type publication struct {
	counts   Counts
	revision store.Revision
}

// Run publishes and reports until ctx ends. It then publishes the remaining counts,
// including those of the current window.
func (r *Reporter) Run(ctx context.Context) {
	r.published = make(map[int64]*publication)
	r.reported = make(map[int64]bool)
	r.retryAt = make(map[int64]time.Time)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
			defer cancel()
			r.publish(stopCtx, r.now(), 0)
			return
		case <-ticker.C:
		}
		now := r.now()
		r.updateEra(now)
		r.publish(ctx, now, FinalDelay)
		r.reportDue(ctx, now)
	}
}

func (r *Reporter) now() time.Time { return r.Clock.At(time.Now()) }

// publish writes the counts of windows that ended at least delay ago. A delay of 0 means
// that the node stops: the counts of the current window are written too.
func (r *Reporter) publish(ctx context.Context, now time.Time, delay time.Duration) {
	last := r.Windows.At(now.Add(-delay)) - 1
	if delay == 0 {
		last = r.Windows.At(now)
	} else if now.Before(r.publishAt) {
		return
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
		if err := r.writeCounts(ctx, window, counts, p); err != nil {
			r.Log.Info("cannot publish usage counts", "window", window, "cause", err.Error())
			r.publishAt = now.Add(publishRetryDelay)
			return
		}
	}
	r.removeBefore(r.Windows.At(now) - retainedWindows)
}

func (r *Reporter) removeBefore(before int64) {
	r.Counter.removeBefore(before)
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

// writeCounts writes this node's counts of a window. After a conflict it updates p so that
// the next attempt succeeds.
func (r *Reporter) writeCounts(ctx context.Context, window int64, counts Counts, p *publication) error {
	raw, err := json.Marshal(counts)
	if err != nil {
		return err
	}
	lease, err := r.dataLease(ctx)
	if err != nil {
		return err
	}
	key := countsKey(window) + r.Incarnation
	revision, err := r.Store.Put(ctx, key, raw, p.revision, lease)
	if errors.Is(err, store.ErrConflict) {
		// An earlier write whose response was lost has taken effect, or the store was restored
		// from a copy with other counts, or with none.
		old, getErr := r.Store.Get(ctx, key)
		if getErr != nil && !errors.Is(getErr, store.ErrNotFound) {
			return getErr
		}
		p.revision = old.Revision
		return err
	}
	if err != nil {
		r.forgetLostLease(err)
		return err
	}
	p.revision, p.counts = revision, counts
	return nil
}

// dataLease returns a lease that removes the written keys after dataTTL. It is never
// renewed: the keys must outlive the node that wrote them, but not forever.
func (r *Reporter) dataLease(ctx context.Context) (store.LeaseID, error) {
	if r.lease != store.NoLease && time.Since(r.leaseGranted) < dataTTL/2 {
		return r.lease, nil
	}
	lease, err := r.Store.Grant(ctx, dataTTL)
	if err != nil {
		return store.NoLease, err
	}
	r.lease, r.leaseGranted = lease, time.Now()
	return lease, nil
}

// forgetLostLease makes the next write ask for a new lease if a write failed because the lease is
// gone.
func (r *Reporter) forgetLostLease(err error) {
	if errors.Is(err, store.ErrNotFound) {
		r.lease = store.NoLease
	}
}

func countsKey(window int64) string {
	return countsPrefix + strconv.FormatInt(window, 10) + "/"
}

func sealedKey(window int64) string { return sealedPrefix + strconv.FormatInt(window, 10) }

// reportDue reports the windows that are due, oldest first.
func (r *Reporter) reportDue(ctx context.Context, now time.Time) {
	token, held := r.Duty.FencingToken()
	if held != r.dutyHeld {
		r.dutyHeld = held
		r.Log.Info("usage duty", "held", held, "fencing_token", token)
		r.reported = make(map[int64]bool)
	}
	if !held {
		return
	}
	r.recordEra(ctx)
	newest := r.Windows.At(now.Add(-r.delayFraction(sealFraction))) - 1
	for window := newest - retainedWindows + 1; window <= newest; window++ {
		end := r.Windows.End(window)
		if r.reported[window] || now.After(end.Add(r.Delay)) || now.Before(r.retryAt[window]) {
			continue
		}
		late := end.Add(r.delayFraction(lateSealFraction))
		err := r.reportWindow(ctx, token, window, !now.Before(late))
		if errors.Is(err, errNodesMissing) {
			r.Log.Info("usage of nodes is missing, sealing later", "window", window, "fencing_token", token)
			r.retryAt[window] = now.Add(sealRetryDelay)
			continue
		}
		if errors.Is(err, errMayBeReported) || errors.Is(err, errSealsDiffer) {
			r.Log.Info("usage of a window is not reported", "window", window, "fencing_token", token,
				"era", uint64(r.eraSince.Era()), "cause", err.Error())
			r.Withheld.Add(1)
			r.reported[window] = true
			continue
		}
		if err != nil {
			r.Log.Info("usage not reported", "window", window, "fencing_token", token, "cause", err.Error())
			if r.Fenced(err) {
				r.Duty.MarkLost()
			}
			return
		}
		r.reported[window] = true
	}
}

// delayFraction returns the given fraction of Delay.
func (r *Reporter) delayFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(r.Delay))
}

// reportWindow seals and reports a window. Unless late is true, it returns
// errNodesMissing if a node with requests in the window has not published its counts.
func (r *Reporter) reportWindow(ctx context.Context, token uint64, window int64, late bool) error {
	counts, err := r.seal(ctx, window, late)
	if err != nil || len(counts) == 0 {
		return err
	}
	if _, held := r.Duty.FencingToken(); !held {
		return errors.New("duty was lost before the report")
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
