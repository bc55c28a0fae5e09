package capacity

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// eventMemory is the number of samples over which the event times are averaged.
	eventMemory = 500
	// minEventSamples is the number of samples before there is an estimate.
	minEventSamples = 20
	// minRunningVariance is the variance of the number of running requests below which it
	// can't be told how the time grows with them.
	minRunningVariance = 0.5
)

// EventTime estimates how the time between two events of a stream grows with the number of
// requests that run at the server, at a slowdown of 1. It is shared by the servers of one
// service. The zero value has no samples. It is safe for use by many goroutines.
type EventTime struct {
	line atomic.Pointer[line]
	// mu guards the weighted sums of the samples: their number, the running requests (x), the
	// milliseconds (y) and their products.
	mu              sync.Mutex
	n, x, y, xx, xy float64
}

// line is the estimate in milliseconds.
type line struct{ base, perRequest float64 }

// Observe adds an interval between two events, without the time for prompts, and the number of
// requests that ran at the server and its slowdown at that time. A sample that arrives while another is added
// is dropped, so that streams don't wait.
func (t *EventTime) Observe(interval time.Duration, running, slowdown float64) {
	if interval <= 0 || slowdown <= 0 || running < 0 {
		return
	}
	millis := float64(interval) / float64(time.Millisecond) / slowdown
	if !t.mu.TryLock() {
		return
	}
	defer t.mu.Unlock()
	const keep = 1 - 1.0/eventMemory
	t.n, t.x, t.y = t.n*keep+1, t.x*keep+running, t.y*keep+millis
	t.xx, t.xy = t.xx*keep+running*running, t.xy*keep+running*millis
	if t.n >= minEventSamples {
		t.line.Store(t.fit())
	}
}

// fit returns the least-squares line with coefficients that are not negative. If the number of
// running requests hardly varied, the time is taken as constant.
func (t *EventTime) fit() *line {
	meanX, meanY := t.x/t.n, t.y/t.n
	variance := t.xx/t.n - meanX*meanX
	if variance < minRunningVariance {
		return &line{base: meanY}
	}
	perRequest := max(0, (t.xy/t.n-meanX*meanY)/variance)
	base := meanY - perRequest*meanX
	if base < 0 {
		return &line{perRequest: t.xy / t.xx}
	}
	return &line{base, perRequest}
}

// Millis returns the expected time between events in milliseconds while the given number of
// requests run at a slowdown of 1, or 0 if it is not known.
func (t *EventTime) Millis(running float64) float64 {
	l := t.line.Load()
	if l == nil {
		return 0
	}
	return l.base + l.perRequest*running
}
