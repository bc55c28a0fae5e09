// Package platform is a stand-in for the platform: the key-value service, the VM
// list, and the interfaces for orders of backend servers and for usage reports.
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

// Server implements the platform's interfaces over HTTP. It is safe for concurrent
// use.
type Server struct {
	// Store and Billing implement the key-value service and the usage-report
	// service. Tests inject faults into them.
	Store   *memstore.Store
	Billing *billing.Server

	mu        sync.Mutex
	vms       []fleet.VM
	orders    []fleet.Order
	storeDown bool
}

// New returns a platform with an empty key-value store and the given VMs.
func New(vms []fleet.VM) *Server {
	return &Server{Store: memstore.New(), Billing: &billing.Server{}, vms: vms}
}

// SetStoreDown sets whether the key-value service refuses every call with status 503.
func (s *Server) SetStoreDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDown = down
}

// SetVMs replaces the list of VMs.
func (s *Server) SetVMs(vms []fleet.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append([]fleet.VM(nil), vms...)
}

// Orders returns the recorded orders in order of arrival, without repetitions.
func (s *Server) Orders() []fleet.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]fleet.Order(nil), s.orders...)
}

// Handler returns the HTTP handler of the platform's interfaces and of the interface
// for faults.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(s.refuseWhileStoreDown)
		kvserver.Register(r, s.Store)
	})
	r.Get("/v1/vms", s.handleListVMs)
	r.Put("/v1/vms", s.handleReplaceVMs)
	r.Post("/v1/orders", s.handleOrder)
	r.Get("/v1/orders", s.handleListOrders)
	r.Handle(client.ReportPath, s.Billing)
	r.Put(fault.Path, fault.Handler(func(f Faults) { s.SetStoreDown(f.StoreDown) }))
	return r
}

// Faults selects the faults to inject. The zero value injects none.
type Faults struct {
	// StoreDown makes the key-value service refuse every call with status 503.
	StoreDown bool `json:"store_down"`
}

func (s *Server) handleListVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	vms := append([]fleet.VM{}, s.vms...)
	s.mu.Unlock()
	httpjson.Encode(w, http.StatusOK, vms)
}

func (s *Server) handleReplaceVMs(w http.ResponseWriter, r *http.Request) {
	var vms []fleet.VM
	if !httpjson.Decode(w, r, &vms) {
		return
	}
	s.SetVMs(vms)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleListOrders(w http.ResponseWriter, _ *http.Request) {
	httpjson.Encode(w, http.StatusOK, s.Orders())
}

// handleOrder records an order. A repetition with the same ID has no effect.
func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order fleet.Order
	if !httpjson.Decode(w, r, &order) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, recorded := range s.orders {
		if recorded.ID == order.ID {
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
	s.orders = append(s.orders, order)
	w.WriteHeader(http.StatusNoContent)
}

// refuseWhileStoreDown is a middleware that answers calls to the key-value service
// with status 503 while the service is down.
func (s *Server) refuseWhileStoreDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		storeDown := s.storeDown
		s.mu.Unlock()
		if storeDown {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}
