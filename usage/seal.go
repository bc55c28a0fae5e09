package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/figweir/figweir/store"
)

// behindWindows is by how many windows an owner may be behind before it looks for
// records that another one has written.
const behindWindows = 3

// originWindow is the window number of the record that fixes the first window
// of a shard. Two owners that start a shard at once must agree on it, or usage
// before the later first window would be reported twice.
const originWindow = 0

// load finds the newest sealed window, at the start and whenever this owner is
// so far behind that another one may have gone on.
func (o *Owner) load(ctx context.Context, last int64) error {
	behind := o.latest != nil && last-o.latest.Window > behindWindows*o.seconds()
	if o.loaded && !behind {
		return nil
	}
	r, err := o.newest(ctx, last)
	if err != nil {
		return fmt.Errorf("find the newest window of shard %d: %w", o.options.Shard, err)
	}
	o.loaded = true
	if r == nil || o.latest != nil && r.Window <= o.latest.Window {
		return nil
	}
	o.adopt(r)
	return nil
}

// newest returns the newest record up to window last, or nil if there is none.
// Records have no gaps, so it steps back by doubled distances to a window that
// has a record and searches between there and the last window without one. To
// list the shard can take 25 MB (288 records of 85 KB at the target size), so
// that is left for shards with few records and for outages beyond the horizon.
func (o *Owner) newest(ctx context.Context, last int64) (*Record, error) {
	absent := last + o.seconds()
	for distance := int64(0); distance <= int64(o.options.HorizonWindows); distance = max(1, 2*distance) {
		window := last - distance*o.seconds()
		r, err := o.read(ctx, window)
		if err == nil {
			return o.search(ctx, r, absent)
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

// search returns the newest record before window absent, which has none.
func (o *Owner) search(ctx context.Context, found *Record, absent int64) (*Record, error) {
	for {
		half := (absent - found.Window) / o.seconds() / 2
		if half == 0 {
			return found, nil
		}
		r, err := o.read(ctx, found.Window+half*o.seconds())
		switch {
		case err == nil:
			found = r
		case errors.Is(err, store.ErrNotFound):
			absent = found.Window + half*o.seconds()
		default:
			return nil, err
		}
	}
}

func (o *Owner) read(ctx context.Context, window int64) (*Record, error) {
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

// start fixes the first window of a shard that has no record yet: the oldest
// one that usage was collected for, but none before the horizon.
func (o *Owner) start(ctx context.Context, last int64) error {
	if settled, err := o.readBack(ctx, originWindow); settled || err != nil {
		return err
	}
	first := last
	for key := range o.pending {
		first = min(first, key.window)
	}
	token := o.options.NewToken()
	return o.write(ctx, &Record{
		Token: token, Shard: o.options.Shard, Shards: o.options.Shards, Window: originWindow,
		WindowSeconds: o.seconds(), FirstWindow: max(first, o.horizon(last)),
	})
}

// seal makes sure that the record of the window exists and adopts it.
func (o *Owner) seal(ctx context.Context, window int64) error {
	if settled, err := o.readBack(ctx, window); settled || err != nil {
		return err
	}
	r, err := o.build(ctx, window)
	if err != nil {
		return err
	}
	return o.write(ctx, r)
}

// readBack decides the outcome of an earlier write of the window if that is
// unknown. It reports whether the record exists; if not, a write that still
// arrives meets a create-only write of the same key, and one of them fails.
func (o *Owner) readBack(ctx context.Context, window int64) (settled bool, err error) {
	tried := o.unknown
	if tried == nil || tried.Window != window {
		return false, nil
	}
	stored, err := o.read(ctx, window)
	switch {
	case err == nil:
		o.decide(ctx, tried, stored)
		return true, nil
	case errors.Is(err, store.ErrNotFound):
		o.unknown = nil
		return false, nil
	default:
		return false, err
	}
}

// write creates the record and adopts whatever record the store then has.
func (o *Owner) write(ctx context.Context, r *Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = o.options.Store.Put(ctx, recordKey(r.Shard, r.Window), value, 0, 0)
	switch {
	case err == nil:
		o.records[r.Window] = r
		o.decide(ctx, r, r)
		return nil
	case errors.Is(err, store.ErrAmbiguous):
		o.unknown = r
	case !errors.Is(err, store.ErrConflict):
		return err
	}
	stored, err := o.read(ctx, r.Window)
	if err != nil {
		return err
	}
	o.decide(ctx, r, stored)
	return nil
}

// decide adopts the stored record of a window that this owner tried to write.
func (o *Owner) decide(ctx context.Context, tried, stored *Record) {
	o.unknown = nil
	o.adopt(stored)
	if stored.Window == originWindow {
		return
	}
	if stored.Token != tried.Token {
		o.count(func(s *OwnerStats) { s.Adopted++ })
		return
	}
	var amount Figures
	for _, c := range stored.Corrections {
		amount = amount.Plus(Figures{c.Calls, c.PromptTokens, c.OutputTokens})
	}
	o.count(func(s *OwnerStats) {
		s.Sealed++
		s.Corrections += uint64(len(stored.Corrections))
		s.Corrected = s.Corrected.Plus(amount)
	})
	o.prune(ctx)
}

// adopt makes r the newest record and drops the pending totals that are
// accounted for in it.
func (o *Owner) adopt(r *Record) {
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
		done, ok := o.corrected[key]
		if !ok && key.window == r.Window {
			done = contributions[key]
		}
		if f.Beyond(done).IsZero() {
			delete(o.pending, key)
		}
	}
	o.advanceSealed(r.Window)
	for _, window := range r.Unreported {
		o.noteUnreported(window)
	}
	o.noteUnreported(r.Window)
	o.trimRecords()
}

func (o *Owner) noteUnreported(window int64) {
	if !o.reported[window] {
		o.unreported[window] = true
	}
}

// advanceSealed lets the nodes drop their totals up to window if none that was
// collected for these windows is still pending.
func (o *Owner) advanceSealed(window int64) {
	for key := range o.pending {
		if key.window <= window {
			return
		}
	}
	for _, c := range o.nodes {
		if c.window >= window {
			c.sealedWindow, c.sealedVersion = window, c.version
		}
	}
}

// trimRecords keeps the records of the newest two windows, which late totals
// refer to most often.
func (o *Owner) trimRecords() {
	keep := o.latest.Window - o.seconds()
	maps.DeleteFunc(o.records, func(window int64, _ *Record) bool { return window < keep })
	horizon := o.horizon(o.latest.Window)
	maps.DeleteFunc(o.reported, func(window int64, _ bool) bool { return window < horizon })
}

// horizon returns the oldest window whose late totals are accepted in the
// record of window.
func (o *Owner) horizon(window int64) int64 {
	return window - int64(o.options.HorizonWindows)*o.seconds()
}

// build makes the record of a window from the pending totals.
func (o *Owner) build(ctx context.Context, window int64) (*Record, error) {
	token := o.options.NewToken()
	r := &Record{
		Token:       token,
		ReportID:    fmt.Sprintf("usage-%d-%d-%s", o.options.Shard, window, token),
		Shard:       o.options.Shard,
		Shards:      o.options.Shards,
		Window:      window,
		FirstWindow: o.firstWindow, WindowSeconds: o.seconds(),
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
			o.count(func(s *OwnerStats) { s.TooLate = s.TooLate.Plus(f) })
			delete(o.pending, key)
		default:
			done, err := o.accounted(ctx, key)
			if err != nil {
				return nil, fmt.Errorf("compare late totals with window %d: %w", key.window, err)
			}
			if beyond := f.Beyond(done); !beyond.IsZero() {
				late[key] = beyond
				corrected[key] = f.Max(done)
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

// accounted returns how much of a running total of an earlier window has been
// sealed, as figures of its window or as corrections.
func (o *Owner) accounted(ctx context.Context, key ledgerKey) (Figures, error) {
	if f, ok := o.corrected[key]; ok {
		return f, nil
	}
	if key.window < o.firstWindow {
		return Figures{}, nil
	}
	r, err := o.read(ctx, key.window)
	if err != nil {
		// Another owner has gone on and pruned the record.
		o.loaded = o.loaded && !errors.Is(err, store.ErrNotFound)
		return Figures{}, err
	}
	return r.total(key), nil
}

// prune deletes the record that has passed the horizon. A failure leaves it for
// operators to delete; it is never read again.
func (o *Owner) prune(ctx context.Context) {
	window := o.horizon(o.latest.Window) - o.seconds()
	if window < o.firstWindow || o.unreported[window] {
		return
	}
	key := recordKey(o.options.Shard, window)
	if entry, err := o.options.Store.Get(ctx, key); err == nil {
		_ = o.options.Store.Delete(ctx, key, entry.Revision)
	}
}
