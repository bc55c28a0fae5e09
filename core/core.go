package core

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figweir/figweir/backends"
)

const (
	// maxUnsent bounds the attempts of one request that could not be sent.
	maxUnsent = 4
	// maxRefused bounds the attempts of one request that backend servers
	// refused.
	maxRefused = 3
	// attemptShare is the part of the time left that an idempotent attempt may
	// use while another attempt is allowed.
	attemptShare = 0.5
	// attemptTargets is how many times its target an idempotent attempt may
	// take while another attempt is allowed.
	attemptTargets = 4
	// maxHandleUses bounds the attempts with one handle; after that it counts as
	// gone.
	maxHandleUses = 2
	// minServerTime is the least time for which a request is worth sending.
	minServerTime = 5 * time.Millisecond
)

// Chooser picks backend servers.
type Chooser interface {
	// Choose returns the backend server for an attempt, or an error that wraps
	// backends.ErrNoServer. The caller must call Done on the choice.
	Choose(now time.Time, w *backends.Work) (*backends.Choice, error)
	// RetryAfter returns when a request that a service could not take may come
	// back.
	RetryAfter(service string) time.Duration
}

// Budget limits retries.
type Budget interface {
	// First counts the first attempt of a request to a service.
	First(service string)
	// Retry takes one retry and reports whether there was one.
	Retry(service string) bool
}

// Meter counts usage.
type Meter interface {
	// Began counts a request of a workspace that began to run at a time.
	Began(workspace string, at time.Time)
}

// Observer is told how requests end. Its methods must not block.
type Observer interface {
	// Attempt reports an attempt that did not succeed.
	Attempt(r *Record, server *backends.Server, event string, cause error)
	// Done reports the end of a request.
	Done(r *Record)
}

// Record is what is known of a request at its end.
type Record struct {
	Request       *Request
	ConfigVersion int64
	Route         *Route
	Workspace     string
	Service       string
	// Server ran the last attempt, Prefill processed the prompt before it; both
	// may be nil.
	Server  *backends.Server
	Prefill *backends.Server
	// Estimate is the time to the first event that the choice expected.
	Estimate time.Duration
	// Uncached are the prompt tokens that were not expected to be cached.
	Uncached int
	Sent     int
	Unsent   int
	Refused  int
	Resumed  int
	// Status is that of the answer; 0 if the caller got none.
	Status int
	// Reason is empty for an answer of a backend server that was sent whole.
	Reason Reason
	// PrefilledAfter is the time from the arrival until the prompt had been
	// processed apart; 0 if it was not.
	PrefilledAfter time.Duration
	// FirstEvent is the time from the arrival to the first event or the answer;
	// 0 if there was none.
	FirstEvent time.Duration
	Events     int
	// MaxPause is the longest time between two events of a stream.
	MaxPause time.Duration
	Total    time.Duration
}

// Core carries requests. Its fields must be set before the first request.
type Core struct {
	Tables   *atomic.Pointer[Table]
	Chooser  Chooser
	Budget   Budget
	Upstream Upstream
	Meter    Meter
	Observer Observer
}

// exchange is the state of one request.
type exchange struct {
	*Core
	ctx       context.Context
	request   *Request
	sink      Sink
	table     *Table
	route     *Route
	workspace *Workspace
	deadline  time.Time
	ledger    ledger
	excluded  []string
	// arrivals counts the attempts that reached a backend server and that the
	// retry budget counts.
	arrivals int
	// handle is KV cache that waits to be used; handleUses counts attempts with
	// it.
	handle     *Handle
	handleUses int
	prefilled  bool
	// chosen tells that a backend server was chosen before.
	chosen bool
	// resumed are the choices of continued streams.
	resumed []*backends.Choice
	began   bool
	// lastEvent is when the last event of a stream came.
	lastEvent time.Time
	settled   bool
	// retryTaken tells that the retry budget has been asked for the next attempt.
	retryTaken bool
	record     Record
}

// Serve carries one request. ctx ends when the caller hangs up.
func (c *Core) Serve(ctx context.Context, r *Request, sink Sink) {
	e := &exchange{Core: c, ctx: ctx, request: r, sink: sink, record: Record{Request: r}}
	if refusal, ok := e.authenticate(); !ok {
		e.refuse(refusal)
	} else {
		e.run()
	}
	e.record.Sent, e.record.Unsent, e.record.Refused = e.ledger.sent, e.ledger.unsent, e.ledger.refused
	e.record.Total = time.Since(r.Arrived)
	c.Observer.Done(&e.record)
}

// retryWithoutConfiguration is when to come back to a node that starts.
const retryWithoutConfiguration = 500 * time.Millisecond

func (e *exchange) authenticate() (Refusal, bool) {
	e.table = e.Tables.Load()
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
	e.deadline = e.request.Arrived.Add(e.route.Timeout)
	if p := e.request.Patience; p > 0 && (p < e.route.Timeout || e.route.Timeout <= 0) {
		e.deadline = e.request.Arrived.Add(p)
	}
	return Refusal{}, true
}

// run sends attempts until the caller has an answer.
func (e *exchange) run() {
	ctx := e.ctx
	if e.route.Kind == Unsafe {
		// The caller may leave; what runs once goes on and is accounted.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadlineCause(ctx, e.deadline, context.DeadlineExceeded)
	defer cancel()
	defer e.freeHandle()
	defer func() {
		for _, c := range e.resumed {
			c.Done()
		}
	}()
	service := e.route.Service(xxhash.Sum64String(e.request.ID))
	e.record.Service = service
	for {
		if e.ctx.Err() != nil {
			e.giveUp(ReasonCallerGone)
			return
		}
		if time.Until(e.deadline) < minServerTime {
			e.giveUp(ReasonDeadline)
			return
		}
		choice, err := e.Chooser.Choose(time.Now(), e.work(service))
		if err != nil {
			e.giveUp(e.noServer(err))
			return
		}
		done := e.attempt(ctx, choice)
		choice.Done()
		if done {
			return
		}
	}
}

func (e *exchange) noServer(err error) Reason {
	switch {
	case errors.Is(err, backends.ErrTooLate):
		return ReasonTooLate
	case e.ledger.refused > 0 || errors.Is(err, backends.ErrFull):
		return ReasonServersFull
	case e.ledger.unsent > 0:
		return ReasonUnreachable
	default:
		return ReasonNoServer
	}
}

func (e *exchange) work(service string) *backends.Work {
	w := &backends.Work{
		Service: service, Prompt: e.request.Prompt, Excluded: e.excluded,
		Left: time.Until(e.deadline), Target: e.route.Target, TargetPause: e.route.TargetPause,
		Resumed: e.request.LastEventID != "", Again: e.chosen,
	}
	e.chosen = true
	if e.handle != nil {
		w.Prefilled, w.HandleDomain = true, e.record.Prefill.FailureDomain
	}
	if s := e.table.Services[service]; s != nil && s.Engine != nil {
		w.KVTokenBytes, w.LinkBitsPerSecond = s.Engine.KVTokenBytes, s.Engine.LinkBitsPerSecond
	}
	return w
}

func (e *exchange) priority() int {
	if e.workspace != nil && e.workspace.Priority >= 0 {
		return e.workspace.Priority
	}
	return e.route.Priority
}

// giveUp sends the final answer to a request that no backend server answers.
func (e *exchange) giveUp(reason Reason) {
	e.refuse(e.ledger.refusal(reason, e.Chooser.RetryAfter(e.record.Service)))
}

func (e *exchange) refuse(r Refusal) {
	e.settled = true
	e.record.Reason = r.reason
	e.sink.Refuse(r)
}
