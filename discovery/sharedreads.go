package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/boottime"
	"github.com/figweir/figweir/store"
)

const (
	// mirrorWaitFraction is how long a watch of a reader's mirror waits for a change,
	// mirrorMarginFraction how much longer its response may take, and
	// maxMirrorAgeFraction how long ago the store may have last answered a reader whose
	// mirror counts as current. All are fractions of the bound. Their sum leaves time
	// to read a change from the store itself when a reader fails.
	mirrorWaitFraction   = 0.25
	mirrorMarginFraction = 0.125
	maxMirrorAgeFraction = 0.35
	// storeRetryFraction is how long, as a fraction of the bound, a node that uses readers
	// does not call the store again for any prefix after a call has failed: in an outage
	// the calls of all nodes would add up.
	storeRetryFraction = 0.25
	// readerRetryInterval is how long a reader that did not answer is not asked again,
	// and staleRetryInterval the same for one whose mirror was not current.
	readerRetryInterval = 2 * time.Second
	staleRetryInterval  = 300 * time.Millisecond
)

// errStoreSuspended means that the store was not called because a call has just failed.
var errStoreSuspended = fmt.Errorf("%w: a call has just failed", store.ErrUnavailable)

// MirrorClient calls the mirrors of other nodes.
type MirrorClient interface {
	// ListMirror returns the entries under a prefix and the store revision of the
	// list, or ErrMirrorStale if the mirror is older than minRevision.
	ListMirror(ctx context.Context, address, prefix string, minRevision store.Revision) ([]store.Entry, store.Revision, error)
	// WatchMirror returns the changes under a prefix after a revision and the revision
	// to continue from. It waits at most for the given time for a change. It returns
	// ErrMirrorStale or store.ErrCompacted.
	WatchMirror(ctx context.Context, address, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error)
}

// SharedReads wraps a store so that the calls to it do not grow with the number of nodes.
// A few nodes of each failure domain, the readers, list and watch the store and keep
// mirrors. The other nodes list and watch those mirrors. They turn to the store itself
// when no reader has a current mirror.
type SharedReads struct {
	store.Store
	client MirrorClient
	// readers returns the addresses of the readers that this node uses, the preferred
	// one first; none if this node reads the store itself.
	readers func() []string
	// storeAge returns the time since the store last answered this node; false if it
	// never did.
	storeAge func() (time.Duration, bool)
	bound    time.Duration
	log      logr.Logger
	// now returns the time on the boot clock.
	now func() time.Duration

	mu      sync.Mutex
	mirrors map[string]*mirror
	// readUpTo holds, by prefix, the greatest revision up to which this node has read.
	readUpTo map[string]store.Revision
	// viaReader holds, by prefix, whether the last successful call was to a reader.
	viaReader map[string]bool
	// failedUntil holds the readers that failed and until when they are not asked.
	failedUntil map[string]time.Duration
	// storeSuspendedUntil is when the store may be called again by a node that uses
	// readers.
	storeSuspendedUntil time.Duration
}

// NewSharedReads returns a wrapper of st. A change reaches every node that can reach the
// store within bound, even if its reader fails. On readers, storeAge must stay far below
// the bound while the store answers.
func NewSharedReads(st store.Store, c MirrorClient, readers func() []string, storeAge func() (time.Duration, bool), bound time.Duration, log logr.Logger) *SharedReads {
	return &SharedReads{
		Store: st, client: c, readers: readers, storeAge: storeAge, bound: bound, log: log, now: boottime.Now,
		mirrors: make(map[string]*mirror), readUpTo: make(map[string]store.Revision), viaReader: make(map[string]bool), failedUntil: make(map[string]time.Duration),
	}
}

// List implements store.Store.
func (s *SharedReads) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	m, readUpTo := s.state(prefix)
	for _, address := range s.usableReaders() {
		ctx, cancel := context.WithTimeout(ctx, s.fractionOfBound(mirrorWaitFraction))
		entries, at, err := s.client.ListMirror(ctx, address, prefix, readUpTo)
		cancel()
		if err == nil {
			m.invalidate()
			s.advance(prefix, at, true)
			return entries, at, nil
		}
		s.skipReader(address, prefix, err)
	}
	if s.storeSuspended() {
		return nil, 0, errStoreSuspended
	}
	entries, at, err := s.Store.List(ctx, prefix)
	if err != nil {
		m.invalidate()
		s.suspendStore()
		return nil, 0, err
	}
	m.reset(entries, at)
	s.advance(prefix, at, false)
	return entries, at, nil
}

