package authority

import (
	"encoding/json"

	"github.com/figweir/figweir/store"
)

// DutyPrefix starts the store keys of the leased records: the name of the duty
// follows.
const DutyPrefix = "duty/"

// Holder returns the process that the leased record of a duty names.
func Holder(raw []byte) (Process, error) {
	var r dutyRecord
	if err := json.Unmarshal(raw, &r); err != nil {
		return Process{}, err
	}
	return r.Holder, nil
}

// dutyRecord is the value of duty/<name>.
type dutyRecord struct {
	Holder Process `json:"holder"`
	// Token identifies the write; it decides after a lost answer.
	Token string `json:"token"`
}

// Duty is the authority to send one class of orders or reports. It only
// decides which process tries to act; see Journal.
type Duty struct {
	name      string
	candidate func() bool
	lease     *Lease

	// token is that of the last write of the leased record. Only the round of
	// the lease uses it.
	token string

	// held and term are guarded by lease.mu.
	held bool
	term uint64
	// revision is that of the leased record.
	revision store.Revision
}

// Name returns the name of the duty.
func (d *Duty) Name() string { return d.name }

// Term returns the number of the current acquisition by this process, and
// whether the process may act now.
func (d *Duty) Term() (uint64, bool) {
	now := d.lease.clock.Now()
	d.lease.mu.Lock()
	defer d.lease.mu.Unlock()
	return d.term, d.held && now.Before(d.lease.until)
}

// Fence returns the revision at which this process took the duty, and whether
// it may act now. It grows with each change of the holder, so it serves as the
// fencing token where the store's revisions do.
func (d *Duty) Fence() (uint64, bool) {
	now := d.lease.clock.Now()
	d.lease.mu.Lock()
	defer d.lease.mu.Unlock()
	return uint64(d.revision), d.held && now.Before(d.lease.until)
}

// GiveUp drops the duty until the next acquisition, for example after a target
// has seen a greater fencing token.
func (d *Duty) GiveUp() {
	d.lease.mu.Lock()
	defer d.lease.mu.Unlock()
	d.held = false
}

// MayAct reports whether the process may act now and has been able to since
// the acquisition with the given number.
func (d *Duty) MayAct(term uint64) bool {
	current, ok := d.Term()
	return ok && current == term
}

// attached reports whether the record hangs on the current lease, also while
// the lease is too old to act.
func (d *Duty) attached() bool {
	d.lease.mu.Lock()
	defer d.lease.mu.Unlock()
	return d.held
}

func (d *Duty) key() string { return DutyPrefix + d.name }
