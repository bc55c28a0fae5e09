package plan

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/figweir/figweir/config"
)

// roleHorizon is how long a role change is expected to be of use. The ratio of
// prompt to output changes within minutes.
const roleHorizon = 90 * time.Second

// maxChangingShare bounds the engines that change their role at a time, since
// they serve nothing meanwhile. One may always change.
const maxChangingShare = 0.1

// planRoles moves engines between prefill and decode while the delay that a
// move saves within the horizon is worth more than the engine-seconds it costs.
func (p *planner) planRoles() {
	changing := 0
	for _, s := range p.view.Servers {
		if s.State == Changing {
			changing++
		}
	}
	limit := max(1, int(math.Ceil(maxChangingShare*float64(p.ready))))
	change := p.view.Rates.RoleChange
	demand := p.need(p.view.Demand.Fast(p.now.Add(change)))
	for ; changing < limit; changing++ {
		prefill, decode := p.roleCapacity(demand)
		toPrefill := moveGain(demand.decode, decode, demand.prefill, prefill, change, 0)
		toDecode := moveGain(demand.prefill, prefill, demand.decode, decode, change, p.view.Rates.CacheLoss)
		switch {
		case toPrefill > 0 && toPrefill >= toDecode && p.move(config.RoleDecode, config.RolePrefill, toPrefill):
		case toDecode > 0 && p.move(config.RolePrefill, config.RoleDecode, toDecode):
		default:
			return
		}
	}
}

// roleCapacity counts the engines of each role. Mixed engines count for both in
// the ratio of the demand.
func (p *planner) roleCapacity(demand need) (prefill, decode float64) {
	mixed := 0.0
	for _, d := range p.domains {
		prefill += float64(d.prefill)
		decode += float64(d.decode)
		mixed += float64(d.mixed)
	}
	if total := demand.total(); total > 0 {
		prefill += mixed * demand.prefill / total
		decode += mixed * demand.decode / total
	}
	return prefill, decode
}

// moveGain is the delay in engine-seconds that moving one engine saves within
// the horizon, less what the change costs: the engine itself, and the delay
// that the remaining engines of its role add while it changes, and the work in
// its prefix cache.
func moveGain(fromNeed, from, toNeed, to float64, change, lost time.Duration) float64 {
	if from < 1 {
		return 0
	}
	before := delay(fromNeed, from) + delay(toNeed, to)
	during := delay(fromNeed, from-1) + delay(toNeed, to)
	after := delay(fromNeed, from-1) + delay(toNeed, to+1)
	cost := change.Seconds()*(1+max(0, during-before)) + lost.Seconds()
	return (before-after)*(roleHorizon-change).Seconds() - cost
}

// delay is the work that waits, in engine-seconds per second, when n engines
// serve a demand of x engines. Its growth with the load is that of a queue near
// its target load, at which it is x; it has no pole, so that a change is still
// worth no more than it gives when both roles are overloaded.
func delay(x, n float64) float64 {
	if x <= 0 {
		return 0
	}
	load := min(x/max(n, 0.1), maxLoad)
	return x * load * load * load * load
}

// maxLoad bounds the load that delay is evaluated for.
const maxLoad = 10

// move plans the role change of the engine that suits best, and reports whether
// there is one that the floors allow.
func (p *planner) move(from, to config.Role, gain float64) bool {
	if p.movable == nil {
		p.findMovable()
	}
	var d *domain
	for _, candidate := range p.domains {
		if len(p.movable[roleIn{candidate, from}]) == 0 || !candidate.mayLose(from) {
			continue
		}
		// The failure domain with the most engines of the role gives one up, so
		// that pairs stay possible in every failure domain.
		if d == nil || candidate.surplus(from) > d.surplus(from) {
			d = candidate
		}
	}
	if d == nil {
		return false
	}
	list := p.movable[roleIn{d, from}]
	best := list[0]
	p.movable[roleIn{d, from}] = list[1:]
	s := p.view.Servers[best]
	p.touched[best] = true
	d.addRole(from, -1)
	d.addRole(to, 1)
	p.roleChanges = append(p.roleChanges, Action{
		Kind: ChangeRole, Server: s.Name, FailureDomain: s.FailureDomain, Class: s.Class, Role: to,
		Reason: fmt.Sprintf("saves %.0f engine-seconds more than the change costs", gain),
	})
	return true
}

// roleIn is a role in a failure domain.
type roleIn struct {
	domain *domain
	role   config.Role
}

// findMovable lists the servers that may change their role, by failure domain
// and role, those with the fewest streams first.
func (p *planner) findMovable() {
	p.movable = make(map[roleIn][]int)
	for i, s := range p.view.Servers {
		if s.State == Running && !p.touched[i] {
			key := roleIn{p.byName[s.FailureDomain], s.Role}
			p.movable[key] = append(p.movable[key], i)
		}
	}
	for _, list := range p.movable {
		slices.SortStableFunc(list, func(a, b int) int {
			return cmp.Compare(p.view.Servers[a].Streams, p.view.Servers[b].Streams)
		})
	}
}

// mayLose reports whether the failure domain may have one engine of the role
// less.
func (d *domain) mayLose(role config.Role) bool {
	switch role {
	case config.RolePrefill:
		return d.prefill > d.rule.MinPrefill
	case config.RoleDecode:
		return d.decode > d.rule.MinDecode
	}
	return true
}

// surplus is how many more engines of the role than of the other one the
// failure domain has.
func (d *domain) surplus(role config.Role) float64 {
	if role == config.RolePrefill {
		return float64(d.prefill - d.decode)
	}
	return float64(d.decode - d.prefill)
}
