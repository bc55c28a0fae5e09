package orders

import (
	"context"
	"time"

	"github.com/figweir/figweir/authority"
	"github.com/figweir/figweir/logging"
)

// reconcileNotice starts withdrawing a notice that belongs to no current
// change. The caller must hold mu.
func (c *Controller) reconcileNotice(t *termState, name string, e Engine, now time.Time) {
	if t.tasks[name] != nil || !c.previousStopsExpired(t, name, now) || now.Before(t.noticeUntil[name]) {
		return
	}
	c.startTask(t, name, &task{kind: taskWithdrawNotice}, func(ctx context.Context) { c.returnToService(ctx, t, name, e) })
}

// returnToService withdraws the notice of a server if no order can reach the
// server anymore and the server responds. A server that reports that it is
// leaving keeps its notice.
//
// The withdrawal opens an intent in the journal. This proves that no other
// process has taken the journal over since, which the clock of this process
// can't prove if its VM was suspended. Without it, the notice could belong to a
// change of the next holder, whose engine would then receive requests before an
// order.
func (c *Controller) returnToService(ctx context.Context, t *termState, name string, e Engine) {
	now := c.clock.Now()
	c.mu.Lock()
	ready := c.previousStopsExpired(t, name, now) && !now.Before(t.noticeUntil[name])
	c.mu.Unlock()
	if !ready {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.OrderTimeout)
	defer cancel()
	entry := authority.Order{Kind: "return to service"}
	err := c.journal.Do(ctx, e.target(name), entry, func(ctx context.Context, _ uint64) error {
		return c.withdrawNotice(ctx, t, name, e)
	})
	if err != nil {
		c.log.V(1).Info("leaving notice not withdrawn", logging.BackendServerKey, name, "error", err.Error())
		return
	}
	c.stats.noticesWithdrawn.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !t.noticesRaised[name] {
		c.stats.noticesReconciled.Add(1)
		c.log.Info("leaving notice of a former holder withdrawn", logging.BackendServerKey, name)
	}
	delete(t.noticesRaised, name)
	delete(t.stopping, name)
}

// withdrawNotice withdraws a notice while its intent is open in the journal.
// All its errors are definite.
func (c *Controller) withdrawNotice(ctx context.Context, t *termState, name string, e Engine) error {
	report, err := c.engines.Load(ctx, e.Address)
	switch {
	case err != nil:
		return authority.Refused(err)
	case report.Leaving:
		return authority.Refused(ErrLeaving)
	case !c.duty.MayAct(t.number):
		return authority.Refused(ErrNotHolder)
	}
	c.notices.SetServerLeaving(name, false)
	return nil
}

// withdrawUnregisteredNotices withdraws the notices of servers of the failure
// domain that are no longer registered.
func (c *Controller) withdrawUnregisteredNotices(t *termState, leaving []string, registered map[string]bool) {
	for _, name := range leaving {
		c.mu.Lock()
		gone := t.seenServers[name] && !registered[name] && t.tasks[name] == nil
		c.mu.Unlock()
		if !gone || !c.duty.MayAct(t.number) {
			continue
		}
		c.notices.SetServerLeaving(name, false)
		c.stats.noticesWithdrawn.Add(1)
		c.mu.Lock()
		delete(t.seenServers, name)
		delete(t.claimedAt, name)
		delete(t.stopping, name)
		delete(t.noticesRaised, name)
		delete(t.noticeUntil, name)
		c.mu.Unlock()
	}
}
