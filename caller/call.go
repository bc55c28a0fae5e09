package caller

import (
	"context"
	"errors"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/logging"
	"github.com/figweir/figweir/service"
)

const (
	// HeaderIdempotencyKey names the header that makes a call run at most once
	// however often it is repeated.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderWorkspace tells a backend server whose call it is.
	HeaderWorkspace = "X-Workspace"
	// maxIdempotencyKeyBytes bounds an idempotency key.
	maxIdempotencyKeyBytes = 256
	// maxServiceAttempts bounds the servers that one call may try.
	maxServiceAttempts = 3
)

// hopHeaders are those that HTTP defines for one connection, and those that
// may carry a key.
var hopHeaders = []string{
	"Authorization", "Proxy-Authorization", "Proxy-Authenticate", "Connection", "Proxy-Connection",
	"Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", HeaderWorkspace,
}

// defaultIdempotentMethods apply where a service names none.
var defaultIdempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

func (h *Handler) call(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "service")
	snapshot := h.Config.Load()
	open := false
	if snapshot != nil {
		if svc := snapshot.Service(name); svc != nil {
			open = svc.Open
		}
	}
	s, err := h.begin(w, r, open)
	if err != nil {
		h.refuse(w, err)
		return
	}
	svc := s.snapshot.Service(name)
	if svc == nil || (s.workspace == nil && !svc.Open) {
		h.reject(w, s, "", apierr.New(apierr.NotFound, "there is no such service", apierr.NotRun()))
		return
	}
	if s.workspace != nil && !s.workspace.MayCall(name) {
		h.reject(w, s, name, apierr.New(apierr.Forbidden, "the workspace may not call this service", apierr.NotRun()))
		return
	}
	raw, err := h.readBody(w, r, s)
	if err != nil {
		h.reject(w, s, name, err)
		return
	}
	call, err := newCall(r, s, svc, raw)
	if err != nil {
		h.reject(w, s, name, err)
		return
	}
	h.runCall(w, r, s, svc, call)
}

func newCall(r *http.Request, s *session, svc *config.Service, raw []byte) (service.Call, error) {
	if len(r.Header.Get(HeaderIdempotencyKey)) > maxIdempotencyKeyBytes {
		return service.Call{}, apierr.New(apierr.BadRequest, "the idempotency key is longer than 256 bytes", apierr.NotRun())
	}
	methods := svc.IdempotentMethods
	if len(methods) == 0 {
		methods = defaultIdempotentMethods
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+svc.Name)
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return service.Call{
		Method: r.Method, Path: path, Body: raw,
		Header:     upstreamHeader(r.Header, s),
		Idempotent: slices.Contains(methods, r.Method),
	}, nil
}

// upstreamHeader copies the headers that a backend server may see. A header
// whose value contains the key is left out whatever its name.
func upstreamHeader(in http.Header, s *session) http.Header {
	out := make(http.Header, len(in)+2)
	connection := in.Values("Connection")
	for name, values := range in {
		if slices.Contains(hopHeaders, name) || namedBy(connection, name) {
			continue
		}
		if s.key != "" && slices.ContainsFunc(values, func(v string) bool { return strings.Contains(v, s.key) }) {
			continue
		}
		out[name] = slices.Clone(values)
	}
	out.Set(HeaderRequestID, s.id)
	if s.workspace != nil {
		out.Set(HeaderWorkspace, s.workspace.Name)
	}
	return out
}

// namedBy reports whether a Connection header lists the name.
func namedBy(connection []string, name string) bool {
	for _, value := range connection {
		for token := range strings.SplitSeq(value, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token)) == name {
				return true
			}
		}
	}
	return false
}

func (h *Handler) runCall(w http.ResponseWriter, r *http.Request, s *session, svc *config.Service, call service.Call) {
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(svc.TimeoutSeconds*float64(time.Second)))
	defer cancel()
	work := Work{Request: s.id, Workspace: s.workspaceName(), Service: svc.Name}
	work.Deadline, _ = ctx.Deadline()
	answer, recorded, err := h.answerCall(ctx, s, svc, call, work, r.Header.Get(HeaderIdempotencyKey))
	if err != nil {
		h.reject(w, s, svc.Name, err)
		return
	}
	// A repeat that is answered from the record has not run.
	if s.workspace != nil && !recorded {
		h.Meter.Count(ctx, s.workspace.Name, 1, 0, 0)
	}
	h.Metrics.RequestsWholeTotal.Add(1)
	h.Observer.Observe(Observation{Workspace: work.Workspace, Service: svc.Name, Whole: answer.Status < http.StatusInternalServerError, At: time.Now()})
	h.writeAnswer(w, answer)
	s.log.Info("call served", "service", svc.Name, "method", call.Method, "status", answer.Status, "recorded", recorded, "duration_s", time.Since(s.start).Seconds())
}

