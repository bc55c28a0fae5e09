package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/figweir/figweir/permit"
)

const (
	// notifyInterval is the shortest time between two messages of a granter to the others about
	// its grants for one workspace.
	notifyInterval = 5 * time.Millisecond
	// stateTimeout is how long a granter waits for the state of the others.
	stateTimeout = 250 * time.Millisecond
	// answerInterval is the shortest time between two heartbeats to nodes that notify this one of
	// grants.
	answerInterval = 100 * time.Millisecond
	// lossTime is the time within which the sum in a granter's message makes up for lost ones.
	// What it granted while it was unreachable for longer came out of its part of the rate, and is
	// not subtracted here.
	lossTime = time.Second
	// maxSeen bounds the memory for ids of messages.
	maxSeen = 4096
)

// Receive handles a message of the node with the given address.
func (l *Limiter) Receive(now time.Time, from string, m Message) {
	l.checkPause(now)
	l.Heard(now, from)
	switch {
	case m.Heartbeat != nil && !m.Heartbeat.Answer:
		l.receiveHeartbeat(now, from, m.Heartbeat)
	case m.Request != nil:
		l.receiveRequest(now, from, m.Request)
	case m.Grant != nil:
		l.withWorkspace(m.Grant.Workspace, func(w *workspace) { l.receiveGrant(now, w, m.Grant) })
	case m.Granted != nil:
		l.withWorkspace(m.Granted.Workspace, func(w *workspace) { l.receiveGranted(now, w, from, m.Granted) })
	case m.Return != nil:
		l.withWorkspace(m.Return.Workspace, func(w *workspace) { l.receiveReturn(now, w, from, m.Return) })
	case m.StateRequest != nil:
		l.withWorkspace(m.StateRequest.Workspace, func(w *workspace) { l.receiveStateRequest(now, w, from) })
	case m.State != nil:
		l.withWorkspace(m.State.Workspace, func(w *workspace) { l.receiveState(now, w, m.State) })
	}
}

// withWorkspace calls f with the workspace of a key while its lock is held. It does nothing if the
// workspace has no quota.
func (l *Limiter) withWorkspace(key uint64, f func(*workspace)) {
	if w := (*l.byKey.Load())[key]; w != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		f(w)
	}
}

// granters returns the granters of a workspace, the first choice first. A node that becomes a
// granter starts as one. w.mu must be held.
func (l *Limiter) granters(now time.Time, w *workspace) []string {
	reach := l.reach.Load()
	if reach == w.choiceOf {
		return w.choice
	}
	l.fill(now, w)
	w.choice, w.choiceOf = permit.Granters(w.key, reach.nodes), reach
	wasGranting, wasFirst := w.granting, w.first
	w.granting = slices.Contains(w.choice, l.self)
	if w.granting && !wasGranting {
		tokens := l.options.restartTokens(w.limit)
		if reach.fraction < 1 {
			// Nodes become unreachable one after the other, and several become granters.
			tokens = 0
		}
		l.startGranting(now, w, tokens)
	}
	w.first = w.granting && w.choice[0] == l.self
	if w.first && !wasFirst && reach.fraction < 1 {
		// The former first granter may be running and grant its whole burst at this moment.
		w.bucket.Tokens = min(w.bucket.Tokens, l.options.startTokens(w.limit))
	}
	w.rank, w.shareUntil = 0, time.Time{}
	return w.choice
}

// startGranting makes this node grant with at most the given tokens until the other granters have
// sent their states. w.mu must be held.
func (l *Limiter) startGranting(now time.Time, w *workspace, tokens float64) {
	if w.bucket.UpdatedAt.IsZero() {
		w.bucket.Tokens = tokens
	}
	l.fill(now, w)
	w.bucket.Tokens = min(w.bucket.Tokens, tokens)
	w.bucket.UpdatedAt = now
	w.asking, w.askingUntil = true, now.Add(stateTimeout)
	for _, other := range w.choice {
		if other != l.self {
			l.send(Message{To: other, StateRequest: &StateRequest{Workspace: w.key}})
		}
	}
}

// maxDebt returns the largest debt of a bucket: the rate for one window. It bounds how long a wrong
// count of another granter, or one large request, can block a workspace. w.mu must be held.
func (l *Limiter) maxDebt(w *workspace) float64 {
	return w.limit.PerSecond * l.options.Window.Seconds()
}

