package once

import (
	"context"
	"sync/atomic"
)

// The phases of an operation. Only an operation that was withdrawn before a
// batch took it is certain to have no effect.
const (
	opQueued int32 = iota
	opTaken
	opWithdrawn
)

// operation is one request to a writer.
type operation struct {
	ctx    context.Context
	claim  *ClaimRequest
	finish *FinishRequest
	phase  atomic.Int32
	done   chan result
	// inDoubt says that a write of unknown outcome contained the operation. Used
	// by the writer's goroutine only.
	inDoubt bool
}

// result is the answer to an operation. The zero value is a refusal.
type result struct {
	answer Answer
	err    error
}

func (op *operation) take() bool {
	return op.phase.Load() == opTaken || op.phase.CompareAndSwap(opQueued, opTaken)
}

func (op *operation) withdraw() bool { return op.phase.CompareAndSwap(opQueued, opWithdrawn) }

// answer sends the result. Only the first one counts.
func (op *operation) answer(r result) {
	select {
	case op.done <- r:
	default:
	}
}

// refuse answers that the operation has had and will have no effect. One that was
// ever in doubt gets no answer instead, so that its claimer voids the claim.
func (op *operation) refuse() {
	if !op.inDoubt {
		op.answer(result{})
	}
}

// refuseWaiting refuses an operation unless its caller has withdrawn it.
func (op *operation) refuseWaiting() {
	if op.take() {
		op.refuse()
	}
}

func (op *operation) key() Key {
	if op.claim != nil {
		return op.claim.Key
	}
	return op.finish.Key
}

// entryOverheadBytes bounds the encoded size of an entry without its owner, body
// and content type.
const entryOverheadBytes = 192

// bytes bounds the encoded size of the operation's entry.
func (op *operation) bytes() int {
	if op.claim != nil {
		return entryOverheadBytes + len(op.claim.Owner)
	}
	if op.finish.Outcome != nil {
		return entryOverheadBytes + len(op.finish.Outcome.Body) + len(op.finish.Outcome.ContentType)
	}
	return entryOverheadBytes
}
