package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/logging"
	"github.com/figweir/figweir/metrics"
	"github.com/figweir/figweir/service"
)

// HeaderRequestID names the response header that identifies a request.
const HeaderRequestID = "X-Request-Id"

const (
	// unavailableRetry is when a caller comes back after this node could not
	// serve: another node behind the balancer usually can.
	unavailableRetry = time.Second
	drainRetry       = time.Second
)

// Options are the limits of the handler.
type Options struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// BodyTimeout bounds the time in which the body must arrive.
	BodyTimeout time.Duration
	// WriteTimeout bounds each write to a caller.
	WriteTimeout time.Duration
	// RequestTimeout bounds a request as a whole.
	RequestTimeout time.Duration
	// RefusingGrace is how long a running stream goes on while the node refuses
	// new requests.
	RefusingGrace time.Duration
	// MaxAttempts bounds the engines that one model request may try.
	MaxAttempts int
}

// Dependencies are the parts that the handler works with. Router, Admitter,
// Claimer, Meter, Observer and Gate must not be nil.
type Dependencies struct {
	Config    *config.Holder
	KeySecret []byte
	Engines   *engine.Client
	Services  *service.Client
	Router    Router
	Admitter  Admitter
	Claimer   Claimer
	Meter     Meter
	Observer  Observer
	Gate      Gate
	Metrics   *metrics.Set
	Log       logr.Logger
}

// Handler serves callers.
type Handler struct {
	Dependencies
	options  Options
	router   chi.Router
	draining atomic.Bool
}

// New returns a handler.
func New(d Dependencies, o Options) *Handler {
	h := &Handler{Dependencies: d, options: o}
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", h.chat)
	r.Get("/v1/models", h.models)
	r.HandleFunc("/services/{service}", h.call)
	r.HandleFunc("/services/{service}/*", h.call)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		apierr.Write(w, apierr.New(apierr.NotFound, "there is no such route", apierr.NotRun()))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		apierr.Write(w, apierr.New(apierr.BadRequest, "the route does not take this method", apierr.NotRun()))
	})
	h.router = r
	return h
}

// Drain makes the handler refuse new requests; running ones go on.
func (h *Handler) Drain() { h.draining.Store(true) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.Metrics.RequestsTotal.Add(1)
	h.Metrics.InFlight.Add(1)
	defer h.Metrics.InFlight.Add(-1)
	// The deadline covers requests that are refused before their body is read:
	// net/http reads the rest of a body before it sends the answer.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.options.BodyTimeout))
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
		h.refuse(w, apierr.New(apierr.Draining, "this node is being stopped", apierr.NotRun(), apierr.RetryAfter(drainRetry)))
		return
	}
	h.router.ServeHTTP(w, r)
}

// session is an authenticated request.
type session struct {
	id       string
	start    time.Time
	snapshot *config.Snapshot
	// workspace is nil on open routes.
	workspace *config.Workspace
	key       string
	keyID     string
	log       logr.Logger
}

// begin authenticates a request. With open set, a request without a key is let
// through; one with a wrong key never is.
func (h *Handler) begin(w http.ResponseWriter, r *http.Request, open bool) (*session, error) {
	s := &session{id: uuid.NewString(), start: time.Now()}
	w.Header().Set(HeaderRequestID, s.id)
	s.log = h.Log.WithValues(logging.Request, s.id)
	s.snapshot = h.Config.Load()
	if s.snapshot == nil {
		return nil, apierr.New(apierr.Unavailable, "this node has no configuration yet", apierr.NotRun(), apierr.RetryAfter(unavailableRetry))
	}
	if err := h.Gate.Check(); err != nil {
		return nil, err
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		if open {
			return s, nil
		}
		return nil, apierr.New(apierr.Unauthorized, "a workspace key is needed: Authorization: Bearer KEY", apierr.NotRun())
	}
	workspace, err := s.snapshot.Authenticate(key, h.KeySecret)
	if err != nil {
		return nil, apierr.Wrap(err, apierr.Unauthorized, "the key is unknown or withdrawn", apierr.NotRun())
	}
	s.workspace, s.key = workspace, key
	s.keyID, _ = config.KeyID(key)
	s.log = s.log.WithValues(logging.Workspace, workspace.Name)
	return s, nil
}

// workspaceName returns the name of the workspace, or "" on open routes.
func (s *session) workspaceName() string {
	if s.workspace == nil {
		return ""
	}
	return s.workspace.Name
}

// recheck refuses a request whose key was withdrawn after it began.
func (h *Handler) recheck(s *session) error {
	current := h.Config.Load()
	if s.workspace == nil || current.Revision == s.snapshot.Revision {
		return nil
	}
	if current.KeyValid(s.keyID, s.workspace.Name) {
		s.snapshot = current
		return nil
	}
	h.Metrics.KeysWithdrawnTotal.Add(1)
	return apierr.New(apierr.Unauthorized, "the key was withdrawn")
}

// readBody reads the body within the limits of the handler.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, s *session) ([]byte, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.options.MaxBodyBytes))
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, bodyError(err)
	}
	// A deadline that passes later would cancel the request's context.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if s.key != "" && (bytes.Contains(raw, []byte(s.key)) || strings.Contains(r.URL.RequestURI(), s.key)) {
		return nil, apierr.New(apierr.BadRequest, "the workspace key may stand in the Authorization header only", apierr.NotRun())
	}
	return raw, nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return apierr.New(apierr.TooLarge, "the body is larger than this node takes", apierr.NotRun())
	}
	return apierr.Wrap(err, apierr.BadRequest, "the body did not arrive whole in time", apierr.NotRun())
}

// refuse answers with an error before anything else was sent.
func (h *Handler) refuse(w http.ResponseWriter, err error) {
	h.Metrics.RefusalsTotal.Add(string(apierr.CodeOf(err)), 1)
	apierr.Write(w, err)
}

// reject refuses a request of a session and logs why.
func (h *Handler) reject(w http.ResponseWriter, s *session, service string, err error) {
	detail := apierr.Describe(err)
	if s != nil {
		s.log.Info("request refused", "code", detail.Code, "not_run", detail.NotRun, "error", err.Error())
		h.Observer.Observe(Observation{Workspace: s.workspaceName(), Service: service, Code: detail.Code, At: time.Now()})
	}
	h.refuse(w, err)
}

func (h *Handler) requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), h.options.RequestTimeout)
}
