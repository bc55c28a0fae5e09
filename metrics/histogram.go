package metrics

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram counts durations in milliseconds. It implements expvar.Var.
type Histogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

const (
	// histogramMaxMillis is the longest duration that is told apart.
	histogramMaxMillis = 120_000
	// histogramDigits is the precision in decimal digits.
	histogramDigits = 2
)

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{histogram: hdrhistogram.New(1, histogramMaxMillis, histogramDigits)}
}

// Observe counts a duration.
func (h *Histogram) Observe(d time.Duration) {
	ms := min(max(d.Milliseconds(), 1), histogramMaxMillis)
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value is inside the range, which is the only reason for an error.
	_ = h.histogram.RecordValue(ms)
}

// String implements expvar.Var as a JSON object. Durations are milliseconds.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.histogram.ValueAtQuantile
	return fmt.Sprintf(`{"count":%d,"mean_ms":%.1f,"p50_ms":%d,"p90_ms":%d,"p99_ms":%d,"max_ms":%d}`,
		h.histogram.TotalCount(), h.histogram.Mean(), q(50), q(90), q(99), h.histogram.Max())
}

// AppendText writes the histogram as lines of a name, a label and a value.
func (h *Histogram) AppendText(b []byte, name string) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	b = fmt.Appendf(b, "%s_count %d\n", name, h.histogram.TotalCount())
	for _, q := range []float64{50, 90, 99} {
		b = fmt.Appendf(b, "%s{quantile=\"%v\"} %d\n", name, q/100, h.histogram.ValueAtQuantile(q))
	}
	return fmt.Appendf(b, "%s_max %d\n", name, h.histogram.Max())
}
