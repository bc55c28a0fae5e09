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
	// listShare is the part of a follower's bound after which a list without an
	// answer is given up. The list that follows has the rest of the bound: the
	// store may have swallowed the first just before it answers again.
	listShare = 0.75
	// minRetry is the first pause after a failed call, and retryShare the part of
	// the bound that the pause grows to.
	minRetry   = 100 * time.Millisecond
	retryShare = 0.25
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
	// bound is the time in which a change must be known here once the store
	// answers, whatever became of the calls before. The store has to end watches
	// that it may have swallowed, see LiveStore.
	bound time.Duration
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

// share returns a part of the bound.
func (f *follower) share(part float64) time.Duration {
	return time.Duration(part * float64(f.bound))
}

// progress is how far a follower has read.
type progress struct {
	// listed tells that the entries were read, so that a watch can go on from
	// revision.
	listed   bool
	revision store.Revision
}

// read makes one call and returns what hands its answer to h.
func (f *follower) read(ctx context.Context, h handler, p *progress) (deliver func(away bool), err error) {
	if !p.listed {
		ctx, cancel := context.WithTimeout(ctx, f.share(listShare))
		defer cancel()
		entries, at, err := f.store.List(ctx, f.prefix)
		return func(away bool) {
			p.listed, p.revision = true, at
			h.reset(entries, at, away)
		}, err
	}
	events, at, err := f.store.Watch(ctx, f.prefix, p.revision, watchWait)
	return func(away bool) {
		p.revision = at
		h.apply(events, at, away)
	}, err
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context, h handler) {
	var failingSince time.Duration
	failing := false
	pause := minRetry
	var p progress
	for ctx.Err() == nil {
		sent := boottime.Now()
		deliver, err := f.read(ctx, h, &p)
		waited := boottime.Now() - sent
		if errors.Is(err, store.ErrCompacted) {
			f.log.Info("store history lost, reading again", "prefix", f.prefix, "revision", p.revision)
			p.listed = false
			continue
		}
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			if !failing {
				f.log.Info("store lost", "prefix", f.prefix, "watching", p.listed, "waited_ms", waited.Milliseconds(),
					"revision", p.revision, "cause", err.Error())
				failing, failingSince = true, boottime.Now()
			}
			// A list finds changes that a broken watch can't tell of.
			p.listed = false
			f.following.Store(false)
			// A call that was given up has taken its pause already.
			sleep(ctx, pause/2+rand.N(pause/2)-waited)
			pause = max(minRetry, min(2*pause, f.share(retryShare)))
			continue
		}
		f.answered.Store(int64(boottime.Now()))
		failed := boottime.Now() - failingSince
		away := failing && failed > awayAfter
		if failing {
			f.log.Info("store regained", "prefix", f.prefix, "after_ms", failed.Milliseconds())
		}
		failing, pause = false, minRetry
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
