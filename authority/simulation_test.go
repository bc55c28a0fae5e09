package authority

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

// pausePoint is a place in the code at which a process can be paused.
type pausePoint string

const (
	beforeStore pausePoint = "before store call"
	afterStore  pausePoint = "after store call"
	beforeSend  pausePoint = "between check and send"
	afterSend   pausePoint = "after send"
	atClock     pausePoint = "at a reading of the clock"
	atList      pausePoint = "after VM list"
)

// sendFault is the fault that affects one copy of an order.
type sendFault int

const (
	sendOK sendFault = iota
	loseResponse
	delayCopy
	dropCopy
	refuseCopy
)

const testDuty = "orders/keflavik"

// simulation holds a store, a VM list, targets and the processes that use them.
// It records the first violation of a guarantee.
type simulation struct {
	store          *memstore.Store
	leaseOptions   LeaseOptions
	journalOptions JournalOptions
	// clockStops makes the clock of a paused process stop, like that of a
	// suspended VM.
	clockStops bool
	// storeLatency and sendLatency are the duration of each call.
	storeLatency time.Duration
	sendLatency  func() time.Duration

	mu              sync.Mutex
	procs           []*proc
	targets         []*target
	listLag         time.Duration
	listUnavailable bool
	vmEvents        []vmEvent
	violation       string
	epochs          map[uint64]uint64 // by token
}

type vmEvent struct {
	at      time.Time
	address string
	running bool
}

func newSimulation() *simulation {
	sim := &simulation{store: memstore.New(), epochs: make(map[uint64]uint64), leaseOptions: DefaultLeaseOptions(), journalOptions: DefaultJournalOptions()}
	// Different periods prevent two timers of a process from firing at the same
	// instant, where the order of the goroutines would be undefined.
	sim.journalOptions.SweepInterval = 970 * time.Millisecond
	return sim
}

func (sim *simulation) failf(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

// failure returns the first violation, or "".
func (sim *simulation) failure() string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.violation
}

// epochOf returns the epoch in which the order with a token was first sent. All
// copies of the order belong to that epoch.
func (sim *simulation) epochOf(token, now uint64) uint64 {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.epochs[token] == 0 {
		sim.epochs[token] = now
	}
	return sim.epochs[token]
}

func (sim *simulation) setVM(address string, live bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.vmEvents = append(sim.vmEvents, vmEvent{time.Now(), address, live})
}

func (sim *simulation) setVMList(lag time.Duration, down bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.listLag, sim.listUnavailable = lag, down
}

// addresses returns the VM list as of listLag ago.
func (sim *simulation) addresses() ([]string, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.listUnavailable {
		return nil, errors.New("VM list unavailable")
	}
	at := time.Now().Add(-sim.listLag)
	runningVMs := make(map[string]bool)
	for _, e := range sim.vmEvents {
		if !e.at.After(at) {
			runningVMs[e.address] = e.running
		}
	}
	var out []string
	for address, running := range runningVMs {
		if running {
			out = append(out, address)
		}
	}
	return out, nil
}

// target receives orders and verifies the sequence in which they arrive.
type target struct {
	Target
	sim *simulation

	mu sync.Mutex
	// lastToken, lastWriter and lastEpoch describe the last accepted order.
	lastToken    uint64
	lastWriter   *proc
	lastEpoch    uint64
	claimedEpoch uint64 // the epoch of the last successful claim
	accepted     map[*call]bool
}

func (sim *simulation) addTarget(name string, checks bool) *target {
	t := &target{Target: Target{Name: name, ChecksTokens: checks, Generation: 1}, sim: sim, accepted: make(map[*call]bool)}
	sim.targets = append(sim.targets, t)
	return t
}

// call is one call of Do. Fencing orders have no call.
type call struct {
	target  *target
	outcome atomic.Pointer[error]
}

func (c *call) result() (done bool, err error) {
	if e := c.outcome.Load(); e != nil {
		return true, *e
	}
	return false, nil
}

