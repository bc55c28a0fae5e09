package core

import (
	"context"
	"errors"
	"time"

	"github.com/figweir/figweir/backends"
)

// attempt sends one attempt and reports whether the request is settled.
func (e *exchange) attempt(ctx context.Context, choice *backends.Choice) bool {
	a := &Attempt{
		Request: e.request, Server: choice.Server, Workspace: e.record.Workspace,
		Priority: e.priority(), After: e.request.LastEventID,
	}
	if choice.Prefill {
		e.prefill(ctx, a, choice)
		return e.settled
	}
	e.record.Server = choice.Server
	if e.handle == nil {
		e.record.Estimate, e.record.Uncached = choice.Estimate, choice.Uncached
	}
	if !e.mayArrive() {
		e.giveUp(e.budgetReason())
		return true
	}
	attemptCtx, cancel, started := e.limitAttempt(ctx)
	defer cancel()
	defer started()
	sentAt := time.Now()
	a.Left = time.Until(e.deadline)
	a.Source = e.handle
	o := e.Upstream.Send(attemptCtx, a)
	e.ledger.note(o)
	e.noteArrival(o)
	e.noteHandle(o)
	switch o := o.(type) {
	case Answered:
		return e.relay(ctx, started, a, choice, o.Answer, sentAt)
	case Refused:
		choice.Refused(time.Now())
		return e.afterRefused(choice.Server)
	case NotSent:
		if ctx.Err() == nil {
			choice.Unreachable(time.Now())
		}
		return e.afterUnsent(choice.Server, o.Cause)
	case Lost:
		return e.afterLost(ctx, choice, o.Cause, sentAt)
	}
	return true
}

// blame counts a failure of a backend server, unless the caller has left or its
// time is over: the attempt then ended because of that.
func blame(ctx context.Context, choice *backends.Choice) {
	if ctx.Err() == nil {
		choice.Failed()
	}
}

// mayArrive takes a retry for every arrival at a backend server beyond the first
// one of the request.
func (e *exchange) mayArrive() bool {
	if e.arrivals == 0 || e.retryTaken {
		e.retryTaken = false
		return true
	}
	return e.Budget.Retry(e.record.Service)
}

func (e *exchange) budgetReason() Reason {
	if e.ledger.mayHaveRun > 0 {
		return ReasonAnswerLost
	}
	return ReasonServersFull
}

func (e *exchange) noteArrival(o Outcome) {
	if _, unsent := o.(NotSent); unsent {
		return
	}
	if e.arrivals == 0 {
		e.Budget.First(e.record.Service)
	}
	e.arrivals++
}

// noteHandle keeps KV cache for another attempt if the engine did not take it.
func (e *exchange) noteHandle(o Outcome) {
	if e.handle == nil {
		return
	}
	e.handleUses++
	switch o.(type) {
	case NotSent, Refused:
		if e.handleUses >= maxHandleUses {
			e.freeHandle()
		}
	default:
		e.handle = nil
	}
}

// freeHandle gives up KV cache that no attempt has taken.
func (e *exchange) freeHandle() {
	if e.handle != nil {
		e.Upstream.Free(e.handle)
		e.handle = nil
	}
}

// limitAttempt bounds the time to the first event of an idempotent request while
// another attempt is allowed, so that a silent backend server does not use up
// the deadline. started lifts the bound.
func (e *exchange) limitAttempt(ctx context.Context) (limited context.Context, cancel context.CancelFunc, started func()) {
	limited, cancelCause := context.WithCancelCause(ctx)
	cancel = func() { cancelCause(context.Canceled) }
	if !e.route.Idempotent() || e.ledger.mayHaveRun+1 >= e.route.MaxAttempts {
		return limited, cancel, func() {}
	}
	left := time.Until(e.deadline)
	limit := time.Duration(attemptShare * float64(left))
	if e.route.Target > 0 {
		limit = min(limit, attemptTargets*e.route.Target)
	}
	timer := time.AfterFunc(limit, func() { cancelCause(errAttemptTime) })
	return limited, cancel, func() { timer.Stop() }
}

var errAttemptTime = errors.New("no answer within the time of one attempt")

// prefill has the prompt processed apart. The engine that goes on is chosen after
// that, because much may change meanwhile. Without a handle the request is chosen
// for again.
func (e *exchange) prefill(ctx context.Context, a *Attempt, choice *backends.Choice) {
	if !e.mayArrive() {
		e.giveUp(e.budgetReason())
		return
	}
	e.record.Prefill, e.record.Estimate, e.record.Uncached = choice.Server, choice.Estimate, choice.Uncached
	a.Left = time.Until(e.deadline)
	handle, o := e.Upstream.Prefill(ctx, a)
	if handle != nil {
		if e.prefilled {
			// Only the first prompt that is processed apart is free of the budget.
			e.noteArrival(nil)
		}
		choice.Prefilled(time.Now())
		e.record.PrefilledAfter = time.Since(e.request.Arrived)
		e.handle, e.handleUses, e.prefilled = handle, 0, true
		return
	}
	e.noteArrival(o)
	e.excluded = append(e.excluded, choice.Server.ID)
	event, cause := "prefill_lost", error(nil)
	switch o := o.(type) {
	case NotSent:
		if ctx.Err() == nil {
			choice.Unreachable(time.Now())
		}
		event, cause = "prefill_unsent", o.Cause
	case Refused:
		choice.Refused(time.Now())
		event = "prefill_refused"
	case Lost:
		blame(ctx, choice)
		cause = o.Cause
	}
	e.Observer.Attempt(&e.record, choice.Server, event, cause)
}

func (e *exchange) beganAt(at time.Time) {
	if e.began || e.workspace == nil {
		return
	}
	e.began = true
	e.Meter.Began(e.workspace.Name, at)
}

func (e *exchange) afterRefused(server *backends.Server) bool {
	e.Observer.Attempt(&e.record, server, "refused", nil)
	e.excluded = append(e.excluded, server.ID)
	if e.ledger.refused > maxRefused {
		e.giveUp(ReasonServersFull)
		return true
	}
	return false
}

func (e *exchange) afterUnsent(server *backends.Server, cause error) bool {
	e.Observer.Attempt(&e.record, server, "unsent", cause)
	e.excluded = append(e.excluded, server.ID)
	if e.ledger.unsent >= maxUnsent {
		e.giveUp(ReasonUnreachable)
		return true
	}
	return false
}

// afterLost settles an attempt whose answer did not come, or came cut.
func (e *exchange) afterLost(ctx context.Context, choice *backends.Choice, cause error, sentAt time.Time) bool {
	// What is lost while the caller waits has most likely run. A stream whose
	// caller gave up before its first event was most likely still queued.
	if e.route.Kind != Streaming || ctx.Err() == nil {
		e.beganAt(sentAt)
	}
	blame(ctx, choice)
	e.Observer.Attempt(&e.record, choice.Server, "lost", cause)
	e.excluded = append(e.excluded, choice.Server.ID)
	if e.mayRunAgain() {
		return false
	}
	reason := ReasonAnswerLost
	if time.Until(e.deadline) < minServerTime {
		reason = ReasonDeadline
	}
	if e.ctx.Err() != nil {
		reason = ReasonCallerGone
	}
	e.giveUp(reason)
	return true
}

// mayRunAgain reports whether a request that may have run already may run at
// another backend server. The retry budget is asked when it is sent.
func (e *exchange) mayRunAgain() bool {
	return e.route.Idempotent() && e.ledger.mayHaveRun < e.route.MaxAttempts &&
		e.ctx.Err() == nil && time.Until(e.deadline) >= minServerTime
}
