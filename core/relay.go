package core

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/quarantine"
)

// isServerError reports whether a status code is a failure of the backend server that
// another server may not have. A status that promises that the request has not run is one too:
// the refusals that prove it are no answers.
func isServerError(status int) bool { return status >= 500 || promisesNotRun(status) }

// serverErrorEvent returns the event of an attempt that failed with the given status.
func serverErrorEvent(status int) string {
	if promisesNotRun(status) {
		return "unstated_refusal"
	}
	return "server_error"
}

// relay sends the answer of a backend server to the caller. It reports whether the
// request is settled.
func (e *exchange) relay(ctx context.Context, a *sentAttempt, answer Answer) bool {
	if answer.Stream() {
		return e.relayStream(ctx, a, answer)
	}
	defer answer.Close()
	choice := a.choice
	body, err := answer.ReadAll()
	e.meterStart(a.sentAt)
	head := answer.Head()
	if err != nil {
		return e.onLost(ctx, choice, err, a.sentAt, a.watch)
	}
	if !isServerError(head.Status) && len(body) > 0 {
		now := time.Now()
		a.watch.Arrived(now)
		a.watch.Completed(now)
	}
	if isServerError(head.Status) {
		choice.Failed()
		if e.mayRunAgain() && e.acquireRepeat(ctx) {
			// The retry is acquired here and not when the next attempt is sent: if the
			// budget or the quota denies it, this failure is the last one.
			e.retryAcquired = true
			e.Observer.AttemptFailed(&e.record, choice.Server, serverErrorEvent(head.Status), fmt.Errorf("status %d", head.Status))
			e.excluded = append(e.excluded, choice.Server.ID)
			return false
		}
	} else {
		choice.Succeeded()
	}
	if promisesNotRun(head.Status) {
		// The caller would take the status for a promise of this node.
		e.Observer.AttemptFailed(&e.record, choice.Server, serverErrorEvent(head.Status), fmt.Errorf("status %d", head.Status))
		e.fail(ReasonUnstatedRefusal)
		return true
	}
	e.record.TimeToFirstEvent = time.Since(e.request.ArrivedAt)
	e.record.Status = head.Status
	if err := e.sink.WriteAnswer(head, body); err != nil {
		e.record.Reason = ReasonCallerGone
	}
	return true
}

// relayStream relays a stream event by event. If the stream is interrupted and the
// route allows it, the stream is resumed on another backend server.
func (e *exchange) relayStream(ctx context.Context, a *sentAttempt, answer Answer) bool {
	defer func() {
		if answer != nil {
			answer.Close()
		}
	}()
	event, err := answer.Next()
	if err != nil && err != io.EOF {
		return e.onLost(ctx, a.choice, err, a.sentAt, a.watch)
	}
	if !e.route.Resumable {
		// The stream has begun, so it is not sent to another server.
		e.request.releaseBody()
	}
	a.liftLimit()
	e.recordFirstEvent(a.choice)
	head := answer.Head()
	e.record.Status = head.Status
	if e.sink.BeginStream(head) != nil {
		e.record.Reason = ReasonCallerGone
		return true
	}
	lastID := a.LastEventID
	for {
		cause := e.forward(answer, a, event, err, &lastID)
		if cause == nil {
			if e.record.Reason == "" {
				a.choice.Succeeded()
			}
			return true
		}
		e.noteMove(cause)
		e.endWatch(a.stream)
		recordFailure(ctx, a.choice)
		e.reportLoss(ctx, a.choice.Server, a.watch, cause)
		// The server may still generate, for example if it sent bytes that are no event.
		answer.Close()
		answer, a = e.resume(ctx, a.choice.Server, lastID)
		if answer == nil {
			e.sink.Abort()
			return true
		}
		event, err = answer.Next()
	}
}

// forward relays events until the stream ends. It returns the cause if the stream was
// interrupted while the caller still waits for the rest.
func (e *exchange) forward(answer Answer, a *sentAttempt, event Event, err error, lastID *string) (interrupted error) {
	for err == nil {
		now := time.Now()
		a.stream.received(now, event.LastID)
		e.recordEvent(now)
		a.watch.Arrived(now)
		if e.sink.WriteEvents(event.Bytes) != nil {
			e.record.Reason = ReasonCallerGone
			e.sink.Abort()
			return nil
		}
		if event.LastID != "" {
			*lastID = event.LastID
		}
		a.stream.wait()
		event, err = answer.Next()
	}
	if err == io.EOF {
		a.watch.Completed(time.Now())
		if e.sink.EndStream() != nil {
			e.record.Reason = ReasonCallerGone
		}
		return nil
	}
	e.record.Reason = e.interruptionReason(ReasonStreamCut)
	e.Observer.AttemptFailed(&e.record, e.record.Server, "stream_cut", err)
	return err
}

