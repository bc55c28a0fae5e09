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
	// DefaultGrace is the grace period between the end of a window and its
	// sealing. It covers the last mirror batches and clock differences between
	// nodes.
	DefaultGrace = 10 * time.Second
	// DefaultLateAfter is how long after the grace period a report counts as
	// late.
	DefaultLateAfter = 30 * time.Second
	// DefaultCollectTimeout is the timeout of the collection from one node.
	DefaultCollectTimeout = 2 * time.Second
	// DefaultHorizonWindows is the number of windows for which late totals are
	// accepted and records are kept.
	DefaultHorizonWindows = 288
)

// maxConcurrentCollects is the maximum number of concurrent collections.
const maxConcurrentCollects = 32

// NodeLister lists the nodes to collect totals from.
type NodeLister interface {
	// Nodes returns all live nodes, including this one.
	Nodes() []Peer
}

// CollectTransport sends collect requests to nodes.
type CollectTransport interface {
	// Collect returns the node's response, or an error if there is none.
	Collect(ctx context.Context, node Peer, req CollectRequest) (CollectResponse, error)
}

// FencedSender ensures that only the duty holder sends to a target: two processes
// never send to it at the same time, even if both act as the holder.
type FencedSender interface {
	// Do calls send with a fencing token, or returns an error without calling
	// it. If send returns an error that wraps billing.ErrAmbiguous, the outcome
	// of the order is unknown.
	Do(ctx context.Context, target, orderID string, send func(ctx context.Context, token uint64) error) error
}

// OwnerOptions configures an Owner. For zero durations and HorizonWindows, the
// defaults are used.
type OwnerOptions struct {
	// Shard is the number of the shard of workspaces, from 0 to Shards-1.
	Shard, Shards uint32
	// Window is the length of a usage window, a whole number of seconds. It
	// must be the same on all nodes.
	Window time.Duration
	// The next four fields are described at their defaults.
	Grace          time.Duration
	LateAfter      time.Duration
	CollectTimeout time.Duration
	HorizonWindows int

	Store        store.Store
	Nodes        NodeLister
	Transport    CollectTransport
	FencedSender FencedSender
	Reporter     billing.Reporter
	// NewToken returns a unique token for a record.
	NewToken func() string
	// Era returns the newest era of the store that was seen; nil if the store states none.
	Era func() store.Era
}

// Owner seals and reports the windows of one shard. An Owner is used for one
// term of the duty; a process that acquires the duty again creates a new one.
// Two concurrent owners of a shard are safe: records are create-only, so the
// store decides which owner's record of a window is used.
type Owner struct {
	options OwnerOptions

	// mu serializes calls of Step. stats has its own lock.
	mu sync.Mutex
	// loaded is set if the newest record has been looked up in the store.
	loaded bool
	// eraSince states since when the era of the store is known.
	eraSince store.EraSince
	// firstWindow is the first window of the shard, 0 if not known yet.
	firstWindow int64
	// latest is the record of the newest sealed window, nil if there is none.
	latest *Record
	// corrected contains the totals in latest.Corrected.
	corrected map[ledgerKey]Figures
	// records caches the records in use by window.
	records map[int64]*Record
	// pending contains the collected totals that are not known to be in a
	// record.
	pending map[ledgerKey]Figures
	// cursors contains the collection state by node ID.
	cursors map[string]*nodeCursor
	// ambiguous is a record whose write had an unknown outcome that is not
	// resolved yet.
	ambiguous *Record
	// unreported contains the sealed windows whose report is not confirmed by
	// billing.
	unreported map[int64]bool
	// reported contains the windows whose report was confirmed to this owner.
	reported map[int64]bool

	statsMu sync.Mutex
	stats   OwnerStats
}

// nodeCursor is the position up to which the owner has collected the totals of
// one node.
type nodeCursor struct {
	incarnation string
	window      int64
	version     uint64
	// Totals up to sealedWindow and sealedVersion are in a record.
	sealedWindow  int64
	sealedVersion uint64
}

// OwnerStats contains the counters of an owner.
type OwnerStats struct {
	// Sealed counts records that this owner wrote, Adopted records that another
	// owner had written.
	Sealed, Adopted uint64
	// Reported counts reports that billing accepted, LateReports the late ones
	// among them.
	Reported, LateReports uint64
	// Corrections counts the corrections in records that this owner wrote,
	// Corrected sums their amounts.
	Corrections uint64
	Corrected   Figures
	// TooLate is usage that arrived after the horizon and is not reported.
	TooLate Figures
	// Withheld counts records that this owner wrote and that are not reported, since the window
	// may have been reported before the store was restored.
	Withheld uint64
	// Unreachable counts failed collections.
	Unreachable uint64
}

