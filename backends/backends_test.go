package backends

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// peerLoads holds the requests and prompt tokens of other nodes by server id.
type peerLoads map[string][2]int64

// newBalancer returns a balancer of a node in the failure domain "near" with the given
// servers and loads of other nodes.
func newBalancer(registrations []Registration, loads peerLoads) (*Balancer, *Registry) {
	r := NewRegistry()
	r.Replace(registrations)
	byHash := peerLoadsByHash{}
	for id, w := range loads {
		byHash[r.View().All()[id].Hash] = w
	}
	return NewBalancer(r, "near", byHash, func() Cell { return SingleCell }, func() {}), r
}

// peerLoadsByHash provides these loads by the hash of the server id.
type peerLoadsByHash map[uint64][2]int64

func (p peerLoadsByHash) Load(server uint64) (int64, int64) { return p[server][0], p[server][1] }
func (p peerLoadsByHash) PeerCount() int                    { return 1 }

// serviceServers returns n servers that are not engines, the first of them in the failure
// domain of the node.
func serviceServers(n int) []Registration {
	var list []Registration
	for i := range n {
		domain := "near"
		if i > 0 {
			domain = "far"
		}
		list = append(list, Registration{ID: fmt.Sprint("s", i), Service: "s", Address: fmt.Sprint("a", i), FailureDomain: domain, Slots: 6})
	}
	return list
}

// engines returns prefill and decode engines in the failure domain of the node.
func engines(prefill, decode int) []Registration {
	var list []Registration
	add := func(kind string, n int, role Role) {
		for i := range n {
			list = append(list, Registration{
				ID: fmt.Sprint(kind, i), Service: "s", Address: fmt.Sprint(kind, i), FailureDomain: "near", Slots: 64, Role: role, Models: []string{"m"},
			})
		}
	}
	add("p", prefill, RolePrefill)
	add("d", decode, RoleDecode)
	return list
}

// prompt returns a prompt with one shared part, whose id is the affinity key, and one own
// part.
func prompt(affinityKey string, shared, own int) *Prompt {
	return &Prompt{Model: "m", Tokens: shared + own, Parts: []Part{{affinityKey, shared}, {"own", own}}}
}

// engineCriteria returns the selection criteria of a request for an engine.
func engineCriteria(p *Prompt) *Criteria {
	return &Criteria{
		Service: "s", Prompt: p, TimeLeft: 8 * time.Second, TargetLatency: 400 * time.Millisecond, TargetPause: 250 * time.Millisecond,
		KVTokenBytes: 18432, LinkBitsPerSecond: 550e9,
	}
}

// TestNearServersArePreferred guards against traffic between failure domains while the
// server in the node's own failure domain has free slots.
func TestNearServersArePreferred(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(serviceServers(4), nil)
	for range 3 {
		c, err := b.Choose(time.Now(), &Criteria{Service: "s"})
		is.NoErr(err)
		is.Equal(c.Server.ID, "s0")
	}
	b, _ = newBalancer(serviceServers(4), peerLoads{"s0": {4, 0}})
	c, err := b.Choose(time.Now(), &Criteria{Service: "s"})
	is.NoErr(err)
	is.True(c.Server.ID != "s0") // four of six slots are busy
}

// TestLoadOfOtherNodesCounts guards against many nodes sending to the same server because
// each of them counts only its own requests and sees it idle.
func TestLoadOfOtherNodesCounts(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(serviceServers(2), peerLoads{"s0": {6, 0}})
	c, err := b.Choose(time.Now(), &Criteria{Service: "s"})
	is.NoErr(err)
	is.Equal(c.Server.ID, "s1")
}

// TestFailingServersAreAvoided guards against sending requests to servers that can't be
// reached or fail most attempts while others are healthy.
func TestFailingServersAreAvoided(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(serviceServers(2), nil)
	now := time.Now()
	c, _ := b.Choose(now, &Criteria{Service: "s"})
	c.Unreachable(now)
	c.Done()
	next, err := b.Choose(now, &Criteria{Service: "s"})
	is.NoErr(err)
	is.Equal(next.Server.ID, "s1")
	next.Done()
	later, _ := b.Choose(now.Add(maxUnreachableSuspension), &Criteria{Service: "s"})
	is.Equal(later.Server.ID, "s0") // it is selected again after the suspension
	later.Done()
	for range 12 {
		later.Failed()
	}
	c, _ = b.Choose(now.Add(maxUnreachableSuspension), &Criteria{Service: "s"})
	is.Equal(c.Server.ID, "s1")
}

