package config

import (
	"crypto/hmac"
	"errors"
	"sync/atomic"

	"github.com/figweir/figweir/finding"
	"github.com/figweir/figweir/store"
)

// Errors of Snapshot.Authenticate.
var (
	ErrUnknownKey   = errors.New("config: unknown key")
	ErrWithdrawnKey = errors.New("config: withdrawn key")
)

// Snapshot is an immutable, indexed view of one revision of the configuration.
// All requests read it concurrently without locks.
type Snapshot struct {
	Revision store.Revision
	Document *Document

	keys       map[string]keyEntry
	workspaces map[string]*Workspace
	services   map[string]*Service
	pools      map[string]*Pool
	models     map[string]*Pool
	servers    map[string][]*BackendServer
}

type keyEntry struct {
	key       *Key
	workspace *Workspace
}

// NewSnapshot validates the document and returns a snapshot of it. It returns a
// *finding.Error with all findings if the document is invalid. The snapshot
// refers to d, which must not be changed afterwards.
func NewSnapshot(d *Document, revision store.Revision) (*Snapshot, error) {
	var findings finding.List
	Validate(d, &findings)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	s := &Snapshot{
		Revision:   revision,
		Document:   d,
		keys:       make(map[string]keyEntry),
		workspaces: make(map[string]*Workspace, len(d.Workspaces)),
		services:   make(map[string]*Service, len(d.Services)),
		pools:      make(map[string]*Pool, len(d.Pools)),
		models:     make(map[string]*Pool),
		servers:    make(map[string][]*BackendServer),
	}
	for i := range d.Pools {
		p := &d.Pools[i]
		s.pools[p.Name] = p
		for _, model := range p.Models {
			s.models[model] = p
		}
	}
	for i := range d.Services {
		s.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		s.workspaces[w.Name] = w
		for j := range w.Keys {
			s.keys[w.Keys[j].ID] = keyEntry{key: &w.Keys[j], workspace: w}
		}
	}
	for i := range d.BackendServers {
		b := &d.BackendServers[i]
		s.servers[b.Pool] = append(s.servers[b.Pool], b)
	}
	return s, nil
}

// Authenticate returns the workspace that a key belongs to, or ErrUnknownKey or
// ErrWithdrawnKey. It compares the digests in constant time. secret is the key
// digest secret.
func (s *Snapshot) Authenticate(key string, secret []byte) (*Workspace, error) {
	id, err := KeyID(key)
	if err != nil {
		return nil, ErrUnknownKey
	}
	entry, ok := s.keys[id]
	if !ok {
		return nil, ErrUnknownKey
	}
	if !hmac.Equal([]byte(DigestKey(key, secret)), []byte(entry.key.Digest)) {
		return nil, ErrUnknownKey
	}
	if entry.key.Withdrawn {
		return nil, ErrWithdrawnKey
	}
	return entry.workspace, nil
}

// KeyValid reports whether the key with this id still exists, is not withdrawn
// and belongs to the workspace. It lets running streams check their key again
// after the configuration has changed.
func (s *Snapshot) KeyValid(id, workspace string) bool {
	entry, ok := s.keys[id]
	return ok && !entry.key.Withdrawn && entry.workspace.Name == workspace
}

// Workspace returns the workspace with this name, or nil.
func (s *Snapshot) Workspace(name string) *Workspace { return s.workspaces[name] }

// Service returns the service with this name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Pool returns the pool with this name, or nil.
func (s *Snapshot) Pool(name string) *Pool { return s.pools[name] }

// PoolForModel returns the pool that serves a model, or nil.
func (s *Snapshot) PoolForModel(model string) *Pool { return s.models[model] }

// Servers returns the registered backend servers of a pool. The caller must not
// modify the slice.
func (s *Snapshot) Servers(pool string) []*BackendServer { return s.servers[pool] }

// MayCall reports whether the workspace may call the service.
func (w *Workspace) MayCall(service string) bool {
	if len(w.Services) == 0 {
		return true
	}
	for _, name := range w.Services {
		if name == service {
			return true
		}
	}
	return false
}

// CurrentSnapshot holds the snapshot in force. The revision of the snapshot never
// decreases. It is safe for concurrent use.
type CurrentSnapshot struct {
	current atomic.Pointer[Snapshot]
	changed atomic.Pointer[chan struct{}]
}

// NewCurrentSnapshot returns a CurrentSnapshot that has no snapshot yet.
func NewCurrentSnapshot() *CurrentSnapshot {
	c := &CurrentSnapshot{}
	ch := make(chan struct{})
	c.changed.Store(&ch)
	return c
}

// Load returns the current snapshot, or nil if none has been set yet.
func (c *CurrentSnapshot) Load() *Snapshot { return c.current.Load() }

// StoreIfNewer replaces the current snapshot if the revision of s is greater, and
// reports whether it did.
func (c *CurrentSnapshot) StoreIfNewer(s *Snapshot) bool {
	for {
		old := c.current.Load()
		if old != nil && s.Revision <= old.Revision {
			return false
		}
		if c.current.CompareAndSwap(old, s) {
			ch := make(chan struct{})
			close(*c.changed.Swap(&ch))
			return true
		}
	}
}

// Changed returns a channel that is closed when the snapshot is next replaced.
func (c *CurrentSnapshot) Changed() <-chan struct{} { return *c.changed.Load() }
