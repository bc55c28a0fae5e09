package ratelimit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/figweir/figweir/permit"

	"github.com/figweir/figweir/standin/propertytest"
)

// The number of checks of the property tests is fixed, so that runs are comparable.
func init() { propertytest.SetFlags(map[string]string{"rapid.checks": "60", "rapid.seed": "7"}) }

// TestLimitHoldsForAllNodesTogether guards against nodes that keep to a limit one by one and
// exceed it together. The load: one server is limited, every node could send it several times
// the limit by itself, with limits below one a second too.
func TestLimitHoldsForAllNodesTogether(t *testing.T) {
	for _, c := range []struct {
		nodes     int
		perSecond float64
	}{{1, 1.5}, {2, 3}, {7, 1.1}, {7, 1.9}, {7, 0.3}, {7, 0}, {7, 40}, {7, 1e300}, {195, 1.1}, {195, 0.25}, {195, 8}, {490, 2}} {
		t.Run(fmt.Sprintf("%d nodes, %g a second", c.nodes, c.perSecond), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, c.nodes, 1)
			f.requestsPerSecond = 8
			f.run(time.Second)
			f.setLimit(f.servers[0], c.perSecond)
			f.run(12 * time.Second)
			f.checkRule()
			// The demand is above the limit, so most of what the limit allows is used.
			demand := f.requestsPerSecond * float64(c.nodes)
			used := f.rateOver(f.servers[0], 8*time.Second)
			is.True(used >= 0.6*min(max(c.perSecond, minPermitsPerSecond), demand))
		})
	}
}

// TestServerGetsFullWorkOnceItsLimitIsGone guards against a limit that outlives its statement,
// and against a raised limit that is not used.
func TestServerGetsFullWorkOnceItsLimitIsGone(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 7, 1)
	f.requestsPerSecond = 8
	s := f.servers[0]
	f.setLimit(s, 1)
	f.run(8 * time.Second)
	f.setLimit(s, 10)
	f.run(4 * time.Second)
	is.True(f.rateOver(s, 2*time.Second) > 6)
	f.setLimit(s, 2)
	f.run(8 * time.Second)
	is.True(f.rateOver(s, 4*time.Second) <= 4)
	f.setLimit(s, -1)
	f.run(3 * time.Second)
	is.True(f.rateOver(s, time.Second) > 40)
	for _, n := range f.nodes {
		is.Equal(len(n.limiter.Reports(f.now)), 0)
	}
}

// TestLimitOfZeroIsFoundToBeOver guards against a server that gets no request because it once
// took none.
func TestLimitOfZeroIsFoundToBeOver(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 7, 1)
	f.requestsPerSecond = 8
	f.setLimit(f.servers[0], 0)
	f.run(20 * time.Second)
	f.checkRule()
	f.setLimit(f.servers[0], -1)
	f.run(8 * time.Second)
	is.True(f.rateOver(f.servers[0], time.Second) > 40)
}

// TestLateAnswersDoNotBringALimitBack guards against an answer that was made before the limit
// was over and arrives after an answer that shows so, at another node too.
func TestLateAnswersDoNotBringALimitBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := New("a", 1, func(uint64) []string { return []string{"a"} })
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	inForce := func() bool { _, limited := l.Limit(1); return limited }
	l.Stated(at(10), at(0), 1, 2)
	l.NotStated(at(30), at(5), 1) // sent before the limit was stated: no evidence
	is.True(inForce())
	l.NotStated(at(60), at(40), 1)
	is.True(!inForce())
	l.Stated(at(39), at(0), 1, 2) // an answer that was received before and is handled late
	is.True(!inForce())
	l.Receive(at(70), "b", Message{Statement: &Statement{Server: 1, PerSecond: 2, StatedAt: at(50)}})
	is.True(!inForce())
	l.Receive(at(3000), "b", Message{Statement: &Statement{Server: 1, PerSecond: 2, StatedAt: at(2900)}})
	is.True(inForce())
	l.Receive(at(3100), "b", Message{Statement: &Statement{Server: 1, Lifted: true, LiftedAt: at(3050)}})
	is.True(inForce()) // times of other nodes are estimates
	l.Receive(at(6000), "b", Message{Statement: &Statement{Server: 1, Lifted: true, LiftedAt: at(5900)}})
	is.True(!inForce())
}

