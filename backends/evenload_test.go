package backends

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/capacity"
)

// evenLoadTable makes TestEvenLoadTable print the comparison of docs/design/even-load.md.
var evenLoadTable = flag.Bool("evenload.table", false, "print the table of the options for even load")

const (
	// simStep is the resolution of the simulation, simTime its length and simWarmup the time
	// that is not measured.
	simStep, simTime, simWarmup = 10 * time.Millisecond, 20 * time.Second, 10 * time.Second
	// simEvents is the number of events of a stream. simEventMillis and simRequestMillis are
	// the time of one event and what each running request adds; simCallMillis is the time of
	// a call of a plain service with simSlots slots.
	simEvents, simEventMillis, simRequestMillis = 27, 42.0, 1.5
	simCallMillis, simSlots                     = 120.0, 6
	// simStreams and simShare are the mean requests of an engine, and the busy share of slots
	// of a plain server.
	simStreams, simShare = 6.0, 0.6
)

// simCase is one deployment and one way to choose.
type simCase struct {
	nodes, servers int
	engines        bool
	// age is how old the loads of other nodes and the reports of servers are.
	age time.Duration
	// event is "", "burst", "return" (a server comes back empty) or "loss" (of half of the nodes).
	event  string
	policy simPolicy
}

// simPolicy is a way to choose.
type simPolicy struct {
	name string
	// oracle chooses by the present state of all servers; twoChoices offers two servers drawn
	// at random to the choice.
	oracle, twoChoices bool
	// unstated means that the servers don't state their speed.
	unstated bool
	// seen is what is seen of the other nodes: the "cell", "all", or the cell "scaled" to all.
	seen string
	// draw is Balancer.unseenShare. shared means that the nodes of a cell tell each other the
	// stated speeds.
	draw   float64
	shared bool
}

// simServer is a server. Its requests progress by their share of work in each step.
type simServer struct {
	id       string
	slowdown float64
	requests []*simRequest
	// history holds the requests in progress of each cell in each step.
	history [][]int32
	load    float64
}

type simRequest struct {
	node    *simNode
	choice  *Choice
	arrived time.Time
	// left is the remaining work, in events of a stream or as a share of a call.
	left float64
}

// simulation is a deployment in virtual time. Only the choices are the product's code.
type simulation struct {
	simCase
	rng     *rand.Rand
	now     time.Time
	step    int
	nodes   []*simNode
	servers []*simServer
	byHash  map[uint64]*simServer
	delays  []float64
	ratios  []float64
	cvs     []float64
	// chosen, far and failed count the choices, those in another failure domain and the errors.
	chosen, far, failed int
}

// simNode is a node; it is the PeerLoad of its balancer.
type simNode struct {
	sim      *simulation
	cell     Cell
	balancer *Balancer
	registry *Registry
}

// Load implements PeerLoad with loads of the past.
func (n *simNode) Load(server uint64) (int64, int64) {
	sim, s := n.sim, n.sim.byHash[server]
	at := sim.step - int(sim.age/simStep)
	if at < 0 {
		return 0, 0
	}
	counts := s.history[at]
	all := int32(0)
	for _, c := range counts {
		all += c
	}
	own := n.registry.View().byID[s.id].stats.inflight.Load()
	cell := max(0, int64(counts[n.cell.Index])-own)
	switch {
	case sim.policy.seen == "all":
		return max(cell, int64(all)), 0
	case sim.policy.seen == "scaled":
		return cell * int64(n.cell.Count), 0
	}
	return cell, 0
}

// PeerCount implements PeerLoad.
func (n *simNode) PeerCount() int { return len(n.sim.nodes) - 1 }

func newSimulation(c simCase) *simulation {
	sim := &simulation{simCase: c, rng: rand.New(rand.NewPCG(7, uint64(c.nodes))), now: time.Now(), byHash: map[uint64]*simServer{}}
	var registrations []Registration
	const domains = 3
	for i := range c.servers {
		r := Registration{ID: fmt.Sprint("s", i), Service: "s", FailureDomain: fmt.Sprint(min(i%(domains+1), domains-1)), Slots: simSlots}
		if c.engines {
			r.Role, r.Slots = RoleDecode, 64
		}
		registrations = append(registrations, r)
		sim.servers = append(sim.servers, &simServer{id: r.ID, slowdown: 0.7 + 1.0*float64(i)/float64(max(1, c.servers-1))})
	}
	for i := range c.nodes {
		n := &simNode{sim: sim, cell: CellOf(i, c.nodes), registry: NewRegistry()}
		n.registry.Replace(registrations)
		n.balancer = NewBalancer(n.registry, fmt.Sprint(i%domains), n, func() Cell { return n.cell }, func() {})
		n.balancer.unseenShare = c.policy.draw
		sim.nodes = append(sim.nodes, n)
	}
	for _, s := range sim.servers {
		sim.byHash[sim.nodes[0].registry.View().byID[s.id].Hash] = s
	}
	return sim
}

