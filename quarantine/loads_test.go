package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/figweir/figweir/standin/propertytest"
)

// The number of checks of the property tests is fixed, so that runs are comparable.
func init() { propertytest.SetFlags(map[string]string{"rapid.checks": "25"}) }

// maxLateBad is how many bad requests may reach servers after the nodes must have reacted.
const maxLateBad = 3

// sitesLoad has many sound requests that share their first part, few that crash servers, and
// messages that mostly arrive.
func sitesLoad() simLoad {
	return simLoad{
		nodes: 7, servers: 18, perSecond: 60, badShare: 0.03, bad: []string{"bad"}, firsts: 4, subjects: 40,
		begunFor: 750 * time.Millisecond, longShare: 0.1, callersRepeat: 0.5,
		loss: 0.02, repeat: 0.02, delay: 5 * time.Millisecond,
	}
}

// TestOneBadPartAmongSoundOnes guards against a part that crashes server after server, and
// against sound requests being refused with it. The load: three in a hundred requests have
// the part, all others share their first part with them.
func TestOneBadPartAmongSoundOnes(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		f := newFleet(seed, sitesLoad())
		f.run(40 * time.Second)
		is.True(f.badCrashes >= minCrashes)
		is.True(f.badCrashes <= 2*knownCrashes)
		is.True(f.lateBad <= maxLateBad)
		is.Equal(f.soundBlocked, 0)
	}
}

// TestBadPartBehindManyOthers guards against a part that crashes server after server because it
// stands behind so many parts that it is not looked at. The load: all requests begin with the
// same 40 or 300 parts.
func TestBadPartBehindManyOthers(t *testing.T) {
	is := is.New(t)
	for seed, lead := range []int{40, 40, 300} {
		l := sitesLoad()
		l.lead = lead
		f := newFleet(uint64(seed), l)
		f.run(30 * time.Second)
		is.True(f.badCrashes >= minCrashes)
		is.True(f.badCrashes <= 2*knownCrashes)
		is.True(f.lateBad <= maxLateBad)
		is.Equal(f.soundBlocked, 0)
	}
}

// TestTwoBadPartsAtOnce guards against one bad part hiding another. The load: two parts crash
// servers at the same time, beside crashes that no request causes.
func TestTwoBadPartsAtOnce(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		l := sitesLoad()
		l.bad, l.badShare = []string{"bad1", "bad2"}, 0.06
		l.crashesPerSecond, l.crashedShare = 0.2, 0.1
		f := newFleet(seed, l)
		f.run(40 * time.Second)
		is.True(len(f.nodes[0].tracker.Suspicions()) >= 2)
		is.True(f.badCrashes <= 4*knownCrashes)
		is.True(100*f.soundBlocked <= f.sound)
	}
}

// TestCrashesWithoutBadPart guards against sound requests being blamed for crashes. The load:
// a crash each half second takes a tenth of the servers, with requests waiting on them; or
// one crash takes half of them.
func TestCrashesWithoutBadPart(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		l := sitesLoad()
		l.bad = nil
		l.crashesPerSecond, l.crashedShare = 2, 0.1
		if seed%2 == 0 {
			l.crashesPerSecond, l.crashedShare = 0.1, 0.5
		}
		f := newFleet(seed, l)
		f.run(40 * time.Second)
		for _, n := range f.nodes {
			is.Equal(len(n.tracker.Suspicions()), 0)
		}
		is.Equal(f.soundBlocked, 0)
	}
}

// sizedLoad is a load whose servers and requests grow with the number of nodes. Most of the subjects
// are rare, and all callers repeat what was cut.
func sizedLoad(nodes int) simLoad {
	l := sitesLoad()
	l.nodes, l.servers, l.perSecond = nodes, max(4, 2*nodes), min(20*float64(nodes), 400)
	l.subjects, l.callersRepeat = 20*nodes, 1
	return l
}

// sizedTime is how long such a load is simulated: the many nodes take their time.
func sizedTime(nodes int) time.Duration {
	if nodes > 10 {
		return 10 * time.Second
	}
	return 30 * time.Second
}

// TestFleetsOfAllSizesBlockNothingSound guards against sound requests being refused because a few of
// them met crashes. The load: streams that share parts, rare parts, callers that repeat, and a crash a
// second that takes a tenth of the servers.
func TestFleetsOfAllSizesBlockNothingSound(t *testing.T) {
	is := is.New(t)
	for _, nodes := range []int{2, 8, 74, 195} {
		l := sizedLoad(nodes)
		l.bad = nil
		l.crashesPerSecond, l.crashedShare = 1, 0.1
		f := newFleet(uint64(nodes), l)
		f.run(sizedTime(nodes))
		for _, n := range f.nodes {
			is.Equal(len(n.tracker.Suspicions()), 0)
		}
		is.Equal(f.soundBlocked, 0)
	}
}

