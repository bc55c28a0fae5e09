package membudget

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// garbage counts the bytes of buffers that were given back and that the garbage collector may not have
// collected yet. Many goroutines that allocate at once pass the heap limit of the runtime, which grants
// them what they ask for while it collects.
type garbage struct {
	limit int64
	bytes atomic.Int64
	mu    sync.Mutex
}

// add counts bytes that were given back.
func (g *garbage) add(bytes int64) { g.bytes.Add(bytes) }

// collect runs the garbage collector if more than the limit was given back. It is called before an
// allocation and blocks until the collection has ended.
func (g *garbage) collect() {
	if g.bytes.Load() <= g.limit {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if freed := g.bytes.Load(); freed > g.limit {
		runtime.GC()
		g.bytes.Add(-freed)
	}
}
