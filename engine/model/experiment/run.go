package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figweir/figweir/admit"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/plan"
	"github.com/figweir/figweir/route"
)

const poolName = "models"

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }

// Variant is a combination of policies to simulate.
type Variant struct {
	Name string
	// NewPolicy returns a new instance of the routing policy for one node.
	NewPolicy func(seed uint64) route.Policy
	// Admission enables fair shares between workspaces and the early refusal of
	// calls that would miss their deadline. Without it every call is sent
	// immediately.
	Admission bool
	// Planner enables role changes and the starting and stopping of servers.
	Planner bool
	// MixedRoles starts all engines with the mixed role.
	MixedRoles bool
}

// Window is a part of a run for which results are reported separately.
type Window int

// Windows of a run. The warm-up belongs to none of them.
const (
	BeforeShift Window = iota
	DuringShift
	AfterShift
	AfterReclaim
	windowCount
)

// Run holds the results of one run.
type Run struct {
	// OfferedCalls counts the calls that arrived, and GoodAnswers the answers that
	// met both objectives. They are indexed by window of arrival and workspace.
	OfferedCalls, GoodAnswers [windowCount][]int

	// RoleChanges, Orders and Stops count the actions of the planner.
	RoleChanges, Orders, Stops int
	// ServerSeconds is the total running time of all servers in seconds.
	// Spending is the same, with each server weighted by its price.
	ServerSeconds, Spending float64
	// Reclaimed is the number of servers that were reclaimed.
	Reclaimed int

	schedule                                Schedule
	engineSeconds, reclaimableEngineSeconds float64
	refused, lost                           int
	interrupted, lostAfterInterruption      int
	finished                                int
	// promptTokensSent counts the prompt tokens of all jobs sent to engines, and
	// promptTokensPrefilled those that were not cached and had to be processed.
	promptTokensSent, promptTokensPrefilled int
	firstTokenTimes, betweenTokensTimes     []time.Duration
}

// Simulate runs one variant with the arrivals of a seed and returns its results.
func Simulate(deployment Deployment, schedule Schedule, v Variant, seed uint64) *Run {
	r := &Run{schedule: schedule}
	for w := range windowCount {
		r.OfferedCalls[w], r.GoodAnswers[w] = make([]int, deployment.Workspaces), make([]int, deployment.Workspaces)
	}
	sim := &simulation{
		deployment: deployment, schedule: schedule, variant: v, random: rand.New(rand.NewPCG(seed, 99)),
		servers: make(map[string]*server), callsByJob: make(map[uint64]*call), demand: plan.NewDemand(), result: r,
	}
	for i := range deployment.Engines {
		role := config.RoleDecode
		switch {
		case v.MixedRoles:
			role = config.RoleMixed
		case i < deployment.PrefillEngines:
			role = config.RolePrefill
		}
		// Each failure domain starts with one reclaimable server.
		class := config.ClassStandard
		if i >= deployment.Engines-deployment.Domains {
			class = config.ClassReclaimable
		}
		sim.startServer(domainName(i%deployment.Domains), role, class)
	}
	for i := range nodeCount {
		sim.startNode(i, seed)
	}
	sim.scheduleEvery(planInterval, func() {
		sim.runPlanner()
		for _, n := range sim.nodes {
			n.setCapacity()
		}
	})
	sim.scheduleAt(schedule.ReclaimAt, sim.reclaim)
	for _, a := range Arrivals(deployment, schedule, seed) {
		n := sim.nodes[sim.random.IntN(nodeCount)]
		sim.scheduleAt(a.At, func() { n.handleArrival(a) })
	}
	sim.runEvents()
	for _, name := range sim.serverNames {
		if s := sim.servers[name]; s != nil {
			sim.addServerTotals(s)
		}
	}
	return r
}

func (sim *simulation) startNode(i int, seed uint64) {
	name := fmt.Sprintf("node-%d", i)
	n := &node{
		sim: sim, failureDomain: domainName(i % sim.deployment.Domains), tracker: route.NewTracker(poolName, name, blockTokens),
		policy: sim.variant.NewPolicy(seed<<8 + uint64(i)), admission: admit.NewController(admit.Options{}), meanOutputTokens: meanOutputTokens,
	}
	n.updateRegistrations()
	n.setCapacity()
	sim.nodes = append(sim.nodes, n)
	sim.scheduleEvery(publishInterval, func() { n.tracker.Publish(sim.virtualTime()) })
}

