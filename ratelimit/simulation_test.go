package ratelimit

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figweir/figweir/permit"
)

// The rule that the tests check: from graceTime after a server first stated its limit, the nodes
// that got an answer with the limit at least toldTime before send it in each ruleWindow at most
// ruleFactor times what the limit allows, and ruleExtra requests.
const (
	graceTime  = 3 * time.Second
	toldTime   = 500 * time.Millisecond
	ruleWindow = 4 * time.Second
	ruleFactor = 1.5
	ruleExtra  = 5
)

// tick is the step of virtual time.
const tick = 5 * time.Millisecond

// simServer is a backend server in virtual time.
type simServer struct {
	key uint64
	// limit is the stated limit; negative if none. statedFrom is when it was first stated.
	limit      float64
	statedFrom time.Time
	// counted holds the arrivals that the rule counts, all the others too.
	counted, all []time.Time
	// told is when each node first got an answer with a limit; excused nodes are not counted.
	told map[int]time.Time
}

// simNode is a node in virtual time.
type simNode struct {
	limiter *Limiter
	up      bool
	// frozenUntil is when a freeze ends; inbox holds what arrives meanwhile.
	frozenUntil time.Time
	cut         bool
	// view holds the indices of the nodes that this node knows, itself included.
	view []int
}

// event is something that happens at a time in a simulation.
type event struct {
	at time.Time
	do func()
}

// fleet is a set of nodes and servers in virtual time.
type fleet struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Time
	nodes   []*simNode
	servers []*simServer
	events  []event
	// requestsPerSecond is the load of each node; every request prefers a random server.
	requestsPerSecond float64
	// loss and repeat are the shares of messages that are lost and that arrive twice, and
	// maxDelay the longest delay of a message.
	loss, repeat float64
	maxDelay     time.Duration
	// answerTime is the longest time until an answer.
	answerTime time.Duration
	messages   int
	// maxExcess is the largest number of arrivals above what the rule allows.
	maxExcess float64
	worst     string
}

func newFleet(t testing.TB, seed uint64, nodes, servers int) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), maxDelay: 3 * time.Millisecond, answerTime: 200 * time.Millisecond, maxExcess: -1e9}
	for i := range nodes {
		f.nodes = append(f.nodes, &simNode{})
		f.start(i)
	}
	for i := range servers {
		f.servers = append(f.servers, &simServer{key: uint64(i + 1), limit: -1, told: make(map[int]time.Time)})
	}
	for _, n := range f.nodes {
		n.view = f.allNodes()
	}
	return f
}

func (f *fleet) allNodes() []int {
	var list []int
	for i := range f.nodes {
		list = append(list, i)
	}
	return list
}

func address(node int) string { return fmt.Sprint("n", node) }

// start starts a node anew, without knowledge.
func (f *fleet) start(i int) {
	n := f.nodes[i]
	n.up = true
	n.limiter = New(address(i), f.rng.Uint64()|1, func(server uint64) []string { return permit.Granters(server, n.addresses()) })
	for _, s := range f.servers {
		delete(s.told, i)
	}
}

func (n *simNode) addresses() []string {
	var list []string
	for _, i := range n.view {
		list = append(list, address(i))
	}
	return list
}

// setLimit changes the limit of a server; negative for none.
func (f *fleet) setLimit(s *simServer, perSecond float64) {
	if s.limit < 0 {
		s.statedFrom = f.now
	}
	s.limit = perSecond
	s.counted = nil // the rule counts under one limit
	if perSecond < 0 {
		clear(s.told)
	}
}

func (f *fleet) after(d time.Duration, do func()) {
	f.events = append(f.events, event{f.now.Add(d), do})
}

// running reports whether a node executes now.
func (f *fleet) running(i int) bool { return f.nodes[i].up && !f.now.Before(f.nodes[i].frozenUntil) }

// run plays a span of virtual time.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		f.runEvents()
		for i := range f.nodes {
			if !f.running(i) {
				continue
			}
			if f.rng.Float64() < f.requestsPerSecond*tick.Seconds() {
				f.request(i, f.servers[f.rng.IntN(len(f.servers))])
			}
			f.deliver(i)
		}
	}
}

