// Package logbuffer collects the log output of processes and nodes in tests.
package logbuffer

import (
	"bytes"
	"sync"
)

// Buffer is a bytes.Buffer that is safe for concurrent use. The zero value is empty.
type Buffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns everything written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
