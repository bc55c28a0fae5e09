package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figweir/figweir/permit"
)

const (
	// requestTimeout is how long a granter may take to answer. On the smallest VMs a process
	// that has used its share of the core stands still for up to 100 ms.
	requestTimeout = 150 * time.Millisecond
	// failoverTime is how long the next granter is asked after one did not answer.
	failoverTime = 2 * time.Second
	// abandonedTime is how long after a timeout a late grant is still given back.
	abandonedTime = 2 * time.Second
	// maxRefusalHold is how long a refusal of a granter answers further requests of this node
	// that ask for as much. It bounds the messages of callers that retry without waiting.
	maxRefusalHold = 100 * time.Millisecond
	// pauseTime is the time between two ticks after which this node counts as having been
	// paused.
	pauseTime = 500 * time.Millisecond
	// noNodesWait is the wait that requests are told before the list of nodes is known.
	noNodesWait = 500 * time.Millisecond
	// minRetryAfter is the shortest time that callers are told to wait, and retryJitter the
	// fraction by which it is spread.
	minRetryAfter = 50 * time.Millisecond
	retryJitter   = 0.25
	// maxRestarts bounds how often a request starts over because the granters have changed.
	maxRestarts = 2
	// maxOutbox bounds the messages that wait to be sent.
	maxOutbox = 8192
	// maxAmount bounds the amount of one request, so that sums can't overflow.
	maxAmount = 1 << 40
	// reachInterval is the time between two updates of the set of reachable nodes.
	reachInterval = 50 * time.Millisecond
	// TickInterval is the time between two calls of Tick.
	TickInterval = 20 * time.Millisecond
)

// Limiter decides for one node which requests of workspaces with a quota it may send, and grants
// permits to other nodes. Its methods may be called from any goroutine.
type Limiter struct {
	// self is the address of this node in the list of nodes.
	self        string
	incarnation uint64
	options     Options

	// limitsMu guards changes of the workspaces. The maps are immutable.
	limitsMu sync.Mutex
	byName   atomic.Pointer[map[string]*workspace]
	byKey    atomic.Pointer[map[uint64]*workspace]

	nodesMu sync.Mutex
	listed  []string
	// order holds the addresses of all other nodes in the order of heartbeats.
	order         []string
	peers         atomic.Pointer[map[string]*peer]
	reach         atomic.Pointer[reach]
	heartbeatsAt  time.Time
	nextHeartbeat int
	probedAllAt   time.Time
	// startedAt is when the list of nodes was first known, in nanoseconds; 0 before.
	startedAt atomic.Int64
	// storeReadAt is when the list of nodes could last be read, if storeWatched is set.
	storeReadAt  time.Time
	storeWatched bool
	reachAt      time.Time
	// tickedAt is the time of the last tick in nanoseconds; 0 before the first one.
	tickedAt atomic.Int64

	outboxMu sync.Mutex
	outbox   []Message
	pending  chan struct{}
	ids      atomic.Uint64
}

// New returns a limiter without quotas. self is the address of this node in the list of nodes,
// incarnation a random number that identifies this run of the node.
func New(self string, incarnation uint64, options Options) *Limiter {
	l := &Limiter{self: self, incarnation: incarnation, options: options, pending: make(chan struct{}, 1)}
	l.byName.Store(&map[string]*workspace{})
	l.byKey.Store(&map[uint64]*workspace{})
	l.peers.Store(&map[string]*peer{})
	l.reach.Store(&reach{})
	return l
}

// Key returns the hash by which messages name a workspace.
func Key(workspace string) uint64 { return xxhash.Sum64String(workspace) }

