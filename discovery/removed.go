package discovery

import (
	"time"

	"github.com/figweir/figweir/store"
)

// removedRetention is how long removed registrations are remembered. A copy of the store that is
// older than that may bring them back.
const removedRetention = 10 * time.Minute

// removedServers holds the registrations that were removed. A store that is restored from an
// earlier copy lists them again.
type removedServers map[string]removal

type removal struct {
	// upTo is the revision up to which a registration under the key is the removed one.
	upTo store.Revision
	// at is when it was removed, on the boot clock.
	at time.Duration
}

// add records that a registration was removed. Those up to a revision are the removed one.
func (r removedServers) add(key string, upTo store.Revision, now time.Duration) {
	for other, removed := range r {
		if now-removed.at > removedRetention {
			delete(r, other)
		}
	}
	r[key] = removal{upTo, now}
}

// isRemoved reports whether an entry is a registration that was removed.
func (r removedServers) isRemoved(e store.Entry) bool {
	removed, known := r[e.Key]
	return known && e.Revision <= removed.upTo
}

// enterEra records that the entry of a removed server is listed in a new era: it comes from the
// copy until it is written again.
func (r removedServers) enterEra(e store.Entry) {
	if removed, known := r[e.Key]; known && removed.upTo.Era() < e.Revision.Era() {
		r[e.Key] = removal{e.Revision, removed.at}
	}
}
