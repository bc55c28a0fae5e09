package authority

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/figweir/figweir/store"
)

const (
	// journalPrefix starts the store keys of journals.
	journalPrefix = "journal/"
	// maxRecordBytes bounds a journal record. A duty covers at most 94 targets;
	// intents of the greatest size on all of them need less than half of this.
	maxRecordBytes = store.MaxValueBytes / 2
)

// record is the value of journal/<duty>.
type record struct {
	// Token identifies the write; it decides after a lost answer.
	Token string `json:"token"`
	// Epoch grows by one whenever a process takes the journal over.
	Epoch  uint64  `json:"epoch"`
	Holder Process `json:"holder"`
	// Next is the number of the next intent. It never falls.
	Next    uint64   `json:"next"`
	Intents []Intent `json:"intents,omitempty"`
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

// clone returns a copy whose intents can be changed without changing those of
// r.
func (r *record) clone() *record {
	c := *r
	c.Intents = slices.Clone(r.Intents)
	return &c
}

// find returns the intent with the given order id, or nil.
func (r *record) find(orderID string) *Intent {
	for i := range r.Intents {
		if r.Intents[i].OrderID == orderID {
			return &r.Intents[i]
		}
	}
	return nil
}

// remove closes the intents that drop selects and returns them.
func (r *record) remove(drop func(Intent) bool) []Intent {
	var dropped []Intent
	kept := r.Intents[:0]
	for _, intent := range r.Intents {
		if drop(intent) {
			dropped = append(dropped, intent)
		} else {
			kept = append(kept, intent)
		}
	}
	r.Intents = kept
	return dropped
}

// add opens an intent with the next number.
func (r *record) add(intent Intent) Intent {
	r.Next++
	intent.Number = r.Next
	r.Intents = append(r.Intents, intent)
	return intent
}
