package node

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/figweir/figweir/bus"
	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/peer"
	"github.com/figweir/figweir/quarantine"
)

// maxQuarantineSends is the number of updates that are sent at the same time. A node that does
// not answer holds one up for the timeout of a call.
const maxQuarantineSends = 8

// quarantineSharing exchanges with the other nodes which messages of prompts crash engines.
type quarantineSharing struct {
	node    *Node
	tracker *quarantine.Tracker
	sending atomic.Int64
}

func newQuarantineSharing(n *Node) *quarantineSharing {
	q := &quarantineSharing{node: n, tracker: quarantine.NewTracker(rand.Uint64())}
	q.tracker.OnChange = func(c quarantine.Change, source quarantine.Source, s quarantine.Suspicion) {
		n.log.Info("prompt parts "+string(c), "source", string(source), "shared_parts", strings.Join(s.Parts, ","), "crashes", s.Crashes,
			"held_ms", max(0, time.Until(s.HeldUntil).Milliseconds()), "failed_trials", s.Trials, "blocked", s.Blocked)
	}
	return q
}

// run judges the evidence and sends what other nodes have to know, until ctx is canceled.
func (q *quarantineSharing) run(ctx context.Context) {
	q.tracker.Run(ctx, func(now time.Time) {
		if u := q.tracker.DueUpdate(now, q.announcesAll()); !u.Empty() {
			q.send(now, u)
		}
	})
}

// announcesAll reports whether this node has the least name of its failure domain.
func (q *quarantineSharing) announcesAll() bool {
	self := q.node.VM()
	for _, m := range q.node.members.View().Live {
		if m.FailureDomain == self.FailureDomain && m.Name < self.Name {
			return false
		}
	}
	return true
}

// send sends an update to all other nodes. It does not wait for their answers.
func (q *quarantineSharing) send(now time.Time, u quarantine.Update) {
	raw, err := proto.Marshal(peer.EncodeQuarantine(now, &u))
	if err != nil {
		q.node.log.Error(err, "cannot encode quarantine update")
		return
	}
	m, err := bus.Encode(bus.Quarantine{Update: raw})
	if err != nil {
		q.node.log.Error(err, "cannot encode quarantine update")
		return
	}
	if q.sending.Add(1) > maxQuarantineSends {
		q.sending.Add(-1)
		q.node.log.Info("quarantine update not sent, others are still being sent")
		return
	}
	go func() {
		defer q.sending.Add(-1)
		if err := q.node.events.Publish(string(bus.TopicQuarantine), m); err != nil {
			q.node.log.V(1).Info("quarantine update not sent to all nodes", "error", err.Error())
		}
	}()
}

// receive applies an update of another node. The error is that of decoding.
func (q *quarantineSharing) receive(_ context.Context, e bus.Event[bus.Quarantine]) error {
	var m figweirv1.QuarantineUpdate
	if err := proto.Unmarshal(e.Value.Update, &m); err != nil {
		return err
	}
	now := time.Now()
	q.tracker.Apply(now, peer.DecodeQuarantine(now, &m))
	return nil
}

// report implements operator.Report.
func (q *quarantineSharing) report(context.Context) (any, error) {
	now := time.Now()
	reports := []quarantine.Report{}
	for _, s := range q.tracker.Suspicions() {
		reports = append(reports, quarantine.NewReport(now, &s, nil))
	}
	return reports, nil
}
