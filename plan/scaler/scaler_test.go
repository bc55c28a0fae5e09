package scaler

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/figweir/figweir/plan"
)

const (
	tick       = 500 * time.Millisecond
	startup    = 4 * time.Second
	engineRate = 50_000.0
	slots      = 64
)

// simulation is a platform with one service. Engines of all roles share their work.
type simulation struct {
	t          *testing.T
	now, start time.Time
	engines    []plan.Engine
	view       plan.ScalingView
	demand     Demand
	controller *Controller
	tokens     float64
	// load returns the prompt tokens per second and the streams at a time.
	load func(time.Duration) (float64, int)
	// refuses holds the failure domains without reclaimable engines.
	refuses map[string]bool
	// reply is the outcome of orders that are not refused, and delay how much later they
	// are carried out.
	reply  Outcome
	delay  func() time.Duration
	events []event
	// ordered holds the last order that was carried out.
	ordered map[Key]int
	// speed returns the speed of a new engine.
	speed func(n int) float64

	started                  map[bool]int
	released                 []timedValue
	orderedAgain, calls      int
	releases, startedAtReset int
	// check is called for each order; nil if not set.
	check       func(Order)
	withoutRoom time.Duration
	mostEngines int
	cost        float64
	log         bool
}

// event is something that the platform does at a time.
type event struct {
	at time.Time
	do func()
}

func newSimulation(t *testing.T, initial int, load func(time.Duration) (float64, int)) *simulation {
	start := time.Unix(1000, 0)
	s := &simulation{
		t: t, now: start, start: start, load: load, refuses: map[string]bool{}, delay: func() time.Duration { return 0 },
		log: testing.Verbose(), speed: func(int) float64 { return 1 }, started: map[bool]int{}, ordered: map[Key]int{},
		view: plan.ScalingView{
			SpeedsKnown:    true,
			FailureDomains: []string{"a", "b", "c", "d"}, MinPerDomain: 2, MaxPerDomain: 26, ReclaimablePrice: 0.18,
			Slots: slots, PrefillTokensPerSecond: engineRate, StartupTime: startup,
			Needs: plan.LatencyNeeds{
				TargetLatency: 400 * time.Millisecond, PromptTokens: 10_000,
				TargetPause: 300 * time.Millisecond, EventPause: 60 * time.Millisecond, DecodeOccupancy: 0.25,
			},
		},
	}
	for i := range initial {
		s.addEngine(s.view.FailureDomains[i%4], false)
	}
	s.controller = NewController(start, 0, nil)
	return s
}

func (s *simulation) addEngine(domain string, reclaimable bool) {
	n := len(s.events) + s.started[true] + s.started[false]
	s.started[reclaimable]++
	s.engines = append(s.engines, plan.Engine{
		ID: fmt.Sprintf("%s%d", domain, n), FailureDomain: domain, Reclaimable: reclaimable, Speed: s.speed(n),
	})
}

func (s *simulation) at(after time.Duration, do func()) {
	s.events = append(s.events, event{s.start.Add(after), do})
}

func (s *simulation) count(domain string, reclaimable bool) int {
	return (&plan.ScalingView{Engines: s.engines}).RunningEngines(domain, reclaimable)
}

// carryOut applies an order: engines beyond the count stop at once, missing ones start.
func (s *simulation) carryOut(o Order) {
	if o.Reclaimable && s.refuses[o.FailureDomain] && o.Count > s.count(o.FailureDomain, true) {
		return
	}
	s.ordered[o.Key] = o.Count
	for over := s.count(o.FailureDomain, o.Reclaimable) - o.Count; over > 0; over-- {
		i := slices.IndexFunc(s.engines, func(e plan.Engine) bool {
			return e.FailureDomain == o.FailureDomain && e.Reclaimable == o.Reclaimable
		})
		s.engines = slices.Delete(s.engines, i, i+1)
		s.released = append(s.released, timedValue{s.now, 1})
		s.releases++
	}
	s.events = append(s.events, event{s.now.Add(startup), func() {
		for s.count(o.FailureDomain, o.Reclaimable) < min(o.Count, s.ordered[o.Key]) {
			s.addEngine(o.FailureDomain, o.Reclaimable)
			// A start within 20 s of a release is a server ordered again.
			if n := len(s.released); n > 0 && s.now.Sub(s.released[n-1].at) < 20*time.Second {
				s.released = s.released[:n-1]
				s.orderedAgain++
			}
		}
	}})
}

