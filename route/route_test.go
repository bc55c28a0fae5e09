package route_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/route"
)

func init() {
	_ = flag.Set("rapid.seed", "11")
	_ = flag.Set("rapid.checks", "300")
}

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func engines(n int, role func(int) config.Role) []route.Registration {
	out := make([]route.Registration, n)
	for i := range out {
		out[i] = route.Registration{
			Name: fmt.Sprintf("engine-%04d", i), FailureDomain: fmt.Sprintf("fd%d", i%4),
			Role: role(i), Distance: time.Duration(i%4) * time.Millisecond / 4, KVBlocks: 4000,
		}
	}
	return out
}

func mixed(int) config.Role { return config.RoleMixed }

func split(i int) config.Role {
	if i%3 == 0 {
		return config.RolePrefill
	}
	return config.RoleDecode
}

func policies(seed uint64) []route.Policy {
	return []route.Policy{
		route.NewCost(seed, route.DefaultWeights), &route.RoundRobin{}, route.LeastOutstanding{}, route.PrefixAffinity{},
	}
}

// TestPickNeverChoosesStoppingServer guards against new work on a server that
// drains, leaves, is excluded or has the wrong role, under any policy and any
// order of reports, flags and requests.
func TestPickNeverChoosesStoppingServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "servers")
		roles := rapid.SliceOfN(rapid.SampledFrom([]config.Role{config.RoleMixed, config.RolePrefill, config.RoleDecode}), n, n).Draw(t, "roles")
		registered := engines(n, func(i int) config.Role { return roles[i] })
		tracker := route.NewTracker("pool", "node", 16)
		ps := policies(rapid.Uint64().Draw(t, "seed"))
		now := start
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "server")
			switch rapid.IntRange(0, 2).Draw(t, "change") {
			case 0:
				registered[i].Draining = rapid.Bool().Draw(t, "draining")
				tracker.Register(now, registered)
			case 1:
				tracker.Leave(now, registered[i].Name, rapid.Bool().Draw(t, "leaving"))
			case 2:
				tracker.Observe(registered[i].Name, route.Report{MeasuredAt: now, Load: route.Load{Streams: int64(i)}})
				tracker.Publish(now)
			}
			r := &route.Request{PromptTokens: 100, OutputTokens: 50, Prefix: []uint64{rapid.Uint64().Draw(t, "prefix")}, Now: now}
			if rapid.Bool().Draw(t, "exclude") {
				r.Exclude = []string{registered[rapid.IntRange(0, n-1).Draw(t, "excluded")].Name}
			}
			v := tracker.View()
			for _, p := range ps {
				c, err := p.Pick(v, r)
				if err != nil {
					var none *route.NoServerError
					if !errors.As(err, &none) || none.RetryAfter <= 0 {
						t.Fatalf("%T: %v has no time to retry", p, err)
					}
					continue
				}
				for _, s := range []*route.Server{c.Prefill, c.Decode} {
					if s.Draining || s.Leaving || (len(r.Exclude) > 0 && s.Name == r.Exclude[0]) {
						t.Fatalf("%T picked %+v", p, s.Registration)
					}
				}
				if c.Prefill.Role == config.RoleDecode || c.Decode.Role == config.RolePrefill {
					t.Fatalf("%T picked roles %s and %s", p, c.Prefill.Role, c.Decode.Role)
				}
			}
		}
	})
}

// TestErrorNamesReason guards against refusals that don't tell an empty pool, a
// drain, a missing role and a request that can never fit apart.
func TestErrorNamesReason(t *testing.T) {
	cases := []struct {
		name    string
		servers []route.Registration
		request route.Request
		want    route.Reason
		retry   bool
	}{
		{"empty", nil, route.Request{PromptTokens: 1}, route.ReasonEmpty, true},
		{"draining", []route.Registration{{Name: "a", Draining: true}}, route.Request{}, route.ReasonStopping, true},
		{"role", []route.Registration{{Name: "a", Role: config.RolePrefill}}, route.Request{}, route.ReasonRole, true},
		{"excluded", []route.Registration{{Name: "a"}}, route.Request{Exclude: []string{"a"}}, route.ReasonExcluded, true},
		{"too large", engines(2, mixed), route.Request{PromptTokens: 16 * 4001}, route.ReasonTooLarge, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracker := route.NewTracker("pool", "node", 16)
			tracker.Register(start, c.servers)
			for _, p := range policies(1) {
				_, err := p.Pick(tracker.View(), &c.request)
				var none *route.NoServerError
				is.True(errors.As(err, &none))
				is.Equal(none.Reason, c.want)
				is.Equal(none.RetryAfter > 0, c.retry)
			}
		})
	}
}

