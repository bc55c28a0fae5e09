package admit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Options bound the queues.
type Options struct {
	Prices Prices
	// QueueLimit is the number of requests of one workspace that may wait.
	QueueLimit int
	// WaitShare is the part of its spare time (up to the deadline, less the
	// time that the request itself takes) that a request may wait. The rest
	// is left to the caller, who is refused at that time at the latest.
	WaitShare float64
	// MaxWait is the longest wait of a request without a deadline.
	MaxWait time.Duration
}

// DefaultOptions are used where a field of Options is not set.
var DefaultOptions = Options{Prices: DefaultPrices, QueueLimit: 64, WaitShare: 0.5, MaxWait: 5 * time.Second}

// Capacity is what a node may use at a time.
type Capacity struct {
	// Outstanding bounds the work that is admitted and not yet done. A field
	// that is 0 is not bounded; where nothing is left, set it to 1, so that one
	// request at a time finds out.
	Outstanding Work
	// EngineSecondsPerSecond is the rate at which the work gets done. Waiting
	// times are estimated from it.
	EngineSecondsPerSecond float64
}

// Request asks for admission.
type Request struct {
	Workspace string
	Work      Work
	// Service is the expected time from admission to the first token.
	Service time.Duration
	// Deadline is the time by which the first token is due; zero for none.
	Deadline time.Time
}

// Controller shares a node's capacity between workspaces by start-time fair
// queueing of engine-seconds. Each workspace has its own lock. No lock is shared
// by all requests: whoever frees capacity tries to become the dispatcher, and
// leaves the work to the present one otherwise.
type Controller struct {
	options Options

	limit [resources]atomic.Int64
	used  [resources]atomic.Int64
	rate  atomicFloat

	// virtual is the start tag of the last admitted request.
	virtual atomicFloat
	// waiting counts queued requests, waitingSeconds their engine-seconds, and
	// activeWeight the weights of workspaces with a queue.
	waiting        atomic.Int64
	waitingSeconds atomicFloat
	activeWeight   atomicFloat

	workspaces sync.Map // name to *workspace
	stopped    atomic.Bool

	// activated is a stack of workspaces that have become active; the
	// dispatcher moves them to its heap.
	activated   atomic.Pointer[workspace]
	dispatching atomic.Int64
	heap        activeHeap // owned by the dispatcher
}

// NewController returns a controller that bounds nothing until SetCapacity.
func NewController(o Options) *Controller {
	if o.Prices == (Prices{}) {
		o.Prices = DefaultOptions.Prices
	}
	if o.QueueLimit <= 0 {
		o.QueueLimit = DefaultOptions.QueueLimit
	}
	if o.WaitShare <= 0 || o.WaitShare > 1 {
		o.WaitShare = DefaultOptions.WaitShare
	}
	if o.MaxWait <= 0 {
		o.MaxWait = DefaultOptions.MaxWait
	}
	return &Controller{options: o}
}

// SetCapacity changes what the node may use. Work that is already admitted is
// not affected.
func (c *Controller) SetCapacity(now time.Time, capacity Capacity) {
	for i, v := range capacity.Outstanding.vector() {
		c.limit[i].Store(v)
	}
	c.rate.store(capacity.EngineSecondsPerSecond)
	c.dispatch()
	c.Review(now)
}

// Review refuses waiting requests that can no longer start in time, for example
// because the capacity has become smaller. SetCapacity calls it.
func (c *Controller) Review(now time.Time) {
	c.workspaces.Range(func(_, v any) bool {
		for _, t := range v.(*workspace).late(c, now) {
			t.refuse(ReasonDeadline)
		}
		return true
	})
}

