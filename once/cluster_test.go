package once

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/figweir/figweir/once/faultstore"
	"github.com/figweir/figweir/standin/memstore"
)

// cluster is a number of nodes around one store.
type cluster struct {
	mem   *memstore.Store
	gone  goneSet
	cfg   Config
	ccfg  ClaimerConfig
	ended chan struct{}

	mu    sync.Mutex
	nodes []*node
	// all has every incarnation, also those that were replaced.
	all []*node
}

// node is one incarnation of a process: writers for every range and a claimer.
type node struct {
	cluster *cluster
	owner   string
	writers *Writers
	claimer *Claimer

	faultstore.Process
	mu sync.Mutex
	// writerOf is the node that this node takes for the writer of each range.
	writerOf map[Range]int
	// The faults of the next calls to the store and to peers, and of the next
	// points between a grant and its settlement.
	store, link, claim faultstore.Script
}

func newCluster(nodes int) *cluster {
	c := &cluster{mem: memstore.New(), cfg: testConfig(), ccfg: DefaultClaimerConfig(), ended: make(chan struct{})}
	c.cfg.Ranges, c.ccfg.Ranges = 2, 2
	c.cfg.SealEntries, c.cfg.BatchEntries = 4, 8
	c.nodes = make([]*node, nodes)
	for i := range nodes {
		c.start(i, 1)
	}
	return c
}

// start replaces a node by a new incarnation.
func (c *cluster) start(i, incarnation int) {
	n := &node{cluster: c, owner: fmt.Sprintf("n%d.%d", i, incarnation), writerOf: make(map[Range]int)}
	n.Ended = c.ended
	view := &faultstore.Store{Store: c.mem, Process: &n.Process, Script: &n.store}
	n.writers = NewWriters(c.cfg.Ranges, func(r Range) *Writer {
		return StartWriter(view, r, c.cfg, NewBudget(1e6), &c.gone)
	})
	n.claimer = NewClaimer(n.owner, c.ccfg, func(r Range) Handle {
		n.mu.Lock()
		defer n.mu.Unlock()
		if to := c.at(n.writerOf[r]); to != n {
			return &link{from: n, to: to, rng: r}
		}
		return n.writers.Handle(r)
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[i] = n
	c.all = append(c.all, n)
}

// at returns the present incarnation of a node.
func (c *cluster) at(i int) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[i]
}

// heal ends all faults, and replaces dead nodes.
func (c *cluster) heal() {
	c.mem.SetFault(nil)
	for i := range c.nodes {
		n := c.at(i)
		n.store.Set()
		n.link.Set()
		n.claim.Set()
		n.Resume()
		if n.Dead() {
			c.start(i, 1000)
		}
	}
	for _, n := range c.all {
		c.gone.set(n.owner, n.Dead())
	}
}

// close ends every goroutine of the cluster.
func (c *cluster) close() {
	close(c.ended)
	for _, n := range c.all {
		n.claimer.Close()
		n.writers.Close()
	}
}

// link is the writer of a range on another node, reached over a network.
type link struct {
	from, to *node
	rng      Range
}

var errLink = errors.New("no answer from the peer")

func (l *link) do(ctx context.Context, call func(context.Context, Handle) error) error {
	f := l.from.link.Next()
	handle := l.to.writers.Handle(l.rng)
	if f == faultstore.DeliverLate {
		go func() {
			time.Sleep(faultstore.LateBy)
			lateCtx, cancel := timed()
			defer cancel()
			if !l.to.Dead() {
				_ = call(lateCtx, handle)
			}
		}()
	}
	if l.to.Dead() || handle == nil || slices.Contains([]faultstore.Fault{faultstore.Refuse, faultstore.LoseRequest, faultstore.DeliverLate, faultstore.KillBefore}, f) {
		<-ctx.Done()
		return errLink
	}
	err := call(ctx, handle)
	if l.to.Dead() || slices.Contains([]faultstore.Fault{faultstore.LoseAnswer, faultstore.KillAfter}, f) {
		<-ctx.Done()
		return errLink
	}
	return err
}

func (l *link) Claim(ctx context.Context, request ClaimRequest) (Answer, error) {
	var answer Answer
	err := l.do(ctx, func(ctx context.Context, h Handle) error {
		a, err := h.Claim(ctx, request)
		if ctx.Err() == nil {
			answer = a
		}
		return err
	})
	if err != nil {
		return Answer{}, err
	}
	return answer, nil
}

func (l *link) Finish(ctx context.Context, request FinishRequest) error {
	return l.do(ctx, func(ctx context.Context, h Handle) error { return h.Finish(ctx, request) })
}
