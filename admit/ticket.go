package admit

import (
	"time"
)

// ticketState is the state of a ticket, guarded by the lock of its workspace.
type ticketState int

const (
	pending ticketState = iota
	granted
	refused
	done
)

// Ticket is a request that is waiting, admitted or refused. Its methods may be
// called from any goroutine.
type Ticket struct {
	controller *Controller
	workspace  *workspace
	need       [resources]int64
	seconds    float64
	giveUpAt   time.Time
	decided    func()

	state     ticketState
	err       *RefusedError
	prefilled bool
}

// Granted reports whether the request may start, or has started.
func (t *Ticket) Granted() bool {
	t.workspace.mu.Lock()
	defer t.workspace.mu.Unlock()
	return t.state == granted || t.state == done
}

// Err returns the refusal, or nil.
func (t *Ticket) Err() error {
	t.workspace.mu.Lock()
	defer t.workspace.mu.Unlock()
	if t.err == nil {
		return nil
	}
	return t.err
}

// GiveUpAt is the time at which a waiting request has to be refused.
func (t *Ticket) GiveUpAt() time.Time { return t.giveUpAt }

// GiveUp refuses the request if it is still waiting and its time has come. It
// returns the refusal, or nil.
func (t *Ticket) GiveUp(now time.Time) error {
	if !now.Before(t.giveUpAt) {
		t.refuse(ReasonGivenUp)
	}
	return t.Err()
}

// Cancel refuses the request if it is still waiting, because the caller is gone.
func (t *Ticket) Cancel() { t.refuse(ReasonCanceled) }

func (t *Ticket) refuse(reason Reason) {
	w, c := t.workspace, t.controller
	w.mu.Lock()
	if t.state != pending {
		w.mu.Unlock()
		return
	}
	t.state = refused
	w.remove(c, t)
	t.err = &RefusedError{w.name, reason, max(w.wait(c, t.seconds), minRetryAfter)}
	w.mu.Unlock()
	if t.decided != nil {
		t.decided()
	}
	c.dispatch()
}

// FirstToken releases the prefill tokens. Call it when the first token arrives.
func (t *Ticket) FirstToken() {
	t.workspace.mu.Lock()
	release := t.state == granted && !t.prefilled
	t.prefilled = t.prefilled || release
	t.workspace.mu.Unlock()
	if release {
		t.controller.used[0].Add(-t.need[0])
		t.controller.dispatch()
	}
}

// Done releases what the request holds and charges the workspace for the work
// that was really done. Calls after the first have no effect.
func (t *Ticket) Done(actual Work) {
	w, c := t.workspace, t.controller
	w.mu.Lock()
	if t.state != granted {
		w.mu.Unlock()
		return
	}
	t.state = done
	w.finish += (c.options.Prices.EngineSeconds(actual) - t.seconds) / w.weight
	prefilled := t.prefilled
	w.mu.Unlock()
	for i, v := range t.need {
		if i > 0 || !prefilled {
			c.used[i].Add(-v)
		}
	}
	c.dispatch()
}
