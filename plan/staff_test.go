package plan

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func fleetOf(perDomain int, reclaimable bool, domains ...string) []Engine {
	var list []Engine
	for _, d := range domains {
		for i := range perDomain {
			list = append(list, Engine{ID: fmt.Sprintf("%s%d%v", d, i, reclaimable), FailureDomain: d, Prefill: i%3 == 0, Reclaimable: reclaimable})
		}
	}
	return list
}

func view(engines []Engine) *StaffView {
	return &StaffView{
		Engines: engines, FailureDomains: []string{"a", "b", "c"}, MinPerDomain: 1, MaxPerDomain: 10,
		ReclaimablePrice: 0.2, Least: 12, Slots: 64, Unavailable: map[string]bool{},
	}
}

// TestStandardEnginesLeaveLast guards against a gap in which standard engines are
// given up before the reclaimable ones that replace them are there.
func TestStandardEnginesLeaveLast(t *testing.T) {
	is := is.New(t)
	v := view(fleetOf(4, false, "a", "b", "c"))
	first := Staff(v)
	is.True(first["a"].Reclaimable > 0)
	is.Equal(first["a"].Standard, 4)
	v.Engines = append(v.Engines, fleetOf(first["a"].Reclaimable, true, "a", "b", "c")...)
	is.Equal(Staff(v)["a"].Standard, 1)
}

// TestUnavailableDomainKeepsItsEngines guards against giving engines up in a
// failure domain where no others can be had.
func TestUnavailableDomainKeepsItsEngines(t *testing.T) {
	is := is.New(t)
	v := view(fleetOf(4, false, "a", "b", "c"))
	v.Unavailable["a"] = true
	is.Equal(Staff(v)["a"], Staffing{Standard: 4})
}

// TestReclaimedEnginesAreReplaced is the load of a failure domain whose
// reclaimable engines are taken back while no others are to be had anywhere. It
// guards against a demand that is left to the engines of the others.
func TestReclaimedEnginesAreReplaced(t *testing.T) {
	is := is.New(t)
	v := view(append(fleetOf(1, false, "a", "b", "c"), fleetOf(5, true, "b", "c")...))
	v.Least, v.PromptTokensPerSecond, v.EngineTokensPerSecond = 18, 100_000, 50_000
	is.Equal(Staff(v)["a"].Reclaimable, 5)
	for _, d := range v.FailureDomains {
		v.Unavailable[d] = true
	}
	is.Equal(Staff(v)["a"], Staffing{Standard: 6})
	v.Engines = append(v.Engines, fleetOf(6, false, "a")[1:]...)
	clear(v.Unavailable)
	is.Equal(Staff(v)["a"], Staffing{Standard: 6, Reclaimable: 4}) // within the bounds, until those run
	v.Engines = append(v.Engines, fleetOf(5, true, "a")...)
	is.Equal(Staff(v)["a"], Staffing{Standard: 1, Reclaimable: 5})
}

// TestReclaimedDomainIsMadeUpElsewhere is the load of one failure domain whose
// reclaimable engines are taken back while the others have some. It guards against
// standard engines at five times the price.
func TestReclaimedDomainIsMadeUpElsewhere(t *testing.T) {
	is := is.New(t)
	v := view(append(fleetOf(1, false, "a", "b", "c"), fleetOf(5, true, "b", "c")...))
	v.Least, v.PromptTokensPerSecond, v.EngineTokensPerSecond = 18, 100_000, 50_000
	v.Unavailable["a"] = true
	staff := Staff(v)
	is.Equal(staff["a"], Staffing{Standard: 1})
	is.Equal(staff["b"], Staffing{Standard: 1, Reclaimable: 8})
	v.Engines = append(v.Engines, fleetOf(8, true, "b")[5:]...)
	v.Unavailable["a"] = false
	is.Equal(Staff(v)["b"].Reclaimable, 8) // until the others are there
}

// TestKeptEnginesAreNotMadeUp guards against ordering engines elsewhere for the
// standard ones that a reclaimed failure domain still has.
func TestKeptEnginesAreNotMadeUp(t *testing.T) {
	is := is.New(t)
	v := view(append(fleetOf(4, false, "a", "b", "c"), fleetOf(2, true, "b", "c")...))
	v.MinPerDomain, v.Least, v.PromptTokensPerSecond, v.EngineTokensPerSecond = 4, 18, 100_000, 50_000
	v.Unavailable["a"] = true // two are missing, one for each of the others
	is.Equal(Staff(v)["a"], Staffing{Standard: 4})
	is.Equal(Staff(v)["b"], Staffing{Standard: 4, Reclaimable: 3})
}

// TestReplacementsGiveWayAtTheBound guards against standard engines that stay for
// ever because they fill a failure domain up to its bound and leave no room for
// the reclaimable ones that are to be had again.
func TestReplacementsGiveWayAtTheBound(t *testing.T) {
	is := is.New(t)
	v := view(append(fleetOf(1, false, "a", "b", "c"), fleetOf(7, true, "b", "c")...))
	v.MaxPerDomain, v.Least, v.PromptTokensPerSecond, v.EngineTokensPerSecond = 8, 24, 100_000, 50_000
	v.Unavailable["a"] = true
	is.Equal(Staff(v)["a"], Staffing{Standard: 7}) // one less than the bound
	rest := fleetOf(7, true, "b", "c")
	rest = append(rest, fleetOf(1, false, "b", "c")...)
	now := Staffing{Standard: 7}
	v.Unavailable["a"] = false
	for range 10 {
		v.Engines = append(append(fleetOf(now.Standard, false, "a"), fleetOf(now.Reclaimable, true, "a")...), rest...)
		next := Staff(v)["a"]
		is.True(next.Standard+next.Reclaimable <= 8)
		is.True(next.Standard+now.Reclaimable >= 5) // two thirds serve meanwhile
		now = next
	}
	is.Equal(now, Staffing{Standard: 1, Reclaimable: 7})
}

