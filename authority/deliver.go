package authority

import (
	"context"
	"errors"
	"time"

	"github.com/figweir/figweir/store"
)

// deliver sends the order of an open intent until its answer is definite. It
// returns nil if the target took the order, and whether earlier copies may
// still be on their way. In all other cases it closes the intent: at once if
// no copy can arrive any more, or else after one connection time-out.
func (j *Journal) deliver(ctx context.Context, term uint64, intent Intent, send Send) (repeated bool, err error) {
	var last error // the last ambiguous answer
	for {
		if !j.duty.MayAct(term) || ctx.Err() != nil {
			return false, j.interrupted(ctx, intent, last)
		}
		err := j.attempt(ctx, intent, send)
		if err == nil {
			return last != nil, nil
		}
		var refused *RefusedError
		if errors.As(err, &refused) {
			return false, j.refused(ctx, intent, last, refused)
		}
		last = err
		j.stats.ambiguous.Add(1)
		// An end of ctx shows at the top of the loop.
		_ = j.clock.Sleep(ctx, j.options.RepeatEvery)
	}
}

// refused ends an order of which the target refused a copy. If an earlier copy
// had an ambiguous answer, that one may have been taken.
func (j *Journal) refused(ctx context.Context, intent Intent, last error, refusal *RefusedError) error {
	if last == nil {
		j.closeNow(ctx, intent.OrderID)
		return refusal
	}
	// Not the refusal itself, so that errors.As does not find one.
	return j.unknownOutcome(intent, refusal.Err)
}

func (j *Journal) unknownOutcome(intent Intent, err error) error {
	j.closeLater(intent.OrderID, j.clock.Now().Add(j.options.ConnectionTimeout))
	j.stats.unknown.Add(1)
	return &UnknownError{Intent: intent, Err: err}
}

func (j *Journal) attempt(ctx context.Context, intent Intent, send Send) error {
	ctx, cancel := context.WithTimeout(ctx, j.options.ConnectionTimeout)
	defer cancel()
	j.stats.sends.Add(1)
	return send(ctx, intent.Number)
}

// interrupted ends an order whose process may no longer act or whose caller
// has given up. last is nil if no copy was sent.
func (j *Journal) interrupted(ctx context.Context, intent Intent, last error) error {
	if last == nil {
		j.closeNow(ctx, intent.OrderID)
		j.stats.notSent.Add(1)
		if err := ctx.Err(); err != nil {
			return err
		}
		return j.notHolder()
	}
	return j.unknownOutcome(intent, last)
}

// closeDelivered closes the intent of an order that the target took. A target
// that ignores fencing tokens would also take a delayed copy after a different
// order, so its intent stays open until no copy can arrive.
func (j *Journal) closeDelivered(ctx context.Context, intent Intent, repeated bool) {
	if repeated && !intent.Target.ChecksTokens {
		j.closeLater(intent.OrderID, j.clock.Now().Add(j.options.ConnectionTimeout))
		return
	}
	j.closeNow(ctx, intent.OrderID)
}

// closeNow closes an own intent. If the store doesn't take that, the next
// rounds try again.
func (j *Journal) closeNow(ctx context.Context, orderID string) {
	if j.closeOwn(ctx, []string{orderID}) != nil {
		j.closeLater(orderID, j.clock.Now())
	}
}

func (j *Journal) closeLater(orderID string, notBefore time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pending = append(j.pending, pendingClose{orderID: orderID, notBefore: notBefore})
}

// giveUpOpen makes sure that an intent is closed that was perhaps opened. Its
// order was not sent.
func (j *Journal) giveUpOpen(intent Intent, err error) {
	if errors.Is(err, store.ErrAmbiguous) {
		j.closeLater(intent.OrderID, j.clock.Now())
	}
}

// closeOwn removes own intents, whoever holds the journal now.
func (j *Journal) closeOwn(ctx context.Context, orderIDs []string) error {
	wanted := make(map[string]bool, len(orderIDs))
	for _, id := range orderIDs {
		wanted[id] = true
	}
	var closed []Intent
	err := j.writer.commit(ctx, func(r *record) (bool, error) {
		closed = r.remove(func(i Intent) bool { return wanted[i.OrderID] })
		return len(closed) > 0, nil
	})
	if err == nil {
		j.countClosed(closedByWriter, closed)
	}
	return err
}