// answerCall sends an idempotent call as often as needed, and any other at
// most once. It reports whether the answer is the recorded one of an earlier
// call.
func (h *Handler) answerCall(ctx context.Context, s *session, svc *config.Service, call service.Call, work Work, key string) (service.Answer, bool, error) {
	pool := s.snapshot.Pool(svc.Pool)
	if call.Idempotent {
		answer, err := h.sendIdempotent(ctx, s, pool, call, work)
		return answer, false, err
	}
	if key == "" {
		answer, _, err := h.sendOnce(ctx, s, pool, call, work)
		return answer, false, err
	}
	claim, recorded, err := h.Claimer.Claim(ctx, ClaimedCall{
		Workspace: work.Workspace, Service: svc.Name, IdempotencyKey: key,
		Content: slices.Concat([]byte(call.Method+" "+call.Path+"\n"), call.Body),
	})
	if err != nil {
		return service.Answer{}, false, err
	}
	if recorded != nil {
		return *recorded, true, nil
	}
	answer, err := h.sendClaimed(ctx, s, pool, call, work, claim)
	return answer, false, err
}

// sendClaimed sends a claimed call and settles its claim.
func (h *Handler) sendClaimed(ctx context.Context, s *session, pool *config.Pool, call service.Call, work Work, claim Claim) (service.Answer, error) {
	// A caller that hangs up must not turn a call that runs into one whose
	// outcome is unknown.
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Until(work.Deadline))
	defer cancel()
	answer, sent, err := h.sendOnce(detached, s, pool, call, work)
	switch {
	case err == nil:
		claim.Done(answer)
	case sent:
		claim.Unknown()
	default:
		claim.Release()
	}
	return answer, err
}

// sendOnce tries servers until one has been reached, and reports whether the
// call may have run.
func (h *Handler) sendOnce(ctx context.Context, s *session, pool *config.Pool, call service.Call, work Work) (service.Answer, bool, error) {
	for range maxServiceAttempts {
		target, err := h.Router.Pick(pool, work)
		if err != nil {
			return service.Answer{}, false, err
		}
		answer, err := h.send(ctx, s, target, call)
		if err == nil {
			return answer, true, nil
		}
		if !errors.Is(err, service.ErrNotSent) {
			return service.Answer{}, true, apierr.Wrap(err, apierr.OutcomeUnknown, "the call may have run; no whole answer came")
		}
		work.Exclude = append(work.Exclude, target.Name)
	}
	return service.Answer{}, false, apierr.New(apierr.Unavailable, "no server of the service could be reached", apierr.NotRun(), apierr.RetryAfter(unavailableRetry))
}

func (h *Handler) sendIdempotent(ctx context.Context, s *session, pool *config.Pool, call service.Call, work Work) (service.Answer, error) {
	var last error
	for n := range maxServiceAttempts {
		if n > 0 && !h.Admitter.Retry(work.Service) {
			break
		}
		target, err := h.Router.Pick(pool, work)
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		answer, err := h.send(ctx, s, target, call)
		if err == nil && answer.Status != http.StatusServiceUnavailable {
			return answer, nil
		}
		if err == nil {
			err = errors.New("service: status 503")
		}
		last = err
		work.Exclude = append(work.Exclude, target.Name)
		if ctx.Err() != nil {
			return service.Answer{}, apierr.Wrap(last, apierr.DeadlineExceeded, "the service did not answer in time", apierr.RetryAfter(unavailableRetry))
		}
	}
	if apierr.CodeOf(last) != apierr.Internal {
		return service.Answer{}, last
	}
	return service.Answer{}, apierr.Wrap(last, apierr.UpstreamFailed, "no server of the service gave a whole answer", apierr.RetryAfter(unavailableRetry))
}

func (h *Handler) send(ctx context.Context, s *session, target Target, call service.Call) (service.Answer, error) {
	defer target.Release()
	h.Metrics.AttemptsTotal.Add(1)
	answer, err := h.Services.Call(ctx, target.Address, call)
	if err != nil {
		s.log.Info("call failed", logging.BackendServer, target.Name, logging.FailureDomain, target.FailureDomain, "error", err.Error())
	}
	return answer, err
}

func (h *Handler) writeAnswer(w http.ResponseWriter, answer service.Answer) {
	for name, values := range answer.Header {
		if !slices.Contains(hopHeaders, name) {
			w.Header()[name] = values
		}
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.options.WriteTimeout))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
