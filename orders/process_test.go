package orders

import (
	"context"
	"errors"
	"sync"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/authority"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/fleet"
	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

// pausePoint is a call at which a process can be paused.
type pausePoint string

const (
	beforeStore    pausePoint = "before a store call"
	afterStore     pausePoint = "after a store call"
	atClock        pausePoint = "at a reading of the clock"
	beforeSend     pausePoint = "before an order leaves"
	afterSend      pausePoint = "after an order left"
	beforeLoad     pausePoint = "before a load report"
	afterLoad      pausePoint = "after a load report"
	beforeNotice   pausePoint = "before a notice"
	beforePlatform pausePoint = "before a platform order leaves"
)

var pausePoints = []pausePoint{beforeStore, afterStore, atClock, beforeSend, beforeSend, afterSend, beforeLoad, afterLoad, beforeNotice, beforeNotice, beforePlatform}

// proc is one process that runs the real authority package and controller, with
// a pause point at every call.
type proc struct {
	sim        *simulation
	process    authority.Process
	duty       *authority.Duty
	controller *Controller
	notices    noticeTable // guarded by simulation.mu
	cancel     context.CancelFunc
	running    sync.WaitGroup

	mu            sync.Mutex
	ended         bool
	storeCut      bool // cut off from the store
	resumed       chan struct{}
	waitingCount  int
	pausedAt      time.Time
	resumedAt     time.Time
	clockDelay    time.Duration // how far the clock is behind
	armedPoints   map[pausePoint]bool
	lostResponses int           // number of responses of targets to lose
	copyDelay     time.Duration // of the next order
}

// startProc starts a process at an address.
func (sim *simulation) startProc(address string) *proc {
	ctx, cancel := context.WithCancel(context.Background())
	p := &proc{sim: sim, process: authority.NewProcess(address), cancel: cancel, notices: noticeTable{}, armedPoints: map[pausePoint]bool{}}
	lease := authority.NewLease(p, p.process, p, authority.DefaultLeaseOptions())
	p.duty = lease.Duty(DutyPrefix+testDomain, func() bool { return true })
	options := authority.DefaultJournalOptions()
	options.SweepInterval = 970 * time.Millisecond
	journal := authority.NewJournal(p, p.duty, p, p.fence, options)
	p.controller = New(testDomain, p.process.Incarnation, Dependencies{
		Duty: p.duty, Journal: journal, PoolSource: p, Engines: p, Platform: platformClient{p}, Notices: p, Clock: p, Log: logr.Discard(),
	}, sim.options)
	started := time.Now()
	sim.mu.Lock()
	sim.procs = append(sim.procs, p)
	delete(sim.unlistedVMs, address)
	sim.mu.Unlock()
	for _, run := range []func(){
		func() { lease.Run(ctx) }, func() { journal.Run(ctx) }, func() { p.controller.Run(ctx) },
		func() { _, _ = authority.ClosePreviousIntents(ctx, p, p.process, p, started, options) },
	} {
		p.running.Go(run)
		synctest.Wait()
	}
	return p
}

// pauseAt pauses at the point if it is armed, and waits while the process is
// paused. It reports whether the process is still alive.
func (p *proc) pauseAt(at pausePoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.armedPoints[at] && !p.ended {
		delete(p.armedPoints, at)
		p.pauseLocked()
	}
	for p.resumed != nil {
		resumed := p.resumed
		p.waitingCount++
		turn := p.waitingCount
		p.mu.Unlock()
		<-resumed
		time.Sleep(time.Duration(turn) * time.Microsecond)
		p.mu.Lock()
	}
	return !p.ended
}

func (p *proc) pauseLocked() {
	if p.resumed == nil {
		p.resumed, p.pausedAt = make(chan struct{}), time.Now()
	}
}

func (p *proc) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed, p.waitingCount, p.resumedAt = nil, 0, time.Now()
		if p.sim.clockStops {
			p.clockDelay += time.Since(p.pausedAt)
		}
	}
}

func (p *proc) kill() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.cancel()
	p.resume()
}

func (p *proc) reachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.ended && p.resumed == nil
}

// hasTerm reports whether the controller has a current term. It has no pause
// point, because that would pause the test itself.
func (p *proc) hasTerm() bool {
	p.controller.mu.Lock()
	defer p.controller.mu.Unlock()
	return p.controller.currentTerm != nil
}

func (p *proc) alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.ended
}

// Now implements authority.Clock.
func (p *proc) Now() time.Time {
	p.pauseAt(atClock)
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Add(-p.clockDelay)
}

// Sleep implements authority.Clock.
func (p *proc) Sleep(ctx context.Context, d time.Duration) error {
	return authority.SystemClock{}.Sleep(ctx, d)
}

// Addresses implements authority.VMLister.
func (p *proc) Addresses(context.Context) ([]string, error) {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	var out []string
	for _, q := range p.sim.procs {
		if !p.sim.unlistedVMs[q.process.Address] {
			out = append(out, q.process.Address)
		}
	}
	return out, nil
}

// Pools returns the pools of the simulation to the controller.
func (p *proc) Pools(time.Time) []Pool { return p.sim.pools() }