// reclaim ends all reclaimable engines of a failure domain, which provides none for some
// time.
func (s *simulation) reclaim(domain string, none time.Duration) {
	s.engines = slices.DeleteFunc(s.engines, func(e plan.Engine) bool { return e.FailureDomain == domain && e.Reclaimable })
	s.refuses[domain], s.ordered[Key{domain, true}] = true, 0
	s.events = append(s.events, event{s.now.Add(none), func() { s.refuses[domain] = false }})
}

// run advances the simulation until the given time after its start.
func (s *simulation) run(until time.Duration) {
	for s.now.Sub(s.start) < until {
		s.now = s.now.Add(tick)
		for i := 0; i < len(s.events); i++ {
			if e := s.events[i]; e.do != nil && !s.now.Before(e.at) {
				s.events[i].do = nil
				e.do()
			}
		}
		rate, streams := s.load(s.now.Sub(s.start))
		s.tokens += rate * tick.Seconds()
		s.demand.Observe(s.now, uint64(s.tokens), streams)
		s.view.Engines = slices.Clone(s.engines)
		s.view.DemandSettled = s.demand.Settled(s.now)
		s.view.PromptTokensPerSecond, s.view.Streams = s.demand.PromptTokens().Peak, s.demand.Streams().Peak
		for range 2 {
			for _, o := range s.controller.Orders(s.now, &s.view, &s.demand) {
				s.send(o)
			}
		}
		if s.view.Speed() < rate/engineRate+float64(streams)/slots {
			s.withoutRoom += tick
		}
		s.mostEngines = max(s.mostEngines, len(s.engines))
		s.cost += tick.Seconds() * (float64(s.count("", false)) + s.view.ReclaimablePrice*float64(s.count("", true)))
		if s.log {
			s.t.Logf("%5.1f s: need %.1f hard %.1f, %d standard, %d reclaimable", s.now.Sub(s.start).Seconds(), s.controller.need.Total, s.controller.need.Hard, s.count("", false), s.count("", true))
		}
	}
}

func (s *simulation) send(o Order) {
	s.calls++
	if s.check != nil {
		s.check(o)
	}
	outcome := s.reply
	if s.reply == Accepted && o.Reclaimable && s.refuses[o.FailureDomain] && o.Count > s.count(o.FailureDomain, true) {
		outcome = Refused
	} else if d := s.delay(); d > 0 {
		s.events = append(s.events, event{s.now.Add(d), func() { s.carryOut(o) }})
	} else {
		s.carryOut(o)
	}
	if s.log {
		s.t.Logf("%5.1f s: order %+v outcome %d", s.now.Sub(s.start).Seconds(), o, outcome)
	}
	s.controller.Record(s.now, &s.view, o, outcome)
}

// reset forgets what was measured so far.
func (s *simulation) reset() {
	s.releases, s.startedAtReset = 0, s.started[false]+s.started[true]
	s.orderedAgain, s.calls, s.withoutRoom, s.mostEngines, s.cost, s.released = 0, 0, 0, 0, 0, nil
}

// wave is a load of 800,000 tokens a second and 350 streams on average, with the period
// and the amplitude of an uneven load. It begins after 10 s.
func wave(at time.Duration) (float64, int) {
	if at < 10*time.Second {
		return 0, 0
	}
	f := 1 + 0.27*math.Sin(2*math.Pi*at.Seconds()/11)
	return 800_000 * f, int(350 * f)
}

// steadyNeed is the number of engines that the wave requires at its targets.
const steadyNeed = 48