// receive handles an order that arrives at the target. Each accepted order must
// have a token no lower than all previous ones, and must not be of an older
// epoch.
func (t *target) receive(p *proc, c *call, generation, token, epoch uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if generation != t.Generation {
		return Refused(errors.New("replaced"))
	}
	switch {
	case t.ChecksTokens && token < t.lastToken:
		return Refused(errors.New("old fencing token"))
	case token < t.lastToken:
		t.sim.failf("%s accepted order %d of %s after order %d of %s", t.Name, token, p.Address, t.lastToken, t.lastWriter.Address)
	case token == t.lastToken && t.lastWriter != p:
		t.sim.failf("%s accepted order %d from %s and from %s", t.Name, token, t.lastWriter.Address, p.Address)
	case epoch < t.lastEpoch:
		t.sim.failf("%s accepted an order of epoch %d after one of epoch %d", t.Name, epoch, t.lastEpoch)
	case epoch < t.claimedEpoch:
		t.sim.failf("%s, claimed in epoch %d, accepted an order of epoch %d", t.Name, t.claimedEpoch, epoch)
	}
	t.lastToken, t.lastWriter, t.lastEpoch = token, p, epoch
	if c != nil {
		t.accepted[c] = true
	}
	return nil
}

// proc is a process that runs the real package, with a pause point at every
// call.
type proc struct {
	Process
	store.Store // a client of the shared one
	sim         *simulation
	lease       *Lease
	duty        *Duty
	journal     *Journal
	cancel      context.CancelFunc
	running     sync.WaitGroup

	mu           sync.Mutex
	ended        bool
	storeCut     bool
	resumed      chan struct{} // not nil while paused
	waitingCount int
	pausedAt     time.Time
	clockDelay   time.Duration // how far the clock is behind
	armedPoints  map[pausePoint]bool
	storeFault   map[memstore.Op]memstore.Fault
	writeDelay   time.Duration // of the next write, 0 for none
	sendFaults   []sendFault
	copyDelay    time.Duration
	calls        []*call
}

// start starts a process, and a VM if none runs at the address.
func (sim *simulation) start(address string) *proc {
	sim.setVM(address, true)
	ctx, cancel := context.WithCancel(context.Background())
	client := sim.store.NewClient()
	p := &proc{Process: NewProcess(address), Store: client, sim: sim, cancel: cancel, armedPoints: map[pausePoint]bool{}, storeFault: map[memstore.Op]memstore.Fault{}}
	options := sim.leaseOptions
	options.Era = client.Eras.Current
	p.lease = NewLease(p, p.Process, p, options)
	p.duty = p.lease.Duty(testDuty, func() bool { return true })
	p.journal = NewJournal(p, p.duty, p, p.fence, sim.journalOptions)
	started := time.Now()
	for _, run := range []func(){
		func() { p.lease.Run(ctx) },
		func() { p.journal.Run(ctx) },
		func() { _, _ = ClosePreviousIntents(ctx, p, p.Process, p, started, sim.journalOptions) },
	} {
		p.running.Go(run)
		synctest.Wait()
	}
	sim.procs = append(sim.procs, p)
	return p
}

// mayAct is Duty.Term without pause points, for use by the checks.
func (p *proc) mayAct() bool {
	p.lease.mu.Lock()
	defer p.lease.mu.Unlock()
	return p.duty.held && p.now().Before(p.lease.validUntil)
}

func (p *proc) journalEpoch() uint64 {
	p.journal.mu.Lock()
	defer p.journal.mu.Unlock()
	return p.journal.epoch
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
		// Goroutines continue one after the other, so that runs are
		// reproducible.
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

// arm pauses the process when it next reaches the point.
func (p *proc) arm(at pausePoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armedPoints[at] = true
}

func (p *proc) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pauseLocked()
}

func (p *proc) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed, p.waitingCount = nil, 0
		if p.sim.clockStops {
			p.clockDelay += time.Since(p.pausedAt)
		}
	}
}

func (p *proc) paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumed != nil
}

// kill ends the process. Copies of its orders may still arrive.
func (p *proc) kill() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.cancel()
	p.resume()
}