// TestLagCorrection guards against counting own requests twice, once in a late
// report and once in flight, and against forgetting those sent after it.
func TestLagCorrection(t *testing.T) {
	is := is.New(t)
	tracker := route.NewTracker("pool", "node", 16)
	tracker.Register(start, engines(1, mixed))
	r := &route.Request{PromptTokens: 160, OutputTokens: 16}
	begin := func() *route.Flight {
		c, err := route.LeastOutstanding{}.Pick(tracker.View(), r)
		is.NoErr(err)
		return c.Begin(r, 16)
	}
	first := begin()
	tracker.Publish(start.Add(100 * time.Millisecond))
	second := begin()
	tracker.Publish(start.Add(200 * time.Millisecond))
	// The engine had this node's first request and one of another node.
	tracker.Observe("engine-0000", route.Report{MeasuredAt: start.Add(150 * time.Millisecond), Load: route.Load{Streams: 2, PrefillTokens: 320, DecodeTokens: 32, KVBlocks: 22}})
	s := tracker.Publish(start.Add(900 * time.Millisecond)).Server("engine-0000")
	is.Equal(s.Load(), route.Load{Streams: 3, PrefillTokens: 480, DecodeTokens: 48, KVBlocks: 33})
	first.Token()
	first.End()
	first.End()
	is.Equal(s.Load(), route.Load{Streams: 2, PrefillTokens: 320, DecodeTokens: 32, KVBlocks: 22})
	second.End()
	is.Equal(s.OwnLoad(), route.Load{})
}

// TestPairCountsOnBothServers guards against prefill servers that always look
// idle to least outstanding requests, so that one of them gets all prompts.
func TestPairCountsOnBothServers(t *testing.T) {
	is := is.New(t)
	tracker := route.NewTracker("pool", "node", 16)
	tracker.Register(start, engines(6, split))
	used := make(map[string]bool)
	r := &route.Request{PromptTokens: 160, OutputTokens: 16}
	var flights []*route.Flight
	for range 2 {
		c, err := route.LeastOutstanding{}.Pick(tracker.View(), r)
		is.NoErr(err)
		used[c.Prefill.Name] = true
		flights = append(flights, c.Begin(r, 16))
	}
	is.Equal(len(used), 2)
	for _, f := range flights {
		f.End()
	}
	for _, s := range tracker.View().Servers {
		is.Equal(s.OwnLoad(), route.Load{})
	}
}

// TestEqualLoadIsSpread guards against a comparison with baselines that send all
// requests to the first of several servers with equal load.
func TestEqualLoadIsSpread(t *testing.T) {
	is := is.New(t)
	tracker := route.NewTracker("pool", "node", 16)
	tracker.Register(start, engines(4, mixed))
	count := make(map[string]int)
	for i := range 400 {
		c, err := route.LeastOutstanding{}.Pick(tracker.View(), &route.Request{Now: start.Add(time.Duration(i) * time.Millisecond)})
		is.NoErr(err)
		count[c.Decode.Name]++
	}
	for _, s := range tracker.View().Servers {
		is.True(count[s.Name] > 60)
	}
}

// TestStaleReportIsNotIdle guards against a server that has stopped reporting
// looking idle and drawing all requests.
func TestStaleReportIsNotIdle(t *testing.T) {
	is := is.New(t)
	tracker := route.NewTracker("pool", "node", 16)
	tracker.Register(start, engines(3, mixed))
	tracker.Observe("engine-0000", route.Report{MeasuredAt: start})
	later := start.Add(10 * time.Second)
	for _, name := range []string{"engine-0001", "engine-0002"} {
		tracker.Observe(name, route.Report{MeasuredAt: later, Load: route.Load{Streams: 9, DecodeTokens: 900}})
	}
	v := tracker.Publish(later)
	is.Equal(v.Server("engine-0000").Load().Streams, int64(9))
}