// TestFailingEnginesOfOneRoleAreLastResort guards against refusing every prompt, without end, because
// all engines of one role have had failures while those of the other role have not: nothing
// would be sent to them any more, so nothing could show that they work again.
func TestFailingEnginesOfOneRoleAreLastResort(t *testing.T) {
	for _, failing := range []Role{RolePrefill, RoleDecode} {
		is := is.New(t)
		b, registry := newBalancer([]Registration{
			{ID: "p", Service: "s", Role: RolePrefill, Slots: 4}, {ID: "d0", Service: "s", Role: RoleDecode, Slots: 4}, {ID: "d1", Service: "s", Role: RoleDecode, Slots: 4},
		}, nil)
		now := time.Now()
		for _, s := range registry.View().Servers("s") {
			for range 20 {
				if s.Role == failing {
					(&Choice{Server: s, balancer: b}).Failed()
				}
			}
		}
		for _, tokens := range []int{100, 20000} {
			c, err := b.Choose(now, &Criteria{Service: "s", Prompt: &Prompt{Tokens: tokens, MaxOutputTokens: 10}, TimeLeft: time.Minute, TargetLatency: 10 * time.Second})
			is.NoErr(err)
			c.Done()
		}
	}
}

// TestSuspendedServerIsLastResort guards against refusing requests because all servers
// had failures.
func TestSuspendedServerIsLastResort(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(serviceServers(1), nil)
	now := time.Now()
	c, _ := b.Choose(now, &Criteria{Service: "s"})
	c.Unreachable(now)
	_, err := b.Choose(now, &Criteria{Service: "s"})
	is.NoErr(err)
	_, err = b.Choose(now, &Criteria{Service: "s", Excluded: []string{"s0"}})
	is.True(errors.Is(err, ErrFull))
	_, err = b.Choose(now, &Criteria{Service: "other"})
	is.True(errors.Is(err, ErrNoServer))
}

// TestEngineThatChangesItsRoleIsAvoided guards against every node finding out by refused
// requests which engines change their role, in a reclaim after which many do so at once.
func TestEngineThatChangesItsRoleIsAvoided(t *testing.T) {
	is := is.New(t)
	registrations := engines(2, 2)
	b, r := newBalancer(registrations, nil)
	now := time.Now()
	changing := r.View().ByHash(r.View().All()["p0"].Hash)
	changing.SetRoleChange(RoleDecode, now.Add(time.Minute))
	chooseAll := func(now time.Time) map[string]int {
		chosen := make(map[string]int)
		for i := range 50 {
			c, err := b.Choose(now, engineCriteria(prompt(fmt.Sprint(i), 0, 20_000)))
			is.NoErr(err)
			chosen[c.Server.ID]++
			c.Done()
		}
		return chosen
	}
	is.Equal(chooseAll(now)["p0"], 0)
	is.True(chooseAll(now.Add(2 * time.Minute))["p0"] > 0) // the change has failed
	registrations[0].Role = RoleDecode
	r.Replace(registrations)
	is.True(!r.View().All()["p0"].isChangingRole(now)) // the change is complete
	// An engine that changes its role is used if there is no other.
	b, r = newBalancer(engines(0, 1), nil)
	r.View().All()["d0"].SetRoleChange(RolePrefill, now.Add(time.Minute))
	_, err := b.Choose(now, engineCriteria(prompt("a", 0, 100)))
	is.NoErr(err)
}

// TestNodesAgreeOnPreferredServer simulates many sessions with long shared prompts. It
// guards against nodes that send the same shared part to different engines, each of which
// would have to process it.
func TestNodesAgreeOnPreferredServer(t *testing.T) {
	is := is.New(t)
	first, _ := newBalancer(engines(6, 3), nil)
	second, _ := newBalancer(engines(6, 3), nil)
	used := map[string]bool{}
	for i := range 40 {
		criteria := engineCriteria(prompt(fmt.Sprint("subject", i), 5000, 6000))
		a, err := first.Choose(time.Now(), criteria)
		is.NoErr(err)
		b, err := second.Choose(time.Now(), criteria)
		is.NoErr(err)
		is.True(a.Prefill)
		is.Equal(a.Server.ID, b.Server.ID) // nodes agree without communicating
		is.Equal(a.UncachedTokens, 6000)
		used[a.Server.ID] = true
		a.Done()
		b.Done()
	}
	is.True(len(used) > 3)
}

// TestPopularPrefixUsesAllPreferredServers simulates one popular affinity key. It guards
// against a queue at its first preferred server while other engines are idle, and against
// processing its shared part on every engine.
func TestPopularPrefixUsesAllPreferredServers(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(engines(8, 2), nil)
	used := map[string]int{}
	for range 24 {
		c, err := b.Choose(time.Now(), engineCriteria(prompt("popular", 2000, 6000)))
		is.NoErr(err)
		used[c.Server.ID]++
	}
	is.Equal(len(used), preferredServerCount)
	for _, n := range used {
		is.True(n >= 4)
	}
}

