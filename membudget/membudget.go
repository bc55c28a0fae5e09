// Package membudget limits the memory in which a process buffers what others send, so that peers who
// send without end can't use it up, and leave some for the buffers of others.
package membudget

import (
	"errors"
	"io"
	"sync/atomic"
)

// UnsharedBytes is what each buffer may hold in any case, so that short ones don't fail because of
// long ones.
const UnsharedBytes = 16 << 10

// ErrExhausted means that a buffer can't grow: it would hold more than it leaves free.
var ErrExhausted = errors.New("membudget: too little memory is left for a buffer of this size")

// Budget limits the total size of buffers, beyond UnsharedBytes of each. A buffer may hold at most
// as much of it as it leaves free. A nil *Budget limits nothing. It is safe for concurrent use.
type Budget struct {
	limit   int64
	used    atomic.Int64
	garbage garbage
}

// garbageShare is the part of an account that may be given back before the garbage is collected.
const garbageShare = 0.5

// New returns a budget of the given number of bytes.
func New(bytes int64) *Budget {
	return &Budget{limit: bytes, garbage: garbage{limit: int64(garbageShare * float64(bytes))}}
}

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Buffer is the account of one buffer. The zero value, with a Budget, holds nothing. It must not be
// used concurrently.
type Buffer struct {
	Budget   *Budget
	reserved int
}

// Grow reserves the memory for a buffer of the given size in bytes. It returns ErrExhausted if the
// buffer would hold more than it leaves free.
func (a *Buffer) Grow(size int) error {
	if a.Budget == nil || size <= UnsharedBytes || size <= a.reserved {
		return nil
	}
	additional := int64(size - a.reserved)
	if a.Budget.limit-a.Budget.used.Add(additional) < int64(size) {
		a.Budget.used.Add(-additional)
		return ErrExhausted
	}
	// The previous buffer is garbage once it has been copied.
	a.Budget.garbage.add(int64(a.reserved))
	a.reserved = size
	a.Budget.garbage.collect()
	return nil
}

// Release gives the memory back. It may be called more than once.
func (a *Buffer) Release() {
	if a.reserved > 0 {
		a.Budget.used.Add(-int64(a.reserved))
		a.Budget.garbage.add(int64(a.reserved))
		a.reserved = 0
	}
}

// readBytes is the size of the first buffer of ReadAll.
const readBytes = 4 << 10

// ReadAll reads r to its end, or until it has read more than limit bytes. It returns ErrExhausted if
// the budget is used up. The memory is reserved while it reads.
func (b *Budget) ReadAll(r io.Reader, limit int) ([]byte, error) {
	account := Buffer{Budget: b}
	defer account.Release()
	data := make([]byte, 0, readBytes)
	for {
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF || err == nil && len(data) > limit {
			return data, nil
		}
		if err != nil {
			return data, err
		}
		if len(data) < cap(data) {
			continue
		}
		if err := account.Grow(2 * cap(data)); err != nil {
			return nil, err
		}
		data = append(make([]byte, 0, 2*cap(data)), data...)
	}
}
