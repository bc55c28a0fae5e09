package node

import (
	"context"
	"expvar"
	"strings"
	"time"

	"github.com/figweir/figweir/store"
)

// countingStore counts store calls by mechanism, which is the first path segment
// of the key.
type countingStore struct {
	store.Store
	calls *expvar.Map
}

// countCalls returns a store that counts the calls to s.
func countCalls(s store.Store, calls *expvar.Map) store.Store { return countingStore{s, calls} }

func (c countingStore) count(key string) {
	mechanism, _, _ := strings.Cut(key, "/")
	c.calls.Add(mechanism, 1)
}

// Get implements store.Store.
func (c countingStore) Get(ctx context.Context, key string) (store.Entry, error) {
	c.count(key)
	return c.Store.Get(ctx, key)
}

// List implements store.Store.
func (c countingStore) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	c.count(prefix)
	return c.Store.List(ctx, prefix)
}

// Put implements store.Store.
func (c countingStore) Put(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	c.count(key)
	return c.Store.Put(ctx, key, value, expected, lease)
}

// Delete implements store.Store.
func (c countingStore) Delete(ctx context.Context, key string, expected store.Revision) error {
	c.count(key)
	return c.Store.Delete(ctx, key, expected)
}

// Watch implements store.Store.
func (c countingStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	c.count(prefix)
	return c.Store.Watch(ctx, prefix, after, wait)
}

// Grant implements store.Store.
func (c countingStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	c.count("lease")
	return c.Store.Grant(ctx, ttl)
}

// Renew implements store.Store.
func (c countingStore) Renew(ctx context.Context, lease store.LeaseID) error {
	c.count("lease")
	return c.Store.Renew(ctx, lease)
}

// Revoke implements store.Store.
func (c countingStore) Revoke(ctx context.Context, lease store.LeaseID) error {
	c.count("lease")
	return c.Store.Revoke(ctx, lease)
}
