package quarantine

import (
	"slices"
	"time"
)

const (
	// urgentTime is how long a node announces a suspicion to whose evidence it has
	// contributed. Later only the nodes that announce for all do.
	urgentTime = 5 * time.Second
	// announceInterval is the time between two announcements of the same suspicions, in
	// case a message was lost or a node has started.
	announceInterval = 500 * time.Millisecond
	// repeatDelay is the time after which evidence and clearances are sent a second time.
	repeatDelay = 300 * time.Millisecond
	// maxSends is how often they are sent.
	maxSends = 2
)

// announcer holds when the suspicions were last announced.
type announcer struct {
	// due is set if there is something to announce at once.
	due         bool
	announcedAt time.Time
}

// Clearance states that an answer has proved a part sound.
type Clearance struct {
	Part string
	At   time.Time
}

// Update is what nodes tell each other. Applying one again, or in another order, has no
// further effect.
type Update struct {
	Evidence   []Evidence
	Clearances []Clearance
	Suspicions []Suspicion
}

// Empty reports whether the update says nothing.
func (u *Update) Empty() bool {
	return len(u.Evidence)+len(u.Clearances)+len(u.Suspicions) == 0
}

// DueUpdate returns what has to be sent to all nodes now. announcesAll is set on the few
// nodes that repeat all suspicions for those that have missed them.
func (t *Tracker) DueUpdate(now time.Time, announcesAll bool) Update {
	var u Update
	if !t.Active() {
		return u
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.evidence {
		if e.mustSend() && (e.sends == 0 || now.Sub(e.sentAt) >= repeatDelay) {
			e.sends++
			e.sentAt = now
			sent := *e
			sent.Parts = t.inDoubt(e)
			u.Evidence = append(u.Evidence, sent)
		}
	}
	for part, c := range t.cleared {
		if !c.announceAfter.IsZero() && !now.Before(c.announceAfter) {
			u.Clearances = append(u.Clearances, Clearance{part, c.at})
			t.cleared[part] = c.announced(now)
		}
	}
	if t.announcer.due || now.Sub(t.announcer.announcedAt) >= announceInterval {
		t.announcer = announcer{announcedAt: now}
		for _, s := range t.list {
			if !s.unused && (announcesAll || now.Before(s.urgentUntil)) {
				u.Suspicions = append(u.Suspicions, *s)
			}
		}
	}
	return u
}

// mustSend reports whether the evidence still has to be sent to other nodes.
func (e *Evidence) mustSend() bool { return e.own && e.sends < maxSends }

// State returns all suspicions, for a node that has just started.
func (t *Tracker) State() Update { return Update{Suspicions: t.Suspicions()} }

// Apply merges an update of another node.
func (t *Tracker) Apply(now time.Time, u Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range u.Evidence {
		e.Parts = slices.Clone(e.Parts)
		t.addEvidence(now, &e)
	}
	for _, c := range u.Clearances {
		if t.isRelevant(c.Part) {
			t.clear(c.Part, c.At, now, Peer)
		}
	}
	for _, s := range u.Suspicions {
		t.merge(now, &s)
	}
	t.publish()
}

// isRelevant reports whether a clearance of the part may matter. It bounds what other nodes
// can store here.
func (t *Tracker) isRelevant(part string) bool {
	return len(t.doubts[part]) > 0 || t.suspectedParts[part]
}

// merge merges a suspicion of another node. Parts that are known to be cleared since are
// left out, and the other node is told of them. t.mu must be held.
func (t *Tracker) merge(now time.Time, s *Suspicion) {
	t.recall(boundParts(s.Parts))
	kept := make([]string, 0, len(s.Parts))
	for _, part := range boundParts(s.Parts) {
		if !t.isCleared(part, s.Since) {
			kept = append(kept, part)
			continue
		}
		c := t.cleared[part]
		if c.announceAfter.IsZero() {
			c.announceAfter = now.Add(announceJitter)
			t.cleared[part] = c
		}
	}
	if len(kept) == 0 {
		return
	}
	slices.Sort(kept)
	if known := t.suspicionOf(kept); known != nil {
		t.extend(known, s, now)
		return
	}
	added := &Suspicion{
		Parts: kept, Since: s.Since, LastCrash: s.LastCrash, HeldUntil: s.HeldUntil, Started: s.Started, Trials: s.Trials, TrialUntil: s.TrialUntil,
		Crashes: s.Crashes, Servers: s.Servers[:min(len(s.Servers), maxServers)], usedAt: now,
	}
	t.markUnstored(added, now, false)
	added.Stored = s.Stored && len(kept) == len(s.Parts) && !now.Before(t.distrustUntil)
	t.add(now, added, Peer)
}

// extend merges the same suspicion of another node, or one with more parts.
func (t *Tracker) extend(s, other *Suspicion, now time.Time) {
	if other.Since.Before(s.Since) {
		s.Since = other.Since
	}
	if other.Started > s.Started || other.Trials > s.Trials {
		t.markUnstored(s, now, false)
	}
	s.LastCrash = maxTime(s.LastCrash, other.LastCrash)
	s.HeldUntil = maxTime(s.HeldUntil, other.HeldUntil)
	s.TrialUntil = maxTime(s.TrialUntil, other.TrialUntil)
	s.Started, s.Trials, s.Crashes = max(s.Started, other.Started), max(s.Trials, other.Trials), max(s.Crashes, other.Crashes)
	if other.Stored && len(other.Parts) == len(s.Parts) && !now.Before(t.distrustUntil) {
		s.noteStored(other)
	}
}
