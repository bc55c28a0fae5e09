package experiment

import (
	"time"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine/model"
	"github.com/figweir/figweir/plan"
)

// decodeRate is what an engine generates with the largest batch that keeps the
// time between tokens: 36 streams at 30 ms.
const decodeRate = 1200.0

// rates are what the planner takes an engine to deliver within the objectives.
// Prompts wait for each other and batches vary, so only part of the raw rates
// counts.
var rates = plan.Rates{
	PrefillTokensPerSecond: 0.6 * model.DefaultConfig.PrefillTokensPerSecond, DecodeTokensPerSecond: 0.8 * decodeRate,
	RoleChange: model.DefaultConfig.RoleChange, CacheLoss: 8 * time.Second, Start: startTime, Headroom: 0.2, ReclaimablePrice: reclaimablePrice,
}

// rules allow each failure domain about a third more servers than at the start.
func (f *fleet) rules() []config.Rule {
	var out []config.Rule
	perDomain := (f.size.Engines + f.size.Domains - 1) / f.size.Domains
	for i := range f.size.Domains {
		out = append(out, config.Rule{
			Pool: poolName, FailureDomain: domainName(i), MinServers: 2, MaxServers: perDomain + 2,
			MaxReclaimable: perDomain / 2, MinPrefill: 1, MinDecode: 1,
		})
	}
	return out
}

// runPlanner observes the demand and carries out what the planner says.
func (f *fleet) runPlanner() {
	f.demand.Observe(f.clock(), plan.Tokens{Prefill: f.asked.Prefill / planEvery.Seconds(), Decode: f.asked.Decode / planEvery.Seconds()})
	f.asked = plan.Tokens{}
	if !f.variant.Planner || f.now < 30*time.Second {
		return
	}
	view := &plan.View{Pool: poolName, Demand: f.demand, Rates: rates, Rules: f.rules()}
	for _, name := range f.names {
		if s := f.servers[name]; s != nil {
			view.Servers = append(view.Servers, plan.Server{
				Name: s.name, FailureDomain: s.domain, Role: s.role, Class: s.class, State: s.state, Streams: s.engine.Load().Streams,
			})
		}
	}
	for _, a := range plan.Plan(view, f.clock()) {
		f.carryOut(a)
	}
}

func (f *fleet) carryOut(a plan.Action) {
	switch a.Kind {
	case plan.ChangeRole:
		f.result.RoleChanges++
		s := f.servers[a.Server]
		s.state, s.role = plan.Changing, a.Role
		f.register()
		// Requests sent before the notice has reached all nodes still arrive.
		f.at(f.now+2*noticeLag, s.settle)
	case plan.Stop:
		f.result.Stops++
		s := f.servers[a.Server]
		s.state = plan.Stopping
		f.register()
		f.at(f.now+2*noticeLag, s.settle)
	case plan.Order:
		f.result.Orders++
		s := f.start(a.FailureDomain, a.Role, a.Class)
		s.state = plan.Starting
		f.at(f.now+startTime, func() {
			if s.state == plan.Starting {
				s.state = plan.Running
				f.register()
			}
		})
	}
}

// reclaim takes all reclaimable servers of the failure domain that has the most.
func (f *fleet) reclaim() {
	count := make(map[string]int)
	worst := ""
	for _, name := range f.names {
		if s := f.servers[name]; s != nil && s.class == config.ClassReclaimable {
			count[s.domain]++
			if count[s.domain] > count[worst] {
				worst = s.domain
			}
		}
	}
	f.result.Reclaimed = count[worst]
	for _, name := range f.names {
		s := f.servers[name]
		if s == nil || s.class != config.ClassReclaimable || s.domain != worst {
			continue
		}
		s.state = plan.Stopping
		f.at(f.now+reclaimNotice, func() { f.remove(s) })
	}
	f.register()
}
