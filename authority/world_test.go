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

// point is a place at which a process can be paused.
type point string

const (
	beforeStore point = "before store call"
	afterStore  point = "after store call"
	beforeSend  point = "between check and send"
	afterSend   point = "after send"
	atClock     point = "at a reading of the clock"
	atList      point = "after VM list"
)

// sendFault says what happens to one copy of an order.
type sendFault int

const (
	deliver sendFault = iota
	loseAnswer
	delayCopy
	dropCopy
	refuseCopy
)

const testDuty = "orders/keflavik"

// world is a store, a VM list, targets and the processes that use them. The
// first violation of a guarantee is kept.
type world struct {
	store   *memstore.Store
	lease   LeaseOptions
	journal JournalOptions
	// suspends says that a paused process's clock stands still, as that of a
	// suspended VM.
	suspends bool
	// storeLatency and sendLatency are how long each call takes.
	storeLatency time.Duration
	sendLatency  func() time.Duration

	mu        sync.Mutex
	procs     []*proc
	targets   []*target
	listLag   time.Duration
	listDown  bool
	vmEvents  []vmEvent
	violation string
	epochs    map[uint64]uint64 // by token
}

type vmEvent struct {
	at      time.Time
	address string
	live    bool
}

func newWorld() *world {
	w := &world{store: memstore.New(), epochs: make(map[uint64]uint64), lease: DefaultLeaseOptions(), journal: DefaultJournalOptions()}
	// Unequal periods keep two timers of a process from firing at one instant,
	// where the order of goroutines would be open.
	w.journal.SweepEvery = 970 * time.Millisecond
	return w
}

func (w *world) failf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// failure returns the first violation, or "".
func (w *world) failure() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.violation
}

// epochOf returns the epoch in which the order with a token was first sent. All
// copies belong to that epoch.
func (w *world) epochOf(token, now uint64) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.epochs[token] == 0 {
		w.epochs[token] = now
	}
	return w.epochs[token]
}

func (w *world) setLive(address string, live bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.vmEvents = append(w.vmEvents, vmEvent{time.Now(), address, live})
}

func (w *world) setList(lag time.Duration, down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listLag, w.listDown = lag, down
}

// addresses returns the VM list as it was listLag ago.
func (w *world) addresses() ([]string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listDown {
		return nil, errors.New("list out of reach")
	}
	at := time.Now().Add(-w.listLag)
	live := make(map[string]bool)
	for _, e := range w.vmEvents {
		if !e.at.After(at) {
			live[e.address] = e.live
		}
	}
	var out []string
	for address, on := range live {
		if on {
			out = append(out, address)
		}
	}
	return out, nil
}

// target takes orders and checks the order in which they arrive.
type target struct {
	Target
	w *world

	mu sync.Mutex
	// last is the order with the greatest token, and epoch that of its writer.
	last    uint64
	writer  *proc
	epoch   uint64
	claimed uint64 // the epoch of the last successful claim
	taken   map[*call]bool
}

func (w *world) addTarget(name string, checks bool) *target {
	t := &target{Target: Target{Name: name, ChecksTokens: checks, Generation: 1}, w: w, taken: make(map[*call]bool)}
	w.targets = append(w.targets, t)
	return t
}

// call is one call of Do; fencing orders have none.
type call struct {
	t       *target
	outcome atomic.Pointer[error]
}

func (c *call) result() (done bool, err error) {
	if e := c.outcome.Load(); e != nil {
		return true, *e
	}
	return false, nil
}

// arrive is the target's side of an order. Every order that is applied must
// have a token no lower than all before it, and never one of an older epoch.
func (t *target) arrive(p *proc, c *call, generation, token, epoch uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if generation != t.Generation {
		return Refused(errors.New("replaced"))
	}
	switch {
	case t.ChecksTokens && token < t.last:
		return Refused(errors.New("old fencing token"))
	case token < t.last:
		t.w.failf("%s took order %d of %s after order %d of %s", t.Name, token, p.Address, t.last, t.writer.Address)
	case token == t.last && t.writer != p:
		t.w.failf("%s took order %d from %s and from %s", t.Name, token, t.writer.Address, p.Address)
	case epoch < t.epoch:
		t.w.failf("%s took an order of epoch %d after one of epoch %d", t.Name, epoch, t.epoch)
	case epoch < t.claimed:
		t.w.failf("%s, claimed in epoch %d, took an order of epoch %d", t.Name, t.claimed, epoch)
	}
	t.last, t.writer, t.epoch = token, p, epoch
	if c != nil {
		t.taken[c] = true
	}
	return nil
}

// proc is one process over the real package, with a gate at every call.
type proc struct {
	Process
	store.Store // the shared one
	w           *world
	lease       *Lease
	duty        *Duty
	journal     *Journal
	cancel      context.CancelFunc
	running     sync.WaitGroup

	mu         sync.Mutex
	dead       bool
	cut        bool
	wake       chan struct{} // not nil while paused
	waiting    int
	pausedAt   time.Time
	stopped    time.Duration // how far the clock is behind
	armed      map[point]bool
	storeFault map[memstore.Op]memstore.Fault
	lateWrite  time.Duration // of the next write, 0 if it is in time
	sendFaults []sendFault
	copyDelay  time.Duration
	calls      []*call
}

