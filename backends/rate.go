package backends

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// minSampleTokens is the least prompt from which a rate is learned: shorter
	// ones are dominated by fixed delays.
	minSampleTokens = 1000
	// fixedDelay is the part of a measured time that does not depend on the
	// prompt.
	fixedDelay = 5 * time.Millisecond
	// rateWeight is the weight of a new sample. Queues make samples slow, so
	// slower ones count less.
	rateWeight     = 0.2
	slowRateWeight = 0.02
)

// rate learns how many prompt tokens an engine processes in a millisecond.
type rate struct{ bits atomic.Uint64 }

func (r *rate) perMilli(assumed float64) float64 {
	if v := math.Float64frombits(r.bits.Load()); v > 0 {
		return v
	}
	return assumed
}

// observe takes the time that an engine took for a prompt while this node knew
// of no other work there.
func (r *rate) observe(tokens int, took time.Duration, assumed float64) {
	if tokens < minSampleTokens || took <= fixedDelay {
		return
	}
	sample := float64(tokens) / (float64(took-fixedDelay) / float64(time.Millisecond))
	old := r.perMilli(assumed)
	weight := rateWeight
	if sample < old {
		weight = slowRateWeight
	}
	// The rate may move by a factor of two at a time: one sample can be wrong,
	// for example because the prompt was cached.
	sample = min(max(sample, old/2), old*2)
	r.bits.Store(math.Float64bits(old + weight*(sample-old)))
}
