package core

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/singleflight"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/quarantine"
)

const (
	// maxUnsent is the number of attempts that could not be sent after which a
	// request is refused.
	maxUnsent = 4
	// maxRefused is the number of attempts that backend servers may refuse before
	// the request is refused.
	maxRefused = 3
	// attemptTimeShare is the share of the remaining time that an idempotent attempt
	// may use while another attempt is allowed.
	attemptTimeShare = 0.5
	// attemptTargetFactor bounds an idempotent attempt to this multiple of the
	// route's target latency while another attempt is allowed.
	attemptTargetFactor = 4
	// maxHandleUses is the number of attempts with one KV handle that the engine did
	// not accept; after that the KV cache is assumed to be lost.
	maxHandleUses = 2
	// minTimeLeft is the remaining time below which a request is not sent any more.
	minTimeLeft = 5 * time.Millisecond
)

// Chooser selects backend servers. *backends.Balancer implements it.
type Chooser interface {
	// Choose returns the backend server for an attempt, or an error that wraps
	// backends.ErrNoServer, backends.ErrFull, backends.ErrRateLimited or
	// backends.ErrDeadlineUnreachable. The caller must call Done on the choice.
	Choose(now time.Time, criteria *backends.Criteria) (*backends.Choice, error)
	// RetryAfter returns how long the caller should wait before it repeats a
	// request that the service could not accept.
	RetryAfter(service string) time.Duration
}

// RetryBudget limits the retries that are sent to a service.
type RetryBudget interface {
	// FirstAttempt counts the first attempt of a request to a service.
	FirstAttempt(service string)
	// Retry acquires one retry and reports whether one was available.
	Retry(service string) bool
}

// Quotas limits what all nodes together send for the workspaces that have a quota.
type Quotas interface {
	// Acquire waits for a permit to send an amount for a workspace. If there is none, it
	// returns after what time there may be one; 0 if ctx has ended.
	Acquire(ctx context.Context, workspace string, amount int64) (granted bool, retryAfter time.Duration)
	// Return gives back a permit with which nothing was sent.
	Return(workspace string, amount int64)
}

// Meter counts the usage of workspaces.
type Meter interface {
	// RequestStarted counts a request of a workspace that started to run at the given time.
	RequestStarted(workspace string, at time.Time)
}

// Observer receives the results of attempts and requests, for logs and metrics. Its
// methods must not block.
type Observer interface {
	// AttemptFailed is called for each attempt that did not succeed. event is the short
	// name of the failure in logs and metrics; cause may be nil.
	AttemptFailed(r *Record, server *backends.Server, event string, cause error)
	// ServerCrashed is called when a backend server crashed before it had begun to answer
	// the request.
	ServerCrashed(r *Record, server *backends.Server)
	// StreamSilent is called when something is done about a stream whose backend server is
	// silent.
	StreamSilent(event StreamEvent, s SilentStream)
	// RequestDone is called once at the end of each request.
	RequestDone(r *Record)
}

// Record holds what is logged and measured about one request.
type Record struct {
	Request       *Request
	ConfigVersion int64
	Route         *Route
	Workspace     string
	Service       string
	// The server of the last attempt, and the one of a separate prefill before it; both
	// may be nil.
	Server        *backends.Server
	PrefillServer *backends.Server
	// FirstEventEstimate is the time to the first event that was expected when the
	// server was chosen.
	FirstEventEstimate time.Duration
	// UncachedTokens is the number of prompt tokens that were not expected to be cached.
	UncachedTokens int
	// The number of attempts that were sent (refused ones included), that could not be
	// sent and that were refused, and how often a stream continued on another server.
	SentAttempts    int
	UnsentAttempts  int
	RefusedAttempts int
	Resumes         int
	// NotRunProofs tells for each attempt that has not run why it counts as such.
	NotRunProofs []NotRunProof
	// Status is the status code of the answer; 0 if the caller received none.
	Status int
	// Reason is empty if an answer of a backend server was sent completely.
	Reason Reason
	// PrefilledAfter is the time from the arrival until a separate prefill was
	// done; 0 if there was none.
	PrefilledAfter time.Duration
	// TimeToFirstEvent is the time from the arrival to the first event of a stream or to
	// the complete answer; 0 if there was neither.
	TimeToFirstEvent time.Duration
	// Events counts the reads from the stream that were relayed; one read may hold
	// several events.
	Events int
	// MaxPause is the longest time between two events of a stream.
	MaxPause time.Duration
	// TotalTime is the time from the arrival to the end of the request.
	TotalTime time.Duration
	// LastSend is the trace of the last attempt; nil if there was none.
	LastSend *SendTrace
}