// Guards against sixty standard engines throughout, and against servers that are released
// in each trough of a wave and ordered again.
func TestWave(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 60, wave)
	s.run(9500 * time.Millisecond)
	is.True(s.count("", false) <= 8) // before the first traffic
	s.run(26 * time.Second)
	is.Equal(s.withoutRoom, time.Duration(0))
	s.reset()
	s.run(90 * time.Second)
	t.Log("engines", s.mostEngines, "ordered again", s.orderedAgain, "calls", s.calls, "cost", s.cost)
	is.Equal(s.withoutRoom, time.Duration(0))
	is.True(s.mostEngines <= steadyNeed*115/100)
	is.Equal(s.orderedAgain, 0)
	is.True(s.calls <= 8)
	is.Equal(s.count("", false), 4)
}

// Guards against a burst that begins when the fewest engines run, and against engines that
// are kept for ever after it.
func TestBurstOnTrough(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 60, func(at time.Duration) (float64, int) {
		rate, streams := wave(at)
		if at > 52*time.Second && at < 60*time.Second {
			return rate * 2, streams * 2
		}
		return rate, streams
	})
	s.run(52 * time.Second)
	s.reset()
	s.run(62 * time.Second)
	t.Log("engines", s.mostEngines, "without room", s.withoutRoom)
	is.True(s.withoutRoom <= startup)
	is.True(s.mostEngines <= 2*steadyNeed)
	s.run(100 * time.Second)
	s.reset()
	s.run(120 * time.Second)
	is.True(s.mostEngines <= steadyNeed*115/100)
	is.Equal(s.orderedAgain, 0)
}

// Guards against counting engines of half speed as whole ones.
func TestUnevenSpeeds(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 60, wave)
	s.speed = func(n int) float64 { return []float64{0.3, 0.5, 0.6, 1}[n%4] }
	s.run(40 * time.Second)
	s.reset()
	s.run(90 * time.Second)
	speed := 0.0
	for _, e := range s.engines {
		speed += e.Speed
	}
	t.Log("engines", s.mostEngines, "speed", speed, "ordered again", s.orderedAgain)
	is.Equal(s.withoutRoom, time.Duration(0))
	is.True(speed >= steadyNeed*85/100)
	is.True(speed <= steadyNeed*120/100)
	is.True(s.orderedAgain <= 2)
}

// Guards against orders for each shift between long prompts and long answers, which is
// faster than an engine starts.
func TestShiftingMix(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 60, func(at time.Duration) (float64, int) {
		rate, streams := wave(at)
		if int(at/(2800*time.Millisecond))%2 == 0 {
			return rate * 1.5, streams / 2
		}
		return rate / 2, streams * 3 / 2
	})
	s.run(40 * time.Second)
	s.reset()
	s.run(100 * time.Second)
	t.Log("engines", s.mostEngines, "ordered again", s.orderedAgain, "calls", s.calls)
	is.Equal(s.withoutRoom, time.Duration(0))
	is.True(s.mostEngines <= 2*steadyNeed)
	is.True(s.orderedAgain <= 4)
	is.True(s.calls <= 24)
}

// Guards against standard engines at five times the price for a failure domain that
// provides no reclaimable ones, and against an order there in each round.
func TestDomainThatGivesNone(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 60, wave)
	s.refuses["b"] = true
	s.run(40 * time.Second)
	is.Equal(s.withoutRoom, time.Duration(0))
	s.reset()
	s.run(90 * time.Second)
	t.Log("engines", s.mostEngines, "standard", s.count("", false), "calls", s.calls)
	is.Equal(s.withoutRoom, time.Duration(0))
	is.True(s.mostEngines <= steadyNeed*125/100)
	is.True(s.count("", false) <= 5)
	is.True(s.calls <= 12)
}

// Guards against standard engines ordered for every engine of a reclaimed failure domain,
// and against more engines than before once it provides some again.
func TestReclaimOfDomain(t *testing.T) {
	for _, at := range []time.Duration{14 * time.Second, 50 * time.Second} {
		is := is.New(t)
		s := newSimulation(t, 60, wave)
		s.at(at, func() { s.reclaim("a", 8*time.Second) })
		s.run(at - tick)
		s.reset()
		s.run(at + 12*time.Second)
		t.Log("engines", s.mostEngines, "standard", s.count("", false), "without room", s.withoutRoom, "calls", s.calls)
		is.Equal(s.withoutRoom, time.Duration(0))
		is.True(s.count("", false) <= 12)
		s.run(at + 60*time.Second)
		s.reset()
		s.run(at + 90*time.Second)
		is.True(s.mostEngines <= steadyNeed*120/100)
		is.True(s.count("", false) <= 5)
		is.Equal(s.orderedAgain, 0)
	}
}

