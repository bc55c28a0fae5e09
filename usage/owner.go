package usage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/figweir/figweir/billing"
	"github.com/figweir/figweir/store"
)

// Defaults of OwnerOptions.
const (
	// DefaultGrace is how long after the end of a window it is sealed. It
	// covers the last mirror batches and the clock differences between nodes.
	DefaultGrace = 10 * time.Second
	// DefaultLateAfter is how long after its grace time a report counts as late.
	DefaultLateAfter = 30 * time.Second
	// DefaultCollectTimeout bounds the collection from one node.
	DefaultCollectTimeout = 2 * time.Second
	// DefaultHorizonWindows is for how many windows late totals are accepted
	// and records are kept.
	DefaultHorizonWindows = 288
)

// collectParallel bounds the collections in progress at a time.
const collectParallel = 32

// NodeLister names the nodes that totals are collected from.
type NodeLister interface {
	// Nodes returns all live nodes, the own one included.
	Nodes() []Peer
}

// CollectTransport asks a node for its totals.
type CollectTransport interface {
	Collect(ctx context.Context, node Peer, req CollectRequest) (CollectResponse, error)
}

// Barrier lets only the process in charge act on a target. It guarantees that
// no two processes that both believe they are in charge send to one target.
type Barrier interface {
	// Do runs send with a fencing token, or returns an error without running
	// it. An error that wraps billing.ErrAmbiguous leaves the outcome of the
	// order unknown.
	Do(ctx context.Context, target, orderID string, send func(ctx context.Context, token uint64) error) error
}

// OwnerOptions configures an Owner. Zero values of durations and HorizonWindows
// take the defaults.
type OwnerOptions struct {
	// Shard is the hash range of workspaces, out of Shards.
	Shard, Shards uint32
	// Window is the length of a usage window, a whole number of seconds. It is
	// the same on all nodes.
	Window         time.Duration
	Grace          time.Duration
	LateAfter      time.Duration
	CollectTimeout time.Duration
	HorizonWindows int

	Store     store.Store
	Nodes     NodeLister
	Transport CollectTransport
	Barrier   Barrier
	Reporter  billing.Reporter
	// NewToken returns a unique writer token.
	NewToken func() string
}

// Owner seals and reports the windows of one shard. One Owner serves one term
// of the duty: a process that takes over the duty again starts a new one. Two
// owners at once are harmless; the store decides whose figures count.
type Owner struct {
	options OwnerOptions

	// mu serialises Step; stats has its own lock.
	mu     sync.Mutex
	loaded bool
	// firstWindow is the first window of the shard, 0 while it is not known.
	firstWindow int64
	// latest is the record of the newest sealed window, nil before the first.
	latest    *Record
	corrected map[ledgerKey]Figures
	// records caches records that are in use.
	records map[int64]*Record
	// pending are collected totals that no record is known to contain.
	pending map[ledgerKey]Figures
	nodes   map[string]*nodeCursor
	// unknown is a record whose write had an unknown outcome and could not be
	// read back yet.
	unknown *Record
	// unreported are sealed windows without a definite answer from billing.
	unreported map[int64]bool
	reported   map[int64]bool

	statsMu sync.Mutex
	stats   OwnerStats
}

// nodeCursor is what the owner has collected from one node.
type nodeCursor struct {
	incarnation string
	window      int64
	version     uint64
	// sealedWindow and sealedVersion cover what a record contains.
	sealedWindow  int64
	sealedVersion uint64
}

// OwnerStats are the counters of an owner.
type OwnerStats struct {
	// Sealed counts records that this owner wrote, Adopted those that it found.
	Sealed, Adopted uint64
	// Reported counts reports that billing took, LateReports those of them that
	// were late.
	Reported, LateReports uint64
	// Corrections counts corrections sealed here, Corrected their amount.
	Corrections uint64
	Corrected   Figures
	// TooLate is usage that arrived after the horizon and is not reported.
	TooLate Figures
	// Unreachable counts collections that failed.
	Unreachable uint64
}

// NewOwner returns an owner that has read nothing yet.
func NewOwner(options OwnerOptions) *Owner {
	setDefault(&options.Grace, DefaultGrace)
	setDefault(&options.LateAfter, DefaultLateAfter)
	setDefault(&options.CollectTimeout, DefaultCollectTimeout)
	if options.HorizonWindows == 0 {
		options.HorizonWindows = DefaultHorizonWindows
	}
	return &Owner{
		options:    options,
		records:    make(map[int64]*Record),
		pending:    make(map[ledgerKey]Figures),
		nodes:      make(map[string]*nodeCursor),
		unreported: make(map[int64]bool),
		reported:   make(map[int64]bool),
	}
}

