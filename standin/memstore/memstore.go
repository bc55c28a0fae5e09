// Package memstore is an in-memory stand-in for the platform's key-value service.
// Tests call it directly and inject faults; the platform stand-in serves it over
// HTTP.
package memstore

import (
	"context"
	"time"

	"github.com/figweir/figweir/store"
)

// Store is a client of a Server and implements store.Store. Use New to create both.
type Store struct {
	*Server
	// Eras holds the newest era that a response has shown to this client.
	Eras *store.EraTracker
}

var _ store.Store = (*Store)(nil)

// New returns a client of a new, empty store.
func New() *Store { return (&Store{Server: newServer()}).NewClient() }

// NewClient returns another client of the same store. It has seen no response yet.
func (s *Store) NewClient() *Store { return &Store{Server: s.Server, Eras: store.NewEraTracker()} }

// observe records the era of a response. It returns the error of the call, or that of check.
func (s *Store) observe(era store.Era, err error, check func() error) error {
	s.Eras.Observe(era)
	if err != nil {
		return err
	}
	return check()
}

// inEra returns an entry as read in an era.
func inEra(era store.Era, e store.Entry) store.Entry {
	e.Revision = revisionIn(era, e.Revision)
	if e.Lease != store.NoLease {
		e.Lease.Era = era
	}
	return e
}

// revisionIn adds the era to a number. The numbers of a test are never too large.
func revisionIn(era store.Era, number store.Revision) store.Revision {
	r, _ := store.NewRevision(era, uint64(number))
	return r
}

// numberOf returns a lease as the server knows it.
func numberOf(lease store.LeaseID) store.LeaseID { return store.LeaseID{Number: lease.Number} }

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	entry, era, err := s.Server.Get(ctx, key)
	if err := s.observe(era, err, func() error { return s.Eras.CheckRead(era) }); err != nil {
		return store.Entry{}, err
	}
	return inEra(era, entry), nil
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	entries, at, era, err := s.Server.List(ctx, prefix)
	if err := s.observe(era, err, func() error { return s.Eras.CheckRead(era) }); err != nil {
		return nil, 0, err
	}
	for i := range entries {
		entries[i] = inEra(era, entries[i])
	}
	return entries, revisionIn(era, at), nil
}

// Put implements store.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	if err := s.Eras.CheckExpected(expected); err != nil {
		return 0, err
	}
	if err := s.Eras.CheckLease(lease); err != nil {
		return 0, err
	}
	revision, era, err := s.Server.Put(ctx, key, value, store.Revision(expected.Number()), numberOf(lease))
	if err := s.observe(era, err, func() error { return s.Eras.CheckWritten(era, expected, lease) }); err != nil {
		return 0, err
	}
	return revisionIn(era, revision), nil
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, expected store.Revision) error {
	if err := s.Eras.CheckExpected(expected); err != nil {
		return err
	}
	era, err := s.Server.Delete(ctx, key, store.Revision(expected.Number()))
	return s.observe(era, err, func() error { return s.Eras.CheckWritten(era, expected, store.NoLease) })
}

// Watch implements store.Store. It ends with store.ErrCompacted when a later era is seen.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	within, era, cancel := s.Eras.WithinEra(ctx)
	defer cancel()
	if after.Era() < era {
		return nil, 0, store.ErrCompacted
	}
	events, at, answered, err := s.Server.Watch(within, prefix, store.Revision(after.Number()), wait)
	s.Eras.Observe(answered)
	if s.Eras.Current() != era {
		return nil, 0, store.ErrCompacted
	}
	if err != nil {
		return nil, 0, err
	}
	if answered != after.Era() {
		return nil, 0, store.ErrCompacted
	}
	for i := range events {
		events[i].Entry = inEra(answered, events[i].Entry)
	}
	return events, revisionIn(answered, at), nil
}

// Grant implements store.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	lease, era, err := s.Server.Grant(ctx, ttl)
	if err := s.observe(era, err, func() error { return s.Eras.CheckWritten(era, 0, store.NoLease) }); err != nil {
		return store.NoLease, err
	}
	return store.LeaseID{Era: era, Number: lease.Number}, nil
}

// Renew implements store.Store.
func (s *Store) Renew(ctx context.Context, lease store.LeaseID) error {
	number := numberOf(lease)
	if s.Eras.CheckLease(lease) != nil {
		number = store.NoLease
	}
	era, err := s.Server.Renew(ctx, number)
	return s.observe(era, err, func() error {
		if err := s.Eras.CheckLease(lease); err != nil {
			return err
		}
		return s.Eras.CheckWritten(era, 0, store.NoLease)
	})
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, lease store.LeaseID) error {
	if err := s.Eras.CheckLease(lease); err != nil {
		return err
	}
	era, err := s.Server.Revoke(ctx, numberOf(lease))
	return s.observe(era, err, func() error { return s.Eras.CheckWritten(era, 0, lease) })
}
