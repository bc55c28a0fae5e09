package discovery

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figweir/figweir/boottime"
	"github.com/figweir/figweir/store"
)

const (
	// heartbeatTimeoutFraction is the timeout of a heartbeat as a fraction of the
	// bound. The rest of the bound is left for the list that follows a timeout. The
	// interval between heartbeats must not be longer than the timeout.
	heartbeatTimeoutFraction = 0.5
	// latencyFactor times the latency of the last heartbeat is the timeout of the
	// next one if that is longer: a slow store must not count as unresponsive.
	latencyFactor = 2
	// minUnanswered is how long a failed heartbeat must have taken to count as unanswered. A
	// store that rejects it answers sooner. The timeout of the store's calls may be shorter
	// than that of a heartbeat.
	minUnanswered = 350 * time.Millisecond
)

// ErrUnresponsive is the cause with which watches end when the store answers no calls.
var ErrUnresponsive = errors.New("the store is silent")

// HeartbeatStore wraps a store and ends its watches when the store stops answering. A
// pending watch looks the same whether nothing changes or the store never received
// it. HeartbeatStore therefore renews a lease, which the store answers at once, after
// each watch is sent and at regular intervals. All watches share these heartbeats;
// one costs the store a tenth of any other call.
type HeartbeatStore struct {
	store.Store
	// lease returns the lease that heartbeats renew. If the store doesn't have it,
	// its ErrNotFound counts as an answer too.
	lease func() store.LeaseID
	bound time.Duration
	// interval returns the time between two heartbeats while watches are pending.
	interval func() time.Duration
	// pendingWatches counts the calls of Watch that have not returned.
	pendingWatches atomic.Int64
	// watchSent triggers a heartbeat after a watch was sent.
	watchSent chan struct{}
	// now returns the time on the boot clock.
	now func() time.Duration
	// heartbeatTimeout is the timeout of the next heartbeat, at most the bound. Only
	// Run uses it.
	heartbeatTimeout time.Duration
	// lastResponse is when the last heartbeat was answered, on the boot clock in
	// nanoseconds; 0 if none was.
	lastResponse atomic.Int64

	mu sync.Mutex
	// watchCtx is canceled when a heartbeat times out.
	watchCtx      context.Context
	cancelWatches context.CancelCauseFunc
}

// NewHeartbeatStore returns a wrapper of s. After the store stops answering, it ends
// watches early enough that a list can read the missed changes within bound, if interval
// returns at most half of the bound. It has no effect unless Run is running.
func NewHeartbeatStore(s store.Store, lease func() store.LeaseID, bound time.Duration, interval func() time.Duration) *HeartbeatStore {
	h := &HeartbeatStore{Store: s, lease: lease, bound: bound, interval: interval, now: boottime.Now, watchSent: make(chan struct{}, 1)}
	h.watchCtx, h.cancelWatches = context.WithCancelCause(context.Background())
	return h
}

// Watch implements store.Store. It returns an error when the store stops answering.
func (h *HeartbeatStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h.mu.Lock()
	watchCtx := h.watchCtx
	h.mu.Unlock()
	stop := context.AfterFunc(watchCtx, func() { cancel(ErrUnresponsive) })
	defer stop()
	h.pendingWatches.Add(1)
	defer h.pendingWatches.Add(-1)
	select {
	case h.watchSent <- struct{}{}:
	default:
	}
	return h.Store.Watch(ctx, prefix, after, wait)
}

// ResponseAge returns the time since the store last answered a heartbeat; false if it
// never did.
func (h *HeartbeatStore) ResponseAge() (time.Duration, bool) {
	at := h.lastResponse.Load()
	return h.now() - time.Duration(at), at != 0
}

// Run sends heartbeats while watches are pending, until ctx ends.
func (h *HeartbeatStore) Run(ctx context.Context) {
	h.heartbeatTimeout = h.minTimeout()
	timer := time.NewTimer(h.interval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.watchSent:
		case <-timer.C:
			timer.Reset(h.interval())
			if h.pendingWatches.Load() == 0 {
				continue
			}
		}
		h.heartbeat(ctx)
	}
}

// minTimeout returns the timeout of a heartbeat while the store is not slow.
func (h *HeartbeatStore) minTimeout() time.Duration {
	return time.Duration(heartbeatTimeoutFraction * float64(h.bound))
}

// heartbeat renews the lease once and waits for the answer, also past the timeout
// that ends the watches. An error other than ErrNotFound is not recorded as an answer. If
// it comes at once, it doesn't end watches either: a watch that the store rejects ends by
// itself.
func (h *HeartbeatStore) heartbeat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.bound)
	defer cancel()
	timeout := time.AfterFunc(h.heartbeatTimeout, h.abortWatches)
	defer timeout.Stop()
	start := h.now()
	err := h.Store.Renew(ctx, h.lease())
	if err == nil || errors.Is(err, store.ErrNotFound) {
		h.lastResponse.Store(int64(h.now()))
		h.heartbeatTimeout = min(h.bound, max(h.minTimeout(), latencyFactor*(h.now()-start)))
		return
	}
	if h.now()-start >= minUnanswered && timeout.Stop() {
		h.abortWatches()
	}
}

// abortWatches ends all pending watches.
func (h *HeartbeatStore) abortWatches() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelWatches(ErrUnresponsive)
	h.watchCtx, h.cancelWatches = context.WithCancelCause(context.Background())
}