// NewOwner returns an owner that has not read the store yet.
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
		cursors:    make(map[string]*nodeCursor),
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

func (o *Owner) updateStats(update func(*OwnerStats)) {
	o.statsMu.Lock()
	defer o.statsMu.Unlock()
	update(&o.stats)
}

func (o *Owner) windowSeconds() int64 { return int64(o.options.Window / time.Second) }

// lastDue returns the newest window whose grace period is over.
func (o *Owner) lastDue(now time.Time) int64 {
	return WindowStart(now.Add(-o.options.Grace), o.options.Window) - o.windowSeconds()
}

// Step seals every window that is due at now, the oldest first, and reports all
// sealed windows whose report is not confirmed. Work that fails is retried by
// the next Step; the errors are returned.
func (o *Owner) Step(ctx context.Context, now time.Time) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	last := o.lastDue(now)
	if err := o.updateEra(ctx, now); err != nil {
		return fmt.Errorf("since when the era of the store is known: %w", err)
	}
	if err := o.loadNewest(ctx, last); err != nil {
		return err
	}
	if err := o.checkEra(); err != nil {
		return err
	}
	sealErr := o.sealDue(ctx, last)
	if err := o.checkEra(); err != nil {
		return errors.Join(sealErr, err)
	}
	return errors.Join(sealErr, o.reportAll(ctx, now))
}

// Run calls Step when a window is due, and every retry interval while Step
// returns an error, until ctx ends.
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

// NextDue returns the time at which the next window is due.
func (o *Owner) NextDue(now time.Time) time.Time {
	return time.Unix(o.lastDue(now)+2*o.windowSeconds(), 0).Add(o.options.Grace)
}

// sealDue seals all windows up to last. If the shard has no first window yet, it
// stores one.
func (o *Owner) sealDue(ctx context.Context, last int64) error {
	if o.latest != nil && o.latest.Window >= last {
		return nil
	}
	o.collect(ctx, last)
	if o.firstWindow == 0 {
		if err := o.storeFirstWindow(ctx, last); err != nil {
			return fmt.Errorf("store the first window of shard %d: %w", o.options.Shard, err)
		}
	}
	for window := o.nextWindow(); window <= last; window = o.nextWindow() {
		if err := o.seal(ctx, window); err != nil {
			return fmt.Errorf("seal window %d of shard %d: %w", window, o.options.Shard, err)
		}
	}
	return nil
}

// nextWindow returns the oldest window that is not sealed.
func (o *Owner) nextWindow() int64 {
	if o.latest == nil {
		return o.firstWindow
	}
	return o.latest.Window + o.windowSeconds()
}

// collect merges the totals of all nodes for windows up to last. Unreachable
// nodes are skipped: their mirrors have their totals, and what the mirrors lack
// is reported later as a correction.
func (o *Owner) collect(ctx context.Context, last int64) {
	nodes := o.options.Nodes.Nodes()
	responses := make([]*CollectResponse, len(nodes))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCollects)
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
			o.updateStats(func(s *OwnerStats) { s.Unreachable++ })
			continue
		}
		o.merge(nodes[i], last, response)
	}
	o.pruneCursors(nodes)
}

// collectRequest returns the request for the totals of a node that the owner
// lacks.
func (o *Owner) collectRequest(node Peer, last int64) CollectRequest {
	req := CollectRequest{Window: last, Shard: o.options.Shard, Shards: o.options.Shards}
	if c := o.cursors[node.ID]; c != nil {
		req.Incarnation = c.incarnation
		req.AfterWindow, req.AfterVersion = c.window, c.version
		req.SealedWindow, req.SealedVersion = c.sealedWindow, c.sealedVersion
	}
	return req
}

// merge adds collected totals to the pending ones and advances the node's cursor.
func (o *Owner) merge(node Peer, last int64, response *CollectResponse) {
	for _, t := range response.Totals {
		key := ledgerKey{t.Incarnation, t.Workspace, t.Window}
		o.pending[key] = o.pending[key].Max(t.Figures)
	}
	c := o.cursors[node.ID]
	if c == nil || c.incarnation != response.Incarnation {
		c = &nodeCursor{incarnation: response.Incarnation}
		o.cursors[node.ID] = c
	}
	c.window, c.version = last, response.Version
}

// pruneCursors deletes the cursors of nodes that are no longer listed. If such
// a node is listed again, all its totals are collected again.
func (o *Owner) pruneCursors(listed []Peer) {
	maps.DeleteFunc(o.cursors, func(id string, _ *nodeCursor) bool {
		return !slices.ContainsFunc(listed, func(p Peer) bool { return p.ID == id })
	})
}
