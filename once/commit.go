package once

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/store"
)

// errNotWritten means that a write of the head was not attempted or had no
// effect.
var errNotWritten = errors.New("once: head not written")

// plan holds the decisions on a batch of operations for the current index.
type plan struct {
	ops       []*operation
	decisions []decision
	entries   []*pb.OnceEntry
	deferred  []*operation
	// needsConfirmation is set if a result is correct only if the head is still
	// current.
	needsConfirmation bool
}

// processBatch decides a batch of operations and responds to them. Results that
// depend on the head are returned only after the head was confirmed: by the
// batch's own compare-and-swap or, if the batch changes nothing, by a read.
//
// After an ambiguous write, all requests are refused until a later read of the
// head or a later compare-and-swap on the same revision shows whether the write
// took effect. A read that returns the old revision shows nothing, because the
// write may still be in flight. The next compare-and-swap on that revision
// does, because only one can succeed.
func (w *Writer) processBatch(ctx context.Context, ops []*operation) {
	var ambiguous bool
	var ambiguousRevision store.Revision
	defer w.writeAmbiguous.Store(false)
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if attempt > 0 && !ambiguous && w.throttle(ctx) != nil {
			return
		}
		refreshed := !w.indexValid
		if !w.indexValid {
			if err := w.load(ctx); err != nil {
				w.logErrorChange(err)
				if !ambiguous {
					refuseAll(ops)
					return
				}
				w.refusePending()
				w.backOff(ctx)
				continue
			}
		}
		ambiguous = ambiguous && w.revision == ambiguousRevision
		p := w.plan(ops)
		if len(p.entries) == 0 {
			if p.needsConfirmation && !refreshed {
				w.indexValid = false
				continue
			}
			w.respondAll(p)
			return
		}
		err := w.write(ctx, p.entries)
		switch {
		case err == nil:
			w.logErrorChange(nil)
			w.respondAll(p)
			return
		case errors.Is(err, store.ErrConflict):
			w.stats.conflicts.Add(1)
			w.indexValid = false
		case errors.Is(err, store.ErrUnavailable), errors.Is(err, errNotWritten):
			w.stats.unavailable.Add(1)
			w.logErrorChange(err)
			if !ambiguous {
				w.refusePlan(p)
				return
			}
			w.indexValid = false
			w.backOff(ctx)
		default:
			w.stats.ambiguous.Add(1)
			w.logErrorChange(fmt.Errorf("unknown outcome of a write: %w", err))
			w.indexValid = false
			ambiguous, ambiguousRevision = true, w.revision
			w.writeAmbiguous.Store(true)
			p.markAmbiguous()
			w.refusePending()
		}
	}
}

// refuseAll refuses operations. Those that an ambiguous write contained get no
// response.
func refuseAll(ops []*operation) {
	for _, op := range ops {
		op.refuse()
	}
}

// markAmbiguous marks the operations that a write with an unknown outcome
// contained.
func (p *plan) markAmbiguous() {
	for i, d := range p.decisions {
		if d.entry != nil {
			p.ops[i].ambiguous = true
		}
	}
}

// plan decides the operations in order. An operation on a key that an earlier
// one changes is deferred to the next batch. An operation whose caller's
// context has ended is dropped.
func (w *Writer) plan(ops []*operation) plan {
	var p plan
	changed := make(map[Key]bool)
	for _, op := range ops {
		if op.ctx.Err() != nil {
			continue
		}
		if changed[op.key()] {
			p.deferred = append(p.deferred, op)
			continue
		}
		d := w.decide(op)
		if d.entry != nil {
			changed[op.key()] = true
			p.entries = append(p.entries, d.entry)
		}
		p.needsConfirmation = p.needsConfirmation || !d.final
		p.ops = append(p.ops, op)
		p.decisions = append(p.decisions, d)
	}
	return p
}

// respondAll responds to the operations of a plan whose head is confirmed.
func (w *Writer) respondAll(p plan) {
	for i, op := range p.ops {
		w.respond(op, p.decisions[i])
	}
	w.pending = append(p.deferred, w.pending...)
}

// refusePlan refuses the operations of a plan that was not written. Operations
// with a final decision get their result.
func (w *Writer) refusePlan(p plan) {
	for i, op := range p.ops {
		if d := p.decisions[i]; d.final {
			w.respond(op, d)
			continue
		}
		op.refuse()
	}
	refuseAll(p.deferred)
}

