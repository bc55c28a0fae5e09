package metering

import (
	"maps"
	"sync"
)

// Heard keeps what other nodes have said of their counts, so that the counts of
// a node that is killed or cut off from the store are not lost.
type Heard struct {
	mu     sync.Mutex
	counts map[int64]map[string]Counts
}

// NewHeard returns an empty memory.
func NewHeard() *Heard { return &Heard{counts: make(map[int64]map[string]Counts)} }

// Update takes the counts of an incarnation in a window. Counts only grow, so an
// update that comes late takes nothing away.
func (h *Heard) Update(incarnation string, window int64, counts Counts) {
	h.mu.Lock()
	defer h.mu.Unlock()
	nodes := h.counts[window]
	if nodes == nil {
		nodes = make(map[string]Counts)
		h.counts[window] = nodes
		h.forget(window - heardWindows)
	}
	nodes[incarnation] = greater(nodes[incarnation], counts)
}

// heardWindows is how many windows are remembered.
const heardWindows = 8

func (h *Heard) forget(before int64) {
	for window := range h.counts {
		if window < before {
			delete(h.counts, window)
		}
	}
}

// in returns the counts of a window by incarnation.
func (h *Heard) in(window int64) map[string]Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.counts[window])
}

// greater returns the greater count of each workspace.
func greater(a, b Counts) Counts {
	out := make(Counts, len(b))
	maps.Copy(out, a)
	for workspace, n := range b {
		out[workspace] = max(out[workspace], n)
	}
	return out
}