// SetLimits replaces the quotas of all workspaces. A workspace that keeps its quota keeps its
// permits.
func (l *Limiter) SetLimits(now time.Time, limits map[string]Limit) {
	l.limitsMu.Lock()
	defer l.limitsMu.Unlock()
	old := *l.byName.Load()
	byName, byKey := make(map[string]*workspace, len(limits)), make(map[uint64]*workspace, len(limits))
	for name, limit := range limits {
		w := old[name]
		if w == nil {
			w = newWorkspace(name, limit)
		}
		w.setLimit(now, l, limit)
		byName[name], byKey[w.key] = w, w
	}
	for name, w := range old {
		if byName[name] == nil {
			w.end()
		}
	}
	l.byName.Store(&byName)
	l.byKey.Store(&byKey)
}

// Active reports whether any workspace has a quota. Without one the limiter needs no ticks and
// sends nothing.
func (l *Limiter) Active() bool { return len(*l.byName.Load()) > 0 }

// Acquire waits for a permit to send an amount for a workspace. If there is none, retryAfter is the
// time after which there may be one, or 0 if ctx has ended.
func (l *Limiter) Acquire(ctx context.Context, workspace string, amount int64) (granted bool, retryAfter time.Duration) {
	type result struct {
		granted    bool
		retryAfter time.Duration
	}
	results := make(chan result, 1)
	id := l.Request(time.Now(), workspace, amount, func(granted bool, retryAfter time.Duration) {
		results <- result{granted, retryAfter}
	})
	select {
	case r := <-results:
		return r.granted, r.retryAfter
	case <-ctx.Done():
	}
	l.Cancel(time.Now(), workspace, id)
	select {
	case r := <-results:
		if r.granted {
			l.Return(time.Now(), workspace, amount)
		}
	default:
	}
	return false, 0
}

// find returns the workspace with a name, or nil if it has no quota.
func (l *Limiter) find(name string) *workspace { return (*l.byName.Load())[name] }

// Tick ends requests that were not answered and sends what is due. It must be called every
// TickInterval while there are quotas.
func (l *Limiter) Tick(now time.Time) {
	l.checkPause(now)
	l.tickedAt.Store(now.UnixNano())
	l.nodesMu.Lock()
	if now.Sub(l.reachAt) >= reachInterval {
		l.reachAt = now
		l.probeSilent(now)
		l.updateReach(now)
	}
	l.sendHeartbeats(now)
	l.nodesMu.Unlock()
	for _, w := range *l.byName.Load() {
		w.mu.Lock()
		l.granters(now, w)
		l.expire(now, w)
		l.notifyGranters(now, w)
		w.mu.Unlock()
	}
}

// checkPause makes this node ask the other granters for their state if it has been paused: they
// have granted meanwhile, and their messages are not read yet.
func (l *Limiter) checkPause(now time.Time) {
	last := l.tickedAt.Load()
	pause := time.Duration(now.UnixNano() - last)
	if last == 0 || pause < pauseTime || !l.tickedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	l.nodesMu.Lock()
	l.adjustForPause(now, pause)
	l.nodesMu.Unlock()
	for _, w := range *l.byName.Load() {
		w.mu.Lock()
		if w.granting && len(w.choice) > 1 {
			l.startGranting(now, w, 0)
		}
		w.mu.Unlock()
	}
}

// retryAfter returns the time that a caller is told to wait, spread by retryJitter.
func (l *Limiter) retryAfter(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait + time.Duration(retryJitter*permit.Jitter(l.incarnation, l.ids.Add(1))*float64(wait))
}

// send queues a message.
func (l *Limiter) send(m Message) {
	l.outboxMu.Lock()
	if len(l.outbox) < maxOutbox {
		l.outbox = append(l.outbox, m)
	}
	l.outboxMu.Unlock()
	select {
	case l.pending <- struct{}{}:
	default:
	}
}

// Pending receives a value when messages wait to be sent.
func (l *Limiter) Pending() <-chan struct{} { return l.pending }

// Messages returns the messages that wait to be sent and removes them.
func (l *Limiter) Messages() []Message {
	l.outboxMu.Lock()
	defer l.outboxMu.Unlock()
	list := l.outbox
	l.outbox = nil
	return list
}
