package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/figweir/figweir/permit"
)

// tick is the step of virtual time.
const tick = 5 * time.Millisecond

// testOptions are the bound that the tests check, and workspaceName the workspace that has a quota.
var testOptions = Options{Window: 8 * time.Second, Overage: 0.1, Tolerance: 20}

const workspaceName = "w"

// simNode is a node in virtual time.
type simNode struct {
	limiter *Limiter
	up      bool
	// pausedUntil is when a pause ends; inbox holds what arrives meanwhile.
	pausedUntil time.Time
	inbox       []func()
	// side is the side of a network partition on which the node is.
	side int
	// storeAway is true if the node can't read the store.
	storeAway bool
	// view holds the indices of the nodes that this node knows.
	view []int
}

// grantedAmount is an amount that was sent.
type grantedAmount struct {
	at     time.Time
	amount float64
}

// fleet is a set of nodes in virtual time that send for one workspace.
type fleet struct {
	t     testing.TB
	rng   *rand.Rand
	now   time.Time
	nodes []*simNode
	// options are the bound that is checked.
	options Options
	// addresses holds the indices of the nodes by address.
	addresses map[string]int
	limit     Limit
	// due holds what happens at later steps.
	due map[int64][]func()
	// loss is the fraction of datagrams that are lost, repeat that of those that arrive twice,
	// and maxDelay the longest delay.
	loss, repeat float64
	maxDelay     time.Duration
	sent         []grantedAmount
	refused      int
	messages     int
}

func newFleet(t testing.TB, nodes int, limit Limit) *fleet {
	return newFleetWithin(t, testOptions, nodes, limit)
}

// newFleetWithin is newFleet with another bound.
func newFleetWithin(t testing.TB, options Options, nodes int, limit Limit) *fleet {
	f := &fleet{t: t, options: options, rng: rand.New(rand.NewPCG(7, uint64(nodes))), now: time.Unix(1000, 0), limit: limit, due: make(map[int64][]func()), maxDelay: 3 * time.Millisecond, addresses: make(map[string]int)}
	for i := range nodes {
		n := &simNode{}
		f.addresses[address(i)] = i
		for k := range nodes {
			n.view = append(n.view, k)
		}
		f.nodes = append(f.nodes, n)
		f.start(i)
	}
	return f
}

func address(node int) string { return fmt.Sprint("n", node) }

// start starts a node anew, without knowledge.
func (f *fleet) start(i int) {
	n := f.nodes[i]
	n.up, n.inbox = true, nil
	n.limiter = New(address(i), f.rng.Uint64()|1, f.options)
	n.limiter.SetLimits(f.now, map[string]Limit{workspaceName: f.limit})
	f.list(i)
}

// list passes the nodes that a node knows to its limiter.
func (f *fleet) list(i int) {
	var addresses []string
	for _, k := range f.nodes[i].view {
		addresses = append(addresses, address(k))
	}
	f.nodes[i].limiter.SetNodes(f.now, addresses)
}

// setView sets the nodes that a node knows.
func (f *fleet) setView(i int, view []int) {
	f.nodes[i].view = view
	f.list(i)
}

// others returns all nodes but the given ones.
func (f *fleet) others(excluded ...int) []int {
	var list []int
	for i := range f.nodes {
		if !slices.Contains(excluded, i) {
			list = append(list, i)
		}
	}
	return list
}

// setLimit changes the quota at all nodes at once.
func (f *fleet) setLimit(limit Limit) {
	f.limit = limit
	for _, n := range f.nodes {
		n.limiter.SetLimits(f.now, map[string]Limit{workspaceName: limit})
	}
}

// granter returns the index of the first granter, chosen among all nodes.
func (f *fleet) granter() int {
	var addresses []string
	for i := range f.nodes {
		addresses = append(addresses, address(i))
	}
	return slices.Index(addresses, permit.Granters(Key(workspaceName), addresses)[0])
}

func (f *fleet) step() int64 { return f.now.UnixNano() / int64(tick) }

func (f *fleet) after(d time.Duration, do func()) {
	at := f.step() + max(1, int64(d/tick))
	f.due[at] = append(f.due[at], do)
}

// running reports whether a node executes now.
func (f *fleet) running(i int) bool { return f.nodes[i].up && !f.now.Before(f.nodes[i].pausedUntil) }