// Core serves requests. All fields must be set before the first call of Serve.
type Core struct {
	// CurrentTable points to the current version of the configuration; nil until the
	// first version is loaded.
	CurrentTable *atomic.Pointer[Table]
	Chooser      Chooser
	RetryBudget  RetryBudget
	Upstream     Upstream
	Meter        Meter
	Observer     Observer
	// Quarantine blocks requests whose prompt parts crash backend servers.
	Quarantine *quarantine.Tracker
	// Quotas enforces the quotas of workspaces; if it is nil, they are not enforced.
	Quotas Quotas
	// Draining is the planned stop of the node; nil if it never stops.
	Draining *Drain
	// Servers returns the registered backend servers. If it is nil, replaced servers are not
	// noticed.
	Servers func() *backends.View

	// repeats keeps requests that may run only once from running again.
	repeats repeatGuard
	// crashChecks lets the requests that a server loses together share one check.
	crashChecks singleflight.Group
	// streams counts the streams that are watched for silence.
	streams streamCounts
}

// exchange is the state of one request while it is served.
type exchange struct {
	*Core
	ctx       context.Context
	request   *Request
	sink      Sink
	table     *Table
	route     *Route
	workspace *Workspace
	deadline  time.Time
	counts    attemptCounts
	excluded  []string
	// addresses are those to which attempts were made.
	addresses []string
	// chargedAttempts counts the attempts that count against the retry budget.
	chargedAttempts int
	// handle refers to KV cache from a separate prefill that no attempt has used
	// yet. handleUses counts the attempts that were sent with it.
	handle     *KVHandle
	handleUses int
	// choice is the last choice that was not made to continue a stream.
	choice *backends.Choice
	// prefilled is set once a separate prefill has been completed.
	prefilled bool
	// demandCounted is set once a choice has added the prompt to the measured demand.
	demandCounted bool
	// onEnd releases what attempts that continued a stream use. It is called at the end of
	// the request.
	onEnd []func()
	// metered is set once the start of the request has been counted as usage.
	metered bool
	// lastEventAt is when the last event of a stream was received.
	lastEventAt time.Time
	// settled is set once the request has been refused.
	settled bool
	// abandoned is set once an attempt was not sent because the caller has left.
	abandoned bool
	// retryAcquired is set if the budget has already granted the next attempt.
	retryAcquired bool
	// movedFromSilent is set once an attempt was ended because its server was silent.
	movedFromSilent bool
	// nextChoice is the server that a watch has chosen for the next attempt; nil if it has not.
	nextChoice *backends.Choice
	// quotaPermits counts the permits of the workspace's quota.
	quotaPermits int
	// sharedParts are the ids of the prompt parts that other requests may share.
	sharedParts []string
	// quarantineTrial is set if the request may be sent once although its parts are
	// suspected of crashing backend servers.
	quarantineTrial bool
	record          Record
}

// Serve handles one request and sends its answer or refusal to sink. ctx must be
// canceled when the caller disconnects.
func (c *Core) Serve(ctx context.Context, r *Request, sink Sink) {
	e := &exchange{Core: c, ctx: ctx, request: r, sink: sink, record: Record{Request: r}}
	if refusal, ok := e.authenticate(); !ok {
		e.refuse(refusal)
	} else {
		e.runOnce()
	}
	e.record.SentAttempts, e.record.UnsentAttempts, e.record.RefusedAttempts = e.counts.sent, e.counts.unsent, e.counts.refused
	e.record.TotalTime = time.Since(r.ArrivedAt)
	c.Observer.RequestDone(&e.record)
}

// runOnce runs the request unless it may run only once and this node has served it before, or
// serves it now.
func (e *exchange) runOnce() {
	if e.route.Idempotent() {
		e.run()
		return
	}
	key := e.record.Workspace + " " + e.request.Path + " " + e.request.ID
	if !e.repeats.enter(key, e.deadline, time.Now()) {
		e.refuse(Refusal{MayHaveRun, ReasonRepeated, 0})
		return
	}
	e.run()
	if e.counts.mayHaveRun == 0 {
		e.repeats.forget(key)
	}
}

// retryWithoutConfiguration is the time after which a caller should retry at a node
// that has not loaded its configuration yet.
const retryWithoutConfiguration = 500 * time.Millisecond

// authenticate determines the route, the workspace and the deadline of the request.
// It returns false with a refusal if the request is not allowed.
func (e *exchange) authenticate() (Refusal, bool) {
	e.table = e.CurrentTable.Load()
	if e.table == nil {
		return Refusal{NotRun, ReasonNoConfiguration, retryWithoutConfiguration}, false
	}
	e.record.ConfigVersion = e.table.Version
	e.route = e.table.Route(e.request.Host, e.request.Path)
	if e.route == nil {
		return Refusal{NoRoute, ReasonNoRoute, 0}, false
	}
	e.record.Route = e.route
	e.workspace = e.table.Workspace(e.request.Key)
	if e.workspace == nil && e.table.KeysRequired && !e.route.Public {
		return Refusal{BadKey, ReasonBadKey, 0}, false
	}
	if e.workspace != nil {
		e.record.Workspace = e.workspace.Name
	}
	e.deadline = e.request.ArrivedAt.Add(e.route.Timeout)
	if p := e.request.CallerTimeout; p > 0 && (p < e.route.Timeout || e.route.Timeout <= 0) {
		e.deadline = e.request.ArrivedAt.Add(p)
	}
	return Refusal{}, true
}