// rates returns the rate and the capacity of the bucket of this node as a granter, and the part of
// the quota that they are. w.mu must be held.
func (l *Limiter) rates(w *workspace) (rate, capacity, part float64) {
	part = l.reach.Load().part
	if w.choiceOf != nil {
		part = w.choiceOf.part
	}
	return w.limit.PerSecond * part, l.options.capacity(w.limit) * part, part
}

// fill adds the tokens for the time since the last call. w.mu must be held.
func (l *Limiter) fill(now time.Time, w *workspace) {
	if !w.granting {
		return
	}
	rate, capacity, _ := l.rates(w)
	w.bucket.Fill(now, rate, capacity)
	if w.limited.UpdatedAt.IsZero() {
		w.limited.Tokens = l.options.startTokens(w.limit)
	}
	w.limited.Fill(now, rate, min(capacity, l.options.startTokens(w.limit)))
}

// fits reports whether an amount may be taken from a bucket, or when it may be. An amount above the
// capacity may be taken from a full bucket if what was sent in the last window leaves room for it;
// the bucket is then in debt. In every window the sum stays within the rate and the burst, since
// a full bucket shows that no more than the rate was sent before, and nothing follows until the
// debt is paid. w.mu must be held.
func (l *Limiter) fits(now time.Time, w *workspace, b *permit.Bucket, sent *windowSum, amount, rate, capacity, part float64) (wait time.Duration, ok bool) {
	if amount <= capacity {
		return b.Wait(amount, rate), b.Tokens >= amount
	}
	if b.Tokens < capacity {
		return b.Wait(capacity, rate), false
	}
	if sent.sum(now, l.options.Window)+amount > l.options.largest(w.limit)*part {
		return l.options.Window / windowSlots, false
	}
	return 0, true
}

// grant takes a permit from the bucket and notifies the other granters. w.mu must be held.
func (l *Limiter) grant(now time.Time, w *workspace, amount uint64) (granted bool, wait time.Duration) {
	l.fill(now, w)
	rate, capacity, part := l.rates(w)
	a := float64(amount)
	large := a > capacity/2
	if !large && l.smallBlocked(now, w) {
		return false, w.bucket.Wait(capacity, rate)
	}
	wait, ok := l.fits(now, w, &w.bucket, &w.sent, a, rate, capacity, part)
	if ok && !w.first {
		needed := min(a, l.options.startTokens(w.limit), capacity)
		wait, ok = w.limited.Wait(needed, rate), w.limited.Tokens >= needed
	}
	if !ok {
		if large {
			w.largeRefusedAt = now
			if w.largeRefusedSince.IsZero() {
				w.largeRefusedSince = now
			}
		}
		return false, wait
	}
	if large {
		w.largeRefusedSince = time.Time{}
	}
	w.bucket.Debit(a, max(l.maxDebt(w), a))
	if !w.first {
		w.limited.Debit(a, max(l.maxDebt(w), a))
	}
	w.sent.add(now, l.options.Window, a)
	w.total += amount
	w.counts.GrantedAmount += amount
	l.notifyGranters(now, w)
	return true, 0
}

// smallBlocked reports whether small requests have to wait for a large one: large ones have been refused
// for a window, and still arrive. Otherwise a steady flow of small requests would keep the bucket below
// the amount of a large one for good. w.mu must be held.
func (l *Limiter) smallBlocked(now time.Time, w *workspace) bool {
	if w.largeRefusedSince.IsZero() {
		return false
	}
	if now.Sub(w.largeRefusedAt) > l.options.Window/2 {
		w.largeRefusedSince = time.Time{}
		return false
	}
	return now.Sub(w.largeRefusedSince) > l.options.Window
}

// notifyGranters sends the other granters, and other nodes that grant, what this node has granted since
// the last message. w.mu must be held.
func (l *Limiter) notifyGranters(now time.Time, w *workspace) {
	if w.total == w.toldTotal || now.Sub(w.toldAt) < notifyInterval {
		return
	}
	g := &Granted{Workspace: w.key, Incarnation: l.incarnation, Amount: w.total - w.toldTotal, Total: w.total, Tokens: w.bucket.Tokens}
	w.toldTotal, w.toldAt = w.total, now
	for _, other := range w.choice {
		if other != l.self {
			l.send(Message{To: other, Granted: g})
			l.expectAnswer(now, other)
		}
	}
	for _, other := range slices.Sorted(maps.Keys(w.toldBy)) {
		if at := w.toldBy[other]; now.Sub(at) > l.options.Window {
			delete(w.toldBy, other)
		} else if !slices.Contains(w.choice, other) {
			l.send(Message{To: other, Granted: g})
		}
	}
}

