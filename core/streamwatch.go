package core

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/stall"
)

// streamWatch follows one attempt of a stream from its sending to its end, and cancels it if the
// rest can't be expected from its server any more. One timer runs for each attempt; an event only
// stores its time. The methods of a nil streamWatch have no effect.
type streamWatch struct {
	*Core
	request  *Request
	route    *Route
	service  string
	server   *backends.Server
	criteria func() *backends.Criteria
	deadline time.Time
	// sharedParts are the ids of the prompt parts that other requests may share.
	sharedParts []string
	// sentAt is when the watch began.
	sentAt       int64
	attemptsLeft int
	moved        bool
	// prefill is set if the attempt only processes the prompt, which may be repeated elsewhere.
	prefill bool
	// initialCheck and nextCheck are the silences, before the first event and after it, below
	// which nothing is decided.
	initialCheck, nextCheck time.Duration
	counts                  *serverStreams
	cancel                  context.CancelCauseFunc

	// waitingSince is when the relay began to wait for the next event; 0 while it does not.
	waitingSince atomic.Int64
	// longestPause is the longest time between two events, in nanoseconds.
	longestPause atomic.Int64
	// begun is set once there was an event, hasID once the stream can continue after one.
	begun, hasID atomic.Bool
	// silent is set if the current pause, or the last one, was long. A stream that has just got
	// an event after a long pause still shows that its server is slow.
	silent atomic.Bool

	// checkedAt and keptWaiting are used by the timer's goroutine only.
	checkedAt   int64
	keptWaiting bool

	mu    sync.Mutex
	timer *time.Timer
	// dueAt is when the timer should fire.
	dueAt         time.Time
	stopped       bool
	retryAcquired bool
	// choice is the server for the next attempt; nil if none was chosen.
	choice *backends.Choice
}

// maxTimerDelay is how late the timer may fire. If it is later, this node was frozen or has no
// processor time, and events may lie unread.
const maxTimerDelay = 100 * time.Millisecond

// isWatched reports whether attempts are watched for silence.
func (e *exchange) isWatched() bool { return e.route.Kind == Streaming && e.route.TargetPause > 0 }

// watchStream starts to watch an attempt that is about to be sent, also one that only processes the
// prompt. The result is nil for routes without a target pause.
func (e *exchange) watchStream(a *Attempt, prefill bool, cancel context.CancelCauseFunc) *streamWatch {
	if !e.isWatched() {
		return nil
	}
	server := a.Server
	attemptsLeft := e.route.MaxAttempts - e.counts.mayHaveRun
	if !prefill {
		// A prefill is not a run of the request.
		attemptsLeft--
	}
	excluded := append(e.excluded[:len(e.excluded):len(e.excluded)], server.ID)
	w := &streamWatch{
		Core: e.Core, request: e.request, route: e.route, service: e.record.Service, server: server, deadline: e.deadline, sharedParts: e.sharedParts,
		criteria:     func() *backends.Criteria { return e.newCriteria(e.record.Service, excluded) },
		attemptsLeft: attemptsLeft, moved: e.movedFromSilent, prefill: prefill, counts: e.streams.server(server.Incarnation), cancel: cancel,
		sentAt: sinceStart(time.Now()), checkedAt: noTime,
		initialCheck: stall.FirstCheck(false, e.route.TargetLatency, e.route.TargetPause),
		nextCheck:    stall.FirstCheck(true, e.route.TargetLatency, e.route.TargetPause),
	}
	w.hasID.Store(a.LastEventID != "")
	w.waitingSince.Store(w.sentAt)
	w.streams.running.Add(1)
	w.counts.running.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dueAt = time.Now().Add(w.nextCheck)
	w.timer = time.AfterFunc(w.nextCheck, w.tick)
	return w
}

// firstCheck returns the silence from which the stream counts as silent.
func (w *streamWatch) firstCheck() time.Duration {
	if w.begun.Load() {
		return w.nextCheck
	}
	return w.initialCheck
}

// received records that events have arrived, of which the last id is given.
func (w *streamWatch) received(now time.Time, lastID string) {
	if w == nil {
		return
	}
	at, since := sinceStart(now), w.waitingSince.Swap(0)
	if at-w.counts.eventAt.Load() > int64(eventResolution) {
		w.counts.eventAt.Store(at)
	}
	pause := at - since
	w.setSilent(pause >= int64(w.firstCheck()))
	if !w.begun.Load() {
		w.begun.Store(true)
	} else if pause > w.longestPause.Load() {
		w.longestPause.Store(pause)
	}
	if lastID != "" && !w.hasID.Load() {
		w.hasID.Store(true)
	}
}

