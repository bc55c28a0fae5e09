// Package store is the client side of the platform's key-value service:
// compare-and-swap, leases and watches.
package store

import (
	"context"
	"errors"
	"time"
)

// Revision numbers the changes of the whole store. It only grows. Revision 0
// means "does not exist".
type Revision uint64

// LeaseID identifies a lease. 0 means "no lease".
type LeaseID uint64

// MaxValueBytes is the largest value that the store takes.
const MaxValueBytes = 1 << 20

// Errors that every implementation returns, possibly wrapped.
var (
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrConflict means that the key was not at the expected revision; the
	// write had no effect.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable means that the store did not act on the call.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrAmbiguous means that the answer was lost: the write may or may not
	// have taken effect.
	ErrAmbiguous = errors.New("store: outcome unknown")
	// ErrCompacted means that a watch asked for changes that the store no
	// longer has; the caller must list again.
	ErrCompacted = errors.New("store: history compacted")
	// ErrTooLarge means that the value exceeds MaxValueBytes; the write had no
	// effect.
	ErrTooLarge = errors.New("store: value too large")
)

// Entry is a key with its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is that of the last change of this key.
	Revision Revision `json:"revision"`
	Lease    LeaseID  `json:"lease,omitempty"`
}

// Event is a change of one key. Entry.Value is nil if the key was deleted.
type Event struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
}

// Store is the platform's key-value service. Reads return the current value.
// All methods are safe for concurrent use.
type Store interface {
	// Get returns one entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, in key order, and
	// the revision of the store at that moment.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Put writes value if the key is at revision expected (0: if it does not
	// exist) and returns the new revision. A lease other than 0 deletes the
	// key when it lapses.
	Put(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, error)
	// Delete removes the key if it is at revision expected.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch waits until a key that starts with prefix has changed after the
	// given revision, or until ctx ends or wait has passed, and returns the
	// changes in order with the revision to continue from.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Grant creates a lease that lapses after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its ttl from now, or returns ErrNotFound if it
	// has lapsed.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}
