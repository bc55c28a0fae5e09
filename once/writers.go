package once

import (
	"sync"
)

// Writers is the set of range writers of a node. A writer is started when its
// range is first requested.
type Writers struct {
	startWriter func(Range) *Writer
	rangeCount  uint32

	mu      sync.Mutex
	closed  bool
	writers map[Range]*Writer
}

// NewWriters returns an empty set for the given number of ranges. start starts
// the writer of a range.
func NewWriters(ranges uint32, start func(Range) *Writer) *Writers {
	return &Writers{startWriter: start, rangeCount: ranges, writers: make(map[Range]*Writer)}
}

// Handle returns this process's writer of a range, and starts it if necessary.
// It returns nil if the range doesn't exist or the set is closed.
func (w *Writers) Handle(r Range) Handle {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || uint32(r) >= w.rangeCount {
		return nil
	}
	writer := w.writers[r]
	if writer == nil {
		writer = w.startWriter(r)
		w.writers[r] = writer
	}
	return writer
}

// Retire closes the writers of ranges for which owned returns false, and frees
// their indexes. Queued requests are refused or get no response.
func (w *Writers) Retire(owned func(Range) bool) {
	w.mu.Lock()
	var retired []*Writer
	for r, writer := range w.writers {
		if !owned(r) {
			retired = append(retired, writer)
			delete(w.writers, r)
		}
	}
	w.mu.Unlock()
	for _, writer := range retired {
		writer.Close()
	}
}

// Stats returns the counters of the running writers.
func (w *Writers) Stats() map[Range]Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	stats := make(map[Range]Stats, len(w.writers))
	for r, writer := range w.writers {
		stats[r] = writer.Stats()
	}
	return stats
}

// Close closes all writers. Handle returns nil afterwards.
func (w *Writers) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.Retire(func(Range) bool { return false })
}
