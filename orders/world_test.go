package orders

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/fleet"
	"github.com/figweir/figweir/plan"
	"github.com/figweir/figweir/standin/memstore"
)

const (
	testDomain = "keflavik"
	testPool   = "saumur-lm"
)

// world is a store, engines with streams, a platform, entry nodes that start
// streams, and the processes with controllers. Violations are kept in failures.
type world struct {
	store   *memstore.Store
	options Options
	rule    config.Rule
	rates   plan.Rates
	// suspends says that a paused process's clock stands still.
	suspends bool

	mu       sync.Mutex
	rng      *rand.Rand
	engines  map[string]*fakeEngine
	demand   plan.Demand
	tokens   plan.Tokens
	traffic  float64 // chance that a node starts a stream at a tick
	procs    []*proc
	nodes    []table
	gone     map[string]bool // addresses of VMs that the list doesn't show
	platform writerCheck
	ordered  map[string]bool // ids of platform orders that took effect
	// stopAfter is the time in which the platform carries out a stop, if not 0.
	stopAfter time.Duration
	failures  []string
	// lowSince is since when fewer engines of a role serve than its floor.
	lowSince map[config.Role]time.Time
	longest  time.Duration // the longest time below a floor
	maxOut   int
	running  sync.WaitGroup
	stopAll  context.CancelFunc
}

// writerCheck is what a target that ignores fencing tokens sees of its writers.
type writerCheck struct {
	token  uint64
	writer *proc
}

// fakeEngine is one engine. Streams are kept as their times.
type fakeEngine struct {
	name, domain string
	checks       bool
	role         config.Role
	awayUntil    time.Time
	downUntil    time.Time
	stopped      bool
	leaving      bool
	stoppedAt    time.Time
	streams      [][2]time.Time
	writerCheck
	taken map[string]bool
}

const (
	reportLag   = 900 * time.Millisecond
	awayTime    = 6 * time.Second
	stopTime    = 20 * time.Second
	gossipEvery = 300 * time.Millisecond
)

func testOptions() Options {
	o := DefaultOptions()
	o.DrainTimeout, o.StopTime, o.RoleChange, o.MaxOutShare = 30*time.Second, stopTime, awayTime, 0.25
	o.OrderTimeout = 15 * time.Second
	return o
}

func newWorld(seed uint64, engines int) *world {
	w := &world{
		store: memstore.New(), options: testOptions(), rng: rand.New(rand.NewPCG(seed, 1)), engines: make(map[string]*fakeEngine),
		rule:     config.Rule{FailureDomain: testDomain, Pool: testPool, MinServers: 3, MaxServers: engines + 2, MinPrefill: 1, MinDecode: 1},
		rates:    plan.Rates{PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 100, RoleChange: awayTime, Start: 40 * time.Second, Headroom: 0.1},
		demand:   plan.NewDemand(),
		tokens:   plan.Tokens{Prefill: 1500, Decode: 150},
		traffic:  0.3,
		ordered:  make(map[string]bool),
		gone:     make(map[string]bool),
		lowSince: make(map[config.Role]time.Time),
		nodes:    []table{{}, {}, {}},
	}
	for i := range engines {
		w.addEngine(i%2 == 0, []config.Role{config.RolePrefill, config.RoleDecode}[i/2%2])
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.stopAll = cancel
	w.every(ctx, 150*time.Millisecond, w.sendStreams)
	w.every(ctx, gossipEvery, w.gossip)
	w.every(ctx, time.Second, w.observe)
	w.every(ctx, 100*time.Millisecond, w.checkFloors)
	return w
}

func (w *world) every(ctx context.Context, d time.Duration, f func()) {
	w.running.Go(func() {
		ticker := time.NewTicker(d)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				w.mu.Lock()
				f()
				w.mu.Unlock()
			case <-ctx.Done():
				return
			}
		}
	})
}

func (w *world) addEngine(checks bool, role config.Role) {
	name := fmt.Sprintf("%s-%d", testPool, len(w.engines))
	w.engines[name] = &fakeEngine{name: name, domain: testDomain, checks: checks, role: role, taken: make(map[string]bool)}
}

