package core

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/quarantine"
)

// errQuarantined cancels an attempt whose prompt parts became suspected of crashing backend
// servers before its answer began.
var errQuarantined = errors.New("the prompt has parts that crash backend servers")

// isQuarantined reports whether the request must not be sent because of its prompt parts,
// and when the caller may repeat it.
func (e *exchange) isQuarantined() (retryAfter time.Duration, blocked bool) {
	if e.quarantineTrial {
		return 0, false
	}
	verdict := e.Quarantine.Check(time.Now(), e.sharedParts)
	e.quarantineTrial = verdict.Trial
	return verdict.RetryAfter, verdict.Blocked
}

// returnTrial gives a trial back that no backend server has received.
func (e *exchange) returnTrial() {
	if e.quarantineTrial && !e.prefilled {
		e.Quarantine.ReturnTrial(e.sharedParts)
	}
}

// refuseIfQuarantined refuses the request if it must not be sent because of its prompt parts,
// and reports whether it did.
func (e *exchange) refuseIfQuarantined() bool {
	retryAfter, blocked := e.isQuarantined()
	if blocked {
		e.refuse(e.counts.refusal(ReasonQuarantined, retryAfter))
	}
	return blocked
}

// startQuarantineWatch registers an attempt that is about to be sent. It returns false if the
// prompt parts have become suspected since they were checked.
func (e *exchange) startQuarantineWatch(cancel context.CancelCauseFunc) (*quarantine.Attempt, bool) {
	return e.Quarantine.Start(e.sharedParts, e.quarantineTrial, func() { cancel(errQuarantined) })
}

// reportLoss finds out, in the background, whether the backend server of an attempt that was
// lost has crashed. That is evidence against the prompt parts, unless the answer had proved them
// sound before.
func (e *exchange) reportLoss(ctx context.Context, server *backends.Server, watch *quarantine.Attempt, cause error) {
	if len(e.sharedParts) == 0 || ctx.Err() != nil || watch.IsProven() || errors.Is(cause, errAttemptTimeout) || errors.Is(cause, errServerSilent) || errors.Is(cause, errQuarantined) {
		return
	}
	loss := quarantine.Evidence{
		Request: xxhash.Sum64String(e.request.ID), Server: server.Hash, Parts: e.sharedParts, At: time.Now(),
	}
	c, record := e.Core, e.record
	go func() {
		if !c.hasCrashed(server) {
			return
		}
		now := time.Now()
		server.Suspend(now)
		c.Observer.ServerCrashed(&record, server)
		c.Quarantine.Crash(now, loss)
	}()
}

// hasCrashed reports whether a backend server has crashed. Calls at the same time share one check.
func (c *Core) hasCrashed(server *backends.Server) bool {
	crashed, _, _ := c.crashChecks.Do(server.ID, func() (any, error) { return c.Upstream.Crashed(server), nil })
	return crashed.(bool)
}
