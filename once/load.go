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

// refresh reads the head and brings the index up to it.
func (w *Writer) refresh(ctx context.Context) error {
	if err := w.checkLayout(ctx); err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, w.config.StoreTimeout)
	defer cancel()
	w.stats.reads.Add(1)
	w.lastAccess = time.Now()
	entry, err := w.store.Get(callCtx, headKey(w.rng))
	switch {
	case errors.Is(err, store.ErrNotFound):
		if w.revision != 0 {
			return fmt.Errorf("%w: the head of range %d is gone", ErrCorrupt, w.rng)
		}
		return w.adopt(ctx, &pb.OnceHead{}, 0, 0)
	case err != nil:
		return err
	case entry.Revision == w.revision:
		w.valid = true
		return nil
	case entry.Revision < w.revision:
		return fmt.Errorf("%w: the head of range %d went back from revision %d to %d", ErrCorrupt, w.rng, w.revision, entry.Revision)
	}
	head, err := decodeHead(entry.Value)
	if err != nil {
		return err
	}
	return w.adopt(ctx, head, entry.Revision, len(entry.Value))
}

// adopt makes head the current one and applies the entries that the index lacks.
// Entries of one ordinal are only ever appended, so that those of the previous
// head with the same ordinal are a prefix of the new ones.
func (w *Writer) adopt(ctx context.Context, head *pb.OnceHead, revision store.Revision, bytes int) error {
	observed := time.Now()
	w.valid = false
	if w.index == nil {
		w.index = newIndex()
	}
	open := head.FirstOrdinal + uint32(len(head.Segments))
	if w.head != nil && w.loadedTo+1 == open && len(head.Segments) > 0 && head.Segments[len(head.Segments)-1].Number == w.head.Sequence {
		// The segment holds exactly the entries of the head before.
		w.loadedTo = open
	}
	if err := w.loadSegments(ctx, head, open); err != nil {
		return err
	}
	from := 0
	if w.head != nil && w.openOrdinal() == open {
		from = len(w.head.Entries)
	}
	for i := from; i < len(head.Entries); i++ {
		w.index.apply(head.Entries[i], open, i)
	}
	if head.FirstOrdinal > w.index.floor {
		w.index.drop(head.FirstOrdinal, int(head.FirstOrdinal-w.index.floor)*w.config.SealEntries)
	}
	for number := range w.deleted {
		if !contains(head.Dropped, number) {
			delete(w.deleted, number)
		}
	}
	w.head, w.revision, w.headBytes, w.observed, w.valid = head, revision, bytes, observed, true
	return nil
}

func (w *Writer) openOrdinal() uint32 { return w.head.FirstOrdinal + uint32(len(w.head.Segments)) }

// loadSegments applies the segments below open that the index lacks, a few at a
// time and in order.
func (w *Writer) loadSegments(ctx context.Context, head *pb.OnceHead, open uint32) error {
	w.loadedTo = max(w.loadedTo, head.FirstOrdinal)
	for w.loadedTo < open {
		n := min(int(open-w.loadedTo), w.config.LoadParallel)
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

// checkLayout makes sure that every process spreads keys over the same number of
// ranges; otherwise one key would have a claim in two ranges.
func (w *Writer) checkLayout(ctx context.Context) error {
	if w.layoutOK {
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
		if _, err = w.store.Put(callCtx, layoutKey, value, 0, 0); err != nil && !errors.Is(err, store.ErrConflict) {
			return err
		}
		entry, err = w.store.Get(callCtx, layoutKey)
	}
	if err != nil {
		return err
	}
	layout := &pb.OnceLayout{}
	if err := proto.Unmarshal(entry.Value, layout); err != nil {
		return fmt.Errorf("%w: layout: %v", ErrCorrupt, err)
	}
	if layout.Ranges != w.config.Ranges {
		return fmt.Errorf("%w: configured %d, stored %d", ErrLayout, w.config.Ranges, layout.Ranges)
	}
	w.layoutOK = true
	return nil
}
