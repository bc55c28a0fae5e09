package once

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	pb "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/store"
)

// Writer updates the head of one range. A single goroutine processes requests
// in batches.
type Writer struct {
	config       Config
	store        store.Store
	rangeID      Range
	incarnations Incarnations
	writeLimiter *rate.Limiter
	queue        chan *operation
	stop         context.CancelFunc
	stopped      chan struct{}
	// writeAmbiguous is set while it is not known whether a write took effect.
	writeAmbiguous atomic.Bool
	segments       *segmentReader
	stats          counters

	// The fields below are used by the run goroutine only.

	index *index
	head  *pb.OnceHead
	// revision is the store revision of head, 0 before the first write.
	revision store.Revision
	// headObservedAt is when head was last known to be in the store.
	headObservedAt time.Time
	// indexValid is set if index contains all entries of head. If it isn't, the
	// head must be read before the next decision.
	indexValid    bool
	layoutChecked bool
	// loadedTo is the ordinal after that of the last segment in the index.
	loadedTo  uint32
	headBytes int
	pending   []*operation
	// lastAccess is the time of the last read or write of the head.
	lastAccess     time.Time
	hasWritePermit bool
	// lastError is the text of the error that prevents writes, or empty if the
	// range is writable.
	lastError string
	// beforeRestore is the index from before a restore of the store, until the present head is
	// loaded. lost holds the entries that the store has lost and that are not written again yet.
	beforeRestore *index
	lost          []*pb.OnceEntry
	// deleted contains the numbers of dropped segments that were deleted from
	// the store.
	deleted map[uint64]bool
}

// Stats contains the counters of a writer since its start.
type Stats struct {
	// Commits is the number of head writes, Entries the number of entries that
	// they added.
	Commits, Entries int64
	// Conflicts, Ambiguous and Unavailable count failed writes of the head by
	// kind of error.
	Conflicts, Ambiguous, Unavailable int64
	// Reads is the number of reads of the head, SegmentReads of segments.
	Reads, SegmentReads int64
	// Sealed and Deleted are the numbers of segments written and deleted.
	Sealed, Deleted int64
	// Refused is the number of refused claims.
	Refused int64
}

type counters struct {
	commits, entries, conflicts, ambiguous, unavailable, reads, sealed, deleted, refused atomic.Int64
}

// StartWriter starts a writer for a range. The range is loaded when the first
// request arrives. writeLimiter limits store writes and may be shared by
// several writers; nil means no limit. config must have passed Check.
func StartWriter(s store.Store, rangeID Range, config Config, writeLimiter *rate.Limiter, incarnations Incarnations) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{
		config: config, store: s, rangeID: rangeID, incarnations: incarnations, writeLimiter: writeLimiter,
		queue:   make(chan *operation, config.QueueLength),
		stop:    cancel,
		stopped: make(chan struct{}),
		deleted: make(map[uint64]bool),
	}
	w.config.Log = config.Log.WithValues("range", rangeID)
	w.segments = newSegmentReader(s, rangeID, config)
	go w.run(ctx)
	return w
}

// Close stops the writer and refuses the queued requests. It returns when the
// writer's goroutine has ended.
func (w *Writer) Close() {
	w.stop()
	<-w.stopped
}

// Stats returns the current counters.
func (w *Writer) Stats() Stats {
	s := &w.stats
	return Stats{
		Commits: s.commits.Load(), Entries: s.entries.Load(), Conflicts: s.conflicts.Load(), Ambiguous: s.ambiguous.Load(),
		Unavailable: s.unavailable.Load(), Reads: s.reads.Load(), SegmentReads: w.segments.reads.Load(),
		Sealed: s.sealed.Load(), Deleted: s.deleted.Load(), Refused: s.refused.Load(),
	}
}

// Claim implements Handle. It returns ErrInvalid if the request is for another
// range or its owner is empty or too long.
func (w *Writer) Claim(ctx context.Context, request ClaimRequest) (ClaimResponse, error) {
	if request.Range != w.rangeID || RangeOf(request.Key, w.config.Ranges) != w.rangeID || request.Owner == "" || len(request.Owner) > maxOwnerBytes {
		return ClaimResponse{}, fmt.Errorf("%w: claim for range %d with owner %q sent to the writer of range %d", ErrInvalid, request.Range, request.Owner, w.rangeID)
	}
	r, err := w.submit(ctx, &operation{claim: &request})
	if err == nil && r.err == nil && r.response.State == Refused {
		w.stats.refused.Add(1)
	}
	if err != nil {
		return ClaimResponse{}, err
	}
	return r.response, r.err
}

