package once

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/figweir/figweir/platform/store"
	"github.com/figweir/figweir/standin/memstore"
)

// fault is what happens to one call of a node to the store or to a peer.
type fault string

const (
	refuse      fault = "refuse"       // not applied, ErrUnavailable
	loseRequest fault = "lose request" // not applied, outcome unknown
	loseAnswer  fault = "lose answer"  // applied, outcome unknown
	deliverLate fault = "deliver late" // outcome unknown, applied after a second
	pauseBefore fault = "pause before" // until the node is resumed
	pauseAfter  fault = "pause after"
	killBefore  fault = "kill before"
	killAfter   fault = "kill after"
)

var allFaults = []fault{refuse, loseRequest, loseAnswer, deliverLate, pauseBefore, pauseAfter, killBefore, killAfter}

// lateBy is longer than a claim may take, so that what is delivered late meets
// the release of its claim.
const lateBy = time.Second

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

	mu     sync.Mutex
	dead   bool
	resume chan struct{}
	// writerOf is the node that this node takes for the writer of each range.
	writerOf map[Range]int
	store    []fault // one for each next call to the store; "" is none
	link     []fault // one for each next call to a peer
	claim    []fault // one for each next point between a grant and its settlement
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
	n.writers = NewWriters(c.cfg.Ranges, func(r Range) *Writer {
		return StartWriter(&nodeStore{Store: c.mem, node: n}, r, c.cfg, NewBudget(1e6), &c.gone)
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

// next takes the fault of the next call.
func (n *node) next(list *[]fault) fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(*list) == 0 {
		return ""
	}
	f := (*list)[0]
	*list = (*list)[1:]
	return f
}

func (n *node) arm(list *[]fault, skip int, f fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	*list = append(make([]fault, skip), f)
}

func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

// kill ends the incarnation: from now on none of its calls has an effect.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = true
}

// point applies a pause or a kill. A dead node never goes on.
func (n *node) point(now bool, pause, kill bool) {
	if now && kill {
		n.kill()
	}
	if now && pause {
		n.mu.Lock()
		if n.resume == nil {
			n.resume = make(chan struct{})
		}
		resume := n.resume
		n.mu.Unlock()
		select {
		case <-resume:
		case <-n.cluster.ended:
		}
	}
	if n.isDead() {
		<-n.cluster.ended
	}
}

func (n *node) before(f fault) {
	n.point(f == pauseBefore || f == killBefore, f == pauseBefore, f == killBefore)
}
func (n *node) after(f fault) {
	n.point(f == pauseAfter || f == killAfter, f == pauseAfter, f == killAfter)
}

func (n *node) resumeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resume != nil {
		close(n.resume)
		n.resume = nil
	}
}

// heal ends all faults, and replaces dead nodes.
func (c *cluster) heal() {
	c.mem.SetFault(nil)
	for i := range c.nodes {
		n := c.at(i)
		n.mu.Lock()
		n.store, n.link, n.claim = nil, nil, nil
		n.mu.Unlock()
		n.resumeAll()
		if n.isDead() {
			c.start(i, 1000)
		}
	}
	for _, n := range c.all {
		c.gone.set(n.owner, n.isDead())
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

// nodeStore is the store as one node sees it.
type nodeStore struct {
	store.Store
	node *node
}

func (s *nodeStore) do(write bool, act func() error) error {
	f := s.node.next(&s.node.store)
	s.node.before(f)
	select {
	case <-s.node.cluster.ended:
		return store.ErrUnavailable
	default:
	}
	lost := store.ErrUnavailable
	if write {
		lost = store.ErrAmbiguous
	}
	switch f {
	case refuse:
		return store.ErrUnavailable
	case loseRequest:
		return lost
	case deliverLate:
		if write {
			go func() {
				time.Sleep(lateBy)
				_ = act()
			}()
		}
		return lost
	}
	err := act()
	s.node.after(f)
	if f == loseAnswer {
		return lost
	}
	return err
}

func (s *nodeStore) Get(ctx context.Context, key string) (entry store.Entry, err error) {
	err = s.do(false, func() (err error) {
		entry, err = s.Store.Get(context.WithoutCancel(ctx), key)
		return err
	})
	return entry, err
}

func (s *nodeStore) Put(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	var revision store.Revision
	err := s.do(true, func() error {
		r, err := s.Store.Put(context.WithoutCancel(ctx), key, value, expected, lease)
		revision = r
		return err
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

func (s *nodeStore) Delete(ctx context.Context, key string, expected store.Revision) error {
	return s.do(true, func() error { return s.Store.Delete(context.WithoutCancel(ctx), key, expected) })
}

// link is the writer of a range on another node, reached over a network.
type link struct {
	from, to *node
	rng      Range
}

var errLink = errors.New("no answer from the peer")

func (l *link) do(ctx context.Context, call func(context.Context, Handle) error) error {
	f := l.from.next(&l.from.link)
	handle := l.to.writers.Handle(l.rng)
	if f == deliverLate {
		go func() {
			time.Sleep(lateBy)
			lateCtx, cancel := timed()
			defer cancel()
			if !l.to.isDead() {
				_ = call(lateCtx, handle)
			}
		}()
	}
	if l.to.isDead() || handle == nil || slices.Contains([]fault{refuse, loseRequest, deliverLate, killBefore}, f) {
		<-ctx.Done()
		return errLink
	}
	err := call(ctx, handle)
	if l.to.isDead() || slices.Contains([]fault{loseAnswer, killAfter}, f) {
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
