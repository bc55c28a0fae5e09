package admit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Options configure the queues of a Controller. Fields that are 0 have the value of
// DefaultOptions.
type Options struct {
	// CostModel converts the work of requests to engine-seconds.
	CostModel CostModel
	// QueueLimit is the maximum number of queued requests per workspace.
	QueueLimit int
	// WaitFraction is the fraction of its slack that a request may wait. The slack is the
	// time to the deadline less the expected time to the first token. The rest is left
	// to the caller, so that it can retry elsewhere after a refusal.
	WaitFraction float64
	// MaxWait is the longest wait of a request without a deadline.
	MaxWait time.Duration
}

// DefaultOptions holds the values of unset fields of Options.
var DefaultOptions = Options{CostModel: DefaultCostModel, QueueLimit: 64, WaitFraction: 0.5, MaxWait: 5 * time.Second}

// Capacity limits the work that a node may have admitted at a time.
type Capacity struct {
	// Outstanding limits the work that is admitted and not done yet. A field that is
	// 0 is not limited. If no capacity is left, set the field to 1, so that one
	// request at a time is admitted and shows whether there is capacity again.
	Outstanding Work
	// EngineSecondsPerSecond is the rate at which the work is done. Waiting times are
	// estimated from it.
	EngineSecondsPerSecond float64
}

// Request is a request for admission.
type Request struct {
	Workspace string
	Work      Work
	// ServiceTime is the expected time from admission to the first token.
	ServiceTime time.Duration
	// Deadline is the time by which the first token is due; zero if there is none.
	Deadline time.Time
}

// Controller shares the capacity of a node between workspaces by start-time fair queueing
// of engine-seconds. Each workspace has its own lock, and no lock is shared by all
// requests: a goroutine that releases capacity becomes the dispatcher unless there is one
// already, which then runs once more. The methods may be called from any goroutine.
type Controller struct {
	options Options

	// limit and used hold the capacity and the admitted work of each resource. rate is
	// in engine-seconds per second.
	limit [resourceCount]atomic.Int64
	used  [resourceCount]atomic.Int64
	rate  atomicFloat

	// virtualTime is the start tag of the last admitted request.
	virtualTime atomicFloat
	// waitingRequests counts queued requests, waitingEngineSeconds adds up their
	// engine-seconds, and activeWeight adds up the weights of workspaces with a queue.
	waitingRequests      atomic.Int64
	waitingEngineSeconds atomicFloat
	activeWeight         atomicFloat

	queues  sync.Map // name to *workspaceQueue
	stopped atomic.Bool

	// activated is a stack of queues that have become active. The dispatcher moves them
	// to activeWorkspaces.
	activated atomic.Pointer[workspaceQueue]
	// dispatchCalls counts the calls of dispatch since the current dispatcher started; 0
	// if there is none.
	dispatchCalls    atomic.Int64
	activeWorkspaces activeHeap // owned by the dispatcher
}

// NewController returns a controller without limits. SetCapacity sets them.
func NewController(o Options) *Controller {
	if o.CostModel == (CostModel{}) {
		o.CostModel = DefaultOptions.CostModel
	}
	if o.QueueLimit <= 0 {
		o.QueueLimit = DefaultOptions.QueueLimit
	}
	if o.WaitFraction <= 0 || o.WaitFraction > 1 {
		o.WaitFraction = DefaultOptions.WaitFraction
	}
	if o.MaxWait <= 0 {
		o.MaxWait = DefaultOptions.MaxWait
	}
	return &Controller{options: o}
}

// SetCapacity changes the limits. Work that is already admitted is not affected. Queued
// requests that can no longer start in time are refused.
func (c *Controller) SetCapacity(now time.Time, capacity Capacity) {
	for i, v := range capacity.Outstanding.vector() {
		c.limit[i].Store(v)
	}
	c.rate.store(capacity.EngineSecondsPerSecond)
	c.dispatch()
	c.RefuseLate(now)
}

// RefuseLate refuses queued requests that can no longer start in time, for example
// because the capacity has decreased. SetCapacity calls it.
func (c *Controller) RefuseLate(now time.Time) {
	c.queues.Range(func(_, v any) bool {
		for _, t := range v.(*workspaceQueue).lateTickets(c, now) {
			t.refuse(ReasonDeadline)
		}
		return true
	})
}

// SetWeight sets the weight of a workspace relative to the others on this node. The
// default is 1.
func (c *Controller) SetWeight(name string, weight float64) {
	if weight <= 0 {
		weight = minWeight
	}
	q := c.queue(name)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.active {
		c.activeWeight.add(weight - q.weight)
	}
	q.weight = weight
}