// respond delivers the decided result of an operation.
func (w *Writer) respond(op *operation, d decision) {
	switch {
	case !d.inSegment:
		op.respond(d.result)
	case d.record.ordinal < w.head.FirstOrdinal || d.record.ordinal >= w.openOrdinal():
		op.respond(outcomeUnavailable) // The segment was dropped by the write that this batch made.
	default:
		go w.respondFromSegment(op, w.head.Segments[d.record.ordinal-w.head.FirstOrdinal].Number, int(d.record.slot))
	}
}

// outcomeUnavailable is the response to a repeat of a finished call whose
// outcome can't be read at the moment. A refusal would mean that the call did
// not run.
var outcomeUnavailable = result{response: ClaimResponse{State: Done}}

// respondFromSegment responds to a claim with an outcome that is read from a
// segment.
func (w *Writer) respondFromSegment(op *operation, number uint64, slot int) {
	outcome, err := w.segments.readOutcome(op.ctx, number, slot)
	if err != nil {
		op.respond(outcomeUnavailable)
		return
	}
	op.respond(result{response: ClaimResponse{State: Done, Outcome: outcome}})
}

// write appends entries to the head by compare-and-swap. If the head is full,
// its entries are moved to a segment first. On success the index contains the
// new entries.
func (w *Writer) write(ctx context.Context, entries []*pb.OnceEntry) error {
	next, err := w.nextHead(ctx)
	if err != nil {
		return err
	}
	next.Entries = append(next.Entries, entries...)
	value, err := proto.Marshal(next)
	if err != nil || len(value) > maxHeadBytes {
		return errNotWritten
	}
	if err := w.acquireWritePermit(ctx); err != nil {
		return errNotWritten
	}
	w.hasWritePermit = false
	w.lastAccess = time.Now()
	callCtx, cancel := context.WithTimeout(ctx, w.config.StoreTimeout)
	defer cancel()
	revision, err := w.store.Put(callCtx, headKey(w.rangeID), value, w.revision, store.NoLease)
	if err != nil {
		return err
	}
	w.stats.commits.Add(1)
	w.stats.entries.Add(int64(len(entries)))
	return w.applyHead(ctx, next, revision, len(value))
}

// nextHead returns the next head, without new entries. If the current head is
// full, its entries are moved to a segment.
func (w *Writer) nextHead(ctx context.Context) (*pb.OnceHead, error) {
	token := NewToken()
	next := &pb.OnceHead{
		Sequence:     w.head.Sequence + 1,
		Token:        token[:],
		ClockMs:      w.clockMillis(),
		FirstOrdinal: w.head.FirstOrdinal,
		Segments:     append([]*pb.OnceSegmentRef(nil), w.head.Segments...),
		Entries:      append([]*pb.OnceEntry(nil), w.head.Entries...),
	}
	for _, number := range w.head.Dropped {
		if !w.deleted[number] {
			next.Dropped = append(next.Dropped, number)
		}
	}
	if len(w.head.Entries) >= w.config.SealEntries || w.headBytes >= w.config.SealBytes {
		if err := w.seal(ctx); err != nil {
			return nil, err
		}
		next.Segments = append(next.Segments, &pb.OnceSegmentRef{Number: w.head.Sequence, SealedClockMs: next.ClockMs})
		next.Entries = nil
	}
	w.expireSegments(next)
	return next, nil
}

// seal writes the entries of the current head to a segment. The segment number
// is the sequence number of the head. Only one head has that sequence number,
// so two writers that seal it concurrently write the same value.
func (w *Writer) seal(ctx context.Context) error {
	value, err := proto.Marshal(&pb.OnceSegment{Number: w.head.Sequence, Entries: w.head.Entries})
	if err != nil {
		return errNotWritten
	}
	if err := w.acquireWritePermit(ctx); err != nil {
		return errNotWritten
	}
	w.hasWritePermit = false
	callCtx, cancel := context.WithTimeout(ctx, w.config.StoreTimeout)
	defer cancel()
	_, err = w.store.Put(callCtx, segmentKey(w.rangeID, w.head.Sequence), value, 0, store.NoLease)
	switch {
	case err == nil:
		w.stats.sealed.Add(1)
		return nil
	case errors.Is(err, store.ErrConflict):
		return nil
	case errors.Is(err, store.ErrUnavailable):
		return errNotWritten
	}
	// The response was lost. The head must not refer to a segment that may not
	// exist.
	if _, err := w.segments.read(ctx, w.head.Sequence); err != nil {
		return errNotWritten
	}
	return nil
}
