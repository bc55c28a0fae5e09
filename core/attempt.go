package core

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/quarantine"
)

// attempt sends the request to the chosen backend server and reports whether the
// request is settled, that is, whether its final answer has been sent.
func (e *exchange) attempt(ctx context.Context, choice *backends.Choice) bool {
	a := e.newAttempt(choice.Server)
	a.LastEventID = e.request.LastEventID
	if choice.Prefill {
		e.prefill(ctx, a, choice)
		return e.settled
	}
	e.record.Server = choice.Server
	if e.handle == nil {
		e.record.FirstEventEstimate, e.record.UncachedTokens = choice.FirstEventEstimate, choice.UncachedTokens
	}
	if !e.acquireRetry(ctx) {
		e.fail(e.retryDeniedReason())
		return true
	}
	attemptCtx, cancel, liftLimit := e.limitAttempt(ctx)
	defer cancel(context.Canceled)
	defer liftLimit()
	watch, ok := e.startQuarantineWatch(cancel)
	if !ok {
		return e.refuseIfQuarantined()
	}
	defer watch.End()
	stream := e.watchStream(a, false, cancel)
	defer e.endWatch(stream)
	sent := &sentAttempt{a, choice, time.Now(), liftLimit, watch, stream}
	a.TimeLeft = time.Until(e.deadline)
	a.KVSource = e.handle
	o := e.Upstream.Send(attemptCtx, a)
	e.recordOutcome(choice.Server, o)
	e.chargeAttempt(o)
	e.updateHandle(o)
	return e.onOutcome(ctx, context.Cause(attemptCtx), sent, o)
}

// onOutcome handles the outcome of an attempt and reports whether the request is settled. canceled is
// the cause for which the attempt was canceled; nil if it was not.
func (e *exchange) onOutcome(ctx context.Context, canceled error, a *sentAttempt, o Outcome) bool {
	choice := a.choice
	switch o := o.(type) {
	case Answered:
		if !e.mayRunAgain() {
			e.request.releaseBody()
		}
		return e.relay(ctx, a, o.Answer)
	case Refused:
		choice.Refused(time.Now())
		return e.onRefused(choice.Server)
	case Abandoned:
		e.abandon(choice.Server)
		return false
	case NotSent:
		if errors.Is(canceled, errQuarantined) {
			return e.onQuarantined(choice.Server, errQuarantined)
		}
		if ctx.Err() == nil {
			choice.Unreachable(time.Now())
		}
		return e.onNotSent(choice.Server, o.Cause)
	case Lost:
		return e.onLost(ctx, choice, o.Cause, a.sentAt, a.watch)
	}
	return true
}

// recordOutcome counts the outcome of an attempt, and keeps why it counts as not run.
func (e *exchange) recordOutcome(server *backends.Server, o Outcome) {
	e.counts.record(o)
	if proof, ok := notRunProof(server.ID, o); ok {
		e.record.NotRunProofs = append(e.record.NotRunProofs, proof)
	}
}

// newAttempt returns an attempt on a backend server, with a trace that the record refers to.
func (e *exchange) newAttempt(server *backends.Server) *Attempt {
	e.record.LastSend = newSendTrace(e.request)
	repeated := slices.Contains(e.addresses, server.Address)
	e.addresses = append(e.addresses, server.Address)
	return &Attempt{
		Request: e.request, Server: server, Workspace: e.record.Workspace,
		Priority: e.priority(), TimeLeft: time.Until(e.deadline), NewConnection: repeated, Trace: e.record.LastSend,
	}
}

// sentAttempt is an attempt that is sent to a backend server.
type sentAttempt struct {
	*Attempt
	choice *backends.Choice
	sentAt time.Time
	// liftLimit removes the time limit until the first event.
	liftLimit func()
	// watch is told what arrives of the answer.
	watch *quarantine.Attempt
	// stream is the watch for silence; nil if the attempt has none.
	stream *streamWatch
}

// recordFailure counts a failure of the chosen backend server. An attempt that
// ended because the caller canceled or the deadline passed is not a failure of the
// server and is not counted.
func recordFailure(ctx context.Context, choice *backends.Choice) {
	if ctx.Err() == nil {
		choice.Failed()
	}
}

