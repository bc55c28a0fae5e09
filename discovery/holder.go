package discovery

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/store"
)

// Holder follows which process holds a duty.
type Holder struct {
	key     string
	decode  func(raw []byte) (address string, err error)
	log     logr.Logger
	follow  follower
	address atomic.Pointer[string]
}

// holderBound is the time in which a new holder is known. Others send it their
// usage counts, and a free duty is taken.
const holderBound = 4 * time.Second

// holderPause collects changes of the holder. A duty that is free costs little
// for a moment.
const holderPause = 200 * time.Millisecond

// NewHolder returns a follower of the leased record under key; decode returns the
// address of its holder.
func NewHolder(key string, decode func([]byte) (string, error), log logr.Logger) *Holder {
	return &Holder{key: key, decode: decode, log: log, follow: follower{prefix: key, log: log, bound: holderBound, pause: fixed(holderPause)}}
}

// Run follows the record until ctx ends.
func (h *Holder) Run(ctx context.Context, st store.Store, onRead func()) {
	h.follow.store, h.follow.onRead = st, onRead
	h.follow.run(ctx, h)
}

// Address returns the address of the holder; empty if the duty is free. known is
// false before the record has been looked for.
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
			address = h.read(e.Value)
		}
	}
	h.set(address)
}

func (h *Holder) apply(events []store.Event, _ store.Revision, _ bool) {
	for _, e := range events {
		if e.Entry.Key != h.key {
			continue
		}
		if e.Deleted {
			h.set("")
		} else {
			h.set(h.read(e.Entry.Value))
		}
	}
}

func (h *Holder) read(raw []byte) string {
	address, err := h.decode(raw)
	if err != nil {
		h.log.Info("record of the duty not readable", "key", h.key, "cause", err.Error())
	}
	return address
}

func (h *Holder) set(address string) {
	if old := h.address.Swap(&address); old == nil || *old != address {
		h.log.Info("holder of the duty", "key", h.key, "address", address)
	}
}
