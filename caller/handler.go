package caller

import (
	"bytes"
	"context"
	"errors"
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
	"github.com/figweir/figweir/inbound"
	"github.com/figweir/figweir/logging"
	"github.com/figweir/figweir/membudget"
	"github.com/figweir/figweir/metrics"
	"github.com/figweir/figweir/quarantine"
	"github.com/figweir/figweir/service"
)

// HeaderRequestID is the header with the ID of a request. It is sent to backend
// servers and in the response.
const HeaderRequestID = "X-Request-Id"

const (
	// unavailableRetryAfter is the Retry-After value if this node can't serve a
	// request. Another node behind the load balancer usually can.
	unavailableRetryAfter = time.Second
	// drainRetryAfter is the Retry-After value of a draining node.
	drainRetryAfter = time.Second
)

// Options holds the limits of the handler.
type Options struct {
	// MaxBodyBytes limits the size of a request body, in bytes.
	MaxBodyBytes int64
	// BodyTimeout limits the time until the body has been received.
	BodyTimeout time.Duration
	// WriteTimeout limits each write to a caller.
	WriteTimeout time.Duration
	// RequestTimeout limits the total time of a chat request.
	RequestTimeout time.Duration
	// RefusingGrace is how long a running stream continues while the Gate refuses
	// new requests.
	RefusingGrace time.Duration
	// MaxAttempts limits the attempts of one chat request.
	MaxAttempts int
}

// Dependencies holds the components that the handler uses. None may be nil.
type Dependencies struct {
	Config    *config.CurrentSnapshot
	KeySecret []byte
	Engines   *engine.Client
	Services  *service.Client
	// AnswerMemory limits what is collected of all answers together that are not streamed.
	AnswerMemory *membudget.Budget
	Router       Router
	Admitter     Admitter
	Claimer      Claimer
	Meter        Meter
	Observer     Observer
	Gate         Gate
	// Quarantine blocks requests whose messages crash engines.
	Quarantine *quarantine.Tracker
	Metrics    *metrics.Set
	Log        logr.Logger
}

// Handler is the HTTP handler for callers.
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
	r.Post("/v1/chat/completions", h.handleChat)
	r.Get("/v1/models", h.handleModels)
	r.HandleFunc("/services/{service}", h.handleCall)
	r.HandleFunc("/services/{service}/*", h.handleCall)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		apierr.Write(w, apierr.New(apierr.NotFound, "there is no such route", apierr.NotRun()))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		apierr.Write(w, apierr.New(apierr.BadRequest, "the route does not take this method", apierr.NotRun()))
	})
	h.router = r
	return h
}

// Drain makes the handler refuse new requests. Running requests continue.
func (h *Handler) Drain() { h.draining.Store(true) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.Metrics.RequestsTotal.Add(1)
	h.Metrics.InFlight.Add(1)
	defer h.Metrics.InFlight.Add(-1)
	// The deadline is set here so that it also applies to requests that are refused
	// before their body is read: net/http reads the rest of the body before it sends
	// the response.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.options.BodyTimeout))
	defer inbound.AccountOf(r.Context()).EndRequest()
	w, endWrites := inbound.LimitWrites(w, h.options.WriteTimeout)
	defer endWrites()
	if r.ContentLength != 0 {
		// Until the body has been read: net/http would read the rest of it otherwise.
		w.Header().Set("Connection", "close")
	}
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
		h.writeRefusal(w, apierr.New(apierr.Draining, "this node is being stopped", apierr.NotRun(), apierr.RetryAfter(drainRetryAfter)))
		return
	}
	h.router.ServeHTTP(w, r)
}

// session is an authenticated request.
type session struct {
	id        string
	startedAt time.Time
	snapshot  *config.Snapshot
	// workspace is nil on open routes.
	workspace *config.Workspace
	key       string
	keyID     string
	log       logr.Logger
	// account is the memory of the request; nil if it is not limited.
	account *membudget.Connection
	// workBytes is the memory that is reserved for decoding the body.
	workBytes int64
}

// beginSession authenticates a request. If open is set, a request without a key
// is allowed; a request with an unknown key never is. Errors are from apierr.
func (h *Handler) beginSession(w http.ResponseWriter, r *http.Request, open bool) (*session, error) {
	s := &session{id: uuid.NewString(), startedAt: time.Now(), account: inbound.AccountOf(r.Context())}
	w.Header().Set(HeaderRequestID, s.id)
	s.log = h.Log.WithValues(logging.RequestKey, s.id)
	s.snapshot = h.Config.Load()
	if s.snapshot == nil {
		return nil, apierr.New(apierr.Unavailable, "this node has no configuration yet", apierr.NotRun(), apierr.RetryAfter(unavailableRetryAfter))
	}
	if err := h.Gate.Check(); err != nil {
		return nil, err
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		if open {
			return s, s.begin()
		}
		return nil, apierr.New(apierr.Unauthorized, "a workspace key is needed: Authorization: Bearer KEY", apierr.NotRun())
	}
	workspace, err := s.snapshot.Authenticate(key, h.KeySecret)
	if err != nil {
		return nil, apierr.Wrap(err, apierr.Unauthorized, "the key is unknown or withdrawn", apierr.NotRun())
	}
	s.workspace, s.key = workspace, key
	s.keyID, _ = config.KeyID(key)
	s.log = s.log.WithValues(logging.WorkspaceKey, workspace.Name)
	return s, s.begin()
}