// SetWeight sets the weight of a workspace relative to the others on this node.
// A workspace that was never set has weight 1.
func (c *Controller) SetWeight(name string, weight float64) {
	if weight <= 0 {
		weight = minWeight
	}
	w := c.workspace(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active {
		c.activeWeight.add(weight - w.weight)
	}
	w.weight = weight
}

// minWeight keeps a workspace without a share from dividing by 0.
const minWeight = 1e-6

// Forget removes a workspace that no longer exists. It has no effect while the
// workspace has waiting requests.
func (c *Controller) Forget(name string) {
	if v, ok := c.workspaces.Load(name); ok {
		w := v.(*workspace)
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.active {
			c.workspaces.Delete(name)
		}
	}
}

func (c *Controller) workspace(name string) *workspace {
	if v, ok := c.workspaces.Load(name); ok {
		return v.(*workspace)
	}
	v, _ := c.workspaces.LoadOrStore(name, &workspace{name: name, weight: 1})
	return v.(*workspace)
}

// Waiting returns the number of requests that wait, of all workspaces.
func (c *Controller) Waiting() int { return int(c.waiting.Load()) }

// Used returns the admitted work that is not yet done.
func (c *Controller) Used() Work {
	return Work{c.used[0].Load(), c.used[1].Load(), c.used[2].Load(), c.used[3].Load()}
}

// Admit waits until the request may start. The error is a *RefusedError. The
// caller must call Done on the ticket.
func (c *Controller) Admit(ctx context.Context, r Request) (*Ticket, error) {
	decided := make(chan struct{})
	t, err := c.Offer(time.Now(), r, func() { close(decided) })
	if err != nil {
		return nil, err
	}
	if t.Granted() {
		return t, nil
	}
	timer := time.NewTimer(time.Until(t.GiveUpAt()))
	defer timer.Stop()
	select {
	case <-decided:
	case <-timer.C:
		t.refuse(ReasonGivenUp)
	case <-ctx.Done():
		t.refuse(ReasonCanceled)
	}
	if err := t.Err(); err != nil {
		return nil, err
	}
	return t, nil
}

// Offer decides without waiting. A ticket that isn't granted at once waits:
// decided is called once when it is granted or refused, possibly before Offer
// returns, and the caller must call GiveUp at GiveUpAt. decided must not block;
// it may be nil if the caller asks the ticket.
func (c *Controller) Offer(now time.Time, r Request, decided func()) (*Ticket, error) {
	if c.stopped.Load() {
		return nil, &RefusedError{r.Workspace, ReasonStopping, retryAfterStopping}
	}
	if late := now.Add(r.Service).Sub(r.Deadline); !r.Deadline.IsZero() && late > 0 {
		return nil, &RefusedError{r.Workspace, ReasonDeadline, min(maxRetryAfter, max(late, minRetryAfter))}
	}
	w := c.workspace(r.Workspace)
	t := &Ticket{controller: c, workspace: w, need: r.Work.vector(), seconds: c.options.Prices.EngineSeconds(r.Work), decided: decided}
	w.mu.Lock()
	tried := !w.active && c.waiting.Load() == 0
	if tried && c.take(t) {
		w.charge(c, t.seconds)
		t.state = granted
		w.mu.Unlock()
		return t, nil
	}
	err := w.enqueue(c, now, r, t)
	w.mu.Unlock()
	if err != nil {
		if tried {
			// What take reserved for a moment may have blocked the dispatcher.
			c.dispatch()
		}
		return nil, err
	}
	if c.stopped.Load() {
		t.refuse(ReasonStopping)
		return nil, t.Err()
	}
	c.dispatch()
	return t, nil
}

// retryAfterStopping is when a caller may try again through another node.
const retryAfterStopping = time.Second

// Stop refuses all waiting requests at once and all later ones. Admitted
// requests go on.
func (c *Controller) Stop() {
	c.stopped.Store(true)
	c.workspaces.Range(func(_, v any) bool {
		w := v.(*workspace)
		for {
			w.mu.Lock()
			if len(w.queue) == 0 {
				w.mu.Unlock()
				return true
			}
			t := w.queue[0]
			w.mu.Unlock()
			t.refuse(ReasonStopping)
		}
	})
}

// take reserves what t needs, or nothing. A request that needs more than the
// limit of a resource may have all of it.
func (c *Controller) take(t *Ticket) bool {
	for i := range t.need {
		limit := c.limit[i].Load()
		if limit > 0 {
			t.need[i] = min(t.need[i], limit)
		}
		if c.used[i].Add(t.need[i]) > limit && limit > 0 && t.need[i] > 0 {
			for j := range i + 1 {
				c.used[j].Add(-t.need[j])
			}
			return false
		}
	}
	return true
}