// Load implements Engines.
func (p *proc) Load(_ context.Context, address string) (engine.LoadReport, error) {
	p.pauseAt(beforeLoad)
	report, err := p.sim.loadReport(address)
	if !p.pauseAt(afterLoad) {
		return engine.LoadReport{}, errDown
	}
	return report, err
}

// transmit simulates the network between a process and a target: it loses
// responses and delays copies.
func (p *proc) transmit(at pausePoint, arrive func() error) error {
	if !p.pauseAt(at) {
		return errors.New("process ended")
	}
	p.mu.Lock()
	lose, delay := p.lostResponses > 0, p.copyDelay
	p.lostResponses, p.copyDelay = max(0, p.lostResponses-1), 0
	p.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { _ = arrive() })
		return errors.New("timed out")
	}
	err := arrive()
	p.pauseAt(afterSend)
	if lose {
		return errors.New("response lost")
	}
	return err
}

// Order implements Engines.
func (p *proc) Order(_ context.Context, address string, o engine.Order) error {
	p.sim.mu.Lock()
	e := p.sim.engines[address]
	p.sim.mu.Unlock()
	return p.transmit(beforeSend, func() error { return p.sim.receiveOrder(e, p, o) })
}

func (p *proc) fence(ctx context.Context, target authority.Target, token uint64) error {
	return classifyEngineError(p.Order(ctx, target.Name, engine.Order{Kind: engine.OrderFence, FencingToken: token}))
}

// platformClient implements fleet.Orderer.
type platformClient struct{ *proc }

func (p platformClient) Order(_ context.Context, o fleet.Order) error {
	return p.transmit(beforePlatform, func() error { return p.sim.receivePlatformOrder(p.proc, o) })
}

// SetServerLeaving implements Notices.
func (p *proc) SetServerLeaving(name string, leaving bool) {
	if !p.pauseAt(beforeNotice) {
		return
	}
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	p.notices.set(name, leaving)
	if leaving {
		p.checkMinimum(name)
	}
}

// checkMinimum records a violation if the process takes a server out of service
// although, according to the notices it has received, too few servers of the
// role remain. It allows two cases: consecutive holders that are each paused
// during a change can leave one server out each, and a process that was just
// resumed may raise a notice late.
func (p *proc) checkMinimum(name string) {
	p.mu.Lock()
	justResumed := time.Since(p.resumedAt) < time.Second
	p.mu.Unlock()
	e, serving := p.sim.engines[name], 0
	for _, other := range p.sim.registeredNames() {
		o := p.sim.engines[other]
		if o.role == e.role && !p.notices[other].leaving && !o.stopped {
			serving++
		}
	}
	if minimum := map[config.Role]int{config.RolePrefill: p.sim.rule.MinPrefill, config.RoleDecode: p.sim.rule.MinDecode}[e.role]; serving < minimum && !justResumed {
		p.sim.failf("%s takes %s out of service and leaves %d servers of role %s", p.process.Address, name, serving, e.role)
	}
}

// LeavingServers implements Notices.
func (p *proc) LeavingServers() []string {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	var out []string
	for name, n := range p.notices {
		if n.leaving {
			out = append(out, name)
		}
	}
	return out
}

func (p *proc) beforeStoreCall() error {
	alive := p.pauseAt(beforeStore)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !alive || p.storeCut {
		return store.ErrUnavailable
	}
	return nil
}

// The methods below implement the store of a process. Only operations used by
// package authority have pause points.
func (p *proc) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := p.beforeStoreCall(); err != nil {
		return store.Entry{}, err
	}
	e, err := p.sim.store.Get(ctx, key)
	p.pauseAt(afterStore)
	return e, err
}

func (p *proc) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	if err := p.beforeStoreCall(); err != nil {
		return nil, 0, err
	}
	return p.sim.store.List(ctx, prefix)
}

func (p *proc) Put(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	if err := p.beforeStoreCall(); err != nil {
		return 0, err
	}
	r, err := p.sim.store.Put(ctx, key, value, expected, lease)
	if !p.pauseAt(afterStore) {
		return 0, store.ErrAmbiguous
	}
	return r, err
}

func (p *proc) Delete(ctx context.Context, key string, expected store.Revision) error {
	return p.sim.store.Delete(ctx, key, expected)
}

func (p *proc) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	return p.sim.store.Watch(ctx, prefix, after, wait)
}

func (p *proc) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := p.beforeStoreCall(); err != nil {
		return store.NoLease, err
	}
	return p.sim.store.Grant(ctx, ttl)
}

func (p *proc) Renew(ctx context.Context, id store.LeaseID) error {
	if err := p.beforeStoreCall(); err != nil {
		return err
	}
	return p.sim.store.Renew(ctx, id)
}

func (p *proc) Revoke(ctx context.Context, id store.LeaseID) error {
	if err := p.beforeStoreCall(); err != nil {
		return err
	}
	return p.sim.store.Revoke(ctx, id)
}

func refuseAll(memstore.Op, string) memstore.Fault { return memstore.Fault{Refuse: true} }
