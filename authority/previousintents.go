package authority

import (
	"context"
	"time"

	"github.com/figweir/figweir/store"
)

// ClosePreviousIntents closes the intents that earlier incarnations at the process's
// address have left in any journal, and returns their number. It waits until
// the connection timeout has passed since started, the time at which the
// process had bound its address. Failed store calls are retried until ctx ends,
// whose error it then returns. It costs one list call per start of a process,
// and one write per journal with such an intent.
func ClosePreviousIntents(ctx context.Context, s store.Store, process Process, clock Clock, started time.Time, options JournalOptions) (int, error) {
	if wait := started.Add(options.ConnectionTimeout).Sub(clock.Now()); wait > 0 {
		if err := clock.Sleep(ctx, wait); err != nil {
			return 0, err
		}
	}
	total := 0
	for {
		closed, err := closePreviousOnce(ctx, s, process, options)
		total += closed
		if err == nil {
			return total, nil
		}
		if err := clock.Sleep(ctx, options.SweepInterval); err != nil {
			return total, err
		}
	}
}

func closePreviousOnce(ctx context.Context, s store.Store, process Process, options JournalOptions) (int, error) {
	listCtx, cancel := context.WithTimeout(ctx, options.StoreTimeout)
	defer cancel()
	entries, _, err := s.List(listCtx, journalPrefix)
	if err != nil {
		return 0, err
	}
	isPrevious := func(i Intent) bool { return isPreviousIncarnation(i.Writer, process) }
	total := 0
	for _, entry := range entries {
		r, err := decodeRecord(entry)
		if err != nil {
			return total, err
		}
		if len(r.remove(isPrevious)) == 0 {
			continue
		}
		var closed []Intent
		w := newRecordWriter(s, entry.Key, options.StoreTimeout, &counters{}, nil)
		err = w.commit(ctx, func(r *record) (bool, error) {
			closed = r.remove(isPrevious)
			return len(closed) > 0, nil
		})
		if err != nil {
			return total, err
		}
		total += len(closed)
	}
	return total, nil
}
