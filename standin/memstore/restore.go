package memstore

import (
	"maps"
	"time"

	"github.com/figweir/figweir/store"
)

// Copy is a copy of the contents of a store at one moment.
type Copy struct {
	revision    store.Revision
	entries     map[string]store.Entry
	leaseTTLs   map[store.LeaseID]time.Duration
	lastLeaseID uint64
}

// Copy returns a copy of the present contents.
func (s *Server) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	c := &Copy{
		revision: s.revision, entries: maps.Clone(s.entries),
		leaseTTLs: make(map[store.LeaseID]time.Duration, len(s.leases)), lastLeaseID: s.lastLeaseID,
	}
	for id, l := range s.leases {
		c.leaseTTLs[id] = l.ttl
	}
	return c
}

// Restore replaces the contents by a copy; nil restores an empty store. It begins a new era:
// what was written since the copy is gone, and its revisions and lease numbers are given out
// again. Leases of the copy run for their whole time to live from now on. Waiting watches end.
func (s *Server) Restore(c *Copy) {
	if c == nil {
		c = newServer().Copy()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.lastLeaseID = c.revision, c.lastLeaseID
	s.entries = maps.Clone(c.entries)
	s.history, s.historyStart = nil, c.revision
	s.leases = make(map[store.LeaseID]*lease, len(c.leaseTTLs))
	for id, ttl := range c.leaseTTLs {
		s.leases[id] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
		time.AfterFunc(ttl, s.expireLeases)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Era returns the number of the store's history; 0 until the first call of Restore.
func (s *Server) Era() store.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
