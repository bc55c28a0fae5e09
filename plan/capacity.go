package plan

import (
	"math"

	"github.com/figweir/figweir/config"
)

// stopMargin is the number of servers kept above the required number. Stopping
// a server and ordering it again wastes the startup time twice.
const stopMargin = 1

// planCapacity orders servers for the forecast demand and for the minimums of
// the rules, uses reclaimable capacity as long as the loss of one failure
// domain's reclaimable servers can be absorbed, and stops servers that neither
// the forecast nor the recent demand requires.
func (p *planner) planCapacity() {
	demand := &p.view.Demand
	ready := p.now.Add(p.view.Rates.StartupTime)
	// The current demand must still be served after a reclaim. The number of
	// servers to order depends on the forecast for the time at which a server
	// ordered now becomes ready.
	currentDemand := p.toEngines(demand.FastForecast(p.now)).total()
	forecastDemand := max(currentDemand, p.toEngines(demand.SlowForecast(ready)).total(), p.toEngines(demand.SlowForecast(p.now)).total())
	target := int(math.Ceil(forecastDemand * (1 + p.view.Rates.Headroom)))

	p.orderMinimums(currentDemand)
	for p.totalServers < target && p.orderServer(currentDemand, "demand forecast") {
	}
	p.orderForReclaim(currentDemand)
	if len(p.orderActions) > 0 {
		return
	}
	needed := target
	for _, tokens := range demand.RecentLevels() {
		needed = max(needed, int(math.Ceil(p.toEngines(tokens).total())))
	}
	if p.totalServers > needed+stopMargin {
		p.stopSurplus(currentDemand)
	} else if p.totalServers == p.readyServers && p.totalServers >= target {
		p.replaceStandard(currentDemand)
	}
}

// orderMinimums orders servers until each failure domain has the minimum that
// its rule requires.
func (p *planner) orderMinimums(currentDemand float64) {
	for _, d := range p.domains {
		minServers := max(d.rule.MinServers, d.rule.MinPrefill+d.rule.MinDecode)
		for d.servers < minServers && p.mayOrder(d) {
			p.orderIn(d, p.nextClass(d, currentDemand), "minimum of the failure domain")
		}
	}
}

// orderServer orders one server in the failure domain that cheapestDomain
// selects. It reports false if no failure domain allows another server.
func (p *planner) orderServer(currentDemand float64, reason string) bool {
	best, class := p.cheapestDomain(currentDemand)
	if best == nil {
		return false
	}
	p.orderIn(best, class, reason)
	return true
}

