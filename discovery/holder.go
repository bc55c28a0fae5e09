package discovery

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/store"
)

// Holder follows the record of a duty and stores the address of its holder.
type Holder struct {
	key      string
	decode   func(e store.Entry) (address string, err error)
	log      logr.Logger
	follower follower
	address  atomic.Pointer[string]
}

// holderBound is the time within which a change of holder is read. Other nodes send
// their usage counts to the holder, and candidates acquire a duty that is free.
const holderBound = 4 * time.Second

// holderBatchDelay is the time over which changes of the record are batched. A duty
// may stay free that long at little cost.
const holderBatchDelay = 200 * time.Millisecond

// NewHolder returns a follower of the leased record under key. decode returns the
// address of the holder named in the record, "" if the record is nobody's.
func NewHolder(key string, decode func(store.Entry) (string, error), log logr.Logger) *Holder {
	return &Holder{key: key, decode: decode, log: log, follower: follower{prefix: key, log: log, bound: holderBound, batchDelay: constantDelay(holderBatchDelay)}}
}

// Run follows the record until ctx ends.
func (h *Holder) Run(ctx context.Context, st store.Store, onResponse func()) {
	h.follower.store, h.follower.onResponse = st, onResponse
	h.follower.run(ctx, h)
}

// Address returns the address of the holder, or "" if the duty is free. known is
// false until the record has been read for the first time.
func (h *Holder) Address() (address string, known bool) {
	p := h.address.Load()
	if p == nil {
		return "", false
	}
	return *p, true
}

func (h *Holder) reset(entries []store.Entry, _ store.Revision, _ bool) {
	address := ""
	for _, e := range entries {
		if e.Key == h.key {
			address = h.decodeAddress(e)
		}
	}
	h.setAddress(address)
}

func (h *Holder) apply(events []store.Event, _ store.Revision, _ bool) {
	for _, e := range events {
		if e.Entry.Key != h.key {
			continue
		}
		if e.Deleted {
			h.setAddress("")
		} else {
			h.setAddress(h.decodeAddress(e.Entry))
		}
	}
}

func (h *Holder) decodeAddress(e store.Entry) string {
	address, err := h.decode(e)
	if err != nil {
		h.log.Info("cannot decode duty record", "key", h.key, "cause", err.Error())
	}
	return address
}

func (h *Holder) setAddress(address string) {
	if old := h.address.Swap(&address); old == nil || *old != address {
		h.log.Info("holder of the duty", "key", h.key, "address", address)
	}
}
