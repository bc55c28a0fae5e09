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

// plan is what a batch comes to against the current index.
type plan struct {
	ops       []*operation
	decisions []decision
	entries   []*pb.OnceEntry
	deferred  []*operation
	// confirm says that a result depends on the head still being current.
	confirm bool
}

// process answers a batch of operations. Results that depend on the head are
// given only after the head was confirmed: by the batch's own compare-and-swap
// or, if the batch changes nothing, by a read.
//
// After an ambiguous write nothing is accepted until a later look at the head or
// a later compare-and-swap on the same revision has decided. A read that finds
// the old revision decides nothing, since the write may still be on its way; the
// next compare-and-swap on that revision does, since only one can succeed.
func (w *Writer) process(ctx context.Context, ops []*operation) {
	var doubt bool
	var doubtRevision store.Revision
	defer w.undecided.Store(false)
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if attempt > 0 && !doubt && w.pace(ctx) != nil {
			return
		}
		fresh := !w.valid
		if !w.valid {
			if err := w.refresh(ctx); err != nil {
				w.note(err)
				if !doubt {
					refuseAll(ops)
					return
				}
				w.refuseWaiting()
				w.sleep(ctx)
				continue
			}
		}
		doubt = doubt && w.revision == doubtRevision
		p := w.plan(ops)
		if len(p.entries) == 0 {
			if p.confirm && !fresh {
				w.valid = false
				continue
			}
			w.answer(p)
			return
		}
		err := w.write(ctx, p.entries)
		switch {
		case err == nil:
			w.note(nil)
			w.answer(p)
			return
		case errors.Is(err, store.ErrConflict):
			w.stats.conflicts.Add(1)
			w.valid = false
		case errors.Is(err, store.ErrUnavailable), errors.Is(err, errNotWritten):
			w.stats.unavailable.Add(1)
			w.note(err)
			if !doubt {
				w.refusePlan(p)
				return
			}
			w.valid = false
			w.sleep(ctx)
		default:
			w.stats.ambiguous.Add(1)
			w.note(fmt.Errorf("outcome of a write is undecided: %w", err))
			w.valid = false
			doubt, doubtRevision = true, w.revision
			w.undecided.Store(true)
			p.markInDoubt()
			w.refuseWaiting()
		}
	}
}

// refuseAll refuses the operations that no write can have recorded.
func refuseAll(ops []*operation) {
	for _, op := range ops {
		op.refuse()
	}
}

// markInDoubt notes which operations a write of unknown outcome contained.
func (p *plan) markInDoubt() {
	for i, d := range p.decisions {
		if d.entry != nil {
			p.ops[i].inDoubt = true
		}
	}
}

// plan decides the operations in order. An operation on a key that an earlier
// one changes is deferred to the next batch. One whose caller has left is
// dropped.
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
		p.confirm = p.confirm || !d.final
		p.ops = append(p.ops, op)
		p.decisions = append(p.decisions, d)
	}
	return p
}

// answer gives the results of a plan whose head is confirmed.
func (w *Writer) answer(p plan) {
	for i, op := range p.ops {
		w.give(op, p.decisions[i])
	}
	w.waiting = append(p.deferred, w.waiting...)
}

// refusePlan refuses a plan of which nothing was written, except for results that
// hold in any case.
func (w *Writer) refusePlan(p plan) {
	for i, op := range p.ops {
		if d := p.decisions[i]; d.final {
			w.give(op, d)
			continue
		}
		op.refuse()
	}
	refuseAll(p.deferred)
}

// give answers an operation with its decision.
func (w *Writer) give(op *operation, d decision) {
	switch {
	case !d.sealed:
		op.answer(d.result)
	case d.record.ordinal < w.head.FirstOrdinal || d.record.ordinal >= w.openOrdinal():
		op.answer(outcomeNotRead) // Its segment was dropped by this very write.
	default:
		go w.answerSealed(op, w.head.Segments[d.record.ordinal-w.head.FirstOrdinal].Number, int(d.record.slot))
	}
}

// outcomeNotRead answers a repeat of a finished call whose outcome can't be read
// at the moment. A refusal would say that the call did not run.
var outcomeNotRead = result{answer: Answer{State: Done}}

// answerSealed answers a claim with the outcome that a segment holds.
func (w *Writer) answerSealed(op *operation, number uint64, slot int) {
	outcome, err := w.segments.outcome(op.ctx, number, slot)
	if err != nil {
		op.answer(outcomeNotRead)
		return
	}
	op.answer(result{answer: Answer{State: Done, Outcome: outcome}})
}

// write appends entries to the head by compare-and-swap. A full head is sealed
// first. On success the index has the new entries.
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
	if err := w.acquire(ctx); err != nil {
		return errNotWritten
	}
	w.permit = false
	w.lastAccess = time.Now()
	callCtx, cancel := context.WithTimeout(ctx, w.config.StoreTimeout)
	defer cancel()
	revision, err := w.store.Put(callCtx, headKey(w.rng), value, w.revision, 0)
	if err != nil {
		return err
	}
	w.stats.commits.Add(1)
	w.stats.entries.Add(int64(len(entries)))
	return w.adopt(ctx, next, revision, len(value))
}

// nextHead returns the successor of the current head without new entries. It
// seals the entries of a full head into a segment.
func (w *Writer) nextHead(ctx context.Context) (*pb.OnceHead, error) {
	token := NewToken()
	next := &pb.OnceHead{
		Sequence:     w.head.Sequence + 1,
		Token:        token[:],
		ClockMs:      w.clock(),
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
	w.expire(next)
	return next, nil
}

// seal writes the entries of the current head into a segment. The segment's
// number is the sequence of the head, and only one head has that sequence, so
// that two writers that seal it write the same value.
func (w *Writer) seal(ctx context.Context) error {
	value, err := proto.Marshal(&pb.OnceSegment{Number: w.head.Sequence, Entries: w.head.Entries})
	if err != nil {
		return errNotWritten
	}
	if err := w.acquire(ctx); err != nil {
		return errNotWritten
	}
	w.permit = false
	callCtx, cancel := context.WithTimeout(ctx, w.config.StoreTimeout)
	defer cancel()
	_, err = w.store.Put(callCtx, segmentKey(w.rng, w.head.Sequence), value, 0, 0)
	switch {
	case err == nil:
		w.stats.sealed.Add(1)
		return nil
	case errors.Is(err, store.ErrConflict):
		return nil
	case errors.Is(err, store.ErrUnavailable):
		return errNotWritten
	}
	// The answer was lost. The head must not name a segment that may not exist.
	if _, err := w.segments.read(ctx, w.head.Sequence); err != nil {
		return errNotWritten
	}
	return nil
}
