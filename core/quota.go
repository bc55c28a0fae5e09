package core

import (
	"context"
	"time"
)

// acquireQuota acquires a permit of the workspace's quota for the next attempt, unless the request
// has one that no attempt has used. An attempt that has not run leaves its permit to the next one;
// each further run needs one more.
func (e *exchange) acquireQuota(ctx context.Context) (acquired bool, retryAfter time.Duration) {
	if e.Quotas == nil || e.workspace == nil || e.workspace.Quota == nil || e.quotaPermits > e.counts.mayHaveRun {
		return true, 0
	}
	acquired, retryAfter = e.Quotas.Acquire(ctx, e.workspace.Name, e.workspace.Quota.Amount(e.request.Prompt))
	if acquired {
		e.quotaPermits++
	}
	return acquired, retryAfter
}

// refuseIfOverQuota refuses a request of which nothing was sent and for which there is no permit.
func (e *exchange) refuseIfOverQuota(ctx context.Context) bool {
	if e.counts.mayHaveRun > 0 {
		return false
	}
	acquired, retryAfter := e.acquireQuota(ctx)
	switch {
	case acquired:
		return false
	case e.callerGone():
		e.fail(ReasonCallerGone)
	case retryAfter == 0:
		e.fail(ReasonDeadline)
	default:
		e.refuse(Refusal{OverQuota, ReasonOverQuota, retryAfter})
	}
	return true
}

// returnQuota gives the permit of a request back if nothing was sent to a backend server.
func (e *exchange) returnQuota() {
	if e.quotaPermits > 0 && e.chargedAttempts == 0 {
		e.returnPermit()
	}
}

// returnPermit gives one permit back.
func (e *exchange) returnPermit() {
	e.quotaPermits--
	e.Quotas.Return(e.workspace.Name, e.workspace.Quota.Amount(e.request.Prompt))
}
