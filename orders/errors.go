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

// ErrNotHolder is returned if this process doesn't hold the duty. Nothing was
// sent.
var ErrNotHolder = errors.New("orders: this process does not hold the duty of the failure domain")

// ErrUnknownServer is returned if no engine with the name is registered in the
// failure domain. Nothing was sent.
var ErrUnknownServer = errors.New("orders: no such engine in the failure domain")

// ErrLeaving is returned if the engine reports that it is leaving.
var ErrLeaving = errors.New("orders: the engine is leaving")

// InvalidError is returned if an operator's order is incomplete or has invalid
// values. Nothing was sent.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "orders: order not valid: " + e.Reason }

// BusyError is returned if another change of the server is in progress, or if
// the holder has not claimed the server yet. Nothing was sent.
type BusyError struct{ Server string }

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("orders: another change of server %s is under way, or the holder of the duty has not taken it over yet; nothing was sent", e.Server)
}

// MinimumError is returned if the change would leave too few servers in service.
// Nothing was sent.
type MinimumError struct{ Server, Reason string }

// Error implements error.
func (e *MinimumError) Error() string {
	return fmt.Sprintf("orders: server %s can't be taken out of service now: %s; nothing was sent", e.Server, e.Reason)
}

// DrainTimeoutError is returned if streams were still running at the end of the
// drain timeout, or if no load report could be read. Nothing was sent.
type DrainTimeoutError struct {
	Server string
	// After is the time since the drain began.
	After time.Duration
	// Streams is the number of streams in the last load report.
	Streams int
}

// Error implements error.
func (e *DrainTimeoutError) Error() string {
	return fmt.Sprintf("orders: server %s still had %d streams %.0f s after its leaving notice; nothing was sent", e.Server, e.Streams, e.After.Seconds())
}

// errNotIdle is returned if the engine received requests after the drain.
var errNotIdle = errors.New("orders: the engine has streams or its leaving notice was withdrawn")

// Fence sends an engine an order that only raises its fencing token. It is used
// to implement the authority.FenceFunc of the journal.
func Fence(ctx context.Context, engines Engines, address, sender string, token uint64) error {
	order := engine.Order{ID: uuid.NewString(), Kind: engine.OrderFence, FencingToken: token, Sender: sender}
	return classifyEngineError(engines.Order(ctx, address, order))
}

// classifyEngineError marks the definite errors of engine.Client.Order as
// refused.
func classifyEngineError(err error) error {
	var refused *engine.RefusedError
	if errors.Is(err, engine.ErrNotSent) || errors.Is(err, engine.ErrFenced) || errors.As(err, &refused) {
		return authority.Refused(err)
	}
	return err
}

// classifyPlatformError marks the definite errors of fleet.Orderer as refused.
func classifyPlatformError(err error) error {
	if errors.Is(err, fleet.ErrNotSent) {
		return authority.Refused(err)
	}
	return err
}

// mayHaveArrived reports whether a copy of an order that ended with err may
// have reached its target.
func mayHaveArrived(err error) bool {
	var unknown *authority.UnknownError
	return errors.As(err, &unknown)
}
