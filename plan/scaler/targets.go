package scaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/figweir/figweir/plan"
)

const (
	// releaseMargin is the surplus, as a fraction of the need, from which reclaimable
	// engines are released, and minRelease the least number of them. Releasing a server
	// and ordering it again costs its start time and its cache.
	releaseMargin = 0.1
	minRelease    = 2
	// raiseMargin is the lack of engines, as a fraction of the need, below which none are
	// ordered. Measured speeds and demand vary by about as much.
	raiseMargin = 0.04
	// swapShare is the fraction of the missing reclaimable engines for which standard
	// engines are stopped per step if no failure domain has room for both.
	swapShare = 1.0 / 3
)

// targets computes the number of servers of each key. It starts from what runs and what is
// starting, and changes as little as the need requires.
type targets struct {
	c   *Controller
	v   *plan.ScalingView
	now time.Time
	// running is what runs, and count the target. starting is the number of servers that
	// were ordered and don't run yet.
	running, count, starting map[Key]int
	reason                   map[Key]string
	// available holds the failure domains where reclaimable servers are assumed to be
	// available, and unproven those of them where the last order was refused.
	available, unproven map[string]bool
	// minStandard is the number of standard servers that each failure domain needs, and
	// keepStandard the number below which none are released.
	minStandard, keepStandard int
	// speed is the sum of the speeds of what runs, and certain that plus what has surely
	// been ordered. expected includes orders without an answer.
	speed, certain, expected float64
	// meanSpeed is the mean speed of what runs.
	meanSpeed float64
}

func (c *Controller) newTargets(now time.Time, v *plan.ScalingView) *targets {
	t := &targets{
		c: c, v: v, now: now, running: make(map[Key]int), count: make(map[Key]int), starting: make(map[Key]int),
		reason: make(map[Key]string), available: make(map[string]bool), unproven: make(map[string]bool), meanSpeed: 1,
	}
	for _, e := range v.Engines {
		t.running[Key{e.FailureDomain, e.Reclaimable}]++
		t.speed += e.RelativeSpeed()
	}
	if len(v.Engines) > 0 {
		t.meanSpeed = t.speed / float64(len(v.Engines))
	}
	t.certain, t.expected = t.speed, t.speed
	for _, domain := range v.FailureDomains {
		t.available[domain] = !c.Unavailable(now, domain)
		_, t.unproven[domain] = c.refusedUntil[domain]
		for _, reclaimable := range []bool{false, true} {
			t.addKey(Key{domain, reclaimable})
		}
		t.checkMinPerClass(domain)
	}
	return t
}

// setMinStandard sets minStandard and keepStandard. One standard server in each failure domain
// keeps it serving through a reclaim.
func (t *targets) setMinStandard() {
	t.minStandard = 1
	if len(t.v.FailureDomains) == 1 {
		// A reclaim leaves only the standard engines.
		t.minStandard = max(t.v.MinPerDomain, int(math.Ceil(t.c.need.Hard)))
	}
	t.keepStandard = t.minStandard
	if t.c.minPerClass {
		t.keepStandard = max(t.keepStandard, t.v.MinPerDomain)
	}
}

// addKey sets the base of one key: what runs, or what was ordered while that may still be
// starting.
func (t *targets) addKey(k Key) {
	running := t.running[k]
	t.count[k] = running
	s := t.c.orders[k]
	if s == nil {
		return
	}
	if s.count > running && t.now.Before(s.pending(t.v.StartupTime)) {
		starting := s.count - running
		t.count[k], t.starting[k] = s.count, starting
		t.expected += float64(starting)
		if !s.restored && t.now.Before(s.sentAt.Add(t.v.StartupTime+startMargin)) {
			t.certain += float64(starting)
		}
	}
}

// checkMinPerClass sets minPerClass if the minimum of a failure domain still runs as standard
// servers after an accepted order of fewer had time to take effect.
func (t *targets) checkMinPerClass(domain string) {
	k := Key{domain, false}
	s := t.c.orders[k]
	if s == nil || s.outcome != Accepted || s.restored || s.count >= t.v.MinPerDomain || t.running[k] < t.v.MinPerDomain {
		return
	}
	// An earlier order of more servers can be carried out late.
	if t.now.After(s.sentAt.Add(t.v.StartupTime+startMargin)) && t.now.After(s.raisedAt.Add(t.v.StartupTime+lateTime)) {
		t.c.minPerClass = true
	}
}

// excess returns the number of standard engines of a failure domain that reclaimable ones
// should replace. They are kept where the reclaimable ones that run don't yet fill the
// minimum of the failure domain.
func (t *targets) excess(domain string) int {
	least := max(t.keepStandard, t.v.MinPerDomain-t.running[Key{domain, true}])
	return max(0, t.count[Key{domain, false}]-least)
}

// total returns the target of both classes in a failure domain.
func (t *targets) total(domain string) int {
	return t.count[Key{domain, false}] + t.count[Key{domain, true}]
}

// add raises the target of a key by n.
func (t *targets) add(k Key, n int, reason string) {
	t.count[k] += n
	t.reason[k] = reason
}

