package plan

import (
	"cmp"
	"math"
	"slices"
)

// RoleAssignment assigns a role to an engine: prefill if Prefill is set,
// otherwise decode.
type RoleAssignment struct {
	ID      string
	Prefill bool
}

// prefillNeed returns the number of prefill engines required for the demand; 0
// if the demand is unknown.
func (v *ScalingView) prefillNeed() float64 {
	if v.PromptTokensPerSecond <= 0 || v.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return v.PromptTokensPerSecond / (v.PrefillTokensPerSecond * v.Needs.PrefillLoad(v.PrefillTokensPerSecond))
}

// decodeNeed returns the number of decode engines required for the streams; 0
// if their number is unknown.
func (v *ScalingView) decodeNeed() float64 {
	if v.Streams <= 0 || v.Slots <= 0 {
		return 0
	}
	return math.Ceil(v.Streams / (v.Needs.DecodeLoad() * float64(v.Slots)))
}

// DecodeEngines returns the target number of decode engines: as many as the
// streams require, but at least one per failure domain and never all engines.
// If the engines are too few for the demand, they are shared between the roles
// in proportion. Otherwise prompts processed on decode engines would stall the
// streams there, which raises the number of streams and thus the apparent need
// for decode engines.
func (v *ScalingView) DecodeEngines() int {
	engines := float64(len(v.Engines))
	want := v.decodeNeed()
	if prefill := v.prefillNeed(); want+prefill > engines {
		want *= engines / (want + prefill)
	}
	if want == 0 || !v.DemandSettled {
		want = max(want, defaultDecodeShare*engines)
	}
	domains := make(map[string]bool)
	for _, e := range v.Engines {
		domains[e.FailureDomain] = true
	}
	n := max(int(math.Round(want)), len(domains), 1)
	return min(n, max(1, len(v.Engines)-1))
}

// RoleChanges returns at most limit role changes that lead to the target number of
// decode engines, spread over the failure domains in proportion to their
// engines.
func (v *ScalingView) RoleChanges(limit int) []RoleAssignment {
	byDomain := make(map[string][]Engine)
	for _, e := range v.Engines {
		byDomain[e.FailureDomain] = append(byDomain[e.FailureDomain], e)
	}
	domains := make([]string, 0, len(byDomain))
	for d := range byDomain {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	total, decoding := v.DecodeEngines(), v.DecodingEngines()
	toDecode := max(0, total-decoding)
	toPrefill := v.surplusToPrefill(decoding - total)
	want := spreadDecode(decoding+toDecode-toPrefill, domains, byDomain)
	// Changes to decode come first, because no stream runs without a decode
	// engine. Failure domains don't swap roles among each other, since each
	// change takes an engine out of service for seconds.
	var decode, prefill []RoleAssignment
	for _, d := range domains {
		for _, c := range domainRoleChanges(byDomain[d], want[d]) {
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

// surplusToPrefill returns how many of the surplus decode engines should become
// prefill engines: only as many as the prompts need, because a change takes an
// engine out of service for seconds.
func (v *ScalingView) surplusToPrefill(surplus int) int {
	if surplus < minSurplus {
		return 0
	}
	need := v.prefillNeed()
	if need == 0 {
		return surplus
	}
	missing := int(math.Ceil(need)) - (len(v.Engines) - v.DecodingEngines())
	return min(surplus, max(0, missing))
}

// DecodingEngines returns the number of engines that decode now.
func (v *ScalingView) DecodingEngines() int {
	n := 0
	for _, e := range v.Engines {
		n += boolToInt(!e.Prefill)
	}
	return n
}

// spreadDecode distributes the decode engines over the failure domains. Each
// step adds one to the failure domain with the smallest decoding fraction.
func spreadDecode(total int, domains []string, byDomain map[string][]Engine) map[string]int {
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

// domainRoleChanges returns the role changes after which want engines of one
// failure domain decode, starting with the engines with the fewest requests.
func domainRoleChanges(engines []Engine, want int) []RoleAssignment {
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
	var changes []RoleAssignment
	for i := 0; i < len(decode)-want; i++ {
		changes = append(changes, RoleAssignment{decode[i].ID, true})
	}
	for i := 0; i < want-len(decode) && i < len(prefill); i++ {
		changes = append(changes, RoleAssignment{prefill[i].ID, false})
	}
	return changes
}
