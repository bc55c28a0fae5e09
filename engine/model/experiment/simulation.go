package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine/model"
	"github.com/figweir/figweir/plan"
	"github.com/figweir/figweir/route"
)

// Delays and prices of the simulated environment.
const (
	// Engines send load reports every reportInterval; nodes receive them
	// reportLag later.
	reportInterval = 500 * time.Millisecond
	reportLag      = 500 * time.Millisecond
	// publishInterval is how often a node publishes a new view of the servers.
	publishInterval = 100 * time.Millisecond
	// cacheEventLag is the delay of cache events, and cacheEventLoss the
	// fraction of them that is lost.
	cacheEventLag  = time.Second
	cacheEventLoss = 0.05
	// noticeLag is the time until a change of the registrations, such as a
	// leaving notice, has reached all nodes.
	noticeLag = 200 * time.Millisecond
	// startupTime is the time from the order of a server until it is in service.
	startupTime = 2 * time.Minute
	// reclaimNoticePeriod is the time from the notice that servers are
	// reclaimed until they stop.
	reclaimNoticePeriod = 5 * time.Second
	// planInterval is how often the planner runs.
	planInterval = time.Second
	// blockTransferTime is the time to transfer one KV block within a failure
	// domain; see route.Weights. A transfer to another failure domain takes
	// crossDomainFactor times as long. Each transfer adds transferOverhead.
	blockTransferTime = 200 * time.Microsecond
	transferOverhead  = 2 * time.Millisecond
	crossDomainFactor = 4
	// reclaimablePrice is the price of a reclaimable server relative to a
	// standard one.
	reclaimablePrice = 0.4
	nodeCount        = 7
)

var startOfRun = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// event is a callback that is scheduled for a time. Events of the same time run in
// order of their sequence numbers.
type event struct {
	at       time.Duration
	sequence uint64
	callback func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].sequence < h[j].sequence)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1].callback = nil
	*h = old[:len(old)-1]
	return e
}

// simulation is the state of a run: the event queue, the servers, the nodes and the
// calls in progress.
type simulation struct {
	deployment Deployment
	schedule   Schedule
	variant    Variant
	random     *rand.Rand

	now          time.Duration
	events       eventHeap
	lastSequence uint64

	servers     map[string]*server
	serverNames []string // in the order in which they were started, removed ones included
	nodes       []*node
	callsByJob  map[uint64]*call
	lastJobID   uint64

	demand          plan.Demand
	requestedTokens plan.Tokens // since the last run of the planner
	result          *Run
}

// server is an engine with the attributes that the platform and the planner track.
type server struct {
	sim           *simulation
	name          string
	failureDomain string
	class         config.CapacityClass
	engine        *model.Engine
	state         plan.State
	targetRole    config.Role // set before the engine changes to it
	startedAt     time.Duration
	nextStep      time.Duration // scheduled end of a step, so that each step has only one event
}

func (sim *simulation) scheduleAt(t time.Duration, callback func()) {
	sim.lastSequence++
	heap.Push(&sim.events, event{max(t, sim.now), sim.lastSequence, callback})
}

func (sim *simulation) virtualTime() time.Time { return startOfRun.Add(sim.now) }

// scheduleEvery runs a function at regular intervals until the end of the schedule.
func (sim *simulation) scheduleEvery(interval time.Duration, action func()) {
	var repeat func()
	repeat = func() {
		action()
		if sim.now < sim.schedule.End {
			sim.scheduleAt(sim.now+interval, repeat)
		}
	}
	sim.scheduleAt(sim.now+interval, repeat)
}

// runEvents runs the events in order of time until none is left.
func (sim *simulation) runEvents() {
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.callback()
	}
}

// startServer adds an engine that is in service immediately.
func (sim *simulation) startServer(domain string, role config.Role, class config.CapacityClass) *server {
	s := &server{sim: sim, name: fmt.Sprintf("engine-%03d", len(sim.serverNames)), failureDomain: domain, class: class, state: plan.Running, targetRole: role, startedAt: sim.now}
	s.engine = model.New(model.DefaultConfig, role, s)
	sim.servers[s.name] = s
	sim.serverNames = append(sim.serverNames, s.name)
	sim.startLoadReports(s)
	return s
}

// submit passes a job to the engine and schedules the end of the engine's current
// step.
func (s *server) submit(j model.Job) error {
	err := s.engine.Submit(s.sim.now, j)
	s.scheduleStep()
	return err
}

func (s *server) scheduleStep() {
	at, ok := s.engine.NextStepEnd()
	if !ok || at == s.nextStep {
		return
	}
	s.nextStep = at
	s.sim.scheduleAt(at, func() {
		s.engine.Advance(s.sim.now)
		s.scheduleStep()
		s.applyPendingChange()
	})
}

