// Package capacity estimates what a backend server can do now: how much longer work takes
// there than usual, how fast it processes prompts, and how long a stream waits for its next
// event. It does no I/O and knows no names of the platform.
package capacity

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Report is the load and the speed that a server states with an answer.
type Report struct {
	// Running and Waiting are requests at the server, Slots is how many it runs at a time.
	Running, Waiting, Slots int
	// SlowdownPercent is how long work takes there at this moment; 100 is as usual, 0 means
	// that the server does not state it.
	SlowdownPercent int
}

// Estimate is what a server can do at one moment.
type Estimate struct {
	// StatesSpeed is set if the server has stated its speed. If not, Slowdown is 1.
	StatesSpeed bool
	// Slowdown is how much longer than usual work takes; 1 is as usual.
	Slowdown float64
	// PromptTokensPerMilli is the rate of prompt processing in tokens per millisecond, and
	// EventMillis the time between two events of a stream, both at this slowdown; 0 if not
	// measured.
	PromptTokensPerMilli, EventMillis float64
	// EventRatio is the time between events here over the time that the event times of all
	// servers of the service predict; 1 if not measured lately.
	EventRatio float64
	// Age is the time since the server last stated its speed; 0 if it never did.
	Age time.Duration
}

const (
	// MinSlowdownPercent and MaxSlowdownPercent bound what a server may state. A factor of 20
	// is beyond any state in which a machine still serves.
	MinSlowdownPercent, MaxSlowdownPercent = 5, 2000

	// currentTime and usualTime are the time constants of the two means of the stated
	// slowdown. The short one follows the state of the machine but not the flicker within a
	// tenth of a second; the long one is what to expect of the machine when the last
	// statement is old.
	currentTime = 300 * time.Millisecond
	usualTime   = 10 * time.Second
	// maxReportWeight is the greatest weight of one statement in the short mean, because a
	// single one may be an outlier. A statement that follows the last one by more than
	// currentEnd replaces the mean.
	maxReportWeight = 0.5
	// The short mean counts fully up to currentFull and not at all from currentEnd. The long
	// one counts fully up to usualFull; from usualEnd the server counts as normal, so that a
	// server that was avoided for its slowness is tried again.
	currentFull, currentEnd = 500 * time.Millisecond, 3 * time.Second
	usualFull, usualEnd     = 5 * time.Second, 30 * time.Second

	// eventWeight is the weight of one interval between events in the means of them.
	eventWeight = 0.1
	// The measured ratio of event times counts fully up to ratioFull and not from ratioEnd.
	ratioFull, ratioEnd = time.Second, 5 * time.Second
	// maxEventRatio bounds the measured ratio, which includes the effect of prompts that this
	// node doesn't know of.
	maxEventRatio = 4.0
)

// Model is what a node knows of one incarnation of a server. The zero value has no samples.
// It is safe for use by many goroutines. At and Slowdown take no lock; they may see a statement
// whose effect is stored in part, which lies between the states before and after it. The fields
// that every choice reads for every server stand together.
type Model struct {
	// current and usual are the means of the stated slowdown, as the bits of float64, and
	// statedAt is the time of the last statement, see sinceEpoch; 0 if there was none.
	current, usual atomic.Uint64
	statedAt       atomic.Int64
	// usualRate is the rate of prompt processing at a slowdown of 1.
	usualRate PromptRate
	events    atomic.Pointer[events]
	// mu serializes the changes of the other fields.
	mu sync.Mutex
}

// epoch is the reference for times that are stored as nanoseconds. It lies before the start, so
// that the differences to it are not 0.
var epoch = time.Now().Add(-time.Hour)

// sinceEpoch returns the nanoseconds from epoch to t.
func sinceEpoch(t time.Time) int64 { return int64(t.Sub(epoch)) }

// events is the state after an interval between events.
type events struct {
	// usualMillis is the mean interval at a slowdown of 1.
	usualMillis, ratio float64
	at                 time.Time
}

