package caller

import (
	"context"
	"errors"
	"fmt"
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
	"github.com/figweir/figweir/tcpstate"
)

const (
	// HeaderIdempotencyKey is the request header with a key that is the same in all
	// repeats of a call. A call with a key runs at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderWorkspace is the header with the name of the workspace, which is sent to
	// backend servers.
	HeaderWorkspace = "X-Workspace"
	// maxIdempotencyKeyBytes limits the length of an idempotency key.
	maxIdempotencyKeyBytes = 256
	// maxServiceAttempts limits the servers to which one call may be sent.
	maxServiceAttempts = 3
)

// removedHeaders are not forwarded in either direction: the hop-by-hop headers of
// HTTP, headers that may contain a key, and those that the node sets itself.
var removedHeaders = []string{
	"Authorization", "Proxy-Authorization", "Proxy-Authenticate", "Connection", "Proxy-Connection",
	"Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", HeaderWorkspace,
}

// defaultIdempotentMethods applies to services without configured methods.
var defaultIdempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

// handleCall handles a request to a service.
func (h *Handler) handleCall(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "service")
	snapshot := h.Config.Load()
	isOpen := false
	if snapshot != nil {
		if svc := snapshot.Service(name); svc != nil {
			isOpen = svc.Open
		}
	}
	s, err := h.beginSession(w, r, isOpen)
	if err != nil {
		h.writeRefusal(w, err)
		return
	}
	svc := s.snapshot.Service(name)
	if svc == nil || (s.workspace == nil && !svc.Open) {
		h.refuseRequest(w, s, "", apierr.New(apierr.NotFound, "there is no such service", apierr.NotRun()))
		return
	}
	if s.workspace != nil && !s.workspace.MayCall(name) {
		h.refuseRequest(w, s, name, apierr.New(apierr.Forbidden, "the workspace may not call this service", apierr.NotRun()))
		return
	}
	raw, release, err := h.readBody(w, r, s)
	defer release()
	if err != nil {
		h.refuseRequest(w, s, name, err)
		return
	}
	call, err := newCall(r, s, svc, raw)
	if err != nil {
		h.refuseRequest(w, s, name, err)
		return
	}
	h.runCall(w, r, s, svc, call)
}

// newCall converts a request to a call of a backend server. It returns an error
// from apierr if the idempotency key is too long.
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

// upstreamHeader copies the headers to be sent to a backend server. It omits any
// header whose value contains the workspace key.
func upstreamHeader(in http.Header, s *session) http.Header {
	out := make(http.Header, len(in)+2)
	connection := in.Values("Connection")
	for name, values := range in {
		if slices.Contains(removedHeaders, name) || listedInConnection(connection, name) {
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

// listedInConnection reports whether a Connection header lists the name.
func listedInConnection(connection []string, name string) bool {
	for _, value := range connection {
		for token := range strings.SplitSeq(value, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token)) == name {
				return true
			}
		}
	}
	return false
}

// runCall runs a call, counts it and writes the answer.
func (h *Handler) runCall(w http.ResponseWriter, r *http.Request, s *session, svc *config.Service, call service.Call) {
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(svc.TimeoutSeconds*float64(time.Second)))
	defer cancel()
	info := RequestInfo{RequestID: s.id, Workspace: s.workspaceName(), Service: svc.Name}
	info.Deadline, _ = ctx.Deadline()
	answer, recorded, err := h.answerCall(ctx, s, svc, call, info, r.Header.Get(HeaderIdempotencyKey))
	if err != nil {
		h.refuseRequest(w, s, svc.Name, err)
		return
	}
	// A repeat that is answered with the recorded answer did not run.
	if s.workspace != nil && !recorded {
		h.Meter.Count(ctx, s.workspace.Name, 1, 0, 0)
	}
	h.Metrics.RequestsCompleteTotal.Add(1)
	h.Observer.Observe(Observation{Workspace: info.Workspace, Service: svc.Name, Complete: answer.Status < http.StatusInternalServerError, At: time.Now()})
	h.writeAnswer(w, answer)
	s.log.Info("call served", "service", svc.Name, "method", call.Method, "status", answer.Status, "recorded", recorded, "duration_s", time.Since(s.startedAt).Seconds())
}

