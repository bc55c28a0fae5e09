package authority

import (
	"context"
	"time"
)

// Run takes the journal over when the process acquires the duty and closes
// intents that are not needed any more, until ctx ends.
func (j *Journal) Run(ctx context.Context) {
	for {
		// What fails is tried again in the next round.
		_ = j.Sweep(ctx)
		if j.clock.Sleep(ctx, j.options.SweepEvery) != nil {
			return
		}
	}
}

// Sweep makes one round: it closes own intents whose time has come, takes the
// journal over if the duty was acquired, and applies the closing rules to the
// intents of other processes. It calls the store only if there is something to
// do.
func (j *Journal) Sweep(ctx context.Context) error {
	if err := j.closePending(ctx); err != nil {
		return err
	}
	term, held := j.duty.Term()
	if !held {
		return nil
	}
	if j.outdated() {
		if err := j.writer.refresh(ctx); err != nil {
			return err
		}
	}
	if err := j.takeOver(ctx, term); err != nil {
		return err
	}
	return j.closeForeign(ctx)
}

// outdated reports whether the record should be read again: because it has
// intents of other processes, which their writers may have closed in the
// meantime, or because it is older than RefreshEvery. An earlier holder whose
// clock stood still can have taken the journal over for a moment.
func (j *Journal) outdated() bool {
	foreign := len(j.foreignIntents()) > 0
	now := j.clock.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	return foreign || j.record != nil && now.Sub(j.observed) >= j.options.RefreshEvery
}

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
	j.forgetPending(due)
	return nil
}

func (j *Journal) forgetPending(orderIDs []string) {
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

func (j *Journal) foreignIntents() []Intent {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.record == nil {
		return nil
	}
	return j.foreign(j.record)
}

// closeForeign closes the intents of other processes that the closing rules
// cover.
func (j *Journal) closeForeign(ctx context.Context) error {
	open := j.foreignIntents()
	if len(open) == 0 {
		return nil
	}
	gone := j.goneWriters(ctx, open)
	reasons := make(map[string]closeReason)
	for _, i := range open {
		switch {
		case formerIncarnation(i.Writer, j.process) && j.clock.Now().Sub(j.started) >= j.options.ConnectionTimeout:
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

// formerIncarnation reports whether writer was an earlier run at the address of
// process.
func formerIncarnation(writer, process Process) bool {
	return writer.Address == process.Address && writer.Incarnation != process.Incarnation
}

// absenceLog notes for each writer how long the VM list hasn't shown its VM.
type absenceLog map[Process]absence

type absence struct {
	// missingSince is when the first answer without the VM had arrived.
	missingSince time.Time
	// goneSince is when an answer without the VM had arrived to a question
	// that was sent more than the list's lag after missingSince. The list then
	// showed a state in which the writer had opened its intent already, so the
	// VM has ended. It is zero before that.
	goneSince time.Time
}

// goneWriters reads the VM list and returns the writers whose VM has been gone
// for at least the connection time-out, so that no copy of an order of theirs
// can arrive any more.
func (j *Journal) goneWriters(ctx context.Context, open []Intent) map[Process]bool {
	ctx, cancel := context.WithTimeout(ctx, j.options.StoreTimeout)
	defer cancel()
	asked := j.clock.Now()
	j.stats.listReads.Add(1)
	addresses, err := j.vms.Addresses(ctx)
	if err != nil {
		return nil
	}
	answered := j.clock.Now()
	listed := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		listed[address] = true
	}
	gone := make(map[Process]bool)
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, i := range open {
		if listed[i.Writer.Address] {
			delete(j.absence, i.Writer)
			continue
		}
		a := j.absence[i.Writer].seen(asked, answered, j.options.ListLag)
		j.absence[i.Writer] = a
		gone[i.Writer] = !a.goneSince.IsZero() && asked.Sub(a.goneSince) >= j.options.ConnectionTimeout
	}
	return gone
}

// seen returns the absence after one more answer without the VM.
func (a absence) seen(asked, answered time.Time, lag time.Duration) absence {
	switch {
	case a.missingSince.IsZero():
		a.missingSince = answered
	case a.goneSince.IsZero() && asked.Sub(a.missingSince) > lag:
		a.goneSince = answered
	}
	return a
}
