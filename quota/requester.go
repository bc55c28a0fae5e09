package quota

import (
	"slices"
	"time"
)

// Request asks for a permit to send an amount for a workspace. done is called once, perhaps before
// Request returns, and must not block or call the limiter. The returned id is for Cancel.
func (l *Limiter) Request(now time.Time, name string, amount int64, done func(granted bool, retryAfter time.Duration)) (id uint64) {
	w := l.find(name)
	if w == nil {
		done(true, 0)
		return 0
	}
	l.checkPause(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		done(true, 0)
		return 0
	}
	r := &waiting{amount: uint64(min(max(amount, 1), maxAmount)), done: done}
	if r.amount >= w.refusedAmount && now.Before(w.refusedUntil) {
		l.finish(w, r, false, w.availableAt.Sub(now))
		return 0
	}
	return l.ask(now, w, r)
}

// Cancel ends a request whose caller does not wait any more. done may have been called.
func (l *Limiter) Cancel(now time.Time, name string, id uint64) {
	w := l.find(name)
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.waiting[id]; r != nil {
		r.finished = true
		w.abandon(now, r)
	}
}

// abandon stops waiting for the answer to the last message of a request. w.mu must be held.
func (w *workspace) abandon(now time.Time, r *waiting) {
	delete(w.waiting, r.id)
	w.abandoned[r.id] = abandoned{r, now.Add(abandonedTime)}
}

// Return gives back a permit with which nothing was sent.
func (l *Limiter) Return(now time.Time, name string, amount int64) {
	w := l.find(name)
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	l.giveBack(now, w, uint64(min(max(amount, 1), maxAmount)))
}

// giveBack returns a permit to the first granter. w.mu must be held.
func (l *Limiter) giveBack(now time.Time, w *workspace, amount uint64) {
	choice := l.granters(now, w)
	if len(choice) == 0 {
		return
	}
	r := &Return{ID: l.ids.Add(1), Workspace: w.key, Amount: amount}
	if choice[0] == l.self {
		l.receiveReturn(now, w, l.self, r)
		return
	}
	l.send(Message{To: choice[0], Return: r})
}

// ask asks the next granter for the permit of a request, and takes it from the node's own share if
// none is left. w.mu must be held.
func (l *Limiter) ask(now time.Time, w *workspace, r *waiting) (id uint64) {
	if l.settling(now) {
		id = l.ids.Add(1)
		r.deadline = now.Add(reachInterval)
		w.waiting[id], r.id = r, id
		return id
	}
	choice := l.granters(now, w)
	if now.After(w.rankUntil) {
		w.rank = 0
	}
	if r.tries == 0 || r.choiceOf != w.choiceOf && r.restarts < maxRestarts {
		if r.tries > 0 {
			r.restarts++
		}
		r.first, r.tries, r.choiceOf = w.rank, 0, w.choiceOf
	}
	if r.tries >= len(choice) && r.wait > 0 {
		// The part of the rate that granters know of is used up. The share of this node is in it.
		l.finish(w, r, false, r.wait)
		return 0
	}
	if r.tries >= len(choice) || now.Before(w.shareUntil) {
		granted, wait := l.takeShare(now, w, r.amount)
		l.finish(w, r, granted, wait)
		return 0
	}
	r.to = choice[(r.first+r.tries)%len(choice)]
	if r.to == l.self {
		granted, wait := l.grant(now, w, r.amount)
		if !granted && l.uncertain(now, w) {
			return l.askNext(now, w, r, wait)
		}
		l.finish(w, r, granted, wait)
		return 0
	}
	id = l.ids.Add(1)
	r.deadline = now.Add(requestTimeout)
	w.waiting[id], r.id = r, id
	l.expectAnswer(now, r.to)
	l.send(Message{To: r.to, Request: &Request{ID: id, Workspace: w.key, Amount: r.amount}})
	return id
}

