package metering

import (
	"errors"
	"maps"
	"sync"
)

// maxKnownSeals is the number of windows whose sealed figures are kept in memory.
const maxKnownSeals = 16

// Seals holds the sealed figures of windows that this node has sealed or that the holder of the
// duty has announced. They replace those that a restored store has lost. Its methods may be
// called from any goroutine.
type Seals struct {
	mu      sync.Mutex
	windows map[int64]Counts
}

// NewSeals returns an empty Seals.
func NewSeals() *Seals { return &Seals{windows: make(map[int64]Counts)} }

// errSealsDiffer means that there are two sealed figures for a window. Neither may be reported: the
// other one may have been.
var errSealsDiffer = errors.New("metering: two different sealed figures of one window")

// Add records the sealed figures of a window. It returns an error and keeps the first ones if
// they are other ones, and an error if a count is invalid.
func (s *Seals) Add(window int64, counts Counts) error {
	if err := counts.validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.windows[window]; ok {
		if !maps.Equal(known, counts) {
			return errSealsDiffer
		}
		return nil
	}
	s.windows[window] = maps.Clone(counts)
	for other := range s.windows {
		if other <= window-maxKnownSeals {
			delete(s.windows, other)
		}
	}
	return nil
}

// Windows returns the sealed figures by window.
func (s *Seals) Windows() map[int64]Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.windows)
}

// get returns the sealed figures of a window, and whether they are known.
func (s *Seals) get(window int64) (Counts, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts, ok := s.windows[window]
	return counts, ok
}
