package once

import (
	"context"
	"errors"
	"slices"
	"time"

	pb "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/store"
)

// maxDeletesPerCommit bounds the deletions of dropped segments after one batch,
// so that they don't hold up claims.
const maxDeletesPerCommit = 2

// clock returns the range's clock in milliseconds: the clock of the head plus the
// time that this writer has measured since it saw that head in the store. Time
// between writers is not counted, so that the clock never runs ahead of real
// time, whatever the wall clocks of the nodes show: claims are kept at least for
// the retention time.
func (w *Writer) clock() uint64 {
	return w.head.ClockMs + uint64(time.Since(w.observed).Milliseconds())
}

// expire moves the segments that were sealed before the retention time from the
// list of segments to the list of those to delete.
func (w *Writer) expire(head *pb.OnceHead) {
	retention := uint64(w.config.Retention.Milliseconds())
	for len(head.Segments) > 0 && head.Segments[0].SealedClockMs+retention < head.ClockMs {
		head.Dropped = append(head.Dropped, head.Segments[0].Number)
		head.Segments = head.Segments[1:]
		head.FirstOrdinal++
	}
}

// deleteDropped deletes segments that the head in the store no longer uses. The
// next head leaves out those that are gone.
func (w *Writer) deleteDropped(ctx context.Context) {
	if !w.valid || w.head == nil {
		return
	}
	deletes := 0
	for _, number := range w.head.Dropped {
		if w.deleted[number] {
			continue
		}
		if deletes == maxDeletesPerCommit || w.acquire(ctx) != nil {
			return
		}
		w.permit = false
		deletes++
		if w.deleteSegment(ctx, number) {
			w.deleted[number] = true
			w.stats.deleted.Add(1)
		}
	}
}

func (w *Writer) deleteSegment(ctx context.Context, number uint64) bool {
	callCtx, cancel := context.WithTimeout(ctx, w.config.StoreTimeout)
	defer cancel()
	key := segmentKey(w.rng, number)
	entry, err := w.store.Get(callCtx, key)
	if err == nil {
		err = w.store.Delete(callCtx, key, entry.Revision)
	}
	return err == nil || errors.Is(err, store.ErrNotFound)
}

func contains(numbers []uint64, number uint64) bool { return slices.Contains(numbers, number) }
