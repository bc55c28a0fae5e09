package metering

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/figweir/figweir/store"
)

// seal returns the figures of a window. They are written to the store only once, so that
// every later holder reports the same figures. A store that was restored may have lost them: then
// they are written again if this node knows them, and otherwise the window isn't sealed anew
// (errMayBeReported).
func (r *Reporter) seal(ctx context.Context, window int64, late bool) (Counts, error) {
	entry, err := r.Store.Get(ctx, sealedKey(window))
	if err == nil {
		sealed, err := decodeCounts(entry.Value)
		if err != nil {
			return nil, err
		}
		return sealed, r.Seals.Add(window, sealed)
	}
	if !errors.Is(err, store.ErrNotFound) {
		return nil, err
	}
	if err := r.checkEra(); err != nil {
		return nil, err
	}
	if sealed, known := r.Seals.get(window); known {
		r.Log.Info("sealed figures are written again, the store has lost them", "window", window, "era", uint64(r.eraSince.Era()))
		r.SealsRewritten.Add(1)
		return sealed, r.writeSeal(ctx, window, sealed)
	}
	withheld := r.mayHaveBeenReported(window)
	sum, err := r.sum(ctx, window, late || withheld)
	if err != nil {
		return nil, err
	}
	if err := r.checkEra(); err != nil || len(sum) == 0 {
		return nil, err
	}
	if withheld {
		return nil, errMayBeReported
	}
	if err := r.writeSeal(ctx, window, sum); err != nil {
		return nil, err
	}
	return sum, r.Seals.Add(window, sum)
}

// writeSeal writes the sealed figures of a window, which the store must not have, and announces
// them to other nodes.
func (r *Reporter) writeSeal(ctx context.Context, window int64, sealed Counts) error {
	raw, err := json.Marshal(sealed)
	if err != nil {
		return err
	}
	lease, err := r.dataLease(ctx)
	if err != nil {
		return err
	}
	if _, err := r.Store.Put(ctx, sealedKey(window), raw, 0, lease); err != nil {
		r.forgetLostLease(err)
		return fmt.Errorf("write sealed figures of window %d: %w", window, err)
	}
	if r.OnSealed != nil {
		r.OnSealed(window, sealed)
	}
	return nil
}

// sum returns the counts of all nodes in a window. Unless late is true, it returns
// errNodesMissing if those of a node may be incomplete.
func (r *Reporter) sum(ctx context.Context, window int64, late bool) (Counts, error) {
	entries, _, err := r.Store.List(ctx, countsKey(window))
	if err != nil {
		return nil, err
	}
	published := r.decodePublished(window, entries)
	byIncarnation := r.Heard.forWindow(window)
	if byIncarnation == nil {
		byIncarnation = make(map[string]Counts)
	}
	if !late && (r.anyMissing(window, published, byIncarnation) || r.anyMissing(window, published, r.lastSealed)) {
		return nil, errNodesMissing
	}
	for incarnation, counts := range published {
		byIncarnation[incarnation] = maxCounts(byIncarnation[incarnation], counts)
	}
	r.lastSealed = byIncarnation
	sum := make(Counts)
	for _, counts := range byIncarnation {
		sum.add(counts)
	}
	return sum, nil
}

// anyMissing reports whether the counts of an expected incarnation in a window may be
// incomplete: they are not published, and it may still send more.
func (r *Reporter) anyMissing(window int64, published, expected map[string]Counts) bool {
	for incarnation := range expected {
		if _, ok := published[incarnation]; !ok && !r.Heard.isFinal(incarnation, window) {
			return true
		}
	}
	return false
}

// decodePublished returns the published counts of a window by incarnation. For this node
// it uses the counts in memory.
func (r *Reporter) decodePublished(window int64, entries []store.Entry) map[string]Counts {
	published := map[string]Counts{r.Incarnation: r.Counter.snapshot(window)[window]}
	for _, e := range entries {
		counts, err := decodeCounts(e.Value)
		if err != nil {
			r.Log.Info("cannot decode usage counts", "key", e.Key, "cause", err.Error())
			continue
		}
		incarnation := strings.TrimPrefix(e.Key, countsKey(window))
		published[incarnation] = maxCounts(published[incarnation], counts)
	}
	return published
}

// decodeCounts decodes counts. Negative counts and empty workspace names are errors.
func decodeCounts(raw []byte) (Counts, error) {
	var c Counts
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, err
	}
	return c, c.validate()
}

// validate returns an error if a count is negative or a workspace has no name.
func (c Counts) validate() error {
	for workspace, n := range c {
		if n < 0 || strings.TrimSpace(workspace) == "" {
			return fmt.Errorf("invalid count %d of workspace %q", n, workspace)
		}
	}
	return nil
}