// TestScarceEnginesAreSharedByRoles is the load of two reclaimed failure domains
// during a burst: the engines are too few for both prompts and streams. It guards
// against a fleet that only decodes, so that prompts are processed there and stop
// the streams.
func TestScarceEnginesAreSharedByRoles(t *testing.T) {
	is := is.New(t)
	v := view(fleetOf(6, true, "a", "b", "c"))
	v.Settled, v.Slots = true, 32
	v.PromptTokensPerSecond, v.EngineTokensPerSecond = 500_000, 50_000 // 22 engines
	v.Streams = 176                                                    // 22 engines
	is.Equal(v.DecodeEngines(), 9)
	v.Streams = 1760
	is.True(v.DecodeEngines() < 18)
	v.Settled = false
	is.True(v.DecodeEngines() < 18)
}

// TestLongStreamsGetDecodeEngines is the load of a shift from long prompts to long
// answers: streams fill the slots of few decode engines while prefill engines are
// idle. It guards against requests that wait for a slot as long as a stream lasts.
func TestLongStreamsGetDecodeEngines(t *testing.T) {
	is := is.New(t)
	v := view(fleetOf(8, true, "a", "b", "c"))
	v.Settled, v.PromptTokensPerSecond, v.EngineTokensPerSecond = true, 100_000, 50_000
	v.Streams = 20
	few := v.DecodeEngines()
	v.Streams = 200
	many := v.DecodeEngines()
	is.Equal(few, 3) // one in each failure domain
	is.True(float64(many*v.Slots)*decodeLoad >= v.Streams)
	changes := v.Roles(100)
	is.Equal(len(changes), 0) // sixteen decode already, which is enough
	v.Streams = 260
	is.True(len(v.Roles(100)) > 0)
}

// TestSpareDecodeEnginesStay guards against engines that are out for seconds while
// they change to a role that has enough of them.
func TestSpareDecodeEnginesStay(t *testing.T) {
	is := is.New(t)
	v := view(fleetOf(9, true, "a", "b", "c")) // 9 prefill engines
	v.Settled, v.Streams = true, 20
	v.PromptTokensPerSecond, v.EngineTokensPerSecond = 200_000, 50_000 // 9 engines
	is.Equal(len(v.Roles(100)), 0)
	v.PromptTokensPerSecond = 300_000 // 14 engines
	is.Equal(len(v.Roles(100)), 5)
}

// TestRolesAreNotSwapped guards against engines that are out for seconds because
// the failure domains have different shares of a number that is right in all.
func TestRolesAreNotSwapped(t *testing.T) {
	is := is.New(t)
	v := view(append(fleetOf(9, true, "a", "b"), fleetOf(3, true, "c")...))
	for i := range v.Engines {
		v.Engines[i].Prefill = v.Engines[i].FailureDomain != "a"
	}
	v.Settled, v.Streams = true, 9*decodeLoad*float64(v.Slots)
	is.Equal(v.DecodeEngines(), 9)
	is.Equal(len(v.Roles(100)), 0)
	v.Streams *= 1.3
	is.Equal(v.Roles(100)[0].Prefill, false)
	is.Equal(len(v.Roles(100)), 3)
}

// TestRolesNeedASettledDemand guards against taking decode engines away in the
// first seconds of traffic, when few streams run yet.
func TestRolesNeedASettledDemand(t *testing.T) {
	is := is.New(t)
	v := view(fleetOf(8, true, "a", "b", "c"))
	v.PromptTokensPerSecond, v.EngineTokensPerSecond, v.Streams = 100_000, 50_000, 5
	is.True(v.DecodeEngines() >= 9)
	v.Settled = true
	is.Equal(v.DecodeEngines(), 3)
}

// TestStaffIsBounded guards against orders outside the bounds of the configuration,
// deployments without any decode engine, and role changes that never end.
func TestStaffIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := view(nil)
		for i := range rapid.IntRange(1, 40).Draw(t, "engines") {
			v.Engines = append(v.Engines, Engine{
				ID: fmt.Sprint(i), FailureDomain: rapid.SampledFrom(v.FailureDomains).Draw(t, "domain"),
				Prefill: rapid.Bool().Draw(t, "prefill"), Reclaimable: rapid.Bool().Draw(t, "reclaimable"),
				Requests: rapid.IntRange(0, 9).Draw(t, "requests"),
			})
		}
		v.Least = rapid.IntRange(0, 60).Draw(t, "least")
		v.Settled = rapid.Bool().Draw(t, "settled")
		v.Streams = float64(rapid.IntRange(0, 900).Draw(t, "streams"))
		v.PromptTokensPerSecond = float64(rapid.IntRange(0, 2_000_000).Draw(t, "demand"))
		v.EngineTokensPerSecond = 50_000
		for d, s := range Staff(v) {
			if s.Standard < 0 || s.Reclaimable < 0 || s.Standard+s.Reclaimable < v.MinPerDomain {
				t.Fatalf("%s: %+v", d, s)
			}
		}
		decode := 0
		byID := map[string]int{}
		for i, e := range v.Engines {
			byID[e.ID] = i
		}
		for range 3 {
			for _, c := range v.Roles(len(v.Engines)) {
				v.Engines[byID[c.ID]].Prefill = c.Prefill
			}
		}
		for _, e := range v.Engines {
			decode += boolToInt(!e.Prefill)
		}
		if decode == 0 {
			t.Fatalf("no engine decodes")
		}
		if again := v.Roles(len(v.Engines)); len(again) > 0 {
			t.Fatalf("roles do not settle: %v", again)
		}
	})
}
