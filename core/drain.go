package core

import (
	"context"
	"sync/atomic"
	"time"
)

// Drain is the planned stop of a node. nil means that the node never stops. Its methods may be
// called from any goroutine.
type Drain struct {
	times atomic.Pointer[drainTimes]
	// ended ends when the node ends the requests that still run.
	ended context.Context
	end   context.CancelFunc
}

type drainTimes struct {
	// lastStart is the time from which a request is sent to a backend server only if its
	// deadline is not after endsAt.
	lastStart, endsAt time.Time
}

// NewDrain returns the state of a node that doesn't stop yet.
func NewDrain() *Drain {
	d := &Drain{}
	d.ended, d.end = context.WithCancel(context.Background())
	return d
}

// Begin states that the node stops: from lastStart on it sends a request to a backend server only
// if its deadline is not after endsAt, and at endsAt it ends all requests.
func (d *Drain) Begin(lastStart, endsAt time.Time) {
	d.times.Store(&drainTimes{lastStart, endsAt})
	time.AfterFunc(time.Until(endsAt), d.end)
}

// permits reports whether a request with a deadline may be sent to a backend server now.
func (d *Drain) permits(now, deadline time.Time) bool {
	if d == nil {
		return true
	}
	t := d.times.Load()
	return t == nil || now.Before(t.lastStart) || now.Before(t.endsAt) && !deadline.After(t.endsAt)
}

// onEnd calls f when the node ends its requests, unless stop is called before.
func (d *Drain) onEnd(f func()) (stop func() bool) {
	if d == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(d.ended, f)
}

// retryAtOtherNode is the Retry-After of a stopping node. It can be short, because
// the load balancer sends the retry to another node.
const retryAtOtherNode = 20 * time.Millisecond

// refuseIfStopping settles a request that would not end before the node does. A retry that might
// be interrupted is not sent either.
func (e *exchange) refuseIfStopping() bool {
	if e.Draining.permits(time.Now(), e.deadline) {
		return false
	}
	e.refuse(e.counts.refusal(ReasonStopping, retryAtOtherNode))
	return true
}
