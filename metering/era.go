package metering

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/figweir/figweir/store"
)

// eraKey is the key of the record that states since when the era of the store is known.
const eraKey = "figweir/usage-era"

const (
	// maxClockError is how much the clocks of two nodes may differ. A window that another node
	// could seal before the era began may have been reported then.
	maxClockError = time.Second
	// maxRepublishDelay is the maximum delay before a node publishes its counts again in a new
	// era: all nodes have lost theirs at once.
	maxRepublishDelay = time.Second
)

// eraRecord is the value stored under eraKey.
type eraRecord struct {
	Era store.Era `json:"era"`
	// SinceMillis is when a node first knew of the era, in milliseconds since 1970.
	SinceMillis int64 `json:"since_unix_ms"`
}

// eraView is what a reporter knows of the era of the store.
type eraView struct {
	era store.Era
	// since is a time at which the era had already begun, in true time.
	since time.Time
	// recorded is true once since was compared with the record in the store.
	recorded bool
}

// updateEra notices a new era. What this node had published and the lease of its usage data may be
// gone then.
func (r *Reporter) updateEra(now time.Time) {
	if r.Era == nil || r.Era() == r.eraView.era {
		return
	}
	r.eraView = eraView{era: r.Era(), since: now}
	r.lease = store.NoLease
	if len(r.published) == 0 {
		return
	}
	for window := range r.published {
		if now.Before(r.Windows.End(window).Add(r.Delay)) {
			delete(r.published, window)
		}
	}
	r.publishAt = now.Add(rand.N(maxRepublishDelay))
	r.Log.Info("usage counts are published again, the store was restored", "era", uint64(r.eraView.era))
}

// checkEra returns an error if the era has changed since the present round began: what was read in
// the round may be gone.
func (r *Reporter) checkEra() error {
	if r.Era != nil && r.Era() != r.eraView.era {
		return errStoreRestored
	}
	return nil
}

// recordEra compares the time since when this node knows the era with the record in the store,
// which the first holder in the era writes: a node that has just started knows of it only since
// then. Errors are logged, and the next round tries again.
func (r *Reporter) recordEra(ctx context.Context) {
	if r.eraView.era == 0 || r.eraView.recorded {
		return
	}
	entry, err := r.Store.Get(ctx, eraKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		r.Log.Info("cannot read since when the era of the store is known", "cause", err.Error())
		return
	}
	var record eraRecord
	if err == nil && json.Unmarshal(entry.Value, &record) == nil && record.Era == r.eraView.era {
		if since := time.UnixMilli(record.SinceMillis); since.Before(r.eraView.since) {
			r.eraView.since = since
		}
		r.eraView.recorded = true
		return
	}
	raw, err := json.Marshal(eraRecord{r.eraView.era, r.eraView.since.UnixMilli()})
	if err == nil {
		_, err = r.Store.Put(ctx, eraKey, raw, entry.Revision, store.NoLease)
	}
	if err != nil {
		r.Log.Info("cannot record since when the era of the store is known", "cause", err.Error())
		return
	}
	r.eraView.recorded = true
}

// mayHaveBeenReported reports whether a window that isn't sealed in the store may have been sealed
// and reported in an earlier era.
func (r *Reporter) mayHaveBeenReported(window int64) bool {
	if r.eraView.era == 0 {
		return false
	}
	sealable := r.Windows.End(window).Add(r.delayFraction(sealFraction))
	return sealable.Before(r.eraView.since.Add(maxClockError))
}
