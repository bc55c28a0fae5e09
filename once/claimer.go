package once

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// Call identifies a call that must not be repeated.
type Call struct {
	Key        Key
	BodyDigest Digest
}

// Claim is the right to send one call once. Only a Granted decision carries one.
type Claim struct {
	call    Call
	token   Token
	rng     Range
	settled atomic.Bool
}

// Decision is the answer to Claimer.Claim.
type Decision struct {
	State State
	// Claim is set if the state is Granted.
	Claim *Claim
	// Outcome is set if the state is Done and the outcome could be read.
	Outcome *Outcome
	// Cause is set if the state is Refused. It is for the log.
	Cause error
}

// Locator returns a handle for the writer of a range, or nil if there is none.
// Which node it picks doesn't matter for safety.
type Locator func(r Range) Handle

// ClaimerConfig holds the limits of a Claimer.
type ClaimerConfig struct {
	// Ranges is the number of hash ranges, the same on every node.
	Ranges uint32
	// AnswerTimeout is how long a claim may take. Later answers are not used.
	AnswerTimeout time.Duration
	// RetryInterval is the pause between two attempts to record a settlement.
	RetryInterval time.Duration
	// MaxPending bounds the settlements that wait to be recorded. The claims of
	// those beyond it stay open until this incarnation is gone.
	MaxPending int
	// Parallel is how many settlements are sent at a time in the background.
	Parallel int
}

// DefaultClaimerConfig returns limits for a node in front of 16 ranges.
func DefaultClaimerConfig() ClaimerConfig {
	return ClaimerConfig{Ranges: 16, AnswerTimeout: 500 * time.Millisecond, RetryInterval: 250 * time.Millisecond, MaxPending: 4096, Parallel: 16}
}

// Errors of a Claimer.
var (
	// ErrPending means that the settlement is not recorded yet; the claimer
	// keeps trying in the background.
	ErrPending = errors.New("once: settlement is recorded later")
	// ErrSettled means that the claim was finished or released before.
	ErrSettled = errors.New("once: claim is already settled")
	// errNoWriter means that no writer of the range is known.
	errNoWriter = errors.New("once: no writer of the range is known")
	errDefinite = errors.New("once: the writer of the range refused")
	errLate     = errors.New("once: the claim was not answered in time")
)

// Claimer claims calls for one incarnation of a node. It is safe for concurrent
// use.
type Claimer struct {
	config  ClaimerConfig
	owner   string
	locate  Locator
	settler *settler
}

// NewClaimer returns a Claimer for the incarnation owner. Its background work
// ends with Close.
func NewClaimer(owner string, config ClaimerConfig, locate Locator) *Claimer {
	c := &Claimer{config: config, owner: owner, locate: locate}
	c.settler = startSettler(config, locate)
	return c
}

// Close ends the background work. Claims that are still open answer unknown once
// this incarnation is gone.
func (c *Claimer) Close() { c.settler.close() }

// Pending returns how many settlements wait to be recorded, and how many were
// given up because too many waited.
func (c *Claimer) Pending() (waiting int, givenUp int64) { return c.settler.pending() }

// Claim asks for the right to send a call. Unless the state is Granted, the
// caller must not send it. After Refused the claim is void: if it may have been
// recorded, it is released in the background.
func (c *Claimer) Claim(ctx context.Context, call Call) Decision {
	request := ClaimRequest{
		Range: RangeOf(call.Key, c.config.Ranges), Key: call.Key, BodyDigest: call.BodyDigest, Owner: c.owner, Token: NewToken(),
	}
	handle := c.locate(request.Range)
	if handle == nil {
		return Decision{State: Refused, Cause: errNoWriter}
	}
	claimCtx, cancel := context.WithTimeout(ctx, c.config.AnswerTimeout)
	defer cancel()
	answer, err := handle.Claim(claimCtx, request)
	switch {
	case errors.Is(err, ErrInvalid):
		return Decision{State: Refused, Cause: err}
	case err != nil:
		return c.refuse(request, err)
	case answer.State == Refused:
		return Decision{State: Refused, Cause: errDefinite}
	case answer.State != Granted:
		return Decision{State: answer.State, Outcome: answer.Outcome}
	case claimCtx.Err() != nil:
		return c.refuse(request, errLate)
	}
	return Decision{State: Granted, Claim: &Claim{call: call, token: request.Token, rng: request.Range}}
}

// refuse gives up a claim that may be recorded.
func (c *Claimer) refuse(request ClaimRequest, cause error) Decision {
	c.settler.add(FinishRequest{Range: request.Range, Key: request.Key, Token: request.Token, Settlement: Released})
	return Decision{State: Refused, Cause: cause}
}

// Finish records the outcome of a call that was sent. A nil outcome means that
// it can't be learned; repeats then answer unknown. ErrPending means that the
// record follows in the background.
func (c *Claimer) Finish(ctx context.Context, claim *Claim, outcome *Outcome) error {
	settlement := Lost
	if outcome != nil {
		if err := outcome.check(); err != nil {
			return err
		}
		settlement = Finished
	}
	return c.settle(ctx, claim, settlement, outcome)
}

// Release gives back a claim whose call was certainly not sent and never will be.
func (c *Claimer) Release(ctx context.Context, claim *Claim) error {
	return c.settle(ctx, claim, Released, nil)
}

func (c *Claimer) settle(ctx context.Context, claim *Claim, settlement Settlement, outcome *Outcome) error {
	if claim == nil || !claim.settled.CompareAndSwap(false, true) {
		return ErrSettled
	}
	request := FinishRequest{Range: claim.rng, Key: claim.call.Key, Token: claim.token, Settlement: settlement, Outcome: outcome}
	sendCtx, cancel := context.WithTimeout(ctx, c.config.AnswerTimeout)
	defer cancel()
	err := send(sendCtx, c.locate, request)
	if err == nil || isFinal(err) {
		return err
	}
	if !c.settler.add(request) {
		return fmt.Errorf("%w: too many settlements wait", ErrNotRecorded)
	}
	return fmt.Errorf("%w: %w", ErrPending, err)
}

// send passes a settlement to the writer of its range.
func send(ctx context.Context, locate Locator, request FinishRequest) error {
	handle := locate(request.Range)
	if handle == nil {
		return errNoWriter
	}
	return handle.Finish(ctx, request)
}

// isFinal says that repeating a settlement is of no use.
func isFinal(err error) bool { return errors.Is(err, ErrNotClaimed) || errors.Is(err, ErrInvalid) }
