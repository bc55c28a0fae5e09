package orders

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/figweir/figweir/authority"
	"github.com/figweir/figweir/fleet"
	"github.com/figweir/figweir/logging"
	"github.com/figweir/figweir/plan"
)

// stopServer drains a server and orders the platform to stop it.
func (c *Controller) stopServer(ctx context.Context, t *termState, ch *change) {
	log := c.log.WithValues(logging.BackendServerKey, ch.server)
	log.Info("stop started", "reason", ch.reason)
	defer c.returnToService(ctx, t, ch.server, ch.engine)
	if err := c.drain(ctx, t, ch); err != nil {
		log.Info("stop given up", "error", err.Error())
		return
	}
	order := fleet.Order{
		ID: uuid.NewString(), Action: fleet.ActionStop, FailureDomain: c.failureDomain, Pool: ch.pool,
		Class: string(ch.class), BackendServer: ch.server,
	}
	err := c.sendToPlatform(ctx, t, order, ch)
	if err == nil || mayHaveArrived(err) {
		c.mu.Lock()
		t.stopping[ch.server] = true
		c.mu.Unlock()
		c.holdNotice(t, ch.server, c.options.ConnectionTimeout+c.options.StopTime)
	}
	if err != nil {
		c.countFailure(err)
		log.Info("stop given up", "error", err.Error())
		return
	}
	c.stats.stops.Add(1)
	log.Info("stop ordered")
}

// startServer orders one server. Because a previous holder may have ordered
// servers that are not registered yet, a new holder waits for one startup time
// before its first order. The caller must hold mu.
func (c *Controller) startServer(t *termState, p *Pool, a plan.Action, now time.Time) {
	startupTime := p.View.Rates.StartupTime
	if _, claimed := t.claimedAt[c.platformTarget.Name]; !claimed || now.Sub(t.startedAt) < startupTime {
		return
	}
	order := fleet.Order{
		ID: uuid.NewString(), Action: fleet.ActionStart, FailureDomain: c.failureDomain, Pool: p.View.Pool, Class: string(a.Class),
	}
	c.startTask(t, c.platformTarget.Name, &task{kind: taskStart}, func(ctx context.Context) {
		err := c.sendToPlatform(ctx, t, order, nil)
		if err != nil {
			c.countFailure(err)
			c.log.Info("start not ordered", "pool", order.Pool, "error", err.Error())
			if !mayHaveArrived(err) {
				return
			}
		} else {
			c.stats.starts.Add(1)
			c.log.Info("start ordered", "pool", order.Pool, "class", order.Class, "reason", a.Reason)
		}
		until := c.clock.Now().Add(startupTime + c.options.ConnectionTimeout)
		c.mu.Lock()
		defer c.mu.Unlock()
		t.pendingStarts = append(t.pendingStarts, pendingStart{
			pool: order.Pool, expiresAt: until,
			server: plan.Server{FailureDomain: c.failureDomain, Role: a.Role, Class: a.Class, State: plan.Starting},
		})
	})
}

// sendToPlatform sends an order to the platform through the journal. While
// another order to the platform is open, it retries until the order timeout. If
// ch is not nil, the order is only sent while the server of ch is idle.
func (c *Controller) sendToPlatform(ctx context.Context, t *termState, order fleet.Order, ch *change) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.OrderTimeout)
	defer cancel()
	order.Sender = c.sender
	sent := false
	entry := authority.Order{Kind: string(order.Action), Detail: order.Pool + " " + order.BackendServer + " " + order.ID}
	for {
		err := c.journal.Do(ctx, c.platformTarget, entry, func(ctx context.Context, token uint64) error {
			if ch != nil && !sent {
				if err := c.checkBeforeSend(ctx, t, ch); err != nil {
					return err
				}
			}
			sent = true
			copied := order
			copied.FencingToken = token
			return classifyPlatformError(c.platform.Order(ctx, copied))
		})
		var busy *authority.BusyError
		if !errors.As(err, &busy) || c.clock.Sleep(ctx, c.options.PollInterval) != nil {
			return err
		}
	}
}
