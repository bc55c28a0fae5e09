package plan

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/figweir/figweir/config"
)

// roleHorizon is how long a role change is expected to pay off. The
// prompt-to-output ratio changes within minutes.
const roleHorizon = 90 * time.Second

// maxChangingShare limits the fraction of engines that change roles at the same
// time, since they serve nothing meanwhile. One engine may always change.
const maxChangingShare = 0.1

// planRoles moves engines between prefill and decode as long as the delay that
// a change saves within roleHorizon exceeds its cost in engine-seconds.
func (p *planner) planRoles() {
	changing := 0
	for _, s := range p.view.Servers {
		if s.State == Changing {
			changing++
		}
	}
	limit := max(1, int(math.Ceil(maxChangingShare*float64(p.readyServers))))
	change := p.view.Rates.RoleChangeTime
	demand := p.toEngines(p.view.Demand.FastForecast(p.now.Add(change)))
	for ; changing < limit; changing++ {
		prefill, decode := p.roleCapacity(demand)
		toPrefill := roleChangeGain(demand.decode, decode, demand.prefill, prefill, change, 0)
		toDecode := roleChangeGain(demand.prefill, prefill, demand.decode, decode, change, p.view.Rates.CacheRefillTime)
		switch {
		case toPrefill > 0 && toPrefill >= toDecode && p.planRoleChange(config.RoleDecode, config.RolePrefill, toPrefill):
		case toDecode > 0 && p.planRoleChange(config.RolePrefill, config.RoleDecode, toDecode):
		default:
			return
		}
	}
}

// roleCapacity counts the engines of each role. Mixed engines are split between
// the roles in proportion to the demand.
func (p *planner) roleCapacity(demand engineDemand) (prefill, decode float64) {
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

// roleChangeGain returns the delay in engine-seconds that changing the role of
// one engine saves within roleHorizon, minus the cost of the change. The cost
// is the idle time of the engine, the delay added at the remaining engines of
// its old role meanwhile, and refilling its prefix cache.
func roleChangeGain(fromDemand, fromEngines, toDemand, toEngines float64, change, cacheLoss time.Duration) float64 {
	if fromEngines < 1 {
		return 0
	}
	before := queueDelay(fromDemand, fromEngines) + queueDelay(toDemand, toEngines)
	during := queueDelay(fromDemand, fromEngines-1) + queueDelay(toDemand, toEngines)
	after := queueDelay(fromDemand, fromEngines-1) + queueDelay(toDemand, toEngines+1)
	cost := change.Seconds()*(1+max(0, during-before)) + cacheLoss.Seconds()
	return (before-after)*(roleHorizon-change).Seconds() - cost
}

// queueDelay returns the queued work, in engine-seconds per second, when
// engines serve a demand given in engines. It grows with the load like a queue
// near its target load, where it equals the demand. It has no pole, so that the
// gain of a change is not overestimated when both roles are overloaded.
func queueDelay(demand, engines float64) float64 {
	if demand <= 0 {
		return 0
	}
	load := min(demand/max(engines, 0.1), maxLoad)
	return demand * load * load * load * load
}

// maxLoad limits the load for which queueDelay is evaluated.
const maxLoad = 10

// planRoleChange plans the role change of the most suitable engine. It reports
// false if the minimums of the rules allow none.
func (p *planner) planRoleChange(from, to config.Role, gain float64) bool {
	if p.movable == nil {
		p.findMovable()
	}
	var d *domain
	for _, candidate := range p.domains {
		if len(p.movable[domainRole{candidate, from}]) == 0 || !candidate.canRemove(from) {
			continue
		}
		// Take the engine from the failure domain with the largest surplus of
		// the role, so that every failure domain can still form prefill-decode
		// pairs.
		if d == nil || candidate.surplus(from) > d.surplus(from) {
			d = candidate
		}
	}
	if d == nil {
		return false
	}
	list := p.movable[domainRole{d, from}]
	best := list[0]
	p.movable[domainRole{d, from}] = list[1:]
	s := p.view.Servers[best]
	p.inAction[best] = true
	d.addRole(from, -1)
	d.addRole(to, 1)
	p.roleChanges = append(p.roleChanges, Action{
		Kind: ChangeRole, Server: s.Name, FailureDomain: s.FailureDomain, Class: s.Class, Role: to,
		Reason: fmt.Sprintf("saves %.0f engine-seconds more than the change costs", gain),
	})
	return true
}

// domainRole is a role in a failure domain.
type domainRole struct {
	domain *domain
	role   config.Role
}

// findMovable lists the servers that may change roles by failure domain and
// role, those with the fewest streams first.
func (p *planner) findMovable() {
	p.movable = make(map[domainRole][]int)
	for i, s := range p.view.Servers {
		if s.State == Running && !p.inAction[i] {
			key := domainRole{p.byName[s.FailureDomain], s.Role}
			p.movable[key] = append(p.movable[key], i)
		}
	}
	for _, list := range p.movable {
		slices.SortStableFunc(list, func(a, b int) int {
			return cmp.Compare(p.view.Servers[a].Streams, p.view.Servers[b].Streams)
		})
	}
}

// canRemove reports whether the minimum of the role is still met with one
// engine less.
func (d *domain) canRemove(role config.Role) bool {
	switch role {
	case config.RolePrefill:
		return d.prefill > d.rule.MinPrefill
	case config.RoleDecode:
		return d.decode > d.rule.MinDecode
	}
	return true
}

// surplus returns the number of engines of the role minus that of the other
// role.
func (d *domain) surplus(role config.Role) float64 {
	if role == config.RolePrefill {
		return float64(d.prefill - d.decode)
	}
	return float64(d.decode - d.prefill)
}
