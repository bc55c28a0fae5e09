package once

import (
	"context"
	"errors"
	"slices"
	"time"

	pb "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/store"
)

// maxDeletesPerCommit limits how many dropped segments are deleted after a
// batch, so that deletions don't delay claims.
const maxDeletesPerCommit = 2

// clockMillis returns the range's clock in milliseconds: the clock of the head
// plus the time that this writer has measured since it observed that head in
// the store. Time during which no writer runs is not counted. The clock
// therefore never advances faster than real time, even if the wall clocks of
// nodes are wrong, and claims are kept for at least the retention time.
func (w *Writer) clockMillis() uint64 {
	return w.head.ClockMs + uint64(time.Since(w.headObservedAt).Milliseconds())
}

// expireSegments moves the segments that were sealed longer than the retention
// time ago from Segments to Dropped.
func (w *Writer) expireSegments(head *pb.OnceHead) {
	retention := uint64(w.config.Retention.Milliseconds())
	for len(head.Segments) > 0 && head.Segments[0].SealedClockMs+retention < head.ClockMs {
		head.Dropped = append(head.Dropped, head.Segments[0].Number)
		head.Segments = head.Segments[1:]
		head.FirstOrdinal++
	}
}

// deleteDropped deletes segments that the stored head no longer refers to. The
// next head omits the deleted ones from Dropped.
func (w *Writer) deleteDropped(ctx context.Context) {
	if !w.indexValid || w.head == nil {
		return
	}
	deletes := 0
	for _, number := range w.head.Dropped {
		if w.deleted[number] {
			continue
		}
		if deletes == maxDeletesPerCommit || w.acquireWritePermit(ctx) != nil {
			return
		}
		w.hasWritePermit = false
		deletes++
		if w.deleteSegment(ctx, number) {
			w.deleted[number] = true
			w.stats.deleted.Add(1)
		}
	}
}

// deleteSegment reports whether the segment no longer exists.
func (w *Writer) deleteSegment(ctx context.Context, number uint64) bool {
	callCtx, cancel := context.WithTimeout(ctx, w.config.StoreTimeout)
	defer cancel()
	key := segmentKey(w.rangeID, number)
	entry, err := w.store.Get(callCtx, key)
	if err == nil {
		err = w.store.Delete(callCtx, key, entry.Revision)
	}
	return err == nil || errors.Is(err, store.ErrNotFound)
}

func contains(numbers []uint64, number uint64) bool { return slices.Contains(numbers, number) }