// run simulates the whole time.
func (sim *simulation) run() *simulation {
	capacityPerSecond := 0.0
	for _, s := range sim.servers {
		if sim.engines {
			capacityPerSecond += simStreams / (simEvents * (simEventMillis + simRequestMillis*simStreams) * s.slowdown / 1000)
		} else {
			capacityPerSecond += simShare * simSlots / (simCallMillis * s.slowdown / 1000)
		}
	}
	pending := 0.0
	for sim.step = 0; sim.step < int(simTime/simStep); sim.step++ {
		middle := sim.step == int(simTime/simStep)/2
		rate := capacityPerSecond
		switch {
		case sim.event == "burst" && sim.step > int(simTime/simStep)/2 && sim.step < int(simTime/simStep)*3/4:
			rate *= 1.6
		case sim.event == "return" && middle:
			sim.restart(sim.servers[0])
		case sim.event == "loss" && middle:
			sim.nodes = sim.nodes[:len(sim.nodes)/2]
		}
		for pending += rate * simStep.Seconds() * 2 * sim.rng.Float64(); pending >= 1; pending-- {
			sim.arrive()
		}
		for _, s := range sim.servers {
			sim.advance(s)
		}
		if sim.step >= int(simWarmup/simStep) {
			sim.measure()
		}
		sim.now = sim.now.Add(simStep)
	}
	return sim
}

// restart ends all requests of a server, which comes back empty.
func (sim *simulation) restart(s *simServer) {
	for _, r := range s.requests {
		r.choice.Done()
	}
	s.requests = nil
}

// arrive sends a request through a random node.
func (sim *simulation) arrive() {
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	criteria := &Criteria{Service: "s", TimeLeft: 8 * time.Second}
	if sim.engines {
		criteria.Prompt, criteria.Prefilled, criteria.HandleDomain = &Prompt{Tokens: 100}, true, fmt.Sprint(sim.rng.IntN(3))
		criteria.TargetPause, criteria.TargetLatency = 200*time.Millisecond, 400*time.Millisecond
	}
	only := []*simServer(nil)
	switch {
	case sim.policy.oracle:
		only = []*simServer{slices.MinFunc(sim.servers, func(a, b *simServer) int {
			return cmp.Compare(float64(len(a.requests)+1)*a.slowdown, float64(len(b.requests)+1)*b.slowdown)
		})}
	case sim.policy.twoChoices:
		i, j := sim.rng.IntN(len(sim.servers)), sim.rng.IntN(len(sim.servers)-1)
		if j >= i {
			j++
		}
		only = []*simServer{sim.servers[i], sim.servers[j]}
	}
	if only != nil {
		for _, s := range sim.servers {
			if !slices.Contains(only, s) {
				criteria.Excluded = append(criteria.Excluded, s.id)
			}
		}
	}
	choice, err := n.balancer.Choose(sim.now, criteria)
	if err != nil {
		sim.failed++
		return
	}
	s := sim.byHash[choice.Server.Hash]
	sim.chosen++
	if choice.Server.FailureDomain != n.balancer.failureDomain {
		sim.far++
	}
	work := 1.0
	if sim.engines {
		work = simEvents
		sim.report(n, choice, s)
		choice.Event(sim.now)
	}
	s.requests = append(s.requests, &simRequest{n, choice, sim.now, work})
}

// report delivers what the server states with an answer.
func (sim *simulation) report(from *simNode, c *Choice, s *simServer) {
	at := sim.step - int(sim.age/simStep)
	r := capacity.Report{Slots: c.Server.Slots}
	if at >= 0 {
		for _, n := range s.history[at] {
			r.Running += int(n)
		}
	}
	if !sim.policy.unstated {
		r.SlowdownPercent = int(100 * s.slowdown * (0.8 + 0.4*sim.rng.Float64()))
	}
	c.Server.RecordReport(sim.now, r)
	for _, n := range sim.nodes {
		if sim.policy.shared && n.cell == from.cell && n != from {
			n.registry.View().byID[s.id].RecordPeerStatement(sim.now, r.SlowdownPercent)
		}
	}
}

// advance lets a server work for one step.
func (sim *simulation) advance(s *simServer) {
	counts := make([]int32, sim.nodes[0].cell.Count)
	for _, r := range s.requests {
		counts[r.node.cell.Index]++
	}
	s.history = append(s.history, counts)
	s.load += float64(len(s.requests)) * s.slowdown
	stepMillis := float64(simStep / time.Millisecond)
	millis, slots := simCallMillis*s.slowdown, simSlots
	if sim.engines {
		millis, slots = (simEventMillis+simRequestMillis*float64(len(s.requests)))*s.slowdown, 64
	}
	kept := s.requests[:0]
	for i, r := range s.requests {
		if i < slots {
			before := r.left
			r.left -= stepMillis / millis
			if sim.engines && math.Ceil(r.left) < math.Ceil(before) {
				r.choice.Event(sim.now)
			}
		}
		if r.left > 0 {
			kept = append(kept, r)
			continue
		}
		if !sim.engines {
			sim.report(r.node, r.choice, s)
		}
		r.choice.Done()
		if sim.step >= int(simWarmup/simStep) {
			sim.delays = append(sim.delays, float64(sim.now.Sub(r.arrived)/time.Millisecond))
		}
	}
	s.requests = kept
}

