package store

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// EraSince states since when an era of the store is known: what was written before may be gone. Only
// one goroutine may use it.
type EraSince struct {
	era Era
	// since is a time at which the era had already begun.
	since time.Time
	// recorded is true once since was compared with the record in the store.
	recorded bool
}

// eraRecord is the value of the record that states since when an era is known.
type eraRecord struct {
	Era Era `json:"era"`
	// SinceMillis is in milliseconds since 1970.
	SinceMillis int64 `json:"since_unix_ms"`
}

// Era returns the era; 0 if the store states none.
func (s *EraSince) Era() Era { return s.era }

// Update records the newest era seen at a time. It reports whether that is another one.
func (s *EraSince) Update(era Era, now time.Time) (changed bool) {
	if era == s.era {
		return false
	}
	*s = EraSince{era: era, since: now}
	return true
}

// Precedes reports whether a time may be before the begin of the era, for clocks that differ by
// maxClockError at most. It is false if the store states no era.
func (s *EraSince) Precedes(at time.Time, maxClockError time.Duration) bool {
	return s.era != 0 && at.Before(s.since.Add(maxClockError))
}

// Record compares the time since when this process knows the era with the record under key, which
// the first process in the era writes: one that has just started knows of it only since then. It does
// so once in each era. It returns the errors of the store; the next call tries again.
func (s *EraSince) Record(ctx context.Context, st Store, key string) error {
	if s.era == 0 || s.recorded {
		return nil
	}
	entry, err := st.Get(ctx, key)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return err
	}
	var record eraRecord
	if err == nil && json.Unmarshal(entry.Value, &record) == nil && record.Era == s.era {
		if since := time.UnixMilli(record.SinceMillis); since.Before(s.since) {
			s.since = since
		}
		s.recorded = true
		return nil
	}
	raw, err := json.Marshal(eraRecord{s.era, s.since.UnixMilli()})
	if err == nil {
		_, err = st.Put(ctx, key, raw, entry.Revision, NoLease)
	}
	s.recorded = err == nil
	return err
}
