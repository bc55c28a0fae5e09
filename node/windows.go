package node

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/figweir/figweir/authority"
	"github.com/figweir/figweir/platform/billing"
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
	owners map[uint32]*usage.Owner
	// ended adds up the counters of owners whose term has ended.
	ended usage.OwnerStats
}

func newWindows(n *Node) *windows {
	base := "http://" + n.settings.Platform.Address
	w := &windows{
		node: n, owners: make(map[uint32]*usage.Owner),
		reporter: billing.NewClient(base, n.process, settings.Seconds(n.settings.Platform.TimeoutSeconds), nil),
	}
	n.metrics.Publish("usage_windows", expvar.Func(w.stats))
	n.metrics.Publish("usage_mirrors", expvar.Func(func() any { return n.meter.recorder.Stats() }))
	return w
}

// run takes part in all shards until ctx ends.
func (w *windows) run(ctx context.Context) {
	var wait sync.WaitGroup
	for shard := range uint32(usageShards) {
		name := fmt.Sprintf("usage/%d", shard)
		duty, journal := w.node.duties.Duty(name, func() bool { return w.chosen(name) }, nil)
		wait.Go(func() {
			for ctx.Err() == nil {
				if term, held := duty.Term(); held {
					w.serve(ctx, shard, duty, term, journal)
				}
				sleep(ctx, dutyCheck)
			}
		})
	}
	wait.Wait()
}

// chosen reports whether this node should hold the duty.
func (w *windows) chosen(name string) bool {
	members := w.node.members.View().Choose(name, 1, nil)
	return len(members) == 1 && members[0].Name == w.node.settings.Name
}

// serve runs an owner for one term of the duty.
func (w *windows) serve(ctx context.Context, shard uint32, duty *authority.Duty, term uint64, journal *authority.Journal) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	owner := usage.NewOwner(usage.OwnerOptions{
		Shard: shard, Shards: usageShards, Window: w.node.settings.UsageWindow(),
		Store: w.node.store, Nodes: w.node.meter, Transport: w.node.meter.client,
		Barrier: barrier{journal}, Reporter: w.reporter, NewToken: uuid.NewString,
	})
	w.mu.Lock()
	w.owners[shard] = owner
	w.mu.Unlock()
	go func() {
		defer cancel()
		for duty.MayAct(term) && ctx.Err() == nil {
			sleep(ctx, dutyCheck)
		}
	}()
	owner.Run(ctx, ownerRetry)
	w.mu.Lock()
	delete(w.owners, shard)
	w.ended = addOwnerStats(w.ended, owner.Stats())
	w.mu.Unlock()
}

// stats adds up the counters of all owners of this process.
func (w *windows) stats() any {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := w.ended
	for _, owner := range w.owners {
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
