package once

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// Call identifies a call that must run at most once.
type Call struct {
	Key        Key
	BodyDigest Digest
}

// Claim is the permission to send a call once. A Decision has one only if its
// state is Granted.
type Claim struct {
	call    Call
	token   Token
	rangeID Range
	settled atomic.Bool
}

// Decision is the result of Claimer.Claim.
type Decision struct {
	State State
	// Claim is set if the state is Granted.
	Claim *Claim
	// Outcome is set if the state is Done and the outcome could be read.
	Outcome *Outcome
	// Cause is set if the state is Refused, for logging.
	Cause error
}

// Locator returns a handle for the writer of a range, or nil if no writer is
// known. At-most-once execution doesn't depend on which node it returns.
type Locator func(r Range) Handle

// ClaimerConfig is the configuration of a Claimer.
type ClaimerConfig struct {
	// Ranges is the number of hash ranges. It must be the same on all nodes.
	Ranges uint32
	// RequestTimeout is the timeout of a claim or finish request. Later
	// responses are ignored.
	RequestTimeout time.Duration
	// RetryInterval is the pause between two attempts to record a settlement.
	RetryInterval time.Duration
	// MaxPending is the maximum number of settlements that are queued for
	// retry. Settlements beyond that are dropped and their claims stay open
	// until this incarnation ends.
	MaxPending int
	// Parallel is the maximum number of background requests in flight.
	Parallel int
}

// DefaultClaimerConfig returns the configuration for 16 ranges.
func DefaultClaimerConfig() ClaimerConfig {
	return ClaimerConfig{Ranges: 16, RequestTimeout: 500 * time.Millisecond, RetryInterval: 250 * time.Millisecond, MaxPending: 4096, Parallel: 16}
}

// Errors returned by a Claimer.
var (
	// ErrPending means that the settlement is not recorded yet and is retried
	// in the background.
	ErrPending = errors.New("once: settlement is pending")
	// ErrSettled means that the claim was already finished or released.
	ErrSettled = errors.New("once: claim is already settled")
	// errNoWriter means that no writer of the range is known to the Locator.
	errNoWriter = errors.New("once: no known writer of the range")
	errRefused  = errors.New("once: claim refused by the writer of the range")
	errTimeout  = errors.New("once: no response to the claim within the timeout")
)

// Claimer claims calls on behalf of one node incarnation. It is safe for
// concurrent use.
type Claimer struct {
	config  ClaimerConfig
	owner   string
	locate  Locator
	settler *settler
}

// NewClaimer returns a Claimer for the node incarnation owner and starts its
// background goroutine. Close must be called to stop it.
func NewClaimer(owner string, config ClaimerConfig, locate Locator) *Claimer {
	c := &Claimer{config: config, owner: owner, locate: locate}
	c.settler = startSettler(config, locate)
	return c
}

// Close stops the background goroutine and drops the queued settlements. Once
// this incarnation has ended, repeats of calls with an open claim get Unknown.
func (c *Claimer) Close() { c.settler.close() }

// Pending returns the number of settlements that are queued or being sent, and
// the number that were dropped because the queue was full.
func (c *Claimer) Pending() (queued int, dropped int64) { return c.settler.pending() }

// Claim requests permission to send a call. The caller must not send it unless
// the state is Granted. If the state is Refused but the claim may have been
// recorded, it is released in the background.
func (c *Claimer) Claim(ctx context.Context, call Call) Decision {
	request := ClaimRequest{
		Range: RangeOf(call.Key, c.config.Ranges), Key: call.Key, BodyDigest: call.BodyDigest, Owner: c.owner, Token: NewToken(),
	}
	handle := c.locate(request.Range)
	if handle == nil {
		return Decision{State: Refused, Cause: errNoWriter}
	}
	claimCtx, cancel := context.WithTimeout(ctx, c.config.RequestTimeout)
	defer cancel()
	response, err := handle.Claim(claimCtx, request)
	switch {
	case errors.Is(err, ErrInvalid):
		return Decision{State: Refused, Cause: err}
	case err != nil:
		return c.releaseAndRefuse(request, err)
	case response.State == Refused:
		return Decision{State: Refused, Cause: errRefused}
	case response.State != Granted:
		return Decision{State: response.State, Outcome: response.Outcome}
	case claimCtx.Err() != nil:
		return c.releaseAndRefuse(request, errTimeout)
	}
	return Decision{State: Granted, Claim: &Claim{call: call, token: request.Token, rangeID: request.Range}}
}

// releaseAndRefuse queues the release of a claim that may have been recorded,
// and returns Refused.
func (c *Claimer) releaseAndRefuse(request ClaimRequest, cause error) Decision {
	c.settler.enqueue(FinishRequest{Range: request.Range, Key: request.Key, Token: request.Token, Settlement: Released})
	return Decision{State: Refused, Cause: cause}
}

// Finish records the outcome of a call that was sent. A nil outcome means that
// the outcome can't be determined; repeats then get Unknown. After ErrPending
// the outcome is recorded in the background. Finish returns ErrSettled if the
// claim was settled before, ErrNotRecorded if the queue for retries is full, and
// ErrInvalid or ErrNotClaimed if the writer rejects the settlement.
func (c *Claimer) Finish(ctx context.Context, claim *Claim, outcome *Outcome) error {
	settlement := Lost
	if outcome != nil {
		if err := outcome.validate(); err != nil {
			return err
		}
		settlement = Finished
	}
	return c.settle(ctx, claim, settlement, outcome)
}

// Release releases a claim whose call was not sent and never will be. Its errors
// are those of Finish.
func (c *Claimer) Release(ctx context.Context, claim *Claim) error {
	return c.settle(ctx, claim, Released, nil)
}

// settle sends the settlement of a claim, and queues it if it is not recorded.
func (c *Claimer) settle(ctx context.Context, claim *Claim, settlement Settlement, outcome *Outcome) error {
	if claim == nil || !claim.settled.CompareAndSwap(false, true) {
		return ErrSettled
	}
	request := FinishRequest{Range: claim.rangeID, Key: claim.call.Key, Token: claim.token, Settlement: settlement, Outcome: outcome}
	sendCtx, cancel := context.WithTimeout(ctx, c.config.RequestTimeout)
	defer cancel()
	err := sendSettlement(sendCtx, c.locate, request)
	if err == nil || isFinal(err) {
		return err
	}
	if !c.settler.enqueue(request) {
		return fmt.Errorf("%w: queue of pending settlements is full", ErrNotRecorded)
	}
	return fmt.Errorf("%w: %w", ErrPending, err)
}

// sendSettlement sends a settlement to the writer of its range.
func sendSettlement(ctx context.Context, locate Locator, request FinishRequest) error {
	handle := locate(request.Range)
	if handle == nil {
		return errNoWriter
	}
	return handle.Finish(ctx, request)
}

// isFinal reports whether repeating a settlement request can't succeed.
func isFinal(err error) bool { return errors.Is(err, ErrNotClaimed) || errors.Is(err, ErrInvalid) }