// A failure domain is reclaimed while none provides reclaimable engines. Guards against
// standard engines for more than the demand needs at least, and against keeping them.
func TestReclaimWithoutReplacements(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 60, wave)
	s.run(40 * time.Second)
	for _, d := range s.view.FailureDomains {
		s.reclaim(d, 12*time.Second)
		if d == "b" {
			break
		}
	}
	s.refuses["c"], s.refuses["d"] = true, true
	s.at(52*time.Second, func() { clear(s.refuses) })
	s.reset()
	s.run(52 * time.Second)
	t.Log("engines", s.mostEngines, "standard", s.count("", false), "without room", s.withoutRoom)
	is.True(s.withoutRoom <= startup+2*tick)
	is.True(s.view.Speed() >= s.controller.need.Hard)
	is.True(s.view.Speed() <= s.controller.need.Hard*115/100)
	s.run(75 * time.Second)
	is.True(s.count("", false) <= 8)
}

// Guards against a demand that the engines of the only other failure domain can't carry
// after a reclaim, and against a reserve of standard engines.
func TestReserveForReclaim(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 60, wave)
	s.view.FailureDomains, s.view.MaxPerDomain = s.view.FailureDomains[:2], 60
	for i := range s.engines {
		s.engines[i].FailureDomain = s.view.FailureDomains[i%2]
	}
	s.run(60 * time.Second)
	for _, d := range s.view.FailureDomains {
		is.True(s.view.Speed()-float64(s.count(d, true)) >= s.controller.need.Hard-1)
	}
	is.True(s.count("", false) <= 4) // the reserve is not of standard engines
}

// Guards against a new holder of the duty that releases what the previous one has ordered
// and what still starts, and against one that keeps an inflated number for ever.
func TestHolderReplacedInTheMiddle(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 60, wave)
	s.run(20 * time.Second)
	s.reclaim("a", time.Second)
	s.run(21 * time.Second)
	total, ordered := s.controller.State()
	before := s.releases
	s.controller = NewController(s.now, total+40, ordered) // a minimum of the previous holder that is too high
	s.demand = Demand{}                                    // which was not told to this node before
	s.run(28 * time.Second)
	is.Equal(s.releases, before)
	is.Equal(s.withoutRoom, time.Duration(0))
	s.run(70 * time.Second)
	t.Log("engines", len(s.engines))
	is.True(len(s.engines) <= steadyNeed*120/100)
	is.True(s.count("", false) <= 5)
}

// Guards against orders that are repeated elsewhere because they were not answered, so
// that twice as many servers come when they are carried out 2 to 12 s late.
func TestUnansweredOrdersCarriedOutLate(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 60, wave)
	s.run(40 * time.Second)
	s.reset()
	n := 0
	s.reply = Unknown
	s.delay = func() time.Duration { n++; return time.Duration(2+n*5%11) * time.Second }
	s.reclaim("a", time.Second)
	s.run(60 * time.Second)
	t.Log("engines", s.mostEngines, "without room", s.withoutRoom, "calls", s.calls)
	is.Equal(s.withoutRoom, time.Duration(0))
	is.True(s.mostEngines <= steadyNeed*115/100)
	s.reply, s.delay = Accepted, func() time.Duration { return 0 }
	s.run(120 * time.Second)
	s.reset()
	s.run(140 * time.Second)
	is.True(s.mostEngines <= steadyNeed*120/100)
	is.Equal(s.orderedAgain, 0)
}

// Guards against a demand that is overestimated many times because a call without an
// answer blocked the sampling loop.
func TestDemandAfterDelayedSample(t *testing.T) {
	is := is.New(t)
	var d Demand
	now, tokens := time.Unix(1000, 0), uint64(0)
	for _, gap := range []time.Duration{500, 500, 500, 2500, 10, 490, 500, 3000, 500} {
		now = now.Add(gap * time.Millisecond)
		tokens += uint64(gap) // 1,000 tokens a second
		d.Observe(now, tokens, 1)
	}
	is.True(d.PromptTokens().Peak <= 1000)
	is.True(d.PromptTokens().Mean > 0)
}

