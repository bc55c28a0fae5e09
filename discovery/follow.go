// Package discovery keeps what a node believes current: the configuration, the
// backend servers and the other nodes, as they stand in the platform's store.
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
	// watchWait is how long one watch waits for a change. A watch counts as one
	// call, so longer ones cost less.
	watchWait = 25 * time.Second
	// minRetry and maxRetry bound the pause after a failed call.
	minRetry = 100 * time.Millisecond
	maxRetry = 600 * time.Millisecond
	// awayAfter is how long calls must have failed before the store counts as
	// away. A watch that is cut and comes back at once is no outage.
	awayAfter = 400 * time.Millisecond
)

// handler takes what a follower reads.
type handler interface {
	// reset replaces all entries under the prefix, which stand for the store at a
	// revision. away tells that the store was away before.
	reset(entries []store.Entry, at store.Revision, away bool)
	// apply takes the changes up to a revision in order.
	apply(events []store.Event, at store.Revision, away bool)
}

// follower reads a prefix of the store and follows its changes.
type follower struct {
	store  store.Store
	prefix string
	log    logr.Logger
	// pause collects changes that come together into one call.
	pause func() time.Duration
	// onRead is called after each answer.
	onRead func()
	// following tells that the last call was answered.
	following atomic.Bool
	// answered is the boot time of the last answer, in nanoseconds; 0 if there
	// was none.
	answered atomic.Int64
}

// answerAge returns how long ago the store last answered; false if it never did.
func (f *follower) answerAge() (time.Duration, bool) {
	at := f.answered.Load()
	return boottime.Now() - time.Duration(at), at != 0
}

// fixed returns a pause that does not change.
func fixed(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// run follows until ctx ends.
func (f *follower) run(ctx context.Context, h handler) {
	var failingSince time.Duration
	failing := false
	pause := minRetry
	var revision store.Revision
	listed := false
	for ctx.Err() == nil {
		var err error
		var deliver func(away bool)
		sent := boottime.Now()
		if !listed {
			var entries []store.Entry
			entries, revision, err = f.store.List(ctx, f.prefix)
			deliver = func(away bool) { h.reset(entries, revision, away) }
		} else {
			var events []store.Event
			var at store.Revision
			events, at, err = f.store.Watch(ctx, f.prefix, revision, watchWait)
			deliver = func(away bool) {
				revision = at
				h.apply(events, at, away)
			}
		}
		if errors.Is(err, store.ErrCompacted) {
			f.log.Info("store history lost, reading again", "prefix", f.prefix, "revision", revision)
			listed, err = false, nil
			continue
		}
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			if !failing {
				f.log.Info("store lost", "prefix", f.prefix, "watching", listed, "waited_ms", (boottime.Now() - sent).Milliseconds(),
					"revision", revision, "cause", err.Error())
				failing, failingSince = true, boottime.Now()
			}
			// A list finds changes that a broken watch can't tell of.
			listed = false
			f.following.Store(false)
			sleep(ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, maxRetry)
			continue
		}
		f.answered.Store(int64(boottime.Now()))
		failed := boottime.Now() - failingSince
		away := failing && failed > awayAfter
		if failing {
			f.log.Info("store regained", "prefix", f.prefix, "after_ms", failed.Milliseconds())
		}
		failing, pause, listed = false, minRetry, true
		deliver(away)
		f.following.Store(true)
		f.onRead()
		sleep(ctx, f.pause())
	}
}

// sleep waits for d or until ctx ends; the callers look at ctx themselves.
func sleep(ctx context.Context, d time.Duration) {
	_ = boottime.Sleep(ctx, d)
}
