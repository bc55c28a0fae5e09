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

// Variant is a combination of policies.
type Variant struct {
	Name string
	// Policy returns the routing policy of one node.
	Policy func(seed uint64) route.Policy
	// Admission turns fair shares and early refusals on; without it every call
	// is sent at once.
	Admission bool
	// Planner turns role changes, orders and stops on.
	Planner bool
	// Mixed gives all engines the mixed role.
	Mixed bool
}

// Window is a part of a run.
type Window int

// The windows of a run.
const (
	Before Window = iota
	During
	After
	Reclaim
	windows
)

// Run holds the results of one run.
type Run struct {
	// Offered and Good count calls and answers within the objectives by window
	// of arrival and by workspace.
	Offered, Good [windows][]int

	RoleChanges, Orders, Stops int
	// ServerSeconds counts all servers, Spending weighs them by price.
	ServerSeconds, Spending float64
	// Reclaimed servers were lost with their failure domain.
	Reclaimed int

	schedule              Schedule
	work, reclaimableWork float64
	refused, lost         int
	cut, lostAfterCut     int
	finished              int
	// prompts and prefilled are prompt tokens sent to engines and processed.
	prompts, prefilled int
	first, between     []time.Duration
}

// Simulate runs one variant on the arrivals of a seed.
func Simulate(size Size, schedule Schedule, v Variant, seed uint64) *Run {
	r := &Run{schedule: schedule}
	for w := range windows {
		r.Offered[w], r.Good[w] = make([]int, size.Workspaces), make([]int, size.Workspaces)
	}
	f := &fleet{
		size: size, schedule: schedule, variant: v, random: rand.New(rand.NewPCG(seed, 99)),
		servers: make(map[string]*server), calls: make(map[uint64]*inflight), demand: plan.NewDemand(), result: r,
	}
	for i := range size.Engines {
		role := config.RoleDecode
		switch {
		case v.Mixed:
			role = config.RoleMixed
		case i < size.Prefill:
			role = config.RolePrefill
		}
		// One reclaimable server per failure domain at the start.
		class := config.ClassStandard
		if i >= size.Engines-size.Domains {
			class = config.ClassReclaimable
		}
		f.start(domainName(i%size.Domains), role, class)
	}
	for i := range nodes {
		f.startNode(i, seed)
	}
	f.every(planEvery, func() {
		f.runPlanner()
		for _, n := range f.nodes {
			n.setCapacity()
		}
	})
	f.at(schedule.Reclaim, f.reclaim)
	for _, a := range Arrivals(size, schedule, seed) {
		n := f.nodes[f.random.IntN(nodes)]
		f.at(a.At, func() { n.arrive(a) })
	}
	f.loop()
	for _, name := range f.names {
		if s := f.servers[name]; s != nil {
			f.account(s)
		}
	}
	return r
}

func (f *fleet) startNode(i int, seed uint64) {
	name := fmt.Sprintf("node-%d", i)
	n := &node{
		fleet: f, domain: domainName(i % f.size.Domains), tracker: route.NewTracker(poolName, name, blockTokens),
		policy: f.variant.Policy(seed<<8 + uint64(i)), controller: admit.NewController(admit.Options{}), meanOutput: meanOutputTokens,
	}
	n.register()
	n.setCapacity()
	f.nodes = append(f.nodes, n)
	f.every(publishEvery, func() { n.tracker.Publish(f.clock()) })
}

// window returns the window of a time; false during the warm-up.
func (r *Run) window(at time.Duration) (Window, bool) {
	s := r.schedule
	switch {
	case at < s.WarmUp:
		return 0, false
	case at < s.ShiftBegin:
		return Before, true
	case at < s.ShiftEnd:
		return During, true
	case at < s.Reclaim:
		return After, true
	}
	return Reclaim, true
}

func (r *Run) offer(a Arrival) {
	if w, ok := r.window(a.At); ok {
		r.Offered[w][a.Workspace]++
	}
}

func (r *Run) finish(a Arrival, first, between time.Duration) {
	r.finished++
	r.first = append(r.first, first)
	r.between = append(r.between, between)
	if w, ok := r.window(a.At); ok && first <= firstTokenTarget && between <= betweenTokensTarget {
		r.Good[w][a.Workspace]++
	}
}

// Goodput is the number of good answers per second in a window.
func (r *Run) Goodput(w Window) float64 {
	s := r.schedule
	lengths := [windows]time.Duration{s.ShiftBegin - s.WarmUp, s.ShiftEnd - s.ShiftBegin, s.Reclaim - s.ShiftEnd, s.End - s.Reclaim}
	return float64(sum(r.Good[w])) / lengths[w].Seconds()
}

// GoodShare is the share of the calls of a window with a good answer.
func (r *Run) GoodShare(w Window) float64 {
	return float64(sum(r.Good[w])) / float64(max(1, sum(r.Offered[w])))
}

// WorstWorkspace is the least goodput of a workspace relative to its fair share
// of all good answers up to the reclaim: what it would have if the same number
// were divided equally, with no workspace getting more than it asked for.
func (r *Run) WorstWorkspace() float64 {
	n := len(r.Good[Before])
	offered, good := make([]float64, n), make([]float64, n)
	total := 0.0
	for _, w := range []Window{Before, During, After} {
		for i := range n {
			offered[i] += float64(r.Offered[w][i])
			good[i] += float64(r.Good[w][i])
			total += float64(r.Good[w][i])
		}
	}
	worst := 1e9
	for i, fair := range fairShares(offered, total) {
		if fair > 0 {
			worst = min(worst, good[i]/fair)
		}
	}
	return worst
}

// fairShares divides a total equally, but gives nobody more than was asked for.
func fairShares(asked []float64, total float64) []float64 {
	out := make([]float64, len(asked))
	order := make([]int, len(asked))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if asked[a] < asked[b] {
			return -1
		}
		return 1
	})
	for n, i := range order {
		out[i] = min(asked[i], total/float64(len(order)-n))
		total -= out[i]
	}
	return out
}

// ReclaimableShare is the share of the work done on reclaimable servers.
func (r *Run) ReclaimableShare() float64 { return r.reclaimableWork / max(1, r.work) }

// Refused, Cut and Lost count calls: refused before they were sent, moved to
// another server because theirs was reclaimed, and without an answer after that.
func (r *Run) Refused() int { return r.refused }

// Cut returns the calls that were moved from a reclaimed server.
func (r *Run) Cut() int { return r.cut }

// Finished returns the calls with a whole answer, good or not.
func (r *Run) Finished() int { return r.finished }

// Lost returns the calls that got no whole answer after they had been sent.
func (r *Run) Lost() int { return r.lost }

// Quantiles returns the q-quantiles of the time to the first token and of the
// mean time between tokens, over all whole answers.
func (r *Run) Quantiles(q float64) (first, between time.Duration) {
	return quantile(r.first, q), quantile(r.between, q)
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
