// Package metering counts the requests of each workspace by usage window, shares
// the counts of all nodes through the store, and reports each window once with
// the same figures, whoever reports it.
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

// Windows numbers usage windows: window k begins k lengths after the start of
// 1970, in true time.
type Windows struct{ Length time.Duration }

// At returns the window that holds a time.
func (w Windows) At(t time.Time) int64 { return t.UnixNano() / int64(w.Length) }

// End returns when a window ends.
func (w Windows) End(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(w.Length))
}

// TrueTime converts a time of this process to true time.
type TrueTime interface{ At(t time.Time) time.Time }

// Counter counts what this node's requests use.
type Counter struct {
	windows Windows
	clock   TrueTime

	mu     sync.Mutex
	counts map[int64]Counts
}

// NewCounter returns a counter without counts.
func NewCounter(w Windows, clock TrueTime) *Counter {
	return &Counter{windows: w, clock: clock, counts: make(map[int64]Counts)}
}

// Began counts a request that began to run at a time.
func (c *Counter) Began(workspace string, at time.Time) {
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

// Latest returns the counts of the running window and the ones before it, by
// window.
func (c *Counter) Latest(windows int64) map[int64]Counts {
	running := c.windows.At(c.clock.At(time.Now()))
	latest := c.snapshot(running)
	for window := range latest {
		if window <= running-windows {
			delete(latest, window)
		}
	}
	return latest
}

// snapshot returns the counts of the windows up to last, by window. Counts stay
// until forget.
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

func (c *Counter) forget(before int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for window := range c.counts {
		if window < before {
			delete(c.counts, window)
		}
	}
}
