package core

import (
	"context"
	"errors"
	"io"
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
	// NodeShare is the part of the work of all nodes that this node may take.
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
	Total      time.Duration
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
	settled bool
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
		Left: time.Until(e.deadline), Target: e.route.Target, TargetPause: e.route.TargetPause, Urgency: e.priority(),
		Resumed: e.request.LastEventID != "", Again: e.chosen,
	}
	e.chosen = true
	if e.handle != nil {
		w.Prefilled, w.HandleDomain = true, e.record.Prefill.FailureDomain
	}
	if s := e.table.Services[service]; s != nil {
		w.MaxConnections = s.MaxConnections
		if s.Engine != nil {
			w.KVTokenBytes, w.LinkBitsPerSecond = s.Engine.KVTokenBytes, s.Engine.LinkBitsPerSecond
			w.KVCacheTokens, w.Slots = s.Engine.KVCacheTokens, s.Engine.Slots
		}
	}
	return w
}

func (e *exchange) priority() int {
	if e.workspace != nil && e.workspace.Priority >= 0 {
		return e.workspace.Priority
	}
	return e.route.Priority
}

// attempt sends one attempt and reports whether the request is settled.
func (e *exchange) attempt(ctx context.Context, choice *backends.Choice) bool {
	a := &Attempt{
		Request: e.request, Server: choice.Server, Workspace: e.record.Workspace,
		Priority: e.priority(), After: e.request.LastEventID,
	}
	if choice.Prefill {
		e.prefill(ctx, a, choice)
		return e.settled
	}
	e.record.Server = choice.Server
	if e.handle == nil {
		e.record.Estimate, e.record.Uncached = choice.Estimate, choice.Uncached
	}
	if !e.mayArrive() {
		e.giveUp(e.budgetReason())
		return true
	}
	attemptCtx, cancel, started := e.limitAttempt(ctx)
	defer cancel()
	defer started()
	sentAt := time.Now()
	a.Left = time.Until(e.deadline)
	a.Source = e.handle
	o := e.Upstream.Send(attemptCtx, a)
	e.ledger.note(o)
	e.noteArrival(o)
	e.noteHandle(o)
	switch o := o.(type) {
	case Answered:
		return e.relay(ctx, started, a, choice, o.Answer, sentAt)
	case Refused:
		choice.Refused(time.Now())
		return e.afterRefused(choice.Server)
	case NotSent:
		if ctx.Err() == nil {
			choice.Unreachable(time.Now())
		}
		return e.afterUnsent(choice.Server, o.Cause)
	case Lost:
		e.beganAt(sentAt)
		if ctx.Err() == nil {
			choice.Failed()
		}
		return e.afterLost(choice.Server, o.Cause)
	}
	return true
}

// mayArrive takes a retry for every arrival at a backend server beyond the first
// one of the request.
func (e *exchange) mayArrive() bool {
	if e.arrivals == 0 || e.retryTaken {
		e.retryTaken = false
		return true
	}
	return e.Budget.Retry(e.record.Service)
}

func (e *exchange) budgetReason() Reason {
	if e.ledger.mayHaveRun > 0 {
		return ReasonAnswerLost
	}
	return ReasonServersFull
}

func (e *exchange) noteArrival(o Outcome) {
	if _, unsent := o.(NotSent); unsent {
		return
	}
	if e.arrivals == 0 {
		e.Budget.First(e.record.Service)
	}
	e.arrivals++
}

// noteHandle keeps KV cache for another attempt if the engine did not take it.
func (e *exchange) noteHandle(o Outcome) {
	if e.handle == nil {
		return
	}
	e.handleUses++
	switch o.(type) {
	case NotSent, Refused:
		if e.handleUses >= maxHandleUses {
			e.freeHandle()
		}
	default:
		e.handle = nil
	}
}

// freeHandle gives up KV cache that no attempt has taken.
func (e *exchange) freeHandle() {
	if e.handle != nil {
		e.Upstream.Free(e.handle)
		e.handle = nil
	}
}

// limitAttempt bounds the time to the first event of an idempotent request while
// another attempt is allowed, so that a silent backend server does not use up
// the deadline. started lifts the bound.
func (e *exchange) limitAttempt(ctx context.Context) (limited context.Context, cancel context.CancelFunc, started func()) {
	limited, cancelCause := context.WithCancelCause(ctx)
	cancel = func() { cancelCause(context.Canceled) }
	if !e.route.Idempotent() || e.ledger.mayHaveRun+1 >= e.route.MaxAttempts {
		return limited, cancel, func() {}
	}
	left := time.Until(e.deadline)
	limit := time.Duration(attemptShare * float64(left))
	if e.route.Target > 0 {
		limit = min(limit, attemptTargets*e.route.Target)
	}
	timer := time.AfterFunc(limit, func() { cancelCause(errAttemptTime) })
	return limited, cancel, func() { timer.Stop() }
}

