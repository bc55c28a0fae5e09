package quarantine

import (
	"sync/atomic"
	"time"
)

// provenSlots is the number of parts for which the last proof is remembered. A part may take the
// slot of another one.
const provenSlots = 1 << 14

// provenParts remembers when this node last saw an answer prove each part sound, also without
// evidence against the part: evidence and suspicions of other nodes may come later. A node that was
// cut off must not make the others suspect what they serve. It takes no lock, and its size is fixed.
type provenParts struct {
	// start is the time from which the slots count.
	start time.Time
	slots [provenSlots]provenSlot
}

// provenSlot holds the time of one part.
type provenSlot struct {
	// at is the time since start in nanoseconds, and check is at XOR the hash of the part. Two
	// writers may leave values that don't fit together: these belong to no part.
	at, check atomic.Uint64
}

// record stores the time for the part with the given hash.
func (p *provenParts) record(hash uint64, at time.Time) {
	since := uint64(at.Sub(p.start))
	slot := &p.slots[hash%provenSlots]
	slot.at.Store(since)
	slot.check.Store(since ^ hash)
}

// last returns the last time for a part; zero if it is not remembered.
func (p *provenParts) last(hash uint64) time.Time {
	slot := &p.slots[hash%provenSlots]
	at := slot.at.Load()
	if slot.check.Load() != at^hash {
		return time.Time{}
	}
	return p.start.Add(time.Duration(at))
}