func (f *fleet) runEvents() {
	slices.SortStableFunc(f.events, func(a, b event) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	for len(f.events) > 0 && !f.events[0].at.After(f.now) {
		next := f.events[0]
		f.events = f.events[1:]
		next.do()
	}
}

// request sends a request of a node to a server if it may.
func (f *fleet) request(i int, s *simServer) {
	n := f.nodes[i]
	if !n.limiter.Acquire(f.now, s.key) {
		return
	}
	sentAt := f.now
	f.arrive(i, s)
	f.after(time.Duration(f.rng.Int64N(int64(f.answerTime)))+time.Millisecond, func() { f.answer(i, n.limiter, s, sentAt, s.limit) })
}

// answer delivers the answer to a request of a node that stated a limit when it was made.
func (f *fleet) answer(i int, limiter *Limiter, s *simServer, sentAt time.Time, limit float64) {
	n := f.nodes[i]
	if n.limiter != limiter {
		return // the node has been restarted
	}
	if f.now.Before(n.frozenUntil) {
		f.after(n.frozenUntil.Sub(f.now), func() { f.answer(i, limiter, s, sentAt, limit) })
		return
	}
	if limit < 0 {
		limiter.NotStated(f.now, sentAt, s.key)
		return
	}
	if _, told := s.told[i]; !told && s.limit >= 0 {
		s.told[i] = f.now
	}
	limiter.Stated(f.now, sentAt, s.key, limit)
}

// arrive counts a request at a server and checks the rule.
func (f *fleet) arrive(i int, s *simServer) {
	s.all = append(s.all, f.now)
	told, ok := s.told[i]
	if s.limit < 0 || !ok || f.now.Sub(told) < toldTime || f.nodes[i].cut {
		return
	}
	s.counted = append(s.counted, f.now)
	if f.now.Sub(s.statedFrom) < graceTime {
		return
	}
	count := 0
	for _, at := range s.counted {
		if f.now.Sub(at) < ruleWindow {
			count++
		}
	}
	allowed := ruleFactor*s.limit*ruleWindow.Seconds() + ruleExtra
	if excess := float64(count) - allowed; excess > f.maxExcess {
		f.maxExcess = excess
		f.worst = fmt.Sprintf("server %d with a limit of %.2f a second got %d requests in %v, allowed %.1f", s.key, s.limit, count, ruleWindow, allowed)
	}
}

// deliver sends the messages of a node.
func (f *fleet) deliver(from int) {
	for _, m := range f.nodes[from].limiter.Messages() {
		for to, n := range f.nodes {
			if to == from || m.To != "" && m.To != address(to) || m.To == "" && !slices.Contains(f.nodes[from].view, to) {
				continue
			}
			f.messages++
			if !n.up || n.cut || f.nodes[from].cut {
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
}

// transmit delivers a message once, when the receiver runs. Times in it are delayed with it, as
// ages on the wire are.
func (f *fleet) transmit(from, to int, m Message) {
	sentAt := f.now
	var receive func()
	receive = func() {
		n := f.nodes[to]
		if f.now.Before(n.frozenUntil) {
			f.after(n.frozenUntil.Sub(f.now), receive)
			return
		}
		if n.up {
			n.limiter.Receive(f.now, address(from), shift(m, f.now.Sub(sentAt)))
		}
	}
	f.after(time.Duration(f.rng.Int64N(int64(f.maxDelay)+1)), receive)
}

// shift returns a message whose times are later by a delay.
func shift(m Message, delay time.Duration) Message {
	shifted := func(s Statement) Statement {
		s.StatedAt, s.LiftedAt = s.StatedAt.Add(delay), s.LiftedAt.Add(delay)
		return s
	}
	switch {
	case m.Statement != nil:
		s := shifted(*m.Statement)
		return Message{Statement: &s}
	case m.Request != nil:
		r := *m.Request
		r.Statement = shifted(r.Statement)
		return Message{Request: &r}
	case m.Grant != nil:
		g := *m.Grant
		g.Statement = shifted(g.Statement)
		return Message{Grant: &g}
	}
	return m
}

// checkRule fails the test if the rule was broken.
func (f *fleet) checkRule() {
	f.t.Helper()
	if f.maxExcess > 0 {
		f.t.Fatal(f.worst)
	}
}

// rateOver returns the arrivals a second at a server over the last span.
func (f *fleet) rateOver(s *simServer, d time.Duration) float64 {
	n := 0
	for _, at := range s.all {
		if f.now.Sub(at) <= d {
			n++
		}
	}
	return float64(n) / d.Seconds()
}

// trouble makes one random change.
func (f *fleet) trouble(rt *rapid.T) {
	i := rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "node")
	s := f.servers[rapid.IntRange(0, len(f.servers)-1).Draw(rt, "server")]
	n := f.nodes[i]
	switch rapid.SampledFrom([]string{"limit", "limit", "limit", "lift", "restart", "stop", "freeze", "cut", "heal", "view"}).Draw(rt, "trouble") {
	case "limit":
		f.setLimit(s, rapid.SampledFrom([]float64{0, 0.2, 0.7, 1.1, 1.5, 3, 12}).Draw(rt, "per second"))
	case "lift":
		f.setLimit(s, -1)
	case "restart":
		f.start(i)
	case "stop":
		n.up = false
	case "freeze":
		n.frozenUntil = f.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(rt, "freeze ms")) * time.Millisecond)
		f.excuse(i)
	case "cut":
		n.cut = true
	case "heal":
		n.cut = false
		f.excuse(i)
	case "view":
		// One node more or less than the others know.
		n.view = f.allNodes()
		if rapid.Bool().Draw(rt, "less") && len(f.nodes) > 1 {
			missing := rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "missing")
			if missing != i {
				n.view = slices.DeleteFunc(n.view, func(k int) bool { return k == missing })
			}
		}
	}
}

// excuse makes the rule count a node again only after its next answer.
func (f *fleet) excuse(i int) {
	for _, s := range f.servers {
		delete(s.told, i)
	}
}
