// Package logbuffer keeps the output of processes and nodes for tests.
package logbuffer

import (
	"bytes"
	"sync"
)

// Buffer is a bytes.Buffer that several goroutines may use. The zero value is empty.
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

// String returns what was written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
