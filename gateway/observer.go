package gateway

import (
	"expvar"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/core"
	"github.com/figweir/figweir/logging"
	"github.com/figweir/figweir/metrics"
)

// defaultLogRate is the default limit of log lines per second for served requests and
// attempts.
const defaultLogRate = 200

// malformedLoadInterval is the least time between two lines on load headers that are not used:
// servers send such a header with each answer.
const malformedLoadInterval = 10 * time.Second

// observer records logs and metrics of requests.
type observer struct {
	// log is for served requests and attempts, limited by logLimiter; failureLog is
	// for failed requests.
	log, failureLog logr.Logger
	logLimiter      *rate.Limiter
	// malformedLoads limits the lines on load headers that are not used.
	malformedLoads *rate.Limiter

	requests, refusals, attempts, droppedLines, quarantineChanges, notices, limitChanges *expvar.Map
	callersLeft, notRun, silentStreams, inbound                                          *expvar.Map

	socketErrorOnce sync.Once

	firstEvent, totalTime, prefillTime, longestPause, unread *metrics.Histogram
	// eventPause is the mean pause between the events of recent streams of all services.
	eventPause meanDuration
	// burn measures the consumption of error budgets.
	burn *burnMonitor
	// gauges returns the current values of gauges by name.
	gauges func() map[string]float64
}

func newObserver(log, failureLog logr.Logger, linesPerSecond int) *observer {
	o := &observer{
		log: log, failureLog: failureLog, requests: newCounterMap(), refusals: newCounterMap(), attempts: newCounterMap(), droppedLines: newCounterMap(),
		quarantineChanges: newCounterMap(), notices: newCounterMap(), limitChanges: newCounterMap(), callersLeft: newCounterMap(), notRun: newCounterMap(), silentStreams: newCounterMap(), inbound: newCounterMap(),
		firstEvent: metrics.NewHistogram(), totalTime: metrics.NewHistogram(), prefillTime: metrics.NewHistogram(),
		longestPause: metrics.NewHistogram(), unread: metrics.NewHistogram(),
		logLimiter: rate.NewLimiter(0, 0), malformedLoads: rate.NewLimiter(rate.Every(malformedLoadInterval), 1),
	}
	o.setLogRate(linesPerSecond)
	return o
}

func newCounterMap() *expvar.Map { return new(expvar.Map).Init() }

// setLogRate changes the limit of log lines per second; 0 sets the default.
func (o *observer) setLogRate(linesPerSecond int) {
	if linesPerSecond <= 0 {
		linesPerSecond = defaultLogRate
	}
	o.logLimiter.SetLimit(rate.Limit(linesPerSecond))
	o.logLimiter.SetBurst(linesPerSecond)
}

// AttemptFailed implements core.Observer.
func (o *observer) AttemptFailed(r *core.Record, server *backends.Server, event string, cause error) {
	o.attempts.Add(event, 1)
	if !o.logLimiter.Allow() {
		o.droppedLines.Add("attempt", 1)
		return
	}
	message := ""
	if cause != nil {
		message = cause.Error()
	}
	requests, tokens := server.OwnLoad()
	fields := []any{
		logging.RequestKey, r.Request.ID, logging.BackendServerKey, server.ID, "event", event, "cause", message,
		logging.FailureDomainKey, server.FailureDomain, "own_requests", requests, "own_prefill_tokens", tokens,
		"config_version", r.ConfigVersion, "events", r.Events,
	}
	if p := r.Request.Prompt; p != nil {
		fields = append(fields, "shared_parts", strings.Join(p.SharedPartIDs(), ","))
	}
	o.log.Info("attempt", fields...)
}

// RequestDone implements core.Observer.
func (o *observer) RequestDone(r *core.Record) {
	o.updateMetrics(r)
	o.burn.observe(r, time.Now())
	log := o.failureLog
	if r.Reason == "" || r.Reason == core.ReasonCallerGone {
		if !o.logLimiter.Allow() {
			o.droppedLines.Add("request", 1)
			return
		}
		log = o.log
	}
	log.Info("request", requestLogFields(r)...)
}

// StreamSilent implements core.Observer.
func (o *observer) StreamSilent(event core.StreamEvent, s core.SilentStream) {
	o.silentStreams.Add(string(event), 1)
	if event != core.StreamMoved && event != core.StreamEnded {
		return
	}
	if !o.logLimiter.Allow() {
		o.droppedLines.Add("silent_stream", 1)
		return
	}
	o.log.Info("silent stream "+string(event), logging.RequestKey, s.Request.ID, logging.BackendServerKey, s.Server.ID,
		logging.FailureDomainKey, s.Server.FailureDomain, "silence_ms", s.Silence.Milliseconds(), "reason", string(s.Reason))
}

