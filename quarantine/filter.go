package quarantine

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// hashOf returns the hash by which a part is found without a lock.
func hashOf(part string) uint64 { return xxhash.Sum64String(part) }

const filterBits = 1 << 16

// partFilter is a set of hashes that may also report ones that were not added. Adding and
// reading need no lock.
type partFilter struct {
	words [filterBits / 64]atomic.Uint64
}

func (f *partFilter) add(hash uint64) {
	f.words[hash%filterBits/64].Or(1 << (hash % 64))
}

// has reports whether the hash may have been added; false for a nil filter.
func (f *partFilter) has(hash uint64) bool {
	return f != nil && f.words[hash%filterBits/64].Load()&(1<<(hash%64)) != 0
}