// begin reserves the memory of the request.
func (s *session) begin() error {
	if err := s.account.BeginRequest(s.workspaceName()); err != nil {
		return noRoomError(err)
	}
	return nil
}

// noRoomError returns the error for a request for which there is no memory. Nothing of it has been sent.
func noRoomError(err error) error {
	return apierr.Wrap(err, apierr.Unavailable, "too little memory for requests", apierr.NotRun(), apierr.RetryAfter(inbound.RetryNoRoom))
}

// workspaceName returns the name of the workspace, or "" on open routes.
func (s *session) workspaceName() string {
	if s.workspace == nil {
		return ""
	}
	return s.workspace.Name
}

// recheckKey returns an error if the key was withdrawn since the session began.
func (h *Handler) recheckKey(s *session) error {
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

// readBody reads the body within the limits of the handler. It refuses a request that contains the
// workspace key in its body or URL. release must be called once the body is not used any more.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, s *session) (raw []byte, release func(), err error) {
	if r.ContentLength > h.options.MaxBodyBytes {
		return nil, func() {}, errTooLarge
	}
	control := http.NewResponseController(w)
	deadline := time.Now().Add(h.options.BodyTimeout)
	body, err := s.account.ReadBody(http.MaxBytesReader(w, r.Body, h.options.MaxBodyBytes), membudget.Upload{
		Announced: r.ContentLength, Timeout: h.options.BodyTimeout,
		OnWait: func(waited time.Duration) {
			deadline = deadline.Add(waited)
			_ = control.SetReadDeadline(deadline)
		},
	})
	if err == nil {
		err = s.account.Arrived()
	}
	if err == nil {
		err = s.beginDecoding(body.Size())
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		if inbound.IsNoRoom(err) || s.account.IsClosed() {
			return nil, body.Release, noRoomError(err)
		}
		return nil, body.Release, bodyError(err)
	}
	// The deadline is removed, because its expiry would cancel the request's context.
	_ = control.SetReadDeadline(time.Time{})
	if !h.draining.Load() {
		w.Header().Del("Connection")
	}
	raw = body.Join()
	if s.key != "" && (bytes.Contains(raw, []byte(s.key)) || strings.Contains(r.URL.RequestURI(), s.key)) {
		return nil, body.Release, apierr.New(apierr.BadRequest, "the workspace key may stand in the Authorization header only", apierr.NotRun())
	}
	return raw, body.Release, nil
}

// beginDecoding reserves the memory for decoding the body.
func (s *session) beginDecoding(bodyBytes int) error {
	work := inbound.BodyCopies * int64(bodyBytes)
	if err := s.account.AddWork(work); err != nil {
		return err
	}
	s.workBytes = work
	return nil
}

// endDecoding gives the memory for decoding the body back. What is sent to backend servers has the memory
// of the body itself.
func (s *session) endDecoding() {
	s.account.EndWork(s.workBytes)
	s.workBytes = 0
}

// errTooLarge is the refusal of a body over the limit.
var errTooLarge = apierr.New(apierr.TooLarge, "the body is larger than this node takes", apierr.NotRun())

// bodyError converts an error of reading the body to an error for the caller.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errTooLarge
	}
	return apierr.Wrap(err, apierr.BadRequest, "the body did not arrive whole in time", apierr.NotRun())
}

// writeRefusal counts a refused request and writes the error response. Nothing else
// must have been written.
func (h *Handler) writeRefusal(w http.ResponseWriter, err error) {
	h.Metrics.RefusalsTotal.Add(string(apierr.CodeOf(err)), 1)
	apierr.Write(w, err)
}

// refuseRequest refuses a request of a session: it logs the error, reports it to
// the observer and writes the response.
func (h *Handler) refuseRequest(w http.ResponseWriter, s *session, service string, err error) {
	detail := apierr.Describe(err)
	if s != nil {
		s.log.Info("request refused", "code", detail.Code, "not_run", detail.NotRun, "error", err.Error())
		h.Observer.Observe(Observation{Workspace: s.workspaceName(), Service: service, Code: detail.Code, At: time.Now()})
	}
	h.writeRefusal(w, err)
}

// requestContext returns the context of a chat request with RequestTimeout.
func (h *Handler) requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), h.options.RequestTimeout)
}
