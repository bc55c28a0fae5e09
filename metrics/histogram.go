package metrics

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram counts durations with a resolution of 1 ms. It implements expvar.Var.
type Histogram struct {
	mu  sync.Mutex
	hdr *hdrhistogram.Histogram
}

const (
	// histogramMaxMillis is the largest value, in milliseconds; longer durations
	// are recorded as this value.
	histogramMaxMillis = 120_000
	// histogramSignificantDigits is the precision in significant decimal digits.
	histogramSignificantDigits = 2
)

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{hdr: hdrhistogram.New(1, histogramMaxMillis, histogramSignificantDigits)}
}

// Observe records a duration. Durations below 1 ms are recorded as 1 ms.
func (h *Histogram) Observe(d time.Duration) {
	ms := min(max(d.Milliseconds(), 1), histogramMaxMillis)
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue only fails for values outside the range, which ms never is.
	_ = h.hdr.RecordValue(ms)
}

// String implements expvar.Var. It returns a JSON object with durations in
// milliseconds.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.hdr.ValueAtQuantile
	return fmt.Sprintf(`{"count":%d,"mean_ms":%.1f,"p50_ms":%d,"p90_ms":%d,"p99_ms":%d,"max_ms":%d}`,
		h.hdr.TotalCount(), h.hdr.Mean(), q(50), q(90), q(99), h.hdr.Max())
}

// AppendText appends the count, the quantiles 0.5, 0.9 and 0.99 and the maximum
// to b, one per line, and returns the extended slice. Durations are in
// milliseconds.
func (h *Histogram) AppendText(b []byte, name string) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	b = fmt.Appendf(b, "%s_count %d\n", name, h.hdr.TotalCount())
	for _, q := range []float64{50, 90, 99} {
		b = fmt.Appendf(b, "%s{quantile=\"%v\"} %d\n", name, q/100, h.hdr.ValueAtQuantile(q))
	}
	return fmt.Appendf(b, "%s_max %d\n", name, h.hdr.Max())
}
