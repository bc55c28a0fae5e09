package plan

import "math"

// Engine is a running engine as Staff sees it.
type Engine struct {
	ID            string
	FailureDomain string
	// Prefill tells whether the engine processes prompts for others; otherwise
	// it decodes.
	Prefill     bool
	Reclaimable bool
	// Requests is the number of requests in progress.
	Requests int
}

// StaffView is what Staff decides on.
type StaffView struct {
	// Engines are the running engines of one service. Leaving ones are not among
	// them.
	Engines []Engine
	// FailureDomains are those in which engines can be ordered, sorted.
	FailureDomains []string
	// MinPerDomain and MaxPerDomain bound the engines of a failure domain, both
	// classes together.
	MinPerDomain, MaxPerDomain int
	// ReclaimablePrice is the price of a reclaimable engine as a share of the
	// price of a standard one; 0 if there are none.
	ReclaimablePrice float64
	// Unavailable names failure domains that have no reclaimable engines now.
	Unavailable map[string]bool
	// PromptTokensPerSecond is the demand for prefill at its recent peak; 0 if
	// it is not known.
	PromptTokensPerSecond float64
	// Least is the number of engines to keep whatever the demand is.
	Least int
	// Streams is the number of running streams at the recent peak; 0 if it is
	// not known.
	Streams float64
	// Settled tells that the demand has been followed long enough to order fewer
	// engines, or to take engines from a role, than the deployment started with.
	Settled bool
	// Slots is how many streams one engine decodes at a time.
	Slots int
	// EngineTokensPerSecond is what one prefill engine processes.
	EngineTokensPerSecond float64
}

// Staffing is the number of engines of each class in one failure domain.
type Staffing struct {
	Standard, Reclaimable int
}

const (
	// prefillLoad is the load of prefill engines that keeps queues short while
	// the demand varies.
	prefillLoad = 0.45
	// spareShare is ordered on top of the engines that a deployment starts with,
	// before its demand is known.
	spareShare = 0.4
	// decodeLoad is the part of the slots of decode engines that running streams
	// may take at the recent peak: a request that finds no slot waits as long as
	// a stream lasts.
	decodeLoad = 0.25
	// minSurplus is how many decode engines must be too many before one becomes
	// a prefill engine: a change takes seconds, and the demand varies.
	minSurplus = 3
	// decodeShare is the part of the engines that decodes while the demand is
	// not known.
	decodeShare = 0.4
)

// Staff returns how many engines of each class each failure domain should have.
// A failure domain keeps its least number as standard engines, so that it serves
// through a reclaim; the rest are reclaimable where they can be had.
func Staff(v *StaffView) map[string]Staffing {
	perDomain := v.PerDomain()
	elsewhere, uncovered := v.displaced(perDomain)
	whole := len(v.Engines) >= perDomain*len(v.FailureDomains)
	out := make(map[string]Staffing, len(v.FailureDomains))
	for _, d := range v.FailureDomains {
		present := v.count(d)
		s := Staffing{Standard: perDomain}
		if v.ReclaimablePrice > 0 && v.ReclaimablePrice < 1 {
			s.Standard = v.keptStandard(perDomain)
			s.Reclaimable = perDomain - s.Standard
		}
		if v.Unavailable[d] {
			s.Reclaimable = present.Reclaimable
			s.Standard = max(s.Standard, v.replacements(perDomain, present, uncovered))
		} else {
			s = v.returnStep(s, present, perDomain)
			s.Reclaimable += elsewhere
			if !whole {
				s.Reclaimable = max(s.Reclaimable, present.Reclaimable)
			}
		}
		if over := s.Standard + s.Reclaimable - v.MaxPerDomain; over > 0 {
			s.Reclaimable = max(0, s.Reclaimable-over)
		}
		out[d] = s
	}
	return out
}

// keptStandard returns how many standard engines a failure domain keeps where
// reclaimable ones can be had.
func (v *StaffView) keptStandard(perDomain int) int {
	return min(perDomain, max(1, v.MinPerDomain))
}

// returnShare is the part of the missing reclaimable engines for which standard
// ones make room at a time when a failure domain has no room for both.
const returnShare = 1.0 / 3

// returnStep returns the next step from present to want. Standard engines leave
// only once the reclaimable ones that replace them are there, or to make room
// for some of these.
func (v *StaffView) returnStep(want, present Staffing, perDomain int) Staffing {
	missing := want.Reclaimable - present.Reclaimable
	if missing <= 0 || present.Standard <= want.Standard {
		return want
	}
	next := want
	next.Standard = min(present.Standard, max(want.Standard, min(perDomain, want.Standard+missing)))
	if next.Standard < v.MaxPerDomain-present.Reclaimable {
		return next
	}
	step := int(math.Ceil(returnShare * float64(missing)))
	next.Standard = max(want.Standard, v.MaxPerDomain-present.Reclaimable-step)
	return next
}

// displaced returns how many more reclaimable engines each other failure domain
// gets for those that can't be had in some, and the part of these that does not
// fit there.
func (v *StaffView) displaced(perDomain int) (elsewhere int, uncovered float64) {
	missing, others := 0, 0
	for _, d := range v.FailureDomains {
		if v.Unavailable[d] {
			missing += max(0, perDomain-v.count(d).Reclaimable-v.keptStandard(perDomain))
		} else {
			others++
		}
	}
	if missing == 0 || others == 0 || v.PromptTokensPerSecond <= 0 {
		return 0, 1
	}
	elsewhere = (missing + others - 1) / others
	elsewhere = max(0, min(elsewhere, v.MaxPerDomain-perDomain))
	return elsewhere, max(0, 1-float64(elsewhere*others)/float64(missing))
}

// replacements returns how many standard engines a failure domain needs that has
// no more reclaimable ones, for the uncovered part of what it lacks. Those that
// are there stay; more are ordered for a demand that is known.
func (v *StaffView) replacements(perDomain int, present Staffing, uncovered float64) int {
	missing := perDomain - present.Reclaimable
	if v.PromptTokensPerSecond <= 0 {
		missing = min(present.Standard, missing)
	}
	missing = int(math.Ceil(uncovered * float64(missing)))
	// Room for one shows when reclaimable engines can be had again.
	return min(missing, max(present.Standard, v.MaxPerDomain-present.Reclaimable-1))
}

// PerDomain returns how many engines of both classes each failure domain should
// have.
func (v *StaffView) PerDomain() int {
	domains := max(1, len(v.FailureDomains))
	total := float64(v.Least)
	if v.PromptTokensPerSecond <= 0 && v.count("").Reclaimable == 0 {
		total *= 1 + spareShare
	}
	if prefill := v.prefillNeed(); prefill > 0 {
		total = max(total, prefill+max(v.decodeNeed(), float64(v.DecodeEngines())))
	}
	n := int(math.Ceil(total / float64(domains)))
	return min(max(n, v.MinPerDomain, 2), max(v.MaxPerDomain, 1))
}

// Present returns how many engines of a class run in a failure domain.
func (v *StaffView) Present(domain string, reclaimable bool) int {
	s := v.count(domain)
	if reclaimable {
		return s.Reclaimable
	}
	return s.Standard
}

// count counts the engines of a failure domain, or all of them if it is empty.
func (v *StaffView) count(domain string) Staffing {
	var s Staffing
	for _, e := range v.Engines {
		if domain != "" && e.FailureDomain != domain {
			continue
		}
		if e.Reclaimable {
			s.Reclaimable++
		} else {
			s.Standard++
		}
	}
	return s
}
