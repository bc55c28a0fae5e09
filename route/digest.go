package route

import (
	"sync/atomic"
	"time"
)

// digestSlots is the number of blocks that are remembered for one server: twice
// the KV blocks of an engine (4,000), so that few blocks replace each other. One
// digest takes 64 KiB.
const digestSlots = 8192

// digestGap is how many missing blocks in a row are taken for replaced slots.
// A block hash covers the whole prefix, so that a later block that is cached
// shows that the earlier ones were.
const digestGap = 3

// digestMaxAge is how long a block counts as cached without being seen again.
// Cache events have gaps, so a missed eviction must not attract requests
// forever.
const digestMaxAge = 2 * time.Minute

// ageUnit is the resolution of the time in a slot.
const ageUnit = 100 * time.Millisecond

// timeBits is the part of a slot that holds the time; the rest holds the upper
// bits of the block hash. 24 bits of 100 ms cover 19 days.
const timeBits = 24

const timeMask = 1<<timeBits - 1

// Digest remembers which prefix blocks one engine is likely to have cached. It
// is a direct-mapped table: a block that maps to a used slot replaces what was
// there. Reads and writes are single atomic operations.
type Digest struct {
	slots [digestSlots]atomic.Uint64
}

// Add records that the blocks were seen in the cache at a time. Hashes are
// chained: the hash of a block covers all blocks before it.
func (d *Digest) Add(at time.Time, blocks ...uint64) {
	stamp := stampOf(at)
	for _, hash := range blocks {
		d.slots[hash%digestSlots].Store(hash&^timeMask | stamp)
	}
}

// Remove records that the engine has evicted the blocks.
func (d *Digest) Remove(blocks ...uint64) {
	for _, hash := range blocks {
		slot := &d.slots[hash%digestSlots]
		if old := slot.Load(); old&^timeMask == hash&^timeMask {
			slot.CompareAndSwap(old, 0)
		}
	}
}

// Cached returns how many of the leading blocks are likely to be cached.
func (d *Digest) Cached(now time.Time, blocks []uint64) int {
	cached := 0
	for i, hash := range blocks {
		if d.has(now, hash) {
			cached = i + 1
		} else if i-cached >= digestGap {
			break
		}
	}
	return cached
}

func (d *Digest) has(now time.Time, hash uint64) bool {
	slot := d.slots[hash%digestSlots].Load()
	if slot == 0 || slot&^timeMask != hash&^timeMask {
		return false
	}
	age := (stampOf(now) - slot) & timeMask
	// A block may be recorded while a request that has read the clock before is
	// being decided; its age is then just below 0 and wraps round.
	return age <= uint64(digestMaxAge/ageUnit) || age > timeMask/2
}

// stampOf never returns 0, so that an empty slot can't be taken for a block.
func stampOf(at time.Time) uint64 {
	return uint64(at.UnixMilli()/int64(ageUnit/time.Millisecond))&timeMask | 1
}
