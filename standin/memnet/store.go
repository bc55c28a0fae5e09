package memnet

import (
	"context"
	"time"

	"github.com/figweir/figweir/store"
)

// PartitionedStore wraps a store.Store that a network partition can cut off. While
// Partitioned returns true, calls have no effect and block until their context ends;
// then they return store.ErrUnavailable.
type PartitionedStore struct {
	store.Store
	// Partitioned reports whether the store can't be reached.
	Partitioned func() bool
}

// failIfPartitioned returns nil if the store can be reached. Otherwise it blocks until
// the context ends and returns store.ErrUnavailable.
func (s PartitionedStore) failIfPartitioned(ctx context.Context) error {
	if !s.Partitioned() {
		return nil
	}
	<-ctx.Done()
	return store.ErrUnavailable
}

// Get implements store.Store.
func (s PartitionedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.failIfPartitioned(ctx); err != nil {
		return store.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

// List implements store.Store.
func (s PartitionedStore) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	if err := s.failIfPartitioned(ctx); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, prefix)
}

// Put implements store.Store.
func (s PartitionedStore) Put(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	if err := s.failIfPartitioned(ctx); err != nil {
		return 0, err
	}
	return s.Store.Put(ctx, key, value, expected, lease)
}

// Watch implements store.Store. The result is also lost if the partition exists when
// the watch of the underlying store returns.
func (s PartitionedStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	if err := s.failIfPartitioned(ctx); err != nil {
		return nil, 0, err
	}
	events, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	if partitionErr := s.failIfPartitioned(ctx); partitionErr != nil {
		return nil, 0, partitionErr
	}
	return events, revision, err
}

// Delete implements store.Store.
func (s PartitionedStore) Delete(ctx context.Context, key string, expected store.Revision) error {
	if err := s.failIfPartitioned(ctx); err != nil {
		return err
	}
	return s.Store.Delete(ctx, key, expected)
}

// Grant implements store.Store.
func (s PartitionedStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := s.failIfPartitioned(ctx); err != nil {
		return store.NoLease, err
	}
	return s.Store.Grant(ctx, ttl)
}

// Renew implements store.Store.
func (s PartitionedStore) Renew(ctx context.Context, lease store.LeaseID) error {
	if err := s.failIfPartitioned(ctx); err != nil {
		return err
	}
	return s.Store.Renew(ctx, lease)
}

// Revoke implements store.Store.
func (s PartitionedStore) Revoke(ctx context.Context, lease store.LeaseID) error {
	if err := s.failIfPartitioned(ctx); err != nil {
		return err
	}
	return s.Store.Revoke(ctx, lease)
}