// TestPreferredServerIsWaitedForByTarget guards against shared parts that are processed
// again on other engines in a burst, although the request has the time to wait for the
// engine that has cached them; a request that is more urgent goes elsewhere.
func TestPreferredServerIsWaitedForByTarget(t *testing.T) {
	is := is.New(t)
	registrations := engines(4, 1)
	_, r := newBalancer(registrations, nil)
	p := prompt("k", 200, 12_000)
	preferred := preferredServers(p.AffinityKey(), r.View().Servers("s"), RolePrefill, "m")[0].ID
	const queueMillis = 45
	b, _ := newBalancer(registrations, peerLoads{preferred: {1, queueMillis * prefillTokensPerMilli}})
	for target, wait := range map[time.Duration]bool{600 * time.Millisecond: true, 150 * time.Millisecond: false} {
		criteria := engineCriteria(p)
		criteria.TargetLatency = target
		c, err := b.Choose(time.Now(), criteria)
		is.NoErr(err)
		is.Equal(c.Server.ID == preferred, wait)
		c.Done()
	}
}

// TestShortSharedPartsHaveNoAffinity guards against queueing at the preferred servers for
// a shared part that any engine can process quickly.
func TestShortSharedPartsHaveNoAffinity(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(engines(8, 2), nil)
	used := map[string]int{}
	for range 24 {
		c, err := b.Choose(time.Now(), engineCriteria(prompt("popular", 100, 6000)))
		is.NoErr(err)
		used[c.Server.ID]++
	}
	is.Equal(len(used), 8)
}

// TestLongPromptsStayOffDecodeEngines guards against streams that pause while their
// decode engine processes a long prompt. Short prompts may be processed there.
func TestLongPromptsStayOffDecodeEngines(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(engines(3, 3), nil)
	long, err := b.Choose(time.Now(), engineCriteria(prompt("a", 100, 12000)))
	is.NoErr(err)
	is.True(long.Prefill)
	short, err := b.Choose(time.Now(), engineCriteria(prompt("b", 100, 300)))
	is.NoErr(err)
	is.True(!short.Prefill)
	is.Equal(short.Server.Role, RoleDecode)
}

// TestDecodeEnginesAreNotAssumedToCachePrefixes simulates many affinity keys with long
// shared parts, each of which is used again only after a long time. It guards against
// assuming that the preferred decode engine has the shared part cached: the engine would
// process it between the tokens of its streams.
func TestDecodeEnginesAreNotAssumedToCachePrefixes(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(engines(3, 3), nil)
	for i := range 30 {
		c, err := b.Choose(time.Now(), engineCriteria(prompt(fmt.Sprint("subject", i), 4800, 200)))
		is.NoErr(err)
		is.True(c.Prefill)
		c.Done()
	}
	// A decode engine has cached what this node itself has sent to it.
	p := prompt("subject", 4800, 200)
	criteria := engineCriteria(p)
	criteria.Prefilled, criteria.HandleDomain = true, "near"
	c, err := b.Choose(time.Now(), criteria)
	is.NoErr(err)
	c.FirstEvent(time.Now())
	c.Done()
	repeated, err := b.Choose(time.Now(), engineCriteria(p))
	is.NoErr(err)
	is.True(!repeated.Prefill)
}

// TestPrefilledRequestGoesToDecodeEngine guards against sending a request whose prompt
// has been processed to a prefill engine, which would process it again.
func TestPrefilledRequestGoesToDecodeEngine(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(engines(3, 3), nil)
	criteria := engineCriteria(prompt("a", 100, 12000))
	criteria.Prefilled, criteria.HandleDomain = true, "near"
	c, err := b.Choose(time.Now(), criteria)
	is.NoErr(err)
	is.Equal(c.Server.Role, RoleDecode)
	is.Equal(c.UncachedTokens, 0)
}

// TestUnreachableDeadlineIsRefused simulates a burst of long prompts after a failure
// domain was reclaimed, with queues that are longer than callers wait. It guards against
// processing prompts whose callers will have canceled.
func TestUnreachableDeadlineIsRefused(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(engines(1, 1), peerLoads{"p0": {20, 200_000}, "d0": {20, 200_000}})
	_, err := b.Choose(time.Now(), engineCriteria(prompt("a", 1000, 12000)))
	is.True(errors.Is(err, ErrDeadlineUnreachable))
	b, _ = newBalancer(engines(1, 1), peerLoads{"p0": {5, 20_000}, "d0": {5, 2_000}})
	_, err = b.Choose(time.Now(), engineCriteria(prompt("a", 1000, 12000)))
	is.NoErr(err)
}

