package quarantine

import (
	"sync/atomic"
	"time"
)

// begunSlots is the number of parts for which the last start of an answer is remembered. A part
// may take the slot of another one.
const begunSlots = 1 << 14

// begunParts remembers when this node last saw an answer to a request with each part start,
// also without evidence against the part: evidence and suspicions of other nodes may come
// later. A node that was cut off must not make the others suspect what they serve. It takes no
// lock, and its size is fixed.
type begunParts struct {
	// start is the time from which the slots count.
	start time.Time
	slots [begunSlots]begunSlot
}

// begunSlot holds the time of one part.
type begunSlot struct {
	// at is the time since start in nanoseconds, and check is at XOR the hash of the part. Two
	// writers may leave values that don't fit together: these belong to no part.
	at, check atomic.Uint64
}

// record stores the time for the part with the given hash.
func (b *begunParts) record(hash uint64, at time.Time) {
	since := uint64(at.Sub(b.start))
	slot := &b.slots[hash%begunSlots]
	slot.at.Store(since)
	slot.check.Store(since ^ hash)
}

// last returns the last time for a part; zero if it is not remembered.
func (b *begunParts) last(hash uint64) time.Time {
	slot := &b.slots[hash%begunSlots]
	at := slot.at.Load()
	if slot.check.Load() != at^hash {
		return time.Time{}
	}
	return b.start.Add(time.Duration(at))
}