// run plays a span of virtual time. load is called for each step and node that runs.
func (f *fleet) run(d time.Duration, load func(node int)) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		list := f.due[f.step()]
		delete(f.due, f.step())
		for _, do := range list {
			do()
		}
		for i, n := range f.nodes {
			if !f.running(i) {
				continue
			}
			inbox := n.inbox
			n.inbox = nil
			for _, receive := range inbox {
				receive()
			}
			if f.step()%int64(TickInterval/tick) == 0 {
				n.limiter.SetStoreReachable(f.now, !n.storeAway)
				n.limiter.Tick(f.now)
			}
			if load != nil {
				load(i)
			}
			f.deliver(i)
		}
	}
}

// request asks for a permit at a node, and counts it as sent if there is one.
func (f *fleet) request(i int, amount int64) {
	f.nodes[i].limiter.Request(f.now, workspaceName, amount, func(granted bool, retryAfter time.Duration) {
		if granted {
			f.sent = append(f.sent, grantedAmount{f.now, float64(amount)})
			return
		}
		f.refused++
		if retryAfter < minRetryAfter {
			f.t.Errorf("refused with a Retry-After of %v", retryAfter)
		}
	})
}

// flow returns a load that sends a total rate of requests of the given amount from the given nodes.
func (f *fleet) flow(perSecond float64, amount int64, nodes ...int) func(int) {
	return func(i int) {
		if len(nodes) > 0 && !slices.Contains(nodes, i) {
			return
		}
		senders := len(nodes)
		if senders == 0 {
			senders = len(f.nodes)
		}
		for mean := perSecond * tick.Seconds() / float64(senders); mean > 0; mean-- {
			if f.rng.Float64() < mean {
				f.request(i, amount)
			}
		}
	}
}

// deliver sends the messages of a node.
func (f *fleet) deliver(from int) {
	for _, m := range f.nodes[from].limiter.Messages() {
		f.messages++
		to, ok := f.addresses[m.To]
		if !ok || f.nodes[to].side != f.nodes[from].side {
			continue
		}
		if f.rng.Float64() >= f.loss {
			f.transmit(from, to, m)
		}
		if f.rng.Float64() < f.repeat {
			f.transmit(from, to, m)
		}
	}
}

// transmit delivers a datagram once, when the receiver runs.
func (f *fleet) transmit(from, to int, m Message) {
	limiter := f.nodes[to].limiter
	f.after(time.Duration(f.rng.Int64N(int64(f.maxDelay)+1)), func() {
		n := f.nodes[to]
		if !n.up || n.limiter != limiter {
			return
		}
		receive := func() { limiter.Receive(f.now, address(from), m) }
		if f.running(to) {
			receive()
			return
		}
		n.inbox = append(n.inbox, receive)
	})
}

// most returns the largest sum in a window.
func (f *fleet) most(window time.Duration) float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, s := range f.sent {
		sum += s.amount
		for s.at.Sub(f.sent[first].at) >= window {
			sum -= f.sent[first].amount
			first++
		}
		most = max(most, sum)
	}
	return most
}

// bound returns what may be sent in a window.
func (f *fleet) bound() float64 {
	o := f.options
	return (f.limit.PerSecond*o.Window.Seconds()+f.limit.Burst)*(1+o.Overage) + o.Tolerance
}

// checkBound fails the test if more than the quota was sent in a window since the last forget.
func (f *fleet) checkBound() {
	f.t.Helper()
	most := f.most(f.options.Window)
	f.t.Logf("at most %.0f in %v, bound %.0f, %d refused", most, f.options.Window, f.bound(), f.refused)
	if most > f.bound() {
		f.t.Fatalf("%.0f in %v, bound %.0f", most, f.options.Window, f.bound())
	}
}

// checkServed fails the test if, under a load of perSecond for some seconds, more than the given
// fraction of the requests below the quota was refused, or less than 85% of the quota was used.
func (f *fleet) checkServed(perSecond, seconds, refused float64) {
	f.t.Helper()
	if perSecond < f.limit.PerSecond && float64(f.refused) > refused*perSecond*seconds {
		f.t.Fatalf("%d of %.0f requests below the quota were refused", f.refused, perSecond*seconds)
	}
	if perSecond >= f.limit.PerSecond && f.total() < 0.85*f.limit.PerSecond*seconds {
		f.t.Fatalf("%.0f of %.0f were sent", f.total(), f.limit.PerSecond*seconds)
	}
}

// forget starts the counts anew.
func (f *fleet) forget() { f.sent, f.refused = nil, 0 }

// total returns the sum of what was sent.
func (f *fleet) total() float64 {
	sum := 0.0
	for _, s := range f.sent {
		sum += s.amount
	}
	return sum
}
