package node

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"github.com/figweir/figweir/authority"
	"github.com/figweir/figweir/billing"
	"github.com/figweir/figweir/settings"
	"github.com/figweir/figweir/usage"
)

const (
	// usageShards is the number of hash ranges of workspaces whose windows are
	// sealed and reported separately. It must be the same on all nodes.
	usageShards = 16
	// ownerRetryDelay is the pause before an owner retries a failed step.
	ownerRetryDelay = 5 * time.Second
	// dutyCheckInterval is the time between two checks whether this node holds a
	// duty.
	dutyCheckInterval = 500 * time.Millisecond
)

// usageWindows seals and reports the usage windows of the shards whose duty this
// node holds.
type usageWindows struct {
	node     *Node
	reporter billing.Reporter

	mu     sync.Mutex
	owners map[*usage.Owner]bool
	// endedStats is the sum of the counters of owners whose term has ended.
	endedStats usage.OwnerStats
}

func newUsageWindows(n *Node) *usageWindows {
	base := "http://" + n.settings.Platform.Address
	w := &usageWindows{
		node: n, owners: make(map[*usage.Owner]bool),
		reporter: billing.NewClient(base, n.process, settings.SecondsToDuration(n.settings.Platform.TimeoutSeconds), nil),
	}
	n.metrics.Publish("usage_windows", expvar.Func(w.stats))
	n.metrics.Publish("usage_mirrors", expvar.Func(func() any { return n.meter.recorder.Stats() }))
	return w
}

// shardDuty is the duty to seal one shard, with the state of its owner.
type shardDuty struct {
	shard   uint32
	duty    *authority.Duty
	journal *authority.Journal
	// term and cancel are set while an owner runs.
	term   uint64
	cancel context.CancelFunc
}

// run follows the duties of all shards until ctx is canceled. A single loop
// checks all of them, so that an idle node wakes up rarely.
func (w *usageWindows) run(ctx context.Context) {
	var wg sync.WaitGroup
	duties := make([]*shardDuty, usageShards)
	for shard := range duties {
		name := fmt.Sprintf("usage/%d", shard)
		d := &shardDuty{shard: uint32(shard)}
		d.duty, d.journal = w.node.duties.Duty(name, func() bool { return w.isCandidate(name) }, nil)
		duties[shard] = d
	}
	for ctx.Err() == nil {
		for _, d := range duties {
			w.followDuty(ctx, d, &wg)
		}
		sleep(ctx, dutyCheckInterval)
	}
	wg.Wait()
}

// followDuty starts an owner when the duty has been acquired and stops it when
// the term has ended.
func (w *usageWindows) followDuty(ctx context.Context, d *shardDuty, wg *sync.WaitGroup) {
	if d.cancel != nil {
		if d.duty.MayAct(d.term) {
			return
		}
		d.cancel()
		d.cancel = nil
	}
	term, held := d.duty.Term()
	if !held {
		return
	}
	ownerCtx, cancel := context.WithCancel(ctx)
	d.term, d.cancel = term, cancel
	wg.Go(func() {
		defer cancel()
		w.runOwner(ownerCtx, d.shard, d.journal)
	})
}

// isCandidate reports whether this node should hold the duty.
func (w *usageWindows) isCandidate(name string) bool {
	members := w.node.members.View().Choose(name, 1, nil)
	return len(members) == 1 && members[0].Name == w.node.settings.Name
}

// runOwner runs an owner for one term of the duty.
func (w *usageWindows) runOwner(ctx context.Context, shard uint32, journal *authority.Journal) {
	owner := usage.NewOwner(usage.OwnerOptions{
		Shard: shard, Shards: usageShards, Window: w.node.settings.UsageWindow(),
		Store: w.node.store, Nodes: w.node.meter, Transport: w.node.meter.client,
		FencedSender: dutySender{journal}, Reporter: w.reporter, NewToken: uuid.NewString,
		Era: w.node.eras.Current,
	})
	w.mu.Lock()
	w.owners[owner] = true
	w.mu.Unlock()
	owner.Run(logr.NewContext(ctx, w.node.log), ownerRetryDelay)
	w.mu.Lock()
	delete(w.owners, owner)
	w.endedStats = addOwnerStats(w.endedStats, owner.Stats())
	w.mu.Unlock()
}

// stats returns the sum of the counters of all owners of this process.
func (w *usageWindows) stats() any {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := w.endedStats
	for owner := range w.owners {
		total = addOwnerStats(total, owner.Stats())
	}
	return total
}

// addOwnerStats returns the sum of two sets of counters.
func addOwnerStats(a, b usage.OwnerStats) usage.OwnerStats {
	return usage.OwnerStats{
		Sealed: a.Sealed + b.Sealed, Adopted: a.Adopted + b.Adopted,
		Reported: a.Reported + b.Reported, LateReports: a.LateReports + b.LateReports,
		Corrections: a.Corrections + b.Corrections, Corrected: a.Corrected.Add(b.Corrected),
		Withheld: a.Withheld + b.Withheld,
		TooLate:  a.TooLate.Add(b.TooLate), Unreachable: a.Unreachable + b.Unreachable,
	}
}

// dutySender sends reports as orders in the journal of the duty, so that only
// the duty's holder sends them.
type dutySender struct{ journal *authority.Journal }

// Do implements usage.FencedSender.
func (s dutySender) Do(ctx context.Context, target, orderID string, send func(ctx context.Context, token uint64) error) error {
	order := authority.Order{Kind: "usage report", Detail: orderID}
	return s.journal.Do(ctx, authority.Target{Name: target}, order, func(ctx context.Context, token uint64) error {
		err := send(ctx, token)
		if errors.Is(err, billing.ErrRefused) || errors.Is(err, billing.ErrUnavailable) {
			return authority.Refused(err)
		}
		return err
	})
}
