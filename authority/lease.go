package authority

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"github.com/figweir/figweir/store"
)

// LeaseOptions sets the durations of a process's lease.
type LeaseOptions struct {
	// LeaseTime is how long the store keeps the lease without a renewal.
	LeaseTime time.Duration
	// Margin is how much earlier than the store the process considers its lease
	// expired. It covers the difference in the rates of the two clocks.
	Margin time.Duration
	// RenewEvery is the interval of lease renewal and acquisition of duties.
	RenewEvery time.Duration
	// ReacquireDelay is the least time after the loss of a duty until the process acquires it
	// again; 0 for none. Another process may have held it and given it up meanwhile: with a delay
	// of a lease time, holders don't alternate within one.
	ReacquireDelay time.Duration
	// StoreTimeout limits each call to the store.
	StoreTimeout time.Duration
	// Era returns the newest era of the store that this process has seen by any call. nil if
	// only the calls of the lease show it.
	Era func() store.Era
	// Log receives a line when duties are given up for a new era.
	Log logr.Logger
}

// DefaultLeaseOptions returns options that tolerate two failed renewals before
// a duty is lost.
func DefaultLeaseOptions() LeaseOptions {
	return LeaseOptions{LeaseTime: 10 * time.Second, Margin: 1 * time.Second, RenewEvery: 3 * time.Second, StoreTimeout: 1 * time.Second}
}

// retryFraction divides the interval after a failed renewal.
const retryFraction = 4

// Lease is the single lease of a process. All duties of the process use it, so
// that a renewal costs the store one write per process, not one per duty.
type Lease struct {
	store   store.Store
	process Process
	clock   Clock
	options LeaseOptions

	mu sync.Mutex
	id store.LeaseID
	// validUntil is the time from which the process may no longer act: the time at
	// which the last successful renewal was sent, plus LeaseTime, minus Margin.
	validUntil time.Time
	duties     []*Duty
	// era is the newest era seen, and eraSeenAt when it was seen first.
	era       store.Era
	eraSeenAt time.Time
	// dutiesEndedByEra counts the duties that were given up because the store was restored.
	dutiesEndedByEra int
}

// NewLease returns the lease of a process. The store grants it when it is first
// needed for a duty.
func NewLease(s store.Store, process Process, clock Clock, options LeaseOptions) *Lease {
	return &Lease{store: s, process: process, clock: clock, options: options}
}

// Duty adds a duty. candidate reports whether this process should try to
// acquire the duty while it does not hold it. It is called once per round and
// must not block.
func (l *Lease) Duty(name string, candidate func() bool) *Duty {
	d := &Duty{name: name, isCandidate: candidate, lease: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.duties = append(l.duties, d)
	return d
}

// Run renews the lease and acquires duties until ctx ends. It then revokes the
// lease, so that other processes can acquire the duties immediately.
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

// round renews the lease if any duty is held and tries to acquire the duties
// for which this process is a candidate. It returns the error of the renewal.
func (l *Lease) round(ctx context.Context) error {
	var renewErr error
	if l.options.Era != nil {
		l.observeEra(l.options.Era())
	}
	if l.holdsDuty() {
		renewErr = l.renew(ctx)
	}
	for _, d := range l.dutyList() {
		if !d.isHeld() && d.isCandidate() {
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
	sentAt := l.clock.Now()
	err := l.store.Renew(ctx, id)
	switch {
	case err == nil:
		l.extend(id, sentAt)
	case errors.Is(err, store.ErrNotFound):
		l.loseDuties(id)
	}
	return err
}

// observeEra records the era of the store. A later one ends the duties of this process, since
// their records and the lease may be gone.
func (l *Lease) observeEra(era store.Era) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if era <= l.era {
		return
	}
	l.era, l.eraSeenAt = era, now
	if l.id == store.NoLease || l.id.Era >= era {
		return
	}
	for _, d := range l.duties {
		if d.held {
			l.dutiesEndedByEra++
			l.options.Log.Info("duty given up, the store was restored", "duty", d.name, "era", uint64(era),
				"fencing_token", uint64(d.revision))
		}
	}
	l.loseDutiesLocked(now)
}

// newestEra returns the newest era seen.
func (l *Lease) newestEra() store.Era {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

// mayAcquire reports whether duties may be acquired in the present era. Their records say nothing
// about holders of the era before until its leases have lapsed: a holder may not know yet that the
// store was restored.
func (l *Lease) mayAcquire() bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era == 0 || now.Sub(l.eraSeenAt) >= l.options.LeaseTime
}

// untilEraSettled returns how long it takes until no order can still be on its way that a holder of
// an earlier era has sent: its lease has lapsed by then, and a copy of its order arrives within
// the connection timeout. The intents of these orders may be gone with the store.
func (l *Lease) untilEraSettled(connectionTimeout time.Duration) time.Duration {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.era == 0 {
		return 0
	}
	return l.options.LeaseTime + connectionTimeout - now.Sub(l.eraSeenAt)
}

// validLocked reports whether the lease allows this process to act: it has not lapsed, and no
// later era of the store was seen. The caller holds mu.
func (l *Lease) validLocked(now time.Time) bool {
	if l.options.Era != nil && l.id.Era < l.options.Era() {
		return false
	}
	return now.Before(l.validUntil)
}

// DutiesEndedByEra returns the number of duties that were given up because the store was restored.
func (l *Lease) DutiesEndedByEra() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dutiesEndedByEra
}

// grant returns a lease that can be used for an acquisition. Without a held
// duty the lease is not renewed and may have expired, so a new one is
// requested.
func (l *Lease) grant(ctx context.Context) (store.LeaseID, error) {
	if l.holdsDuty() {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.id, nil
	}
	sentAt := l.clock.Now()
	id, err := l.store.Grant(ctx, l.options.LeaseTime)
	if err != nil {
		return store.NoLease, err
	}
	l.mu.Lock()
	l.id = id
	l.mu.Unlock()
	l.extend(id, sentAt)
	return id, nil
}

// extend extends the lease after a successful grant or renewal sent at sentAt.
func (l *Lease) extend(id store.LeaseID, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.validUntil = sentAt.Add(l.options.LeaseTime - l.options.Margin)
	}
}

