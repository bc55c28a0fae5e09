package metering

import (
	"maps"
	"sync"
)

// ReceivedCounts holds the counts that other nodes send directly. They show when the counts
// of a window are complete, and save those of a node that is killed or can't reach the
// store.
type ReceivedCounts struct {
	mu      sync.Mutex
	windows map[int64]*receivedWindow
	// ended holds the incarnations that have ended, with the newest window at that time.
	ended  map[string]int64
	newest int64
}

// receivedWindow holds the counts of one window.
type receivedWindow struct {
	counts map[string]Counts
	// final holds the incarnations whose counts are final.
	final map[string]bool
}

// NewReceivedCounts returns an empty ReceivedCounts.
func NewReceivedCounts() *ReceivedCounts {
	return &ReceivedCounts{windows: make(map[int64]*receivedWindow), ended: make(map[string]int64)}
}

// Update merges the counts of an incarnation in a window; final states that they are not
// expected to change. Counts never decrease, so a delayed update can't lower them.
func (r *ReceivedCounts) Update(incarnation string, window int64, counts Counts, final bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.windows[window]
	if w == nil {
		w = &receivedWindow{counts: make(map[string]Counts), final: make(map[string]bool)}
		r.windows[window] = w
		r.newest = max(r.newest, window)
		r.removeBefore(window - maxReceivedWindows)
	}
	delete(r.ended, incarnation)
	w.counts[incarnation] = maxCounts(w.counts[incarnation], counts)
	w.final[incarnation] = w.final[incarnation] || final
}

// End records that an incarnation has ended: it will send no more counts.
func (r *ReceivedCounts) End(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended[incarnation] = r.newest
}

// maxReceivedWindows is the number of windows whose counts are retained.
const maxReceivedWindows = 8

func (r *ReceivedCounts) removeBefore(before int64) {
	for window := range r.windows {
		if window < before {
			delete(r.windows, window)
		}
	}
	for incarnation, window := range r.ended {
		if window < before {
			delete(r.ended, incarnation)
		}
	}
}

// forWindow returns the counts of a window by incarnation; nil if there are none.
func (r *ReceivedCounts) forWindow(window int64) map[string]Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.windows[window]
	if w == nil {
		return nil
	}
	return maps.Clone(w.counts)
}

// Requests returns the number of requests received for a window, over all incarnations.
func (r *ReceivedCounts) Requests(window int64) int64 {
	var requests int64
	for _, counts := range r.forWindow(window) {
		requests += total(counts)
	}
	return requests
}

// isFinal reports whether no more counts of an incarnation are expected in a window.
func (r *ReceivedCounts) isFinal(incarnation string, window int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ended := r.ended[incarnation]; ended {
		return true
	}
	w := r.windows[window]
	return w != nil && w.final[incarnation]
}

// maxCounts returns the greater of the two counts of each workspace.
func maxCounts(a, b Counts) Counts {
	out := make(Counts, len(b))
	maps.Copy(out, a)
	for workspace, n := range b {
		out[workspace] = max(out[workspace], n)
	}
	return out
}
