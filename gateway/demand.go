package gateway

import "time"

// demand follows the prompt tokens per second of all nodes and the streams that
// run.
type demand struct {
	// since is when the first demand was seen.
	since   time.Time
	at      time.Time
	counted uint64
	tokens  peak
	streams peak
}

// peak follows a moving average and its highest value lately.
type peak struct{ mean, highest float64 }

const (
	// demandSettles is how long the demand is followed before engines are taken
	// from a role because of it.
	demandSettles = 12 * time.Second
	// demandWeight is the weight of the newest sample in the moving average.
	demandWeight = 0.15
	// peakDecay is the part of the peak that is forgotten at each sample.
	peakDecay = 0.005
)

func (p *peak) observe(sample float64) {
	p.mean += demandWeight * (sample - p.mean)
	p.highest = max(p.mean, p.highest*(1-peakDecay))
}

// observe takes a sample. The time is that of the sample and not of the tick that
// led to it: a tick may have waited for seconds while a call got no answer.
func (d *demand) observe(counted uint64, streams int) {
	now := time.Now()
	elapsed := now.Sub(d.at)
	if elapsed < staffEvery/2 {
		// A tick that comes late is followed by one that comes at once.
		return
	}
	if !d.at.IsZero() && counted >= d.counted {
		d.tokens.observe(float64(counted-d.counted) / elapsed.Seconds())
		d.streams.observe(float64(streams))
		if d.since.IsZero() && counted > d.counted {
			d.since = now
		}
	}
	d.at, d.counted = now, counted
}