// cheapestDomain returns the failure domain and the class of the next order. It
// prefers domains that allow a reclaimable server, and among those of one class
// the one with the fewest (reclaimable) servers, so that a single reclaim
// removes as few servers as possible.
func (p *planner) cheapestDomain(currentDemand float64) (*domain, config.CapacityClass) {
	var best *domain
	class := config.ClassStandard
	for _, d := range p.domains {
		if !p.mayOrder(d) {
			continue
		}
		c := p.nextClass(d, currentDemand)
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

// mayOrder reports whether the rule of the failure domain allows another
// server.
func (p *planner) mayOrder(d *domain) bool { return d.hasRule && d.servers < d.rule.MaxServers }

// nextClass returns the capacity class for the next server of a failure domain.
func (p *planner) nextClass(d *domain, currentDemand float64) config.CapacityClass {
	allowed := d.reclaimable < d.rule.MaxReclaimable && !p.view.Unavailable[d.name] &&
		p.view.Rates.ReclaimablePrice > 0 && p.view.Rates.ReclaimablePrice < 1
	if allowed && canAbsorbReclaim(d.reclaimable+1, p.readyServers, currentDemand) {
		return config.ClassReclaimable
	}
	return config.ClassStandard
}

// canAbsorbReclaim reports whether the ready servers can serve the current
// demand after a failure domain loses its reclaimable servers. Starting servers
// are counted as reclaimable but not as ready.
func canAbsorbReclaim(reclaimable, ready int, currentDemand float64) bool {
	return float64(ready-min(reclaimable, ready)) >= currentDemand
}

// orderIn orders one server of the class in the failure domain and selects its
// role by the minimums and the forecast demand.
func (p *planner) orderIn(d *domain, class config.CapacityClass, reason string) {
	demand := p.toEngines(p.view.Demand.SlowForecast(p.now.Add(p.view.Rates.StartupTime)))
	prefill, decode := p.roleCapacity(demand)
	for _, other := range p.domains {
		prefill += float64(other.startingPrefill)
		decode += float64(other.startingDecode)
	}
	role := config.RoleDecode
	switch {
	case p.mixedOnly():
		role = config.RoleMixed
	case d.prefill+d.startingPrefill < d.rule.MinPrefill:
		role = config.RolePrefill
	case d.decode+d.startingDecode < d.rule.MinDecode:
	case demand.prefill*max(1, decode) > demand.decode*max(1, prefill):
		role = config.RolePrefill
	}
	d.servers++
	d.addStarting(role)
	p.totalServers++
	if class == config.ClassReclaimable {
		d.reclaimable++
	}
	p.orderActions = append(p.orderActions, Action{Kind: Order, FailureDomain: d.name, Class: class, Role: role, Reason: reason})
}

// mixedOnly reports whether the pool runs only mixed servers and no rule sets a
// minimum for a role.
func (p *planner) mixedOnly() bool {
	mixed := 0
	for _, d := range p.domains {
		if d.prefill+d.decode > 0 || d.rule.MinPrefill+d.rule.MinDecode > 0 {
			return false
		}
		mixed += d.mixed
	}
	return mixed > 0
}

// orderForReclaim orders standard servers if losing the reclaimable servers of
// one failure domain can no longer be absorbed, for example after the demand
// has grown. The new servers are placed in other failure domains.
func (p *planner) orderForReclaim(currentDemand float64) {
	for _, lost := range p.domains {
		if lost.reclaimable == 0 {
			continue
		}
		for float64(p.totalServers-lost.reclaimable) < currentDemand {
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

// stopSurplus stops one server: a standard one if the remaining servers can
// still absorb a reclaim, otherwise a reclaimable one. It stops one at a time
// so that the effect on the demand is visible before the next stop.
func (p *planner) stopSurplus(currentDemand float64) {
	if p.totalServers != p.readyServers {
		return
	}
	for _, class := range []config.CapacityClass{config.ClassStandard, config.ClassReclaimable} {
		best, bestScore := -1, math.Inf(-1)
		for i, s := range p.view.Servers {
			if s.State != Running || p.inAction[i] || classOf(s) != class || !p.mayStop(s, currentDemand) {
				continue
			}
			// Prefer a server of the role whose queue grows least, in the
			// failure domain with the most servers.
			score := float64(p.byName[s.FailureDomain].servers) - float64(s.Streams)/1000 - stopDelayWeight*p.stopDelay(s.Role)
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

// stopDelayWeight weighs the delay that a stop adds, in engine-seconds per
// second, against the number of servers in the failure domain.
const stopDelayWeight = 10

// stopDelay returns the queueing delay added by removing one server of the
// role, in engine-seconds per second.
func (p *planner) stopDelay(role config.Role) float64 {
	demand := p.toEngines(p.view.Demand.FastForecast(p.now))
	prefill, decode := p.roleCapacity(demand)
	switch role {
	case config.RolePrefill:
		return queueDelay(demand.prefill, prefill-1) - queueDelay(demand.prefill, prefill)
	case config.RoleDecode:
		return queueDelay(demand.decode, decode-1) - queueDelay(demand.decode, decode)
	}
	return 0
}

// classOf returns the capacity class of a server; standard if it is not set.
func classOf(s Server) config.CapacityClass {
	if s.Class == "" {
		return config.ClassStandard
	}
	return s.Class
}

// mayStop reports whether, without the server, all minimums are still met and a
// reclaim can still be absorbed.
func (p *planner) mayStop(s Server, currentDemand float64) bool {
	d := p.byName[s.FailureDomain]
	if d.servers <= d.rule.MinServers || !d.canRemove(s.Role) {
		return false
	}
	for _, lost := range p.domains {
		reclaimable := lost.reclaimable
		if lost == d && classOf(s) == config.ClassReclaimable {
			reclaimable--
		}
		if reclaimable > 0 && !canAbsorbReclaim(reclaimable, p.readyServers-1, currentDemand) {
			return false
		}
	}
	return float64(p.readyServers-1) >= currentDemand
}

// stopServer plans to stop the server with index i of the view.
func (p *planner) stopServer(i int, reason string) {
	s := p.view.Servers[i]
	d := p.byName[s.FailureDomain]
	p.inAction[i] = true
	d.servers--
	d.readyServers--
	d.addRole(s.Role, -1)
	p.totalServers--
	p.readyServers--
	if classOf(s) == config.ClassReclaimable {
		d.reclaimable--
	}
	p.stopActions = append(p.stopActions, Action{Kind: Stop, Server: s.Name, FailureDomain: s.FailureDomain, Class: classOf(s), Role: s.Role, Reason: reason})
}

// replaceStandard orders one reclaimable server if a standard server could be
// stopped in exchange. A later plan stops the standard server when the new one
// is ready.
func (p *planner) replaceStandard(currentDemand float64) {
	best, class := p.cheapestDomain(currentDemand)
	if best == nil || class != config.ClassReclaimable {
		return
	}
	for i, s := range p.view.Servers {
		if s.State == Running && !p.inAction[i] && classOf(s) == config.ClassStandard && p.mayStop(s, currentDemand) {
			p.orderIn(best, class, "replaces a standard server")
			return
		}
	}
}
