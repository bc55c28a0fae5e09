package metering

import (
	"context"
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

// updateEra notices a new era. What this node had published and the lease of its usage data may be
// gone then.
func (r *Reporter) updateEra(now time.Time) {
	if r.Era == nil || !r.eraSince.Update(r.Era(), now) {
		return
	}
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
	r.Log.Info("usage counts are published again, the store was restored", "era", uint64(r.eraSince.Era()))
}

// checkEra returns an error if the era has changed since the present round began: what was read in
// the round may be gone.
func (r *Reporter) checkEra() error {
	if r.Era != nil && r.Era() != r.eraSince.Era() {
		return errStoreRestored
	}
	return nil
}

// recordEra records since when the era is known. Errors are logged, and the next round tries again.
func (r *Reporter) recordEra(ctx context.Context) {
	if err := r.eraSince.Record(ctx, r.Store, eraKey); err != nil {
		r.Log.Info("cannot record since when the era of the store is known", "cause", err.Error())
	}
}

// mayHaveBeenReported reports whether a window that isn't sealed in the store may have been sealed
// and reported in an earlier era.
func (r *Reporter) mayHaveBeenReported(window int64) bool {
	return r.eraSince.Precedes(r.Windows.End(window).Add(r.delayFraction(sealFraction)), maxClockError)
}
