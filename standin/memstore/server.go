package memstore

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/figweir/figweir/store"
)

// maxHistory limits the number of past changes that are kept for watches.
const maxHistory = 4096

// Op identifies an operation of the store.
type Op string

// Operations, as passed to a FaultFunc and counted by Calls.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpPut    Op = "put"
	OpDelete Op = "delete"
	OpWatch  Op = "watch"
	OpGrant  Op = "grant"
	OpRenew  Op = "renew"
	OpRevoke Op = "revoke"
)

// Fault selects the faults of one call. The zero value means none.
type Fault struct {
	// Before, if not nil, is called before the operation. A test can block the
	// caller in it.
	Before func()
	// After, if not nil, is called after the operation and before it returns.
	After func()
	// Refuse makes the call return store.ErrUnavailable without an effect.
	Refuse bool
	// LoseAnswer makes the call take effect and return an error nevertheless:
	// store.ErrAmbiguous for writes and store.ErrUnavailable for reads.
	LoseAnswer bool
}

// FaultFunc returns the faults of a call of op. key is the key or prefix, and empty
// for operations on leases.
type FaultFunc func(op Op, key string) Fault

// Server is the store itself. Its calls state the era in which they took effect, and revisions
// and leases are the numbers in that era. It is safe for concurrent use.
type Server struct {
	mu sync.Mutex
	// era counts the calls of Restore.
	era      store.Era
	revision store.Revision
	entries  map[string]store.Entry
	// history holds the changes after revision historyStart, as far as they are kept.
	history      []store.Event
	historyStart store.Revision
	leases       map[store.LeaseID]*lease
	lastLeaseID  uint64
	changed      chan struct{}
	fault        FaultFunc
	calls        map[Op]int
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

func newServer() *Server {
	return &Server{
		entries: make(map[string]store.Entry),
		leases:  make(map[store.LeaseID]*lease),
		changed: make(chan struct{}),
		calls:   make(map[Op]int),
	}
}

// SetFault installs a function that is called for the faults of each call. nil
// removes it.
func (s *Server) SetFault(f FaultFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls of each operation, including those with faults.
func (s *Server) Calls() map[Op]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[Op]int, len(s.calls))
	for op, n := range s.calls {
		out[op] = n
	}
	return out
}

// beginCall counts a call and returns its faults after running Before.
func (s *Server) beginCall(op Op, key string) Fault {
	s.mu.Lock()
	s.calls[op]++
	f := s.fault
	s.mu.Unlock()
	if f == nil {
		return Fault{}
	}
	fault := f(op, key)
	if fault.Before != nil {
		fault.Before()
	}
	return fault
}

// endCall runs After and returns the error of a lost answer, if that is one of the
// faults.
func endCall(fault Fault, write bool) error {
	if fault.After != nil {
		fault.After()
	}
	if fault.LoseAnswer {
		if write {
			return store.ErrAmbiguous
		}
		return store.ErrUnavailable
	}
	return nil
}

// Get returns one entry, or store.ErrNotFound.
func (s *Server) Get(ctx context.Context, key string) (store.Entry, store.Era, error) {
	fault := s.beginCall(OpGet, key)
	if fault.Refuse || ctx.Err() != nil {
		return store.Entry{}, 0, store.ErrUnavailable
	}
	s.mu.Lock()
	s.expireLeasesLocked()
	entry, ok := s.entries[key]
	era := s.era
	s.mu.Unlock()
	if err := endCall(fault, false); err != nil {
		return store.Entry{}, 0, err
	}
	if !ok {
		return store.Entry{}, era, store.ErrNotFound
	}
	return entry, era, nil
}

// List returns the entries whose keys start with prefix, and the revision of the store.
func (s *Server) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, store.Era, error) {
	fault := s.beginCall(OpList, prefix)
	if fault.Refuse || ctx.Err() != nil {
		return nil, 0, 0, store.ErrUnavailable
	}
	s.mu.Lock()
	s.expireLeasesLocked()
	var out []store.Entry
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, entry)
		}
	}
	revision, era := s.revision, s.era
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	if err := endCall(fault, false); err != nil {
		return nil, 0, 0, err
	}
	return out, revision, era, nil
}

// Put writes a key that is at the expected revision.
func (s *Server) Put(ctx context.Context, key string, value []byte, expected store.Revision, id store.LeaseID) (store.Revision, store.Era, error) {
	fault := s.beginCall(OpPut, key)
	if fault.Refuse || ctx.Err() != nil {
		return 0, 0, store.ErrUnavailable
	}
	if len(value) > store.MaxValueBytes {
		return 0, 0, store.ErrTooLarge
	}
	revision, era, err := s.put(key, value, expected, id)
	if faultErr := endCall(fault, true); faultErr != nil {
		return 0, 0, faultErr
	}
	return revision, era, err
}

func (s *Server) put(key string, value []byte, expected store.Revision, id store.LeaseID) (store.Revision, store.Era, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	if id != store.NoLease && s.leases[id] == nil {
		return 0, s.era, store.ErrNotFound
	}
	if s.entries[key].Revision != expected {
		return 0, s.era, store.ErrConflict
	}
	s.revision++
	entry := store.Entry{Key: key, Value: append([]byte(nil), value...), Revision: s.revision, Lease: id}
	s.entries[key] = entry
	s.recordLocked(store.Event{Entry: entry})
	return s.revision, s.era, nil
}