// wait records that the events were handed to the caller and the next ones are awaited.
func (w *streamWatch) wait() {
	if w != nil {
		w.waitingSince.Store(sinceStart(time.Now()))
	}
}

// setSilent counts the stream as silent, or not.
func (w *streamWatch) setSilent(silent bool) {
	if w.silent.Load() == silent || w.silent.Swap(silent) == silent {
		return
	}
	change := int64(1)
	if !silent {
		change = -1
	}
	w.streams.silent.Add(change)
	w.counts.silent.Add(change)
}

// stop ends the watch. It returns whether a retry was acquired for the next attempt, and the server
// that was chosen for it, once. The caller must call Done on the choice.
func (w *streamWatch) stop() (choice *backends.Choice, retryAcquired bool) {
	if w == nil {
		return nil, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	choice, w.choice = w.choice, nil
	retryAcquired, w.retryAcquired = w.retryAcquired, false
	if w.stopped {
		return choice, retryAcquired
	}
	w.stopped = true
	w.timer.Stop()
	w.setSilent(false)
	w.streams.running.Add(-1)
	if w.counts.running.Add(-1) == 0 {
		w.streams.servers.CompareAndDelete(w.server.Incarnation, w.counts)
	}
	return choice, retryAcquired
}

// releaseChoice ends the reservation of the chosen server. w.mu must be held.
func (w *streamWatch) releaseChoice() {
	if w.choice != nil {
		w.choice.Done()
		w.choice = nil
	}
}

// tick makes the decision that is due and starts the timer again unless the attempt has ended.
func (w *streamWatch) tick() {
	w.mu.Lock()
	late := time.Since(w.dueAt) > maxTimerDelay
	w.mu.Unlock()
	next := maxTimerDelay
	if !late {
		next = w.decide()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped && next > 0 {
		// An event may arrive meanwhile and begin another silence.
		next = min(next, w.nextCheck)
		w.dueAt = time.Now().Add(next)
		w.timer.Reset(next)
	}
}

// decide returns the time until the next decision; 0 if the attempt was canceled.
func (w *streamWatch) decide() time.Duration {
	for {
		since := w.waitingSince.Load()
		if since == 0 {
			return w.firstCheck()
		}
		s := w.state(since, time.Now())
		d := stall.Decide(s)
		if d.Action == stall.Move && !w.acquireMove() {
			s.Blocked = true
			d = stall.Decide(s)
		}
		switch d.Action {
		case stall.Wait:
			return d.Next
		case stall.Check:
			w.check()
		default:
			if w.end(since, s.Silence, d) {
				return 0
			}
			return w.firstCheck()
		}
	}
}

// state returns what is known of the stream, which has been waiting since the given time.
func (w *streamWatch) state(since int64, now time.Time) stall.Stream {
	silence := time.Duration(sinceStart(now) - since)
	s := stall.Stream{
		Silence: silence, Begun: w.begun.Load(), LongestPause: time.Duration(w.longestPause.Load()),
		TargetLatency: w.route.TargetLatency, TargetPause: w.route.TargetPause, TimeLeft: w.deadline.Sub(now) - minTimeLeft,
		Resumable: w.route.Resumable && (!w.begun.Load() || w.hasID.Load()), AttemptsLeft: w.attemptsLeft, Moved: w.moved,
	}
	if w.prefill && !s.Resumable {
		// It leaves a lost engine only: the prompt of a slow one would be processed twice.
		s.Resumable, s.Moved = true, true
	}
	if silence < w.firstCheck() {
		return s
	}
	w.markSilent()
	s.Server = w.serverState(since)
	s.CheckedAt = time.Duration(max(0, w.checkedAt-since))
	s.RunningElsewhere = int(w.streams.running.Load() - w.counts.running.Load())
	s.SilentElsewhere = int(w.streams.silent.Load() - w.counts.silent.Load())
	return s
}

// markSilent counts the stream as silent unless the watch has ended.
func (w *streamWatch) markSilent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.setSilent(true)
	}
}

// serverState returns what is known of the server of a stream that is silent since the given time.
func (w *streamWatch) serverState(since int64) stall.Server {
	registered, replaced := w.registration()
	switch {
	case replaced:
		return stall.Replaced
	case w.server.IsLeaving() || registered != nil && registered.State == backends.Draining:
		return stall.Draining
	case w.counts.refusedAt.Load() >= w.sentAt:
		return stall.Crashed
	case max(w.counts.checkedAt.Load(), w.counts.eventAt.Load()) >= since:
		return stall.Reachable
	}
	return stall.Unknown
}

