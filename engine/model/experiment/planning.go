package experiment

import (
	"time"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine/model"
	"github.com/figweir/figweir/plan"
)

// maxDecodeTokensPerSecond is the output of an engine with the largest batch that
// still meets the objective for the time between tokens: 36 streams at 30 ms.
const maxDecodeTokensPerSecond = 1200.0

// plannerRates are the rates that the planner assumes for an engine within the
// objectives. They are lower than the full rates, because prompts wait for each other
// and batch sizes vary.
var plannerRates = plan.Rates{
	PrefillTokensPerSecond: 0.6 * model.DefaultConfig.PrefillTokensPerSecond, DecodeTokensPerSecond: 0.8 * maxDecodeTokensPerSecond,
	RoleChangeTime: model.DefaultConfig.RoleChangeTime, CacheRefillTime: 8 * time.Second, StartupTime: startupTime, Headroom: 0.2, ReclaimablePrice: reclaimablePrice,
}

// rules returns rules that allow each failure domain about a third more servers than
// it has at the start.
func (sim *simulation) rules() []config.Rule {
	var out []config.Rule
	perDomain := (sim.deployment.Engines + sim.deployment.Domains - 1) / sim.deployment.Domains
	for i := range sim.deployment.Domains {
		out = append(out, config.Rule{
			Pool: poolName, FailureDomain: domainName(i), MinServers: 2, MaxServers: perDomain + 2,
			MaxReclaimable: perDomain / 2, MinPrefill: 1, MinDecode: 1,
		})
	}
	return out
}

// runPlanner records the demand since its last run and applies the actions that the
// planner returns. The planner takes no action in the first 30 s.
func (sim *simulation) runPlanner() {
	sim.demand.Observe(sim.virtualTime(), plan.Tokens{Prefill: sim.requestedTokens.Prefill / planInterval.Seconds(), Decode: sim.requestedTokens.Decode / planInterval.Seconds()})
	sim.requestedTokens = plan.Tokens{}
	if !sim.variant.Planner || sim.now < 30*time.Second {
		return
	}
	view := &plan.View{Pool: poolName, Demand: sim.demand, Rates: plannerRates, Rules: sim.rules()}
	for _, name := range sim.serverNames {
		if s := sim.servers[name]; s != nil {
			view.Servers = append(view.Servers, plan.Server{
				Name: s.name, FailureDomain: s.failureDomain, Role: s.targetRole, Class: s.class, State: s.state, Streams: s.engine.Load().Streams,
			})
		}
	}
	for _, a := range plan.Plan(view, sim.virtualTime()) {
		sim.apply(a)
	}
}

func (sim *simulation) apply(a plan.Action) {
	switch a.Kind {
	case plan.ChangeRole:
		sim.result.RoleChanges++
		s := sim.servers[a.Server]
		s.state, s.targetRole = plan.Changing, a.Role
		sim.updateRegistrations()
		// The server gets requests until the notice has reached all nodes.
		sim.scheduleAt(sim.now+2*noticeLag, s.applyPendingChange)
	case plan.Stop:
		sim.result.Stops++
		s := sim.servers[a.Server]
		s.state = plan.Stopping
		sim.updateRegistrations()
		sim.scheduleAt(sim.now+2*noticeLag, s.applyPendingChange)
	case plan.Order:
		sim.result.Orders++
		s := sim.startServer(a.FailureDomain, a.Role, a.Class)
		s.state = plan.Starting
		sim.scheduleAt(sim.now+startupTime, func() {
			if s.state == plan.Starting {
				s.state = plan.Running
				sim.updateRegistrations()
			}
		})
	}
}

// reclaim stops all reclaimable servers of the failure domain that has the most of
// them, after reclaimNoticePeriod.
func (sim *simulation) reclaim() {
	reclaimable := make(map[string]int)
	domain := ""
	for _, name := range sim.serverNames {
		if s := sim.servers[name]; s != nil && s.class == config.ClassReclaimable {
			reclaimable[s.failureDomain]++
			if reclaimable[s.failureDomain] > reclaimable[domain] {
				domain = s.failureDomain
			}
		}
	}
	sim.result.Reclaimed = reclaimable[domain]
	for _, name := range sim.serverNames {
		s := sim.servers[name]
		if s == nil || s.class != config.ClassReclaimable || s.failureDomain != domain {
			continue
		}
		s.state = plan.Stopping
		sim.scheduleAt(sim.now+reclaimNoticePeriod, func() { sim.removeServer(s) })
	}
	sim.updateRegistrations()
}
