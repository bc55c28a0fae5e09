// Package platform is a small stand-in for the platform: the key-value
// service, the VM list, and the interfaces for ordering backend servers and for
// usage reports.
package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	client "github.com/figweir/figweir/billing"
	"github.com/figweir/figweir/fleet"
	"github.com/figweir/figweir/standin/billing"
	"github.com/figweir/figweir/standin/fault"
	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

// maxRequestBytes allows one value of the largest size in base64.
const maxRequestBytes = 2 * store.MaxValueBytes

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
	r.Post("/v1/store/{op}", s.storeCall)
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
	encode(w, http.StatusOK, vms)
}

func (s *Server) replaceVMs(w http.ResponseWriter, r *http.Request) {
	var vms []fleet.VM
	if !decode(w, r, &vms) {
		return
	}
	s.SetVMs(vms)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) listOrders(w http.ResponseWriter, _ *http.Request) {
	encode(w, http.StatusOK, s.Orders())
}

// order records an order once; a repeat with the same id has no effect.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o fleet.Order
	if !decode(w, r, &o) {
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

func (s *Server) storeCall(w http.ResponseWriter, r *http.Request) {
	var req store.Request
	if !decode(w, r, &req) {
		return
	}
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		encode(w, http.StatusServiceUnavailable, store.Response{Error: store.CodeUnavailable})
		return
	}
	resp, err := s.dispatch(r, chi.URLParam(r, "op"), req)
	if err != nil {
		resp.Error = codeOf(err)
	}
	encode(w, http.StatusOK, resp)
}

func (s *Server) dispatch(r *http.Request, op string, req store.Request) (store.Response, error) {
	ctx := r.Context()
	var resp store.Response
	var err error
	switch op {
	case "get":
		var entry store.Entry
		entry, err = s.Store.Get(ctx, req.Key)
		if err == nil {
			resp.Entry = &entry
		}
	case "list":
		resp.Entries, resp.Revision, err = s.Store.List(ctx, req.Prefix)
	case "put":
		resp.Revision, err = s.Store.Put(ctx, req.Key, req.Value, req.Expected, req.Lease)
	case "delete":
		err = s.Store.Delete(ctx, req.Key, req.Expected)
	case "watch":
		wait := time.Duration(req.WaitMillis) * time.Millisecond
		resp.Events, resp.Revision, err = s.Store.Watch(ctx, req.Prefix, req.After, wait)
	case "grant":
		resp.Lease, err = s.Store.Grant(ctx, time.Duration(req.TTLMillis)*time.Millisecond)
	case "renew":
		err = s.Store.Renew(ctx, req.Lease)
	case "revoke":
		err = s.Store.Revoke(ctx, req.Lease)
	default:
		err = store.ErrNotFound
	}
	return resp, err
}

func codeOf(err error) string {
	switch {
	case errors.Is(err, store.ErrNotFound):
		return store.CodeNotFound
	case errors.Is(err, store.ErrConflict):
		return store.CodeConflict
	case errors.Is(err, store.ErrCompacted):
		return store.CodeCompacted
	case errors.Is(err, store.ErrTooLarge):
		return store.CodeTooLarge
	default:
		return store.CodeUnavailable
	}
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encode(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
