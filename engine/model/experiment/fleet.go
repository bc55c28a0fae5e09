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

// Delays of the modelled environment.
const (
	// reportEvery and reportLag are those of load reports.
	reportEvery = 500 * time.Millisecond
	reportLag   = 500 * time.Millisecond
	// publishEvery is how often a node makes a new view.
	publishEvery = 100 * time.Millisecond
	// cacheEventLag delays cache events, and cacheEventLoss of them are lost.
	cacheEventLag  = time.Second
	cacheEventLoss = 0.05
	// noticeLag is how long a leaving notice takes to all nodes.
	noticeLag = 200 * time.Millisecond
	// startTime is how long an ordered server takes to start.
	startTime = 2 * time.Minute
	// reclaimNotice is the time from the notice to the end of the servers.
	reclaimNotice = 5 * time.Second
	// planEvery is how often the planner runs.
	planEvery = time.Second
	// blockTransfer is the time to move one KV block; see route.Weights.
	blockTransfer = 200 * time.Microsecond
	transferFixed = 2 * time.Millisecond
	crossDomain   = 4
	// reclaimablePrice is the price of a reclaimable server relative to a
	// standard one.
	reclaimablePrice = 0.4
	nodes            = 7
)

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].order < h[j].order)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1].run = nil
	*h = old[:len(old)-1]
	return e
}

// fleet is the state of a run.
type fleet struct {
	size     Size
	schedule Schedule
	variant  Variant
	random   *rand.Rand

	now    time.Duration
	events eventHeap
	order  uint64

	servers map[string]*server
	names   []string // in order of start
	nodes   []*node
	calls   map[uint64]*inflight
	nextJob uint64

	demand plan.Demand
	asked  plan.Tokens // since the last run of the planner
	result *Run
}

// server is one engine with what the platform knows of it.
type server struct {
	fleet   *fleet
	name    string
	domain  string
	class   config.CapacityClass
	engine  *model.Engine
	state   plan.State
	role    config.Role // wanted
	started time.Duration
	next    time.Duration // scheduled step, to keep one event per step
}

func (f *fleet) at(t time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, event{max(t, f.now), f.order, run})
}

func (f *fleet) clock() time.Time { return epoch.Add(f.now) }

// every runs a function at intervals until the end.
func (f *fleet) every(interval time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		if f.now < f.schedule.End {
			f.at(f.now+interval, again)
		}
	}
	f.at(f.now+interval, again)
}

// loop runs all events.
func (f *fleet) loop() {
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
}

// start adds an engine that is in service at once.
func (f *fleet) start(domain string, role config.Role, class config.CapacityClass) *server {
	s := &server{fleet: f, name: fmt.Sprintf("engine-%03d", len(f.names)), domain: domain, class: class, state: plan.Running, role: role, started: f.now}
	s.engine = model.New(model.DefaultConfig, role, s)
	f.servers[s.name] = s
	f.names = append(f.names, s.name)
	f.reportLoad(s)
	return s
}

// submit gives a job to the engine and schedules its steps.
func (s *server) submit(j model.Job) error {
	err := s.engine.Submit(s.fleet.now, j)
	s.schedule()
	return err
}

func (s *server) schedule() {
	at, ok := s.engine.Next()
	if !ok || at == s.next {
		return
	}
	s.next = at
	s.fleet.at(at, func() {
		s.engine.Advance(s.fleet.now)
		s.schedule()
		s.settle()
	})
}

// settle goes on with a planned change once the engine is empty.
func (s *server) settle() {
	if s.engine.Busy() {
		return
	}
	f := s.fleet
	switch {
	case s.state == plan.Changing && s.engine.Role() != s.role:
		if s.engine.ChangeRole(f.now, s.role) == nil {
			f.at(f.now+model.DefaultConfig.RoleChange, func() {
				if s.state == plan.Changing {
					s.state = plan.Running
					f.register()
				}
			})
		}
	case s.state == plan.Stopping:
		f.remove(s)
	}
}

// remove ends a server and what is paid for it.
func (f *fleet) remove(s *server) {
	if f.servers[s.name] == nil {
		return
	}
	f.account(s)
	delete(f.servers, s.name)
	s.engine.Stop(f.now)
	f.register()
}

// account adds the spending and the work of a server that ends now.
func (f *fleet) account(s *server) {
	price := 1.0
	if s.class == config.ClassReclaimable {
		price = reclaimablePrice
	}
	end := min(f.now, f.schedule.End)
	f.result.ServerSeconds += max(0, (end - s.started).Seconds())
	f.result.Spending += price * max(0, (end-s.started).Seconds())
	prefilled, generated := s.engine.Processed()
	f.result.prefilled += prefilled
	work := float64(prefilled)/model.DefaultConfig.PrefillTokensPerSecond + float64(generated)/decodeRate
	f.result.work += work
	if s.class == config.ClassReclaimable {
		f.result.reclaimableWork += work
	}
}

// JobEvent passes an event on to the call that the job belongs to.
func (s *server) JobEvent(e model.Event) {
	if c := s.fleet.calls[e.Job]; c != nil {
		c.event(s, e)
	}
}

// CacheEvent passes cache events on to the nodes, late and with gaps.
func (s *server) CacheEvent(at time.Duration, added, evicted []uint64) {
	f := s.fleet
	for _, n := range f.nodes {
		if f.random.Float64() < cacheEventLoss {
			continue
		}
		f.at(at+cacheEventLag, func() {
			known := n.tracker.View().Server(s.name)
			if known == nil || known.Digest() == nil {
				return
			}
			known.Digest().Add(f.clock(), added...)
			known.Digest().Remove(evicted...)
		})
	}
}

// reportLoad sends load reports of a server to all nodes while it runs.
func (f *fleet) reportLoad(s *server) {
	f.every(reportEvery, func() {
		if f.servers[s.name] == nil {
			return
		}
		l, measured := s.engine.Load(), f.clock()
		f.at(f.now+reportLag, func() {
			for _, n := range f.nodes {
				n.tracker.Observe(s.name, route.Report{MeasuredAt: measured, Load: route.Load{
					Streams: int64(l.Streams), PrefillTokens: int64(l.PrefillTokens), DecodeTokens: int64(l.DecodeTokens), KVBlocks: int64(l.KVBlocks),
				}})
			}
		})
	})
}

// register tells all nodes of the servers after the lag of a notice.
func (f *fleet) register() {
	f.at(f.now+noticeLag, func() {
		for _, n := range f.nodes {
			n.register()
		}
	})
}

// registrations are the servers as a node in a failure domain sees them.
func (f *fleet) registrations(domain string) []route.Registration {
	var out []route.Registration
	for _, name := range f.names {
		s := f.servers[name]
		if s == nil || s.state == plan.Starting {
			continue
		}
		r := route.Registration{
			Name: s.name, FailureDomain: s.domain, Role: s.engine.Role(), Class: s.class,
			Draining: s.state != plan.Running, Distance: f.size.FarDistance, KVBlocks: model.DefaultConfig.KVBlocks,
			Speed: route.Speed{
				PrefillTokensPerSecond: model.DefaultConfig.PrefillTokensPerSecond,
				StepSeconds:            model.DefaultConfig.StepSeconds, StepSecondsPerStream: model.DefaultConfig.StepSecondsPerStream,
			},
		}
		if s.domain == domain {
			r.Distance = f.size.NearDistance
		}
		out = append(out, r)
	}
	return out
}