// price returns the price of a server-second of the standard class.
func (t *targets) price(domain string) float64 {
	if p := t.v.Prices[domain]; p > 0 {
		return p
	}
	return 1
}

// place raises the targets by what is missing: reclaimable engines where they are available,
// standard ones elsewhere only up to Need.Hard.
func (t *targets) place() {
	need, excess := t.c.need, 0
	for _, d := range t.v.FailureDomains {
		excess += t.excess(d)
	}
	// Standard engines that are to be replaced don't count, except towards need.Hard.
	lasting := t.expected - float64(excess)*t.meanSpeed
	lacking := need.Total - lasting
	if excess == 0 && lacking < raiseMargin*need.Total {
		lacking = 0
	}
	missing := int(math.Ceil(max(lacking, need.Hard-t.certain) - 1e-9))
	if need.Floor > 0 {
		missing = max(missing, need.Floor-t.countAll()+excess)
	}
	reason := need.Reason
	if excess > 0 {
		reason = "replacement of standard engines"
	} else if t.lost() {
		reason = "lost engines"
	}
	unplaced := t.placeReclaimable(missing, reason)
	placed := max(0, missing) - unplaced
	if unplaced > 0 && placed == 0 && excess > 0 {
		unplaced = t.swap(unplaced)
	}
	if t.c.need.Hard > 0 && unplaced > 0 {
		lacking := int(math.Ceil(need.Hard - t.certain - float64(placed) - 1e-9))
		t.placeStandard(min(unplaced, lacking))
	}
	t.placeMinimum()
}

// placeMinimum raises the targets to the minimum of each failure domain.
func (t *targets) placeMinimum() {
	for _, d := range t.v.FailureDomains {
		if lacking := t.v.MinPerDomain - t.total(d); lacking > 0 {
			t.add(Key{d, t.available[d]}, lacking, "minimum of the failure domain")
		}
		if lacking := t.minStandard - t.count[Key{d, false}]; lacking > 0 {
			t.add(Key{d, false}, lacking, "standard minimum")
		}
	}
}

// countAll returns the number of engines that run or are starting.
func (t *targets) countAll() int {
	n := len(t.v.Engines)
	for _, s := range t.starting {
		n += s
	}
	return n
}

// lost reports whether fewer servers run than were ordered and had time to start.
func (t *targets) lost() bool {
	for k, s := range t.c.orders {
		if s.outcome == Accepted && t.running[k] < s.count && t.now.After(s.pending(t.v.StartupTime)) {
			return true
		}
	}
	return false
}

// placeReclaimable raises reclaimable targets by n in all and returns how many found no
// room. Each engine goes to the cheapest failure domain whose reclaim would still leave
// Need.Hard, otherwise to the one with the fewest.
func (t *targets) placeReclaimable(n int, reason string) (unplaced int) {
	for ; n > 0; n-- {
		best := ""
		for _, d := range t.v.FailureDomains {
			if !t.available[d] || t.total(d) >= t.v.MaxPerDomain {
				continue
			}
			if best == "" || t.firstToOrder(d, best) {
				best = d
			}
		}
		if best == "" {
			return n
		}
		t.add(Key{best, true}, 1, reason)
	}
	return 0
}

// firstToOrder reports whether the next reclaimable engine should go to a rather than to b.
func (t *targets) firstToOrder(a, b string) bool {
	// Where servers were lost, the platform may still have them: the order there is then
	// met without new ones.
	if lostA, lostB := t.belowOrder(a), t.belowOrder(b); lostA != lostB {
		return lostA
	}
	return t.better(a, b)
}

// better reports whether a is the better place for one more reclaimable engine, and b that
// to release one from.
func (t *targets) better(a, b string) bool {
	fullA, fullB := t.atShare(a), t.atShare(b)
	if fullA != fullB {
		return !fullA
	}
	ka, kb := t.count[Key{a, true}], t.count[Key{b, true}]
	if fullA {
		return cmp.Or(cmp.Compare(ka, kb), cmp.Compare(t.price(a), t.price(b))) < 0
	}
	return cmp.Or(cmp.Compare(t.price(a), t.price(b)), cmp.Compare(ka, kb)) < 0
}

// belowOrder reports whether the target of reclaimable engines of a failure domain is below
// the last order, if that was accepted.
func (t *targets) belowOrder(d string) bool {
	s := t.c.orders[Key{d, true}]
	return s != nil && s.outcome == Accepted && t.count[Key{d, true}] < s.count
}

// atShare reports whether a failure domain has as many reclaimable engines as may be lost
// at once. Until the demand is known that is an even share.
func (t *targets) atShare(d string) bool {
	domains := float64(max(1, len(t.v.FailureDomains)))
	need := t.c.need
	share := need.Total/domains - float64(t.minStandard)
	if t.v.DemandSettled {
		share = max(share, need.Total-need.Hard)
	}
	return float64(t.count[Key{d, true}]) >= share
}