// measure records the variation among servers over 100 ms, and the busiest over 1 s.
func (sim *simulation) measure() {
	window := int(100 * time.Millisecond / simStep)
	if sim.step%window != 0 {
		return
	}
	sum, squares, most := 0.0, 0.0, 0.0
	for _, s := range sim.servers {
		load := s.load
		s.load = 0
		sum, squares, most = sum+load, squares+load*load, max(most, load)
	}
	mean := sum / float64(len(sim.servers))
	sim.ratios = append(sim.ratios, most/mean)
	sim.cvs = append(sim.cvs, math.Sqrt(max(0, squares/float64(len(sim.servers))-mean*mean))/mean)
}

// results returns the mean ratio of the busiest server to the mean, the mean coefficient of
// variation, and the 99th percentile of the delay in milliseconds.
func (sim *simulation) results() (ratio, cv, p99 float64) {
	slices.Sort(sim.delays)
	return average(sim.ratios), average(sim.cvs), sim.delays[len(sim.delays)*99/100]
}

// String returns the case without the variants of the choice.
func (c simCase) String() string {
	return fmt.Sprintf("engines=%v nodes=%d servers=%d age=%v event=%q %s:", c.engines, c.nodes, c.servers, c.age, c.event, c.policy.name)
}

// String returns the results.
func (sim *simulation) String() string {
	ratio, cv, p99 := sim.results()
	return fmt.Sprintf("ratio %.2f cv %.2f p99 %.0f far %.2f failed %d", ratio, cv, p99, float64(sim.far)/float64(sim.chosen), sim.failed)
}

func average(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// simPolicies are the compared ways to choose.
var simPolicies = []simPolicy{
	{name: "3bc0410", unstated: true},
	{name: "speed"},
	{name: "two", twoChoices: true},
	{name: "all", seen: "all"},
	{name: "scaled", seen: "scaled"},
	{name: "draw 1", draw: 1},
	{name: "draw 2", draw: 2},
	{name: "shared", shared: true},
	{name: "shared, two", shared: true, twoChoices: true},
	{name: "shared, draw .5", shared: true, draw: 0.5},
	{name: "shared, draw 1", shared: true, draw: 1},
	{name: "shared, draw 2", shared: true, draw: 2},
	{name: "shared, draw 3", shared: true, draw: 3},
	{name: "shared, all, draw 2", shared: true, seen: "all", draw: 2},
	{name: "oracle", oracle: true},
}

// TestServersAreLoadedEvenly guards against many nodes that choose the same server because they
// know the same outdated load, also in a burst, when a server comes back empty and when half of the nodes are gone.
// It compares the sums over these cases with and without the draw.
func TestServersAreLoadedEvenly(t *testing.T) {
	is := is.New(t)
	var variation, delay [2]float64
	for _, c := range []simCase{
		{nodes: 67, servers: 5, age: 200 * time.Millisecond}, {nodes: 87, servers: 4, age: time.Second, event: "burst"},
		{nodes: 195, servers: 12, age: 3 * time.Second}, {nodes: 195, servers: 12, age: time.Second, event: "return"},
		{nodes: 195, servers: 12, age: time.Second, event: "loss"}, {nodes: 67, servers: 30, engines: true, age: time.Second},
	} {
		for i, draw := range []float64{0, unseenShare} {
			c.policy = simPolicy{name: fmt.Sprint("draw ", draw), draw: draw, shared: true}
			sim := newSimulation(c).run()
			t.Log(c, sim)
			_, cv, p99 := sim.results()
			variation[i] += cv
			delay[i] += p99
		}
	}
	is.True(variation[1] < 0.75*variation[0])
	is.True(delay[1] < 0.9*delay[0])
}

// TestEvenLoadTable prints the table of docs/design/even-load.md.
func TestEvenLoadTable(t *testing.T) {
	if !*evenLoadTable {
		t.Skip("run with -evenload.table")
	}
	for _, engines := range []bool{true, false} {
		for _, size := range []struct{ nodes, engines, plain int }{{7, 6, 3}, {67, 30, 5}, {87, 30, 4}, {195, 100, 12}, {490, 700, 40}} {
			for _, age := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
				for _, event := range []string{"", "burst", "return", "loss"} {
					if event != "" && age != time.Second {
						continue
					}
					for _, p := range simPolicies {
						c := simCase{nodes: size.nodes, servers: size.plain, engines: engines, age: age, event: event, policy: p}
						if engines {
							c.servers = size.engines
						}
						if c.servers > 500 && (p.twoChoices || p.oracle || event != "") {
							continue // the test's own lists are too slow
						}
						fmt.Println(c, newSimulation(c).run())
					}
				}
			}
		}
	}
}
