package authority

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/figweir/figweir/store"
)

// DutyPrefix is the prefix of the store keys of the leased records, followed by
// the name of the duty.
const DutyPrefix = "duty/"

// DecodeHolder decodes the leased record of a duty and returns the process that holds
// it; no process if the record is not under the lease of its writer. It returns an error if the
// value is not a valid record.
func DecodeHolder(e store.Entry) (Process, error) {
	var r dutyRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return Process{}, err
	}
	if !r.isUnderLease(e) {
		return Process{}, nil
	}
	return r.Holder, nil
}

// isUnderLease reports whether the record was found under the lease of its writer, as far as both
// are known: earlier versions neither wrote the lease nor passed it on with what they had read.
func (r dutyRecord) isUnderLease(e store.Entry) bool {
	return r.Lease == nil || e.Lease == store.NoLease || *r.Lease == e.Lease
}

// dutyRecord is the value stored under duty/<name>.
type dutyRecord struct {
	Holder Process `json:"holder"`
	// Lease is the lease of the writer. If the record is found under another lease, it is
	// not kept alive by its holder: the store was restored and its numbers mean something
	// else. nil in records of versions that didn't write it.
	Lease *store.LeaseID `json:"lease,omitempty"`
	// WriteID identifies the write. After a lost response it shows whether the
	// write took effect.
	WriteID string `json:"token"`
}

// Duty is the authority to send one class of orders or reports. It only selects
// the process that may act; the Journal prevents conflicts.
type Duty struct {
	name        string
	isCandidate func() bool
	lease       *Lease

	// lastWriteID is the ID of the last write of the leased record. Only
	// Lease.round uses it.
	lastWriteID string

	// held and term are guarded by lease.mu.
	held bool
	term uint64
	// revision is the store revision of the leased record; also guarded by
	// lease.mu.
	revision store.Revision
	// lostAt is when this process last lost the duty; also guarded by lease.mu.
	lostAt time.Time
}

// Name returns the name of the duty.
func (d *Duty) Name() string { return d.name }

// Term returns the number of the current acquisition by this process, counted
// from 1, and whether the process may act now.
func (d *Duty) Term() (uint64, bool) {
	now := d.lease.clock.Now()
	d.lease.mu.Lock()
	defer d.lease.mu.Unlock()
	return d.term, d.held && d.lease.validLocked(now)
}

// FencingToken returns the store revision at which this process acquired the duty, and
// whether it may act now. The revision increases with each change of the
// holder, also when the store is restored, so it can serve as a fencing token.
func (d *Duty) FencingToken() (uint64, bool) {
	now := d.lease.clock.Now()
	d.lease.mu.Lock()
	defer d.lease.mu.Unlock()
	return uint64(d.revision), d.held && d.lease.validLocked(now)
}

// ErrDutyLost means that this process may no longer act under a fencing token.
var ErrDutyLost = errors.New("authority: the duty is not held under this fencing token any more")

// TimeToAct returns how long this process may still act under a fencing token unless the lease is
// renewed, or ErrDutyLost. Whoever acts must check it right before the order leaves the process: it
// may have been suspended, or have waited for a connection, since it read the token.
func (d *Duty) TimeToAct(token uint64) (time.Duration, error) {
	now := d.lease.clock.Now()
	d.lease.mu.Lock()
	defer d.lease.mu.Unlock()
	if !d.held || uint64(d.revision) != token || !d.lease.validLocked(now) {
		return 0, ErrDutyLost
	}
	return d.lease.validUntil.Sub(now), nil
}

// mayReacquire reports whether the duty was lost long enough ago to be acquired again, see
// LeaseOptions.ReacquireDelay.
func (d *Duty) mayReacquire() bool {
	now := d.lease.clock.Now()
	d.lease.mu.Lock()
	defer d.lease.mu.Unlock()
	return d.lostAt.IsZero() || now.Sub(d.lostAt) >= d.lease.options.ReacquireDelay
}

// tokenFloor returns a number that is greater than the tokens of all orders of earlier eras and not
// greater than those of the present one. The store may have lost which were given out.
func (d *Duty) tokenFloor() uint64 {
	d.lease.mu.Lock()
	defer d.lease.mu.Unlock()
	return uint64(d.revision.EraStart())
}

// MarkLost marks the duty as not held until the next acquisition, for example
// after a target has seen a higher fencing token.
func (d *Duty) MarkLost() {
	d.lease.mu.Lock()
	defer d.lease.mu.Unlock()
	d.held = false
}

// MayAct reports whether the process may act now and has held the duty without
// interruption since the given term.
func (d *Duty) MayAct(term uint64) bool {
	current, ok := d.Term()
	return ok && current == term
}

// isHeld reports whether the leased record belongs to the current lease, even
// if the lease is too old to act.
func (d *Duty) isHeld() bool {
	d.lease.mu.Lock()
	defer d.lease.mu.Unlock()
	return d.held
}

func (d *Duty) key() string { return DutyPrefix + d.name }
