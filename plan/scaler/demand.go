// Package scaler decides how many servers of a service to order in each failure domain
// and of each class. It has no clock, no network and no platform: the caller passes the
// time and the state, sends the orders, and records what became of them.
package scaler

import "time"

const (
	// warmup is how long demand must have been sampled before it may lower the number
	// of engines, or of engines in a role, below that at the start. Loads rise and fall
	// with periods of about ten seconds, so one full period must have been seen.
	warmup = 12 * time.Second
	// smoothing is the weight of the newest sample in the moving average.
	smoothing = 0.15
	// peakDecay is the fraction by which the decaying peak falls at each sample.
	peakDecay = 0.005
	// peakWindow is the time over which RecentPeak is the maximum. It is longer than a
	// period of the load, so that engines are kept through a trough.
	peakWindow = 15 * time.Second
	// keepWindow is how long the greatest need, which covers peakWindow, is kept before
	// engines are released. Kinds of requests burst in turn every 14 s, so that the same
	// kind bursts every 28 s.
	keepWindow = 15 * time.Second
	// minSamples is the number of samples from which the average counts for the peaks. The
	// first prompts find no cache, and nodes report at different times.
	minSamples = 6
	// slopeWindow is the time over which Slope is the mean growth.
	slopeWindow = 3 * time.Second
	// minSampleGap is the least time between two samples. A ticker sends the next tick
	// at once after a delayed one.
	minSampleGap = 250 * time.Millisecond
	// maxSampleAge is the age from which the demand is too old to release servers.
	maxSampleAge = 5 * time.Second
)

// Estimate describes one kind of demand.
type Estimate struct {
	// Mean is the moving average, and RecentPeak its maximum over peakWindow.
	Mean, RecentPeak float64
	// Peak is the maximum of a moving average that begins at zero, and decays by peakDecay at
	// each sample. Roles and orders by count follow it.
	Peak float64
	// Slope is the growth of Mean per second.
	Slope float64
}

// series computes an Estimate from samples.
type series struct {
	estimate Estimate
	// lagging is the moving average that begins at zero.
	lagging float64
	samples int
	recent  []timedValue
}

// timedValue is a value of a series and its time.
type timedValue struct {
	at    time.Time
	value float64
}

// observe adds a sample. The first samples have equal weight, so that the average does
// not lag behind by several seconds when traffic begins.
func (s *series) observe(now time.Time, sample float64) {
	s.samples++
	e := &s.estimate
	e.Mean += max(smoothing, 1/float64(s.samples)) * (sample - e.Mean)
	s.lagging += smoothing * (sample - s.lagging)
	e.Peak = max(s.lagging, e.Peak*(1-peakDecay))
	if s.samples < minSamples {
		e.RecentPeak = e.Mean
		return
	}
	s.recent = append(s.recent, timedValue{now, e.Mean})
	for now.Sub(s.recent[0].at) > peakWindow {
		s.recent = s.recent[1:]
	}
	e.RecentPeak, e.Slope = 0, 0
	for _, v := range s.recent {
		e.RecentPeak = max(e.RecentPeak, v.value)
	}
	for _, v := range s.recent {
		if age := now.Sub(v.at); age <= slopeWindow {
			if age > 0 {
				e.Slope = (e.Mean - v.value) / age.Seconds()
			}
			break
		}
	}
}

// Demand tracks the prompt tokens per second that all nodes send to engines and that are
// not expected to be cached there, and the number of running streams. The zero value has
// no samples.
type Demand struct {
	// firstGrowth is when the token count first grew; samples before it are not used.
	firstGrowth, lastSample time.Time
	lastTokenCount          uint64
	tokens, streams         series
}

// Observe adds a sample: the tokens sent so far and the streams that run now. A sample is
// ignored if it follows the last one too closely; if the token count falls, for example because a node
// has left, it only sets the reference for the next one.
func (d *Demand) Observe(now time.Time, tokenCount uint64, streams int) {
	elapsed := now.Sub(d.lastSample)
	if elapsed < minSampleGap {
		return
	}
	if !d.lastSample.IsZero() && tokenCount >= d.lastTokenCount {
		if d.firstGrowth.IsZero() && tokenCount > d.lastTokenCount {
			d.firstGrowth = now
		}
		if !d.firstGrowth.IsZero() {
			d.tokens.observe(now, float64(tokenCount-d.lastTokenCount)/elapsed.Seconds())
			d.streams.observe(now, float64(streams))
		}
	}
	d.lastSample, d.lastTokenCount = now, tokenCount
}

// PromptTokens returns the demand in uncached prompt tokens per second.
func (d *Demand) PromptTokens() Estimate { return d.tokens.estimate }

// Streams returns the demand in running streams.
func (d *Demand) Streams() Estimate { return d.streams.estimate }

// Age returns the time since the last sample.
func (d *Demand) Age(now time.Time) time.Duration { return now.Sub(d.lastSample) }

// Settled reports whether the demand was observed over a full period of the load.
func (d *Demand) Settled(now time.Time) bool {
	return !d.firstGrowth.IsZero() && now.Sub(d.firstGrowth) > warmup
}