// Delete removes a key that is at the expected revision.
func (s *Server) Delete(ctx context.Context, key string, expected store.Revision) (store.Era, error) {
	fault := s.beginCall(OpDelete, key)
	if fault.Refuse || ctx.Err() != nil {
		return 0, store.ErrUnavailable
	}
	s.mu.Lock()
	s.expireLeasesLocked()
	entry, ok := s.entries[key]
	var err error
	switch {
	case !ok:
		err = store.ErrNotFound
	case entry.Revision != expected:
		err = store.ErrConflict
	default:
		s.deleteLocked(key)
	}
	era := s.era
	s.mu.Unlock()
	if faultErr := endCall(fault, true); faultErr != nil {
		return 0, faultErr
	}
	return era, err
}

// Watch returns the changes after a revision, and waits for one if there is none.
func (s *Server) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, store.Era, error) {
	fault := s.beginCall(OpWatch, prefix)
	if fault.Refuse {
		return nil, 0, 0, store.ErrUnavailable
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, revision, era, changed, err := s.eventsSince(prefix, after)
		if err != nil {
			return nil, 0, era, err
		}
		if len(events) > 0 {
			return s.endWatch(fault, events, revision, era)
		}
		select {
		case <-changed:
		case <-timer.C:
			return s.endWatch(fault, nil, revision, era)
		case <-ctx.Done():
			return nil, 0, 0, store.ErrUnavailable
		}
	}
}

// endWatch returns the response of a watch, unless it is lost.
func (s *Server) endWatch(fault Fault, events []store.Event, at store.Revision, era store.Era) ([]store.Event, store.Revision, store.Era, error) {
	if err := endCall(fault, false); err != nil {
		return nil, 0, 0, err
	}
	return events, at, era, nil
}

// eventsSince returns the changes of keys with the prefix after a revision, the
// current revision and era, and a channel that is closed at the next change. It returns
// store.ErrCompacted if the store doesn't have the changes after that revision.
func (s *Server) eventsSince(prefix string, after store.Revision) ([]store.Event, store.Revision, store.Era, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	if after < s.historyStart || after > s.revision {
		return nil, 0, s.era, nil, store.ErrCompacted
	}
	var events []store.Event
	for _, event := range s.history {
		if event.Entry.Revision > after && strings.HasPrefix(event.Entry.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, s.revision, s.era, s.changed, nil
}

// Grant creates a lease.
func (s *Server) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, store.Era, error) {
	fault := s.beginCall(OpGrant, "")
	if fault.Refuse || ctx.Err() != nil {
		return store.NoLease, 0, store.ErrUnavailable
	}
	s.mu.Lock()
	s.lastLeaseID++
	id := store.LeaseID{Number: s.lastLeaseID}
	s.leases[id] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	era := s.era
	s.mu.Unlock()
	time.AfterFunc(ttl, s.expireLeases)
	if err := endCall(fault, true); err != nil {
		return store.NoLease, 0, err
	}
	return id, era, nil
}

// Renew extends a lease to its ttl from now. It returns store.ErrNotFound if it has lapsed.
func (s *Server) Renew(ctx context.Context, id store.LeaseID) (store.Era, error) {
	fault := s.beginCall(OpRenew, "")
	if fault.Refuse || ctx.Err() != nil {
		return 0, store.ErrUnavailable
	}
	s.mu.Lock()
	s.expireLeasesLocked()
	l := s.leases[id]
	if l != nil {
		l.expiresAt = time.Now().Add(l.ttl)
		time.AfterFunc(l.ttl, s.expireLeases)
	}
	era := s.era
	s.mu.Unlock()
	if err := endCall(fault, true); err != nil {
		return 0, err
	}
	if l == nil {
		return era, store.ErrNotFound
	}
	return era, nil
}

// Revoke ends a lease and deletes its keys.
func (s *Server) Revoke(ctx context.Context, id store.LeaseID) (store.Era, error) {
	fault := s.beginCall(OpRevoke, "")
	if fault.Refuse || ctx.Err() != nil {
		return 0, store.ErrUnavailable
	}
	s.mu.Lock()
	s.endLeaseLocked(id)
	era := s.era
	s.mu.Unlock()
	if err := endCall(fault, true); err != nil {
		return 0, err
	}
	return era, nil
}

func (s *Server) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
}

func (s *Server) expireLeasesLocked() {
	now := time.Now()
	for id, l := range s.leases {
		if !now.Before(l.expiresAt) {
			s.endLeaseLocked(id)
		}
	}
}

// endLeaseLocked removes a lease and deletes its keys.
func (s *Server) endLeaseLocked(id store.LeaseID) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	var keys []string
	for key, entry := range s.entries {
		if entry.Lease == id {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.deleteLocked(key)
	}
}

func (s *Server) deleteLocked(key string) {
	delete(s.entries, key)
	s.revision++
	s.recordLocked(store.Event{Entry: store.Entry{Key: key, Revision: s.revision}, Deleted: true})
}

// recordLocked appends a change to the history and wakes the watches.
func (s *Server) recordLocked(event store.Event) {
	s.history = append(s.history, event)
	if len(s.history) > maxHistory {
		discarded := len(s.history) - maxHistory/2
		s.historyStart = s.history[discarded-1].Entry.Revision
		s.history = append([]store.Event(nil), s.history[discarded:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
