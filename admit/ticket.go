package admit

import (
	"time"
)

// ticketState is the state of a ticket. It is guarded by the lock of the queue.
type ticketState int

const (
	statePending ticketState = iota
	stateGranted
	stateRefused
	stateDone
)

// Ticket is a request that is queued, admitted or refused. Its methods may be called from
// any goroutine.
type Ticket struct {
	controller *Controller
	queue      *workspaceQueue
	// reserved holds the resources that the request needs, and engineSeconds its cost.
	reserved      [resourceCount]int64
	engineSeconds float64
	refuseAt      time.Time
	onDecided     func()

	state     ticketState
	err       *RefusedError
	prefilled bool
}

// Granted reports whether the request has been admitted.
func (t *Ticket) Granted() bool {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	return t.state == stateGranted || t.state == stateDone
}

// Err returns the *RefusedError of a refused request, or nil.
func (t *Ticket) Err() error {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	if t.err == nil {
		return nil
	}
	return t.err
}

// RefuseAt returns the time at which a queued request has to be refused.
func (t *Ticket) RefuseAt() time.Time { return t.refuseAt }

// RefuseIfDue refuses the request if it is still queued at the time of RefuseAt or
// later. It returns the refusal, or nil.
func (t *Ticket) RefuseIfDue(now time.Time) error {
	if !now.Before(t.refuseAt) {
		t.refuse(ReasonWaitTimeout)
	}
	return t.Err()
}

// Cancel refuses the request if it is still queued, because the caller has disconnected.
func (t *Ticket) Cancel() { t.refuse(ReasonCanceled) }

// refuse refuses a queued request and has no effect in other states.
func (t *Ticket) refuse(reason Reason) {
	q, c := t.queue, t.controller
	q.mu.Lock()
	if t.state != statePending {
		q.mu.Unlock()
		return
	}
	t.state = stateRefused
	q.remove(c, t)
	t.err = &RefusedError{q.name, reason, max(q.estimateWait(c, t.engineSeconds), minRetryAfter)}
	q.mu.Unlock()
	if t.onDecided != nil {
		t.onDecided()
	}
	c.dispatch()
}

// FirstToken releases the reserved prefill tokens. It is called when the first token
// arrives.
func (t *Ticket) FirstToken() {
	t.queue.mu.Lock()
	release := t.state == stateGranted && !t.prefilled
	t.prefilled = t.prefilled || release
	t.queue.mu.Unlock()
	if release {
		t.controller.used[0].Add(-t.reserved[0])
		t.controller.dispatch()
	}
}

// Done releases the reserved resources and corrects the charge of the workspace to the
// actual work. Calls after the first have no effect.
func (t *Ticket) Done(actual Work) {
	q, c := t.queue, t.controller
	q.mu.Lock()
	if t.state != stateGranted {
		q.mu.Unlock()
		return
	}
	t.state = stateDone
	q.finishTag += (c.options.CostModel.EngineSeconds(actual) - t.engineSeconds) / q.weight
	prefilled := t.prefilled
	q.mu.Unlock()
	for i, v := range t.reserved {
		if i > 0 || !prefilled {
			c.used[i].Add(-v)
		}
	}
	c.dispatch()
}
