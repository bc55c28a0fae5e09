package admit

import (
	"container/heap"
	"slices"
	"sync"
	"time"
)

// workspace is the queue of one workspace.
type workspace struct {
	name string

	mu     sync.Mutex
	weight float64
	// finish is the virtual time at which the work admitted so far is done.
	finish float64
	queue  []*Ticket
	// queuedSeconds are the engine-seconds of the queue.
	queuedSeconds float64
	// active is true from the first queued request until the dispatcher finds
	// the queue empty.
	active bool

	// next links the stack of activated workspaces.
	next *workspace
	// key and index belong to the dispatcher.
	key   float64
	index int
}

// charge accounts for admitted work. The workspace must be locked.
func (w *workspace) charge(c *Controller, seconds float64) {
	begin := max(w.finish, c.virtual.load())
	c.virtual.raise(begin)
	w.finish = begin + seconds/w.weight
}

// enqueue adds a ticket, or refuses it at once if the queue is full or the
// request can't start in time. The workspace must be locked.
func (w *workspace) enqueue(c *Controller, now time.Time, r Request, t *Ticket) error {
	wait := w.wait(c, t.seconds)
	if len(w.queue) >= c.options.QueueLimit {
		return &RefusedError{w.name, ReasonQueueFull, max(wait, minRetryAfter)}
	}
	longest := c.options.MaxWait
	if !r.Deadline.IsZero() {
		spare := r.Deadline.Sub(now) - r.Service
		longest = time.Duration(float64(spare) * c.options.WaitShare)
	}
	if wait > longest || longest <= 0 {
		return &RefusedError{w.name, ReasonDeadline, max(wait-max(longest, 0), minRetryAfter)}
	}
	t.giveUpAt = now.Add(longest)
	w.queue = append(w.queue, t)
	w.queuedSeconds += t.seconds
	c.waitingSeconds.add(t.seconds)
	c.waiting.Add(1)
	if !w.active {
		w.active = true
		c.activeWeight.add(w.weight)
		for {
			w.next = c.activated.Load()
			if c.activated.CompareAndSwap(w.next, w) {
				break
			}
		}
	}
	return nil
}

// minRetryAfter keeps callers from retrying at once.
const minRetryAfter = 100 * time.Millisecond

// maxRetryAfter bounds what is told to callers where no rate is known.
const maxRetryAfter = 30 * time.Second

// wait estimates how long a request would wait in the queue: for the work ahead
// of it in its own queue at the fair share of the workspace, and at most for
// everything that waits. The workspace must be locked.
func (w *workspace) wait(c *Controller, seconds float64) time.Duration {
	rate := c.rate.load()
	if rate <= 0 {
		return maxRetryAfter
	}
	weights := c.activeWeight.load()
	if !w.active {
		weights += w.weight
	}
	ahead := min(c.waitingSeconds.load(), w.queuedSeconds*weights/w.weight)
	return min(maxRetryAfter, time.Duration((ahead+seconds)/rate*float64(time.Second)))
}

// late returns the waiting requests that can't start by the time at which they
// are given up.
func (w *workspace) late(c *Controller, now time.Time) []*Ticket {
	w.mu.Lock()
	defer w.mu.Unlock()
	rate := c.rate.load()
	if len(w.queue) == 0 || rate <= 0 {
		return nil
	}
	var late []*Ticket
	ahead, all, share := 0.0, c.waitingSeconds.load(), c.activeWeight.load()/w.weight
	for _, t := range w.queue {
		wait := time.Duration((min(all, ahead*share) + t.seconds) / rate * float64(time.Second))
		if now.Add(wait).After(t.giveUpAt) {
			late = append(late, t)
			continue
		}
		ahead += t.seconds
	}
	return late
}

// remove takes a ticket out of the queue. The workspace must be locked.
func (w *workspace) remove(c *Controller, t *Ticket) {
	i := slices.Index(w.queue, t)
	if i < 0 {
		return
	}
	w.queue = slices.Delete(w.queue, i, i+1)
	w.queuedSeconds -= t.seconds
	c.waitingSeconds.add(-t.seconds)
	c.waiting.Add(-1)
}

// dispatch admits waiting requests while there is capacity. Only one goroutine
// dispatches at a time; the others leave it to look again.
func (c *Controller) dispatch() {
	if c.dispatching.Add(1) != 1 {
		return
	}
	for {
		seen := c.dispatching.Load()
		c.admitWaiting()
		if c.dispatching.CompareAndSwap(seen, 0) {
			return
		}
	}
}

func (c *Controller) admitWaiting() {
	for w := c.activated.Swap(nil); w != nil; {
		next := w.next
		w.mu.Lock()
		w.key = max(w.finish, c.virtual.load())
		w.mu.Unlock()
		heap.Push(&c.heap, w)
		w = next
	}
	for len(c.heap) > 0 {
		w := c.heap[0]
		t, blocked := c.admitFirst(w)
		if blocked {
			return
		}
		if t != nil && t.decided != nil {
			t.decided()
		}
	}
}

// admitFirst admits the first request of the workspace that is next in turn. It
// reports whether that request is blocked for want of capacity.
func (c *Controller) admitFirst(w *workspace) (admitted *Ticket, blocked bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		w.active = false
		c.activeWeight.add(-w.weight)
		heap.Pop(&c.heap)
		return nil, false
	}
	if w.finish > w.key {
		// More work was charged at a completion.
		w.key = w.finish
		heap.Fix(&c.heap, 0)
		return nil, false
	}
	t := w.queue[0]
	if !c.take(t) {
		return nil, true
	}
	w.remove(c, t)
	t.state = granted
	c.virtual.raise(w.key)
	w.finish = w.key + t.seconds/w.weight
	w.key = w.finish
	heap.Fix(&c.heap, 0)
	return t, false
}

// activeHeap orders workspaces by the start tag of their first request.
type activeHeap []*workspace

func (h activeHeap) Len() int           { return len(h) }
func (h activeHeap) Less(i, j int) bool { return h[i].key < h[j].key }
func (h activeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *activeHeap) Push(x any) {
	w := x.(*workspace)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *activeHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