var errAttemptTime = errors.New("no answer within the time of one attempt")

// prefill has the prompt processed apart. The engine that goes on is chosen after
// that, because much may change meanwhile. Without a handle the request is chosen
// for again.
func (e *exchange) prefill(ctx context.Context, a *Attempt, choice *backends.Choice) {
	if !e.mayArrive() {
		e.giveUp(e.budgetReason())
		return
	}
	e.record.Prefill, e.record.Estimate, e.record.Uncached = choice.Server, choice.Estimate, choice.Uncached
	a.Left = time.Until(e.deadline)
	handle, o := e.Upstream.Prefill(ctx, a)
	if handle != nil {
		if e.prefilled {
			// Only the first prompt that is processed apart is free of the budget.
			e.noteArrival(nil)
		}
		choice.Prefilled(time.Now())
		e.record.PrefilledAfter = time.Since(e.request.Arrived)
		e.handle, e.handleUses, e.prefilled = handle, 0, true
		return
	}
	e.noteArrival(o)
	e.excluded = append(e.excluded, choice.Server.ID)
	event, cause := "prefill_lost", error(nil)
	switch o := o.(type) {
	case NotSent:
		if ctx.Err() == nil {
			choice.Unreachable(time.Now())
		}
		event, cause = "prefill_unsent", o.Cause
	case Refused:
		choice.Refused(time.Now())
		event = "prefill_refused"
	case Lost:
		if ctx.Err() == nil {
			choice.Failed()
		}
		cause = o.Cause
	}
	e.Observer.Attempt(&e.record, choice.Server, event, cause)
}

func (e *exchange) beganAt(at time.Time) {
	if e.began || e.workspace == nil {
		return
	}
	e.began = true
	e.Meter.Began(e.workspace.Name, at)
}

func (e *exchange) afterRefused(server *backends.Server) bool {
	e.Observer.Attempt(&e.record, server, "refused", nil)
	e.excluded = append(e.excluded, server.ID)
	if e.ledger.refused > maxRefused {
		e.giveUp(ReasonServersFull)
		return true
	}
	return false
}

func (e *exchange) afterUnsent(server *backends.Server, cause error) bool {
	e.Observer.Attempt(&e.record, server, "unsent", cause)
	e.excluded = append(e.excluded, server.ID)
	if e.ledger.unsent >= maxUnsent {
		e.giveUp(ReasonUnreachable)
		return true
	}
	return false
}

// afterLost settles an attempt whose answer did not come, or came cut.
func (e *exchange) afterLost(server *backends.Server, cause error) bool {
	e.Observer.Attempt(&e.record, server, "lost", cause)
	e.excluded = append(e.excluded, server.ID)
	if e.mayRunAgain() {
		return false
	}
	reason := ReasonAnswerLost
	if time.Until(e.deadline) < minServerTime {
		reason = ReasonDeadline
	}
	if e.ctx.Err() != nil {
		reason = ReasonCallerGone
	}
	e.giveUp(reason)
	return true
}

