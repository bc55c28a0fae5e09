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

// Writer changes the head of one range. It answers requests one batch at a time
// in a goroutine of its own, which alone uses the fields below owned.
type Writer struct {
	config       Config
	store        store.Store
	rng          Range
	incarnations Incarnations
	budget       *rate.Limiter
	queue        chan *operation
	stop         context.CancelFunc
	stopped      chan struct{}
	// undecided is true while a write may or may not have taken effect.
	undecided atomic.Bool
	segments  *segmentReader
	stats     counters

	// owned by run:

	index    *index
	head     *pb.OnceHead
	revision store.Revision
	// observed is when head was known to be in the store.
	observed time.Time
	// valid says that index has every entry of head.
	valid     bool
	layoutOK  bool
	loadedTo  uint32
	headBytes int
	waiting   []*operation
	// lastAccess is when the head was last read or written.
	lastAccess time.Time
	permit     bool
	// failing is the text of the last error, or empty if the range works.
	failing string
	// deleted holds dropped segments that are gone from the store.
	deleted map[uint64]bool
}

// Stats counts what a writer has done since it was started.
type Stats struct {
	// Commits is the number of heads written, Entries the entries in them.
	Commits, Entries int64
	// Conflicts, Ambiguous and Unavailable count the answers to writes of the
	// head that were not a success.
	Conflicts, Ambiguous, Unavailable int64
	// Reads counts reads of the head, SegmentReads those of segments.
	Reads, SegmentReads int64
	// Sealed and Deleted count segments.
	Sealed, Deleted int64
	// Refused counts claims refused by the writer.
	Refused int64
}

type counters struct {
	commits, entries, conflicts, ambiguous, unavailable, reads, sealed, deleted, refused atomic.Int64
}

// StartWriter starts the writer of a range. It reads the range when the first
// request arrives. budget is shared by writers and limits their store writes.
// The configuration must have passed its Check.
func StartWriter(s store.Store, rng Range, config Config, budget *rate.Limiter, incarnations Incarnations) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{
		config: config, store: s, rng: rng, incarnations: incarnations, budget: budget,
		queue:   make(chan *operation, config.QueueLength),
		stop:    cancel,
		stopped: make(chan struct{}),
		deleted: make(map[uint64]bool),
	}
	w.config.Log = config.Log.WithValues("range", rng)
	w.segments = newSegmentReader(s, rng, config)
	go w.run(ctx)
	return w
}

// Close stops the writer and refuses what is waiting. It returns when the
// writer's goroutine has ended.
func (w *Writer) Close() {
	w.stop()
	<-w.stopped
}

// Stats returns the writer's counters.
func (w *Writer) Stats() Stats {
	s := &w.stats
	return Stats{
		Commits: s.commits.Load(), Entries: s.entries.Load(), Conflicts: s.conflicts.Load(), Ambiguous: s.ambiguous.Load(),
		Unavailable: s.unavailable.Load(), Reads: s.reads.Load(), SegmentReads: w.segments.reads.Load(),
		Sealed: s.sealed.Load(), Deleted: s.deleted.Load(), Refused: s.refused.Load(),
	}
}

// Claim implements Handle.
func (w *Writer) Claim(ctx context.Context, request ClaimRequest) (Answer, error) {
	if request.Range != w.rng || RangeOf(request.Key, w.config.Ranges) != w.rng || request.Owner == "" || len(request.Owner) > maxOwnerBytes {
		return Answer{}, fmt.Errorf("%w: claim of range %d by owner %q at the writer of range %d", ErrInvalid, request.Range, request.Owner, w.rng)
	}
	r, err := w.submit(ctx, &operation{claim: &request})
	if err == nil && r.err == nil && r.answer.State == Refused {
		w.stats.refused.Add(1)
	}
	if err != nil {
		return Answer{}, err
	}
	return r.answer, r.err
}