// applyPendingChange carries out a planned role change or stop once the engine has
// no more jobs.
func (s *server) applyPendingChange() {
	if s.engine.Busy() {
		return
	}
	sim := s.sim
	switch {
	case s.state == plan.Changing && s.engine.Role() != s.targetRole:
		if s.engine.ChangeRole(sim.now, s.targetRole) == nil {
			sim.scheduleAt(sim.now+model.DefaultConfig.RoleChangeTime, func() {
				if s.state == plan.Changing {
					s.state = plan.Running
					sim.updateRegistrations()
				}
			})
		}
	case s.state == plan.Stopping:
		sim.removeServer(s)
	}
}

// removeServer stops a server and adds its spending to the totals.
func (sim *simulation) removeServer(s *server) {
	if sim.servers[s.name] == nil {
		return
	}
	sim.addServerTotals(s)
	delete(sim.servers, s.name)
	s.engine.Stop(sim.now)
	sim.updateRegistrations()
}

// addServerTotals adds the spending and the work of a server that stops now to the
// results. Work is counted in engine-seconds: the time that the tokens take at the
// full prefill and decode rates.
func (sim *simulation) addServerTotals(s *server) {
	price := 1.0
	if s.class == config.ClassReclaimable {
		price = reclaimablePrice
	}
	end := min(sim.now, sim.schedule.End)
	sim.result.ServerSeconds += max(0, (end - s.startedAt).Seconds())
	sim.result.Spending += price * max(0, (end-s.startedAt).Seconds())
	prefilled, generated := s.engine.ProcessedTokens()
	sim.result.promptTokensPrefilled += prefilled
	engineSeconds := float64(prefilled)/model.DefaultConfig.PrefillTokensPerSecond + float64(generated)/maxDecodeTokensPerSecond
	sim.result.engineSeconds += engineSeconds
	if s.class == config.ClassReclaimable {
		sim.result.reclaimableEngineSeconds += engineSeconds
	}
}

// OnJobEvent implements model.Observer. It passes the event to the call that the job
// belongs to.
func (s *server) OnJobEvent(e model.Event) {
	if c := s.sim.callsByJob[e.JobID]; c != nil {
		c.onEngineEvent(s, e)
	}
}

// OnCacheEvent implements model.Observer. It sends the event to the nodes with a
// delay and loses some.
func (s *server) OnCacheEvent(at time.Duration, added, evicted []uint64) {
	sim := s.sim
	for _, n := range sim.nodes {
		if sim.random.Float64() < cacheEventLoss {
			continue
		}
		sim.scheduleAt(at+cacheEventLag, func() {
			registered := n.tracker.View().Server(s.name)
			if registered == nil || registered.CachedBlocks() == nil {
				return
			}
			registered.CachedBlocks().Add(sim.virtualTime(), added...)
			registered.CachedBlocks().Remove(evicted...)
		})
	}
}

// startLoadReports schedules load reports of a server to all nodes for as long as it
// runs.
func (sim *simulation) startLoadReports(s *server) {
	sim.scheduleEvery(reportInterval, func() {
		if sim.servers[s.name] == nil {
			return
		}
		l, measuredAt := s.engine.Load(), sim.virtualTime()
		sim.scheduleAt(sim.now+reportLag, func() {
			for _, n := range sim.nodes {
				n.tracker.Observe(s.name, route.Report{MeasuredAt: measuredAt, Load: route.Load{
					Streams: int64(l.Streams), PrefillTokens: int64(l.PrefillTokens), DecodeTokens: int64(l.DecodeTokens), KVBlocks: int64(l.KVBlocks),
				}})
			}
		})
	})
}

// updateRegistrations makes all nodes read the registrations again after noticeLag.
func (sim *simulation) updateRegistrations() {
	sim.scheduleAt(sim.now+noticeLag, func() {
		for _, n := range sim.nodes {
			n.updateRegistrations()
		}
	})
}

// registrations returns the registrations of the servers with the round-trip times
// from a node in the given failure domain. Servers that are starting are left out.
func (sim *simulation) registrations(domain string) []route.Registration {
	var out []route.Registration
	for _, name := range sim.serverNames {
		s := sim.servers[name]
		if s == nil || s.state == plan.Starting {
			continue
		}
		r := route.Registration{
			Name: s.name, FailureDomain: s.failureDomain, Role: s.engine.Role(), Class: s.class,
			Draining: s.state != plan.Running, RoundTripTime: sim.deployment.CrossDomainRTT, KVBlocks: model.DefaultConfig.KVBlocks,
			Speed: route.Speed{
				PrefillTokensPerSecond: model.DefaultConfig.PrefillTokensPerSecond,
				StepSeconds:            model.DefaultConfig.BaseStepSeconds, StepSecondsPerStream: model.DefaultConfig.StepSecondsPerStream,
			},
		}
		if s.failureDomain == domain {
			r.RoundTripTime = sim.deployment.SameDomainRTT
		}
		out = append(out, r)
	}
	return out
}
