package ratelimit

import (
	"math"
	"time"

	"github.com/figweir/figweir/permit"
)

const (
	// minPermitsPerSecond is the rate of permits below which no limit is applied: a server
	// that gets no request can't show that its limit is over.
	minPermitsPerSecond = 0.2
	// maxPermitsPerSecond keeps sums of stated limits finite.
	maxPermitsPerSecond = 1e6
	// burstTime is the time for which unused permits are kept.
	burstTime = 250 * time.Millisecond
)

// bucket is a token bucket of permits. The zero value is empty; it fills from the first call.
type bucket struct{ permit.Bucket }

// permitRate returns the permits per second for a stated limit.
func permitRate(perSecond float64) float64 {
	return min(max(perSecond, minPermitsPerSecond), maxPermitsPerSecond)
}

// burst returns the number of permits that may be taken at once.
func burst(rate float64) float64 { return 1 + rate*burstTime.Seconds() }

// fill adds the permits for the time since the last call.
func (b *bucket) fill(now time.Time, rate float64) { b.Fill(now, rate, burst(rate)) }

// take takes up to want permits and returns how many it took.
func (b *bucket) take(now time.Time, rate float64, want int) int {
	b.fill(now, rate)
	n := min(want, int(math.Floor(b.Tokens)))
	if n <= 0 {
		return 0
	}
	b.Tokens -= float64(n)
	return n
}

// debit removes permits that another granter has granted. The debt is bounded by debtTime.
func (b *bucket) debit(now time.Time, rate float64, n int) {
	b.fill(now, rate)
	b.Debit(float64(n), rate*debtTime.Seconds())
}

// debtTime bounds how long a wrong count of another granter can block a server.
const debtTime = 4 * time.Second

// wait returns the time until the next permit.
func (b *bucket) wait(rate float64) time.Duration { return b.Wait(1, rate) }
