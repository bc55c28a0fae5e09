package authority

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/figweir/figweir/store"
)

// maxWriteAttempts bounds how often one batch is written again after a
// conflict or a lost answer. Conflicts come only from the closing of intents
// by processes that don't hold the duty, and from a change of the holder.
const maxWriteAttempts = 8

// change is one step on the journal record. apply is called on a copy of the
// record and may be called again on a later one; it must find out from the
// record's content whether an earlier write has already made the change. If it
// returns an error it must leave the record as it was.
type change struct {
	apply func(r *record) (changed bool, err error)
	err   error
	done  chan struct{}
}

// recordWriter changes one journal record by compare-and-swap. Changes that
// arrive while a write is in flight go together into the next one.
type recordWriter struct {
	store   store.Store
	key     string
	timeout time.Duration
	stats   *counters
	// observe is called with each state of the record that was read or
	// written, in order.
	observe func(r *record)

	// turn is held by the caller that writes. A channel, so that a waiting
	// caller can see that its change was made by another.
	turn chan struct{}

	mu    sync.Mutex
	queue []*change

	// The fields below belong to the holder of turn.

	// cached is the last known record, or nil if it must be read.
	cached   *record
	revision store.Revision
	// undecided says that a write on revision undecidedOn may still take
	// effect. Until the record has moved past it, every change must be written,
	// also if it changes nothing.
	undecided   bool
	undecidedOn store.Revision
}

func newRecordWriter(s store.Store, key string, timeout time.Duration, stats *counters, observe func(*record)) *recordWriter {
	return &recordWriter{store: s, key: key, timeout: timeout, stats: stats, observe: observe, turn: make(chan struct{}, 1)}
}

// commit makes a change and returns its error, the error of a store that did
// not act, or store.ErrAmbiguous if it is not known whether the change was
// made. It doesn't end with ctx, since the outcome would then be unknown; the
// calls to the store are bounded by the time-out.
func (w *recordWriter) commit(ctx context.Context, apply func(*record) (bool, error)) error {
	c := &change{apply: apply, done: make(chan struct{})}
	w.mu.Lock()
	w.queue = append(w.queue, c)
	w.mu.Unlock()
	select {
	case w.turn <- struct{}{}:
		w.flush(context.WithoutCancel(ctx))
		<-w.turn
	case <-c.done:
	}
	<-c.done
	return c.err
}

// refresh reads the record again.
func (w *recordWriter) refresh(ctx context.Context) error {
	w.turn <- struct{}{}
	defer func() { <-w.turn }()
	w.cached = nil
	_, err := w.load(context.WithoutCancel(ctx))
	return err
}

// flush writes everything that is queued.
func (w *recordWriter) flush(ctx context.Context) {
	w.mu.Lock()
	batch := w.queue
	w.queue = nil
	w.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	err := w.write(ctx, batch)
	for _, c := range batch {
		if c.err == nil {
			c.err = err
		}
		close(c.done)
	}
}

func (w *recordWriter) write(ctx context.Context, batch []*change) error {
	for range maxWriteAttempts {
		current, err := w.load(ctx)
		if err != nil {
			return w.classify(err)
		}
		next := current.clone()
		if !applyAll(next, batch) && !w.undecided {
			return nil
		}
		err = w.swap(ctx, next)
		if err == nil {
			return nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return w.classify(err)
		}
	}
	return w.classify(store.ErrConflict)
}

// applyAll makes the changes that have not failed. Each failure is kept in its
// change.
func applyAll(r *record, batch []*change) (changed bool) {
	for _, c := range batch {
		if c.err != nil {
			continue
		}
		did, err := c.apply(r)
		c.err = err
		changed = changed || did
	}
	return changed
}

// classify returns store.ErrAmbiguous in place of err while an earlier write
// may still take effect.
func (w *recordWriter) classify(err error) error {
	if w.undecided && !errors.Is(err, store.ErrAmbiguous) {
		return fmt.Errorf("%w (then: %w)", store.ErrAmbiguous, err)
	}
	return err
}

// load returns the cached record, or reads it. A journal that doesn't exist is
// an empty record at revision 0.
func (w *recordWriter) load(ctx context.Context) (*record, error) {
	if w.cached != nil {
		return w.cached, nil
	}
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	w.stats.journalReads.Add(1)
	entry, err := w.store.Get(ctx, w.key)
	if errors.Is(err, store.ErrNotFound) {
		err, entry = nil, store.Entry{Value: []byte("{}")}
	}
	if err != nil {
		return nil, err
	}
	r, err := decodeRecord(entry)
	if err != nil {
		return nil, err
	}
	w.keep(&r, entry.Revision)
	return w.cached, nil
}

func (w *recordWriter) keep(r *record, revision store.Revision) {
	w.cached, w.revision = r, revision
	if w.undecided && revision != w.undecidedOn {
		w.undecided = false
	}
	if w.observe != nil {
		w.observe(r)
	}
}

// swap writes the record. After a lost answer it reads back and decides by the
// writer token. It returns store.ErrConflict if the record was changed by
// another write or if this one has not taken effect so far; the caller then
// applies its changes to the current record.
func (w *recordWriter) swap(ctx context.Context, next *record) error {
	next.Token = uuid.NewString()
	raw, err := next.encode()
	if err != nil {
		return err
	}
	putCtx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	w.stats.journalWrites.Add(1)
	revision, err := w.store.Put(putCtx, w.key, raw, w.revision, 0)
	switch {
	case err == nil:
		w.keep(next, revision)
		return nil
	case errors.Is(err, store.ErrConflict):
		w.stats.journalConflicts.Add(1)
		w.cached = nil
		return err
	case !errors.Is(err, store.ErrAmbiguous):
		return err
	}
	w.stats.journalReadBacks.Add(1)
	w.cached, w.undecided, w.undecidedOn = nil, true, w.revision
	current, readErr := w.load(ctx)
	if readErr != nil {
		return err
	}
	if current.Token == next.Token {
		return nil
	}
	return store.ErrConflict
}