// TestFleetsOfAllSizesFindTheBadPart guards against a part that crashes servers after the first events
// of its answers and is never found out. The load: streams that share parts, rare parts, callers that
// repeat, and two bad requests a second.
func TestFleetsOfAllSizesFindTheBadPart(t *testing.T) {
	is := is.New(t)
	for _, nodes := range []int{2, 8, 74, 195} {
		l := sizedLoad(nodes)
		l.badShare = 2 / l.perSecond
		f := newFleet(uint64(nodes), l)
		f.run(sizedTime(nodes))
		is.True(f.badCrashes >= minCrashes)
		is.True(f.badCrashes <= 2*knownCrashes)
		is.True(f.lateBad <= maxLateBad)
		is.True(100*f.soundBlocked <= f.sound)
	}
}

// TestNodeThatStartsLaterLearnsOfSuspicions guards against a node that starts after the parts
// became suspected and sends such requests. The load is that of one bad part.
func TestNodeThatStartsLaterLearnsOfSuspicions(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, sitesLoad())
	f.run(4*time.Second + 2*urgentTime)
	crashes := f.badCrashes
	started := f.addNode()
	f.run(time.Second) // the announcements are repeated in that time
	is.Equal(len(started.tracker.Suspicions()), 1)
	f.run(3 * time.Second) // before the first trial
	is.True(f.badCrashes <= crashes+2)
	pulled := NewTracker(1)
	pulled.Apply(f.now, f.nodes[0].tracker.State())
	is.Equal(len(pulled.Suspicions()), 1) // by a pull, without announcements
}

// TestNodeThatWasCutOffLearnsOfSuspicions guards against a node that heard nothing while the
// parts became suspected and goes on to send such requests.
func TestNodeThatWasCutOffLearnsOfSuspicions(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, sitesLoad())
	f.nodes[3].cut = true
	f.run(8 * time.Second)
	f.nodes[3].cut = false
	f.run(time.Second)
	f.lateBad = 0
	f.run(8 * time.Second)
	is.Equal(f.lateBad, 0)
}

// TestLostLateAndRepeatedMessages guards against decisions that need every message in order.
// The load: a third of the messages is lost, a third arrives twice, all up to 300 ms late.
func TestLostLateAndRepeatedMessages(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		l := sitesLoad()
		l.loss, l.repeat, l.delay = 0.33, 0.33, 300*time.Millisecond
		f := newFleet(seed, l)
		f.run(40 * time.Second)
		is.True(f.lateBad <= maxLateBad)
		is.True(100*f.soundBlocked <= f.sound)
	}
}

// TestRandomMixes checks for random mixes of requests, crashes and message faults that bad
// requests stop and that sound ones are served at least half as often as without them.
func TestRandomMixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := simLoad{
			nodes: rapid.IntRange(1, 12).Draw(t, "nodes"), servers: rapid.IntRange(4, 40).Draw(t, "servers"),
			perSecond: rapid.Float64Range(20, 90).Draw(t, "rate"),
			firsts:    rapid.IntRange(1, 20).Draw(t, "firsts"), subjects: rapid.IntRange(20, 200).Draw(t, "subjects"),
			crashesPerSecond: rapid.Float64Range(0, 1).Draw(t, "crashes"), crashedShare: rapid.Float64Range(0, 0.3).Draw(t, "crashed share"),
			loss: rapid.Float64Range(0, 0.3).Draw(t, "loss"), repeat: rapid.Float64Range(0, 0.3).Draw(t, "repeat"),
			delay: time.Duration(rapid.IntRange(1, 100).Draw(t, "delay")) * time.Millisecond, bad: []string{"bad"},
			begunFor:  time.Duration(rapid.IntRange(0, 750).Draw(t, "begun")) * time.Millisecond,
			longShare: rapid.Float64Range(0, 1).Draw(t, "long answers"), callersRepeat: rapid.Float64Range(0, 1).Draw(t, "repeats"),
		}
		// With more, all servers crash within a tenth of a second, again and again, and no
		// answer begins that could clear the sound parts.
		badPerSecond := rapid.Float64Range(0.2, 0.5*float64(l.servers)).Draw(t, "bad requests per second")
		l.badShare = min(0.3, badPerSecond/l.perSecond)
		f := newFleet(rapid.Uint64().Draw(t, "seed"), l)
		f.run(30 * time.Second)
		if f.lateBad > maxLateBad {
			t.Fatalf("%d requests with the bad part were sent after the nodes must have reacted, %d crashes", f.lateBad, f.badCrashes)
		}
		if 2*f.soundBlocked > f.sound {
			t.Fatalf("%d of %d sound requests were blocked", f.soundBlocked, f.sound)
		}
	})
}
