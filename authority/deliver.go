package authority

import (
	"context"
	"errors"
	"time"

	"github.com/figweir/figweir/store"
)

// deliver sends the order of an open intent until the response is definite. If
// the target accepted the order, it returns a nil error and whether earlier
// copies may still arrive; the caller closes the intent. Otherwise deliver
// closes the intent: immediately if no copy can arrive anymore, else after the
// connection timeout.
func (j *Journal) deliver(ctx context.Context, term uint64, intent Intent, send Send) (repeated bool, err error) {
	var lastErr error // the last ambiguous response
	for {
		if !j.duty.MayAct(term) || ctx.Err() != nil {
			return false, j.handleInterruption(ctx, intent, lastErr)
		}
		err := j.sendOnce(ctx, intent, send)
		if err == nil {
			return lastErr != nil, nil
		}
		var refused *RefusedError
		if errors.As(err, &refused) {
			return false, j.handleRefusal(ctx, intent, lastErr, refused)
		}
		lastErr = err
		j.stats.ambiguous.Add(1)
		// If ctx ended, the check at the top of the loop returns.
		_ = j.clock.Sleep(ctx, j.options.RetryInterval)
	}
}

// handleRefusal ends an order of which the target refused a copy. If the
// response to an earlier copy was ambiguous, the target may have accepted that
// copy.
func (j *Journal) handleRefusal(ctx context.Context, intent Intent, lastErr error, refusal *RefusedError) error {
	if lastErr == nil {
		j.closeNow(ctx, intent.OrderID)
		return refusal
	}
	// Don't wrap the refusal itself, so that errors.As finds no RefusedError.
	return j.unknownOutcome(intent, refusal.Err)
}

// unknownOutcome returns an UnknownError and schedules closing the intent for
// when no copy of the order can arrive anymore.
func (j *Journal) unknownOutcome(intent Intent, err error) error {
	j.scheduleClose(intent.OrderID, j.clock.Now().Add(j.options.ConnectionTimeout))
	j.stats.unknown.Add(1)
	return &UnknownError{Intent: intent, Err: err}
}

func (j *Journal) sendOnce(ctx context.Context, intent Intent, send Send) error {
	ctx, cancel := context.WithTimeout(ctx, j.options.ConnectionTimeout)
	defer cancel()
	j.stats.sends.Add(1)
	return send(ctx, intent.Number)
}

// handleInterruption ends an order whose process may no longer act or whose ctx
// has ended. lastErr is nil if no copy was sent.
func (j *Journal) handleInterruption(ctx context.Context, intent Intent, lastErr error) error {
	if lastErr == nil {
		j.closeNow(ctx, intent.OrderID)
		j.stats.notSent.Add(1)
		if err := ctx.Err(); err != nil {
			return err
		}
		return j.notHolderError()
	}
	return j.unknownOutcome(intent, lastErr)
}

// closeDelivered closes the intent of an accepted order. A target that ignores
// fencing tokens would also accept a delayed copy after a different order, so
// its intent stays open until no copy can arrive.
func (j *Journal) closeDelivered(ctx context.Context, intent Intent, repeated bool) {
	if repeated && !intent.Target.ChecksTokens {
		j.scheduleClose(intent.OrderID, j.clock.Now().Add(j.options.ConnectionTimeout))
		return
	}
	j.closeNow(ctx, intent.OrderID)
}

// closeNow closes an intent of this process. If the write fails, the next
// sweeps retry it.
func (j *Journal) closeNow(ctx context.Context, orderID string) {
	if j.closeOwn(ctx, []string{orderID}) != nil {
		j.scheduleClose(orderID, j.clock.Now())
	}
}

// scheduleClose leaves closing an intent of this process to the first sweep at
// or after notBefore.
func (j *Journal) scheduleClose(orderID string, notBefore time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pending = append(j.pending, pendingClose{orderID: orderID, notBefore: notBefore})
}

// closeAbandoned schedules closing an intent whose write had an ambiguous
// result. Its order was not sent.
func (j *Journal) closeAbandoned(intent Intent, err error) {
	if errors.Is(err, store.ErrAmbiguous) {
		j.scheduleClose(intent.OrderID, j.clock.Now())
	}
}

// closeOwn removes intents of this process, regardless of which process holds
// the journal.
func (j *Journal) closeOwn(ctx context.Context, orderIDs []string) error {
	selected := make(map[string]bool, len(orderIDs))
	for _, id := range orderIDs {
		selected[id] = true
	}
	var closed []Intent
	err := j.writer.commit(ctx, func(r *record) (bool, error) {
		closed = r.remove(func(i Intent) bool { return selected[i.OrderID] })
		return len(closed) > 0, nil
	})
	if err == nil {
		j.countClosed(closedByWriter, closed)
	}
	return err
}
