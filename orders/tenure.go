package orders

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/figweir/figweir/plan"
)

// taskKind says what is being done with a server.
type taskKind int

const (
	taskClaim taskKind = iota
	taskRelease
	taskRole
	taskStop
	taskLoad
	taskStart
)

// task is something in progress for one server or for the platform. There is
// at most one for each.
type task struct {
	kind taskKind
	role plan.Server // for taskRole, the server with its new role
}

func (t *task) takesOut() bool { return t.kind == taskRole || t.kind == taskStop }

// pendingStart is a server that the platform was asked for and that is not
// registered yet.
type pendingStart struct {
	pool   string
	server plan.Server
	until  time.Time
}

// tenure is the state of one term of the duty. A new term starts with an empty
// one, since another process may have acted in between. Its fields are guarded
// by Controller.mu.
type tenure struct {
	number uint64
	from   time.Time
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	tasks map[string]*task
	// claimed is when a server or the platform was claimed in this term. From
	// then on no order of a former holder can reach it.
	claimed map[string]time.Time
	// holdUntil is until when an order of this term may still take effect on a
	// server; its notice stands until then.
	holdUntil map[string]time.Time
	// stopping are servers that the platform was, or may have been, told to
	// stop.
	stopping map[string]bool
	// raised are the servers whose notice this term has raised.
	raised map[string]bool
	// known are the engines of the failure domain seen in this term.
	known  map[string]bool
	starts []pendingStart
	// viewed is set after the first round.
	viewed bool
}

func newTenure(ctx context.Context, number uint64, now time.Time) *tenure {
	ctx, cancel := context.WithCancel(ctx)
	return &tenure{
		number: number, from: now, ctx: ctx, cancel: cancel,
		tasks: make(map[string]*task), claimed: make(map[string]time.Time), holdUntil: make(map[string]time.Time),
		stopping: make(map[string]bool), raised: make(map[string]bool), known: make(map[string]bool),
	}
}

// enter returns the state of the current term, or nil if the process may not
// act. Tasks of an earlier term are told to end.
func (c *Controller) enter(ctx context.Context) *tenure {
	number, held := c.duty.Term()
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.current; old != nil && (!held || old.number != number) {
		old.cancel()
		c.former = append(c.former, old)
		c.current = nil
		c.log.Info("duty ended", "failure_domain", c.domain, "term", old.number)
	}
	if held && c.current == nil {
		c.current = newTenure(ctx, number, now)
		c.stats.terms.Add(1)
		c.log.Info("duty taken over", "failure_domain", c.domain, "term", number)
	}
	return c.current
}

// begin starts a task in a goroutine unless another runs for the name. It is
// called with mu held.
func (c *Controller) begin(t *tenure, name string, k *task, run func(ctx context.Context)) bool {
	if t.tasks[name] != nil || t.ctx.Err() != nil {
		return false
	}
	t.tasks[name] = k
	t.wait.Go(func() {
		defer func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			delete(t.tasks, name)
		}()
		run(t.ctx)
	})
	return true
}

// see notes a registered engine of the failure domain. One that was not there
// before is taken as the oldest start of its pool. It is called with mu held.
func (t *tenure) see(pool, name string) {
	if t.known[name] {
		return
	}
	t.known[name] = true
	i := slices.IndexFunc(t.starts, func(s pendingStart) bool { return s.pool == pool })
	if t.viewed && i >= 0 {
		t.starts = slices.Delete(t.starts, i, i+1)
	}
}

// settled reports whether a server was claimed so long ago in this term that
// no stop that a former holder sent can still take effect. It is called with
// mu held.
func (c *Controller) settled(t *tenure, name string, now time.Time) bool {
	server, ok := t.claimed[name]
	platform, okPlatform := t.claimed[c.platformTarget.Name]
	return ok && okPlatform && now.Sub(server) >= c.options.StopTime && now.Sub(platform) >= c.options.StopTime
}
