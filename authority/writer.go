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

// maxWriteAttempts limits how often a batch is written again after a conflict
// or a lost response. Conflicts only occur when processes that don't hold the
// duty close intents, and when the holder changes.
const maxWriteAttempts = 8

// change is one update of the journal record. apply is called on a copy of the
// record and may be called again on a later one; it must detect from the
// content whether an earlier write has already made the change. If it returns
// an error, it must leave the record unchanged.
type change struct {
	apply func(r *record) (changed bool, err error)
	err   error
	done  chan struct{}
}

// recordWriter updates one journal record by compare-and-swap. Changes that
// arrive during a write are combined into the next one.
type recordWriter struct {
	store   store.Store
	key     string
	timeout time.Duration
	stats   *counters
	// onRecord is called with each record that was read or written, in order.
	onRecord func(r *record)

	// writeSlot is held by the caller that writes. It is a channel, so that a
	// waiting caller can also see that another caller has written its change.
	writeSlot chan struct{}

	mu    sync.Mutex
	queue []*change

	// Only the holder of writeSlot may access the fields below.

	// cached is the last known record, or nil if it must be read.
	cached   *record
	revision store.Revision
	// ambiguousWrite means that a write based on ambiguousRevision may still take
	// effect. Until the record has a different revision, every change must be
	// written, even one that changes nothing.
	ambiguousWrite    bool
	ambiguousRevision store.Revision
}

func newRecordWriter(s store.Store, key string, timeout time.Duration, stats *counters, onRecord func(*record)) *recordWriter {
	return &recordWriter{store: s, key: key, timeout: timeout, stats: stats, onRecord: onRecord, writeSlot: make(chan struct{}, 1)}
}

// commit applies a change to the record. It returns the error of apply, a store
// error if the store did not write, or store.ErrAmbiguous if it is unknown
// whether the change was written. It does not stop when ctx ends, since the
// outcome would then be unknown; the calls to the store are limited by the
// timeout.
func (w *recordWriter) commit(ctx context.Context, apply func(*record) (bool, error)) error {
	c := &change{apply: apply, done: make(chan struct{})}
	w.mu.Lock()
	w.queue = append(w.queue, c)
	w.mu.Unlock()
	select {
	case w.writeSlot <- struct{}{}:
		w.flush(context.WithoutCancel(ctx))
		<-w.writeSlot
	case <-c.done:
	}
	<-c.done
	return c.err
}

// refresh reads the record again.
func (w *recordWriter) refresh(ctx context.Context) error {
	w.writeSlot <- struct{}{}
	defer func() { <-w.writeSlot }()
	w.cached = nil
	_, err := w.load(context.WithoutCancel(ctx))
	return err
}

// flush writes all queued changes.
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

// write applies a batch of changes and writes the record, with retries after
// conflicts.
func (w *recordWriter) write(ctx context.Context, batch []*change) error {
	for range maxWriteAttempts {
		current, err := w.load(ctx)
		if err != nil {
			return w.markAmbiguous(err)
		}
		next := current.clone()
		if !applyAll(next, batch) && !w.ambiguousWrite {
			return nil
		}
		err = w.compareAndSwap(ctx, next)
		if err == nil {
			return nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return w.markAmbiguous(err)
		}
	}
	return w.markAmbiguous(store.ErrConflict)
}

// applyAll applies the changes that have not failed and stores the error of
// each in its change. It reports whether the record changed.
func applyAll(r *record, batch []*change) (changed bool) {
	for _, c := range batch {
		if c.err != nil {
			continue
		}
		applied, err := c.apply(r)
		c.err = err
		changed = changed || applied
	}
	return changed
}

// markAmbiguous wraps err in store.ErrAmbiguous while an earlier write may
// still take effect.
func (w *recordWriter) markAmbiguous(err error) error {
	if w.ambiguousWrite && !errors.Is(err, store.ErrAmbiguous) {
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
	w.setCached(&r, entry.Revision)
	return w.cached, nil
}

// setCached stores a record that was read or written and calls onRecord.
func (w *recordWriter) setCached(r *record, revision store.Revision) {
	w.cached, w.revision = r, revision
	if w.ambiguousWrite && revision != w.ambiguousRevision {
		w.ambiguousWrite = false
	}
	if w.onRecord != nil {
		w.onRecord(r)
	}
}

// compareAndSwap writes the record. After a lost response it reads the record
// and compares the write ID. It returns store.ErrConflict if another write
// changed the record or if this write has not taken effect yet; the caller then
// applies its changes to the current record.
func (w *recordWriter) compareAndSwap(ctx context.Context, next *record) error {
	next.WriteID = uuid.NewString()
	raw, err := next.encode()
	if err != nil {
		return err
	}
	putCtx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	w.stats.journalWrites.Add(1)
	revision, err := w.store.Put(putCtx, w.key, raw, w.revision, store.NoLease)
	switch {
	case err == nil:
		w.setCached(next, revision)
		return nil
	case errors.Is(err, store.ErrConflict):
		w.stats.journalConflicts.Add(1)
		w.cached = nil
		return err
	case !errors.Is(err, store.ErrAmbiguous):
		return err
	}
	w.stats.journalReadBacks.Add(1)
	w.cached, w.ambiguousWrite, w.ambiguousRevision = nil, true, w.revision
	current, readErr := w.load(ctx)
	if readErr != nil {
		return err
	}
	if current.WriteID == next.WriteID {
		return nil
	}
	return store.ErrConflict
}
