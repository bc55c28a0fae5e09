package orders

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/figweir/figweir/authority"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/logging"
	"github.com/figweir/figweir/plan"
)

// change takes one server out of service to change its role or to stop it.
type change struct {
	server string
	engine Engine
	role   config.Role
	stop   bool
	pool   string
	class  config.CapacityClass
	reason string
	// raised is when the notice was last raised.
	raised time.Time
}

func (ch *change) task(servers []plan.Server) *task {
	if ch.stop {
		return &task{kind: taskStop}
	}
	k := &task{kind: taskRole}
	for _, s := range servers {
		if s.Name == ch.server {
			k.role = s
		}
	}
	k.role.Role = ch.role
	return k
}

// changeRole drains an engine, orders the new role and puts the engine back
// into service. After any failure the notice is withdrawn by reconcile.
func (c *Controller) changeRole(ctx context.Context, t *tenure, ch *change) (Result, error) {
	start := c.clock.Now()
	log := c.log.WithValues(logging.BackendServer, ch.server, "role", ch.role)
	log.Info("role change started", "reason", ch.reason)
	defer c.release(ctx, t, ch.server, ch.engine)
	if err := c.drain(ctx, t, ch); err != nil {
		log.Info("role change given up", "error", err.Error())
		return Result{}, err
	}
	drained := c.clock.Now()
	order := engine.Order{ID: uuid.NewString(), Kind: engine.OrderRole, Role: ch.role}
	err := c.sendEngine(ctx, t, ch, order)
	switch {
	case err == nil:
		c.hold(t, ch.server, c.options.RoleChange)
	case mayArrive(err):
		c.hold(t, ch.server, c.options.ConnectionTimeout+c.options.RoleChange)
	}
	if err != nil {
		c.countFailure(err)
		log.Info("role change given up", "error", err.Error())
		return Result{}, err
	}
	c.stats.roleChanges.Add(1)
	ordered := c.clock.Now()
	if err := c.awaitRole(ctx, t, ch); err != nil {
		log.Info("engine does not report its new role", "error", err.Error())
		return Result{}, err
	}
	if err := c.clock.Sleep(ctx, ordered.Add(c.options.RoleChange).Sub(c.clock.Now())); err != nil {
		return Result{}, err
	}
	result := Result{OrderID: order.ID, DrainSeconds: drained.Sub(start).Seconds(), OutSeconds: c.clock.Now().Sub(start).Seconds()}
	log.Info("role changed", "drain_s", result.DrainSeconds, "out_s", result.OutSeconds)
	return result, nil
}

// drain raises the notice and waits until the engine is idle and no node can
// send it new work.
func (c *Controller) drain(ctx context.Context, t *tenure, ch *change) error {
	start := c.clock.Now()
	streams := 0
	for {
		if ctx.Err() != nil || !c.duty.MayAct(t.number) {
			return ErrNotHolder
		}
		if ch.raised.IsZero() || !slices.Contains(c.notices.LeavingServers(), ch.server) {
			c.raise(t, ch)
		}
		asked := c.clock.Now()
		report, err := c.engines.Load(ctx, ch.engine.Address)
		if err == nil && report.Leaving {
			return ErrLeaving
		}
		if err == nil {
			streams = report.Running + report.Queued
			if streams == 0 && asked.Sub(ch.raised) >= c.options.NoticeSpread+c.options.ReportLag {
				return nil
			}
		}
		if asked.Sub(start) >= c.options.DrainTimeout {
			c.stats.drainTimeouts.Add(1)
			return &DrainTimeoutError{Server: ch.server, After: asked.Sub(start), Streams: streams}
		}
		_ = c.clock.Sleep(ctx, c.options.PollInterval)
	}
}

// raise raises the notice of a server. No notice stood when the change began, so
// this one has a greater version than any withdrawal that a former holder,
// paused until now, can still spread.
func (c *Controller) raise(t *tenure, ch *change) {
	c.notices.SetServerLeaving(ch.server, true)
	ch.raised = c.clock.Now()
	c.stats.noticesRaised.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	t.raised[ch.server] = true
}

// idle looks at the engine once more before the first copy of an order.
func (c *Controller) idle(ctx context.Context, ch *change) error {
	report, err := c.engines.Load(ctx, ch.engine.Address)
	if err != nil {
		return err
	}
	if report.Running+report.Queued > 0 || !slices.Contains(c.notices.LeavingServers(), ch.server) {
		return errNotIdle
	}
	return nil
}

// sendEngine sends an order to an engine through the journal. Role orders go
// to idle engines only.
func (c *Controller) sendEngine(ctx context.Context, t *tenure, ch *change, order engine.Order) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.OrderTimeout)
	defer cancel()
	order.Sender = c.sender
	sent := false
	entry := authority.Order{Kind: string(order.Kind), Detail: string(order.Role) + order.Model + " " + order.Version + " " + order.ID}
	return c.journal.Do(ctx, ch.engine.target(ch.server), entry, func(ctx context.Context, token uint64) error {
		if order.Kind == engine.OrderRole && !sent {
			if err := c.mayInterrupt(ctx, t, ch); err != nil {
				return err
			}
		}
		sent = true
		copied := order
		copied.FencingToken = token
		return classifyEngine(c.engines.Order(ctx, ch.engine.Address, copied))
	})
}

// awaitRole waits until the engine reports its new role.
func (c *Controller) awaitRole(ctx context.Context, t *tenure, ch *change) error {
	deadline := c.clock.Now().Add(c.options.RoleTimeout)
	for {
		report, err := c.engines.Load(ctx, ch.engine.Address)
		if err == nil && report.Role == ch.role {
			return nil
		}
		if ctx.Err() != nil || !c.duty.MayAct(t.number) {
			return ErrNotHolder
		}
		if c.clock.Now().After(deadline) {
			if err == nil {
				err = errors.New("orders: the engine reports role " + string(report.Role))
			}
			return err
		}
		_ = c.clock.Sleep(ctx, c.options.PollInterval)
	}
}

// hold keeps the notice of a server for at least d. While a copy of an order
// may still be on its way, Journal.Claim keeps it too.
func (c *Controller) hold(t *tenure, server string, d time.Duration) {
	until := c.clock.Now().Add(d)
	c.mu.Lock()
	defer c.mu.Unlock()
	t.holdUntil[server] = until
}

func (c *Controller) countFailure(err error) {
	if mayArrive(err) {
		c.stats.unknown.Add(1)
	} else {
		c.stats.notSent.Add(1)
	}
}

// mayInterrupt refuses an order that takes a server out unless the server is idle
// and the tenure still stands.
func (c *Controller) mayInterrupt(ctx context.Context, t *tenure, ch *change) error {
	if err := c.idle(ctx, ch); err != nil {
		return authority.Refused(err)
	}
	if !c.duty.MayAct(t.number) {
		return authority.Refused(ErrNotHolder)
	}
	return nil
}