// TestDigestAges guards against an eviction whose event was lost keeping a
// server attractive forever.
func TestDigestAges(t *testing.T) {
	is := is.New(t)
	d := &route.Digest{}
	blocks := []uint64{1 << 40, 2 << 40, 3 << 40}
	blocks[0], blocks[1], blocks[2] = blocks[0]+1, blocks[1]+2, blocks[2]+3
	d.Add(start, blocks...)
	is.Equal(d.Cached(start.Add(time.Minute), blocks), 3)
	is.Equal(d.Cached(start.Add(5*time.Minute), blocks), 0)
	d.Add(start, blocks...)
	d.Remove(blocks[1], blocks[2])
	is.Equal(d.Cached(start, blocks), 1)
}

// TestDigestOfRequestWithOlderTime guards against a block that was recorded
// after a request had read the clock counting as 19 days old.
func TestDigestOfRequestWithOlderTime(t *testing.T) {
	is := is.New(t)
	d := &route.Digest{}
	d.Add(start.Add(time.Second), 7<<40)
	is.Equal(d.Cached(start, []uint64{7 << 40}), 1)
}

// TestServiceCallsSpread guards against calls of a plain service, which have no
// tokens, being sent to a server whatever its load.
func TestServiceCallsSpread(t *testing.T) {
	is := is.New(t)
	tracker := route.NewTracker("pool", "node", 0)
	tracker.Register(start, []route.Registration{{Name: "a"}, {Name: "b"}})
	tracker.Observe("a", route.Report{MeasuredAt: start, Load: route.Load{Streams: 20}})
	tracker.Observe("b", route.Report{MeasuredAt: start, Load: route.Load{Streams: 1}})
	v := tracker.Publish(start)
	p, toB := route.NewCost(9, route.DefaultWeights), 0
	for range 200 {
		c, err := p.Pick(v, &route.Request{Now: start})
		is.NoErr(err)
		if c.Decode.Name == "b" {
			toB++
		}
	}
	// Two draws of two servers miss b in one case of four.
	is.True(toB > 120)
}

// TestDigestToleratesReplacedSlot guards against one block that was replaced by
// another in the table hiding the whole cached prefix behind it.
func TestDigestToleratesReplacedSlot(t *testing.T) {
	is := is.New(t)
	d := &route.Digest{}
	var blocks []uint64
	for i := range 40 {
		blocks = append(blocks, uint64(i+1)<<40|uint64(i))
	}
	d.Add(start, blocks[:30]...)
	d.Add(start, 99<<40|10) // takes the slot of blocks[10]
	is.Equal(d.Cached(start, blocks), 30)
}

// TestSubsetIsBoundedAndStable guards against a node that talks to the whole
// fleet, against a subset that is reshuffled when one server goes, and against
// digests of servers that have left the subset adding up.
func TestSubsetIsBoundedAndStable(t *testing.T) {
	is := is.New(t)
	tracker := route.NewTracker("pool", "node-7", 16)
	all := engines(1500, mixed)
	tracker.Register(start, all)
	used := func() map[string]bool {
		names := make(map[string]bool)
		p := &route.RoundRobin{}
		for range 4 * route.SubsetServers {
			c, err := p.Pick(tracker.View(), &route.Request{})
			is.NoErr(err)
			names[c.Decode.Name] = true
		}
		return names
	}
	before := used()
	is.Equal(len(before), route.SubsetServers)
	for name := range before {
		tracker.Leave(start, name, true)
		break
	}
	kept := 0
	for name := range used() {
		if before[name] {
			kept++
		}
	}
	is.True(kept >= route.SubsetServers-2)
	for i := range 200 {
		tracker.Leave(start, all[i*7].Name, true)
	}
	digests := 0
	for _, s := range tracker.View().Servers {
		if s.Digest() != nil {
			digests++
		}
	}
	is.Equal(digests, route.SubsetServers)
}