// names returns the registered engines. One that the platform stopped is
// registered for a while longer.
func (w *world) names() []string {
	var out []string
	for name, e := range w.engines {
		if !e.stopped || time.Since(e.stoppedAt) < 15*time.Second {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (w *world) failf(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

// table is the notices that a node knows.
type table map[string]notice

type notice struct {
	version uint64
	leaving bool
}

func (t table) set(name string, leaving bool) {
	if t[name].leaving != leaving {
		t[name] = notice{t[name].version + 1, leaving}
	}
}

func (t table) merge(from table) {
	for name, n := range from {
		old := t[name]
		if n.version > old.version || n.version == old.version && n.leaving {
			t[name] = n
		}
	}
}

// gossip lets every process and node exchange notices with a neighbour, so that
// a notice takes a few periods to reach all of them.
func (w *world) gossip() {
	var live []table
	for _, p := range w.procs {
		if p.reachable() {
			live = append(live, p.notices)
		}
	}
	live = append(live, w.nodes...)
	for i := range live {
		j := w.rng.IntN(len(live))
		live[i].merge(live[j])
		live[j].merge(live[i])
	}
}

// sendStreams starts streams on engines that a node takes to be in service.
func (w *world) sendStreams() {
	now := time.Now()
	names := w.names()
	for _, node := range w.nodes {
		if w.rng.Float64() >= w.traffic || len(names) == 0 {
			continue
		}
		e := w.engines[names[w.rng.IntN(len(names))]]
		if node[e.name].leaving || e.stopped || now.Before(e.awayUntil) || now.Before(e.downUntil) {
			continue
		}
		length := time.Duration(200+w.rng.IntN(4000)) * time.Millisecond
		if w.rng.IntN(200) == 0 {
			length = 50 * time.Second
		}
		e.streams = append(e.streams, [2]time.Time{now, now.Add(length)})
	}
}

// running is how many streams ran at a time.
func (e *fakeEngine) running(at time.Time) int {
	n := 0
	for _, s := range e.streams {
		if !s[0].After(at) && s[1].After(at) {
			n++
		}
	}
	return n
}

func (w *world) observe() {
	w.demand.Observe(time.Now(), w.tokens)
	for _, e := range w.engines {
		e.streams = slices.DeleteFunc(e.streams, func(s [2]time.Time) bool { return time.Since(s[1]) > 2*reportLag })
	}
}

// checkFloors notes for how long fewer engines serve than the floors say.
// Crashed engines count: no order took them out.
func (w *world) checkFloors() {
	serving, out := make(map[config.Role]int), 0
	for _, name := range w.names() {
		e := w.engines[name]
		noticed := false
		for _, node := range w.nodes {
			noticed = noticed || node[name].leaving
		}
		if noticed || e.stopped || time.Now().Before(e.awayUntil) {
			out++
			continue
		}
		serving[e.role]++
	}
	w.maxOut = max(w.maxOut, out)
	for role, floor := range map[config.Role]int{config.RolePrefill: w.rule.MinPrefill, config.RoleDecode: w.rule.MinDecode} {
		switch since := w.lowSince[role]; {
		case serving[role] >= floor:
			delete(w.lowSince, role)
		case since.IsZero():
			w.lowSince[role] = time.Now()
		default:
			w.longest = max(w.longest, time.Since(since))
		}
	}
}

// arriveWriter checks that a target that ignores tokens gets no order of an
// earlier holder after one of a later.
func (w *world) arriveWriter(c *writerCheck, name string, p *proc, token uint64) {
	if token < c.token || token == c.token && c.writer != p {
		w.failf("%s took order %d of %s after order %d of %s", name, token, p.process.Address, c.token, c.writer.process.Address)
	}
	c.token, c.writer = token, p
}

// arrive is the engine's side of an order.
func (w *world) arrive(e *fakeEngine, p *proc, o engine.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	switch {
	case e.stopped:
		return engine.ErrNotSent
	case now.Before(e.downUntil):
		return engine.ErrOrderAmbiguous
	case e.checks && o.FencingToken < e.token:
		return engine.ErrFenced
	}
	w.arriveWriter(&e.writerCheck, e.name, p, o.FencingToken)
	if e.taken[o.ID] || o.Kind != engine.OrderRole || o.Role == e.role {
		return nil
	}
	e.taken[o.ID] = true
	if n := e.running(now); n > 0 {
		w.failf("role order %d of %s cut %d streams of %s", o.FencingToken, p.process.Address, n, e.name)
	}
	e.role, e.awayUntil = o.Role, now.Add(awayTime)
	return nil
}

// arrivePlatform is the platform's side of an order. It stops a server some
// time after it took the order.
func (w *world) arrivePlatform(p *proc, o fleet.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arriveWriter(&w.platform, "platform", p, o.FencingToken)
	if w.ordered[o.ID] {
		return nil
	}
	w.ordered[o.ID] = true
	if o.Action == fleet.ActionStart {
		time.AfterFunc(w.rates.Start-time.Second, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.addEngine(w.rng.IntN(2) == 0, config.RoleDecode)
		})
		return nil
	}
	after := time.Duration(w.rng.Int64N(int64(stopTime - time.Second)))
	if w.stopAfter > 0 {
		after = w.stopAfter
	}
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		e := w.engines[o.BackendServer]
		if n := e.running(time.Now()); n > 0 && !e.stopped {
			w.failf("stop order %d of %s cut %d streams of %s", o.FencingToken, p.process.Address, n, e.name)
		}
		e.stopped, e.stoppedAt = true, time.Now()
	})
	return nil
}

var errDown = errors.New("engine does not answer")

// load is the load report of an engine as it was some time ago.
func (w *world) load(address string) (engine.LoadReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[address]
	now := time.Now()
	if e == nil || e.stopped || now.Before(e.downUntil) {
		return engine.LoadReport{}, errDown
	}
	return engine.LoadReport{Role: e.role, Running: e.running(now.Add(-reportLag)), Leaving: e.leaving}, nil
}

// pools is the view of a controller.
func (w *world) pools() []Pool {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := Pool{
		View:    plan.View{Pool: testPool, Demand: w.demand, Rates: w.rates, Rules: []config.Rule{w.rule}},
		Engines: make(map[string]Engine),
	}
	for _, name := range w.names() {
		e := w.engines[name]
		s := plan.Server{Name: name, FailureDomain: e.domain, Role: e.role, Class: config.ClassStandard, State: plan.Running, Streams: len(e.streams)}
		if e.stopped || e.leaving {
			s.State = plan.Stopping
		}
		p.View.Servers = append(p.View.Servers, s)
		p.Engines[name] = Engine{Address: name, ChecksTokens: e.checks}
	}
	return []Pool{p}
}

func (w *world) failure() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.failures) == 0 {
		return ""
	}
	return w.failures[0]
}

// stop ends all processes and waits for their goroutines.
func (w *world) stop() {
	for _, p := range w.procs {
		p.kill()
	}
	for _, p := range w.procs {
		p.running.Wait()
	}
	w.stopAll()
	w.running.Wait()
	time.Sleep(2 * time.Minute) // timers of the store and the platform
}
