package orders

import (
	"context"
	"time"

	"github.com/figweir/figweir/authority"
	"github.com/figweir/figweir/logging"
)

// reconcile starts the withdrawal of a notice that no change under way
// explains. It is called with mu held.
func (c *Controller) reconcile(t *tenure, name string, e Engine, now time.Time) {
	if t.tasks[name] != nil || !c.settled(t, name, now) || now.Before(t.holdUntil[name]) {
		return
	}
	c.begin(t, name, &task{kind: taskRelease}, func(ctx context.Context) { c.release(ctx, t, name, e) })
}

// release withdraws the notice of a server if no order can reach it any more
// and the server takes work. A server that reports itself that it is leaving
// keeps its notice.
//
// The withdrawal is itself an entry of the journal: opening it proves that no
// other process has taken the journal over since, which the process's own clock
// can't prove after a suspension of its VM. Otherwise the notice may belong to a
// change of the next holder, and its engine would get work before an order.
func (c *Controller) release(ctx context.Context, t *tenure, name string, e Engine) {
	now := c.clock.Now()
	c.mu.Lock()
	ready := c.settled(t, name, now) && !now.Before(t.holdUntil[name])
	c.mu.Unlock()
	if !ready {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.OrderTimeout)
	defer cancel()
	entry := authority.Order{Kind: "return to service"}
	err := c.journal.Do(ctx, e.target(name), entry, func(ctx context.Context, _ uint64) error {
		return c.withdraw(ctx, t, name, e)
	})
	if err != nil {
		c.log.V(1).Info("leaving notice not withdrawn", logging.BackendServer, name, "error", err.Error())
		return
	}
	c.stats.noticesWithdrawn.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !t.raised[name] {
		c.stats.reconciled.Add(1)
		c.log.Info("leaving notice of a former holder withdrawn", logging.BackendServer, name)
	}
	delete(t.raised, name)
	delete(t.stopping, name)
}

// withdraw withdraws a notice under an open entry of the journal. All its
// errors are definite.
func (c *Controller) withdraw(ctx context.Context, t *tenure, name string, e Engine) error {
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

// withdrawUnregistered withdraws the notices of servers of the failure domain
// that are not registered any more.
func (c *Controller) withdrawUnregistered(t *tenure, leaving []string, registered map[string]bool) {
	for _, name := range leaving {
		c.mu.Lock()
		gone := t.known[name] && !registered[name] && t.tasks[name] == nil
		c.mu.Unlock()
		if !gone || !c.duty.MayAct(t.number) {
			continue
		}
		c.notices.SetServerLeaving(name, false)
		c.stats.noticesWithdrawn.Add(1)
		c.mu.Lock()
		delete(t.known, name)
		delete(t.claimed, name)
		delete(t.stopping, name)
		delete(t.raised, name)
		delete(t.holdUntil, name)
		c.mu.Unlock()
	}
}
