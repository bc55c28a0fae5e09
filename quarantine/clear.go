package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// announceJitter spreads the announcements of several nodes that saw answers begin, so
	// that the first one spares the others.
	announceJitter = 50 * time.Millisecond
	// minAnnouncedEvidence is the amount of evidence against a part from which the nodes
	// tell each other that answers begin.
	minAnnouncedEvidence = 2
)

// clearance states when an answer to a request with a part last began.
type clearance struct {
	at time.Time
	// announcedAt is the latest such time that was announced to all nodes.
	announcedAt time.Time
	// announceAfter is when this node announces it, unless another node does so first; zero
	// if it need not.
	announceAfter time.Time
	// lost counts the losses since the last announcement that the part was cleared of.
	lost int
}

// clear records that an answer to a request with the part began at a time: the part does not
// crash servers. t.mu must be held, and t.publish called afterwards.
func (t *Tracker) clear(part string, at, now time.Time, source Source) {
	c := t.cleared[part]
	if at.After(c.at) {
		c.at = at
	}
	t.cleared[part] = c
	c.lost += t.acquit(part)
	if source == Peer {
		c.announcedAt, c.announceAfter, c.lost = c.at, time.Time{}, 0
	} else if c.announceAfter.IsZero() && t.mustAnnounce(part, c) {
		c.announceAfter = now.Add(time.Duration(t.rng.Int64N(int64(announceJitter))))
	}
	t.cleared[part] = c
	t.judged = false
	t.narrow(part, c.at, source)
}

// mustAnnounce reports whether other nodes may suspect the part without the announcement.
func (t *Tracker) mustAnnounce(part string, c clearance) bool {
	return c.lost >= minAnnouncedEvidence || t.suspectedParts[part]
}

// narrow removes a cleared part from all suspicions. A suspicion without parts is lifted.
func (t *Tracker) narrow(part string, at time.Time, source Source) {
	for _, s := range slices.Clone(t.list) {
		i := slices.Index(s.Parts, part)
		if i < 0 || !at.After(s.Since) {
			continue
		}
		s.Parts = slices.Delete(slices.Clone(s.Parts), i, i+1)
		change := Narrowed
		if len(s.Parts) == 0 {
			change = Lifted
			t.list = slices.DeleteFunc(t.list, func(old *Suspicion) bool { return old == s })
		}
		t.listChanged()
		t.OnChange(change, source, *s)
	}
}

// pruneCleared drops clearances that can no longer matter. t.mu must be held.
func (t *Tracker) pruneCleared(now time.Time) {
	for part, c := range t.cleared {
		if now.Sub(c.at) > evidenceTTL && c.announceAfter.IsZero() {
			delete(t.cleared, part)
		}
	}
	if len(t.cleared) <= maxCleared {
		return
	}
	parts := slices.SortedFunc(maps.Keys(t.cleared), func(a, b string) int { return t.cleared[a].at.Compare(t.cleared[b].at) })
	for _, part := range parts[:len(parts)-maxCleared] {
		delete(t.cleared, part)
	}
}

// recall clears parts whose answers this node saw start before it learned of evidence against
// them. t.mu must be held.
func (t *Tracker) recall(parts []string) {
	for _, part := range parts {
		if at := t.begun.last(hashOf(part)); at.After(t.cleared[part].at) {
			c := t.cleared[part]
			c.at = at
			t.cleared[part] = c
			c.lost += t.acquit(part)
			t.cleared[part] = c
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Lift lifts all suspicions with the given part, on this node and on those that hear of it.
// It reports whether there were any.
func (t *Tracker) Lift(now time.Time, part string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var parts []string
	for _, s := range t.list {
		if slices.Contains(s.Parts, part) {
			parts = append(parts, s.Parts...)
		}
	}
	for _, p := range parts {
		t.clear(p, now, now, Operator)
	}
	t.publish()
	return len(parts) > 0
}
