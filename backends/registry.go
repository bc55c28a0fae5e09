package backends

import (
	"sort"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable snapshot of the registered backend servers.
type View struct {
	services      map[string][]*Server
	byID          map[string]*Server
	byHash        map[uint64]*Server
	prefillHashes map[uint64]bool
	// cellServers is the division of the servers into cells; it is computed on first
	// use.
	cellServers atomic.Pointer[cellServers]
}

// Servers returns the servers of a service that accept requests, ordered by id.
func (v *View) Servers(service string) []*Server { return v.services[service] }

// PrefillHashes returns the set of the hashes of all prefill engines.
func (v *View) PrefillHashes() map[uint64]bool { return v.prefillHashes }

// ByHash returns the server with the given hash of its id, or nil.
func (v *View) ByHash(hash uint64) *Server { return v.byHash[hash] }

// All returns all registered servers by id, including draining ones.
func (v *View) All() map[string]*Server { return v.byID }

// Registry holds the current view. Reading the view takes no lock.
type Registry struct {
	mu   sync.Mutex
	view atomic.Pointer[View]
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	r := &Registry{}
	r.view.Store(&View{services: map[string][]*Server{}, byID: map[string]*Server{}})
	return r
}

// View returns the current snapshot.
func (r *Registry) View() *View { return r.view.Load() }

// incarnationHash returns the hash by which nodes refer to one incarnation of a server. An
// incarnation at another address is another one.
func incarnationHash(r *Registration) uint64 {
	return xxhash.Sum64String(r.ID + "\x00" + r.Address + "\x00" + strconv.FormatInt(r.StartUnixMillis, 10))
}

// Replace replaces all registrations. The statistics of a server are kept as long as its
// id, address and start time stay the same.
func (r *Registry) Replace(registrations []Registration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.view.Load()
	next := &View{services: make(map[string][]*Server), byID: make(map[string]*Server, len(registrations)), byHash: make(map[uint64]*Server, len(registrations)), prefillHashes: make(map[uint64]bool)}
	for _, registration := range registrations {
		s := &Server{Registration: registration, Hash: xxhash.Sum64String(registration.ID), Incarnation: incarnationHash(&registration)}
		if known := previous.byID[registration.ID]; known != nil && known.StartUnixMillis == registration.StartUnixMillis && known.Address == registration.Address {
			s.stats = known.stats
		} else {
			s.stats = newStats()
		}
		next.byID[registration.ID] = s
		next.byHash[s.Hash] = s
		if registration.Role == RolePrefill {
			next.prefillHashes[s.Hash] = true
		}
		if registration.State == Ready {
			next.services[registration.Service] = append(next.services[registration.Service], s)
		}
	}
	for _, list := range next.services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	r.view.Store(next)
}
