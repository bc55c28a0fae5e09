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
	// sealed and reported separately, the same on all nodes.
	usageShards = 16
	// ownerRetry is the pause before an owner tries again what failed.
	ownerRetry = 5 * time.Second
	// dutyCheck is how often a node looks whether it holds a duty.
	dutyCheck = 500 * time.Millisecond
)

// windows seals and reports the usage windows of the shards whose duty this
// node holds.
type windows struct {
	node     *Node
	reporter billing.Reporter

	mu     sync.Mutex
	owners map[*usage.Owner]bool
	// ended adds up the counters of owners whose term has ended.
	ended usage.OwnerStats
}

func newWindows(n *Node) *windows {
	base := "http://" + n.settings.Platform.Address
	w := &windows{
		node: n, owners: make(map[*usage.Owner]bool),
		reporter: billing.NewClient(base, n.process, settings.Seconds(n.settings.Platform.TimeoutSeconds), nil),
	}
	n.metrics.Publish("usage_windows", expvar.Func(w.stats))
	n.metrics.Publish("usage_mirrors", expvar.Func(func() any { return n.meter.recorder.Stats() }))
	return w
}

// shardDuty is the duty to seal one shard, and the owner that does it.
type shardDuty struct {
	shard   uint32
	duty    *authority.Duty
	journal *authority.Journal
	// term and cancel are set while an owner runs.
	term   uint64
	cancel context.CancelFunc
}

// run takes part in all shards until ctx ends. One loop looks after all of
// them, so that an idle node wakes up rarely.
func (w *windows) run(ctx context.Context) {
	var wait sync.WaitGroup
	duties := make([]*shardDuty, usageShards)
	for shard := range duties {
		name := fmt.Sprintf("usage/%d", shard)
		d := &shardDuty{shard: uint32(shard)}
		d.duty, d.journal = w.node.duties.Duty(name, func() bool { return w.chosen(name) }, nil)
		duties[shard] = d
	}
	for ctx.Err() == nil {
		for _, d := range duties {
			w.follow(ctx, d, &wait)
		}
		sleep(ctx, dutyCheck)
	}
	wait.Wait()
}

// follow starts an owner when the duty was acquired and ends it when the term
// is over.
func (w *windows) follow(ctx context.Context, d *shardDuty, wait *sync.WaitGroup) {
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
	wait.Go(func() {
		defer cancel()
		w.serve(ownerCtx, d.shard, d.journal)
	})
}

// chosen reports whether this node should hold the duty.
func (w *windows) chosen(name string) bool {
	members := w.node.members.View().Choose(name, 1, nil)
	return len(members) == 1 && members[0].Name == w.node.settings.Name
}

// serve runs an owner for one term of the duty.
func (w *windows) serve(ctx context.Context, shard uint32, journal *authority.Journal) {
	owner := usage.NewOwner(usage.OwnerOptions{
		Shard: shard, Shards: usageShards, Window: w.node.settings.UsageWindow(),
		Store: w.node.store, Nodes: w.node.meter, Transport: w.node.meter.client,
		Barrier: barrier{journal}, Reporter: w.reporter, NewToken: uuid.NewString,
	})
	w.mu.Lock()
	w.owners[owner] = true
	w.mu.Unlock()
	owner.Run(logr.NewContext(ctx, w.node.log), ownerRetry)
	w.mu.Lock()
	delete(w.owners, owner)
	w.ended = addOwnerStats(w.ended, owner.Stats())
	w.mu.Unlock()
}

// stats adds up the counters of all owners of this process.
func (w *windows) stats() any {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := w.ended
	for owner := range w.owners {
		total = addOwnerStats(total, owner.Stats())
	}
	return total
}

func addOwnerStats(a, b usage.OwnerStats) usage.OwnerStats {
	return usage.OwnerStats{
		Sealed: a.Sealed + b.Sealed, Adopted: a.Adopted + b.Adopted,
		Reported: a.Reported + b.Reported, LateReports: a.LateReports + b.LateReports,
		Corrections: a.Corrections + b.Corrections, Corrected: a.Corrected.Plus(b.Corrected),
		TooLate: a.TooLate.Plus(b.TooLate), Unreachable: a.Unreachable + b.Unreachable,
	}
}

// barrier lets only the holder of the duty report, under its journal.
type barrier struct{ journal *authority.Journal }

// Do implements usage.Barrier.
func (b barrier) Do(ctx context.Context, target, orderID string, send func(ctx context.Context, token uint64) error) error {
	order := authority.Order{Kind: "usage report", Detail: orderID}
	return b.journal.Do(ctx, authority.Target{Name: target}, order, func(ctx context.Context, token uint64) error {
		err := send(ctx, token)
		if errors.Is(err, billing.ErrRefused) || errors.Is(err, billing.ErrUnavailable) {
			return authority.Refused(err)
		}
		return err
	})
}