// Stats returns the current counters.
func (o *Owner) Stats() OwnerStats {
	o.statsMu.Lock()
	defer o.statsMu.Unlock()
	return o.stats
}

func (o *Owner) count(update func(*OwnerStats)) {
	o.statsMu.Lock()
	defer o.statsMu.Unlock()
	update(&o.stats)
}

func (o *Owner) seconds() int64 { return int64(o.options.Window / time.Second) }

// lastDue returns the newest window whose end and grace time have passed.
func (o *Owner) lastDue(now time.Time) int64 {
	return WindowStart(now.Add(-o.options.Grace), o.options.Window) - o.seconds()
}

// Step seals every window that is due at now, the oldest first, and reports all
// sealed windows that billing has not taken. It returns the errors that kept it
// from finishing; the next Step goes on from there.
func (o *Owner) Step(ctx context.Context, now time.Time) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	last := o.lastDue(now)
	if err := o.load(ctx, last); err != nil {
		return err
	}
	return errors.Join(o.sealDue(ctx, last), o.reportAll(ctx, now))
}

// Run steps whenever a window is due, and every retry interval while something
// is left to do, until ctx ends.
func (o *Owner) Run(ctx context.Context, retry time.Duration) {
	log := logr.FromContextOrDiscard(ctx)
	for ctx.Err() == nil {
		now := time.Now()
		wait := o.NextDue(now).Sub(now)
		if err := o.Step(ctx, now); err != nil {
			log.Error(err, "usage window not finished", "shard", o.options.Shard)
			wait = min(wait, retry)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// NextDue returns when the next window will be due.
func (o *Owner) NextDue(now time.Time) time.Time {
	return time.Unix(o.lastDue(now)+2*o.seconds(), 0).Add(o.options.Grace)
}

func (o *Owner) sealDue(ctx context.Context, last int64) error {
	if o.latest != nil && o.latest.Window >= last {
		return nil
	}
	o.collect(ctx, last)
	if o.firstWindow == 0 {
		if err := o.start(ctx, last); err != nil {
			return fmt.Errorf("start shard %d: %w", o.options.Shard, err)
		}
	}
	for window := o.nextWindow(); window <= last; window = o.nextWindow() {
		if err := o.seal(ctx, window); err != nil {
			return fmt.Errorf("seal window %d of shard %d: %w", window, o.options.Shard, err)
		}
	}
	return nil
}

func (o *Owner) nextWindow() int64 {
	if o.latest == nil {
		return o.firstWindow
	}
	return o.latest.Window + o.seconds()
}

// collect merges what all nodes know of windows up to last. A node that can't
// be reached is left out: its mirrors have its totals, and what they lack
// arrives later as a correction.
func (o *Owner) collect(ctx context.Context, last int64) {
	nodes := o.options.Nodes.Nodes()
	responses := make([]*CollectResponse, len(nodes))
	var group errgroup.Group
	group.SetLimit(collectParallel)
	for i, node := range nodes {
		req := o.collectRequest(node, last)
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, o.options.CollectTimeout)
			defer cancel()
			if response, err := o.options.Transport.Collect(ctx, node, req); err == nil {
				responses[i] = &response
			}
			return nil
		})
	}
	_ = group.Wait()
	for i, response := range responses {
		if response == nil {
			o.count(func(s *OwnerStats) { s.Unreachable++ })
			continue
		}
		o.merge(nodes[i], last, response)
	}
	o.forgetNodes(nodes)
}

func (o *Owner) collectRequest(node Peer, last int64) CollectRequest {
	req := CollectRequest{Window: last, Shard: o.options.Shard, Shards: o.options.Shards}
	if c := o.nodes[node.ID]; c != nil {
		req.Incarnation = c.incarnation
		req.AfterWindow, req.AfterVersion = c.window, c.version
		req.SealedWindow, req.SealedVersion = c.sealedWindow, c.sealedVersion
	}
	return req
}

func (o *Owner) merge(node Peer, last int64, response *CollectResponse) {
	for _, t := range response.Totals {
		key := ledgerKey{t.Incarnation, t.Workspace, t.Window}
		o.pending[key] = o.pending[key].Max(t.Figures)
	}
	c := o.nodes[node.ID]
	if c == nil || c.incarnation != response.Incarnation {
		c = &nodeCursor{incarnation: response.Incarnation}
		o.nodes[node.ID] = c
	}
	c.window, c.version = last, response.Version
}

// forgetNodes drops the cursors of nodes that are no longer listed. A node that
// comes back is asked for everything that it still holds.
func (o *Owner) forgetNodes(listed []Peer) {
	maps.DeleteFunc(o.nodes, func(id string, _ *nodeCursor) bool {
		return !slices.ContainsFunc(listed, func(p Peer) bool { return p.ID == id })
	})
}
