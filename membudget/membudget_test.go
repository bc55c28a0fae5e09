package membudget

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// endlessReader never ends.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// TestEndlessReadersLeaveMemoryForOthers guards against short and middle-sized bodies that can't be
// read because endless ones use up the memory: 100 of them at a time.
func TestEndlessReadersLeaveMemoryForOthers(t *testing.T) {
	is := is.New(t)
	const limit, maxBody = 1 << 20, 8 << 20
	b := New(limit)
	var readers sync.WaitGroup
	for range 100 {
		readers.Go(func() {
			if _, err := b.ReadAll(endlessReader{}, maxBody); !errors.Is(err, ErrExhausted) {
				t.Errorf("endless body: %v", err)
			}
			if raw, err := b.ReadAll(strings.NewReader("short"), maxBody); err != nil || string(raw) != "short" {
				t.Errorf("short body: %q, %v", raw, err)
			}
		})
	}
	readers.Wait()
	is.Equal(b.Used(), int64(0))
	middle := strings.Repeat("x", limit/8)
	raw, err := b.ReadAll(iotest.OneByteReader(strings.NewReader(middle)), maxBody)
	is.NoErr(err)
	is.Equal(string(raw), middle)
}

// TestReadAllKeepsBodiesWhole guards against bodies that are cut, and against bodies that are read
// far beyond their limit.
func TestReadAllKeepsBodiesWhole(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{0, 1, readBytes - 1, readBytes, readBytes + 1, 100 << 10} {
		raw, err := New(1<<20).ReadAll(io.LimitReader(endlessReader{}, int64(size)), 1<<20)
		is.NoErr(err)
		is.Equal(len(raw), size)
	}
	var unlimited *Budget
	raw, err := unlimited.ReadAll(endlessReader{}, 100<<10)
	is.NoErr(err)
	is.True(len(raw) > 100<<10)
	is.True(len(raw) <= 200<<10)
	_, err = New(1<<20).ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 1<<20)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

// TestBudgetIsNeverExceeded guards against reserved bytes above the limit, a buffer that holds more
// than it leaves free, and bytes that stay reserved for good.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 20
		b := New(limit)
		buffers := make([]Buffer, 20)
		for i := range buffers {
			buffers[i].Budget = b
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			a := &buffers[rapid.IntRange(0, len(buffers)-1).Draw(t, "buffer")]
			if rapid.IntRange(0, 4).Draw(t, "action") == 0 {
				a.Release()
				continue
			}
			size := rapid.IntRange(1, limit).Draw(t, "size")
			if a.Grow(size) == nil && size > UnsharedBytes && size == a.reserved && b.limit-b.Used() < int64(a.reserved) {
				t.Fatalf("a buffer holds %d bytes and leaves %d", a.reserved, b.limit-b.Used())
			}
			if b.Used() > limit {
				t.Fatalf("%d bytes are reserved", b.Used())
			}
		}
		for i := range buffers {
			buffers[i].Release()
		}
		if b.Used() != 0 {
			t.Fatalf("%d bytes stay reserved", b.Used())
		}
	})
}
