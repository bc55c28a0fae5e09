package plan

import (
	"cmp"
	"math"
	"slices"
)

// RoleChange gives an engine another role.
type RoleChange struct {
	ID      string
	Prefill bool
}

// prefillNeed returns how many prefill engines the demand needs; 0 if it is not
// known.
func (v *StaffView) prefillNeed() float64 {
	if v.PromptTokensPerSecond <= 0 || v.EngineTokensPerSecond <= 0 {
		return 0
	}
	return v.PromptTokensPerSecond / (v.EngineTokensPerSecond * prefillLoad)
}

// decodeNeed returns how many decode engines the streams need; 0 if they are not
// known.
func (v *StaffView) decodeNeed() float64 {
	if v.Streams <= 0 || v.Slots <= 0 {
		return 0
	}
	return math.Ceil(v.Streams / (decodeLoad * float64(v.Slots)))
}

// DecodeEngines returns how many engines should decode: as many as the streams
// need, but at least one in each failure domain and never all. If the engines
// are too few for the demand, both roles get their share of them: prompts that
// are processed on decode engines hold up the streams there, and more streams
// then seem to need still more decode engines.
func (v *StaffView) DecodeEngines() int {
	engines := float64(len(v.Engines))
	want := v.decodeNeed()
	if prefill := v.prefillNeed(); want+prefill > engines {
		want *= engines / (want + prefill)
	}
	if want == 0 || !v.Settled {
		want = max(want, decodeShare*engines)
	}
	domains := make(map[string]bool)
	for _, e := range v.Engines {
		domains[e.FailureDomain] = true
	}
	n := max(int(math.Round(want)), len(domains), 1)
	return min(n, max(1, len(v.Engines)-1))
}

// Roles returns the engines that should change their role so that as many as
// wanted decode, spread over the failure domains by their numbers of engines. At
// most limit change.
func (v *StaffView) Roles(limit int) []RoleChange {
	byDomain := make(map[string][]Engine)
	for _, e := range v.Engines {
		byDomain[e.FailureDomain] = append(byDomain[e.FailureDomain], e)
	}
	domains := make([]string, 0, len(byDomain))
	for d := range byDomain {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	total, decoding := v.DecodeEngines(), v.decoding()
	toDecode := max(0, total-decoding)
	toPrefill := v.releasable(decoding - total)
	want := spread(decoding+toDecode-toPrefill, domains, byDomain)
	// Engines that start to decode come first: without one no stream runs. None
	// swap their roles between failure domains, since each is out for seconds.
	var decode, prefill []RoleChange
	for _, d := range domains {
		for _, c := range domainRoles(byDomain[d], want[d]) {
			if c.Prefill {
				prefill = append(prefill, c)
			} else {
				decode = append(decode, c)
			}
		}
	}
	changes := decode[:min(len(decode), toDecode)]
	changes = append(changes, prefill[:min(len(prefill), toPrefill)]...)
	return changes[:min(len(changes), max(0, limit))]
}

// releasable returns how many of the surplus decode engines should become prefill
// engines. A change takes an engine out for seconds, so only those change that
// prompts need.
func (v *StaffView) releasable(surplus int) int {
	if surplus < minSurplus {
		return 0
	}
	need := v.prefillNeed()
	if need == 0 {
		return surplus
	}
	short := int(math.Ceil(need)) - (len(v.Engines) - v.decoding())
	return min(surplus, max(0, short))
}

// decoding returns the number of engines that decode.
func (v *StaffView) decoding() int {
	n := 0
	for _, e := range v.Engines {
		n += boolToInt(!e.Prefill)
	}
	return n
}

// spread divides the decode engines among the failure domains, each time giving
// one to the domain with the smallest part of its engines decoding.
func spread(total int, domains []string, byDomain map[string][]Engine) map[string]int {
	want := make(map[string]int, len(domains))
	for range total {
		best := ""
		for _, d := range domains {
			if want[d] >= len(byDomain[d]) {
				continue
			}
			if best == "" || (want[d]+1)*len(byDomain[best]) < (want[best]+1)*len(byDomain[d]) {
				best = d
			}
		}
		if best == "" {
			break
		}
		want[best]++
	}
	return want
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func domainRoles(engines []Engine, want int) []RoleChange {
	var decode, prefill []Engine
	for _, e := range engines {
		if e.Prefill {
			prefill = append(prefill, e)
		} else {
			decode = append(decode, e)
		}
	}
	idleFirst := func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Requests, b.Requests), cmp.Compare(a.ID, b.ID))
	}
	slices.SortFunc(decode, idleFirst)
	slices.SortFunc(prefill, idleFirst)
	var changes []RoleChange
	for i := 0; i < len(decode)-want; i++ {
		changes = append(changes, RoleChange{decode[i].ID, true})
	}
	for i := 0; i < want-len(decode) && i < len(prefill); i++ {
		changes = append(changes, RoleChange{prefill[i].ID, false})
	}
	return changes
}