// registration returns the registration of the server, nil if there is none, and whether that or
// the one of another server at its address belongs to a later incarnation. Start times are compared,
// because a restored store names an earlier incarnation.
func (w *streamWatch) registration() (registered *backends.Server, replaced bool) {
	if w.Servers == nil {
		return nil, false
	}
	all := w.Servers().All()
	registered = all[w.server.ID]
	for _, s := range all {
		if (s == registered || s.Address == w.server.Address) && s.StartUnixMillis > w.server.StartUnixMillis {
			return registered, true
		}
	}
	return registered, false
}

// check tries to connect to the server, unless another stream has done so, or has received an event
// from it, since the last check of this stream. Concurrent checks of one server share one connection.
func (w *streamWatch) check() {
	before := w.checkedAt
	w.checkedAt = sinceStart(time.Now())
	if w.isAnswered(before) {
		return
	}
	crashed, _, _ := w.crashChecks.Do(w.server.ID, func() (any, error) {
		if w.isAnswered(before) {
			// Another stream has checked the server since the call above.
			return w.counts.refusedAt.Load() >= w.sentAt, nil
		}
		w.Observer.StreamSilent(StreamServerChecked, SilentStream{Request: w.request, Server: w.server})
		crashed := w.Upstream.Crashed(w.server)
		w.counts.checkedAt.Store(w.checkedAt)
		return crashed, nil
	})
	if crashed.(bool) {
		w.counts.refusedAt.Store(w.checkedAt)
		w.server.Suspend(time.Now())
	}
}

// isAnswered reports whether another stream has recently checked the server or received an event from
// it, after the given last check of this stream.
func (w *streamWatch) isAnswered(before int64) bool {
	last := max(w.counts.checkedAt.Load(), w.counts.eventAt.Load())
	return last > max(before, w.sentAt) && w.checkedAt-last < int64(w.firstCheck())
}

// acquireMove reports whether the stream may continue on another server: one could take it, and the
// retry budget grants an attempt.
func (w *streamWatch) acquireMove() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	if w.retryAcquired && w.choice != nil {
		return true
	}
	now := time.Now()
	if !w.Core.Draining.permits(now, w.deadline) || w.isQuarantined(now) {
		return false
	}
	criteria := w.criteria()
	criteria.Resumed = criteria.Resumed || w.begun.Load()
	choice, err := w.Chooser.Choose(now, criteria)
	if err != nil {
		return false
	}
	if w.retryAcquired || w.RetryBudget.Retry(w.service) {
		w.retryAcquired, w.choice = true, choice
		return true
	}
	choice.Done()
	if !w.keptWaiting {
		w.keptWaiting = true
		w.Observer.StreamSilent(StreamKeptWaiting, SilentStream{Request: w.request, Server: w.server})
	}
	return false
}

// isQuarantined reports whether the request could not be sent again because of its prompt parts.
func (w *streamWatch) isQuarantined(now time.Time) bool {
	verdict := w.Quarantine.Check(now, w.sharedParts)
	if verdict.Trial {
		w.Quarantine.ReturnTrial(w.sharedParts)
	}
	return verdict.Blocked
}

// end cancels the attempt and reports whether it did. It does not if the attempt has ended or an
// event has arrived since.
func (w *streamWatch) end(since int64, silence time.Duration, d stall.Decision) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.waitingSince.Load() != since {
		w.releaseChoice()
		return false
	}
	event := StreamMoved
	if d.Action == stall.End {
		event = StreamEnded
	}
	w.Observer.StreamSilent(event, SilentStream{Request: w.request, Server: w.server, Silence: silence, Reason: d.Reason})
	w.cancel(stallCauses[d.Reason])
	return true
}

// endWatch stops the watch of an attempt that has ended. The next attempt of the request uses the retry
// and the server that the watch has acquired.
func (e *exchange) endWatch(w *streamWatch) {
	choice, retryAcquired := w.stop()
	e.retryAcquired = e.retryAcquired || retryAcquired
	if choice != nil {
		e.releaseChoice()
		e.nextChoice = choice
	}
}

// releaseChoice ends the reservation of the server that a watch has chosen for the next attempt.
func (e *exchange) releaseChoice() {
	if e.nextChoice != nil {
		e.nextChoice.Done()
		e.nextChoice = nil
	}
}

// chooseToResume returns the server on which a stream continues: the one that the watch has chosen,
// if it has.
func (e *exchange) chooseToResume() (*backends.Choice, error) {
	if choice := e.nextChoice; choice != nil {
		e.nextChoice = nil
		return choice, nil
	}
	criteria := e.criteria(e.record.Service)
	criteria.Resumed = true
	return e.Chooser.Choose(time.Now(), criteria)
}

// noteMove records that an attempt was lost because its server was silent. No other attempt of the
// request is ended for that reason.
func (e *exchange) noteMove(cause error) {
	e.movedFromSilent = e.movedFromSilent || errors.Is(cause, errServerSilent)
}