// askNext asks the next granter after one did not grant. wait is what it stated, or 0. w.mu must be
// held.
func (l *Limiter) askNext(now time.Time, w *workspace, r *waiting, wait time.Duration) (id uint64) {
	choice := l.granters(now, w)
	if wait > 0 {
		if r.wait == 0 || wait < r.wait {
			r.wait = wait
		}
	} else if len(choice) > 0 && choice[w.rank%len(choice)] == r.to {
		// Later requests ask the next granter first.
		w.rank = (w.rank + 1) % len(choice)
		w.rankUntil = now.Add(failoverTime)
	}
	if r.tries++; r.tries >= len(choice) && r.wait == 0 && !r.answered {
		w.shareUntil = now.Add(failoverTime)
	}
	return l.ask(now, w, r)
}

// finish ends a request. w.mu must be held.
func (l *Limiter) finish(w *workspace, r *waiting, granted bool, wait time.Duration) {
	r.finished = true
	if granted {
		w.counts.Granted++
		r.done(true, 0)
		return
	}
	w.counts.Refused++
	r.done(false, l.retryAfter(wait))
}

// expire handles the messages that were not answered in time: their requests ask the next granter.
// w.mu must be held.
func (l *Limiter) expire(now time.Time, w *workspace) {
	var due []uint64
	for id, r := range w.waiting {
		if !now.Before(r.deadline) {
			due = append(due, id)
		}
	}
	slices.Sort(due) // the earliest request first
	for _, id := range due {
		r := w.waiting[id]
		if r.to == "" {
			delete(w.waiting, id)
			l.ask(now, w, r) // the request has waited for the first heartbeats
			continue
		}
		w.abandon(now, r)
		w.counts.TimedOut++
		l.askNext(now, w, r, 0)
	}
	for id, a := range w.abandoned {
		if now.After(a.until) {
			delete(w.abandoned, id)
		}
	}
	w.seen.expire(now, abandonedTime)
}

// receiveGrant handles the answer of a granter. w.mu must be held.
func (l *Limiter) receiveGrant(now time.Time, w *workspace, g *Grant) {
	if !g.NotGranter {
		w.shareUntil = time.Time{}
	}
	r := w.waiting[g.ID]
	if r == nil {
		l.receiveLateGrant(now, w, g)
		return
	}
	delete(w.waiting, g.ID)
	if g.NotGranter {
		r.answered = true
		l.askNext(now, w, r, g.Wait)
		return
	}
	if !g.Granted {
		hold := now.Add(min(g.Wait, maxRefusalHold))
		if now.After(w.refusedUntil) || r.amount < w.refusedAmount {
			w.refusedAmount = r.amount
		}
		w.refusedUntil, w.availableAt = hold, now.Add(g.Wait)
	}
	l.finish(w, r, g.Granted, g.Wait)
}

// receiveLateGrant handles the answer to a message that was abandoned. Its permit is used if the
// request still waits for another granter, and given back otherwise. w.mu must be held.
func (l *Limiter) receiveLateGrant(now time.Time, w *workspace, g *Grant) {
	a, ok := w.abandoned[g.ID]
	if !ok || !g.Granted {
		return
	}
	delete(w.abandoned, g.ID)
	if a.request.finished {
		l.giveBack(now, w, a.request.amount)
		return
	}
	w.abandon(now, a.request)
	l.finish(w, a.request, true, 0)
}

// takeShare takes a permit from this node's share of the rate. w.mu must be held.
func (l *Limiter) takeShare(now time.Time, w *workspace, amount uint64) (granted bool, wait time.Duration) {
	counted := l.reach.Load().counted
	if counted == 0 {
		// The share is not known before the list of nodes is.
		return false, noNodesWait
	}
	part := min(1/float64(counted), l.reach.Load().part)
	rate, capacity := w.limit.PerSecond*part, l.options.capacity(w.limit)*part
	if w.share.UpdatedAt.IsZero() {
		w.share.Tokens = min(capacity, l.options.startTokens(w.limit)*part)
	}
	w.share.Fill(now, rate, capacity)
	if wait, ok := l.fits(now, w, &w.share, &w.shareSent, float64(amount), rate, capacity, part); !ok {
		return false, wait
	}
	w.share.Debit(float64(amount), l.maxDebt(w))
	w.shareSent.add(now, l.options.Window, float64(amount))
	w.counts.Share++
	// Granters that are reachable after all subtract it.
	w.total += amount
	l.notifyGranters(now, w)
	return true, 0
}