// updateMetrics counts a finished request by its outcome and records its latencies.
func (o *observer) updateMetrics(r *core.Record) {
	o.requests.Add("total", 1)
	if r.Status != 0 {
		o.requests.Add("status_"+strconv.Itoa(r.Status), 1)
	}
	if r.Reason != "" {
		o.refusals.Add(string(r.Reason), 1)
	}
	if r.Reason == core.ReasonCallerGone {
		o.countCallerLeft(r)
	}
	o.countNotRun(r)
	o.unread.Observe(r.Request.Unread)
	if r.TimeToFirstEvent > 0 {
		o.firstEvent.Observe(r.TimeToFirstEvent)
	}
	if r.PrefilledAfter > 0 {
		o.prefillTime.Observe(r.PrefilledAfter)
	}
	if r.MaxPause > 0 {
		o.longestPause.Observe(r.MaxPause)
		if r.Reason == "" && r.Resumes == 0 && r.Request.Prompt != nil {
			o.eventPause.observe((r.TotalTime - r.TimeToFirstEvent) / time.Duration(r.Events-1))
		}
	}
	o.totalTime.Observe(r.TotalTime)
}

// requestLogFields returns the fields of the log line for a finished request. The API
// key is not logged.
func requestLogFields(r *core.Record) []any {
	fields := []any{
		logging.RequestKey, r.Request.ID, logging.WorkspaceKey, r.Workspace, "config_version", r.ConfigVersion,
		"service", r.Service, "status", r.Status, "reason", string(r.Reason), "sent", r.SentAttempts, "unsent", r.UnsentAttempts,
		"refused", r.RefusedAttempts, "resumed", r.Resumes, "events", r.Events, "first_ms", r.TimeToFirstEvent.Milliseconds(),
		"estimate_ms", r.FirstEventEstimate.Milliseconds(), "total_ms", r.TotalTime.Milliseconds(), "patience_ms", r.Request.CallerTimeout.Milliseconds(),
	}
	if r.Route != nil {
		fields = append(fields, "route", r.Route.Name, "target_ms", r.Route.TargetLatency.Milliseconds())
	} else {
		fields = append(fields, "host", r.Request.Host, "path", r.Request.Path)
	}
	if r.Request.Prompt != nil {
		fields = append(fields, "prefilled_ms", r.PrefilledAfter.Milliseconds(), "prompt_tokens", r.Request.Prompt.Tokens, "uncached_tokens", r.UncachedTokens)
	}
	if r.Events > 1 {
		fields = append(fields, "longest_pause_ms", r.MaxPause.Milliseconds())
	}
	if r.PrefillServer != nil {
		fields = append(fields, "prefill_server", r.PrefillServer.ID)
	}
	if r.Server != nil {
		fields = append(fields, logging.BackendServerKey, r.Server.ID)
	}
	if r.Reason == core.ReasonCallerGone {
		fields = append(fields, callerLeftFields(r)...)
	}
	return append(fields, notRunFields(r)...)
}

// logRejection logs and counts a request that was rejected before it reached the core.
func (o *observer) logRejection(status int, id, cause string) {
	o.refusals.Add(fmt.Sprintf("status_%d", status), 1)
	o.failureLog.Info("request rejected", logging.RequestKey, id, "status", status, "cause", cause)
}

// logFreeFailure logs and counts a failed release of a KV cache handle.
func (o *observer) logFreeFailure(h *core.KVHandle, cause error) {
	o.attempts.Add("free_failed", 1)
	o.log.Info("cannot free KV cache", "address", h.Address, "handle", h.ID, "cause", cause.Error())
}

// serveMetrics writes all metrics as text, one per line.
func (o *observer) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	var b []byte
	for _, m := range []struct {
		name string
		vars *expvar.Map
	}{
		{"requests_total", o.requests}, {"refusals_total", o.refusals}, {"attempts_total", o.attempts}, {"log_lines_dropped_total", o.droppedLines},
		{"quarantine_changes_total", o.quarantineChanges}, {"server_notices_total", o.notices}, {"rate_limit_changes_total", o.limitChanges}, {"callers_left_total", o.callersLeft}, {"not_run_total", o.notRun}, {"silent_streams_total", o.silentStreams}, {"inbound_limits_total", o.inbound},
	} {
		m.vars.Do(func(kv expvar.KeyValue) { b = fmt.Appendf(b, "%s{kind=%q} %s\n", m.name, kv.Key, kv.Value) })
	}
	b = o.firstEvent.AppendText(b, "first_event_ms")
	b = o.longestPause.AppendText(b, "longest_pause_ms")
	b = o.prefillTime.AppendText(b, "prefilled_ms")
	b = o.totalTime.AppendText(b, "answer_ms")
	b = o.unread.AppendText(b, "unread_ms")
	gauges := o.gauges()
	names := make([]string, 0, len(gauges))
	for name := range gauges {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		b = fmt.Appendf(b, "%s %v\n", name, gauges[name])
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if _, err := w.Write(b); err != nil {
		o.log.V(1).Info("cannot write metrics", "cause", err.Error())
	}
}

var _ core.Observer = (*observer)(nil)

// meanDuration is a moving average of durations. The zero value has no samples.
type meanDuration struct{ nanos atomic.Int64 }

// meanDurationSamples is the number of samples over which meanDuration averages.
const meanDurationSamples = 50

// observe adds a sample.
func (m *meanDuration) observe(d time.Duration) {
	old := m.nanos.Load()
	if old == 0 {
		old = int64(d)
	}
	// A sample that is lost to a concurrent one does not matter.
	m.nanos.Store(max(1, old+(int64(d)-old)/meanDurationSamples))
}

// value returns the average; 0 if there are no samples.
func (m *meanDuration) value() time.Duration { return time.Duration(m.nanos.Load()) }