// placeStandard raises standard targets by n in all, in the cheapest failure domains with
// room. It leaves room for one reclaimable engine, whose order shows when they are
// available again.
func (t *targets) placeStandard(n int) {
	domains := t.byPrice()
	for ; n > 0; n-- {
		best := ""
		for _, d := range domains {
			if t.total(d) >= t.v.MaxPerDomain-1 {
				continue
			}
			if best == "" || t.price(d) == t.price(best) && t.count[Key{d, false}] < t.count[Key{best, false}] {
				best = d
			}
		}
		if best == "" {
			return
		}
		t.add(Key{best, false}, 1, "no reclaimable servers available")
	}
}

// byPrice returns the failure domains, the cheapest first.
func (t *targets) byPrice() []string {
	domains := slices.Clone(t.v.FailureDomains)
	slices.SortStableFunc(domains, func(a, b string) int { return cmp.Compare(t.price(a), t.price(b)) })
	return domains
}

// swap lowers the standard targets in failure domains that are full, by a third of the missing
// engines at a time, and raises the reclaimable ones by as much. It waits until no reclaimable
// engine is starting. It returns how many are still missing.
func (t *targets) swap(missing int) int {
	for k, n := range t.starting {
		if k.Reclaimable && n > 0 {
			return missing
		}
	}
	step := int(math.Ceil(swapShare * float64(missing)))
	for _, d := range slices.Backward(t.byPrice()) {
		std, rec := Key{d, false}, Key{d, true}
		n := min(step, int(math.Ceil(swapShare*float64(t.excess(d)))))
		if n <= 0 || !t.available[d] || t.unproven[d] || !t.mayRelease(std) || t.speed-float64(n)*t.meanSpeed < max(t.c.need.Hard, (1-swapShare)*t.c.need.Running) {
			continue
		}
		t.add(std, -n, "room for reclaimable servers")
		t.add(rec, n, "replacement of standard engines")
		step -= n
		missing -= n
		t.speed -= float64(n) * t.meanSpeed
	}
	return missing
}

// mayRelease reports whether servers of a key may be released now: the last order of the
// key has been met, and what was raised recently is kept for a while.
func (t *targets) mayRelease(k Key) bool {
	if t.c.need.Stale || t.starting[k] > 0 {
		return false
	}
	s := t.c.orders[k]
	return s == nil || s.raisedAt.IsZero() || t.now.Sub(s.raisedAt) >= t.v.StartupTime+releaseDelay
}

// releaseStandard releases standard engines whose replacements run, the most expensive
// first, as long as the rest meets Need.Running, and Need.Hard also without the largest
// group of reclaimable engines.
func (t *targets) releaseStandard() {
	need := t.c.need
	spare := int(math.Floor((t.speed-need.Running)/t.meanSpeed + 1e-9))
	if need.Floor > 0 {
		spare = min(spare, len(t.v.Engines)-need.Floor)
	}
	largest := 0
	for _, d := range t.v.FailureDomains {
		largest = max(largest, t.running[Key{d, true}])
	}
	spare = min(spare, int(math.Floor((t.speed-need.Hard)/t.meanSpeed+1e-9))-largest)
	for ; spare > 0; spare-- {
		best := ""
		for _, d := range t.v.FailureDomains {
			if t.excess(d) <= 0 || !t.mayRelease(Key{d, false}) {
				continue
			}
			if best == "" || cmp.Or(cmp.Compare(t.price(d), t.price(best)), cmp.Compare(t.total(d), t.total(best))) > 0 {
				best = d
			}
		}
		if best == "" {
			return
		}
		t.add(Key{best, false}, -1, "replaced by reclaimable servers")
	}
}

// releaseReclaimable releases what exceeds the need of the last keepWindow by more than
// the margin, from the failure domains with the most first.
func (t *targets) releaseReclaimable() {
	need, excess := t.c.need, 0
	for _, d := range t.v.FailureDomains {
		excess += t.excess(d)
		if t.starting[Key{d, true}] > 0 || t.starting[Key{d, false}] > 0 {
			return
		}
	}
	surplus := (t.speed-need.Kept)/t.meanSpeed - float64(excess)
	margin := max(minRelease, releaseMargin*need.Kept)
	if surplus < margin || need.Stale {
		return
	}
	for n := int(surplus - margin/2); n > 0; n-- {
		best := ""
		for _, d := range t.v.FailureDomains {
			k := Key{d, true}
			if t.count[k] == 0 || t.total(d) <= t.v.MinPerDomain {
				continue
			}
			if best == "" || t.better(best, d) {
				best = d
			}
		}
		// Waiting for that failure domain keeps the engines evenly spread.
		if best == "" || !t.mayRelease(Key{best, true}) {
			return
		}
		t.add(Key{best, true}, -1, "demand is lower")
	}
}

// applyLimits keeps the targets within the maximum of each failure domain.
func (t *targets) applyLimits() {
	for _, d := range t.v.FailureDomains {
		rec, std := Key{d, true}, Key{d, false}
		if over := t.total(d) - t.v.MaxPerDomain; over > 0 {
			t.count[rec] = max(0, t.count[rec]-over)
		}
		t.count[std] = min(t.count[std], max(t.v.MaxPerDomain, t.running[std]))
	}
}
