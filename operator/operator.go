// Package operator serves the listener for operators: health, readiness,
// metrics, reports and changes of the configuration.
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
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/finding"
	"github.com/figweir/figweir/metrics"
	"github.com/figweir/figweir/store"
)

// ApplyState says how far a change of the configuration has come.
type ApplyState string

// The states of a change.
const (
	// StateAccepted means that more than half of the nodes have the change in force.
	StateAccepted ApplyState = "accepted"
	// StateStored means that the store has the change but not enough nodes do yet.
	StateStored ApplyState = "stored"
)

// ConfigResponse is the configuration with its revision.
type ConfigResponse struct {
	Revision store.Revision   `json:"revision"`
	Author   string           `json:"author"`
	Document *config.Document `json:"document"`
}

// ApplyRequest replaces the configuration if it is still at revision Base.
type ApplyRequest struct {
	Base     store.Revision   `json:"base"`
	Author   string           `json:"author"`
	Document *config.Document `json:"document"`
}

// ApplyResponse tells what became of a change.
type ApplyResponse struct {
	Revision store.Revision `json:"revision"`
	State    ApplyState     `json:"state"`
	// Missing names the nodes that have not confirmed the change.
	Missing []string `json:"missing,omitempty"`
}

// ErrorResponse is an error with the findings that led to it.
type ErrorResponse struct {
	apierr.Body
	Findings []finding.Finding `json:"findings,omitempty"`
}

// Node is what the operator listener needs of its node.
type Node interface {
	// Ready returns nil if the node takes requests.
	Ready() error
	// ReadConfig reads the configuration from the store.
	ReadConfig(ctx context.Context) (*config.Document, config.Version, error)
	// ApplyConfig changes the configuration.
	ApplyConfig(ctx context.Context, r ApplyRequest) (ApplyResponse, error)
}

// Report is a named report that operators can read as JSON.
type Report func(ctx context.Context) (any, error)

// Handler serves operators.
type Handler struct {
	Node    Node
	Metrics *metrics.Set
	Secret  string
	Log     logr.Logger
	// Reports maps the name of a report to its function.
	Reports map[string]Report
	// Submit carries out orders for engines.
	Submit SubmitFunc
	// MaxBodyBytes bounds the body of a request, BodyTimeout the time in which
	// it must arrive; 0 means no limit.
	MaxBodyBytes int64
	BodyTimeout  time.Duration
}

// Router returns the HTTP handler.
func (h *Handler) Router() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	r.Get("/readyz", h.ready)
	r.Group(func(r chi.Router) {
		r.Use(h.limitRead, h.authenticate, h.readBody)
		r.Get("/debug/vars", h.vars)
		r.Get("/v1/config", h.readConfig)
		r.Put("/v1/config", h.applyConfig)
		r.Get("/v1/reports/{report}", h.report)
		r.Post("/v1/orders", h.submitOrder)
	})
	return r
}

func (h *Handler) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.Secret != "" {
			given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
			if subtle.ConstantTimeCompare([]byte(given), []byte(h.Secret)) != 1 {
				apierr.Write(w, apierr.New(apierr.Unauthorized, "the operator secret is needed: Authorization: Bearer SECRET"))
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// limitRead bounds the arrival of the body. It comes before all that may refuse
// the request: net/http reads the rest of a body before it sends the answer.
func (h *Handler) limitRead(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.BodyTimeout > 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.BodyTimeout))
		}
		next.ServeHTTP(w, r)
	})
}

// readBody reads the whole body before the request is handled.
func (h *Handler) readBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.MaxBodyBytes))
		if err != nil {
			w.Header().Set("Connection", "close")
			apierr.Write(w, apierr.Wrap(err, apierr.BadRequest, "the body did not arrive whole in time, or is too large"))
			return
		}
		// A deadline that passes later would cancel the request's context.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		r.Body = io.NopCloser(bytes.NewReader(raw))
		next.ServeHTTP(w, r)
	})
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.Node.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) vars(w http.ResponseWriter, _ *http.Request) {
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
	var race *config.RaceError
	switch {
	case errors.As(err, &findings):
		body := ErrorResponse{Findings: findings.Findings}
		body.Error = apierr.Describe(apierr.New(apierr.BadRequest, "the configuration can't be used"))
		writeJSON(w, http.StatusBadRequest, body)
	case errors.As(err, &race):
		apierr.Write(w, apierr.New(apierr.Conflict, race.Error()))
	case errors.Is(err, store.ErrAmbiguous):
		apierr.Write(w, apierr.Wrap(err, apierr.OutcomeUnknown, "the change may or may not have been stored; read the configuration again"))
	default:
		apierr.Write(w, apierr.Wrap(err, apierr.Unavailable, "the store can't be written now; nothing was changed"))
	}
}

func (h *Handler) report(w http.ResponseWriter, r *http.Request) {
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