// Now implements Clock.
func (p *proc) Now() time.Time {
	p.pauseAt(atClock)
	return p.now()
}

func (p *proc) now() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Add(-p.clockDelay)
}

// Sleep implements Clock.
func (p *proc) Sleep(ctx context.Context, d time.Duration) error {
	return SystemClock{}.Sleep(ctx, d)
}

// Addresses implements VMLister.
func (p *proc) Addresses(context.Context) ([]string, error) {
	out, err := p.sim.addresses()
	if !p.pauseAt(atList) {
		return nil, store.ErrUnavailable
	}
	return out, err
}

// send simulates the network between a process and a target.
func (p *proc) send(t Target, to *target, c *call) Send {
	return func(_ context.Context, token uint64) error {
		if !p.mayAct() && !p.paused() {
			p.sim.failf("%s sent order %d without being allowed to act", p.Address, token)
		}
		epoch := p.sim.epochOf(token, p.journalEpoch())
		if !p.pauseAt(beforeSend) {
			return errors.New("process ended")
		}
		if p.sim.sendLatency != nil {
			time.Sleep(p.sim.sendLatency())
		}
		fault, delay := p.nextSend()
		var err error
		switch fault {
		case sendOK:
			err = to.receive(p, c, t.Generation, token, epoch)
		case loseResponse:
			_ = to.receive(p, c, t.Generation, token, epoch)
			err = errors.New("response lost")
		case delayCopy:
			time.AfterFunc(delay, func() { _ = to.receive(p, c, t.Generation, token, epoch) })
			err = errors.New("timed out")
		case dropCopy:
			err = errors.New("timed out")
		case refuseCopy:
			err = Refused(errors.New("temporarily refused"))
		}
		p.pauseAt(afterSend)
		return err
	}
}

func (p *proc) nextSend() (sendFault, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.sendFaults) == 0 {
		return sendOK, 0
	}
	fault := p.sendFaults[0]
	p.sendFaults = p.sendFaults[1:]
	return fault, p.copyDelay
}

func (p *proc) fence(ctx context.Context, t Target, token uint64) error {
	return p.send(t, p.sim.findTarget(t.Name), nil)(ctx, token)
}

func (sim *simulation) findTarget(name string) *target {
	for _, t := range sim.targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// do sends an order in a new goroutine.
func (p *proc) do(t *target, registered Target) *call {
	c := &call{target: t}
	p.mu.Lock()
	p.calls = append(p.calls, c)
	p.mu.Unlock()
	p.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		err := p.journal.Do(ctx, registered, Order{Kind: "role", Detail: "prefill"}, p.send(registered, t, c))
		c.outcome.Store(&err)
	})
	return c
}

// claim claims a target in a new goroutine. Afterwards the target must not
// accept an older order.
func (p *proc) claim(t *target) {
	p.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if p.journal.Claim(ctx, t.Target) != nil {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.claimedEpoch = max(t.claimedEpoch, p.journalEpoch())
	})
}

// checkCalls compares the results of finished calls with the orders that
// arrived.
func (sim *simulation) checkCalls() {
	for _, p := range sim.procs {
		p.mu.Lock()
		calls := append([]*call(nil), p.calls...)
		p.mu.Unlock()
		for _, c := range calls {
			done, err := c.result()
			c.target.mu.Lock()
			accepted := c.target.accepted[c]
			c.target.mu.Unlock()
			var unknown *UnknownError
			var refused *RefusedError
			switch {
			case !done:
			case err == nil && !accepted:
				sim.failf("%s did not accept an order that %s reports as accepted", c.target.Name, p.Address)
			case err != nil && accepted && (errors.As(err, &refused) || !errors.As(err, &unknown)):
				sim.failf("%s accepted an order that %s reports as not accepted: %v", c.target.Name, p.Address, err)
			}
		}
	}
}

// stop ends all processes and waits for their goroutines.
func (sim *simulation) stop() {
	for _, p := range sim.procs {
		p.kill()
	}
	for _, p := range sim.procs {
		p.running.Wait()
	}
	time.Sleep(time.Minute) // until the timers of the store's leases have fired
}
