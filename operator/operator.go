// Package operator implements the HTTP listener for operators: health,
// readiness, metrics, reports, configuration changes and orders for engines.
package operator

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/finding"
	"github.com/figweir/figweir/inbound"
	"github.com/figweir/figweir/metrics"
	"github.com/figweir/figweir/store"
)

// ApplyState is the progress of a configuration change.
type ApplyState string

// The states of a configuration change.
const (
	// StateAccepted means that the change is in force on more than half of the
	// nodes.
	StateAccepted ApplyState = "accepted"
	// StateStored means that the change is stored but not yet in force on
	// enough nodes.
	StateStored ApplyState = "stored"
)

// ConfigResponse is the configuration with its revision and author.
type ConfigResponse struct {
	Revision store.Revision   `json:"revision"`
	Author   string           `json:"author"`
	Document *config.Document `json:"document"`
}

// ApplyRequest replaces the configuration if its current revision is Base.
type ApplyRequest struct {
	Base     store.Revision   `json:"base"`
	Author   string           `json:"author"`
	Document *config.Document `json:"document"`
}

// ApplyResponse is the result of a configuration change.
type ApplyResponse struct {
	Revision store.Revision `json:"revision"`
	State    ApplyState     `json:"state"`
	// Missing lists the nodes that have not confirmed the change.
	Missing []string `json:"missing,omitempty"`
}

// ErrorResponse is an error with the findings that caused it.
type ErrorResponse struct {
	apierr.Body
	Findings []finding.Finding `json:"findings,omitempty"`
}

// Node is the part of a node that the operator listener uses.
type Node interface {
	// Ready returns nil if the node accepts requests.
	Ready() error
	// ReadConfig reads the configuration and its version from the store. It
	// returns config.ErrNoConfiguration if there is none.
	ReadConfig(ctx context.Context) (*config.Document, config.Version, error)
	// ApplyConfig replaces the configuration. Its errors include a
	// *finding.Error for an invalid configuration, a *config.ConflictError if the
	// base revision is outdated, and store.ErrAmbiguous if it is unknown
	// whether the change was stored.
	ApplyConfig(ctx context.Context, r ApplyRequest) (ApplyResponse, error)
}

// Report returns the content of a report, which is sent to operators as JSON.
type Report func(ctx context.Context) (any, error)

// Handler handles the requests of operators.
type Handler struct {
	Node    Node
	Metrics *metrics.Set
	// Secret is the secret that operators send as a bearer token. If it is
	// empty, requests are not authenticated.
	Secret string
	Log    logr.Logger
	// Reports holds the function of each report by the report's name.
	Reports map[string]Report
	// Submit executes orders for engines.
	Submit SubmitFunc
	// MaxBodyBytes limits the size of a request body, in bytes.
	MaxBodyBytes int64
}

// Router returns the HTTP handler with all routes.
func (h *Handler) Router() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	r.Get("/readyz", h.serveReadiness)
	r.Group(func(r chi.Router) {
		r.Use(h.authenticate, h.readBody)
		r.Get("/debug/vars", h.serveVars)
		r.Get("/v1/config", h.readConfig)
		r.Put("/v1/config", h.applyConfig)
		r.Get("/v1/reports/{report}", h.serveReport)
		r.Post("/v1/orders", h.submitOrder)
	})
	return r
}

func (h *Handler) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.Secret != "" {
			secret := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
			if subtle.ConstantTimeCompare([]byte(secret), []byte(h.Secret)) != 1 {
				apierr.Write(w, apierr.New(apierr.Unauthorized, "the operator secret is needed: Authorization: Bearer SECRET"))
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// readBody reads the complete body before the request is handled.
func (h *Handler) readBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := h.readAll(w, r)
		if inbound.IsNoRoom(err) {
			apierr.Write(w, apierr.Wrap(err, apierr.Unavailable, "too little memory for requests", apierr.NotRun(), apierr.RetryAfter(inbound.RetryNoRoom)))
			return
		}
		if err != nil {
			apierr.Write(w, apierr.Wrap(err, apierr.BadRequest, "the body did not arrive whole in time, or is too large"))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(raw))
		next.ServeHTTP(w, r)
	})
}

// errTooLarge is the error of a body over the limit.
var errTooLarge = errors.New("operator: the body is too large")

// readAll reads a body of at most MaxBodyBytes. The node wraps the router in inbound.NewHandler, so that the
// body counts in the account of what clients send.
func (h *Handler) readAll(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > h.MaxBodyBytes {
		return nil, errTooLarge
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, h.MaxBodyBytes))
}

func (h *Handler) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if err := h.Node.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) serveVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{"figweir": ` + h.Metrics.Map().String() + "}\n"))
}

func (h *Handler) readConfig(w http.ResponseWriter, r *http.Request) {
	document, version, err := h.Node.ReadConfig(r.Context())
	if errors.Is(err, config.ErrNoConfiguration) {
		writeJSON(w, http.StatusOK, ConfigResponse{Document: &config.Document{}})
		return
	}
	if err != nil {
		apierr.Write(w, apierr.Wrap(err, apierr.Unavailable, "the store can't be read now"))
		return
	}
	writeJSON(w, http.StatusOK, ConfigResponse{Revision: version.Revision, Author: version.Head.Author, Document: document})
}

func (h *Handler) applyConfig(w http.ResponseWriter, r *http.Request) {
	var req ApplyRequest
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&req); err != nil || req.Document == nil {
		apierr.Write(w, apierr.New(apierr.BadRequest, "the body is not a change: base, author and document are needed"))
		return
	}
	result, err := h.Node.ApplyConfig(r.Context(), req)
	if err != nil {
		h.Log.Info("configuration change refused", "author", req.Author, "base", req.Base, "error", err.Error())
		writeApplyError(w, err)
		return
	}
	h.Log.Info("configuration changed", "author", req.Author, "base", req.Base, "revision", result.Revision, "state", result.State)
	writeJSON(w, http.StatusOK, result)
}

func writeApplyError(w http.ResponseWriter, err error) {
	var findings *finding.Error
	var conflict *config.ConflictError
	switch {
	case errors.As(err, &findings):
		body := ErrorResponse{Findings: findings.Findings}
		body.Error = apierr.Describe(apierr.New(apierr.BadRequest, "the configuration can't be used"))
		writeJSON(w, http.StatusBadRequest, body)
	case errors.As(err, &conflict):
		apierr.Write(w, apierr.New(apierr.Conflict, conflict.Error()))
	case errors.Is(err, store.ErrAmbiguous):
		apierr.Write(w, apierr.Wrap(err, apierr.OutcomeUnknown, "the change may or may not have been stored; read the configuration again"))
	default:
		apierr.Write(w, apierr.Wrap(err, apierr.Unavailable, "the store can't be written now; nothing was changed"))
	}
}

func (h *Handler) serveReport(w http.ResponseWriter, r *http.Request) {
	report, ok := h.Reports[chi.URLParam(r, "report")]
	if !ok {
		apierr.Write(w, apierr.New(apierr.NotFound, "there is no such report"))
		return
	}
	result, err := report(r.Context())
	if err != nil {
		apierr.Write(w, apierr.Wrap(err, apierr.Unavailable, "the report can't be made now"))
		return
	}
	writeJSON(w, http.StatusOK, result)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}