// Guards against targets outside the limits of the platform, releases while the need is not
// met, and orders without end under a constant load, from any state of the engines.
func TestOrdersAreBoundedAndSettle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := float64(rapid.IntRange(0, 2_000_000).Draw(rt, "rate"))
		streams := rapid.IntRange(0, 900).Draw(rt, "streams")
		s := newSimulation(t, 0, func(time.Duration) (float64, int) { return rate, streams })
		s.log = false
		s.view.MinPerDomain, s.view.MaxPerDomain = rapid.IntRange(0, 4).Draw(rt, "min"), rapid.IntRange(4, 26).Draw(rt, "max")
		s.view.Prices = map[string]float64{"a": 1, "b": rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(rt, "price")}
		s.speed = func(n int) float64 { return []float64{1, 0.25, 0, math.NaN(), 1.7}[n%5] }
		for range rapid.IntRange(1, 60).Draw(rt, "engines") {
			d := rapid.SampledFrom(s.view.FailureDomains).Draw(rt, "domain")
			if s.count(d, false)+s.count(d, true) < s.view.MaxPerDomain {
				s.addEngine(d, rapid.Bool().Draw(rt, "reclaimable"))
			}
		}
		s.refuses["c"] = rapid.Bool().Draw(rt, "refused")
		s.check = func(o Order) {
			if o.Count < 0 || o.Count > s.view.MaxPerDomain {
				rt.Fatalf("order %+v", o)
			}
			if o.Count < o.Present && s.view.Speed() < s.controller.need.Hard && !strings.HasPrefix(o.Reason, "room") {
				rt.Fatalf("release %+v below the need", o)
			}
		}
		s.run(90 * time.Second)
		s.reset()
		s.run(110 * time.Second)
		if s.releases > 0 || s.started[false]+s.started[true] != s.startedAtReset {
			rt.Fatalf("engines still change: %d released, %d started", s.releases, s.started[false]+s.started[true]-s.startedAtReset)
		}
		for _, d := range s.view.FailureDomains {
			if n := s.count(d, false) + s.count(d, true); n > s.view.MaxPerDomain || n < s.view.MinPerDomain {
				rt.Fatalf("%d servers in %s", n, d)
			}
		}
	})
}

// engineCounts returns an in-memory service with the given standard and reclaimable engines
// in the failure domains a, b and c.
func engineCounts(t *testing.T, standard, reclaimable [3]int) *simulation {
	s := newSimulation(t, 0, nil)
	s.view.FailureDomains, s.view.MinPerDomain, s.view.MaxPerDomain = []string{"a", "b", "c"}, 1, 10
	s.setEngines(standard, reclaimable)
	s.demand.Observe(s.now.Add(-tick), 0, 0)
	s.demand.Observe(s.now, 0, 0)
	return s
}

func (s *simulation) setEngines(standard, reclaimable [3]int) {
	s.engines = nil
	for i, d := range s.view.FailureDomains {
		for range standard[i] {
			s.addEngine(d, false)
		}
		for range reclaimable[i] {
			s.addEngine(d, true)
		}
	}
	s.view.Engines = s.engines
}

// decide returns the targets: the orders, and what runs where there is no order.
func (s *simulation) decide() (standard, reclaimable [3]int) {
	for i, d := range s.view.FailureDomains {
		standard[i], reclaimable[i] = s.count(d, false), s.count(d, true)
	}
	for _, o := range s.controller.Orders(s.now, &s.view, &s.demand) {
		i := slices.Index(s.view.FailureDomains, o.FailureDomain)
		if o.Reclaimable {
			reclaimable[i] = o.Count
		} else {
			standard[i] = o.Count
		}
		s.controller.Record(s.now, &s.view, o, Accepted)
	}
	return standard, reclaimable
}