// answerCall sends an idempotent call repeatedly if necessary, and any other call
// at most once. The boolean result is true if the answer is the recorded answer
// of an earlier call.
func (h *Handler) answerCall(ctx context.Context, s *session, svc *config.Service, call service.Call, info RequestInfo, key string) (service.Response, bool, error) {
	pool := s.snapshot.Pool(svc.Pool)
	if call.Idempotent {
		answer, err := h.sendIdempotent(ctx, s, pool, call, info)
		return answer, false, err
	}
	if key == "" {
		answer, _, err := h.sendOnce(ctx, s, pool, call, info)
		return answer, false, err
	}
	claim, recorded, err := h.Claimer.Claim(ctx, ClaimedCall{
		Workspace: info.Workspace, Service: svc.Name, IdempotencyKey: key,
		Content: slices.Concat([]byte(call.Method+" "+call.Path+"\n"), call.Body),
	})
	if err != nil {
		return service.Response{}, false, err
	}
	if recorded != nil {
		return *recorded, true, nil
	}
	answer, err := h.sendClaimed(ctx, s, pool, call, info, claim)
	return answer, false, err
}

// sendClaimed sends a claimed call and settles the claim.
func (h *Handler) sendClaimed(ctx context.Context, s *session, pool *config.Pool, call service.Call, info RequestInfo, claim Claim) (service.Response, error) {
	// The context is detached because a caller that disconnects must not cancel a
	// running call: its outcome would become unknown.
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Until(info.Deadline))
	defer cancel()
	answer, sent, err := h.sendOnce(detached, s, pool, call, info)
	switch {
	case err == nil:
		claim.Done(answer)
	case sent:
		claim.MarkUnknown()
	default:
		claim.Release()
	}
	return answer, err
}

// sendOnce tries servers until one is reached. The boolean result is true if the
// call may have run.
func (h *Handler) sendOnce(ctx context.Context, s *session, pool *config.Pool, call service.Call, info RequestInfo) (service.Response, bool, error) {
	for range maxServiceAttempts {
		target, err := h.Router.Pick(pool, info)
		if err != nil {
			return service.Response{}, false, err
		}
		answer, err := h.send(ctx, s, target, call)
		if err == nil {
			return answer, true, nil
		}
		if !errors.Is(err, service.ErrNotSent) {
			return service.Response{}, true, apierr.Wrap(err, apierr.OutcomeUnknown, "the call may have run; no whole answer came")
		}
		if errors.Is(err, tcpstate.ErrPeerClosed) {
			return service.Response{}, false, apierr.Wrap(err, apierr.Unavailable, "the call was not sent", apierr.NotRun())
		}
		info.Exclude = append(info.Exclude, target.Name)
	}
	return service.Response{}, false, apierr.New(apierr.Unavailable, "no server of the service could be reached", apierr.NotRun(), apierr.RetryAfter(unavailableRetryAfter))
}

// sendIdempotent sends a call to up to maxServiceAttempts servers until one
// answers with a status other than 503.
func (h *Handler) sendIdempotent(ctx context.Context, s *session, pool *config.Pool, call service.Call, info RequestInfo) (service.Response, error) {
	var lastErr error
	for n := range maxServiceAttempts {
		if n > 0 && !h.Admitter.Retry(info.Service) {
			break
		}
		target, err := h.Router.Pick(pool, info)
		if err != nil {
			if lastErr == nil {
				lastErr = err
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
		lastErr = err
		if errors.Is(err, tcpstate.ErrPeerClosed) {
			break
		}
		info.Exclude = append(info.Exclude, target.Name)
		if ctx.Err() != nil {
			return service.Response{}, apierr.Wrap(lastErr, apierr.DeadlineExceeded, "the service did not answer in time", apierr.RetryAfter(unavailableRetryAfter))
		}
	}
	if apierr.CodeOf(lastErr) != apierr.Internal {
		return service.Response{}, lastErr
	}
	return service.Response{}, apierr.Wrap(lastErr, apierr.UpstreamFailed, "no server of the service gave a whole answer", apierr.RetryAfter(unavailableRetryAfter))
}

// send sends a call to one server and releases the target.
func (h *Handler) send(ctx context.Context, s *session, target Target, call service.Call) (service.Response, error) {
	defer target.Release()
	if err := tcpstate.CheckPeer(ctx); err != nil {
		return service.Response{}, fmt.Errorf("%w: %w", service.ErrNotSent, err)
	}
	h.Metrics.AttemptsTotal.Add(1)
	answer, err := h.Services.Call(ctx, target.Address, call)
	if err != nil {
		s.log.Info("call failed", logging.BackendServerKey, target.Name, logging.FailureDomainKey, target.FailureDomain, "error", err.Error())
	}
	return answer, err
}

// writeAnswer writes the answer of a service to the caller.
func (h *Handler) writeAnswer(w http.ResponseWriter, answer service.Response) {
	for name, values := range answer.Header {
		if !slices.Contains(removedHeaders, name) {
			w.Header()[name] = values
		}
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.options.WriteTimeout))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
