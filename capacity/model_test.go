package capacity

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// state records a statement of the slowdown in percent.
func state(m *Model, at time.Time, percent int) {
	m.RecordReport(at, Report{SlowdownPercent: percent})
}

// near reports whether two values differ by less than a tenth.
func near(a, b float64) bool { return math.Abs(a-b) < 0.1*b }

// TestFlickerIsSmoothed guards against a choice that follows every statement of a machine whose
// speed changes many times a second.
func TestFlickerIsSmoothed(t *testing.T) {
	is := is.New(t)
	var m Model
	now := time.Now()
	for i := range 100 {
		state(&m, now, []int{60, 140}[i%2])
		now = now.Add(50 * time.Millisecond)
		if i > 20 {
			is.True(math.Abs(m.Slowdown(now)-1) < 0.15)
		}
	}
	state(&m, now, 2000)
	is.True(m.Slowdown(now) < 5) // one outlier
}

// TestSlowServerIsTriedAgain simulates a server that becomes four times slower for 5 s. It guards
// against noticing that late, and against avoiding the server for good although its last statement
// is old.
func TestSlowServerIsTriedAgain(t *testing.T) {
	is := is.New(t)
	var m Model
	now := time.Now()
	stateFor := func(d time.Duration, percent int) {
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			state(&m, now, percent)
		}
	}
	stateFor(20*time.Second, 100)
	stateFor(time.Second, 400)
	is.True(m.Slowdown(now) > 3.5)
	stateFor(4*time.Second, 400)
	is.True(m.Slowdown(now.Add(currentEnd)) < 3) // no statement since
	is.Equal(m.Slowdown(now.Add(usualEnd)), 1.0)
	stateFor(time.Second, 100)
	is.True(m.Slowdown(now) < 1.2)
}

// TestUnstatedSpeedIsNormal guards against an effect on servers that state no speed, or an
// impossible one.
func TestUnstatedSpeedIsNormal(t *testing.T) {
	is := is.New(t)
	var m Model
	now := time.Now()
	for _, percent := range []int{0, -100, 1, 2001, math.MaxInt} {
		state(&m, now, percent)
	}
	is.Equal(m.At(now), Estimate{Slowdown: 1, EventRatio: 1})
	is.True(!m.StatesSpeed())
}

// TestRatesFollowTheSlowdown guards against measured rates that keep the slowdown of the moment at
// which they were measured.
func TestRatesFollowTheSlowdown(t *testing.T) {
	is := is.New(t)
	var m Model
	now := time.Now()
	for range 200 {
		state(&m, now, 200)
		m.RecordPrompt(now, 10_000, 405*time.Millisecond, 50)
		m.RecordEvent(now, 80*time.Millisecond, 40)
		now = now.Add(50 * time.Millisecond)
	}
	e := m.At(now)
	is.True(near(e.PromptTokensPerMilli, 25))
	is.True(near(e.EventMillis, 80))
	is.True(near(e.EventRatio, 1))
	for range 200 {
		state(&m, now, 100)
		now = now.Add(50 * time.Millisecond)
	}
	e = m.At(now)
	is.True(near(e.PromptTokensPerMilli, 50))
	is.True(near(e.EventMillis, 40))
}

// TestEventTimeIsLearned guards against a time between events that is tied to one type of engine,
// and against negative ones if the samples are few or all alike.
func TestEventTimeIsLearned(t *testing.T) {
	is := is.New(t)
	for _, engine := range []struct{ base, perRequest float64 }{{40, 0.5}, {0, 3}, {200, 0}} {
		var e EventTime
		is.Equal(e.Millis(10), 0.0)
		millis := func(running float64) float64 { return engine.base + engine.perRequest*running }
		for i := range 2000 {
			running, slowdown := float64(i%40), 0.7+float64(i%11)/10
			e.Observe(time.Duration(slowdown*millis(running)*float64(time.Millisecond)), running, slowdown)
		}
		for running := 0.0; running < 64; running += 9 {
			is.True(math.Abs(e.Millis(running)-millis(running)) < 1)
		}
	}
	var alike EventTime
	for range 100 {
		alike.Observe(50*time.Millisecond, 4, 1)
		alike.Observe(-time.Second, 4, 1)
		alike.Observe(time.Second, 4, 0)
	}
	is.True(near(alike.Millis(0), 50))
	is.True(near(alike.Millis(50), 50))
}
