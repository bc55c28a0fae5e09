package orders

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/figweir/figweir/plan"
)

// taskKind is the kind of a task.
type taskKind int

const (
	taskClaim taskKind = iota
	taskWithdrawNotice
	taskRoleChange
	taskStop
	taskLoad
	taskStart
)

// task is an operation in progress on one server or the platform, at most one
// for each.
type task struct {
	kind   taskKind
	server plan.Server // for taskRoleChange, the server with its new role
}

func (t *task) interruptsService() bool { return t.kind == taskRoleChange || t.kind == taskStop }

// pendingStart is a server that was ordered from the platform and is not
// registered yet.
type pendingStart struct {
	pool      string
	server    plan.Server
	expiresAt time.Time
}

// termState is the state of one term of the duty. Each term starts with an
// empty state, since another process may have acted in between. Its fields are
// guarded by Controller.mu.
type termState struct {
	number    uint64
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup

	tasks map[string]*task
	// claimedAt is when a server or the platform was claimed in this term.
	// After that, no order of a previous holder can reach it.
	claimedAt map[string]time.Time
	// noticeUntil is the time until which an order of this term may still take
	// effect on a server, so its notice must stay.
	noticeUntil map[string]time.Time
	// stopping holds the servers for which a stop order was sent to the
	// platform and accepted, or may have been.
	stopping map[string]bool
	// noticesRaised holds the servers whose notice was raised in this term.
	noticesRaised map[string]bool
	// seenServers holds the engines of the failure domain observed in this
	// term.
	seenServers   map[string]bool
	pendingStarts []pendingStart
	// firstRoundDone is set after the first round.
	firstRoundDone bool
}

func newTermState(ctx context.Context, number uint64, now time.Time) *termState {
	ctx, cancel := context.WithCancel(ctx)
	return &termState{
		number: number, startedAt: now, ctx: ctx, cancel: cancel,
		tasks: make(map[string]*task), claimedAt: make(map[string]time.Time), noticeUntil: make(map[string]time.Time),
		stopping: make(map[string]bool), noticesRaised: make(map[string]bool), seenServers: make(map[string]bool),
	}
}

// updateTerm returns the state of the current term, or nil if the process may
// not act. It cancels the tasks of an earlier term.
func (c *Controller) updateTerm(ctx context.Context) *termState {
	number, held := c.duty.Term()
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.currentTerm; old != nil && (!held || old.number != number) {
		old.cancel()
		c.previousTerms = append(c.previousTerms, old)
		c.currentTerm = nil
		c.log.Info("duty ended", "failure_domain", c.failureDomain, "term", old.number)
	}
	if held && c.currentTerm == nil {
		c.currentTerm = newTermState(ctx, number, now)
		c.stats.terms.Add(1)
		c.log.Info("duty taken over", "failure_domain", c.failureDomain, "term", number)
	}
	return c.currentTerm
}

// startTask starts a task in a goroutine. It reports false if another task is
// running for the name or the term has ended. The caller must hold mu.
func (c *Controller) startTask(t *termState, name string, k *task, run func(ctx context.Context)) bool {
	if t.tasks[name] != nil || t.ctx.Err() != nil {
		return false
	}
	t.tasks[name] = k
	t.running.Go(func() {
		defer func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			delete(t.tasks, name)
		}()
		run(t.ctx)
	})
	return true
}

// observeServer records a registered engine of the failure domain. A new engine
// is assumed to be the oldest pending start of its pool. The caller must hold
// mu.
func (t *termState) observeServer(pool, name string) {
	if t.seenServers[name] {
		return
	}
	t.seenServers[name] = true
	i := slices.IndexFunc(t.pendingStarts, func(s pendingStart) bool { return s.pool == pool })
	if t.firstRoundDone && i >= 0 {
		t.pendingStarts = slices.Delete(t.pendingStarts, i, i+1)
	}
}

// previousStopsExpired reports whether a server and the platform were claimed
// at least StopTime ago in this term, so that no stop sent by a previous holder
// can still take effect. The caller must hold mu.
func (c *Controller) previousStopsExpired(t *termState, name string, now time.Time) bool {
	server, ok := t.claimedAt[name]
	platform, okPlatform := t.claimedAt[c.platformTarget.Name]
	return ok && okPlatform && now.Sub(server) >= c.options.StopTime && now.Sub(platform) >= c.options.StopTime
}