// acquireRetry acquires a retry from the budget for every charged attempt of the
// request beyond the first one, and a permit of the workspace's quota for every run beyond the
// first one. It reports whether the next attempt may be sent.
func (e *exchange) acquireRetry(ctx context.Context) bool {
	if e.chargedAttempts > 0 && !e.retryAcquired {
		return e.acquireRepeat(ctx)
	}
	e.retryAcquired = false
	// A watch that has acquired the retry has not asked for a permit.
	acquired, _ := e.acquireQuota(ctx)
	return acquired
}

// acquireRepeat acquires a permit, if a further attempt needs one, and a retry. The permit comes first: a
// retry can't be given back to the budget.
func (e *exchange) acquireRepeat(ctx context.Context) bool {
	before := e.quotaPermits
	if acquired, _ := e.acquireQuota(ctx); !acquired {
		return false
	}
	if e.RetryBudget.Retry(e.record.Service) {
		return true
	}
	if e.quotaPermits > before {
		e.returnPermit()
	}
	return false
}

// retryDeniedReason returns the refusal reason for a request whose next attempt was
// denied by the retry budget.
func (e *exchange) retryDeniedReason() Reason {
	if e.counts.mayHaveRun > 0 {
		return ReasonAnswerLost
	}
	return ReasonServersFull
}

// chargeAttempt counts an attempt against the retry budget, and uses up the request's trial, unless
// the outcome shows that it was not sent.
func (e *exchange) chargeAttempt(o Outcome) {
	switch o.(type) {
	case NotSent, Abandoned:
		return
	}
	e.quarantineTrial = false
	if e.chargedAttempts == 0 {
		e.RetryBudget.FirstAttempt(e.record.Service)
	}
	e.chargedAttempts++
}

// updateHandle keeps the KV handle for another attempt if the engine did not accept
// the request, and otherwise drops the reference, since the engine now owns the KV
// cache. After maxHandleUses attempts the handle is freed.
func (e *exchange) updateHandle(o Outcome) {
	if e.handle == nil {
		return
	}
	e.handleUses++
	switch o.(type) {
	case NotSent, Abandoned, Refused:
		if e.handleUses >= maxHandleUses {
			e.freeHandle()
		}
	default:
		e.handle = nil
	}
}

// freeHandle releases KV cache that no attempt has used.
func (e *exchange) freeHandle() {
	if e.handle != nil {
		e.Upstream.Free(e.handle)
		e.handle = nil
	}
}

// limitAttempt returns a context that is canceled if an idempotent request gets no
// first event within its share of the remaining time. The limit applies only while
// another attempt is allowed, so that an unresponsive backend server does not use up
// the deadline. liftLimit removes the limit. Streams that are watched for silence have none.
func (e *exchange) limitAttempt(ctx context.Context) (limited context.Context, cancel context.CancelCauseFunc, liftLimit func()) {
	limited, cancel = context.WithCancelCause(ctx)
	if !e.route.Idempotent() || e.isWatched() || e.counts.mayHaveRun+1 >= e.route.MaxAttempts {
		return limited, cancel, func() {}
	}
	timeLeft := time.Until(e.deadline)
	limit := time.Duration(attemptTimeShare * float64(timeLeft))
	if e.route.TargetLatency > 0 {
		limit = min(limit, attemptTargetFactor*e.route.TargetLatency)
	}
	timer := time.AfterFunc(limit, func() { cancel(errAttemptTimeout) })
	return limited, cancel, func() { timer.Stop() }
}

var errAttemptTimeout = errors.New("no answer within the time limit of one attempt")

// prefill processes the prompt on a separate prefill engine. The decode engine is
// chosen only afterwards, because loads and registrations may change in the meantime.
// If no handle is returned, the caller makes a new choice for the whole request.
func (e *exchange) prefill(ctx context.Context, a *Attempt, choice *backends.Choice) {
	if !e.acquireRetry(ctx) {
		e.fail(e.retryDeniedReason())
		return
	}
	e.record.PrefillServer, e.record.FirstEventEstimate, e.record.UncachedTokens = choice.Server, choice.FirstEventEstimate, choice.UncachedTokens
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	watch, ok := e.startQuarantineWatch(cancel)
	if !ok {
		return
	}
	defer watch.End()
	stream := e.watchStream(a, true, cancel)
	defer e.endWatch(stream)
	a.TimeLeft = time.Until(e.deadline)
	handle, o := e.Upstream.Prefill(attemptCtx, a)
	if handle != nil {
		e.onPrefilled(choice, handle)
	} else {
		e.onPrefillFailed(ctx, choice, watch, o)
	}
}

