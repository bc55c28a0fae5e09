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

// Trend is a forecast of one series by exponential smoothing of level and slope
// (Holt's linear method) for observations at any distance in time. The zero
// value has no observations.
type Trend struct {
	// Smoothing is the time constant.
	Smoothing time.Duration

	level, slope float64
	at           time.Time
	seen         float64
}

// Observe adds the value that was measured at a time. Values of times before
// the last one are ignored.
func (t *Trend) Observe(at time.Time, value float64) {
	if t.at.IsZero() {
		t.at, t.level, t.seen = at, value, 1
		return
	}
	elapsed := at.Sub(t.at).Seconds()
	if elapsed <= 0 {
		return
	}
	tau := max(0.001, t.Smoothing.Seconds())
	// The first values count equally, so that none of them alone is the level.
	t.seen++
	weight := max(1-math.Exp(-elapsed/tau), 1/t.seen)
	predicted := t.level + t.slope*elapsed
	level := predicted + weight*(value-predicted)
	// The slope is smoothed over twice the time, so that noise in the level
	// isn't extrapolated.
	slopeWeight := 1 - math.Exp(-elapsed/(2*tau))
	t.slope += slopeWeight * ((level-t.level)/elapsed - t.slope)
	t.level, t.at = level, at
}

// trendLimit bounds a forecast to this multiple of the level. A trend of
// minutes says nothing about larger changes.
const trendLimit = 1.5

// At returns the forecast for a time.
func (t *Trend) At(at time.Time) float64 {
	value := t.level + t.slope*max(0, at.Sub(t.at).Seconds())
	return max(0, t.level/trendLimit, min(t.level*trendLimit, value))
}

// Demand forecasts the demand of a pool: a fast trend for role changes, which
// take seconds, and a slow one for orders, which take minutes.
type Demand struct {
	FastPrefill, FastDecode Trend
	SlowPrefill, SlowDecode Trend

	// recent are the levels of the fast trend, one for each recentEvery.
	recent  [recentSamples]Tokens
	samples int
	sampled time.Time
}

// The recent past that decides which servers are kept: a server takes longer to
// start than most peaks last, so what a peak has needed minutes ago is not
// stopped.
const (
	recentEvery   = 10 * time.Second
	recentSamples = 30
)

// Time constants of the forecasts. The ratio of prompt to output changes within
// minutes, so the fast one must follow within a fraction of a minute.
const (
	fastSmoothing = 25 * time.Second
	slowSmoothing = 2 * time.Minute
)

// NewDemand returns a forecast without observations.
func NewDemand() Demand {
	fast, slow := Trend{Smoothing: fastSmoothing}, Trend{Smoothing: slowSmoothing}
	return Demand{FastPrefill: fast, FastDecode: fast, SlowPrefill: slow, SlowDecode: slow}
}

// Observe adds the demand that arrived per second up to a time. It has to be
// the demand that was asked for, not what was served, or a shortage would hide
// itself.
func (d *Demand) Observe(at time.Time, t Tokens) {
	d.FastPrefill.Observe(at, t.Prefill)
	d.FastDecode.Observe(at, t.Decode)
	d.SlowPrefill.Observe(at, t.Prefill)
	d.SlowDecode.Observe(at, t.Decode)
	if at.Sub(d.sampled) >= recentEvery {
		d.recent[d.samples%recentSamples] = Tokens{d.FastPrefill.level, d.FastDecode.level}
		d.samples++
		d.sampled = at
	}
}

// Recent returns the levels of the last minutes.
func (d *Demand) Recent() []Tokens { return d.recent[:min(d.samples, recentSamples)] }

// Fast returns the forecast of the fast trend.
func (d *Demand) Fast(at time.Time) Tokens {
	return Tokens{d.FastPrefill.At(at), d.FastDecode.At(at)}
}

// Slow returns the forecast of the slow trend.
func (d *Demand) Slow(at time.Time) Tokens {
	return Tokens{d.SlowPrefill.At(at), d.SlowDecode.At(at)}
}

// knownFor is how long an observation is enough to plan on. Without one, a
// broken source of observations would look like no demand.
const knownFor = 30 * time.Second

// Known reports whether the demand was observed recently.
func (d *Demand) Known(now time.Time) bool {
	return !d.FastPrefill.at.IsZero() && now.Sub(d.FastPrefill.at) <= knownFor
}