// recordEvent counts an event and updates the longest pause between events. The
// pause while a stream is resumed counts as well.
func (e *exchange) recordEvent(now time.Time) {
	if e.record.Events > 0 {
		e.record.MaxPause = max(e.record.MaxPause, now.Sub(e.lastEventAt))
	}
	e.lastEventAt = now
	e.reportEvent(now)
	e.record.Events++
}

// resume continues an interrupted stream on another backend server, after the event
// with the id lastID. The returned answer is nil if the stream can't be resumed.
func (e *exchange) resume(ctx context.Context, failed *backends.Server, lastID string) (Answer, *sentAttempt) {
	if !e.route.Resumable || lastID == "" {
		return nil, nil
	}
	e.excluded = append(e.excluded, failed.ID)
	for e.counts.refused <= maxRefused && e.counts.unsent < maxUnsent && e.mayRunAgain() {
		if _, blocked := e.isQuarantined(); blocked {
			return nil, nil
		}
		choice, err := e.chooseToResume()
		if err != nil || !e.acquireRetry(ctx) {
			if err == nil {
				choice.Done()
			}
			return nil, nil
		}
		answer, a := e.resumeOn(ctx, choice, lastID)
		if answer != nil {
			if !e.mayRunAgain() {
				e.request.releaseBody()
			}
			e.record.Resumes++
			e.record.Reason = ""
			return answer, a
		}
		choice.Done()
	}
	return nil, nil
}

// resumeOn resumes a stream on one backend server. The choice counts as load until
// the end of the request if there is an answer.
func (e *exchange) resumeOn(ctx context.Context, choice *backends.Choice, lastID string) (Answer, *sentAttempt) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	watch, ok := e.startQuarantineWatch(cancel)
	if !ok {
		cancel(errQuarantined)
		return nil, nil
	}
	e.record.Server = choice.Server
	a := e.newAttempt(choice.Server)
	a.LastEventID = lastID
	stream := e.watchStream(a, false, cancel)
	o := e.Upstream.Send(attemptCtx, a)
	e.recordOutcome(choice.Server, o)
	e.chargeAttempt(o)
	e.excluded = append(e.excluded, choice.Server.ID)
	if answered, ok := o.(Answered); ok && answered.Answer.Stream() {
		e.onEnd = append(e.onEnd, func() { watch.End(); e.endWatch(stream); cancel(context.Canceled); choice.Done() })
		return answered.Answer, &sentAttempt{Attempt: a, choice: choice, watch: watch, stream: stream}
	}
	watch.End()
	e.endWatch(stream)
	cancel(context.Canceled)
	e.onResumeFailed(ctx, choice, watch, o)
	return nil, nil
}

// onResumeFailed handles the outcome of an attempt that did not resume a stream.
func (e *exchange) onResumeFailed(ctx context.Context, choice *backends.Choice, watch *quarantine.Attempt, o Outcome) {
	switch o := o.(type) {
	case Answered:
		o.Answer.Close()
	case Lost:
		e.noteMove(o.Cause)
		e.reportLoss(ctx, choice.Server, watch, o.Cause)
	case Abandoned:
		e.abandon(choice.Server)
		e.record.Reason = ReasonCallerGone
		return
	}
	e.Observer.AttemptFailed(&e.record, choice.Server, "resume_failed", nil)
}

// interruptionReason returns the reason why a stream ended early: that the caller
// disconnected, that the deadline passed, or otherwise the given reason.
func (e *exchange) interruptionReason(reason Reason) Reason {
	switch {
	case e.callerGone():
		return ReasonCallerGone
	case time.Until(e.deadline) < minTimeLeft:
		return ReasonDeadline
	default:
		return reason
	}
}

// recordFirstEvent records the latency of the first event. The prompt is processed
// at that time and the request has started to run.
func (e *exchange) recordFirstEvent(choice *backends.Choice) {
	now := time.Now()
	e.record.TimeToFirstEvent = now.Sub(e.request.ArrivedAt)
	choice.FirstEvent(now)
	e.meterStart(now)
}
