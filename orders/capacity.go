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

// stopServer drains a server and has the platform stop it.
func (c *Controller) stopServer(ctx context.Context, t *tenure, ch *change) {
	log := c.log.WithValues(logging.BackendServer, ch.server)
	log.Info("stop started", "reason", ch.reason)
	defer c.release(ctx, t, ch.server, ch.engine)
	if err := c.drain(ctx, t, ch); err != nil {
		log.Info("stop given up", "error", err.Error())
		return
	}
	order := fleet.Order{
		ID: uuid.NewString(), Action: fleet.ActionStop, FailureDomain: c.domain, Pool: ch.pool,
		Class: string(ch.class), BackendServer: ch.server,
	}
	err := c.sendPlatform(ctx, t, order, ch)
	if err == nil || mayArrive(err) {
		c.mu.Lock()
		t.stopping[ch.server] = true
		c.mu.Unlock()
		c.hold(t, ch.server, c.options.ConnectionTimeout+c.options.StopTime)
	}
	if err != nil {
		c.countFailure(err)
		log.Info("stop given up", "error", err.Error())
		return
	}
	c.stats.stops.Add(1)
	log.Info("stop ordered")
}

// startServer orders one server. A former holder may have ordered servers that
// are not registered yet, so a new holder waits for one start time before its
// first order. It is called with mu held.
func (c *Controller) startServer(t *tenure, p *Pool, a plan.Action, now time.Time) {
	start := p.View.Rates.Start
	if _, claimed := t.claimed[c.platformTarget.Name]; !claimed || now.Sub(t.from) < start {
		return
	}
	order := fleet.Order{
		ID: uuid.NewString(), Action: fleet.ActionStart, FailureDomain: c.domain, Pool: p.View.Pool, Class: string(a.Class),
	}
	c.begin(t, c.platformTarget.Name, &task{kind: taskStart}, func(ctx context.Context) {
		err := c.sendPlatform(ctx, t, order, nil)
		if err != nil {
			c.countFailure(err)
			c.log.Info("start not ordered", "pool", order.Pool, "error", err.Error())
			if !mayArrive(err) {
				return
			}
		} else {
			c.stats.starts.Add(1)
			c.log.Info("start ordered", "pool", order.Pool, "class", order.Class, "reason", a.Reason)
		}
		until := c.clock.Now().Add(start + c.options.ConnectionTimeout)
		c.mu.Lock()
		defer c.mu.Unlock()
		t.starts = append(t.starts, pendingStart{
			pool: order.Pool, until: until,
			server: plan.Server{FailureDomain: c.domain, Role: a.Role, Class: a.Class, State: plan.Starting},
		})
	})
}

// sendPlatform sends an order to the platform through the journal. While
// another order to the platform is not closed it tries again until the order
// time-out. A stop goes out only while the server of ch is idle.
func (c *Controller) sendPlatform(ctx context.Context, t *tenure, order fleet.Order, ch *change) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.OrderTimeout)
	defer cancel()
	order.Sender = c.sender
	sent := false
	entry := authority.Order{Kind: string(order.Action), Detail: order.Pool + " " + order.BackendServer + " " + order.ID}
	for {
		err := c.journal.Do(ctx, c.platformTarget, entry, func(ctx context.Context, token uint64) error {
			if ch != nil && !sent {
				if err := c.mayInterrupt(ctx, t, ch); err != nil {
					return err
				}
			}
			sent = true
			copied := order
			copied.FencingToken = token
			return classifyPlatform(c.platform.Order(ctx, copied))
		})
		var busy *authority.BusyError
		if !errors.As(err, &busy) || c.clock.Sleep(ctx, c.options.PollInterval) != nil {
			return err
		}
	}
}
