package orders

import (
	"context"
	"errors"

	"github.com/google/uuid"

	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/logging"
)

// Submit executes an operator's order. It returns when the engine has accepted
// a load order or is back in service with its new role. Its errors are those of
// this package and of authority.Journal.Do, and the error of ctx if it ends
// first; a started change then continues. Apart from the error of ctx, only
// *authority.UnknownError leaves open whether the engine accepted the order.
func (c *Controller) Submit(ctx context.Context, order Order) (Result, error) {
	if err := order.validate(); err != nil {
		return Result{}, err
	}
	t, p, err := c.findServer(order.Server)
	if err != nil {
		return Result{}, err
	}
	ch := &change{server: order.Server, engine: p.Engines[order.Server], role: order.Role, reason: "operator"}
	type outcome struct {
		result Result
		err    error
	}
	done := make(chan outcome, 1)
	run := func(ctx context.Context) {
		var o outcome
		if order.Kind == engine.OrderRole {
			o.result, o.err = c.changeRole(ctx, t, ch)
		} else {
			o.result, o.err = c.orderLoad(ctx, t, ch, order)
		}
		done <- o
	}
	if err := c.startSubmitted(t, p, ch, order, run); err != nil {
		return Result{}, err
	}
	// A started change continues if ctx ends, so that the engine returns to
	// service.
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return Result{}, ctx.Err()
	}
}

// startSubmitted starts the task of an operator's order.
func (c *Controller) startSubmitted(t *termState, p *Pool, ch *change, order Order, run func(context.Context)) error {
	now := c.clock.Now()
	leaving := c.notices.LeavingServers()
	c.mu.Lock()
	defer c.mu.Unlock()
	k := &task{kind: taskLoad}
	if order.Kind == engine.OrderRole {
		servers := c.effectiveServers(t, p, leaving, now)
		if err := c.checkInterruption(t, p, servers, ch, now); err != nil {
			return err
		}
		k = ch.task(servers)
	}
	if !c.startTask(t, order.Server, k, run) {
		return &BusyError{Server: order.Server}
	}
	return nil
}

// findServer returns the current term and the pool of a server.
func (c *Controller) findServer(server string) (*termState, *Pool, error) {
	c.mu.Lock()
	t := c.currentTerm
	c.mu.Unlock()
	if t == nil || !c.duty.MayAct(t.number) {
		return nil, nil, ErrNotHolder
	}
	pools := c.poolSource.Pools(c.clock.Now())
	for i := range pools {
		for _, s := range pools[i].View.Servers {
			if s.Name == server && s.FailureDomain == c.failureDomain {
				return t, &pools[i], nil
			}
		}
	}
	return nil, nil, ErrUnknownServer
}

// orderLoad waits for the rate limit of the weight store and sends a load
// order.
func (c *Controller) orderLoad(ctx context.Context, t *termState, ch *change, order Order) (Result, error) {
	now := c.clock.Now()
	reservation := c.loadLimiter.ReserveN(now, 1)
	if !reservation.OK() {
		return Result{}, &InvalidError{Reason: "the budget of the weight store allows no loads"}
	}
	if err := c.clock.Sleep(ctx, reservation.DelayFrom(now)); err != nil {
		reservation.CancelAt(c.clock.Now())
		return Result{}, errors.Join(ErrNotHolder, err)
	}
	id := uuid.NewString()
	err := c.sendToEngine(ctx, t, ch, engine.Order{ID: id, Kind: order.Kind, Model: order.Model, Version: order.Version})
	log := c.log.WithValues(logging.BackendServerKey, ch.server, "model", order.Model, "version", order.Version)
	if err != nil {
		c.countFailure(err)
		log.Info("load not ordered", "error", err.Error())
		return Result{}, err
	}
	c.stats.loads.Add(1)
	log.Info("load ordered")
	return Result{OrderID: id}, nil
}

func (o Order) validate() error {
	switch o.Kind {
	case engine.OrderRole:
		switch o.Role {
		case "mixed", "prefill", "decode":
			return nil
		}
		return &InvalidError{Reason: "the role must be mixed, prefill or decode"}
	case engine.OrderLoadModel, engine.OrderLoadAdapter:
		if o.Model == "" || o.Version == "" {
			return &InvalidError{Reason: "a load needs a model and a version"}
		}
		return nil
	}
	return &InvalidError{Reason: "the kind must be role, load_model or load_adapter"}
}