// loseDuties marks all duties that use the lease as not held.
func (l *Lease) loseDuties(id store.LeaseID) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.loseDutiesLocked(now)
	}
}

// loseDutiesLocked marks all duties as not held and forgets the lease. The caller holds mu.
func (l *Lease) loseDutiesLocked(now time.Time) {
	l.id, l.validUntil = store.NoLease, time.Time{}
	for _, d := range l.duties {
		if d.held {
			d.held, d.lostAt = false, now
		}
	}
}

// stop marks all duties as not held and deletes their records. It doesn't end the lease: while
// this process doesn't know that the store was restored, that number may be the lease of another
// one, and that call has no condition.
func (l *Lease) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.options.StoreTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, d := range l.takeDuties() {
		wg.Go(func() {
			if err := l.deleteRecord(ctx, d); err != nil {
				l.options.Log.Info("duty record not deleted, it expires with its lease", "duty", d.name, "cause", err.Error())
			}
		})
	}
	wg.Wait()
}

// takeDuties marks all duties as not held. It returns those that were.
func (l *Lease) takeDuties() []*Duty {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var held []*Duty
	for _, d := range l.duties {
		if d.held {
			held = append(held, d)
		}
	}
	l.loseDutiesLocked(now)
	return held
}

// deleteRecord deletes the record of a duty if this process has written it. It reads the record
// first: in a restored store, that of another process may have the number of this one's.
func (l *Lease) deleteRecord(ctx context.Context, d *Duty) error {
	entry, err := l.store.Get(ctx, d.key())
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var rec dutyRecord
	if err := json.Unmarshal(entry.Value, &rec); err != nil || rec.WriteID != d.lastWriteID {
		return err
	}
	return l.store.Delete(ctx, d.key(), entry.Revision)
}

// acquire tries once to write the leased record of a duty. Errors are ignored,
// because the next round retries.
func (l *Lease) acquire(ctx context.Context, d *Duty) {
	ctx, cancel := context.WithTimeout(ctx, l.options.StoreTimeout)
	defer cancel()
	// A read is cheaper for the store than a write that is certain to fail.
	free, expected := l.checkRecord(ctx, d)
	if !free || !l.mayAcquire() || !d.mayReacquire() {
		return
	}
	id, err := l.grant(ctx)
	if err != nil {
		return
	}
	l.observeEra(id.Era)
	if !l.mayAcquire() {
		return
	}
	rec := dutyRecord{Holder: l.process, Lease: &id, WriteID: uuid.NewString()}
	raw, err := json.Marshal(rec)
	if err != nil {
		return
	}
	d.lastWriteID = rec.WriteID
	revision, err := l.store.Put(ctx, d.key(), raw, expected, id)
	switch {
	case err == nil:
		l.markHeld(d, id, revision)
	case errors.Is(err, store.ErrNotFound):
		l.loseDuties(id)
	case errors.Is(err, store.ErrAmbiguous):
		_, _ = l.checkRecord(ctx, d)
	}
}

// checkRecord reads the leased record. If the record was written by this
// process and the response was lost, it marks the duty as held. It reports
// whether the duty is free, and the revision that an acquisition replaces. A record that is not
// under the lease of its writer counts as free.
func (l *Lease) checkRecord(ctx context.Context, d *Duty) (free bool, replaces store.Revision) {
	entry, err := l.store.Get(ctx, d.key())
	if err != nil {
		return errors.Is(err, store.ErrNotFound), 0
	}
	l.observeEra(entry.Revision.Era())
	var rec dutyRecord
	if json.Unmarshal(entry.Value, &rec) != nil {
		return false, 0
	}
	if !rec.isUnderLease(entry) {
		return true, entry.Revision
	}
	if rec.WriteID == d.lastWriteID {
		l.markHeld(d, entry.Lease, entry.Revision)
	}
	return false, 0
}

// markHeld marks a duty as held if id is the current lease, and starts a new
// term of the duty.
func (l *Lease) markHeld(d *Duty, id store.LeaseID, revision store.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		d.held = true
		d.revision = revision
		d.term++
	}
}

func (l *Lease) holdsDuty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range l.duties {
		if d.held {
			return true
		}
	}
	return false
}

func (l *Lease) dutyList() []*Duty {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Duty(nil), l.duties...)
}