// window returns the window that a time belongs to, or false during the warm-up.
func (r *Run) window(at time.Duration) (Window, bool) {
	s := r.schedule
	switch {
	case at < s.WarmUp:
		return 0, false
	case at < s.ShiftBegin:
		return BeforeShift, true
	case at < s.ShiftEnd:
		return DuringShift, true
	case at < s.ReclaimAt:
		return AfterShift, true
	}
	return AfterReclaim, true
}

func (r *Run) recordArrival(a Arrival) {
	if w, ok := r.window(a.At); ok {
		r.OfferedCalls[w][a.Workspace]++
	}
}

func (r *Run) recordAnswer(a Arrival, firstToken, betweenTokens time.Duration) {
	r.finished++
	r.firstTokenTimes = append(r.firstTokenTimes, firstToken)
	r.betweenTokensTimes = append(r.betweenTokensTimes, betweenTokens)
	if w, ok := r.window(a.At); ok && firstToken <= firstTokenTarget && betweenTokens <= betweenTokensTarget {
		r.GoodAnswers[w][a.Workspace]++
	}
}

// Goodput returns the number of good answers per second in a window.
func (r *Run) Goodput(w Window) float64 {
	s := r.schedule
	durations := [windowCount]time.Duration{s.ShiftBegin - s.WarmUp, s.ShiftEnd - s.ShiftBegin, s.ReclaimAt - s.ShiftEnd, s.End - s.ReclaimAt}
	return float64(sum(r.GoodAnswers[w])) / durations[w].Seconds()
}

// GoodRatio returns the fraction of the calls of a window that got a good answer.
func (r *Run) GoodRatio(w Window) float64 {
	return float64(sum(r.GoodAnswers[w])) / float64(max(1, sum(r.OfferedCalls[w])))
}

// WorstFairShareRatio returns the lowest ratio, over all workspaces, of the good
// answers of a workspace to its fair share of all good answers before the reclaim.
// The fair share is max-min fair: the same total divided equally, with no workspace
// getting more than it requested.
func (r *Run) WorstFairShareRatio() float64 {
	workspaces := len(r.GoodAnswers[BeforeShift])
	offered, good := make([]float64, workspaces), make([]float64, workspaces)
	total := 0.0
	for _, w := range []Window{BeforeShift, DuringShift, AfterShift} {
		for i := range workspaces {
			offered[i] += float64(r.OfferedCalls[w][i])
			good[i] += float64(r.GoodAnswers[w][i])
			total += float64(r.GoodAnswers[w][i])
		}
	}
	lowest := 1e9
	for i, fair := range maxMinFairShares(offered, total) {
		if fair > 0 {
			lowest = min(lowest, good[i]/fair)
		}
	}
	return lowest
}

// maxMinFairShares divides a total equally, but limits each share to what was
// requested and divides the rest among the others.
func maxMinFairShares(requested []float64, total float64) []float64 {
	out := make([]float64, len(requested))
	order := make([]int, len(requested))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if requested[a] < requested[b] {
			return -1
		}
		return 1
	})
	for n, i := range order {
		out[i] = min(requested[i], total/float64(len(order)-n))
		total -= out[i]
	}
	return out
}

// ReclaimableWorkRatio returns the fraction of the work, in engine-seconds, that
// reclaimable servers did.
func (r *Run) ReclaimableWorkRatio() float64 {
	return r.reclaimableEngineSeconds / max(1, r.engineSeconds)
}

// Refused returns the number of calls that were refused before they were sent.
func (r *Run) Refused() int { return r.refused }

// Interrupted returns the number of calls that were moved to another server because
// theirs was reclaimed or stopped.
func (r *Run) Interrupted() int { return r.interrupted }

// Finished returns the number of calls with a complete answer, whether or not it met
// the objectives.
func (r *Run) Finished() int { return r.finished }

// Lost returns the number of calls that were admitted but got no complete answer.
func (r *Run) Lost() int { return r.lost }

// Quantiles returns the q-quantiles of the time to the first token and of the
// mean time between tokens, over all complete answers.
func (r *Run) Quantiles(q float64) (first, between time.Duration) {
	return quantile(r.firstTokenTimes, q), quantile(r.betweenTokensTimes, q)
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}

func sum(values []int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}