// onPrefilled keeps the handle of a completed separate prefill for the next attempt.
func (e *exchange) onPrefilled(choice *backends.Choice, handle *KVHandle) {
	if e.prefilled {
		e.chargeAttempt(nil)
	} else {
		// The first separate prefill that an engine accepts is not charged to the
		// retry budget, so a retry that was acquired for it is left for the next
		// attempt.
		e.retryAcquired = e.chargedAttempts > 0
	}
	choice.Prefilled(time.Now())
	e.record.PrefilledAfter = time.Since(e.request.ArrivedAt)
	e.handle, e.handleUses, e.prefilled = handle, 0, true
}

// onPrefillFailed excludes the engine of a separate prefill that returned no handle.
func (e *exchange) onPrefillFailed(ctx context.Context, choice *backends.Choice, watch *quarantine.Attempt, o Outcome) {
	e.chargeAttempt(o)
	if _, abandoned := o.(Abandoned); abandoned {
		e.abandon(choice.Server)
		return
	}
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
		cause = o.Cause
		e.noteMove(cause)
		if !errors.Is(cause, errQuarantined) {
			recordFailure(ctx, choice)
			e.reportLoss(ctx, choice.Server, watch, cause)
		}
	}
	e.Observer.AttemptFailed(&e.record, choice.Server, event, cause)
}

// meterStart records for usage metering, once per request, that the request started
// to run at the given time.
func (e *exchange) meterStart(at time.Time) {
	if e.metered || e.workspace == nil {
		return
	}
	e.metered = true
	e.Meter.RequestStarted(e.workspace.Name, at)
}

// onRefused excludes a backend server that refused the attempt. It reports whether
// the request is settled because too many servers refused it.
func (e *exchange) onRefused(server *backends.Server) bool {
	e.Observer.AttemptFailed(&e.record, server, "refused", nil)
	e.excluded = append(e.excluded, server.ID)
	if e.counts.refused > maxRefused {
		e.fail(ReasonServersFull)
		return true
	}
	return false
}

// onNotSent excludes a backend server to which the attempt could not be sent. It
// reports whether the request is settled because too many servers were unreachable.
func (e *exchange) onNotSent(server *backends.Server, cause error) bool {
	e.Observer.AttemptFailed(&e.record, server, "unsent", cause)
	e.excluded = append(e.excluded, server.ID)
	if e.counts.unsent >= maxUnsent {
		e.fail(ReasonUnreachable)
		return true
	}
	return false
}

// onLost handles an attempt whose answer is missing or incomplete. It reports whether
// the request is settled.
func (e *exchange) onLost(ctx context.Context, choice *backends.Choice, cause error, sentAt time.Time, watch *quarantine.Attempt) bool {
	if errors.Is(cause, errQuarantined) {
		return e.onQuarantined(choice.Server, cause)
	}
	// An attempt that is lost while the caller still waits has most likely run. A
	// stream that the caller canceled before its first event was most likely still
	// queued at the engine, so it is not metered.
	if e.route.Kind != Streaming || ctx.Err() == nil {
		e.meterStart(sentAt)
	}
	e.noteMove(cause)
	recordFailure(ctx, choice)
	e.reportLoss(ctx, choice.Server, watch, cause)
	e.Observer.AttemptFailed(&e.record, choice.Server, lostEvent(cause), cause)
	e.excluded = append(e.excluded, choice.Server.ID)
	if e.mayRunAgain() {
		return false
	}
	reason := ReasonAnswerLost
	if time.Until(e.deadline) < minTimeLeft {
		reason = ReasonDeadline
	}
	if e.callerGone() {
		reason = ReasonCallerGone
	}
	e.fail(reason)
	return true
}

// onQuarantined ends a request whose attempt was canceled because its prompt parts crash
// backend servers. The attempt may have run, so the request is not counted as not run.
func (e *exchange) onQuarantined(server *backends.Server, cause error) bool {
	e.Observer.AttemptFailed(&e.record, server, "quarantined", cause)
	if !e.refuseIfQuarantined() {
		e.fail(ReasonAnswerLost)
	}
	return true
}

// mayRunAgain reports whether a request that may already have run may run on another
// backend server. It does not consult the retry budget; that happens when the next
// attempt is sent.
func (e *exchange) mayRunAgain() bool {
	return e.route.Idempotent() && e.counts.mayHaveRun < e.route.MaxAttempts &&
		!e.callerGone() && time.Until(e.deadline) >= minTimeLeft
}
