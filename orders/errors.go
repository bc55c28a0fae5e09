package orders

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/figweir/figweir/authority"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/fleet"
)

// ErrNotHolder means that this process doesn't hold the duty. Nothing was sent.
var ErrNotHolder = errors.New("orders: this process does not hold the duty of the failure domain")

// ErrUnknownServer means that no engine of the name is registered in the
// failure domain. Nothing was sent.
var ErrUnknownServer = errors.New("orders: no such engine in the failure domain")

// ErrLeaving means that the engine itself reports that it is leaving.
var ErrLeaving = errors.New("orders: the engine is leaving")

// InvalidError means that an order of an operator is incomplete.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "orders: order not valid: " + e.Reason }

// BusyError means that another change of the server is under way, or that the
// holder has not taken the server over yet. Nothing was sent.
type BusyError struct{ Server string }

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("orders: another change of server %s is under way, or the holder of the duty has not taken it over yet; nothing was sent", e.Server)
}

// FloorError means that the change would leave too few servers in service.
// Nothing was sent.
type FloorError struct{ Server, Reason string }

// Error implements error.
func (e *FloorError) Error() string {
	return fmt.Sprintf("orders: server %s can't be taken out of service now: %s; nothing was sent", e.Server, e.Reason)
}

// DrainTimeoutError means that streams still ran at the end of the drain
// time-out, or that no load report could be read. Nothing was sent.
type DrainTimeoutError struct {
	Server  string
	After   time.Duration
	Streams int
}

// Error implements error.
func (e *DrainTimeoutError) Error() string {
	return fmt.Sprintf("orders: server %s still had %d streams %.0f s after its leaving notice; nothing was sent", e.Server, e.Streams, e.After.Seconds())
}

// errNotIdle ends an order whose engine got work after the drain.
var errNotIdle = errors.New("orders: the engine has streams or its leaving notice was withdrawn")

// Fence sends an engine an order that only raises its fencing token, for the
// authority.FenceFunc of the journal.
func Fence(ctx context.Context, engines Engines, address, sender string, token uint64) error {
	order := engine.Order{ID: uuid.NewString(), Kind: engine.OrderFence, FencingToken: token, Sender: sender}
	return classifyEngine(engines.Order(ctx, address, order))
}

// classifyEngine marks the definite errors of engine.Client.Order.
func classifyEngine(err error) error {
	var refused *engine.RefusedError
	if errors.Is(err, engine.ErrNotSent) || errors.Is(err, engine.ErrFenced) || errors.As(err, &refused) {
		return authority.Refused(err)
	}
	return err
}

// classifyPlatform marks the definite errors of fleet.Orderer.
func classifyPlatform(err error) error {
	if errors.Is(err, fleet.ErrNotSent) {
		return authority.Refused(err)
	}
	return err
}

// mayArrive reports whether a copy of an order that ended with err may have
// reached its target.
func mayArrive(err error) bool {
	var unknown *authority.UnknownError
	return errors.As(err, &unknown)
}