// TestMissingRole guards against refusing all requests while there are only decode
// engines, and against a prefill that no decode engine can continue.
func TestMissingRole(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(engines(0, 2), nil)
	c, err := b.Choose(time.Now(), engineCriteria(prompt("a", 100, 12000)))
	is.NoErr(err)
	is.True(!c.Prefill)
	b, _ = newBalancer(engines(2, 0), nil)
	_, err = b.Choose(time.Now(), engineCriteria(prompt("a", 100, 100)))
	is.True(errors.Is(err, ErrFull))
}

// TestMisstatedPromptsAddNoNegativeLoad guards against engines that look idle because a
// caller states more shared tokens than its prompt has.
func TestMisstatedPromptsAddNoNegativeLoad(t *testing.T) {
	is := is.New(t)
	b, r := newBalancer(engines(2, 2), nil)
	p := &Prompt{Model: "m", Tokens: 10, Parts: []Part{{"a", 50_000}, {"own", 5}}}
	for range 2 { // the second time the shared part counts as cached
		c, err := b.Choose(time.Now(), engineCriteria(p))
		is.NoErr(err)
		is.True(c.UncachedTokens >= 0)
		for _, s := range r.View().All() {
			_, tokens := s.OwnLoad()
			is.True(tokens >= 0)
		}
		c.FirstEvent(time.Now())
		c.Done()
	}
}

// TestLoadReturnsToZero guards against load that remains after requests have ended,
// whatever their outcome.
func TestLoadReturnsToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, r := newBalancer(engines(2, 2), nil)
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			criteria := engineCriteria(prompt("a", 100, rapid.IntRange(0, 20000).Draw(t, "own")))
			criteria.Prefilled = rapid.Bool().Draw(t, "prefilled")
			c, err := b.Choose(time.Now(), criteria)
			if err != nil {
				continue
			}
			switch rapid.IntRange(0, 3).Draw(t, "end") {
			case 0:
				c.FirstEvent(time.Now())
			case 1:
				c.Prefilled(time.Now())
			case 2:
				c.Refused(time.Now())
			}
			c.Done()
			c.Done()
		}
		for id, s := range r.View().All() {
			if requests, tokens := s.OwnLoad(); requests != 0 || tokens != 0 {
				t.Fatalf("%s: %d requests, %d tokens", id, requests, tokens)
			}
		}
	})
}

// TestStatsSurviveReregistration guards against losing the load of a server when its
// registration changes, and against keeping that of a previous incarnation.
func TestStatsSurviveReregistration(t *testing.T) {
	is := is.New(t)
	registrations := serviceServers(1)
	b, r := newBalancer(registrations, nil)
	c, err := b.Choose(time.Now(), &Criteria{Service: "s"})
	is.NoErr(err)
	registrations[0].Slots = 9
	r.Replace(registrations)
	requests, _ := r.View().All()["s0"].OwnLoad()
	is.Equal(requests, int64(1))
	registrations[0].StartUnixMillis = 5
	r.Replace(registrations)
	requests, _ = r.View().All()["s0"].OwnLoad()
	is.Equal(requests, int64(0))
	c.Done()
}

// TestCellsDivideTheDecodeEngines guards against decode engines that belong to no cell or
// to two, nodes that don't use all prefill engines, and many engines that change their
// cell when one is added.
func TestCellsDivideTheDecodeEngines(t *testing.T) {
	is := is.New(t)
	registrations := engines(40, 24)
	_, r := newBalancer(registrations, nil)
	const count = 4
	before := map[string]int{}
	for cell := range count {
		prefill := 0
		for _, s := range r.View().serversInCell("s", Cell{cell, count}) {
			if s.Role == RolePrefill {
				prefill++
				continue
			}
			_, twice := before[s.ID]
			is.True(!twice)
			before[s.ID] = cell
		}
		is.Equal(prefill, 40)
	}
	is.Equal(len(before), 24)
	r.Replace(append(registrations, Registration{ID: "new", Service: "s", Slots: 64, Role: RoleDecode, FailureDomain: "near"}))
	moved := 0
	for cell := range count {
		for _, s := range r.View().serversInCell("s", Cell{cell, count}) {
			if old, known := before[s.ID]; known && old != cell {
				moved++
			}
		}
	}
	is.True(moved <= 6)
}

// TestSmallDeploymentsHaveOneCell guards against cells with too few engines.
func TestSmallDeploymentsHaveOneCell(t *testing.T) {
	is := is.New(t)
	is.Equal(CellOf(3, 8), SingleCell.withIndex(0))
	_, r := newBalancer(engines(10, 6), nil)
	is.Equal(len(r.View().serversInCell("s", Cell{1, 4})), 16)
}

func (c Cell) withIndex(i int) Cell { c.Index = i; return c }
