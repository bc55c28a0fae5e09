package authority

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/figweir/figweir/store"
)

const (
	// journalPrefix is the prefix of the store keys of journals.
	journalPrefix = "journal/"
	// maxRecordBytes limits the size of a journal record. A duty covers at most
	// 94 targets; intents of maximum size on all of them need less than half of
	// this.
	maxRecordBytes = store.MaxValueBytes / 2
)

// record is the value stored under journal/<duty>.
type record struct {
	// WriteID identifies the write. After a lost response it shows whether the
	// write took effect.
	WriteID string `json:"token"`
	// Epoch increases whenever a process takes the journal over, also when the store is
	// restored.
	Epoch  uint64  `json:"epoch"`
	Holder Process `json:"holder"`
	// LastNumber is the number of the last opened intent. Later ones are greater, also when the
	// store is restored.
	LastNumber uint64   `json:"next"`
	Intents    []Intent `json:"intents,omitempty"`
}

func decodeRecord(entry store.Entry) (record, error) {
	var r record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return record{}, fmt.Errorf("%s: %w", entry.Key, err)
	}
	return r, nil
}

func (r *record) encode() ([]byte, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	if len(raw) > maxRecordBytes {
		return nil, fmt.Errorf("%w: %d bytes with %d intents", ErrRecordTooLarge, len(raw), len(r.Intents))
	}
	return raw, nil
}

// clone returns a copy whose intents can be changed without affecting r.
func (r *record) clone() *record {
	c := *r
	c.Intents = slices.Clone(r.Intents)
	return &c
}

// find returns the intent with the order ID, or nil.
func (r *record) find(orderID string) *Intent {
	for i := range r.Intents {
		if r.Intents[i].OrderID == orderID {
			return &r.Intents[i]
		}
	}
	return nil
}

// remove removes the intents for which selected returns true, and returns them.
func (r *record) remove(selected func(Intent) bool) []Intent {
	var removed []Intent
	kept := r.Intents[:0]
	for _, intent := range r.Intents {
		if selected(intent) {
			removed = append(removed, intent)
		} else {
			kept = append(kept, intent)
		}
	}
	r.Intents = kept
	return removed
}

// add appends an intent with the next number, which is greater than after, and returns it.
func (r *record) add(intent Intent, after uint64) Intent {
	r.LastNumber = max(r.LastNumber, after) + 1
	intent.Number = r.LastNumber
	r.Intents = append(r.Intents, intent)
	return intent
}
