package admit

import (
	"container/heap"
	"slices"
	"sync"
	"time"
)

// workspaceQueue is the queue of one workspace. mu guards all fields and the tickets,
// except for name and the fields of the dispatcher.
type workspaceQueue struct {
	name string

	mu     sync.Mutex
	weight float64
	// finishTag is the virtual time at which the work admitted so far is finished.
	finishTag float64
	tickets   []*Ticket
	// queuedEngineSeconds adds up the engine-seconds of the tickets.
	queuedEngineSeconds float64
	// active is set from the first queued request until the dispatcher finds the queue
	// empty.
	active bool

	// nextActivated links the stack of activated queues.
	nextActivated *workspaceQueue
	// startTag and heapIndex are used by the dispatcher only.
	startTag  float64
	heapIndex int
}

// charge updates the tags for work that is admitted without queueing. q.mu must be held.
func (q *workspaceQueue) charge(c *Controller, engineSeconds float64) {
	startTag := max(q.finishTag, c.virtualTime.load())
	c.virtualTime.raiseTo(startTag)
	q.finishTag = startTag + engineSeconds/q.weight
}

// enqueue adds a ticket to the queue. It returns a *RefusedError if the queue is full or
// the request can't start in time. q.mu must be held.
func (q *workspaceQueue) enqueue(c *Controller, now time.Time, r Request, t *Ticket) error {
	wait := q.estimateWait(c, t.engineSeconds)
	if len(q.tickets) >= c.options.QueueLimit {
		return &RefusedError{q.name, ReasonQueueFull, max(wait, minRetryAfter)}
	}
	maxWait := c.options.MaxWait
	if !r.Deadline.IsZero() {
		slack := r.Deadline.Sub(now) - r.ServiceTime
		maxWait = time.Duration(float64(slack) * c.options.WaitFraction)
	}
	if wait > maxWait || maxWait <= 0 {
		return &RefusedError{q.name, ReasonDeadline, max(wait-max(maxWait, 0), minRetryAfter)}
	}
	t.refuseAt = now.Add(maxWait)
	q.tickets = append(q.tickets, t)
	q.queuedEngineSeconds += t.engineSeconds
	c.waitingEngineSeconds.add(t.engineSeconds)
	c.waitingRequests.Add(1)
	if !q.active {
		q.active = true
		c.activeWeight.add(q.weight)
		for {
			q.nextActivated = c.activated.Load()
			if c.activated.CompareAndSwap(q.nextActivated, q) {
				break
			}
		}
	}
	return nil
}

// minRetryAfter is the minimum retry delay. It keeps callers from retrying immediately.
const minRetryAfter = 100 * time.Millisecond

// maxRetryAfter limits the retry delay and is used when the rate of work is unknown.
const maxRetryAfter = 30 * time.Second

// estimateWait estimates how long a new request would wait: for the work ahead of it in
// its own queue at the fair share of the workspace, but no longer than for all queued
// work at the full rate. q.mu must be held.
func (q *workspaceQueue) estimateWait(c *Controller, engineSeconds float64) time.Duration {
	rate := c.rate.load()
	if rate <= 0 {
		return maxRetryAfter
	}
	weights := c.activeWeight.load()
	if !q.active {
		weights += q.weight
	}
	ahead := min(c.waitingEngineSeconds.load(), q.queuedEngineSeconds*weights/q.weight)
	return min(maxRetryAfter, time.Duration((ahead+engineSeconds)/rate*float64(time.Second)))
}

// lateTickets returns the queued requests that can't start by the time at which they have
// to be refused.
func (q *workspaceQueue) lateTickets(c *Controller, now time.Time) []*Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	rate := c.rate.load()
	if len(q.tickets) == 0 || rate <= 0 {
		return nil
	}
	var late []*Ticket
	ahead, totalWaiting, inverseShare := 0.0, c.waitingEngineSeconds.load(), c.activeWeight.load()/q.weight
	for _, t := range q.tickets {
		wait := time.Duration((min(totalWaiting, ahead*inverseShare) + t.engineSeconds) / rate * float64(time.Second))
		if now.Add(wait).After(t.refuseAt) {
			late = append(late, t)
			continue
		}
		ahead += t.engineSeconds
	}
	return late
}

// remove removes a ticket from the queue. q.mu must be held.
func (q *workspaceQueue) remove(c *Controller, t *Ticket) {
	i := slices.Index(q.tickets, t)
	if i < 0 {
		return
	}
	q.tickets = slices.Delete(q.tickets, i, i+1)
	q.queuedEngineSeconds -= t.engineSeconds
	c.waitingEngineSeconds.add(-t.engineSeconds)
	c.waitingRequests.Add(-1)
}

// dispatch admits queued requests while there is capacity. Only one goroutine dispatches
// at a time; a concurrent call makes it check again.
func (c *Controller) dispatch() {
	if c.dispatchCalls.Add(1) != 1 {
		return
	}
	for {
		calls := c.dispatchCalls.Load()
		c.admitWaiting()
		if c.dispatchCalls.CompareAndSwap(calls, 0) {
			return
		}
	}
}

// admitWaiting admits requests in the order of their start tags until one is blocked or
// all queues are empty.
func (c *Controller) admitWaiting() {
	for q := c.activated.Swap(nil); q != nil; {
		next := q.nextActivated
		q.mu.Lock()
		q.startTag = max(q.finishTag, c.virtualTime.load())
		q.mu.Unlock()
		heap.Push(&c.activeWorkspaces, q)
		q = next
	}
	for len(c.activeWorkspaces) > 0 {
		q := c.activeWorkspaces[0]
		t, blocked := c.admitFirst(q)
		if blocked {
			return
		}
		if t != nil && t.onDecided != nil {
			t.onDecided()
		}
	}
}

// admitFirst admits the first request of the queue with the lowest start tag. It reports
// whether that request is blocked because capacity is missing.
func (c *Controller) admitFirst(q *workspaceQueue) (ticket *Ticket, blocked bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.tickets) == 0 {
		q.active = false
		c.activeWeight.add(-q.weight)
		heap.Pop(&c.activeWorkspaces)
		return nil, false
	}
	if q.finishTag > q.startTag {
		// A completed request used more work than estimated.
		q.startTag = q.finishTag
		heap.Fix(&c.activeWorkspaces, 0)
		return nil, false
	}
	t := q.tickets[0]
	if !c.tryReserve(t) {
		return nil, true
	}
	q.remove(c, t)
	t.state = stateGranted
	c.virtualTime.raiseTo(q.startTag)
	q.finishTag = q.startTag + t.engineSeconds/q.weight
	q.startTag = q.finishTag
	heap.Fix(&c.activeWorkspaces, 0)
	return t, false
}

// activeHeap is a heap of queues, ordered by the start tag of their first request.
type activeHeap []*workspaceQueue

func (h activeHeap) Len() int           { return len(h) }
func (h activeHeap) Less(i, j int) bool { return h[i].startTag < h[j].startTag }
func (h activeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *activeHeap) Push(x any) {
	q := x.(*workspaceQueue)
	q.heapIndex = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *activeHeap) Pop() any {
	old := *h
	q := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return q
}
