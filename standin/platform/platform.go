// Package platform is a small stand-in for the platform: the key-value
// service, the VM list, and the interfaces for ordering backend servers and for
// usage reports.
package platform

import (
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"

	client "github.com/figweir/figweir/billing"
	"github.com/figweir/figweir/fleet"
	"github.com/figweir/figweir/platform/kvserver"
	"github.com/figweir/figweir/standin/billing"
	"github.com/figweir/figweir/standin/fault"
	"github.com/figweir/figweir/standin/httpjson"
	"github.com/figweir/figweir/standin/memstore"
)

// Server serves the platform's interfaces over HTTP.
type Server struct {
	Store   *memstore.Store
	Billing *billing.Server

	mu     sync.Mutex
	vms    []fleet.VM
	orders []fleet.Order
	down   bool
}

// New returns a platform with an empty store and the given VMs.
func New(vms []fleet.VM) *Server {
	return &Server{Store: memstore.New(), Billing: &billing.Server{}, vms: vms}
}

// SetDown makes the key-value service refuse every call.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetVMs replaces the list of VMs.
func (s *Server) SetVMs(vms []fleet.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append([]fleet.VM(nil), vms...)
}

// Orders returns the orders received, in order.
func (s *Server) Orders() []fleet.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]fleet.Order(nil), s.orders...)
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(s.storeDown)
		kvserver.Register(r, s.Store)
	})
	r.Get("/v1/vms", s.listVMs)
	r.Put("/v1/vms", s.replaceVMs)
	r.Post("/v1/orders", s.order)
	r.Get("/v1/orders", s.listOrders)
	r.Handle(client.ReportPath, s.Billing)
	r.Put(fault.Path, fault.Handler(func(f Faults) { s.SetDown(f.StoreDown) }))
	return r
}

// Faults is the body of a request that changes how the stand-in misbehaves.
type Faults struct {
	// StoreDown makes the key-value service refuse every call.
	StoreDown bool `json:"store_down"`
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	vms := append([]fleet.VM{}, s.vms...)
	s.mu.Unlock()
	httpjson.Encode(w, http.StatusOK, vms)
}

func (s *Server) replaceVMs(w http.ResponseWriter, r *http.Request) {
	var vms []fleet.VM
	if !httpjson.Decode(w, r, &vms) {
		return
	}
	s.SetVMs(vms)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) listOrders(w http.ResponseWriter, _ *http.Request) {
	httpjson.Encode(w, http.StatusOK, s.Orders())
}

// order records an order once; a repeat with the same id has no effect.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o fleet.Order
	if !httpjson.Decode(w, r, &o) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, known := range s.orders {
		if known.ID == o.ID {
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
	s.orders = append(s.orders, o)
	w.WriteHeader(http.StatusNoContent)
}

// storeDown refuses the calls to the key-value service while it is down.
func (s *Server) storeDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}