// start starts a process, and a VM if none runs at the address.
func (w *world) start(address string) *proc {
	w.setLive(address, true)
	ctx, cancel := context.WithCancel(context.Background())
	p := &proc{Process: NewProcess(address), Store: w.store, w: w, cancel: cancel, armed: map[point]bool{}, storeFault: map[memstore.Op]memstore.Fault{}}
	p.lease = NewLease(p, p.Process, p, w.lease)
	p.duty = p.lease.Duty(testDuty, func() bool { return true })
	p.journal = NewJournal(p, p.duty, p, p.fence, w.journal)
	started := time.Now()
	for _, run := range []func(){
		func() { p.lease.Run(ctx) },
		func() { p.journal.Run(ctx) },
		func() { _, _ = CloseFormer(ctx, p, p.Process, p, started, w.journal) },
	} {
		p.running.Go(run)
		synctest.Wait()
	}
	w.procs = append(w.procs, p)
	return p
}

// believes is Duty.Term for the oracle: it passes no gate.
func (p *proc) believes() bool {
	p.lease.mu.Lock()
	defer p.lease.mu.Unlock()
	return p.duty.held && p.now().Before(p.lease.until)
}

func (p *proc) journalEpoch() uint64 {
	p.journal.mu.Lock()
	defer p.journal.mu.Unlock()
	return p.journal.epoch
}

// gate pauses at a point if that is armed, and as long as the process is
// paused. It reports whether the process lives.
func (p *proc) gate(at point) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.armed[at] && !p.dead {
		delete(p.armed, at)
		p.pauseLocked()
	}
	for p.wake != nil {
		wake := p.wake
		p.waiting++
		turn := p.waiting
		p.mu.Unlock()
		<-wake
		// Goroutines go on one after the other, so that a run can be repeated.
		time.Sleep(time.Duration(turn) * time.Microsecond)
		p.mu.Lock()
	}
	return !p.dead
}

func (p *proc) pauseLocked() {
	if p.wake == nil {
		p.wake, p.pausedAt = make(chan struct{}), time.Now()
	}
}

// arm lets the process pause when it next comes to a point.
func (p *proc) arm(at point) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed[at] = true
}

func (p *proc) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pauseLocked()
}

func (p *proc) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wake != nil {
		close(p.wake)
		p.wake, p.waiting = nil, 0
		if p.w.suspends {
			p.stopped += time.Since(p.pausedAt)
		}
	}
}

func (p *proc) paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wake != nil
}

// kill ends the process. Copies of its orders may still arrive.
func (p *proc) kill() {
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	p.cancel()
	p.resume()
}

// Now implements Clock.
func (p *proc) Now() time.Time {
	p.gate(atClock)
	return p.now()
}

func (p *proc) now() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Add(-p.stopped)
}

// Sleep implements Clock.
func (p *proc) Sleep(ctx context.Context, d time.Duration) error {
	return SystemClock{}.Sleep(ctx, d)
}

// Addresses implements VMLister.
func (p *proc) Addresses(context.Context) ([]string, error) {
	out, err := p.w.addresses()
	if !p.gate(atList) {
		return nil, store.ErrUnavailable
	}
	return out, err
}

// send is the network between a process and a target.
func (p *proc) send(t Target, to *target, c *call) Send {
	return func(_ context.Context, token uint64) error {
		if !p.believes() && !p.paused() {
			p.w.failf("%s sent order %d without authority", p.Address, token)
		}
		epoch := p.w.epochOf(token, p.journalEpoch())
		if !p.gate(beforeSend) {
			return errors.New("process ended")
		}
		if p.w.sendLatency != nil {
			time.Sleep(p.w.sendLatency())
		}
		fault, delay := p.nextSend()
		var err error
		switch fault {
		case deliver:
			err = to.arrive(p, c, t.Generation, token, epoch)
		case loseAnswer:
			_ = to.arrive(p, c, t.Generation, token, epoch)
			err = errors.New("answer lost")
		case delayCopy:
			time.AfterFunc(delay, func() { _ = to.arrive(p, c, t.Generation, token, epoch) })
			err = errors.New("timed out")
		case dropCopy:
			err = errors.New("timed out")
		case refuseCopy:
			err = Refused(errors.New("not now"))
		}
		p.gate(afterSend)
		return err
	}
}

func (p *proc) nextSend() (sendFault, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.sendFaults) == 0 {
		return deliver, 0
	}
	fault := p.sendFaults[0]
	p.sendFaults = p.sendFaults[1:]
	return fault, p.copyDelay
}

func (p *proc) fence(ctx context.Context, t Target, token uint64) error {
	return p.send(t, p.w.find(t.Name), nil)(ctx, token)
}

func (w *world) find(name string) *target {
	for _, t := range w.targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// do starts an order in a goroutine of its own.
func (p *proc) do(t *target, registered Target) *call {
	c := &call{t: t}
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

// claim claims a target; no older order may be applied there afterwards.
func (p *proc) claim(t *target) {
	p.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if p.journal.Claim(ctx, t.Target) != nil {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.claimed = max(t.claimed, p.journalEpoch())
	})
}

// checkCalls compares the results of finished calls with what arrived.
func (w *world) checkCalls() {
	for _, p := range w.procs {
		p.mu.Lock()
		calls := append([]*call(nil), p.calls...)
		p.mu.Unlock()
		for _, c := range calls {
			done, err := c.result()
			c.t.mu.Lock()
			took := c.t.taken[c]
			c.t.mu.Unlock()
			var unknown *UnknownError
			var refused *RefusedError
			switch {
			case !done:
			case err == nil && !took:
				w.failf("%s did not take an order that %s reports as taken", c.t.Name, p.Address)
			case err != nil && took && (errors.As(err, &refused) || !errors.As(err, &unknown)):
				w.failf("%s took an order that %s reports as not taken: %v", c.t.Name, p.Address, err)
			}
		}
	}
}

// stop ends all processes and waits for their goroutines.
func (w *world) stop() {
	for _, p := range w.procs {
		p.kill()
	}
	for _, p := range w.procs {
		p.running.Wait()
	}
	time.Sleep(time.Minute) // the timers of the store's leases
}
