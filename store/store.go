// Package store defines the interface to the platform's key-value store, which offers
// compare-and-swap, leases and watches.
package store

import (
	"context"
	"errors"
	"time"
)

// Revision identifies a change: the era of the store in its upper bits, and the number of the
// change in that era in the lower ones. All keys share one increasing sequence, which no restore
// of the store sets back. For a key, revision 0 means that the key does not exist.
type Revision uint64

// LeaseID identifies a lease. The store gives the numbers of an earlier era out again.
type LeaseID struct {
	// Era is the era in which the lease was granted.
	Era Era `json:"era"`
	// Number is the number of the lease within its era, as the store states it; 0 means "no
	// lease".
	Number uint64 `json:"number"`
}

// NoLease is the ID of no lease.
var NoLease = LeaseID{}

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// Errors returned by every implementation, possibly wrapped.
var (
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrConflict means that the key was not at the expected revision; the
	// write had no effect.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable means that the store did not execute the call.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrAmbiguous means that no response arrived: the write may or may not have
	// taken effect.
	ErrAmbiguous = errors.New("store: outcome unknown")
	// ErrCompacted means that the store no longer has all changes that a watch
	// requested, or that they belong to an earlier era; the caller must list again.
	ErrCompacted = errors.New("store: history compacted")
	// ErrTooLarge means that the value exceeds MaxValueBytes; the write had no
	// effect.
	ErrTooLarge = errors.New("store: value too large")
)

// Entry is a key with its value and metadata.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the revision of the last change of this key.
	Revision Revision `json:"revision"`
	Lease    LeaseID  `json:"lease,omitzero"`
}

// Event is a change of one key. Entry.Value is nil if the key was deleted.
type Event struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
}

// Store is a client of the platform's key-value store. Reads return the current value.
// All methods are safe for concurrent use. A revision or lease of an earlier era fits nothing: it
// conflicts, doesn't exist, or is compacted.
type Store interface {
	// Get returns one entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, sorted by key, and the
	// revision of the store at that time.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Put writes value if the key is at revision expected (0: if it does not exist)
	// and returns the new revision; otherwise it returns ErrConflict. If lease is not
	// NoLease, the key is deleted when the lease lapses.
	Put(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, error)
	// Delete removes the key if it is at revision expected; otherwise it returns
	// ErrConflict, or ErrNotFound if the key does not exist.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch waits until a key that starts with prefix has changed after the given
	// revision, until wait has passed, or until ctx ends. It returns the changes in
	// order and the revision to continue from, or ErrCompacted if some of the changes
	// are no longer available.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Grant creates a lease that lapses after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease to its ttl from now. It returns ErrNotFound if the lease
	// has lapsed.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}
