package once

import (
	"context"
	"sync/atomic"
)

// The phases of an operation. Only an operation that was canceled while it was
// queued is certain to have no effect.
const (
	opQueued int32 = iota
	opProcessing
	opCanceled
)

// operation is a queued claim or finish request.
type operation struct {
	ctx      context.Context
	claim    *ClaimRequest
	finish   *FinishRequest
	phase    atomic.Int32
	resultCh chan result
	// ambiguous is set if a write with an unknown outcome contained the
	// operation. It is used by the writer's goroutine only.
	ambiguous bool
}

// result is the result of an operation. The zero value means Refused.
type result struct {
	response ClaimResponse
	err      error
}

// beginProcessing marks the operation as part of a batch. It returns false if the
// caller has canceled it.
func (op *operation) beginProcessing() bool {
	return op.phase.Load() == opProcessing || op.phase.CompareAndSwap(opQueued, opProcessing)
}

// cancel returns false if the operation is already being processed.
func (op *operation) cancel() bool { return op.phase.CompareAndSwap(opQueued, opCanceled) }

// respond delivers the result of the operation. All calls after the first are
// ignored.
func (op *operation) respond(r result) {
	select {
	case op.resultCh <- r:
	default:
	}
}

// refuse responds that the operation has not taken effect and never will. It
// doesn't respond if an ambiguous write contained the operation, so that the
// claimer releases the claim.
func (op *operation) refuse() {
	if !op.ambiguous {
		op.respond(result{})
	}
}

// refuseUnlessCanceled refuses the operation unless its caller has canceled it.
func (op *operation) refuseUnlessCanceled() {
	if op.beginProcessing() {
		op.refuse()
	}
}

func (op *operation) key() Key {
	if op.claim != nil {
		return op.claim.Key
	}
	return op.finish.Key
}

// entryOverheadBytes is an upper bound on the encoded size of an entry without
// its owner, body and content type.
const entryOverheadBytes = 192

// maxEntryBytes returns an upper bound on the encoded size of the operation's
// entry.
func (op *operation) maxEntryBytes() int {
	if op.claim != nil {
		return entryOverheadBytes + len(op.claim.Owner)
	}
	if op.finish.Outcome != nil {
		return entryOverheadBytes + len(op.finish.Outcome.Body) + len(op.finish.Outcome.ContentType)
	}
	return entryOverheadBytes
}
