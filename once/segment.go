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

// cachedSegments is how many segments are kept decoded for repeats of finished
// calls. A segment may have some hundred KB.
const cachedSegments = 2

// segmentReader reads sealed segments. It is safe for concurrent use.
type segmentReader struct {
	store   store.Store
	rng     Range
	timeout time.Duration
	reads   atomic.Int64
	flights singleflight.Group
	// outcomes limits the reads that repeats of finished calls cause.
	outcomes *rate.Limiter

	mu    sync.Mutex
	cache []*pb.OnceSegment
}

func newSegmentReader(s store.Store, rng Range, config Config) *segmentReader {
	limiter := rate.NewLimiter(rate.Limit(config.OutcomeReads), max(1, int(config.OutcomeReads/4)))
	return &segmentReader{store: s, rng: rng, timeout: config.StoreTimeout, outcomes: limiter}
}

// read returns a segment from the store.
func (s *segmentReader) read(ctx context.Context, number uint64) (*pb.OnceSegment, error) {
	callCtx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	s.reads.Add(1)
	entry, err := s.store.Get(callCtx, segmentKey(s.rng, number))
	if err != nil {
		return nil, err
	}
	return decodeSegment(entry.Value, number)
}

// outcome returns the outcome in a slot of a segment. Several callers for one
// segment share one read.
func (s *segmentReader) outcome(ctx context.Context, number uint64, slot int) (*Outcome, error) {
	segment := s.cached(number)
	if segment == nil {
		key := segmentKey(s.rng, number)
		flight := s.flights.DoChan(key, func() (any, error) { return s.readOutcomes(ctx, number) })
		select {
		case r := <-flight:
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

// readOutcomes reads a segment for all callers that wait for it, and keeps it.
func (s *segmentReader) readOutcomes(ctx context.Context, number uint64) (*pb.OnceSegment, error) {
	waitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.timeout)
	defer cancel()
	if err := s.outcomes.Wait(waitCtx); err != nil {
		return nil, err
	}
	segment, err := s.read(waitCtx, number)
	if err != nil {
		return nil, err
	}
	s.keep(segment)
	return segment, nil
}

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

func (s *segmentReader) keep(segment *pb.OnceSegment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache = append(s.cache, segment)
	if len(s.cache) > cachedSegments {
		s.cache = append([]*pb.OnceSegment(nil), s.cache[1:]...)
	}
}
