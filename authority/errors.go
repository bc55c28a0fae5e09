package authority

import (
	"errors"
	"fmt"
	"time"
)

// ErrRecordTooLarge is returned if a change would make the journal record
// larger than half of store.MaxValueBytes. Nothing was written.
var ErrRecordTooLarge = errors.New("authority: journal record too large")

// NotHolderError is returned if this process may not act for the duty. The
// order was not sent.
type NotHolderError struct {
	Duty string
}

// Error implements error.
func (e *NotHolderError) Error() string {
	return fmt.Sprintf("authority: this process does not hold duty %s; the order was not sent", e.Duty)
}

// RestoredError is returned while orders of holders before a restore of the store may still be on
// their way: the store may have lost their intents. The order was not sent.
type RestoredError struct {
	Duty string
	// Wait is how long that lasts.
	Wait time.Duration
}

// Error implements error.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("authority: the store was restored, duty %s sends no orders for %s; the order was not sent", e.Duty, e.Wait.Round(time.Millisecond))
}

// BlockedError is returned if an open intent of another process blocks the
// target. The order was not sent.
type BlockedError struct {
	Duty   string
	Intent Intent
}

// Error implements error.
func (e *BlockedError) Error() string {
	return fmt.Sprintf("authority: target %s of duty %s is blocked by order %s of process %s at %s, open since %s; the order was not sent",
		e.Intent.Target.Name, e.Duty, e.Intent.OrderID, e.Intent.Writer.Incarnation, e.Intent.Writer.Address, e.Intent.Opened().Format(time.RFC3339Nano))
}

// BusyError is returned if an earlier order of this process to the target is in
// progress, or a copy of it may still arrive. The order was not sent.
type BusyError struct {
	Duty   string
	Target string
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("authority: an earlier order of this process to target %s of duty %s is not closed; the order was not sent", e.Target, e.Duty)
}

// ReplacedError is returned if the journal holds an intent for a later
// generation of the target, so the caller's registration is outdated. The order
// was not sent.
type ReplacedError struct {
	Target            Target
	CurrentGeneration uint64
}

// Error implements error.
func (e *ReplacedError) Error() string {
	return fmt.Sprintf("authority: target %s of generation %d was replaced by generation %d; the order was not sent", e.Target.Name, e.Target.Generation, e.CurrentGeneration)
}

// UnknownError is returned if the order was sent at least once and it is
// unknown whether the target accepted it.
type UnknownError struct {
	Intent Intent
	// Err is the last ambiguous error, or the reason of a refused copy.
	Err error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("authority: outcome of order %s to target %s unknown: %v", e.Intent.OrderID, e.Intent.Target.Name, e.Err)
}

// Unwrap returns Err.
func (e *UnknownError) Unwrap() error { return e.Err }

// FenceError is returned if it is unknown whether a target accepted a fencing
// order. The order that depends on it was not sent.
type FenceError struct {
	Target Target
	// Err is the last error of the fencing order.
	Err error
}

// Error implements error.
func (e *FenceError) Error() string {
	return fmt.Sprintf("authority: outcome of the fencing order to target %s unknown; the order was not sent: %v", e.Target.Name, e.Err)
}

// Unwrap returns Err.
func (e *FenceError) Unwrap() error { return e.Err }

// RefusedError is returned if the target definitely did not accept the order.
type RefusedError struct {
	Err error
}

// Refused marks an error of a Send function as definite: the target did not
// accept this copy and will not accept it later.
func Refused(err error) error { return &RefusedError{Err: err} }

// Error implements error.
func (e *RefusedError) Error() string { return "authority: order refused: " + e.Err.Error() }

// Unwrap returns the reason.
func (e *RefusedError) Unwrap() error { return e.Err }