// mayRunAgain reports whether a request that may have run already may run at
// another backend server. The retry budget is asked when it is sent.
func (e *exchange) mayRunAgain() bool {
	return e.route.Idempotent() && e.ledger.mayHaveRun < e.route.MaxAttempts &&
		e.ctx.Err() == nil && time.Until(e.deadline) >= minServerTime
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

// serverFailed reports whether a status is a failure of the backend server that
// another one may not have.
func serverFailed(status int) bool { return status >= 500 }

// relay hands an answer on. It reports whether the request is settled.
func (e *exchange) relay(ctx context.Context, started func(), a *Attempt, choice *backends.Choice, answer Answer, sentAt time.Time) bool {
	if answer.Stream() {
		return e.relayStream(ctx, started, a, choice, answer)
	}
	defer answer.Close()
	body, err := answer.Whole()
	e.beganAt(sentAt)
	if err != nil {
		choice.Failed()
		return e.afterLost(choice.Server, err)
	}
	head := answer.Head()
	if serverFailed(head.Status) {
		choice.Failed()
		if e.mayRunAgain() && e.Budget.Retry(e.record.Service) {
			// Without a retry the failure is the answer, so it is taken here.
			e.retryTaken = true
			e.Observer.Attempt(&e.record, choice.Server, "server_error", nil)
			e.excluded = append(e.excluded, choice.Server.ID)
			return false
		}
	} else {
		choice.Succeeded()
	}
	e.record.FirstEvent = time.Since(e.request.Arrived)
	e.record.Status = head.Status
	if err := e.sink.Whole(head, body); err != nil {
		e.record.Reason = ReasonCallerGone
	}
	return true
}

// relayStream hands a stream on event by event. A cut stream goes on at another
// backend server if the route allows it.
func (e *exchange) relayStream(ctx context.Context, started func(), a *Attempt, choice *backends.Choice, answer Answer) bool {
	defer func() { answer.Close() }()
	event, err := answer.Next()
	if err != nil && err != io.EOF {
		choice.Failed()
		return e.afterLost(choice.Server, err)
	}
	started()
	e.firstEvent(choice)
	head := answer.Head()
	e.record.Status = head.Status
	if e.sink.Begin(head) != nil {
		e.record.Reason = ReasonCallerGone
		return true
	}
	last := a.After
	for {
		if !e.forward(answer, event, err, &last) {
			if e.record.Reason == "" {
				choice.Succeeded()
			}
			return true
		}
		choice.Failed()
		next := e.resume(ctx, choice.Server, last)
		if next == nil {
			e.sink.Abort()
			return true
		}
		answer.Close()
		answer = next
		event, err = answer.Next()
	}
}

// forward relays events until the stream ends. It reports whether the stream is
// cut and the caller still waits for the rest.
func (e *exchange) forward(answer Answer, event Event, err error, last *string) (cut bool) {
	for err == nil {
		if e.sink.Events(event.Bytes) != nil {
			e.record.Reason = ReasonCallerGone
			e.sink.Abort()
			return false
		}
		if event.LastID != "" {
			*last = event.LastID
		}
		e.record.Events++
		event, err = answer.Next()
	}
	if err == io.EOF {
		if e.sink.End() != nil {
			e.record.Reason = ReasonCallerGone
		}
		return false
	}
	e.record.Reason = e.cutReason(ReasonStreamCut)
	e.Observer.Attempt(&e.record, e.record.Server, "stream_cut", err)
	return true
}

// resume continues a cut stream after its last event at another backend server.
// It returns nil if the stream can't go on.
func (e *exchange) resume(ctx context.Context, failed *backends.Server, last string) Answer {
	if !e.route.Resumable || last == "" {
		return nil
	}
	e.excluded = append(e.excluded, failed.ID)
	for e.ledger.refused <= maxRefused && e.ledger.unsent < maxUnsent && e.mayRunAgain() {
		w := e.work(e.record.Service)
		w.Resumed = true
		choice, err := e.Chooser.Choose(time.Now(), w)
		if err != nil || !e.mayArrive() {
			if err == nil {
				choice.Done()
			}
			return nil
		}
		answer := e.resumeAt(ctx, choice, last)
		if answer != nil {
			e.record.Resumed++
			e.record.Reason = ""
			return answer
		}
		choice.Done()
	}
	return nil
}

// resumeAt continues a stream at one backend server. The choice stays open while
// there is an answer.
func (e *exchange) resumeAt(ctx context.Context, choice *backends.Choice, last string) Answer {
	e.record.Server = choice.Server
	o := e.Upstream.Send(ctx, &Attempt{
		Request: e.request, Server: choice.Server, Workspace: e.record.Workspace,
		Priority: e.priority(), Left: time.Until(e.deadline), After: last,
	})
	e.ledger.note(o)
	e.noteArrival(o)
	e.excluded = append(e.excluded, choice.Server.ID)
	if answered, ok := o.(Answered); ok {
		if answered.Answer.Stream() {
			e.resumed = append(e.resumed, choice)
			return answered.Answer
		}
		answered.Answer.Close()
	}
	e.Observer.Attempt(&e.record, choice.Server, "resume_failed", nil)
	return nil
}

func (e *exchange) cutReason(reason Reason) Reason {
	switch {
	case e.ctx.Err() != nil:
		return ReasonCallerGone
	case time.Until(e.deadline) < minServerTime:
		return ReasonDeadline
	default:
		return reason
	}
}

func (e *exchange) firstEvent(choice *backends.Choice) {
	now := time.Now()
	e.record.FirstEvent = now.Sub(e.request.Arrived)
	choice.FirstEvent(now)
	e.beganAt(now)
}