// run sends attempts until the request is settled.
func (e *exchange) run() {
	ctx := e.ctx
	if e.route.Kind == Unsafe {
		// A request that may run only once is not canceled when the caller
		// disconnects, so that its outcome is still observed and metered.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadlineCause(ctx, e.deadline, context.DeadlineExceeded)
	defer cancel()
	defer e.Draining.onEnd(cancel)()
	defer e.freeHandle()
	defer e.returnTrial()
	defer e.releaseChoice()
	defer e.returnQuota()
	defer func() {
		for _, end := range e.onEnd {
			end()
		}
	}()
	service := e.route.Service(xxhash.Sum64String(e.request.ID))
	e.record.Service = service
	e.sharedParts = e.request.Prompt.SharedPartIDs()
	for {
		if e.callerGone() {
			e.fail(ReasonCallerGone)
			return
		}
		if time.Until(e.deadline) < minTimeLeft {
			e.fail(ReasonDeadline)
			return
		}
		if e.refuseIfQuarantined() || e.refuseIfStopping() || e.refuseIfOverQuota(ctx) {
			return
		}
		// The whole request is chosen for anew, perhaps with a separate prefill.
		e.releaseChoice()
		choice, err := e.Chooser.Choose(time.Now(), e.criteria(service))
		if err != nil {
			e.fail(e.noServerReason(err))
			return
		}
		e.choice = choice
		settled := e.attempt(ctx, choice)
		choice.Done()
		if settled {
			return
		}
	}
}

// reportEvent reports an event to the choice of its server. The events that follow once a stream was
// resumed on another server are not reported.
func (e *exchange) reportEvent(now time.Time) {
	if e.choice != nil && e.choice.Server == e.record.Server {
		e.choice.Event(now)
	}
}

// callerGone reports whether the caller is known to have left.
func (e *exchange) callerGone() bool { return e.abandoned || e.ctx.Err() != nil }

// abandon records an attempt that was not sent because the caller has left.
func (e *exchange) abandon(server *backends.Server) {
	e.abandoned = true
	e.Observer.AttemptFailed(&e.record, server, "abandoned", ErrCallerLeft)
}

// noServerReason maps an error of Chooser.Choose to the reason of the refusal.
func (e *exchange) noServerReason(err error) Reason {
	switch {
	case errors.Is(err, backends.ErrDeadlineUnreachable):
		return ReasonDeadlineUnreachable
	case errors.Is(err, backends.ErrRateLimited):
		return ReasonRateLimited
	case e.counts.refused > 0 || errors.Is(err, backends.ErrFull):
		return ReasonServersFull
	case e.counts.unsent > 0:
		return ReasonUnreachable
	default:
		return ReasonNoServer
	}
}

// criteria returns the selection criteria for the next attempt.
func (e *exchange) criteria(service string) *backends.Criteria {
	criteria := e.newCriteria(service, e.excluded)
	criteria.DemandCounted = e.demandCounted
	e.demandCounted = true
	if e.handle != nil {
		criteria.Prefilled, criteria.HandleDomain = true, e.record.PrefillServer.FailureDomain
	}
	return criteria
}

// newCriteria returns the selection criteria that do not change while the request is served, except
// for the time left. It may be called from any goroutine.
func (e *exchange) newCriteria(service string, excluded []string) *backends.Criteria {
	criteria := &backends.Criteria{
		Service: service, Prompt: e.request.Prompt, Excluded: excluded,
		TimeLeft: time.Until(e.deadline), TargetLatency: e.route.TargetLatency, TargetPause: e.route.TargetPause,
		Resumed: e.request.LastEventID != "", DemandCounted: true,
	}
	if s := e.table.Services[service]; s != nil && s.Engine != nil {
		criteria.KVTokenBytes, criteria.LinkBitsPerSecond = s.Engine.KVTokenBytes, s.Engine.LinkBitsPerSecond
	}
	return criteria
}

// priority returns the priority of the workspace if it has one, and otherwise that
// of the route.
func (e *exchange) priority() int {
	if e.workspace != nil && e.workspace.Priority >= 0 {
		return e.workspace.Priority
	}
	return e.route.Priority
}

// fail refuses a request that no backend server has answered.
func (e *exchange) fail(reason Reason) {
	e.refuse(e.counts.refusal(reason, e.Chooser.RetryAfter(e.record.Service)))
}

// refuse sends a refusal to the caller and settles the request.
func (e *exchange) refuse(r Refusal) {
	e.settled = true
	e.record.Reason = r.reason
	e.sink.Refuse(r)
}
