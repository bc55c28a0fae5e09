package plan

import (
	"math"
	"time"
)

// Tokens is a demand in tokens per second.
type Tokens struct {
	Prefill float64
	Decode  float64
}

// Trend forecasts one series by exponential smoothing of level and slope
// (Holt's linear method). Observations may arrive at irregular intervals. The
// zero value has no observations.
type Trend struct {
	// Smoothing is the time constant of the level; the slope uses twice that.
	Smoothing time.Duration

	level, slope float64
	lastObserved time.Time
	observations float64
}

// Observe adds a value measured at the given time. Values not newer than the
// last observation are ignored.
func (t *Trend) Observe(at time.Time, value float64) {
	if t.lastObserved.IsZero() {
		t.lastObserved, t.level, t.observations = at, value, 1
		return
	}
	elapsed := at.Sub(t.lastObserved).Seconds()
	if elapsed <= 0 {
		return
	}
	tau := max(0.001, t.Smoothing.Seconds())
	// The first values have equal weight, so that no single one determines the
	// level.
	t.observations++
	weight := max(1-math.Exp(-elapsed/tau), 1/t.observations)
	predicted := t.level + t.slope*elapsed
	level := predicted + weight*(value-predicted)
	// The slope uses twice the time constant, so that noise in the level isn't
	// extrapolated.
	slopeWeight := 1 - math.Exp(-elapsed/(2*tau))
	t.slope += slopeWeight * ((level-t.level)/elapsed - t.slope)
	t.level, t.lastObserved = level, at
}

// maxForecastRatio limits a forecast to between 1/maxForecastRatio and
// maxForecastRatio times the level. A trend observed over minutes doesn't
// predict larger changes.
const maxForecastRatio = 1.5

// Forecast returns the expected value at a time.
func (t *Trend) Forecast(at time.Time) float64 {
	value := t.level + t.slope*max(0, at.Sub(t.lastObserved).Seconds())
	return max(0, t.level/maxForecastRatio, min(t.level*maxForecastRatio, value))
}

// Demand forecasts the demand of a pool. A fast trend drives role changes,
// which take seconds; a slow trend drives orders of servers, which take
// minutes.
type Demand struct {
	FastPrefill, FastDecode Trend
	SlowPrefill, SlowDecode Trend

	// recentLevels is a ring buffer of the levels of the fast trend, one per
	// sampleInterval.
	recentLevels [maxSamples]Tokens
	sampleCount  int
	lastSampled  time.Time
}

// The window of recent demand that decides which servers are kept. A server
// takes longer to start than most peaks last, so capacity that a peak required
// minutes ago is not stopped.
const (
	sampleInterval = 10 * time.Second
	maxSamples     = 30
)

// Time constants of the forecasts. The prompt-to-output ratio changes within
// minutes, so the fast trend must adapt within a fraction of a minute.
const (
	fastSmoothing = 25 * time.Second
	slowSmoothing = 2 * time.Minute
)

// NewDemand returns a forecast without observations.
func NewDemand() Demand {
	fast, slow := Trend{Smoothing: fastSmoothing}, Trend{Smoothing: slowSmoothing}
	return Demand{FastPrefill: fast, FastDecode: fast, SlowPrefill: slow, SlowDecode: slow}
}

// Observe adds the demand that arrived up to a time, in tokens per second. It
// must be the offered demand, not the served one; otherwise a capacity shortage
// would lower the measured demand.
func (d *Demand) Observe(at time.Time, t Tokens) {
	d.FastPrefill.Observe(at, t.Prefill)
	d.FastDecode.Observe(at, t.Decode)
	d.SlowPrefill.Observe(at, t.Prefill)
	d.SlowDecode.Observe(at, t.Decode)
	if at.Sub(d.lastSampled) >= sampleInterval {
		d.recentLevels[d.sampleCount%maxSamples] = Tokens{d.FastPrefill.level, d.FastDecode.level}
		d.sampleCount++
		d.lastSampled = at
	}
}

// RecentLevels returns the sampled levels of the last
// sampleInterval*maxSamples, in no particular order.
func (d *Demand) RecentLevels() []Tokens { return d.recentLevels[:min(d.sampleCount, maxSamples)] }

// FastForecast returns the forecast of the fast trend for a time.
func (d *Demand) FastForecast(at time.Time) Tokens {
	return Tokens{d.FastPrefill.Forecast(at), d.FastDecode.Forecast(at)}
}

// SlowForecast returns the forecast of the slow trend for a time.
func (d *Demand) SlowForecast(at time.Time) Tokens {
	return Tokens{d.SlowPrefill.Forecast(at), d.SlowDecode.Forecast(at)}
}

// maxObservationAge is the age after which an observation is too old to plan
// on. Without this limit, a failed source of observations would look like zero
// demand.
const maxObservationAge = 30 * time.Second

// ObservedRecently reports whether the last observation is at most
// maxObservationAge old.
func (d *Demand) ObservedRecently(now time.Time) bool {
	return !d.FastPrefill.lastObserved.IsZero() && now.Sub(d.FastPrefill.lastObserved) <= maxObservationAge
}
