package once

import (
	"sync"
)

// Writers holds the writers of the ranges that a node writes. A writer is started
// when its range is first asked for.
type Writers struct {
	start func(Range) *Writer
	count uint32

	mu      sync.Mutex
	closed  bool
	writers map[Range]*Writer
}

// NewWriters returns an empty set for a number of ranges. start starts the writer
// of a range.
func NewWriters(ranges uint32, start func(Range) *Writer) *Writers {
	return &Writers{start: start, count: ranges, writers: make(map[Range]*Writer)}
}

// Handle returns the writer of a range in this process, or nil if there is no
// such range or the set is closed.
func (w *Writers) Handle(r Range) Handle {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || uint32(r) >= w.count {
		return nil
	}
	writer := w.writers[r]
	if writer == nil {
		writer = w.start(r)
		w.writers[r] = writer
	}
	return writer
}

// Retire closes the writers of ranges for which keep returns false, and frees
// their indexes. Requests that wait are refused or get no answer.
func (w *Writers) Retire(keep func(Range) bool) {
	w.mu.Lock()
	var retired []*Writer
	for r, writer := range w.writers {
		if !keep(r) {
			retired = append(retired, writer)
			delete(w.writers, r)
		}
	}
	w.mu.Unlock()
	for _, writer := range retired {
		writer.Close()
	}
}

// Stats returns the counters of the writers that run.
func (w *Writers) Stats() map[Range]Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	stats := make(map[Range]Stats, len(w.writers))
	for r, writer := range w.writers {
		stats[r] = writer.Stats()
	}
	return stats
}

// Close closes all writers.
func (w *Writers) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.Retire(func(Range) bool { return false })
}
