package gateway

import (
	"expvar"
	"fmt"
	"net/http"
	"sort"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/core"
	"github.com/figweir/figweir/logging"
	"github.com/figweir/figweir/platform"
)

// observer logs and counts how requests end.
type observer struct {
	log      logr.Logger
	requests *expvar.Map
	refusals *expvar.Map
	attempts *expvar.Map
}

func newObserver(log logr.Logger) *observer {
	return &observer{
		log: log, requests: new(expvar.Map).Init(), refusals: new(expvar.Map).Init(), attempts: new(expvar.Map).Init(),
	}
}

// Attempt implements core.Observer.
func (o *observer) Attempt(r *core.Record, server *backends.Server, event string, cause error) {
	o.attempts.Add(event, 1)
	message := ""
	if cause != nil {
		message = cause.Error()
	}
	o.log.Info("attempt", logging.Request, r.Request.ID, logging.BackendServer, server.ID, "event", event, "cause", message)
}

// Done implements core.Observer.
func (o *observer) Done(r *core.Record) {
	status := r.Status
	if r.Reason != "" {
		o.refusals.Add(string(r.Reason), 1)
	}
	o.requests.Add("total", 1)
	fields := []any{
		logging.Request, r.Request.ID, logging.Workspace, r.Workspace, "config_version", r.ConfigVersion,
		"service", r.Service, "status", status, "reason", string(r.Reason), "sent", r.Sent, "unsent", r.Unsent,
		"refused", r.Refused, "resumed", r.Resumed, "events", r.Events,
		"first_ms", r.FirstEvent.Milliseconds(), "estimate_ms", r.Estimate.Milliseconds(), "total_ms", r.Total.Milliseconds(),
	}
	if r.Route != nil {
		fields = append(fields, "route", r.Route.Name)
	}
	if r.Request.Prompt != nil {
		fields = append(fields, "prefilled_ms", r.PrefilledAfter.Milliseconds(), "prompt_tokens", r.Request.Prompt.Tokens, "uncached_tokens", r.Uncached)
	}
	if r.Prefill != nil {
		fields = append(fields, "prefill_server", r.Prefill.ID)
	}
	if r.Server != nil {
		fields = append(fields, logging.BackendServer, r.Server.ID)
	}
	o.log.Info("request", fields...)
}

func (o *observer) rejected(status int, id, cause string) {
	o.refusals.Add(fmt.Sprintf("status_%d", status), 1)
	o.log.Info("request rejected", logging.Request, id, "status", status, "cause", cause)
}

func (o *observer) freeFailed(h *core.Handle, cause error) {
	o.attempts.Add("free_failed", 1)
	o.log.Info("KV cache not freed", "address", h.Address, "handle", h.ID, "cause", cause.Error())
}

// serveMetrics writes all counters as text, one a line.
func (o *observer) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	var lines []string
	for name, m := range map[string]*expvar.Map{"requests": o.requests, "refusals": o.refusals, "attempts": o.attempts} {
		m.Do(func(kv expvar.KeyValue) { lines = append(lines, fmt.Sprintf("%s{%s} %s", name, kv.Key, kv.Value)) })
	}
	sort.Strings(lines)
	for _, line := range lines {
		_, _ = fmt.Fprintln(w, line)
	}
}

var _ = platform.RefusalStatus
