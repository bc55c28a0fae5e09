package authority

import (
	"context"
	"time"
)

// Run sweeps the journal every SweepInterval until ctx ends.
func (j *Journal) Run(ctx context.Context) {
	for {
		// Errors are ignored, because the next sweep retries.
		_ = j.Sweep(ctx)
		if j.clock.Sleep(ctx, j.options.SweepInterval) != nil {
			return
		}
	}
}

// Sweep closes the pending intents of this process that are due, takes the
// journal over if the duty was acquired, and applies the closing rules to the
// intents of other processes. It calls the store only if necessary and returns
// its errors, or a *NotHolderError if the duty is lost during the takeover.
func (j *Journal) Sweep(ctx context.Context) error {
	if err := j.closePending(ctx); err != nil {
		return err
	}
	if err := j.closeRestored(ctx); err != nil {
		return err
	}
	term, held := j.duty.Term()
	if !held {
		return nil
	}
	if j.needsRefresh() {
		if err := j.writer.refresh(ctx); err != nil {
			return err
		}
	}
	if err := j.takeOver(ctx, term); err != nil {
		return err
	}
	return j.closeForeign(ctx)
}

// needsRefresh reports whether the record should be read again: because it has
// intents of other processes, which their writers may have closed since, or
// because it is older than MaxRecordAge. In the latter case an earlier holder
// with a stopped clock may have briefly taken the journal over.
func (j *Journal) needsRefresh() bool {
	foreign := len(j.cachedForeignIntents()) > 0
	now := j.clock.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	return foreign || j.record != nil && now.Sub(j.recordTime) >= j.options.MaxRecordAge
}

// closeRestored closes, once in each era, the intents of this process and of earlier ones at its
// address that a restored store has again although they were closed: no other rule closes those.
func (j *Journal) closeRestored(ctx context.Context) error {
	era := j.duty.lease.newestEra()
	if era == j.restoredClosedIn || j.duty.lease.untilEraSettled(j.options.ConnectionTimeout) > 0 {
		return nil
	}
	if err := j.writer.refresh(ctx); err != nil {
		return err
	}
	if ids := j.closedButRecorded(); len(ids) > 0 {
		if err := j.closeOwn(ctx, ids); err != nil {
			return err
		}
	}
	j.restoredClosedIn = era
	return nil
}

// closedButRecorded returns the order IDs of the recorded intents of earlier processes at this address,
// and of this one as far as they are neither in progress nor waiting to be closed.
func (j *Journal) closedButRecorded() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.record == nil {
		return nil
	}
	pending := make(map[string]bool, len(j.pending))
	for _, p := range j.pending {
		pending[p.orderID] = true
	}
	var ids []string
	for _, i := range j.record.Intents {
		own := i.Writer.Incarnation == j.process.Incarnation && !pending[i.OrderID] && !j.inProgress[i.Target.Name]
		if own || isPreviousIncarnation(i.Writer, j.process) {
			ids = append(ids, i.OrderID)
		}
	}
	return ids
}

// closePending closes the pending intents of this process that are due.
func (j *Journal) closePending(ctx context.Context) error {
	now := j.clock.Now()
	var due []string
	j.mu.Lock()
	for _, p := range j.pending {
		if !now.Before(p.notBefore) {
			due = append(due, p.orderID)
		}
	}
	j.mu.Unlock()
	if len(due) == 0 {
		return nil
	}
	if err := j.closeOwn(ctx, due); err != nil {
		return err
	}
	j.removePending(due)
	return nil
}

func (j *Journal) removePending(orderIDs []string) {
	closed := make(map[string]bool, len(orderIDs))
	for _, id := range orderIDs {
		closed[id] = true
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	kept := j.pending[:0]
	for _, p := range j.pending {
		if !closed[p.orderID] {
			kept = append(kept, p)
		}
	}
	j.pending = kept
}

// cachedForeignIntents returns the intents of other processes in the last known
// record.
func (j *Journal) cachedForeignIntents() []Intent {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.record == nil {
		return nil
	}
	return j.filterForeign(j.record)
}

// closeForeign closes the intents of other processes to which a closing rule
// applies.
func (j *Journal) closeForeign(ctx context.Context) error {
	open := j.cachedForeignIntents()
	if len(open) == 0 {
		return nil
	}
	gone := j.goneWriters(ctx, open)
	reasons := make(map[string]closeReason)
	for _, i := range open {
		switch {
		case isPreviousIncarnation(i.Writer, j.process) && j.clock.Now().Sub(j.started) >= j.options.ConnectionTimeout:
			reasons[i.OrderID] = closedByRestart
		case gone[i.Writer]:
			reasons[i.OrderID] = closedVMGone
		}
	}
	if len(reasons) == 0 {
		return nil
	}
	var closed []Intent
	err := j.writer.commit(ctx, func(r *record) (bool, error) {
		closed = r.remove(func(i Intent) bool { return reasons[i.OrderID] != "" })
		return len(closed) > 0, nil
	})
	if err != nil {
		return err
	}
	for _, i := range closed {
		j.countClosed(reasons[i.OrderID], []Intent{i})
	}
	return nil
}

// isPreviousIncarnation reports whether writer is an earlier incarnation at the
// address of process.
func isPreviousIncarnation(writer, process Process) bool {
	return writer.Address == process.Address && writer.Incarnation != process.Incarnation
}

// vmAbsences records for each writer how long the VM list has not shown its VM.
type vmAbsences map[Process]vmAbsence

type vmAbsence struct {
	// missingSince is when the first response without the VM was received.
	missingSince time.Time
	// goneSince is when the VM is known to have ended; zero before that. It is
	// the time at which a response without the VM was received whose request
	// was sent more than the VM list lag after missingSince. That response
	// shows a state in which the writer had already opened its intent, so its VM
	// has ended and is not just too new to be listed.
	goneSince time.Time
}

// goneWriters reads the VM list and returns the writers whose VM has been gone
// for at least the connection timeout, so that no copy of their orders can
// arrive anymore.
func (j *Journal) goneWriters(ctx context.Context, open []Intent) map[Process]bool {
	ctx, cancel := context.WithTimeout(ctx, j.options.StoreTimeout)
	defer cancel()
	requestedAt := j.clock.Now()
	j.stats.listReads.Add(1)
	addresses, err := j.vmLister.Addresses(ctx)
	if err != nil {
		return nil
	}
	receivedAt := j.clock.Now()
	listed := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		listed[address] = true
	}
	gone := make(map[Process]bool)
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, i := range open {
		if listed[i.Writer.Address] {
			delete(j.absences, i.Writer)
			continue
		}
		a := j.absences[i.Writer].afterMissing(requestedAt, receivedAt, j.options.VMListLag)
		j.absences[i.Writer] = a
		gone[i.Writer] = !a.goneSince.IsZero() && requestedAt.Sub(a.goneSince) >= j.options.ConnectionTimeout
	}
	return gone
}

// afterMissing returns the absence updated by another response without the VM.
func (a vmAbsence) afterMissing(requestedAt, receivedAt time.Time, lag time.Duration) vmAbsence {
	switch {
	case a.missingSince.IsZero():
		a.missingSince = receivedAt
	case a.goneSince.IsZero() && requestedAt.Sub(a.missingSince) > lag:
		a.goneSince = receivedAt
	}
	return a
}
