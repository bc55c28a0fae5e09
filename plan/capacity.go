package plan

import (
	"math"

	"github.com/figweir/figweir/config"
)

// stopMargin is how many servers above the need are kept. A server that is
// stopped and ordered again costs its start time twice.
const stopMargin = 1

// planCapacity orders servers on trend and on the floors, places them on
// reclaimable capacity as far as a reclaim can be absorbed, and stops servers
// that both trends say are not needed.
func (p *planner) planCapacity() {
	demand := &p.view.Demand
	ready := p.now.Add(p.view.Rates.Start)
	// The present demand is what must be served after a reclaim; the forecasts
	// at the time when a server ordered now would be ready decide orders.
	present := p.need(demand.Fast(p.now)).total()
	future := max(present, p.need(demand.Slow(ready)).total(), p.need(demand.Slow(p.now)).total())
	target := int(math.Ceil(future * (1 + p.view.Rates.Headroom)))

	p.orderFloors(present)
	for p.total < target && p.order(present, "demand forecast") {
	}
	p.orderForReclaim(present)
	if len(p.orders) > 0 {
		return
	}
	kept := target
	for _, tokens := range demand.Recent() {
		kept = max(kept, int(math.Ceil(p.need(tokens).total())))
	}
	if p.total > kept+stopMargin {
		p.stop(present)
	} else if p.total == p.ready && p.total >= target {
		p.replace(present)
	}
}

// orderFloors orders what the rules say is the least of a failure domain.
func (p *planner) orderFloors(present float64) {
	for _, d := range p.domains {
		least := max(d.rule.MinServers, d.rule.MinPrefill+d.rule.MinDecode)
		for d.servers < least && p.mayOrder(d) {
			p.orderIn(d, p.classFor(d, present), "floor of the failure domain")
		}
	}
}

// order orders one server in the failure domain that suits best.
func (p *planner) order(present float64, reason string) bool {
	best, class := p.cheapest(present)
	if best == nil {
		return false
	}
	p.orderIn(best, class, reason)
	return true
}

// cheapest returns the failure domain for the next order: one that may have a
// reclaimable server if there is any, and of these the one with the fewest
// servers of the class, so that a reclaim takes as few as possible.
func (p *planner) cheapest(present float64) (*domain, config.CapacityClass) {
	var best *domain
	class := config.ClassStandard
	for _, d := range p.domains {
		if !p.mayOrder(d) {
			continue
		}
		c := p.classFor(d, present)
		switch {
		case best == nil,
			c == config.ClassReclaimable && class != c,
			c == class && c == config.ClassReclaimable && d.reclaimable < best.reclaimable,
			c == class && c == config.ClassStandard && d.servers < best.servers:
			best, class = d, c
		}
	}
	return best, class
}

// mayOrder reports whether the failure domain may have one server more.
func (p *planner) mayOrder(d *domain) bool { return d.hasRule && d.servers < d.rule.MaxServers }

// classFor returns the class that the next server of a failure domain may have.
func (p *planner) classFor(d *domain, present float64) config.CapacityClass {
	allowed := d.reclaimable < d.rule.MaxReclaimable && !p.view.Unavailable[d.name] &&
		p.view.Rates.ReclaimablePrice > 0 && p.view.Rates.ReclaimablePrice < 1
	if allowed && absorbs(d.reclaimable+1, p.ready, present) {
		return config.ClassReclaimable
	}
	return config.ClassStandard
}

// absorbs reports whether the ready servers serve the present demand after a
// failure domain has lost its reclaimable ones. Servers that are still starting
// count as reclaimable but not as ready.
func absorbs(reclaimable, ready int, present float64) bool {
	return float64(ready-min(reclaimable, ready)) >= present
}

func (p *planner) orderIn(d *domain, class config.CapacityClass, reason string) {
	demand := p.need(p.view.Demand.Slow(p.now.Add(p.view.Rates.Start)))
	prefill, decode := p.roleCapacity(demand)
	for _, other := range p.domains {
		prefill += float64(other.startingPrefill)
		decode += float64(other.startingDecode)
	}
	role := config.RoleDecode
	switch {
	case p.unsplit():
		role = config.RoleMixed
	case d.prefill+d.startingPrefill < d.rule.MinPrefill:
		role = config.RolePrefill
	case d.decode+d.startingDecode < d.rule.MinDecode:
	case demand.prefill*max(1, decode) > demand.decode*max(1, prefill):
		role = config.RolePrefill
	}
	d.servers++
	d.addStarting(role)
	p.total++
	if class == config.ClassReclaimable {
		d.reclaimable++
	}
	p.orders = append(p.orders, Action{Kind: Order, FailureDomain: d.name, Class: class, Role: role, Reason: reason})
}