// minWeight replaces a weight of 0, by which the finish tag can't be divided.
const minWeight = 1e-6

// RemoveWorkspace removes a workspace that no longer exists. It has no effect while
// requests of the workspace are queued.
func (c *Controller) RemoveWorkspace(name string) {
	if v, ok := c.queues.Load(name); ok {
		q := v.(*workspaceQueue)
		q.mu.Lock()
		defer q.mu.Unlock()
		if !q.active {
			c.queues.Delete(name)
		}
	}
}

// queue returns the queue of a workspace and creates it if necessary.
func (c *Controller) queue(name string) *workspaceQueue {
	if v, ok := c.queues.Load(name); ok {
		return v.(*workspaceQueue)
	}
	v, _ := c.queues.LoadOrStore(name, &workspaceQueue{name: name, weight: 1})
	return v.(*workspaceQueue)
}

// Waiting returns the number of queued requests of all workspaces.
func (c *Controller) Waiting() int { return int(c.waitingRequests.Load()) }

// Used returns the work that is admitted and not done yet.
func (c *Controller) Used() Work {
	return Work{c.used[0].Load(), c.used[1].Load(), c.used[2].Load(), c.used[3].Load()}
}

// Admit waits until the request may start. The error is a *RefusedError. The caller must
// call Done on the ticket.
func (c *Controller) Admit(ctx context.Context, r Request) (*Ticket, error) {
	decided := make(chan struct{})
	t, err := c.Submit(time.Now(), r, func() { close(decided) })
	if err != nil {
		return nil, err
	}
	if t.Granted() {
		return t, nil
	}
	timer := time.NewTimer(time.Until(t.RefuseAt()))
	defer timer.Stop()
	select {
	case <-decided:
	case <-timer.C:
		t.refuse(ReasonWaitTimeout)
	case <-ctx.Done():
		t.refuse(ReasonCanceled)
	}
	if err := t.Err(); err != nil {
		return nil, err
	}
	return t, nil
}

// Submit admits, queues or refuses a request without waiting. The error is a
// *RefusedError. For a queued request, onDecided is called once when it is admitted or
// refused, possibly before this method returns, and the caller must call RefuseIfDue at
// RefuseAt. onDecided must not block; it may be nil if the caller polls the ticket.
func (c *Controller) Submit(now time.Time, r Request, onDecided func()) (*Ticket, error) {
	if c.stopped.Load() {
		return nil, &RefusedError{r.Workspace, ReasonStopping, retryAfterStopping}
	}
	if lateBy := now.Add(r.ServiceTime).Sub(r.Deadline); !r.Deadline.IsZero() && lateBy > 0 {
		return nil, &RefusedError{r.Workspace, ReasonDeadline, min(maxRetryAfter, max(lateBy, minRetryAfter))}
	}
	q := c.queue(r.Workspace)
	t := &Ticket{controller: c, queue: q, reserved: r.Work.vector(), engineSeconds: c.options.CostModel.EngineSeconds(r.Work), onDecided: onDecided}
	q.mu.Lock()
	reserveTried := !q.active && c.waitingRequests.Load() == 0
	if reserveTried && c.tryReserve(t) {
		q.charge(c, t.engineSeconds)
		t.state = stateGranted
		q.mu.Unlock()
		return t, nil
	}
	err := q.enqueue(c, now, r, t)
	q.mu.Unlock()
	if err != nil {
		if reserveTried {
			// tryReserve may have reserved resources for a moment and thereby blocked the
			// dispatcher.
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

// retryAfterStopping is the time after which a caller may retry at another node.
const retryAfterStopping = time.Second

// Stop refuses all queued requests immediately and all later ones. Admitted requests are
// not affected.
func (c *Controller) Stop() {
	c.stopped.Store(true)
	c.queues.Range(func(_, v any) bool {
		q := v.(*workspaceQueue)
		for {
			q.mu.Lock()
			if len(q.tickets) == 0 {
				q.mu.Unlock()
				return true
			}
			t := q.tickets[0]
			q.mu.Unlock()
			t.refuse(ReasonStopping)
		}
	})
}

// tryReserve reserves all resources that t needs and reports true, or reserves none. A
// request that needs more than the limit of a resource reserves the whole limit.
func (c *Controller) tryReserve(t *Ticket) bool {
	for i := range t.reserved {
		limit := c.limit[i].Load()
		if limit > 0 {
			t.reserved[i] = min(t.reserved[i], limit)
		}
		if c.used[i].Add(t.reserved[i]) > limit && limit > 0 && t.reserved[i] > 0 {
			for j := range i + 1 {
				c.used[j].Add(-t.reserved[j])
			}
			return false
		}
	}
	return true
}
