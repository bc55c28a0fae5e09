package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/figweir/figweir/store"
)

// maxLagWindows is the number of windows that an owner may lag behind before it
// checks whether another owner has written records.
const maxLagWindows = 3

// originWindow is the window number of the record that stores the first window
// of a shard. Two owners that start a shard at the same time must agree on the
// first window. Otherwise usage from before the later one would be reported
// twice.
const originWindow = 0

// loadNewest loads the newest record when the owner starts, and again if the
// owner lags so far behind that another one may have written records.
func (o *Owner) loadNewest(ctx context.Context, last int64) error {
	lagging := o.latest != nil && last-o.latest.Window > maxLagWindows*o.windowSeconds()
	if o.loaded && !lagging {
		return nil
	}
	r, err := o.findNewest(ctx, last)
	if err != nil {
		return fmt.Errorf("find the newest record of shard %d: %w", o.options.Shard, err)
	}
	o.loaded = true
	if r == nil || o.latest != nil && r.Window <= o.latest.Window {
		return nil
	}
	o.applyRecord(r)
	return nil
}

// findNewest returns the newest record up to window last, or nil if there is
// none. Records have no gaps. It therefore goes back in doubling steps until it
// finds a window with a record, and then searches between that window and the
// oldest one known to have none. Listing the shard can transfer 25 MB (288
// records of 85 KB at the target size) and is used only for shards with few
// records and after outages longer than the horizon.
func (o *Owner) findNewest(ctx context.Context, last int64) (*Record, error) {
	absent := last + o.windowSeconds()
	for distance := int64(0); distance <= int64(o.options.HorizonWindows); distance = max(1, 2*distance) {
		window := last - distance*o.windowSeconds()
		r, err := o.readRecord(ctx, window)
		if err == nil {
			return o.searchNewest(ctx, r, absent)
		}
		if !errors.Is(err, store.ErrNotFound) {
			return nil, err
		}
		absent = window
	}
	entries, _, err := o.options.Store.List(ctx, recordPrefix(o.options.Shard))
	if err != nil || len(entries) == 0 {
		return nil, err
	}
	return decodeRecord(entries[len(entries)-1].Value)
}

// searchNewest does a binary search for the newest record between found and the
// window absent, which has none.
func (o *Owner) searchNewest(ctx context.Context, found *Record, absent int64) (*Record, error) {
	for {
		distance := (absent - found.Window) / o.windowSeconds() / 2
		if distance == 0 {
			return found, nil
		}
		r, err := o.readRecord(ctx, found.Window+distance*o.windowSeconds())
		switch {
		case err == nil:
			found = r
		case errors.Is(err, store.ErrNotFound):
			absent = found.Window + distance*o.windowSeconds()
		default:
			return nil, err
		}
	}
}

// readRecord returns the record of a window from the cache or the store.
func (o *Owner) readRecord(ctx context.Context, window int64) (*Record, error) {
	if r := o.records[window]; r != nil {
		return r, nil
	}
	entry, err := o.options.Store.Get(ctx, recordKey(o.options.Shard, window))
	if err != nil {
		return nil, err
	}
	r, err := decodeRecord(entry.Value)
	if err != nil {
		return nil, err
	}
	o.records[window] = r
	return r, nil
}

// storeFirstWindow stores the first window of a shard that has no records: the
// oldest window with collected usage, but none before the horizon.
func (o *Owner) storeFirstWindow(ctx context.Context, last int64) error {
	if exists, err := o.resolveAmbiguous(ctx, originWindow); exists || err != nil {
		return err
	}
	first := last
	for key := range o.pending {
		first = min(first, key.window)
	}
	token := o.options.NewToken()
	return o.writeRecord(ctx, &Record{
		Token: token, Shard: o.options.Shard, Shards: o.options.Shards, Window: originWindow,
		WindowSeconds: o.windowSeconds(), FirstWindow: max(first, o.horizon(last)),
	})
}

// seal ensures that the record of the window exists, and applies it.
func (o *Owner) seal(ctx context.Context, window int64) error {
	if exists, err := o.resolveAmbiguous(ctx, window); exists || err != nil {
		return err
	}
	r, err := o.buildRecord(ctx, window)
	if err != nil {
		return err
	}
	if err := o.checkEra(); err != nil {
		return err
	}
	return o.writeRecord(ctx, r)
}