// Finish implements Handle.
func (w *Writer) Finish(ctx context.Context, request FinishRequest) error {
	if request.Range != w.rng || RangeOf(request.Key, w.config.Ranges) != w.rng || (request.Outcome != nil) != (request.Settlement == Finished) {
		return fmt.Errorf("%w: settlement %d of range %d at the writer of range %d", ErrInvalid, request.Settlement, request.Range, w.rng)
	}
	if request.Outcome != nil {
		if err := request.Outcome.check(); err != nil {
			return err
		}
	}
	r, err := w.submit(ctx, &operation{finish: &request})
	if err != nil {
		return err
	}
	if r.err == nil && r.answer.State == Refused {
		return ErrNotRecorded
	}
	return r.err
}

// submit queues an operation and waits for its result. A result of Refused means
// that the operation has had and will have no effect.
func (w *Writer) submit(ctx context.Context, op *operation) (result, error) {
	if w.undecided.Load() || ctx.Err() != nil {
		return result{}, nil
	}
	op.ctx, op.done = ctx, make(chan result, 1)
	select {
	case w.queue <- op:
	default:
		return result{}, nil
	}
	stopped := w.stopped
	for {
		select {
		case r := <-op.done:
			return r, nil
		case <-ctx.Done():
			if op.withdraw() {
				return result{}, nil
			}
			return result{}, ErrNoAnswer
		case <-stopped:
			if op.withdraw() {
				return result{}, nil
			}
			// A taken operation was answered before the writer stopped, or it
			// never will be.
			select {
			case r := <-op.done:
				return r, nil
			default:
				return result{}, ErrNoAnswer
			}
		}
	}
}

// run answers requests until ctx ends.
func (w *Writer) run(ctx context.Context) {
	defer close(w.stopped)
	defer w.refuseWaiting()
	for {
		if len(w.waiting) == 0 {
			select {
			case op := <-w.queue:
				w.waiting = append(w.waiting, op)
			case <-ctx.Done():
				return
			}
		}
		if w.pace(ctx) != nil {
			return
		}
		w.process(ctx, w.collect())
		if ctx.Err() != nil {
			return
		}
		w.deleteDropped(ctx)
	}
}

// pace waits until the head may be read or written again. What arrives meanwhile
// joins the next batch. Reads are limited too, because repeats of open calls need
// one for each batch.
func (w *Writer) pace(ctx context.Context) error {
	if wait := time.Until(w.lastAccess.Add(w.config.MinCommitInterval)); !w.lastAccess.IsZero() && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return w.acquire(ctx)
}

// acquire takes one store write from the shared budget and keeps it until spend.
func (w *Writer) acquire(ctx context.Context) error {
	if w.permit || w.budget == nil {
		return ctx.Err()
	}
	if err := w.budget.Wait(ctx); err != nil {
		return err
	}
	w.permit = true
	return nil
}

// sleep waits for the backoff time or until ctx ends.
func (w *Writer) sleep(ctx context.Context) {
	timer := time.NewTimer(w.config.Backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// collect takes the waiting operations that one write can hold.
func (w *Writer) collect() []*operation {
	for len(w.waiting) < w.config.BatchEntries {
		select {
		case op := <-w.queue:
			w.waiting = append(w.waiting, op)
			continue
		default:
		}
		break
	}
	var ops []*operation
	bytes, taken := 0, 0
	for _, op := range w.waiting {
		if len(ops) == w.config.BatchEntries || bytes >= w.config.BatchBytes {
			break
		}
		taken++
		if !op.take() {
			continue
		}
		bytes += op.bytes()
		ops = append(ops, op)
	}
	w.waiting = append([]*operation(nil), w.waiting[taken:]...)
	return ops
}

// note logs the error that keeps the range from being written, once for each
// change. nil means that the range works.
func (w *Writer) note(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text == w.failing {
		return
	}
	w.failing = text
	if err != nil {
		w.config.Log.Error(err, "range refuses requests")
		return
	}
	w.config.Log.Info("range accepts requests again")
}

// refuseWaiting refuses every operation that no batch has taken.
func (w *Writer) refuseWaiting() {
	for _, op := range w.waiting {
		op.refuseWaiting()
	}
	w.waiting = nil
	for {
		select {
		case op := <-w.queue:
			op.refuseWaiting()
		default:
			return
		}
	}
}