// receiveRequest answers a request of another node.
func (l *Limiter) receiveRequest(now time.Time, from string, r *Request) {
	g := &Grant{ID: r.ID, Workspace: r.Workspace, NotGranter: true}
	repeated := false
	l.withWorkspace(r.Workspace, func(w *workspace) {
		l.granters(now, w)
		if !w.granting {
			return
		}
		if repeated = !w.seen.add(messageID{from, r.ID}); repeated {
			return
		}
		g.Granted, g.Wait = l.grant(now, w, min(max(r.Amount, 1), maxAmount))
		g.NotGranter = !g.Granted && l.uncertain(now, w)
	})
	if !repeated {
		l.send(Message{To: from, Grant: g})
	}
}

// uncertain reports whether another granter may be able to grant what this one can't: this one does
// not hear from all nodes, or does not know yet what was granted. w.mu must be held.
func (l *Limiter) uncertain(now time.Time, w *workspace) bool {
	_, _, part := l.rates(w)
	return part < 1 || w.asking && now.Before(w.askingUntil)
}

// receiveGranted subtracts what another granter has granted. What the first granter has is the
// better count: it includes permits that were given back. w.mu must be held.
func (l *Limiter) receiveGranted(now time.Time, w *workspace, from string, g *Granted) {
	if g.Incarnation == l.incarnation {
		return
	}
	choice := l.granters(now, w)
	if now.Sub(w.toldBy[from]) > lossTime {
		delete(w.others, g.Incarnation)
	}
	w.toldBy[from] = now
	if len(w.toldBy) > maxToldBy {
		clear(w.toldBy)
	}
	if now.Sub(w.answeredAt) >= answerInterval {
		w.answeredAt = now
		for _, other := range slices.Sorted(maps.Keys(w.toldBy)) {
			if now.Sub(w.toldBy[other]) < answerInterval {
				l.send(Message{To: other, Heartbeat: &Heartbeat{Answer: true}})
			}
		}
	}
	l.fill(now, w)
	n := float64(min(w.others.Add(g.Incarnation, g.Amount, g.Total), maxAmount))
	if n == 0 {
		return
	}
	w.sent.add(now, l.options.Window, n)
	if len(choice) > 0 && choice[0] == from && !w.asking {
		_, capacity, _ := l.rates(w)
		w.bucket.Tokens = min(max(g.Tokens, -l.maxDebt(w)), capacity)
		return
	}
	w.bucket.Debit(n, l.maxDebt(w))
}

// maxToldBy bounds the memory for granters that are gone.
const maxToldBy = 32

// receiveReturn adds a permit that was given back. w.mu must be held.
func (l *Limiter) receiveReturn(now time.Time, w *workspace, from string, r *Return) {
	if !w.granting || !w.seen.add(messageID{from, r.ID}) {
		return
	}
	l.fill(now, w)
	_, capacity, _ := l.rates(w)
	w.bucket.Tokens = min(w.bucket.Tokens+float64(min(r.Amount, maxAmount)), capacity)
}

// receiveStateRequest sends a new granter what the bucket of this one holds. w.mu must be held.
func (l *Limiter) receiveStateRequest(now time.Time, w *workspace, from string) {
	l.granters(now, w)
	w.toldBy[from] = now
	if !w.granting || w.asking && now.Before(w.askingUntil) {
		return
	}
	l.fill(now, w)
	l.send(Message{To: from, State: &State{Workspace: w.key, Tokens: w.bucket.Tokens, Sent: w.sent.sum(now, l.options.Window)}})
}

// receiveState sets the bucket to what another granter knows. w.mu must be held.
func (l *Limiter) receiveState(now time.Time, w *workspace, s *State) {
	if !w.asking || now.After(w.askingUntil) {
		return
	}
	w.asking = false
	l.fill(now, w)
	_, capacity, _ := l.rates(w)
	w.bucket.Tokens = min(max(s.Tokens, -l.maxDebt(w)), capacity)
	if known := w.sent.sum(now, l.options.Window); s.Sent > known {
		w.sent.add(now, l.options.Window, s.Sent-known)
	}
}