// resolveAmbiguous resolves an earlier write of the window whose outcome is
// unknown. It reports whether the record exists. If it doesn't, the write may
// still arrive, but the next write of the key is create-only, so only one of
// the two succeeds.
func (o *Owner) resolveAmbiguous(ctx context.Context, window int64) (exists bool, err error) {
	attempted := o.ambiguous
	if attempted == nil || attempted.Window != window {
		return false, nil
	}
	stored, err := o.readRecord(ctx, window)
	switch {
	case err == nil:
		o.finishWrite(ctx, attempted, stored)
		return true, nil
	case errors.Is(err, store.ErrNotFound):
		o.ambiguous = nil
		return false, nil
	default:
		return false, err
	}
}

// writeRecord creates the record and applies the record that the store contains
// afterwards, which may be another owner's.
func (o *Owner) writeRecord(ctx context.Context, r *Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = o.options.Store.Put(ctx, recordKey(r.Shard, r.Window), value, 0, store.NoLease)
	switch {
	case err == nil:
		o.records[r.Window] = r
		o.finishWrite(ctx, r, r)
		return nil
	case errors.Is(err, store.ErrAmbiguous):
		o.ambiguous = r
	case !errors.Is(err, store.ErrConflict):
		return err
	}
	stored, err := o.readRecord(ctx, r.Window)
	if err != nil {
		return err
	}
	o.finishWrite(ctx, r, stored)
	return nil
}

// finishWrite applies the stored record of a window that this owner tried to
// write.
func (o *Owner) finishWrite(ctx context.Context, attempted, stored *Record) {
	o.ambiguous = nil
	o.applyRecord(stored)
	if stored.Window == originWindow {
		return
	}
	if stored.Token != attempted.Token {
		o.updateStats(func(s *OwnerStats) { s.Adopted++ })
		return
	}
	if stored.Withheld {
		o.updateStats(func(s *OwnerStats) { s.Withheld++ })
	}
	var amount Figures
	for _, c := range stored.Corrections {
		amount = amount.Add(Figures{c.Calls, c.PromptTokens, c.OutputTokens})
	}
	o.updateStats(func(s *OwnerStats) {
		s.Sealed++
		s.Corrections += uint64(len(stored.Corrections))
		s.Corrected = s.Corrected.Add(amount)
	})
	o.deleteExpired(ctx)
}

// applyRecord makes r the newest record and deletes the pending totals that it
// covers.
func (o *Owner) applyRecord(r *Record) {
	o.firstWindow = r.FirstWindow
	if r.Window == originWindow {
		return
	}
	o.latest = r
	o.corrected = r.corrected()
	contributions := r.contributions()
	for key, f := range o.pending {
		if key.window > r.Window {
			continue
		}
		sealed, ok := o.corrected[key]
		if !ok && key.window == r.Window {
			sealed = contributions[key]
		}
		if f.ExcessOver(sealed).IsZero() {
			delete(o.pending, key)
		}
	}
	o.advanceSealed(r.Window)
	for _, window := range r.Unreported {
		o.addUnreported(window)
	}
	if !r.Withheld {
		o.addUnreported(r.Window)
	}
	o.trimRecords()
}

// addUnreported adds a window to the unreported ones, unless its report was
// confirmed to this owner.
func (o *Owner) addUnreported(window int64) {
	if !o.reported[window] {
		o.unreported[window] = true
	}
}

// advanceSealed allows the nodes to drop their totals up to window, unless a
// collected total of these windows is still pending.
func (o *Owner) advanceSealed(window int64) {
	for key := range o.pending {
		if key.window <= window {
			return
		}
	}
	for _, c := range o.cursors {
		if c.window >= window {
			c.sealedWindow, c.sealedVersion = window, c.version
		}
	}
}

// trimRecords keeps the cached records of the two newest windows, because late
// totals mostly belong to these.
func (o *Owner) trimRecords() {
	oldestKept := o.latest.Window - o.windowSeconds()
	maps.DeleteFunc(o.records, func(window int64, _ *Record) bool { return window < oldestKept })
	horizon := o.horizon(o.latest.Window)
	maps.DeleteFunc(o.reported, func(window int64, _ bool) bool { return window < horizon })
}

// horizon returns the oldest window whose late totals the record of window
// accepts.
func (o *Owner) horizon(window int64) int64 {
	return window - int64(o.options.HorizonWindows)*o.windowSeconds()
}