// Guards against stopping standard engines before the reclaimable engines that replace them
// run, also where none are available.
func TestStandardEnginesStopAfterReplacement(t *testing.T) {
	is := is.New(t)
	s := engineCounts(t, [3]int{4, 4, 4}, [3]int{})
	s.controller.refusedUntil["a"] = s.now.Add(time.Hour)
	standard, reclaimable := s.decide()
	is.Equal(standard, [3]int{4, 4, 4})
	is.Equal(reclaimable, [3]int{0, 6, 6}) // the maximum is 10
	for range 2 {
		s.now = s.now.Add(startup / 2)
		s.demand.Observe(s.now, 0, 0)
		standard, _ = s.decide() // the replacements are starting
		is.Equal(standard, [3]int{4, 4, 4})
	}
	s.setEngines([3]int{4, 4, 4}, [3]int{0, 6, 6})
	standard, _ = s.decide()
	is.Equal(standard, [3]int{1, 1, 1})
}

// Guards against ordering engines elsewhere in place of standard engines that a reclaimed
// failure domain still runs, and against standard engines while others are to be had.
func TestOnlyMissingEnginesAreReplaced(t *testing.T) {
	is := is.New(t)
	s := engineCounts(t, [3]int{1, 1, 1}, [3]int{5, 5, 5})
	s.controller.takenOver = true // without headroom
	s.decide()
	s.now = s.now.Add(30 * time.Second)
	s.setEngines([3]int{1, 1, 1}, [3]int{0, 5, 5})
	s.controller.refusedUntil["a"] = s.now.Add(time.Hour)
	standard, reclaimable := s.decide()
	is.Equal(standard, [3]int{1, 1, 1})
	is.Equal(reclaimable[1]+reclaimable[2], 15) // the five of a
}

// Guards against standard engines that are never stopped because they fill the failure
// domains up to the maximum, and against stopping too many of them at once.
func TestNoRoomForReplacements(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 60, func(time.Duration) (float64, int) { return 0, 0 })
	s.view.MaxPerDomain = 15
	fewest := 60
	s.check = func(Order) { fewest = min(fewest, len(s.engines)) }
	s.run(60 * time.Second)
	is.Equal(s.count("", false), 4)
	is.Equal(s.count("", true), 56)
	is.True(fewest >= 40) // two thirds keep serving
}

// Guards against fewer engines than the greatest demand of the tenure required where no
// reclaimable ones are offered, also under the next holder.
func TestWithoutReclaimableServers(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 60, wave)
	s.view.ReclaimablePrice = 0
	s.run(60 * time.Second)
	most := s.count("", false)
	is.True(most >= 60)
	total, ordered := s.controller.State()
	s.engines = s.engines[20:] // lost meanwhile
	s.controller = NewController(s.now, total, ordered)
	s.load = func(time.Duration) (float64, int) { return 1000, 1 }
	s.run(180 * time.Second)
	is.Equal(s.count("", false), most)
	is.Equal(s.count("", true), 0)
}

// The mix shifts between long prompts and long answers every 14 s while there are too few
// engines for both. Guards against engines that change their role back and forth, since
// each change takes one out of service for seconds, and against a new holder that changes
// the roles of the previous one before it knows the demand.
func TestRolesDoNotFlap(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 40, nil)
	toDecode, toPrefill := 0, 0
	load := func() (float64, int) {
		if int(s.now.Sub(s.start)/(14*time.Second))%2 == 0 {
			return 600_000, 1100
		}
		return 1_200_000, 300
	}
	play := func(until time.Duration) {
		for ; s.now.Sub(s.start) < until; s.now = s.now.Add(tick) {
			rate, streams := load()
			s.tokens += rate * tick.Seconds()
			s.demand.Observe(s.now, uint64(s.tokens), streams)
			s.view.DemandSettled = s.demand.Settled(s.now)
			s.view.PromptTokensPerSecond, s.view.Streams = s.demand.PromptTokens().Peak, s.demand.Streams().Peak
			s.view.Engines = s.engines
			for _, c := range s.controller.RoleChanges(s.now, &s.view, 6) {
				i := slices.IndexFunc(s.engines, func(e plan.Engine) bool { return e.ID == c.ID })
				s.engines[i].Prefill = c.Prefill
				if c.Prefill {
					toPrefill++
				} else {
					toDecode++
				}
			}
		}
	}
	play(40 * time.Second)
	toDecode, toPrefill = 0, 0
	play(160 * time.Second)
	t.Log("to decode", toDecode, "to prefill", toPrefill)
	is.True(s.view.DecodingEngines() > 0)
	is.True(toDecode+toPrefill <= 20) // of 40 engines, in two minutes
	s.controller = NewController(s.now, 40, map[Key]int{{"a", true}: 1})
	s.demand, toDecode, toPrefill = Demand{}, 0, 0
	load = func() (float64, int) { return 1_200_000, 100 }
	for i := range s.engines {
		s.engines[i].Prefill = i >= 8
	}
	play(171 * time.Second)
	is.Equal(toDecode+toPrefill, 0)
}

