package ratelimit

import "time"

// peerMargin is how much later a report of another node must be than what it contradicts.
// Reports are delayed on their way, so their times are estimates.
const peerMargin = time.Second

// knowledge is what a node knows about the limit of one backend server. An answer is made at
// some time between the sending of its request and its receipt, and answers arrive out of order:
// the limit counts as lifted only if the request of an answer without a limit was sent after the
// last answer with a limit was received.
type knowledge struct {
	perSecond float64
	// statedAt is when the last answer with a limit was received; zero if none was.
	statedAt time.Time
	// since is when the limit came into force.
	since time.Time
	// liftedAt is when the last request was sent whose answer stated no limit; zero if none.
	liftedAt time.Time
	// fromPeer is true if only other nodes have reported the limit so far.
	fromPeer bool
}

// inForce reports whether a limit is known and not lifted.
func (k *knowledge) inForce() bool {
	return !k.statedAt.IsZero() && k.liftedAt.Before(k.statedAt)
}

// state records an answer of this node that stated a limit. It reports whether the limit has
// come into force or changed.
func (k *knowledge) state(perSecond float64, sentAt, receivedAt time.Time) (changed bool) {
	if !receivedAt.After(k.liftedAt) {
		return false
	}
	k.fromPeer = k.fromPeer && !k.inForce()
	if k.inForce() && sentAt.Before(k.statedAt) {
		// The order of the two answers is unknown.
		perSecond = min(perSecond, k.perSecond)
	}
	return k.set(perSecond, receivedAt)
}

// lift records an answer of this node that stated no limit. It reports whether it ended a limit.
func (k *knowledge) lift(sentAt time.Time) (ended bool) {
	was := k.inForce()
	k.liftedAt = later(k.liftedAt, sentAt)
	return was && !k.inForce()
}

// set puts a limit in force or confirms it. It reports whether that changed anything.
func (k *knowledge) set(perSecond float64, statedAt time.Time) (changed bool) {
	changed = !k.inForce() || perSecond != k.perSecond
	if !k.inForce() {
		k.since = statedAt
	}
	k.perSecond, k.statedAt = perSecond, later(k.statedAt, statedAt)
	return changed
}

// merge records the report of another node. It reports whether the limit has come into force,
// changed or ended.
func (k *knowledge) merge(s Statement) (changed bool) {
	if s.Lifted {
		if k.inForce() && s.LiftedAt.Before(k.statedAt.Add(peerMargin)) {
			return false
		}
		return k.lift(s.LiftedAt)
	}
	if !k.liftedAt.IsZero() && s.StatedAt.Before(k.liftedAt.Add(peerMargin)) {
		return false
	}
	if !k.inForce() {
		k.fromPeer = true
	} else if s.StatedAt.Before(k.statedAt.Add(peerMargin)) {
		s.PerSecond = min(s.PerSecond, k.perSecond)
	}
	return k.set(s.PerSecond, s.StatedAt)
}

// statement returns what this node can tell others about the limit of the server.
func (k *knowledge) statement(server uint64) Statement {
	if !k.inForce() {
		return Statement{Server: server, Lifted: true, LiftedAt: k.liftedAt}
	}
	return Statement{Server: server, PerSecond: k.perSecond, StatedAt: k.statedAt}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