// Watch implements store.Store. A watch of a mirror may end earlier than wait.
func (s *SharedReads) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	m, _ := s.state(prefix)
	mirrorWait := s.fractionOfBound(mirrorWaitFraction)
	for _, address := range s.usableReaders() {
		ctx, cancel := context.WithTimeout(ctx, mirrorWait+s.fractionOfBound(mirrorMarginFraction))
		events, at, err := s.client.WatchMirror(ctx, address, prefix, after, mirrorWait)
		cancel()
		if err == nil {
			m.invalidate()
			s.advance(prefix, at, true)
			return events, at, nil
		}
		if errors.Is(err, store.ErrCompacted) {
			return nil, 0, err
		}
		s.skipReader(address, prefix, err)
	}
	if s.storeSuspended() {
		return nil, 0, errStoreSuspended
	}
	if len(s.readers()) > 0 {
		// Return to the readers soon.
		wait = min(wait, readerRetryInterval)
	} else if !m.isValid() {
		// This node has become a reader: its mirror starts with a list.
		return nil, 0, store.ErrCompacted
	}
	events, at, err := s.Store.Watch(ctx, prefix, after, wait)
	if errors.Is(err, store.ErrCompacted) {
		// The list that follows at once resets the mirror. Until then the other nodes wait for
		// it: without a mirror each of them would list at the store.
		return nil, 0, err
	}
	if err != nil {
		m.invalidate()
		s.suspendStore()
		return nil, 0, err
	}
	m.apply(events, after, at)
	s.advance(prefix, at, false)
	return events, at, nil
}

// ListMirrored returns the entries of this node's own mirror of a prefix. It returns
// ErrMirrorStale if the mirror is not current or older than minRevision.
func (s *SharedReads) ListMirrored(prefix string, minRevision store.Revision) ([]store.Entry, store.Revision, error) {
	m, err := s.currentMirror(prefix)
	if err != nil {
		return nil, 0, err
	}
	return m.list(minRevision)
}

// WatchMirrored returns the changes of this node's own mirror of a prefix after a
// revision, and waits at most for the given time for one. It returns ErrMirrorStale if
// the mirror is not current, and store.ErrCompacted if it has discarded such changes.
func (s *SharedReads) WatchMirrored(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	m, err := s.currentMirror(prefix)
	if err != nil {
		return nil, 0, err
	}
	events, at, err := m.watch(ctx, after, min(wait, s.fractionOfBound(mirrorWaitFraction)))
	if err != nil || len(events) > 0 {
		return events, at, err
	}
	// No change is news too, but only while the store answers.
	_, err = s.currentMirror(prefix)
	return nil, at, err
}

// currentMirror returns the mirror of a prefix, or ErrMirrorStale if the store has not
// answered this node recently.
func (s *SharedReads) currentMirror(prefix string) (*mirror, error) {
	s.mu.Lock()
	m := s.mirrors[prefix]
	s.mu.Unlock()
	age, ok := s.storeAge()
	if m == nil || !ok || age > s.fractionOfBound(maxMirrorAgeFraction) {
		return nil, ErrMirrorStale
	}
	return m, nil
}

// state returns the mirror of a prefix, which it creates if there is none, and the
// greatest revision up to which this node has read.
func (s *SharedReads) state(prefix string) (*mirror, store.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.mirrors[prefix]
	if m == nil {
		m = newMirror()
		s.mirrors[prefix] = m
	}
	return m, s.readUpTo[prefix]
}

// ViaReader reports whether this node last read a prefix from a reader, and not from the
// store.
func (s *SharedReads) ViaReader(prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.viaReader[prefix]
}

// advance records that this node has read a prefix up to a revision.
func (s *SharedReads) advance(prefix string, at store.Revision, viaReader bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.viaReader[prefix] != viaReader {
		s.log.Info("source of reads changed", "prefix", prefix, "via_reader", viaReader, "revision", uint64(at))
	}
	s.viaReader[prefix] = viaReader
	s.readUpTo[prefix] = max(s.readUpTo[prefix], at)
}

// usableReaders returns the readers that have not failed recently.
func (s *SharedReads) usableReaders() []string {
	readers := s.readers()
	s.mu.Lock()
	defer s.mu.Unlock()
	usable := make([]string, 0, len(readers))
	for _, address := range readers {
		if s.now() >= s.failedUntil[address] {
			usable = append(usable, address)
		}
	}
	return usable
}

// storeSuspended reports whether this node must not call the store now.
func (s *SharedReads) storeSuspended() bool {
	if len(s.readers()) == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now() < s.storeSuspendedUntil
}

// suspendStore suspends calls to the store after a failed one.
func (s *SharedReads) suspendStore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeSuspendedUntil = s.now() + s.fractionOfBound(storeRetryFraction)
}

// skipReader excludes a reader for some time after a failed call.
func (s *SharedReads) skipReader(address, prefix string, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for other, until := range s.failedUntil {
		if now >= until {
			delete(s.failedUntil, other)
		}
	}
	interval, log := readerRetryInterval, s.log
	if errors.Is(cause, ErrMirrorStale) {
		// In an outage every node would write a few of these lines a second.
		interval, log = staleRetryInterval, s.log.V(1)
	}
	s.failedUntil[address] = now + interval
	log.Info("reader not usable", "address", address, "prefix", prefix, "cause", cause.Error())
}

// fractionOfBound returns the given fraction of the bound.
func (s *SharedReads) fractionOfBound(fraction float64) time.Duration {
	return time.Duration(fraction * float64(s.bound))
}