// Guards against ordering as many engines in an expensive failure domain as in a cheap one,
// and against so many in the cheap one that its reclaim leaves too few.
func TestCheapFailureDomainsComeFirst(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 60, wave)
	s.view.Prices = map[string]float64{"a": 0.8, "b": 1, "c": 1, "d": 1.4}
	s.run(60 * time.Second)
	s.reset()
	s.run(120 * time.Second)
	counts := map[string]int{}
	for _, d := range s.view.FailureDomains {
		counts[d] = s.count(d, true)
		is.True(s.view.Speed()-float64(counts[d]) >= s.controller.need.Hard-1)
	}
	t.Log(counts)
	is.True(counts["a"] > counts["d"])
	is.Equal(s.orderedAgain, 0)
	is.True(s.calls <= 8)
}

// Guards against releasing nearly all engines while there is no traffic, and against a
// demand that is overestimated because the first prompts find no cache.
func TestTrafficReturnsAfterIdle(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 60, func(at time.Duration) (float64, int) {
		rate, streams := wave(at)
		switch {
		case at > 60*time.Second && at < 120*time.Second:
			return 0, 0
		case at >= 10*time.Second && at < 11*time.Second:
			return 4 * rate, streams
		}
		return rate, streams
	})
	s.run(20 * time.Second)
	is.True(s.demand.PromptTokens().RecentPeak <= 2*800_000)
	s.run(119 * time.Second)
	is.True(len(s.engines) >= steadyNeed/2-2)
	s.reset()
	s.run(150 * time.Second)
	t.Log("without room", s.withoutRoom)
	is.True(s.withoutRoom <= startup+2*time.Second)
}

// TestEnginesWithoutSpeedKeepTheirNumber guards against a service that is scaled down by speeds that
// its engines never stated. The load: a peak, a trough of a minute, and a failure domain that refuses
// reclaimable servers until it is probed.
func TestEnginesWithoutSpeedKeepTheirNumber(t *testing.T) {
	is := is.New(t)
	c := NewController(time.Time{}, 0, nil)
	v := &plan.ScalingView{FailureDomains: []string{"a", "b"}, MaxPerDomain: 20, ReclaimablePrice: 0.2, Slots: 64, PrefillTokensPerSecond: 50000}
	for i := range 20 {
		v.Engines = append(v.Engines, plan.Engine{ID: fmt.Sprint(i), FailureDomain: v.FailureDomains[i%2], Reclaimable: i >= 2})
	}
	var d Demand
	now, tokens, probed := time.Now(), uint64(0), false
	c.Orders(now, v, &d)
	c.Record(now, v, Order{Key: Key{"b", true}, Count: 10, Present: 9}, Refused)
	for i := range 240 {
		now = now.Add(500 * time.Millisecond)
		if i < 40 {
			tokens += 150000
		}
		d.Observe(now, tokens, 0)
		v.PromptTokensPerSecond, v.DemandSettled = d.PromptTokens().Peak, d.Settled(now)
		for _, o := range c.Orders(now, v, &d) {
			is.True(o.Count >= o.Present)
			probed = probed || o.Probe && o.Key == Key{"b", true}
			c.Record(now, v, o, Accepted)
		}
	}
	is.True(probed)
}
