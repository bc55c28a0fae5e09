package backends

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// peersWork is what other nodes have on servers, by id.
type peersWork map[string][2]int64

func newBalancer(infos []Info, work peersWork) (*Balancer, *Registry) {
	r := NewRegistry()
	r.Replace(infos)
	byHash := hashedWork{}
	for id, w := range work {
		byHash[r.View().All()[id].Hash] = w
	}
	return NewBalancer(r, "near", byHash, func() Cell { return WholeDeployment }, func() {}), r
}

type hashedWork map[uint64][2]int64

func (p hashedWork) Load(server uint64) (int64, int64) { return p[server][0], p[server][1] }
func (p hashedWork) Peers() int                        { return 1 }

func plainServers(n int) []Info {
	var list []Info
	for i := range n {
		domain := "near"
		if i > 0 {
			domain = "far"
		}
		list = append(list, Info{ID: fmt.Sprint("s", i), Service: "s", Address: fmt.Sprint("a", i), FailureDomain: domain, Slots: 6})
	}
	return list
}

func engineFleet(prefill, decode int) []Info {
	var list []Info
	add := func(kind string, n int, role Role) {
		for i := range n {
			list = append(list, Info{
				ID: fmt.Sprint(kind, i), Service: "s", Address: fmt.Sprint(kind, i), FailureDomain: "near", Slots: 64, Role: role, Models: []string{"m"},
			})
		}
	}
	add("p", prefill, RolePrefill)
	add("d", decode, RoleDecode)
	return list
}

func prompt(subject string, shared, own int) *Prompt {
	return &Prompt{Model: "m", Tokens: shared + own, Parts: []Part{{subject, shared}, {"own", own}}}
}

func engineWork(p *Prompt) *Work {
	return &Work{
		Service: "s", Prompt: p, Left: 8 * time.Second, Target: 400 * time.Millisecond, TargetPause: 250 * time.Millisecond,
		KVTokenBytes: 18432, LinkBitsPerSecond: 550e9,
	}
}

// TestNearServersFirst guards against traffic between failure domains while there
// is room in the own one.
func TestNearServersFirst(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(plainServers(4), nil)
	for range 3 {
		c, err := b.Choose(time.Now(), &Work{Service: "s"})
		is.NoErr(err)
		is.Equal(c.Server.ID, "s0")
	}
	b, _ = newBalancer(plainServers(4), peersWork{"s0": {4, 0}})
	c, err := b.Choose(time.Now(), &Work{Service: "s"})
	is.NoErr(err)
	is.True(c.Server.ID != "s0") // four of six slots are busy
}

// TestWorkOfOtherNodesCounts is the load of many nodes that see a server idle at
// the same time. It guards against all of them sending to it.
func TestWorkOfOtherNodesCounts(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(plainServers(2), peersWork{"s0": {6, 0}})
	c, err := b.Choose(time.Now(), &Work{Service: "s"})
	is.NoErr(err)
	is.Equal(c.Server.ID, "s1")
}

// TestFailingServersRest guards against sending work to servers that can't be
// reached or that fail most of it while others are sound.
func TestFailingServersRest(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(plainServers(2), nil)
	now := time.Now()
	c, _ := b.Choose(now, &Work{Service: "s"})
	c.Unreachable(now)
	c.Done()
	next, err := b.Choose(now, &Work{Service: "s"})
	is.NoErr(err)
	is.Equal(next.Server.ID, "s1")
	next.Done()
	later, _ := b.Choose(now.Add(maxSuspect), &Work{Service: "s"})
	is.Equal(later.Server.ID, "s0") // it is tried again
	later.Done()
	for range 12 {
		later.Failed()
	}
	c, _ = b.Choose(now.Add(maxSuspect), &Work{Service: "s"})
	is.Equal(c.Server.ID, "s1")
}

// TestOneSoundServerIsBetterThanNone guards against refusing requests because all
// servers had failures.
func TestOneSoundServerIsBetterThanNone(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(plainServers(1), nil)
	now := time.Now()
	c, _ := b.Choose(now, &Work{Service: "s"})
	c.Unreachable(now)
	_, err := b.Choose(now, &Work{Service: "s"})
	is.NoErr(err)
	_, err = b.Choose(now, &Work{Service: "s", Excluded: []string{"s0"}})
	is.True(errors.Is(err, ErrFull))
	_, err = b.Choose(now, &Work{Service: "other"})
	is.True(errors.Is(err, ErrNoServer))
}

