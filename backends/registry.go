package backends

import (
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable snapshot of the backend servers by service.
type View struct {
	services map[string][]*Server
	byID     map[string]*Server
	prefill  map[uint64]bool
	// cells is the division of the engines; it is computed when first needed.
	cells atomic.Pointer[cellViews]
}

// Servers returns the servers of a service that take requests, ordered by id.
func (v *View) Servers(service string) []*Server { return v.services[service] }

// Prefill returns the hashes of the prefill engines.
func (v *View) Prefill() map[uint64]bool { return v.prefill }

// All returns every known server, draining ones included.
func (v *View) All() map[string]*Server { return v.byID }

// Registry holds the current view. Lookups take no lock.
type Registry struct {
	mu   sync.Mutex
	view atomic.Pointer[View]
}

// NewRegistry returns a registry without servers.
func NewRegistry() *Registry {
	r := &Registry{}
	r.view.Store(&View{services: map[string][]*Server{}, byID: map[string]*Server{}})
	return r
}

// View returns the current snapshot.
func (r *Registry) View() *View { return r.view.Load() }

// Replace puts a new list of registrations in force. What is known of a server
// is kept as long as its id, address and start stay the same.
func (r *Registry) Replace(infos []Info) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view.Load()
	next := &View{services: make(map[string][]*Server), byID: make(map[string]*Server, len(infos)), prefill: make(map[uint64]bool)}
	for _, info := range infos {
		s := &Server{Info: info, Hash: xxhash.Sum64String(info.ID)}
		if o := old.byID[info.ID]; o != nil && o.BornMillis == info.BornMillis && o.Address == info.Address {
			s.stats = o.stats
		} else {
			s.stats = newStats()
		}
		next.byID[info.ID] = s
		if info.Role == RolePrefill {
			next.prefill[s.Hash] = true
		}
		if info.State == Ready {
			next.services[info.Service] = append(next.services[info.Service], s)
		}
	}
	for _, list := range next.services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	r.view.Store(next)
}