// Finish implements Handle. It returns ErrInvalid if the request is for another
// range or its outcome doesn't match the settlement.
func (w *Writer) Finish(ctx context.Context, request FinishRequest) error {
	if request.Range != w.rangeID || RangeOf(request.Key, w.config.Ranges) != w.rangeID || (request.Outcome != nil) != (request.Settlement == Finished) {
		return fmt.Errorf("%w: settlement %d for range %d sent to the writer of range %d", ErrInvalid, request.Settlement, request.Range, w.rangeID)
	}
	if request.Outcome != nil {
		if err := request.Outcome.validate(); err != nil {
			return err
		}
	}
	r, err := w.submit(ctx, &operation{finish: &request})
	if err != nil {
		return err
	}
	if r.err == nil && r.response.State == Refused {
		return ErrNotRecorded
	}
	return r.err
}

// submit queues an operation and waits for its result. Refused means that the
// operation has not taken effect and never will. After ErrNoResponse it may still
// take effect.
func (w *Writer) submit(ctx context.Context, op *operation) (result, error) {
	if w.writeAmbiguous.Load() || ctx.Err() != nil {
		return result{}, nil
	}
	op.ctx, op.resultCh = ctx, make(chan result, 1)
	select {
	case w.queue <- op:
	default:
		return result{}, nil
	}
	stopped := w.stopped
	for {
		select {
		case r := <-op.resultCh:
			return r, nil
		case <-ctx.Done():
			if op.cancel() {
				return result{}, nil
			}
			return result{}, ErrNoResponse
		case <-stopped:
			if op.cancel() {
				return result{}, nil
			}
			// If the operation was being processed, its result was delivered
			// before the writer stopped or never will be.
			select {
			case r := <-op.resultCh:
				return r, nil
			default:
				return result{}, ErrNoResponse
			}
		}
	}
}

// run processes requests until ctx ends.
func (w *Writer) run(ctx context.Context) {
	defer close(w.stopped)
	defer w.refusePending()
	for {
		if len(w.pending) == 0 {
			select {
			case op := <-w.queue:
				w.pending = append(w.pending, op)
			case <-ctx.Done():
				return
			}
		}
		if w.throttle(ctx) != nil {
			return
		}
		w.processBatch(ctx, w.nextBatch())
		if ctx.Err() != nil {
			return
		}
		w.deleteDropped(ctx)
	}
}

// throttle waits until the head may be accessed again. Requests that arrive
// meanwhile join the next batch. Reads are throttled too, because repeats of
// open calls need one for each batch.
func (w *Writer) throttle(ctx context.Context) error {
	if delay := time.Until(w.lastAccess.Add(w.config.MinCommitInterval)); !w.lastAccess.IsZero() && delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return w.acquireWritePermit(ctx)
}

// acquireWritePermit acquires one write from the shared rate limit. The permit is
// held until a store write uses it.
func (w *Writer) acquireWritePermit(ctx context.Context) error {
	if w.hasWritePermit || w.writeLimiter == nil {
		return ctx.Err()
	}
	if err := w.writeLimiter.Wait(ctx); err != nil {
		return err
	}
	w.hasWritePermit = true
	return nil
}

// backOff pauses for config.Backoff or until ctx ends.
func (w *Writer) backOff(ctx context.Context) {
	timer := time.NewTimer(w.config.Backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// nextBatch removes up to BatchEntries operations from the queue, limited by
// BatchBytes.
func (w *Writer) nextBatch() []*operation {
	for len(w.pending) < w.config.BatchEntries {
		select {
		case op := <-w.queue:
			w.pending = append(w.pending, op)
			continue
		default:
		}
		break
	}
	var ops []*operation
	bytes, removed := 0, 0
	for _, op := range w.pending {
		if len(ops) == w.config.BatchEntries || bytes >= w.config.BatchBytes {
			break
		}
		removed++
		if !op.beginProcessing() {
			continue
		}
		bytes += op.maxEntryBytes()
		ops = append(ops, op)
	}
	w.pending = append([]*operation(nil), w.pending[removed:]...)
	return ops
}

// logErrorChange logs the error that prevents writes of the range, once each
// time it changes. A nil error means that the range is writable.
func (w *Writer) logErrorChange(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text == w.lastError {
		return
	}
	w.lastError = text
	if err != nil {
		w.config.Log.Error(err, "range refuses requests")
		return
	}
	w.config.Log.Info("range accepts requests again")
}

// refusePending refuses all operations that are not part of a batch.
func (w *Writer) refusePending() {
	for _, op := range w.pending {
		op.refuseUnlessCanceled()
	}
	w.pending = nil
	for {
		select {
		case op := <-w.queue:
			op.refuseUnlessCanceled()
		default:
			return
		}
	}
}
