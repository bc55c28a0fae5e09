package core

import (
	"context"
	"io"
	"time"

	"github.com/figweir/figweir/backends"
)

// serverFailed reports whether a status is a failure of the backend server that
// another one may not have.
func serverFailed(status int) bool { return status >= 500 }

// relay hands an answer on. It reports whether the request is settled.
func (e *exchange) relay(ctx context.Context, started func(), a *Attempt, choice *backends.Choice, answer Answer, sentAt time.Time) bool {
	if answer.Stream() {
		return e.relayStream(ctx, started, a, choice, answer, sentAt)
	}
	defer answer.Close()
	body, err := answer.Whole()
	e.beganAt(sentAt)
	if err != nil {
		return e.afterLost(ctx, choice, err, sentAt)
	}
	head := answer.Head()
	if serverFailed(head.Status) {
		choice.Failed()
		if e.mayRunAgain() && e.Budget.Retry(e.record.Service) {
			// Without a retry the failure is the answer, so it is taken here.
			e.retryTaken = true
			e.Observer.Attempt(&e.record, choice.Server, "server_error", nil)
			e.excluded = append(e.excluded, choice.Server.ID)
			return false
		}
	} else {
		choice.Succeeded()
	}
	e.record.FirstEvent = time.Since(e.request.Arrived)
	e.record.Status = head.Status
	if err := e.sink.Whole(head, body); err != nil {
		e.record.Reason = ReasonCallerGone
	}
	return true
}

// relayStream hands a stream on event by event. A cut stream goes on at another
// backend server if the route allows it.
func (e *exchange) relayStream(ctx context.Context, started func(), a *Attempt, choice *backends.Choice, answer Answer, sentAt time.Time) bool {
	defer func() { answer.Close() }()
	event, err := answer.Next()
	if err != nil && err != io.EOF {
		return e.afterLost(ctx, choice, err, sentAt)
	}
	started()
	e.firstEvent(choice)
	head := answer.Head()
	e.record.Status = head.Status
	if e.sink.Begin(head) != nil {
		e.record.Reason = ReasonCallerGone
		return true
	}
	last := a.After
	for {
		if !e.forward(answer, event, err, &last) {
			if e.record.Reason == "" {
				choice.Succeeded()
			}
			return true
		}
		blame(ctx, choice)
		next, resumed := e.resume(ctx, choice.Server, last)
		if next == nil {
			e.sink.Abort()
			return true
		}
		answer.Close()
		answer, choice = next, resumed
		event, err = answer.Next()
	}
}

// forward relays events until the stream ends. It reports whether the stream is
// cut and the caller still waits for the rest.
func (e *exchange) forward(answer Answer, event Event, err error, last *string) (cut bool) {
	for err == nil {
		e.noteEvent(time.Now())
		if e.sink.Events(event.Bytes) != nil {
			e.record.Reason = ReasonCallerGone
			e.sink.Abort()
			return false
		}
		if event.LastID != "" {
			*last = event.LastID
		}
		event, err = answer.Next()
	}
	if err == io.EOF {
		if e.sink.End() != nil {
			e.record.Reason = ReasonCallerGone
		}
		return false
	}
	e.record.Reason = e.cutReason(ReasonStreamCut)
	e.Observer.Attempt(&e.record, e.record.Server, "stream_cut", err)
	return true
}

// noteEvent counts an event and follows the pauses between events, also over the
// cut of a stream.
func (e *exchange) noteEvent(now time.Time) {
	if e.record.Events > 0 {
		e.record.MaxPause = max(e.record.MaxPause, now.Sub(e.lastEvent))
	}
	e.lastEvent = now
	e.record.Events++
}

// resume continues a cut stream after its last event at another backend server.
// The answer is nil if the stream can't go on.
func (e *exchange) resume(ctx context.Context, failed *backends.Server, last string) (Answer, *backends.Choice) {
	if !e.route.Resumable || last == "" {
		return nil, nil
	}
	e.excluded = append(e.excluded, failed.ID)
	for e.ledger.refused <= maxRefused && e.ledger.unsent < maxUnsent && e.mayRunAgain() {
		w := e.work(e.record.Service)
		w.Resumed = true
		choice, err := e.Chooser.Choose(time.Now(), w)
		if err != nil || !e.mayArrive() {
			if err == nil {
				choice.Done()
			}
			return nil, nil
		}
		answer := e.resumeAt(ctx, choice, last)
		if answer != nil {
			e.record.Resumed++
			e.record.Reason = ""
			return answer, choice
		}
		choice.Done()
	}
	return nil, nil
}

// resumeAt continues a stream at one backend server. The choice stays open while
// there is an answer.
func (e *exchange) resumeAt(ctx context.Context, choice *backends.Choice, last string) Answer {
	e.record.Server = choice.Server
	o := e.Upstream.Send(ctx, &Attempt{
		Request: e.request, Server: choice.Server, Workspace: e.record.Workspace,
		Priority: e.priority(), Left: time.Until(e.deadline), After: last,
	})
	e.ledger.note(o)
	e.noteArrival(o)
	e.excluded = append(e.excluded, choice.Server.ID)
	if answered, ok := o.(Answered); ok {
		if answered.Answer.Stream() {
			e.resumed = append(e.resumed, choice)
			return answered.Answer
		}
		answered.Answer.Close()
	}
	e.Observer.Attempt(&e.record, choice.Server, "resume_failed", nil)
	return nil
}

func (e *exchange) cutReason(reason Reason) Reason {
	switch {
	case e.ctx.Err() != nil:
		return ReasonCallerGone
	case time.Until(e.deadline) < minServerTime:
		return ReasonDeadline
	default:
		return reason
	}
}

func (e *exchange) firstEvent(choice *backends.Choice) {
	now := time.Now()
	e.record.FirstEvent = now.Sub(e.request.Arrived)
	choice.FirstEvent(now)
	e.beganAt(now)
}
