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

// change is a role change or a stop of one server.
type change struct {
	server string
	engine Engine
	role   config.Role
	stop   bool
	pool   string
	class  config.CapacityClass
	reason string
	// noticeRaisedAt is when this change last raised the leaving notice.
	noticeRaisedAt time.Time
}

func (ch *change) task(servers []plan.Server) *task {
	if ch.stop {
		return &task{kind: taskStop}
	}
	k := &task{kind: taskRoleChange}
	for _, s := range servers {
		if s.Name == ch.server {
			k.server = s
		}
	}
	k.server.Role = ch.role
	return k
}

// changeRole drains an engine, orders the new role and returns the engine to
// service. After a failure, reconcileNotice withdraws the notice if
// returnToService could not.
func (c *Controller) changeRole(ctx context.Context, t *termState, ch *change) (Result, error) {
	startedAt := c.clock.Now()
	log := c.log.WithValues(logging.BackendServerKey, ch.server, "role", ch.role)
	log.Info("role change started", "reason", ch.reason)
	defer c.returnToService(ctx, t, ch.server, ch.engine)
	if err := c.drain(ctx, t, ch); err != nil {
		log.Info("role change given up", "error", err.Error())
		return Result{}, err
	}
	drainedAt := c.clock.Now()
	order := engine.Order{ID: uuid.NewString(), Kind: engine.OrderRole, Role: ch.role}
	err := c.sendToEngine(ctx, t, ch, order)
	switch {
	case err == nil:
		c.holdNotice(t, ch.server, c.options.RoleChangeTime)
	case mayHaveArrived(err):
		c.holdNotice(t, ch.server, c.options.ConnectionTimeout+c.options.RoleChangeTime)
	}
	if err != nil {
		c.countFailure(err)
		log.Info("role change given up", "error", err.Error())
		return Result{}, err
	}
	c.stats.roleChanges.Add(1)
	orderedAt := c.clock.Now()
	if err := c.awaitRole(ctx, t, ch); err != nil {
		log.Info("engine does not report its new role", "error", err.Error())
		return Result{}, err
	}
	if err := c.clock.Sleep(ctx, orderedAt.Add(c.options.RoleChangeTime).Sub(c.clock.Now())); err != nil {
		return Result{}, err
	}
	result := Result{OrderID: order.ID, DrainSeconds: drainedAt.Sub(startedAt).Seconds(), OutSeconds: c.clock.Now().Sub(startedAt).Seconds()}
	log.Info("role changed", "drain_s", result.DrainSeconds, "out_s", result.OutSeconds)
	return result, nil
}

// drain raises the notice and waits until no node can send new requests and the
// engine is idle. It returns ErrNotHolder, ErrLeaving or a *DrainTimeoutError.
func (c *Controller) drain(ctx context.Context, t *termState, ch *change) error {
	startedAt := c.clock.Now()
	streams := 0
	for {
		if ctx.Err() != nil || !c.duty.MayAct(t.number) {
			return ErrNotHolder
		}
		if ch.noticeRaisedAt.IsZero() || !slices.Contains(c.notices.LeavingServers(), ch.server) {
			c.raiseNotice(t, ch)
		}
		requestedAt := c.clock.Now()
		report, err := c.engines.Load(ctx, ch.engine.Address)
		if err == nil && report.Leaving {
			return ErrLeaving
		}
		if err == nil {
			streams = report.Running + report.Queued
			if streams == 0 && requestedAt.Sub(ch.noticeRaisedAt) >= c.options.NoticePropagation+c.options.MaxReportAge {
				return nil
			}
		}
		if requestedAt.Sub(startedAt) >= c.options.DrainTimeout {
			c.stats.drainTimeouts.Add(1)
			return &DrainTimeoutError{Server: ch.server, After: requestedAt.Sub(startedAt), Streams: streams}
		}
		_ = c.clock.Sleep(ctx, c.options.PollInterval)
	}
}

// raiseNotice raises the notice of a server. No notice was raised when the
// change began, so this one has a higher version than any withdrawal that a
// previous holder, paused until now, can still send.
func (c *Controller) raiseNotice(t *termState, ch *change) {
	c.notices.SetServerLeaving(ch.server, true)
	ch.noticeRaisedAt = c.clock.Now()
	c.stats.noticesRaised.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	t.noticesRaised[ch.server] = true
}

// checkIdle reads the load of the engine again before the first copy of an
// order. It returns an error unless the engine is idle and its notice is
// raised.
func (c *Controller) checkIdle(ctx context.Context, ch *change) error {
	report, err := c.engines.Load(ctx, ch.engine.Address)
	if err != nil {
		return err
	}
	if report.Running+report.Queued > 0 || !slices.Contains(c.notices.LeavingServers(), ch.server) {
		return errNotIdle
	}
	return nil
}

// sendToEngine sends an order to an engine through the journal. Role orders are
// only sent to idle engines.
func (c *Controller) sendToEngine(ctx context.Context, t *termState, ch *change, order engine.Order) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.OrderTimeout)
	defer cancel()
	order.Sender = c.sender
	sent := false
	entry := authority.Order{Kind: string(order.Kind), Detail: string(order.Role) + order.Model + " " + order.Version + " " + order.ID}
	return c.journal.Do(ctx, ch.engine.target(ch.server), entry, func(ctx context.Context, token uint64) error {
		if order.Kind == engine.OrderRole && !sent {
			if err := c.checkBeforeSend(ctx, t, ch); err != nil {
				return err
			}
		}
		sent = true
		copied := order
		copied.FencingToken = token
		return classifyEngineError(c.engines.Order(ctx, ch.engine.Address, copied))
	})
}

// awaitRole waits until the engine reports its new role. It returns
// ErrNotHolder, or the last error after RoleTimeout.
func (c *Controller) awaitRole(ctx context.Context, t *termState, ch *change) error {
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

// holdNotice keeps the notice of a server for at least d. Copies of the order
// that may still arrive are covered by the journal, which the withdrawal uses.
func (c *Controller) holdNotice(t *termState, server string, d time.Duration) {
	until := c.clock.Now().Add(d)
	c.mu.Lock()
	defer c.mu.Unlock()
	t.noticeUntil[server] = until
}

func (c *Controller) countFailure(err error) {
	if mayHaveArrived(err) {
		c.stats.unknown.Add(1)
	} else {
		c.stats.notSent.Add(1)
	}
}

// checkBeforeSend refuses an order that interrupts a server unless the server
// is idle and the process still holds the duty in this term.
func (c *Controller) checkBeforeSend(ctx context.Context, t *termState, ch *change) error {
	if err := c.checkIdle(ctx, ch); err != nil {
		return authority.Refused(err)
	}
	if !c.duty.MayAct(t.number) {
		return authority.Refused(ErrNotHolder)
	}
	return nil
}
