package once

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	pb "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/store"
)

// refresh reads the head and updates the index.
func (w *Writer) refresh(ctx context.Context) error {
	if err := w.checkLayout(ctx); err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, w.config.StoreTimeout)
	defer cancel()
	w.stats.reads.Add(1)
	w.lastAccess = time.Now()
	entry, err := w.store.Get(callCtx, headKey(w.rangeID))
	switch {
	case errors.Is(err, store.ErrNotFound) && (w.wasRestored(0) || w.beforeRestore != nil):
		return w.adoptRestored(ctx, &pb.OnceHead{}, 0, 0)
	case errors.Is(err, store.ErrNotFound):
		if w.revision != 0 {
			return fmt.Errorf("%w: the head of range %d is missing", ErrCorrupt, w.rangeID)
		}
		return w.applyHead(ctx, &pb.OnceHead{}, 0, 0)
	case err != nil:
		return err
	case entry.Revision == w.revision:
		w.indexValid = true
		return nil
	case entry.Revision < w.revision:
		return fmt.Errorf("%w: revision of the head of range %d decreased from %d to %d", ErrCorrupt, w.rangeID, w.revision, entry.Revision)
	}
	head, err := decodeHead(entry.Value)
	if err != nil {
		return err
	}
	if w.wasRestored(entry.Revision) || w.beforeRestore != nil {
		return w.adoptRestored(ctx, head, entry.Revision, len(entry.Value))
	}
	return w.applyHead(ctx, head, entry.Revision, len(entry.Value))
}

// applyHead makes head the current one and applies the entries that are missing
// in the index. Entries are only ever appended to an ordinal, so the entries of
// the previous head with the same ordinal are a prefix of the new ones.
func (w *Writer) applyHead(ctx context.Context, head *pb.OnceHead, revision store.Revision, bytes int) error {
	observed := time.Now()
	w.indexValid = false
	if w.index == nil {
		w.index = newIndex()
	}
	openOrdinal := head.FirstOrdinal + uint32(len(head.Segments))
	if w.head != nil && w.loadedTo+1 == openOrdinal && len(head.Segments) > 0 && head.Segments[len(head.Segments)-1].Number == w.head.Sequence {
		// The segment holds exactly the entries of the previous head.
		w.loadedTo = openOrdinal
	}
	if err := w.loadSegments(ctx, head, openOrdinal); err != nil {
		return err
	}
	firstNew := 0
	if w.head != nil && w.openOrdinal() == openOrdinal {
		firstNew = len(w.head.Entries)
	}
	for i := firstNew; i < len(head.Entries); i++ {
		w.index.apply(head.Entries[i], openOrdinal, i)
	}
	if head.FirstOrdinal > w.index.minOrdinal {
		w.index.dropBelow(head.FirstOrdinal, int(head.FirstOrdinal-w.index.minOrdinal)*w.config.SealEntries)
	}
	for number := range w.deleted {
		if !contains(head.Dropped, number) {
			delete(w.deleted, number)
		}
	}
	w.head, w.revision, w.headBytes, w.headObservedAt, w.indexValid = head, revision, bytes, observed, true
	return nil
}

func (w *Writer) openOrdinal() uint32 { return w.head.FirstOrdinal + uint32(len(w.head.Segments)) }

// loadSegments applies, in order, the segments below openOrdinal that are
// missing in the index. It reads up to LoadParallel of them at a time.
func (w *Writer) loadSegments(ctx context.Context, head *pb.OnceHead, openOrdinal uint32) error {
	w.loadedTo = max(w.loadedTo, head.FirstOrdinal)
	for w.loadedTo < openOrdinal {
		n := min(int(openOrdinal-w.loadedTo), w.config.LoadParallel)
		loaded := make([]*pb.OnceSegment, n)
		group, groupCtx := errgroup.WithContext(ctx)
		for i := range n {
			number := head.Segments[int(w.loadedTo-head.FirstOrdinal)+i].Number
			group.Go(func() error {
				segment, err := w.segments.read(groupCtx, number)
				loaded[i] = segment
				return err
			})
		}
		if err := group.Wait(); err != nil {
			return err
		}
		for _, segment := range loaded {
			for slot, e := range segment.Entries {
				w.index.apply(e, w.loadedTo, slot)
			}
			w.loadedTo++
		}
	}
	return nil
}

// checkLayout checks that all processes distribute keys over the same number of
// ranges. Otherwise a key could be claimed in two ranges.
func (w *Writer) checkLayout(ctx context.Context) error {
	if w.layoutChecked {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, w.config.StoreTimeout)
	defer cancel()
	entry, err := w.store.Get(callCtx, layoutKey)
	if errors.Is(err, store.ErrNotFound) {
		value, encodeErr := proto.Marshal(&pb.OnceLayout{Ranges: w.config.Ranges})
		if encodeErr != nil {
			return encodeErr
		}
		if _, err = w.store.Put(callCtx, layoutKey, value, 0, store.NoLease); err != nil && !errors.Is(err, store.ErrConflict) {
			return err
		}
		entry, err = w.store.Get(callCtx, layoutKey)
	}
	if err != nil {
		return err
	}
	layout := &pb.OnceLayout{}
	if err := proto.Unmarshal(entry.Value, layout); err != nil {
		return fmt.Errorf("%w: decode layout: %v", ErrCorrupt, err)
	}
	if layout.Ranges != w.config.Ranges {
		return fmt.Errorf("%w: %d configured, %d stored", ErrLayout, w.config.Ranges, layout.Ranges)
	}
	w.layoutChecked = true
	return nil
}