// RecordReport adds a report. It has no effect if it states no slowdown or an impossible one.
func (m *Model) RecordReport(now time.Time, r Report) {
	if r.SlowdownPercent < MinSlowdownPercent || r.SlowdownPercent > MaxSlowdownPercent {
		return
	}
	const percent = 100
	stated := float64(r.SlowdownPercent) / percent
	at := sinceEpoch(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.statedAt.Load()
	if last == 0 {
		m.current.Store(math.Float64bits(stated))
		m.usual.Store(math.Float64bits(stated))
		m.statedAt.Store(at)
		return
	}
	elapsed := time.Duration(max(0, at-last))
	current, usual := math.Float64frombits(m.current.Load()), math.Float64frombits(m.usual.Load())
	current += min(weightAfter(elapsed, currentTime), maxReportWeight) * (stated - current)
	if elapsed > currentEnd {
		current = stated // the last statement tells nothing about the present
	}
	usual += weightAfter(elapsed, usualTime) * (stated - usual)
	m.current.Store(math.Float64bits(current))
	m.usual.Store(math.Float64bits(usual))
	m.statedAt.Store(max(at, last))
}

// weightAfter returns the weight of a sample in an exponential mean with a time constant.
func weightAfter(elapsed, constant time.Duration) float64 {
	return -math.Expm1(-float64(elapsed) / float64(constant))
}

// RecordPrompt adds the time that a prompt without a queue took. usualRate is the rate in
// tokens per millisecond that is assumed at a slowdown of 1 before the first sample.
func (m *Model) RecordPrompt(now time.Time, tokens int, elapsed time.Duration, usualRate float64) {
	slowdown := m.Slowdown(now)
	m.usualRate.Observe(tokens, time.Duration(float64(elapsed)/slowdown), usualRate)
}

// RecordEvent adds an interval between two events of a stream. expectedMillis is what was
// expected at the number of requests that run there and at a slowdown of 1; 0 if unknown.
func (m *Model) RecordEvent(now time.Time, interval time.Duration, expectedMillis float64) {
	if interval <= 0 {
		return
	}
	usualMillis := float64(interval) / float64(time.Millisecond) / m.Slowdown(now)
	ratio := 1.0
	if expectedMillis > 0 {
		ratio = min(max(usualMillis/expectedMillis, 1/maxEventRatio), maxEventRatio)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if last := m.events.Load(); last != nil {
		usualMillis = last.usualMillis + eventWeight*(usualMillis-last.usualMillis)
		ratio = last.ratio + eventWeight*(ratio-last.ratio)
	}
	m.events.Store(&events{usualMillis, ratio, now})
}

// StatesSpeed reports whether the server has stated its speed.
func (m *Model) StatesSpeed() bool { return m.statedAt.Load() != 0 }

// Slowdown returns how much longer than usual work takes; 1 if the server does not state it.
func (m *Model) Slowdown(now time.Time) float64 {
	at := m.statedAt.Load()
	if at == 0 {
		return 1
	}
	return m.slowdown(time.Duration(sinceEpoch(now) - at))
}

// slowdown returns the estimate at an age of the last statement.
func (m *Model) slowdown(age time.Duration) float64 {
	if age <= currentFull {
		return math.Float64frombits(m.current.Load())
	}
	usual := math.Float64frombits(m.usual.Load())
	if age < currentEnd {
		return usual + (math.Float64frombits(m.current.Load())-usual)*validity(age, currentFull, currentEnd)
	}
	return 1 + (usual-1)*validity(age, usualFull, usualEnd)
}

// validity returns 1 up to the age full, 0 from the age end, and falls linearly between. The
// quotient is inlined as a constant, since a division for each server would be noticed.
func validity(age, full, end time.Duration) float64 {
	return max(0, min(1, float64(end-age)*(1/float64(end-full))))
}

// At returns the estimate at a moment.
func (m *Model) At(now time.Time) Estimate {
	e := Estimate{Slowdown: 1, EventRatio: 1}
	if at := m.statedAt.Load(); at != 0 {
		e.StatesSpeed, e.Age = true, time.Duration(sinceEpoch(now)-at)
		e.Slowdown = m.slowdown(e.Age)
	}
	e.PromptTokensPerMilli = m.usualRate.TokensPerMilli(0) / e.Slowdown
	if v := m.events.Load(); v != nil {
		e.EventMillis = v.usualMillis * e.Slowdown
		e.EventRatio = 1 + (v.ratio-1)*validity(now.Sub(v.at), ratioFull, ratioEnd)
	}
	return e
}