// TestSubjectsHaveAHome is the load of many sessions with long shared prompts. It
// guards against processing the same shared part at every engine.
func TestSubjectsHaveAHome(t *testing.T) {
	is := is.New(t)
	first, _ := newBalancer(engineFleet(6, 3), nil)
	second, _ := newBalancer(engineFleet(6, 3), nil)
	homes := map[string]bool{}
	for i := range 40 {
		w := engineWork(prompt(fmt.Sprint("subject", i), 5000, 6000))
		a, err := first.Choose(time.Now(), w)
		is.NoErr(err)
		b, err := second.Choose(time.Now(), w)
		is.NoErr(err)
		is.True(a.Prefill)
		is.Equal(a.Server.ID, b.Server.ID) // nodes agree without talking
		is.Equal(a.Uncached, 6000)
		homes[a.Server.ID] = true
		a.Done()
		b.Done()
	}
	is.True(len(homes) > 3)
}

// TestBusyHomeIsLeft is the load of one popular subject. It guards against a queue
// at its home while other engines are idle, and against its shared part being
// processed at every engine: it has a few homes.
func TestBusyHomeIsLeft(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(engineFleet(8, 2), nil)
	used := map[string]int{}
	for range 24 {
		c, err := b.Choose(time.Now(), engineWork(prompt("popular", 2000, 6000)))
		is.NoErr(err)
		used[c.Server.ID]++
	}
	is.Equal(len(used), homeCount)
	for _, n := range used {
		is.True(n >= 4)
	}
}

// TestShortSharedPartsBindNothing guards against queues for the sake of a shared
// part that is quickly processed again.
func TestShortSharedPartsBindNothing(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(engineFleet(8, 2), nil)
	used := map[string]int{}
	for range 24 {
		c, err := b.Choose(time.Now(), engineWork(prompt("popular", 100, 6000)))
		is.NoErr(err)
		used[c.Server.ID]++
	}
	is.Equal(len(used), 8)
}

// TestLongPromptsStayOffDecodeEngines is the load of long prompts beside running
// streams. It guards against streams that pause while a decode engine processes a
// prompt; short prompts may go there.
func TestLongPromptsStayOffDecodeEngines(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(engineFleet(3, 3), nil)
	long, err := b.Choose(time.Now(), engineWork(prompt("a", 100, 12000)))
	is.NoErr(err)
	is.True(long.Prefill)
	short, err := b.Choose(time.Now(), engineWork(prompt("b", 100, 300)))
	is.NoErr(err)
	is.True(!short.Prefill)
	is.Equal(short.Server.Role, RoleDecode)
}

// TestDecodeHomesAreNoCaches is the load of many subjects with long shared parts,
// each of which comes back after a long time. It guards against shared parts that
// are processed between the tokens of the streams at a decode engine because the
// subject's home was taken to have them.
func TestDecodeHomesAreNoCaches(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(engineFleet(3, 3), nil)
	for i := range 30 {
		c, err := b.Choose(time.Now(), engineWork(prompt(fmt.Sprint("subject", i), 4800, 200)))
		is.NoErr(err)
		is.True(c.Prefill)
		c.Done()
	}
	// What this node has sent to a decode engine itself is there.
	p := prompt("subject", 4800, 200)
	w := engineWork(p)
	w.Prefilled, w.HandleDomain = true, "near"
	c, err := b.Choose(time.Now(), w)
	is.NoErr(err)
	c.FirstEvent(time.Now())
	c.Done()
	again, err := b.Choose(time.Now(), engineWork(p))
	is.NoErr(err)
	is.True(!again.Prefill)
}

// TestRestGoesToDecodeEngines guards against sending a request whose prompt is
// processed to an engine that would process it again.
func TestRestGoesToDecodeEngines(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(engineFleet(3, 3), nil)
	w := engineWork(prompt("a", 100, 12000))
	w.Prefilled, w.HandleDomain = true, "near"
	c, err := b.Choose(time.Now(), w)
	is.NoErr(err)
	is.Equal(c.Server.Role, RoleDecode)
	is.Equal(c.Uncached, 0)
}

