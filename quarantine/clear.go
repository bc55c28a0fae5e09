package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// announceJitter spreads the announcements of several nodes that have proofs, so that the
	// first one spares the others.
	announceJitter = 50 * time.Millisecond
	// minAnnouncedEvidence is the amount of evidence against a part from which the nodes
	// tell each other that it has proved sound.
	minAnnouncedEvidence = 2
)

// clearance states when an answer last proved a part sound.
type clearance struct {
	at time.Time
	// announceAfter is when this node announces it, unless another node does so first; zero
	// if it need not.
	announceAfter time.Time
	// sends counts the announcements since announceAfter was set.
	sends int
	// lost counts the losses since the last announcement that the part was cleared of.
	lost int
}

// clear records that an answer proved the part sound at a time. t.mu must be held, and t.publish called afterwards.
func (t *Tracker) clear(part string, at, now time.Time, source Source) {
	c := t.cleared[part]
	if at.After(c.at) {
		c.at = at
	}
	t.cleared[part] = c
	c.lost += t.acquit(part)
	if source == Peer {
		c.announceAfter, c.sends, c.lost = time.Time{}, 0, 0
	}
	t.cleared[part] = c
	if source != Peer {
		t.announceClearance(part, now)
	}
	t.judged = false
	t.narrow(part, now, source)
}

// announceClearance makes this node tell the others of a clearance soon if it must.
func (t *Tracker) announceClearance(part string, now time.Time) {
	c := t.cleared[part]
	if (c.announceAfter.IsZero() || c.sends > 0) && t.mustAnnounce(part, c) {
		c.announceAfter, c.sends = now.Add(time.Duration(t.rng.Int64N(int64(announceJitter)))), 0
		t.cleared[part] = c
	}
}

// announced returns the clearance after it was sent to all nodes.
func (c clearance) announced(now time.Time) clearance {
	c.lost = 0
	if c.sends++; c.sends < maxSends {
		c.announceAfter = now.Add(repeatDelay)
	} else {
		c.announceAfter, c.sends = time.Time{}, 0
	}
	return c
}

// mustAnnounce reports whether other nodes may suspect the part without the announcement. A proof
// before the losses doesn't clear the part, but more crashes are required then.
func (t *Tracker) mustAnnounce(part string, c clearance) bool {
	return c.lost >= minAnnouncedEvidence || t.suspectedParts[part] ||
		!c.at.IsZero() && len(t.doubts[part]) == minAnnouncedEvidence
}

// narrow removes a cleared part from all suspicions. A suspicion without parts is lifted.
func (t *Tracker) narrow(part string, now time.Time, source Source) {
	for _, s := range slices.Clone(t.list) {
		i := slices.Index(s.Parts, part)
		if i < 0 || !t.isCleared(part, s.Since) {
			continue
		}
		t.markRemoved(s.Parts, now, source)
		t.markUnstored(s, now, source != Peer)
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
		if now.Sub(c.at) > EvidenceTTL && c.announceAfter.IsZero() {
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

// recall clears parts that this node saw proved sound before it learned of evidence against them. t.mu must be held.
func (t *Tracker) recall(parts []string) {
	for _, part := range parts {
		if at := t.proven.last(hashOf(part)); at.After(t.cleared[part].at) {
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
