//go:build review

package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes what was sent, answered and run. Its methods may be called from any goroutine.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func newRecord(out io.Writer) *record { return &record{out: out, start: time.Now()} }

// logf writes one line with the seconds since the start.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
