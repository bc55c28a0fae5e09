package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/figweir/figweir/bus"
	"github.com/figweir/figweir/caller"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/orders"
	"github.com/figweir/figweir/peer"
	"github.com/figweir/figweir/plan"
)

const (
	// demandInterval is the time between two messages by which a node reports its
	// demand to the holders of the orders duties.
	demandInterval = 3 * time.Second
	// demandTTL is how long a received message counts: two intervals, so that a
	// late or lost message leaves no gap.
	demandTTL = 2 * demandInterval
)

// demandTracker counts the tokens that callers of this node request, and
// aggregates the demand reported by all nodes into forecasts.
type demandTracker struct {
	node      *Node
	publisher *peer.EventPublisher
	// requested maps the name of a pool to its *requestedTokens. Requests add to it
	// without a lock.
	requested sync.Map

	mu        sync.Mutex
	received  map[string]receivedDemand  // latest message by node; "" is this node
	forecasts map[string]*plan.Demand    // by pool
	holders   map[string]map[string]bool // names of the announced holders by duty
}

// requestedTokens counts the tokens requested since the last message.
type requestedTokens struct{ prompt, output atomic.Int64 }

// receivedDemand is a message with the time of its arrival.
type receivedDemand struct {
	at    time.Time
	event bus.Demand
}

func newDemandTracker(n *Node) *demandTracker {
	d := &demandTracker{
		node: n, received: make(map[string]receivedDemand),
		forecasts: make(map[string]*plan.Demand), holders: make(map[string]map[string]bool),
	}
	d.publisher = peer.NewEventPublisher(n.settings.Name, n.peerHTTP, d.receivers, connect.WithInterceptors(n.auth))
	bus.Handle(n.bus, "demand", bus.TopicDemand, func(_ context.Context, e bus.Event[bus.Demand]) error {
		d.receive(e.Origin, e.Value, time.Now())
		return nil
	})
	bus.Handle(n.bus, "demand-holders", bus.TopicDutyChanged, func(_ context.Context, e bus.Event[bus.DutyChanged]) error {
		d.mu.Lock()
		defer d.mu.Unlock()
		if e.Value.Held {
			d.holders[e.Value.Duty] = map[string]bool{e.Origin: true}
		} else {
			delete(d.holders[e.Value.Duty], e.Origin)
		}
		return nil
	})
	return d
}

// count adds the tokens of a request to the demand for its pool.
func (d *demandTracker) count(info caller.RequestInfo) {
	tokens := d.requestedFrom(info.Pool.Name)
	tokens.prompt.Add(int64(info.PromptTokens))
	tokens.output.Add(int64(info.MaxOutputTokens))
}

// requestedFrom returns the counters of a pool.
func (d *demandTracker) requestedFrom(pool string) *requestedTokens {
	tokens, ok := d.requested.Load(pool)
	if !ok {
		tokens, _ = d.requested.LoadOrStore(pool, &requestedTokens{})
	}
	return tokens.(*requestedTokens)
}

// demandAdmitter counts requests before they are admitted, so that demand
// includes the requests that are refused for lack of capacity.
type demandAdmitter struct {
	caller.Admitter
	demand *demandTracker
}

// Admit implements caller.Admitter.
func (a demandAdmitter) Admit(ctx context.Context, info caller.RequestInfo) (caller.Admission, error) {
	a.demand.count(info)
	return a.Admitter.Admit(ctx, info)
}

// run sends this node's demand and updates the forecasts until ctx is canceled.
func (d *demandTracker) run(ctx context.Context) {
	last := time.Now()
	for sleep(ctx, demandInterval); ctx.Err() == nil; sleep(ctx, demandInterval) {
		now := time.Now()
		event := d.collect(now.Sub(last))
		last = now
		d.receive("", event, now)
		d.updateForecasts(now)
		m, err := bus.Encode(event)
		if err == nil {
			err = d.publisher.Publish(string(bus.TopicDemand), m)
		}
		if err != nil {
			d.node.log.V(1).Info("demand not sent to all holders", "error", err.Error())
		}
	}
}

// collect returns the demand since the last call for all engine pools and resets
// the counters.
func (d *demandTracker) collect(elapsed time.Duration) bus.Demand {
	event := bus.Demand{Seconds: elapsed.Seconds()}
	snapshot := d.node.config.Load()
	if snapshot == nil {
		return event
	}
	for _, p := range snapshot.Document.Pools {
		if p.Kind == config.KindEngine {
			tokens := d.requestedFrom(p.Name)
			event.Pools = append(event.Pools, bus.PoolDemand{Pool: p.Name, PromptTokens: tokens.prompt.Swap(0), OutputTokens: tokens.output.Swap(0)})
		}
	}
	return event
}

// receive stores the latest message of a node.
func (d *demandTracker) receive(origin string, event bus.Demand, now time.Time) {
	if event.Seconds <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.received[origin] = receivedDemand{now, event}
}

// updateForecasts adds the sum of the current messages to the forecasts.
func (d *demandTracker) updateForecasts(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := make(map[string]plan.Tokens)
	for origin, message := range d.received {
		if now.Sub(message.at) > demandTTL {
			delete(d.received, origin)
			continue
		}
		for _, p := range message.event.Pools {
			t := sum[p.Pool]
			sum[p.Pool] = plan.Tokens{
				Prefill: t.Prefill + float64(p.PromptTokens)/message.event.Seconds,
				Decode:  t.Decode + float64(p.OutputTokens)/message.event.Seconds,
			}
		}
	}
	for pool, tokens := range sum {
		if d.forecasts[pool] == nil {
			forecast := plan.NewDemand()
			d.forecasts[pool] = &forecast
		}
		d.forecasts[pool].Observe(now, tokens)
	}
}

// forecast returns the demand forecast for a pool.
func (d *demandTracker) forecast(pool string) plan.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.forecasts[pool]; p != nil {
		return *p
	}
	return plan.NewDemand()
}

// receivers returns the other nodes that hold an orders duty, or that are the
// preferred holder of one.
func (d *demandTracker) receivers() []peer.Peer {
	wanted := make(map[string]bool)
	for _, domain := range failureDomains(d.node.config.Load()) {
		name := orders.DutyPrefix + domain
		if m, ok := d.node.duties.preferredHolder(name, domain); ok {
			wanted[m.Name] = true
		}
		d.mu.Lock()
		for holder := range d.holders[name] {
			wanted[holder] = true
		}
		d.mu.Unlock()
	}
	var out []peer.Peer
	for _, p := range d.node.otherNodes() {
		if wanted[p.Name] {
			out = append(out, p)
		}
	}
	return out
}
