package plan

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func enginesIn(perDomain int, reclaimable bool, domains ...string) []Engine {
	var list []Engine
	for _, d := range domains {
		for i := range perDomain {
			list = append(list, Engine{ID: fmt.Sprintf("%s%d%v", d, i, reclaimable), FailureDomain: d, Prefill: i%3 == 0, Reclaimable: reclaimable})
		}
	}
	return list
}

func newScalingView(engines []Engine) *ScalingView {
	return &ScalingView{
		Engines: engines, FailureDomains: []string{"a", "b", "c"}, MinPerDomain: 1, MaxPerDomain: 10,
		ReclaimablePrice: 0.2, MinEngines: 12, Slots: 64,
	}
}

// Two failure domains are reclaimed during a burst, and the engines are too few
// for prompts and streams together. Guards against a service in which all
// engines decode, so that prompts processed there stall the streams.
func TestRolesShareInsufficientEngines(t *testing.T) {
	is := is.New(t)
	v := newScalingView(enginesIn(6, true, "a", "b", "c"))
	v.DemandSettled, v.Slots = true, 32
	v.PromptTokensPerSecond, v.PrefillTokensPerSecond = 500_000, 50_000 // 22 engines
	v.Streams = 176                                                     // 22 engines
	is.Equal(v.DecodeEngines(), 9)
	v.Streams = 1760
	is.True(v.DecodeEngines() < 18)
	v.DemandSettled = false
	is.True(v.DecodeEngines() < 18)
}

// The load shifts from long prompts to long outputs: streams fill the slots of
// few decode engines while prefill engines are idle. Guards against requests
// that wait for a slot as long as a stream lasts.
func TestLongStreamsGetDecodeEngines(t *testing.T) {
	is := is.New(t)
	v := newScalingView(enginesIn(8, true, "a", "b", "c"))
	v.DemandSettled, v.PromptTokensPerSecond, v.PrefillTokensPerSecond = true, 100_000, 50_000
	v.Streams = 20
	few := v.DecodeEngines()
	v.Streams = 200
	many := v.DecodeEngines()
	is.Equal(few, 3) // one in each failure domain
	is.True(float64(many*v.Slots)*decodeLoad >= v.Streams)
	changes := v.RoleChanges(100)
	is.Equal(len(changes), 0) // sixteen decode already, which is enough
	v.Streams = 260
	is.True(len(v.RoleChanges(100)) > 0)
}

// Guards against engines that are out of service for seconds while they change
// to a role that has enough engines.
func TestSpareDecodeEnginesStay(t *testing.T) {
	is := is.New(t)
	v := newScalingView(enginesIn(9, true, "a", "b", "c")) // 9 prefill engines
	v.DemandSettled, v.Streams = true, 20
	v.PromptTokensPerSecond, v.PrefillTokensPerSecond = 200_000, 50_000 // 9 engines
	is.Equal(len(v.RoleChanges(100)), 0)
	v.PromptTokensPerSecond = 300_000 // 14 engines
	is.Equal(len(v.RoleChanges(100)), 5)
}

// Guards against role swaps between failure domains, each of which takes an
// engine out of service for seconds, when the total per role is already right.
func TestRolesAreNotSwapped(t *testing.T) {
	is := is.New(t)
	v := newScalingView(append(enginesIn(9, true, "a", "b"), enginesIn(3, true, "c")...))
	for i := range v.Engines {
		v.Engines[i].Prefill = v.Engines[i].FailureDomain != "a"
	}
	v.DemandSettled, v.Streams = true, 9*decodeLoad*float64(v.Slots)
	is.Equal(v.DecodeEngines(), 9)
	is.Equal(len(v.RoleChanges(100)), 0)
	v.Streams *= 1.3
	is.Equal(v.RoleChanges(100)[0].Prefill, false)
	is.Equal(len(v.RoleChanges(100)), 3)
}

// Guards against changing decode engines to prefill in the first seconds of
// traffic, when few streams are running yet.
func TestNoRoleChangesBeforeDemandIsKnown(t *testing.T) {
	is := is.New(t)
	v := newScalingView(enginesIn(8, true, "a", "b", "c"))
	v.PromptTokensPerSecond, v.PrefillTokensPerSecond, v.Streams = 100_000, 50_000, 5
	is.True(v.DecodeEngines() >= 9)
	v.DemandSettled = true
	is.Equal(v.DecodeEngines(), 3)
}

// Guards against targets outside the configured bounds, deployments without a
// decode engine, and role changes that never settle.
func TestTargetsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newScalingView(nil)
		for i := range rapid.IntRange(1, 40).Draw(t, "engines") {
			v.Engines = append(v.Engines, Engine{
				ID: fmt.Sprint(i), FailureDomain: rapid.SampledFrom(v.FailureDomains).Draw(t, "domain"),
				Prefill: rapid.Bool().Draw(t, "prefill"), Reclaimable: rapid.Bool().Draw(t, "reclaimable"),
				Requests: rapid.IntRange(0, 9).Draw(t, "requests"),
			})
		}
		v.MinEngines = rapid.IntRange(0, 60).Draw(t, "least")
		v.DemandSettled = rapid.Bool().Draw(t, "settled")
		v.Streams = float64(rapid.IntRange(0, 900).Draw(t, "streams"))
		v.PromptTokensPerSecond = float64(rapid.IntRange(0, 2_000_000).Draw(t, "demand"))
		v.PrefillTokensPerSecond = 50_000
		if n := v.EnginesPerDomain(); n < v.MinPerDomain || n > v.MaxPerDomain {
			t.Fatalf("%d engines in each failure domain", n)
		}
		decode := 0
		byID := map[string]int{}
		for i, e := range v.Engines {
			byID[e.ID] = i
		}
		for range 3 {
			for _, c := range v.RoleChanges(len(v.Engines)) {
				v.Engines[byID[c.ID]].Prefill = c.Prefill
			}
		}
		for _, e := range v.Engines {
			decode += boolToInt(!e.Prefill)
		}
		if decode == 0 {
			t.Fatalf("no engine decodes")
		}
		if again := v.RoleChanges(len(v.Engines)); len(again) > 0 {
			t.Fatalf("roles still change after three rounds: %v", again)
		}
	})
}
