// Package metering counts the requests of each workspace by usage window, collects the
// counts of all nodes through the store, and reports each window with the same figures,
// even if the holder of the duty changes.
package metering

import (
	"sync"
	"time"
)

// Counts maps workspaces to numbers of requests.
type Counts map[string]int64

func (c Counts) add(o Counts) {
	for workspace, n := range o {
		c[workspace] += n
	}
}

// Windows divides time into numbered usage windows of equal length. Window k starts k
// lengths after the Unix epoch, in true time.
type Windows struct{ Length time.Duration }

// At returns the number of the window that contains t.
func (w Windows) At(t time.Time) int64 { return t.UnixNano() / int64(w.Length) }

// End returns the end of a window.
func (w Windows) End(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(w.Length))
}

// TrueTime converts a time read in this process to true time, on which steps of the wall
// clock have no effect (see boottime.TrueTime).
type TrueTime interface{ At(t time.Time) time.Time }

// Counter counts the requests that this node handles, by window and workspace.
type Counter struct {
	windows Windows
	clock   TrueTime

	mu     sync.Mutex
	counts map[int64]Counts
}

// NewCounter returns an empty counter.
func NewCounter(w Windows, clock TrueTime) *Counter {
	return &Counter{windows: w, clock: clock, counts: make(map[int64]Counts)}
}

// RequestStarted counts a request of a workspace that started to run at the given time.
func (c *Counter) RequestStarted(workspace string, at time.Time) {
	window := c.windows.At(c.clock.At(at))
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts[window]
	if counts == nil {
		counts = make(Counts)
		c.counts[window] = counts
	}
	counts[workspace]++
}

// Latest returns the counts of the last windows, by window, also of windows without
// requests. The current window is one of them.
func (c *Counter) Latest(windows int64) map[int64]Counts {
	current := c.windows.At(c.clock.At(time.Now()))
	all := c.snapshot(current)
	latest := make(map[int64]Counts, windows)
	for window := current - windows + 1; window <= current; window++ {
		latest[window] = all[window]
	}
	return latest
}

// snapshot returns a copy of the counts of all windows up to last, by window.
func (c *Counter) snapshot(last int64) map[int64]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[int64]Counts)
	for window, counts := range c.counts {
		if window > last {
			continue
		}
		copied := make(Counts, len(counts))
		copied.add(counts)
		out[window] = copied
	}
	return out
}

func (c *Counter) removeBefore(before int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for window := range c.counts {
		if window < before {
			delete(c.counts, window)
		}
	}
}
