package once

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	pb "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/store"
)

// maxCachedSegments is the number of decoded segments kept in memory to serve
// repeats of finished calls. A segment can be several hundred KB.
const maxCachedSegments = 2

// segmentReader reads sealed segments from the store. It is safe for concurrent
// use.
type segmentReader struct {
	store   store.Store
	rangeID Range
	timeout time.Duration
	reads   atomic.Int64
	fetches singleflight.Group
	// outcomeLimiter limits the reads for repeats of finished calls.
	outcomeLimiter *rate.Limiter

	mu    sync.Mutex
	cache []*pb.OnceSegment
}

func newSegmentReader(s store.Store, rangeID Range, config Config) *segmentReader {
	limiter := rate.NewLimiter(rate.Limit(config.OutcomeReads), max(1, int(config.OutcomeReads/4)))
	return &segmentReader{store: s, rangeID: rangeID, timeout: config.StoreTimeout, outcomeLimiter: limiter}
}

// read reads a segment from the store.
func (s *segmentReader) read(ctx context.Context, number uint64) (*pb.OnceSegment, error) {
	callCtx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	s.reads.Add(1)
	entry, err := s.store.Get(callCtx, segmentKey(s.rangeID, number))
	if err != nil {
		return nil, err
	}
	return decodeSegment(entry.Value, number)
}

// readOutcome returns the outcome in a slot of a segment. Concurrent calls for
// the same segment share one read.
func (s *segmentReader) readOutcome(ctx context.Context, number uint64, slot int) (*Outcome, error) {
	segment := s.cached(number)
	if segment == nil {
		key := segmentKey(s.rangeID, number)
		resultCh := s.fetches.DoChan(key, func() (any, error) { return s.fetch(ctx, number) })
		select {
		case r := <-resultCh:
			if r.Err != nil {
				return nil, r.Err
			}
			segment = r.Val.(*pb.OnceSegment)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if slot >= len(segment.Entries) || segment.Entries[slot].Outcome == nil {
		return nil, fmt.Errorf("%w: segment %d has no outcome in slot %d", ErrCorrupt, number, slot)
	}
	return outcomeFromProto(segment.Entries[slot].Outcome), nil
}

// fetch reads a segment and caches it. The read is not canceled when ctx ends,
// because other callers may be waiting for it.
func (s *segmentReader) fetch(ctx context.Context, number uint64) (*pb.OnceSegment, error) {
	waitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.timeout)
	defer cancel()
	if err := s.outcomeLimiter.Wait(waitCtx); err != nil {
		return nil, err
	}
	segment, err := s.read(waitCtx, number)
	if err != nil {
		return nil, err
	}
	s.addToCache(segment)
	return segment, nil
}

// cached returns a segment from the cache, or nil.
func (s *segmentReader) cached(number uint64) *pb.OnceSegment {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, segment := range s.cache {
		if segment.Number == number {
			return segment
		}
	}
	return nil
}

// clearCache forgets all segments: a restored store may have others with their numbers.
func (s *segmentReader) clearCache() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache = nil
}

func (s *segmentReader) addToCache(segment *pb.OnceSegment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache = append(s.cache, segment)
	if len(s.cache) > maxCachedSegments {
		s.cache = append([]*pb.OnceSegment(nil), s.cache[1:]...)
	}
}
