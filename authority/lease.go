package authority

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/figweir/figweir/store"
)

// LeaseOptions sets the times of a process's lease.
type LeaseOptions struct {
	// LeaseTime is how long the store keeps the lease without a renewal.
	LeaseTime time.Duration
	// Margin is how much earlier than the store the process takes its lease as
	// lapsed. It covers the difference between the rates of two clocks.
	Margin time.Duration
	// RenewEvery is the time between two rounds of renewal and acquisition.
	RenewEvery time.Duration
	// StoreTimeout bounds each call to the store.
	StoreTimeout time.Duration
}

// DefaultLeaseOptions lets two renewals fail before a duty is lost.
func DefaultLeaseOptions() LeaseOptions {
	return LeaseOptions{LeaseTime: 10 * time.Second, Margin: 1 * time.Second, RenewEvery: 3 * time.Second, StoreTimeout: 1 * time.Second}
}

// retryFraction divides RenewEvery after a round in which a renewal failed.
const retryFraction = 4

// Lease is the one lease of a process. All its duties hang on it, so that
// renewals cost the store one write per holder and not one per duty.
type Lease struct {
	store   store.Store
	process Process
	clock   Clock
	options LeaseOptions

	mu sync.Mutex
	id store.LeaseID
	// until is the time from which the process may no longer act: the time at
	// which the last successful renewal was sent + LeaseTime - Margin.
	until  time.Time
	duties []*Duty
}

// NewLease returns the lease of a process. It is granted when a duty first
// needs it.
func NewLease(s store.Store, process Process, clock Clock, options LeaseOptions) *Lease {
	return &Lease{store: s, process: process, clock: clock, options: options}
}

// Duty adds a duty. candidate tells whether this process should try to acquire
// it while it does not hold it; it is called once a round and must not block.
func (l *Lease) Duty(name string, candidate func() bool) *Duty {
	d := &Duty{name: name, candidate: candidate, lease: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.duties = append(l.duties, d)
	return d
}

// Run renews the lease and acquires duties until ctx ends. It then gives the
// duties up and revokes the lease, so that they move at once.
func (l *Lease) Run(ctx context.Context) {
	for {
		wait := l.options.RenewEvery
		if err := l.round(ctx); err != nil {
			wait /= retryFraction
		}
		if l.clock.Sleep(ctx, wait) != nil {
			l.stop(context.WithoutCancel(ctx))
			return
		}
	}
}

// round renews the lease if a duty hangs on it and tries to acquire the duties
// for which this process is a candidate. It returns the error of the renewal.
func (l *Lease) round(ctx context.Context) error {
	var renewErr error
	if l.holdsAny() {
		renewErr = l.renew(ctx)
	}
	for _, d := range l.snapshot() {
		if !d.attached() && d.candidate() {
			l.acquire(ctx, d)
		}
	}
	return renewErr
}

func (l *Lease) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.options.StoreTimeout)
	defer cancel()
	l.mu.Lock()
	id := l.id
	l.mu.Unlock()
	sent := l.clock.Now()
	err := l.store.Renew(ctx, id)
	switch {
	case err == nil:
		l.extend(id, sent)
	case errors.Is(err, store.ErrNotFound):
		l.drop(id)
	}
	return err
}

// grant returns a lease that is good for an acquisition. A lease on which no
// duty hangs is not renewed and may have lapsed, so a new one takes its place.
func (l *Lease) grant(ctx context.Context) (store.LeaseID, error) {
	if l.holdsAny() {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.id, nil
	}
	sent := l.clock.Now()
	id, err := l.store.Grant(ctx, l.options.LeaseTime)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	l.id = id
	l.mu.Unlock()
	l.extend(id, sent)
	return id, nil
}

func (l *Lease) extend(id store.LeaseID, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.until = sent.Add(l.options.LeaseTime - l.options.Margin)
	}
}

// drop gives up every duty that hangs on the lease.
func (l *Lease) drop(id store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != id {
		return
	}
	l.id, l.until = 0, time.Time{}
	for _, d := range l.duties {
		d.held = false
	}
}

func (l *Lease) stop(ctx context.Context) {
	l.mu.Lock()
	id := l.id
	l.mu.Unlock()
	if id == 0 {
		return
	}
	l.drop(id)
	ctx, cancel := context.WithTimeout(ctx, l.options.StoreTimeout)
	defer cancel()
	// A lease that can't be revoked lapses by itself.
	_ = l.store.Revoke(ctx, id)
}

// acquire tries once to write the leased record of a duty. Failures are left
// to the next round.
func (l *Lease) acquire(ctx context.Context, d *Duty) {
	ctx, cancel := context.WithTimeout(ctx, l.options.StoreTimeout)
	defer cancel()
	// A read costs the store less than a write that is bound to fail.
	if !l.adopt(ctx, d) {
		return
	}
	id, err := l.grant(ctx)
	if err != nil {
		return
	}
	rec := dutyRecord{Holder: l.process, Token: uuid.NewString()}
	raw, err := json.Marshal(rec)
	if err != nil {
		return
	}
	d.token = rec.Token
	revision, err := l.store.Put(ctx, d.key(), raw, 0, id)
	switch {
	case err == nil:
		l.attach(d, id, revision)
	case errors.Is(err, store.ErrNotFound):
		l.drop(id)
	case errors.Is(err, store.ErrAmbiguous):
		l.adopt(ctx, d)
	}
}

// adopt reads the leased record and takes the duty if the record is that of
// an earlier write by this process whose answer was lost. It reports whether
// the duty is free.
func (l *Lease) adopt(ctx context.Context, d *Duty) (free bool) {
	entry, err := l.store.Get(ctx, d.key())
	if err != nil {
		return errors.Is(err, store.ErrNotFound)
	}
	var rec dutyRecord
	if json.Unmarshal(entry.Value, &rec) == nil && rec.Token == d.token {
		l.attach(d, entry.Lease, entry.Revision)
	}
	return false
}

func (l *Lease) attach(d *Duty, id store.LeaseID, revision store.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		d.held = true
		d.revision = revision
		d.term++
	}
}

func (l *Lease) holdsAny() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range l.duties {
		if d.held {
			return true
		}
	}
	return false
}

func (l *Lease) snapshot() []*Duty {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Duty(nil), l.duties...)
}