// TestCostPrefersCachedPrefix guards against a cache hit that is worth more
// than the queue ahead being missed, and one that is worth less being taken.
func TestCostPrefersCachedPrefix(t *testing.T) {
	is := is.New(t)
	tracker := route.NewTracker("pool", "node", 16)
	tracker.Register(start, engines(18, mixed))
	r := &route.Request{PromptTokens: 4000, OutputTokens: 50, Now: start}
	for i := range 250 {
		r.Prefix = append(r.Prefix, uint64(i+1)<<40|uint64(i))
	}
	tracker.View().Server("engine-0009").Digest().Add(start, r.Prefix...)
	p := route.NewCost(3, route.DefaultWeights)
	for range 50 {
		c, err := p.Pick(tracker.View(), r)
		is.NoErr(err)
		is.Equal(c.Decode.Name, "engine-0009")
		is.Equal(c.CachedTokens, 3999)
	}
	tracker.Observe("engine-0009", route.Report{MeasuredAt: start, Load: route.Load{PrefillTokens: 40000}})
	tracker.Publish(start)
	c, err := p.Pick(tracker.View(), r)
	is.NoErr(err)
	is.True(c.Decode.Name != "engine-0009")
}

// TestLargeRequestFindsLargeEngine guards against a request that fits on one
// engine only being refused for good because the random choices were others.
func TestLargeRequestFindsLargeEngine(t *testing.T) {
	for name, role := range map[string]func(int) config.Role{"mixed": mixed, "split": split} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			registered := engines(12, role)
			registered[6].KVBlocks, registered[7].KVBlocks = 9000, 9000
			tracker := route.NewTracker("pool", "node", 16)
			tracker.Register(start, registered)
			for _, p := range policies(5) {
				for range 30 {
					c, err := p.Pick(tracker.View(), &route.Request{PromptTokens: 16 * 5000, OutputTokens: 20, Now: start})
					is.NoErr(err)
					is.Equal(c.Prefill.KVBlocks, 9000)
					is.Equal(c.Decode.KVBlocks, 9000)
				}
			}
		})
	}
}

// TestPairStaysInFailureDomain guards against a KV transfer between failure
// domains where an equal pair within one domain was among the candidates.
func TestPairStaysInFailureDomain(t *testing.T) {
	is := is.New(t)
	tracker := route.NewTracker("pool", "node", 16)
	tracker.Register(start, []route.Registration{
		{Name: "p1", FailureDomain: "a", Role: config.RolePrefill, KVBlocks: 4000},
		{Name: "d1", FailureDomain: "a", Role: config.RoleDecode, KVBlocks: 4000},
		{Name: "d2", FailureDomain: "b", Role: config.RoleDecode, KVBlocks: 4000},
	})
	p := route.NewCost(5, route.DefaultWeights)
	same := 0
	for range 200 {
		c, err := p.Pick(tracker.View(), &route.Request{PromptTokens: 2000, OutputTokens: 20, Now: start})
		is.NoErr(err)
		is.True(c.Pair())
		if c.Prefill.FailureDomain == c.Decode.FailureDomain {
			same++
		}
	}
	// Two draws of two servers miss d1 in one case of four.
	is.True(same > 120)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 150, 1500} {
		for _, p := range policies(1) {
			b.Run(fmt.Sprintf("%T/servers=%d", p, n), func(b *testing.B) {
				tracker := route.NewTracker("pool", "node", 16)
				tracker.Register(start, engines(n, split))
				r := &route.Request{PromptTokens: 1000, OutputTokens: 200, Now: start}
				for i := range 60 {
					r.Prefix = append(r.Prefix, uint64(i+1)<<40)
				}
				b.ReportAllocs()
				for b.Loop() {
					if _, err := p.Pick(tracker.View(), r); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func BenchmarkPublish(b *testing.B) {
	for _, n := range []int{12, 150, 1500} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			tracker := route.NewTracker("pool", "node", 16)
			tracker.Register(start, engines(n, split))
			b.ReportAllocs()
			for b.Loop() {
				tracker.Publish(start)
			}
		})
	}
}

// BenchmarkRegister measures a new tracker with n servers; its bytes are about
// the memory that a node keeps for them.
func BenchmarkRegister(b *testing.B) {
	for _, n := range []int{12, 150, 1500} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			registered := engines(n, split)
			b.ReportAllocs()
			for b.Loop() {
				route.NewTracker("pool", "node", 16).Register(start, registered)
			}
		})
	}
}