// unsplit reports whether the pool has only mixed servers, and no floor for a
// role.
func (p *planner) unsplit() bool {
	mixed := 0
	for _, d := range p.domains {
		if d.prefill+d.decode > 0 || d.rule.MinPrefill+d.rule.MinDecode > 0 {
			return false
		}
		mixed += d.mixed
	}
	return mixed > 0
}

// orderForReclaim orders standard servers where the loss of the reclaimable
// servers of one failure domain could no longer be absorbed, for example
// because the demand has grown. The new ones go to other failure domains.
func (p *planner) orderForReclaim(present float64) {
	for _, lost := range p.domains {
		if lost.reclaimable == 0 {
			continue
		}
		for float64(p.total-lost.reclaimable) < present {
			var best *domain
			for _, d := range p.domains {
				if d != lost && p.mayOrder(d) && (best == nil || d.servers < best.servers) {
					best = d
				}
			}
			if best == nil {
				break
			}
			p.orderIn(best, config.ClassStandard, "a reclaim of "+lost.name+" could not be absorbed")
		}
	}
}

// stop stops one server: a standard one if the rest can still absorb a reclaim,
// and a reclaimable one otherwise. One at a time, so that the effect shows in
// the demand before the next.
func (p *planner) stop(present float64) {
	if p.total != p.ready {
		return
	}
	for _, class := range []config.CapacityClass{config.ClassStandard, config.ClassReclaimable} {
		best, bestScore := -1, math.Inf(-1)
		for i, s := range p.view.Servers {
			if s.State != Running || p.touched[i] || classOf(s) != class || !p.mayStop(s, present) {
				continue
			}
			// The role that needs it least gives a server up, and the failure
			// domain with the most servers.
			score := float64(p.byName[s.FailureDomain].servers) - float64(s.Streams)/1000 - stopRoleWeight*p.stopDelay(s.Role)
			if score > bestScore {
				best, bestScore = i, score
			}
		}
		if best >= 0 {
			p.stopServer(best, "more servers than the forecast needs")
			return
		}
	}
}

// stopRoleWeight weighs the delay that a stop adds, in engine-seconds a second,
// against the number of servers in the failure domain.
const stopRoleWeight = 10

// stopDelay is the delay that a server less of the role adds.
func (p *planner) stopDelay(role config.Role) float64 {
	demand := p.need(p.view.Demand.Fast(p.now))
	prefill, decode := p.roleCapacity(demand)
	switch role {
	case config.RolePrefill:
		return delay(demand.prefill, prefill-1) - delay(demand.prefill, prefill)
	case config.RoleDecode:
		return delay(demand.decode, decode-1) - delay(demand.decode, decode)
	}
	return 0
}

func classOf(s Server) config.CapacityClass {
	if s.Class == "" {
		return config.ClassStandard
	}
	return s.Class
}

// mayStop reports whether the floors hold and a reclaim can be absorbed without
// the server.
func (p *planner) mayStop(s Server, present float64) bool {
	d := p.byName[s.FailureDomain]
	if d.servers <= d.rule.MinServers || !d.mayLose(s.Role) {
		return false
	}
	for _, lost := range p.domains {
		reclaimable := lost.reclaimable
		if lost == d && classOf(s) == config.ClassReclaimable {
			reclaimable--
		}
		if reclaimable > 0 && !absorbs(reclaimable, p.ready-1, present) {
			return false
		}
	}
	return float64(p.ready-1) >= present
}

func (p *planner) stopServer(i int, reason string) {
	s := p.view.Servers[i]
	d := p.byName[s.FailureDomain]
	p.touched[i] = true
	d.servers--
	d.ready--
	d.addRole(s.Role, -1)
	p.total--
	p.ready--
	if classOf(s) == config.ClassReclaimable {
		d.reclaimable--
	}
	p.stops = append(p.stops, Action{Kind: Stop, Server: s.Name, FailureDomain: s.FailureDomain, Class: classOf(s), Role: s.Role, Reason: reason})
}

// replace orders one reclaimable server where a standard one could be stopped
// afterwards. The stop follows when the new server is ready.
func (p *planner) replace(present float64) {
	best, class := p.cheapest(present)
	if best == nil || class != config.ClassReclaimable {
		return
	}
	for i, s := range p.view.Servers {
		if s.State == Running && !p.touched[i] && classOf(s) == config.ClassStandard && p.mayStop(s, present) {
			p.orderIn(best, class, "replaces a standard server")
			return
		}
	}
}
