package capacity

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// minSampleTokens is the shortest prompt that is used as a sample: fixed delays
	// dominate the time of shorter ones.
	minSampleTokens = 1000
	// fixedDelay is the part of a measured time that does not depend on the length
	// of the prompt.
	fixedDelay = 5 * time.Millisecond
	// fastSampleWeight is the weight of a sample above the current estimate, and
	// slowSampleWeight that of a sample below it. Slow samples count less because
	// they may include time in a queue.
	fastSampleWeight = 0.2
	slowSampleWeight = 0.02
)

// PromptRate estimates from samples how many prompt tokens a server processes per
// millisecond. The zero value has no samples. It is safe for use by many goroutines; of two
// samples that are added at the same time one may be lost.
type PromptRate struct{ bits atomic.Uint64 }

// TokensPerMilli returns the estimate in tokens per millisecond, or assumed if there
// are no samples yet.
func (r *PromptRate) TokensPerMilli(assumed float64) float64 {
	if v := math.Float64frombits(r.bits.Load()); v > 0 {
		return v
	}
	return assumed
}

// Observe adds a sample: the time that a server took for a prompt while this node had
// no other prompt there.
func (r *PromptRate) Observe(tokens int, elapsed time.Duration, assumed float64) {
	if tokens < minSampleTokens || elapsed <= fixedDelay {
		return
	}
	sample := float64(tokens) / (float64(elapsed-fixedDelay) / float64(time.Millisecond))
	old := r.TokensPerMilli(assumed)
	weight := fastSampleWeight
	if sample < old {
		weight = slowSampleWeight
	}
	// One sample changes the estimate as if it differed by a factor of two at most,
	// because it may be wrong, for example if the prompt was cached.
	sample = min(max(sample, old/2), old*2)
	r.bits.Store(math.Float64bits(old + weight*(sample-old)))
}