// TestRepeatedMessagesGrantNothing guards against a datagram that arrives twice or late and is
// counted as further permits.
func TestRepeatedMessagesGrantNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := New("a", 1, func(uint64) []string { return []string{"b"} })
	l.Stated(now, now, 1, 2)
	is.True(!l.Acquire(now, 1))
	var request *PermitRequest
	for _, m := range l.Messages() {
		if m.Request != nil {
			request = m.Request
		}
	}
	grant := Message{Grant: &Grant{ID: request.ID, Permits: 1, Statement: request.Statement}}
	l.Receive(now, "b", grant)
	l.Receive(now, "b", grant)
	is.True(l.Acquire(now, 1))
	is.True(!l.Acquire(now, 1))
	// A permit expires.
	now = now.Add(minRequestInterval)
	is.True(!l.Acquire(now, 1))
	for _, m := range l.Messages() {
		if m.Request != nil {
			l.Receive(now, "b", Message{Grant: &Grant{ID: m.Request.ID, Permits: 1, Statement: m.Request.Statement}})
		}
	}
	is.True(l.Allows(now, 1))
	is.True(!l.Allows(now.Add(permitLifetime), 1))
}

// TestLimitHoldsThroughTroubles checks random mixes: several limited servers up to all of them,
// limits that fall, rise and go, nodes that start, stop, freeze, are cut off or believe in other
// nodes than the others, messages that are lost, late and come twice.
func TestLimitHoldsThroughTroubles(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.IntRange(1, 12).Draw(rt, "nodes")
		f := newFleet(t, rapid.Uint64().Draw(rt, "seed"), nodes, rapid.IntRange(1, 4).Draw(rt, "servers"))
		f.requestsPerSecond = rapid.Float64Range(1, 30).Draw(rt, "requests a second")
		f.loss = rapid.SampledFrom([]float64{0, 0, 0.03, 0.3}).Draw(rt, "loss")
		f.repeat = rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "repeat")
		f.maxDelay = rapid.SampledFrom([]time.Duration{time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond}).Draw(rt, "delay")
		f.run(500 * time.Millisecond)
		for range rapid.IntRange(1, 10).Draw(rt, "steps") {
			f.trouble(rt)
			f.run(time.Duration(rapid.IntRange(100, 5000).Draw(rt, "span ms")) * time.Millisecond)
		}
		if f.maxExcess > 0 {
			rt.Fatal(f.worst)
		}
	})
}

// TestLimitHoldsWhileNodesDisagreeAboutTheGranter guards against two granters that each grant the
// whole limit, because some nodes don't know the first one or have lost it. The load: every node
// could send several times the limit by itself.
func TestLimitHoldsWhileNodesDisagreeAboutTheGranter(t *testing.T) {
	const nodes, perSecond = 8, 12
	f := newFleet(t, 4, nodes, 1)
	f.requestsPerSecond = 20
	first := slices.Index(f.nodes[0].addresses(), permit.Granters(f.servers[0].key, f.nodes[0].addresses())[0])
	for i, n := range f.nodes {
		if i%2 == 0 && i != first {
			n.view = slices.DeleteFunc(n.view, func(k int) bool { return k == first })
		}
	}
	f.setLimit(f.servers[0], perSecond)
	f.run(12 * time.Second)
	f.checkRule()
}

// TestNextGranterReplacesALostOne guards against a limited server that gets no work because the
// node that grants the permits has stopped and the store can't say so.
func TestNextGranterReplacesALostOne(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 5, 7, 1)
	f.requestsPerSecond = 8
	s := f.servers[0]
	f.setLimit(s, 3)
	f.run(5 * time.Second)
	first := slices.Index(f.nodes[0].addresses(), permit.Granters(s.key, f.nodes[0].addresses())[0])
	f.nodes[first].up = false
	f.run(8 * time.Second)
	f.checkRule()
	is.True(f.rateOver(s, 6*time.Second) > 1.5)
}

// TestNodeThatKnowsNoOthersSendsNothing guards against a node that has just started and takes
// the whole limit because it knows of no other node.
func TestNodeThatKnowsNoOthersSendsNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := New("a", 1, func(uint64) []string { return nil })
	l.Stated(now, now, 1, 5)
	is.True(!l.Allows(now.Add(time.Second), 1))
	is.True(!l.Acquire(now.Add(time.Second), 1))
	is.True(l.Acquire(now, 2)) // other servers are not affected
}

// TestNodeThatIsNoGranterGrantsNothing guards against permits from a node whom the other granters
// don't tell what they grant, and against a requester that keeps asking it.
func TestNodeThatIsNoGranterGrantsNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	other := New("x", 1, func(uint64) []string { return []string{"a", "b", "c"} })
	requester := New("r", 2, func(uint64) []string { return []string{"x", "a"} })
	requester.Stated(now, now, 1, 5)
	askedNode := func() string {
		is.True(!requester.Acquire(now, 1))
		for _, m := range requester.Messages() {
			if m.Request == nil {
				continue
			}
			if m.To == "x" {
				other.Receive(now, "r", m)
			}
			return m.To
		}
		return ""
	}
	is.Equal(askedNode(), "x")
	now = now.Add(time.Second)
	answers := other.Messages()
	is.Equal(len(answers), 1)
	is.True(answers[0].Grant.NotGranter)
	is.Equal(answers[0].Grant.Permits, 0)
	requester.Receive(now, "x", answers[0])
	is.Equal(askedNode(), "a")
}
