package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Era is the number of a history of the store. It rises by one each time the store comes back
// from an earlier copy: changes that it had acknowledged since that copy are gone, and it gives
// their revisions and the numbers of their leases out again. A store that doesn't state its era
// has era 0.
type Era uint64

const (
	// eraShift is the number of bits of a Revision below the era.
	eraShift = 40
	// maxNumber is the greatest number of a revision within an era.
	maxNumber = 1<<eraShift - 1
	// maxEra keeps revisions below 1<<63, since some are stored as signed integers.
	maxEra = 1<<(63-eraShift) - 1
)

// errOutOfRange means that a store stated an era or a revision that is too large.
var errOutOfRange = errors.New("store: number out of range")

// NewRevision returns the revision of the change with the given number in an era; number 0 is the
// position before the first change. It returns an error if either is too large.
func NewRevision(era Era, number uint64) (Revision, error) {
	if era > maxEra || number > maxNumber {
		return 0, fmt.Errorf("%w: era %d, number %d", errOutOfRange, era, number)
	}
	return Revision(uint64(era)<<eraShift | number), nil
}

// Era returns the era of the revision.
func (r Revision) Era() Era { return Era(r >> eraShift) }

// Number returns the number of the revision within its era, as the store states it.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }

// EraStart returns the position before the first change of the revision's era.
func (r Revision) EraStart() Revision { return r &^ maxNumber }

// EraTracker holds the newest era of a store that a client has seen. It decides what responses
// prove: those of an earlier era may arrive after one of a later era. Its methods may be called
// from any goroutine.
type EraTracker struct {
	mu  sync.Mutex
	era Era
	// seenAt is when era was seen first.
	seenAt time.Time
	// ended is canceled when a later era is seen.
	ended    context.Context
	endEra   context.CancelFunc
	handlers []func(Era)
}

// NewEraTracker returns a tracker that has seen no era.
func NewEraTracker() *EraTracker {
	t := &EraTracker{}
	t.ended, t.endEra = context.WithCancel(context.Background())
	return t
}

// Current returns the newest era seen; 0 if none was.
func (t *EraTracker) Current() Era {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// Age returns the time since the present era was seen first; 0 if none was.
func (t *EraTracker) Age() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.era == 0 {
		return 0
	}
	return time.Since(t.seenAt)
}

// OnChange adds a function that is called with each later era, the first one included. It must not
// call the tracker's OnChange or Observe.
func (t *EraTracker) OnChange(f func(Era)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handlers = append(t.handlers, f)
}

// Observe records an era that a response of the store has shown. What other nodes state must not be
// passed: a wrong era could never be taken back.
func (t *EraTracker) Observe(era Era) {
	t.mu.Lock()
	if era <= t.era {
		t.mu.Unlock()
		return
	}
	t.era, t.seenAt = era, time.Now()
	t.endEra()
	t.ended, t.endEra = context.WithCancel(context.Background())
	handlers := t.handlers
	t.mu.Unlock()
	for _, f := range handlers {
		f(era)
	}
}

// WithinEra returns a context that ends when a later era is seen, and the present era. The caller
// must call cancel.
func (t *EraTracker) WithinEra(ctx context.Context) (within context.Context, era Era, cancel context.CancelFunc) {
	within, cancelWithin := context.WithCancel(ctx)
	t.mu.Lock()
	era, ended := t.era, t.ended
	t.mu.Unlock()
	stop := context.AfterFunc(ended, cancelWithin)
	return within, era, func() { stop(); cancelWithin() }
}

// CheckRead returns an error if the response of a read belongs to an earlier era than the newest
// one: what it states may be gone.
func (t *EraTracker) CheckRead(answered Era) error {
	if current := t.Current(); answered < current {
		return fmt.Errorf("%w: response of era %d in era %d", ErrUnavailable, answered, current)
	}
	return nil
}

// CheckExpected returns ErrConflict if a write depends on a revision of an earlier era: the
// present value is another one, even if its revision has the same number.
func (t *EraTracker) CheckExpected(expected Revision) error {
	if current := t.Current(); expected != 0 && expected.Era() < current {
		return fmt.Errorf("%w: revision of era %d in era %d", ErrConflict, expected.Era(), current)
	}
	return nil
}

// CheckLease returns ErrNotFound if a lease was granted in an earlier era: its number may belong
// to another process now.
func (t *EraTracker) CheckLease(lease LeaseID) error {
	if current := t.Current(); lease != NoLease && lease.Era < current {
		return fmt.Errorf("%w: lease of era %d in era %d", ErrNotFound, lease.Era, current)
	}
	return nil
}

// CheckWritten returns an error if the acknowledgement of a write proves nothing: it belongs to an
// earlier era than the newest one, so the write may be gone, or to another one than the revision or
// the lease on which the write depended, so the store compared numbers that mean something else.
func (t *EraTracker) CheckWritten(answered Era, expected Revision, lease LeaseID) error {
	if current := t.Current(); answered < current {
		return fmt.Errorf("%w: response of era %d in era %d", ErrAmbiguous, answered, current)
	}
	if expected != 0 && expected.Era() != answered || lease != NoLease && lease.Era != answered {
		return fmt.Errorf("%w: written in era %d under conditions of another one", ErrAmbiguous, answered)
	}
	return nil
}
