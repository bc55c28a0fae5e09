package route

import (
	"sync/atomic"
	"time"
)

// cachedBlockSlots is the number of blocks that are recorded for one server. It is twice
// the number of KV blocks of an engine (4,000), so that few blocks replace each other.
// One table takes 64 KiB.
const cachedBlockSlots = 8192

// maxMissingBlocks is how many consecutive missing blocks are assumed to be replaced
// slots. A block hash covers the whole prefix, so a later block that is cached shows
// that the earlier ones were.
const maxMissingBlocks = 3

// cachedBlockTTL is how long a block counts as cached after it was last recorded. Cache
// events can be lost, and a missed eviction must not attract requests forever.
const cachedBlockTTL = 2 * time.Minute

// timestampUnit is the resolution of the timestamp in a slot.
const timestampUnit = 100 * time.Millisecond

// timestampBits is the size of the timestamp in a slot; the other bits hold the upper
// bits of the block hash. 24 bits of 100 ms cover 19 days.
const timestampBits = 24

// timestampMask selects the timestamp of a slot.
const timestampMask = 1<<timestampBits - 1

// CachedBlocks records which prefix blocks one engine is likely to have cached. It is a
// direct-mapped table: a block replaces the previous one in its slot. Reads and writes
// are single atomic operations, so its methods may be called from any goroutine.
type CachedBlocks struct {
	slots [cachedBlockSlots]atomic.Uint64
}

// Add records that the blocks were cached at a time. Hashes are chained: the hash of a
// block covers all blocks before it.
func (c *CachedBlocks) Add(at time.Time, blocks ...uint64) {
	addedAt := timestamp(at)
	for _, hash := range blocks {
		c.slots[hash%cachedBlockSlots].Store(hash&^timestampMask | addedAt)
	}
}

// Remove records that the engine has evicted the blocks.
func (c *CachedBlocks) Remove(blocks ...uint64) {
	for _, hash := range blocks {
		slot := &c.slots[hash%cachedBlockSlots]
		if old := slot.Load(); old&^timestampMask == hash&^timestampMask {
			slot.CompareAndSwap(old, 0)
		}
	}
}

// CountLeading returns how many of the leading blocks are likely to be cached.
func (c *CachedBlocks) CountLeading(now time.Time, blocks []uint64) int {
	cached := 0
	for i, hash := range blocks {
		if c.contains(now, hash) {
			cached = i + 1
		} else if i-cached >= maxMissingBlocks {
			break
		}
	}
	return cached
}

// contains reports whether a block is recorded and has not expired.
func (c *CachedBlocks) contains(now time.Time, hash uint64) bool {
	slot := c.slots[hash%cachedBlockSlots].Load()
	if slot == 0 || slot&^timestampMask != hash&^timestampMask {
		return false
	}
	age := (timestamp(now) - slot) & timestampMask
	// A request may have read the clock before the block was recorded. The age is then
	// slightly negative and wraps around to a large value.
	return age <= uint64(cachedBlockTTL/timestampUnit) || age > timestampMask/2
}

// timestamp returns the timestamp of a slot. It is never 0, so that an empty slot is not
// taken for a block.
func timestamp(at time.Time) uint64 {
	return uint64(at.UnixMilli()/int64(timestampUnit/time.Millisecond))&timestampMask | 1
}
