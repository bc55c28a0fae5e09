package quarantine

import (
	"slices"
	"time"
)

// evidenceID identifies one lost attempt.
type evidenceID struct{ request, server uint64 }

func (e *Evidence) id() evidenceID { return evidenceID{e.Request, e.Server} }

// Crash records that a server crashed before its answer had proved the parts of a request sound.
func (t *Tracker) Crash(now time.Time, e Evidence) {
	e.own = true
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addEvidence(now, &e)
	t.publish()
}

// addEvidence stores evidence that is not known yet, once all of its pieces have arrived. t.mu must
// be held, and t.publish called afterwards.
func (t *Tracker) addEvidence(now time.Time, e *Evidence) {
	e.Parts = boundParts(e.Parts)
	if len(e.Parts) == 0 || now.Sub(e.At) > EvidenceTTL || t.knows(e) {
		return
	}
	if e = t.complete(e); e == nil {
		return
	}
	e.Parts, e.receivedAt = unique(e.Parts), now
	t.crashes.add(e.At)
	t.recall(e.Parts)
	t.doubt(e)
	if s := t.suspicionOf(e.Parts); s != nil {
		t.recordCrash(s, now, e)
		t.announcer.due = true
		t.OnChange(Crashed, sourceOf(e), *s)
	}
	if e.doubted == 0 {
		return
	}
	t.evidence = append(t.evidence, e)
	t.evidenceParts += len(e.Parts)
	for len(t.evidence) > maxEvidence || t.evidenceParts > maxEvidenceParts {
		t.dropRedundant()
	}
	t.judged = false
	t.announcer.due = t.announcer.due || e.own
}

// knows reports whether the evidence is a copy of some that was received before.
func (t *Tracker) knows(e *Evidence) bool {
	return slices.ContainsFunc(t.evidence, func(known *Evidence) bool { return known.id() == e.id() })
}

// complete returns the evidence with all its parts, or nil if pieces are missing.
func (t *Tracker) complete(e *Evidence) *Evidence {
	if e.PartCount <= len(e.Parts) {
		return e
	}
	known := t.incomplete[e.id()]
	if known == nil || known.PartCount != e.PartCount {
		if len(t.incomplete) >= maxIncomplete {
			clear(t.incomplete)
		}
		first := *e
		first.Parts = slices.Clone(e.Parts)
		t.incomplete[e.id()] = &first
		return nil
	}
	for _, part := range e.Parts {
		if !slices.Contains(known.Parts, part) {
			known.Parts = append(known.Parts, part)
		}
	}
	if known.Parts = boundParts(known.Parts); len(known.Parts) < known.PartCount {
		return nil
	}
	delete(t.incomplete, e.id())
	return known
}

// unique returns a copy of the parts without repeated ones, in order.
func unique(parts []string) []string {
	seen := make(map[string]bool, len(parts))
	list := make([]string, 0, len(parts))
	for _, part := range parts {
		if !seen[part] {
			seen[part] = true
			list = append(list, part)
		}
	}
	return list
}

// doubt counts the evidence against all its parts that were not cleared since.
func (t *Tracker) doubt(e *Evidence) {
	for _, part := range e.Parts {
		if t.isCleared(part, e.At) {
			c := t.cleared[part]
			c.lost++
			t.cleared[part] = c
			t.announceClearance(part, e.receivedAt)
			continue
		}
		e.doubted++
		t.doubts[part] = append(t.doubts[part], e)
		t.watch(part)
		t.announceClearance(part, e.receivedAt)
	}
}

// isCleared reports whether a part was cleared of a loss at the given time.
func (t *Tracker) isCleared(part string, lostAt time.Time) bool {
	return !t.cleared[part].at.Add(proofValidity).Before(lostAt)
}

// acquit removes the evidence against a part that it was cleared of, and returns how much that was.
// Evidence that speaks against no part any more is forgotten.
func (t *Tracker) acquit(part string) (removed int) {
	list := t.doubts[part]
	if len(list) == 0 {
		return 0
	}
	kept := list[:0]
	forget := false
	for _, e := range list {
		if !t.isCleared(part, e.At) {
			kept = append(kept, e)
			continue
		}
		e.doubted--
		removed++
		forget = forget || e.doubted == 0
	}
	clear(list[len(kept):])
	t.setDoubts(part, kept)
	if forget {
		t.removeEvidence(func(e *Evidence) bool { return e.doubted == 0 })
	}
	return removed
}

func (t *Tracker) setDoubts(part string, list []*Evidence) {
	t.filterStale = true
	if len(list) == 0 {
		delete(t.doubts, part)
		return
	}
	t.doubts[part] = list
}

// removeEvidence forgets evidence.
func (t *Tracker) removeEvidence(outdated func(e *Evidence) bool) {
	t.evidence = slices.DeleteFunc(t.evidence, func(e *Evidence) bool {
		if !outdated(e) {
			return false
		}
		t.evidenceParts -= len(e.Parts)
		if e.doubted == 0 {
			return true
		}
		for _, part := range e.Parts {
			list := t.doubts[part]
			if i := slices.Index(list, e); i >= 0 {
				t.setDoubts(part, slices.Delete(list, i, i+1))
			}
		}
		return true
	})
}

// dropRedundant drops one loss of the server at which most were noticed: one crash must not push out
// the others. It is the latest one of those whose parts have the least evidence.
func (t *Tracker) dropRedundant() {
	counts := make(map[uint64]int)
	most := 0
	for _, e := range t.evidence {
		counts[e.Server]++
		most = max(most, counts[e.Server])
	}
	var drop *Evidence
	least := 0
	for _, e := range t.evidence {
		if counts[e.Server] < most {
			continue
		}
		if weight := t.weight(e); drop == nil || weight <= least {
			drop, least = e, weight
		}
	}
	t.removeEvidence(func(e *Evidence) bool { return e == drop })
}

// weight returns the greatest number of losses that put the same part in doubt as this one.
func (t *Tracker) weight(e *Evidence) int {
	most := 0
	for _, part := range e.Parts {
		most = max(most, len(t.doubts[part]))
	}
	return most
}

// inDoubt returns the parts that are in doubt because of the evidence.
func (t *Tracker) inDoubt(e *Evidence) []string {
	list := make([]string, 0, e.doubted)
	for _, part := range e.Parts {
		if slices.Contains(t.doubts[part], e) {
			list = append(list, part)
		}
	}
	return list
}

func sourceOf(e *Evidence) Source {
	if e.own {
		return Own
	}
	return Peer
}

// EvidenceCount returns the number of lost requests that count as evidence.
func (t *Tracker) EvidenceCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.evidence)
}