// eraKey is the key of the record that states since when the era of the store is known.
const eraKey = "usage-era"

// maxClockError is how much the clocks of two owners may differ.
const maxClockError = time.Second

// updateEra notices another era of the store. What this owner has read or written may be gone then,
// so it reads the newest record again.
func (o *Owner) updateEra(ctx context.Context, now time.Time) error {
	if o.options.Era == nil {
		return nil
	}
	if o.eraSince.Update(o.options.Era(), now) {
		o.loaded, o.latest, o.ambiguous, o.firstWindow = false, nil, nil, 0
		clear(o.records)
	}
	return o.eraSince.Record(ctx, o.options.Store, eraKey)
}

// errStoreRestored means that the store was restored during a step: what was read may be gone.
var errStoreRestored = errors.New("usage: the store was restored")

// checkEra returns an error if the era has changed since the step began.
func (o *Owner) checkEra() error {
	if o.options.Era != nil && o.options.Era() != o.eraSince.Era() {
		return errStoreRestored
	}
	return nil
}

// mayHaveBeenReported reports whether a window without a record may have been sealed and reported by
// an owner in an earlier era.
func (o *Owner) mayHaveBeenReported(window int64) bool {
	due := time.Unix(window+o.windowSeconds(), 0).Add(o.options.Grace)
	return o.eraSince.Precedes(due, maxClockError)
}

// buildRecord builds the record of a window from the pending totals.
func (o *Owner) buildRecord(ctx context.Context, window int64) (*Record, error) {
	token := o.options.NewToken()
	r := &Record{
		Withheld:    o.mayHaveBeenReported(window),
		Token:       token,
		ReportID:    fmt.Sprintf("usage-%d-%d-%s", o.options.Shard, window, token),
		Shard:       o.options.Shard,
		Shards:      o.options.Shards,
		Window:      window,
		FirstWindow: o.firstWindow, WindowSeconds: o.windowSeconds(),
		Unreported: slices.Sorted(maps.Keys(o.unreported)),
	}
	horizon := o.horizon(window)
	contributions := make(map[ledgerKey]Figures)
	late := make(map[ledgerKey]Figures)
	corrected := maps.Clone(o.corrected)
	if corrected == nil {
		corrected = make(map[ledgerKey]Figures)
	}
	maps.DeleteFunc(corrected, func(key ledgerKey, _ Figures) bool { return key.window < horizon })
	for key, f := range o.pending {
		switch {
		case key.window > window:
		case key.window == window:
			contributions[key] = f
		case key.window < horizon:
			o.updateStats(func(s *OwnerStats) { s.TooLate = s.TooLate.Add(f) })
			delete(o.pending, key)
		default:
			sealed, err := o.sealedFigures(ctx, key)
			if err != nil {
				return nil, fmt.Errorf("compare late totals with window %d: %w", key.window, err)
			}
			if excess := f.ExcessOver(sealed); !excess.IsZero() {
				late[key] = excess
				corrected[key] = f.Max(sealed)
			} else {
				delete(o.pending, key)
			}
		}
	}
	r.setContributions(contributions)
	r.setCorrections(late)
	r.setCorrected(corrected)
	return r, nil
}

// sealedFigures returns how much of a running total of an earlier window is
// sealed, in the record of its window or as corrections.
func (o *Owner) sealedFigures(ctx context.Context, key ledgerKey) (Figures, error) {
	if f, ok := o.corrected[key]; ok {
		return f, nil
	}
	if key.window < o.firstWindow {
		return Figures{}, nil
	}
	r, err := o.readRecord(ctx, key.window)
	if err != nil {
		// Another owner has sealed newer windows and deleted the record.
		o.loaded = o.loaded && !errors.Is(err, store.ErrNotFound)
		return Figures{}, err
	}
	return r.total(key), nil
}

// deleteExpired deletes the record that has passed the horizon. If that fails,
// the record stays until an operator deletes it; it is never read again.
func (o *Owner) deleteExpired(ctx context.Context) {
	window := o.horizon(o.latest.Window) - o.windowSeconds()
	if window < o.firstWindow || o.unreported[window] {
		return
	}
	key := recordKey(o.options.Shard, window)
	if entry, err := o.options.Store.Get(ctx, key); err == nil {
		_ = o.options.Store.Delete(ctx, key, entry.Revision)
	}
}
