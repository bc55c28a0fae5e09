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
	// demandInterval is how often a node tells the holders what its callers
	// asked for.
	demandInterval = 3 * time.Second
	// demandKept is how long a message of a node counts: two intervals, so that
	// one that is late or lost leaves no gap.
	demandKept = 2 * demandInterval
)

// demand counts what the callers of this node ask for, and sums up what all
// nodes have told.
type demand struct {
	node      *Node
	publisher *peer.EventPublisher
	// asked maps the name of a pool to its *askedTokens. Requests add to it and
	// take no lock.
	asked sync.Map

	mu      sync.Mutex
	heard   map[string]heardDemand // by node
	pools   map[string]*plan.Demand
	holders map[string]map[string]bool // the names of announced holders by duty
}

// askedTokens is what callers have asked for since the last message.
type askedTokens struct{ prompt, output atomic.Int64 }

type heardDemand struct {
	at    time.Time
	event bus.Demand
}

func newDemand(n *Node) *demand {
	d := &demand{
		node: n, heard: make(map[string]heardDemand),
		pools: make(map[string]*plan.Demand), holders: make(map[string]map[string]bool),
	}
	d.publisher = peer.NewEventPublisher(n.settings.Name, n.peerHTTP, d.receivers, connect.WithInterceptors(n.auth))
	bus.Handle(n.bus, "demand", bus.TopicDemand, func(_ context.Context, e bus.Event[bus.Demand]) error {
		d.hear(e.Origin, e.Value, time.Now())
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

// count adds what a caller asks for to the demand for its pool.
func (d *demand) count(w caller.Work) {
	asked := d.askedOf(w.Pool.Name)
	asked.prompt.Add(int64(w.PromptTokens))
	asked.output.Add(int64(w.MaxOutputTokens))
}

func (d *demand) askedOf(pool string) *askedTokens {
	asked, ok := d.asked.Load(pool)
	if !ok {
		asked, _ = d.asked.LoadOrStore(pool, &askedTokens{})
	}
	return asked.(*askedTokens)
}

// demandAdmitter counts requests before they are admitted, so that a shortage
// does not hide the demand that it refuses.
type demandAdmitter struct {
	caller.Admitter
	demand *demand
}

// Admit implements caller.Admitter.
func (a demandAdmitter) Admit(ctx context.Context, w caller.Work) (caller.Admission, error) {
	a.demand.count(w)
	return a.Admitter.Admit(ctx, w)
}

// run sends what was asked for, and observes the sum, until ctx ends.
func (d *demand) run(ctx context.Context) {
	last := time.Now()
	for sleep(ctx, demandInterval); ctx.Err() == nil; sleep(ctx, demandInterval) {
		now := time.Now()
		event := d.take(now.Sub(last))
		last = now
		d.hear("", event, now)
		d.observe(now)
		m, err := bus.Encode(event)
		if err == nil {
			err = d.publisher.Publish(string(bus.TopicDemand), m)
		}
		if err != nil {
			d.node.log.V(1).Info("demand not sent to all holders", "error", err.Error())
		}
	}
}

// take returns the demand since the last call, with every engine pool.
func (d *demand) take(elapsed time.Duration) bus.Demand {
	event := bus.Demand{Seconds: elapsed.Seconds()}
	snapshot := d.node.config.Load()
	if snapshot == nil {
		return event
	}
	for _, p := range snapshot.Document.Pools {
		if p.Kind == config.KindEngine {
			asked := d.askedOf(p.Name)
			event.Pools = append(event.Pools, bus.PoolDemand{Pool: p.Name, PromptTokens: asked.prompt.Swap(0), OutputTokens: asked.output.Swap(0)})
		}
	}
	return event
}

func (d *demand) hear(origin string, event bus.Demand, now time.Time) {
	if event.Seconds <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard[origin] = heardDemand{now, event}
}

// observe adds the sum of what was heard to the forecasts.
func (d *demand) observe(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := make(map[string]plan.Tokens)
	for origin, h := range d.heard {
		if now.Sub(h.at) > demandKept {
			delete(d.heard, origin)
			continue
		}
		for _, p := range h.event.Pools {
			t := sum[p.Pool]
			sum[p.Pool] = plan.Tokens{
				Prefill: t.Prefill + float64(p.PromptTokens)/h.event.Seconds,
				Decode:  t.Decode + float64(p.OutputTokens)/h.event.Seconds,
			}
		}
	}
	for pool, tokens := range sum {
		if d.pools[pool] == nil {
			fresh := plan.NewDemand()
			d.pools[pool] = &fresh
		}
		d.pools[pool].Observe(now, tokens)
	}
}

// of returns the forecast for a pool.
func (d *demand) of(pool string) plan.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[pool]; p != nil {
		return *p
	}
	return plan.NewDemand()
}

// receivers are the nodes that hold, or should hold, the duties of orders.
func (d *demand) receivers() []peer.Peer {
	wanted := make(map[string]bool)
	for _, domain := range failureDomains(d.node.config.Load()) {
		name := orders.DutyPrefix + domain
		if m, ok := d.node.duties.chosen(name, domain); ok {
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
