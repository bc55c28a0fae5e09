package quarantine

import (
	"slices"
	"time"
)

// partEvidence is the evidence against one part that was not cleared.
type partEvidence struct {
	part  string
	items []*Evidence
	// crashes is the number of separate crashes.
	crashes int
	// doubtedAt is when this node learned of the crash from which the part was in doubt.
	doubtedAt time.Time
	// wasSound is set if the part has proved sound not long before the losses.
	wasSound bool
	// proven is set if there were enough crashes and requests.
	proven bool
}

// collect returns the parts with evidence of enough losses. It leaves out losses that an existing
// suspicion explains.
func (t *Tracker) collect() map[string]*partEvidence {
	byPart := make(map[string]*partEvidence)
	explained := t.explainedCrashes()
	for part, list := range t.doubts {
		if len(list) < minCrashes {
			continue
		}
		p := &partEvidence{part: part, wasSound: t.wasSound(part, list[0].At)}
		for _, e := range list {
			if !slices.ContainsFunc(explained, e.isSameCrash) {
				p.items = append(p.items, e)
			}
		}
		p.count(t.crashes)
		byPart[part] = p
	}
	return byPart
}

// wasSound reports whether the part has proved sound within EvidenceTTL before a loss, as far as this
// node knows.
func (t *Tracker) wasSound(part string, lostAt time.Time) bool {
	at := t.cleared[part].at
	return !at.IsZero() && lostAt.Sub(at) < EvidenceTTL
}

// explainedCrashes returns the losses of suspected requests.
func (t *Tracker) explainedCrashes() []*Evidence {
	var list []*Evidence
	for _, e := range t.evidence {
		if t.suspicionOf(e.Parts) != nil {
			list = append(list, e)
		}
	}
	return list
}

// isSameCrash reports whether two requests were lost in the same crash.
func (e *Evidence) isSameCrash(other *Evidence) bool {
	return e.Server == other.Server && e.At.Sub(other.At).Abs() < sameCrash
}

// count counts the separate crashes and compares them with all crashes of that time.
func (p *partEvidence) count(all crashTimes) {
	slices.SortStableFunc(p.items, func(a, b *Evidence) int { return a.At.Compare(b.At) })
	var last, learned time.Time
	requests := make(map[uint64]bool)
	for _, e := range p.items {
		requests[e.Request] = true
		if e.receivedAt.After(learned) {
			learned = e.receivedAt
		}
		if p.crashes > 0 && e.At.Sub(last) < crashSpacing {
			continue
		}
		p.crashes++
		last = e.At
		if p.crashes == doubtCrashes {
			p.doubtedAt = learned
		}
	}
	if p.crashes < minCrashes {
		return
	}
	required := minCrashes + max(0, all.between(p.items[0].At, last)-p.crashes)/othersPerCrash
	if p.wasSound {
		required++
	}
	p.proven = p.crashes >= min(required, maxCrashes) && len(requests) >= minRequests
}

// specificShare is the share of the most frequent part's crashes that a more specific part
// must explain to be suspected in its place.
const specificShare = 0.75

// mostSuspect returns the part that explains the crashes best among those whose evidence
// has settled, or nil. A part that all requests share is in every crash too, so among parts
// with nearly as many crashes it is the one with the fewest lost requests. waiting is set if
// the evidence against another part has not settled yet.
func mostSuspect(byPart map[string]*partEvidence, now time.Time) (suspect *partEvidence, waiting bool) {
	most := 0
	for _, p := range byPart {
		if p.settled(now) {
			most = max(most, p.crashes)
		} else if p.proven {
			waiting = true
		}
	}
	for _, p := range byPart {
		if !p.settled(now) || float64(p.crashes) < specificShare*float64(most) {
			continue
		}
		if suspect == nil || p.isBetterSuspect(suspect) {
			suspect = p
		}
	}
	return suspect, waiting
}

// settled reports whether the part may be suspected.
func (p *partEvidence) settled(now time.Time) bool {
	return p.proven && now.Sub(p.doubtedAt) >= settleDelay
}

// isBetterSuspect orders suspects by specificity. The name decides between equal ones, so
// that nodes with the same evidence agree.
func (p *partEvidence) isBetterSuspect(than *partEvidence) bool {
	if len(p.items) != len(than.items) {
		return len(p.items) < len(than.items)
	}
	if p.crashes != than.crashes {
		return p.crashes > than.crashes
	}
	return p.part < than.part
}

// suspicion returns the suspicion that follows from the evidence against a part: all parts
// that every lost request with it had and that were not cleared.
func (t *Tracker) suspicion(p *partEvidence, now time.Time) *Suspicion {
	s := &Suspicion{Since: p.items[0].At, LastCrash: p.items[len(p.items)-1].At, Crashes: p.crashes, usedAt: now}
	s.Parts = t.sharedDoubts(p)
	slices.Sort(s.Parts)
	for _, e := range p.items {
		if len(s.Servers) < maxServers && !slices.Contains(s.Servers, e.Server) {
			s.Servers = append(s.Servers, e.Server)
		}
		if e.own {
			s.urgentUntil = now.Add(urgentTime)
		}
	}
	s.HeldUntil = now.Add(hold(0))
	t.markUnstored(s, now, !s.urgentUntil.IsZero())
	return s
}

// sharedDoubts returns the part and the others that all losses with it put in doubt. If these are too
// long for a message, the last ones of the prompt stay: what many requests share comes first.
func (t *Tracker) sharedDoubts(p *partEvidence) []string {
	list := []string{p.part}
	bytes := len(p.part)
	for _, part := range slices.Backward(p.items[0].Parts) {
		if part == p.part || slices.ContainsFunc(p.items, func(e *Evidence) bool { return !slices.Contains(t.doubts[part], e) }) {
			continue
		}
		if bytes += len(part); bytes > maxSuspectedBytes {
			break
		}
		list = append(list, part)
	}
	return list
}
