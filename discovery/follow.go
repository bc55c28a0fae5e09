// Package discovery keeps a node's view of the configuration, the backend servers
// and the other nodes up to date with the platform's store.
package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/boottime"
	"github.com/figweir/figweir/store"
)

const (
	// watchTimeout is how long one watch waits for a change. Each watch counts as
	// one call to the store, so a longer timeout means fewer calls.
	watchTimeout = 25 * time.Second
	// listTimeoutFraction is the fraction of a follower's bound after which an
	// unanswered list is canceled. The rest of the bound is left for the next
	// list: the store may have dropped the first one just before it recovered.
	listTimeoutFraction = 0.75
	// minRetry is the initial delay after a failed call. The delay doubles with
	// each failure, up to maxRetryFraction of the bound.
	minRetry         = 100 * time.Millisecond
	maxRetryFraction = 0.25
	// outageThreshold is how long calls must have failed for the failure to count
	// as an outage. A watch that is cut and succeeds on the next try does not.
	outageThreshold = 400 * time.Millisecond
)

// changeHandler processes the entries and changes that a follower reads.
type changeHandler interface {
	// reset replaces all entries under the prefix with those that the store had
	// at revision at. afterOutage is true on the first response after an outage.
	reset(entries []store.Entry, at store.Revision, afterOutage bool)
	// apply processes the changes up to revision at, in order.
	apply(events []store.Event, at store.Revision, afterOutage bool)
}

// follower lists the entries under a prefix of the store and watches them for changes.
type follower struct {
	store  store.Store
	prefix string
	log    logr.Logger
	// bound is the time within which a change must be read once the store answers
	// calls again, even if it dropped earlier calls. Watches that the store may
	// have dropped must be ended by the store client, see HeartbeatStore.
	bound time.Duration
	// batchDelay returns the delay before the next watch, which lets one response
	// carry several changes.
	batchDelay func() time.Duration
	// onResponse is called after each successful call.
	onResponse func()
	// following is true while the last call succeeded.
	following atomic.Bool
	// lastResponse is when the last call succeeded, on the boot clock in nanoseconds; 0
	// if none did.
	lastResponse atomic.Int64
}

// responseAge returns the time since the store last answered; false if it never did.
func (f *follower) responseAge() (time.Duration, bool) {
	at := f.lastResponse.Load()
	return boottime.Now() - time.Duration(at), at != 0
}

// constantDelay returns a function that always returns d.
func constantDelay(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// fractionOfBound returns the given fraction of the bound.
func (f *follower) fractionOfBound(fraction float64) time.Duration {
	return time.Duration(fraction * float64(f.bound))
}

// readPosition is the point up to which a follower has read the store.
type readPosition struct {
	// listed is true after a successful list: a watch can then continue from
	// revision.
	listed   bool
	revision store.Revision
}

// read makes one call, a list or a watch, and returns a function that passes the
// response to h.
func (f *follower) read(ctx context.Context, h changeHandler, pos *readPosition) (deliver func(afterOutage bool), err error) {
	if !pos.listed {
		ctx, cancel := context.WithTimeout(ctx, f.fractionOfBound(listTimeoutFraction))
		defer cancel()
		entries, at, err := f.store.List(ctx, f.prefix)
		return func(afterOutage bool) {
			pos.listed, pos.revision = true, at
			h.reset(entries, at, afterOutage)
		}, err
	}
	events, at, err := f.store.Watch(ctx, f.prefix, pos.revision, watchTimeout)
	return func(afterOutage bool) {
		pos.revision = at
		h.apply(events, at, afterOutage)
	}, err
}

// run follows the prefix until ctx ends.
func (f *follower) run(ctx context.Context, h changeHandler) {
	var failureStart time.Duration
	failing := false
	retryDelay := minRetry
	var pos readPosition
	for ctx.Err() == nil {
		start := boottime.Now()
		deliver, err := f.read(ctx, h, &pos)
		elapsed := boottime.Now() - start
		if errors.Is(err, store.ErrCompacted) {
			f.log.Info("store history lost, reading again", "prefix", f.prefix, "revision", pos.revision)
			pos.listed = false
			continue
		}
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			if !failing {
				f.log.Info("store lost", "prefix", f.prefix, "watching", pos.listed, "waited_ms", elapsed.Milliseconds(),
					"revision", pos.revision, "cause", err.Error())
				failing, failureStart = true, boottime.Now()
			}
			// List again: changes that the failed watch missed show up only there.
			pos.listed = false
			f.following.Store(false)
			// The time spent in the failed call counts towards the delay.
			sleep(ctx, retryDelay/2+rand.N(retryDelay/2)-elapsed)
			retryDelay = max(minRetry, min(2*retryDelay, f.fractionOfBound(maxRetryFraction)))
			continue
		}
		f.lastResponse.Store(int64(boottime.Now()))
		failureDuration := boottime.Now() - failureStart
		afterOutage := failing && failureDuration > outageThreshold
		if failing {
			f.log.Info("store regained", "prefix", f.prefix, "after_ms", failureDuration.Milliseconds())
		}
		failing, retryDelay = false, minRetry
		deliver(afterOutage)
		f.following.Store(true)
		f.onResponse()
		sleep(ctx, f.batchDelay())
	}
}

// sleep waits for d or until ctx ends. Callers check ctx themselves.
func sleep(ctx context.Context, d time.Duration) {
	_ = boottime.Sleep(ctx, d)
}