// TestHopelessRequestsAreRefused is the load of a burst of long prompts after a
// failure domain was taken back: the queues are longer than callers wait. It guards
// against processing prompts whose callers will have left.
func TestHopelessRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(engineFleet(1, 1), peersWork{"p0": {20, 200_000}, "d0": {20, 200_000}})
	_, err := b.Choose(time.Now(), engineWork(prompt("a", 1000, 12000)))
	is.True(errors.Is(err, ErrTooLate))
	b, _ = newBalancer(engineFleet(1, 1), peersWork{"p0": {5, 20_000}, "d0": {5, 2_000}})
	_, err = b.Choose(time.Now(), engineWork(prompt("a", 1000, 12000)))
	is.NoErr(err)
}

// TestWithoutOneRole guards against refusing everything while all engines have one
// role.
func TestWithoutOneRole(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(engineFleet(0, 2), nil)
	c, err := b.Choose(time.Now(), engineWork(prompt("a", 100, 12000)))
	is.NoErr(err)
	is.True(!c.Prefill)
	b, _ = newBalancer(engineFleet(2, 0), nil)
	_, err = b.Choose(time.Now(), engineWork(prompt("a", 100, 100)))
	is.True(errors.Is(err, ErrFull))
}

// TestMisstatedPromptsAddNoNegativeWork guards against engines that look idle because
// a caller names more shared tokens than its prompt has.
func TestMisstatedPromptsAddNoNegativeWork(t *testing.T) {
	is := is.New(t)
	b, r := newBalancer(engineFleet(2, 2), nil)
	p := &Prompt{Model: "m", Tokens: 10, Parts: []Part{{"a", 50_000}, {"own", 5}}}
	for range 2 { // the second time the shared part counts as cached
		c, err := b.Choose(time.Now(), engineWork(p))
		is.NoErr(err)
		is.True(c.Uncached >= 0)
		for _, s := range r.View().All() {
			_, tokens := s.Work()
			is.True(tokens >= 0)
		}
		c.FirstEvent(time.Now())
		c.Done()
	}
}

// TestLoadReturnsToZero guards against load that stays after requests have ended,
// however they ended.
func TestLoadReturnsToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, r := newBalancer(engineFleet(2, 2), nil)
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			w := engineWork(prompt("a", 100, rapid.IntRange(0, 20000).Draw(t, "own")))
			w.Prefilled = rapid.Bool().Draw(t, "prefilled")
			c, err := b.Choose(time.Now(), w)
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
			if requests, tokens := s.Work(); requests != 0 || tokens != 0 {
				t.Fatalf("%s: %d requests, %d tokens", id, requests, tokens)
			}
		}
	})
}

// TestStatsSurviveReregistration guards against forgetting the load of a server
// whose registration changes, and against keeping that of an earlier incarnation.
func TestStatsSurviveReregistration(t *testing.T) {
	is := is.New(t)
	infos := plainServers(1)
	b, r := newBalancer(infos, nil)
	c, err := b.Choose(time.Now(), &Work{Service: "s"})
	is.NoErr(err)
	infos[0].Slots = 9
	r.Replace(infos)
	requests, _ := r.View().All()["s0"].Work()
	is.Equal(requests, int64(1))
	infos[0].BornMillis = 5
	r.Replace(infos)
	requests, _ = r.View().All()["s0"].Work()
	is.Equal(requests, int64(0))
	c.Done()
}

// TestCellsDivideTheDecodeEngines guards against decode engines that belong to no
// cell or to two, nodes that don't see a subject's home, and many engines that move
// when one is added.
func TestCellsDivideTheDecodeEngines(t *testing.T) {
	is := is.New(t)
	infos := engineFleet(40, 24)
	_, r := newBalancer(infos, nil)
	const count = 4
	before := map[string]int{}
	for cell := range count {
		prefill := 0
		for _, s := range r.View().inCell("s", Cell{cell, count}) {
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
	r.Replace(append(infos, Info{ID: "new", Service: "s", Slots: 64, Role: RoleDecode, FailureDomain: "near"}))
	moved := 0
	for cell := range count {
		for _, s := range r.View().inCell("s", Cell{cell, count}) {
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
	is.Equal(CellOf(3, 8), WholeDeployment.withIndex(0))
	_, r := newBalancer(engineFleet(10, 6), nil)
	is.Equal(len(r.View().inCell("s", Cell{1, 4})), 16)
}

func (c Cell) withIndex(i int) Cell { c.Index = i; return c }
