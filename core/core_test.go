package core

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/quarantine"
)

// fakeUpstream returns scripted outcomes. When there are none left, attempts can't be
// sent.
type fakeUpstream struct {
	outcomes        []Outcome
	prefillOutcomes []Outcome
	attempts        []Attempt
	freed           []string
	// onSend and onPrefill, if set, are called for each attempt and each prefill.
	onSend, onPrefill func()
	// afterPrefill, if set, is called at the end of each prefill.
	afterPrefill func()
	// waits is set if attempts wait until they are canceled.
	waits bool
	// runs counts the attempts that a backend server may have run.
	runs int
	// crashed is set if the servers that lose an answer have crashed.
	crashed bool
}

func (u *fakeUpstream) Send(ctx context.Context, a *Attempt) Outcome {
	u.attempts = append(u.attempts, *a)
	if u.onSend != nil {
		u.onSend()
	}
	if a.Trace.BeforeWrite(time.Now()) != nil {
		return Abandoned{}
	}
	if u.waits {
		<-ctx.Done()
		u.runs++
		return Lost{context.Cause(ctx)}
	}
	var o Outcome = NotSent{Cause: errors.New("no scripted outcome left")}
	if len(u.outcomes) > 0 {
		o = u.outcomes[0]
		u.outcomes = u.outcomes[1:]
	}
	switch o.(type) {
	case Lost, Answered:
		u.runs++
	}
	return o
}

func (u *fakeUpstream) Prefill(_ context.Context, a *Attempt) (*KVHandle, Outcome) {
	if u.onPrefill != nil {
		u.onPrefill()
	}
	if a.Trace.BeforeWrite(time.Now()) != nil {
		return nil, Abandoned{}
	}
	if u.afterPrefill != nil {
		defer u.afterPrefill()
	}
	if len(u.prefillOutcomes) > 0 {
		o := u.prefillOutcomes[0]
		u.prefillOutcomes = u.prefillOutcomes[1:]
		if o != nil {
			return nil, o
		}
	}
	return &KVHandle{Address: a.Server.Address, ID: "handle-" + a.Server.ID}, nil
}

// Crashed reports crashed, the state of all servers.
func (u *fakeUpstream) Crashed(*backends.Server) bool { return u.crashed }

func (u *fakeUpstream) Free(h *KVHandle) { u.freed = append(u.freed, h.ID) }

// fakeAnswer is a stream or a complete answer.
type fakeAnswer struct {
	status int
	stream bool
	body   string
	err    error
	events []Event
	// delay is the time before the first event, pause that before each other one.
	delay, pause time.Duration
	read         int
	// interrupted interrupts the stream with an error after its events.
	interrupted bool
	// closed counts the calls of Close.
	closed int
}

func (a *fakeAnswer) Head() Head               { return Head{Status: a.status} }
func (a *fakeAnswer) Stream() bool             { return a.stream }
func (a *fakeAnswer) ReadAll() ([]byte, error) { return []byte(a.body), a.err }
func (a *fakeAnswer) Close()                   { a.closed++ }
func (a *fakeAnswer) Next() (Event, error) {
	if len(a.events) > 0 {
		if a.read++; a.read > 1 {
			time.Sleep(a.pause)
		} else {
			time.Sleep(a.delay)
		}
		e := a.events[0]
		a.events = a.events[1:]
		return e, nil
	}
	if a.interrupted {
		return Event{}, errors.New("connection reset")
	}
	return Event{}, io.EOF
}

// fakeSink records the answer that a caller receives.
type fakeSink struct {
	status     int
	body       string
	beginCalls int
	ended      bool
	aborted    bool
	refusal    *Refusal
}

func (s *fakeSink) WriteAnswer(h Head, b []byte) error {
	s.status, s.body = h.Status, string(b)
	return nil
}
func (s *fakeSink) BeginStream(h Head) error   { s.beginCalls++; s.status = h.Status; return nil }
func (s *fakeSink) WriteEvents(b []byte) error { s.body += string(b); return nil }
func (s *fakeSink) EndStream() error           { s.ended = true; return nil }
func (s *fakeSink) Abort()                     { s.aborted = true }
func (s *fakeSink) Refuse(r Refusal)           { s.refusal = &r }

// fakeBudget grants a fixed number of retries and counts first attempts.
type fakeBudget struct{ retries, firstAttempts int }

func (b *fakeBudget) FirstAttempt(string) { b.firstAttempts++ }
func (b *fakeBudget) Retry(string) bool {
	b.retries--
	return b.retries >= 0
}

// noPeerLoad reports that there are no other nodes.
type noPeerLoad struct{}

func (noPeerLoad) Load(uint64) (int64, int64) { return 0, 0 }
func (noPeerLoad) PeerCount() int             { return 0 }

// noop is a Meter and an Observer without effect.
type noop struct{}

func (noop) RequestStarted(string, time.Time)                       {}
func (noop) AttemptFailed(*Record, *backends.Server, string, error) {}
func (noop) ServerCrashed(*Record, *backends.Server)                {}
func (noop) StreamSilent(StreamEvent, SilentStream)                 {}
func (noop) RequestDone(*Record)                                    {}

// fakeMeter counts the requests that started to run.
type fakeMeter struct{ started int }

func (m *fakeMeter) RequestStarted(string, time.Time) { m.started++ }

// fixture is a Core with one route, one service and fakes for its dependencies.
type fixture struct {
	// requests counts the requests, each of which has an id of its own.
	requests int
	core     *Core
	upstream *fakeUpstream
	sink     *fakeSink
	budget   *fakeBudget
}

// newFixture returns a fixture with eight backend servers, a route of the given kind
// and scripted outcomes.
func newFixture(kind RouteKind, resumable bool, outcomes ...Outcome) *fixture {
	registry := backends.NewRegistry()
	var registrations []backends.Registration
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		registrations = append(registrations, backends.Registration{ID: id, Service: "s", Address: id + ":1", Slots: 4})
	}
	registry.Replace(registrations)
	return newFixtureWith(registry, kind, resumable, outcomes...)
}

// newFixtureWith is newFixture with the backend servers of a registry.
func newFixtureWith(registry *backends.Registry, kind RouteKind, resumable bool, outcomes ...Outcome) *fixture {
	route := &Route{
		Name: "r", Host: "h", PathPrefix: "/p/", Kind: kind, Resumable: resumable, Timeout: 5 * time.Second,
		TargetLatency: time.Second, MaxAttempts: 2, Targets: []WeightedService{{"s", 1}},
	}
	table := NewTable(3, Limits{}, []*Route{route}, []*Service{{Name: "s"}}, map[string]*Workspace{"key": {Name: "w", Priority: -1}})
	var currentTable atomic.Pointer[Table]
	currentTable.Store(table)
	f := &fixture{upstream: &fakeUpstream{outcomes: outcomes}, sink: &fakeSink{}, budget: &fakeBudget{retries: 100}}
	f.core = &Core{
		CurrentTable: &currentTable, Chooser: backends.NewBalancer(registry, "z", noPeerLoad{}, func() backends.Cell { return backends.SingleCell }, func() {}), RetryBudget: f.budget,
		Upstream: f.upstream, Meter: noop{}, Observer: noop{}, Quarantine: quarantine.NewTracker(1),
	}
	return f
}

// serve serves one request, which may be nil, and returns what the caller received.
func (f *fixture) serve(r *Request) *fakeSink {
	f.core.Serve(context.Background(), f.request(r), f.sink)
	return f.sink
}

// request sets the fields that a request needs to match the route of the fixture.
func (f *fixture) request(r *Request) *Request {
	if r == nil {
		r = &Request{}
	}
	f.requests++
	r.ID, r.Host, r.Path, r.ArrivedAt = strconv.Itoa(f.requests), "h", "/p/x", time.Now()
	if r.Key == "" {
		r.Key = "key"
	}
	return r
}

// answer is the outcome with a complete answer.
func answer(status int, body string) Outcome {
	return Answered{&fakeAnswer{status: status, body: body}}
}

// TestUnsafeRequestRunsOnce guards against repeating an unsafe request whose answer was
// lost, and against reporting it as not run.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(Unsafe, false, Lost{errors.New("reset")}, answer(200, "second"))
	s := f.serve(nil)
	is.Equal(len(f.upstream.attempts), 1)
	is.Equal(s.refusal.Verdict(), MayHaveRun)
}

// TestAbandonedStreamsAreNotMetered guards against metering streams that the caller
// cancels while they are queued at an engine, and against not metering requests that
// run but whose answer is lost on the network.
func TestAbandonedStreamsAreNotMetered(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		kind      RouteKind
		abandoned bool
		started   int
	}{{Streaming, true, 0}, {Streaming, false, 1}, {Unsafe, true, 1}, {Unsafe, false, 1}} {
		f := newFixture(test.kind, false, Lost{errors.New("reset")})
		meter := &fakeMeter{}
		f.core.Meter = meter
		ctx, cancel := context.WithCancel(context.Background())
		if test.abandoned {
			f.upstream.onSend = cancel
		}
		f.core.Serve(ctx, f.request(nil), f.sink)
		cancel()
		is.Equal(meter.started, test.started)
	}
}

// TestLongestPauseIsRecorded guards against a stream with a long pause whose log line
// doesn't show it.
func TestLongestPauseIsRecorded(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	var e exchange
	for _, at := range []time.Duration{0, 50, 400, 450} {
		e.recordEvent(start.Add(at * time.Millisecond))
	}
	is.Equal(e.record.MaxPause, 350*time.Millisecond)
	is.Equal(e.record.Events, 4)
}

// TestRefusedAttemptIsRetriedElsewhere guards against refusing a request that another
// backend server can run.
func TestRefusedAttemptIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFixture(Unsafe, false, Refused{Status: 503}, NotSent{Cause: errors.New("refused")}, answer(200, "ok"))
	s := f.serve(nil)
	is.Equal(s.body, "ok")
	is.Equal(len(f.upstream.attempts), 3)
	seen := map[string]bool{}
	for _, a := range f.upstream.attempts {
		is.True(!seen[a.Server.ID]) // each server is tried once only
		seen[a.Server.ID] = true
	}
}

// TestRetryBudgetLimitsAttempts guards against sending more attempts than the shared
// retry budget allows. An attempt that could not be sent is not charged.
func TestRetryBudgetLimitsAttempts(t *testing.T) {
	is := is.New(t)
	f := newFixture(Unsafe, false, Refused{}, NotSent{Cause: errors.New("x")}, Refused{}, Refused{}, answer(200, "late"))
	f.budget.retries = 2
	s := f.serve(nil)
	is.Equal(f.budget.firstAttempts, 1)
	is.Equal(len(f.upstream.attempts), 3)
	is.Equal(s.refusal.Verdict(), NotRun)
	is.True(s.refusal.RetryAfter() > 0)
}

// TestSafeRequestIsRepeatedAfterServerError guards against relaying a server error of
// an idempotent request that another backend server can answer.
func TestSafeRequestIsRepeatedAfterServerError(t *testing.T) {
	is := is.New(t)
	f := newFixture(Safe, false, answer(500, "bad"), answer(200, "good"))
	s := f.serve(nil)
	is.Equal(s.body, "good")
	f = newFixture(Safe, false, answer(500, "bad"), answer(200, "good"))
	f.budget.retries = 0
	s = f.serve(nil)
	is.Equal(s.status, 500) // without a retry the server error is relayed
	is.Equal(len(f.upstream.attempts), 1)
}

// TestIncompleteAnswerIsNotRelayed guards against relaying a truncated answer that
// looks complete.
func TestIncompleteAnswerIsNotRelayed(t *testing.T) {
	is := is.New(t)
	f := newFixture(Unsafe, false, Answered{&fakeAnswer{status: 200, body: "half", err: io.ErrUnexpectedEOF}})
	s := f.serve(nil)
	is.Equal(s.status, 0)
	is.Equal(s.refusal.Verdict(), MayHaveRun)
}

// events returns one event per id, with the id as its content.
func events(ids ...string) []Event {
	var list []Event
	for _, id := range ids {
		list = append(list, Event{Bytes: []byte(id), LastID: id})
	}
	return list
}

// TestResumableStreamContinuesOnAnotherServer guards against missing and repeated
// events when a stream is resumed on another backend server.
func TestResumableStreamContinuesOnAnotherServer(t *testing.T) {
	is := is.New(t)
	f := newFixture(Streaming, true,
		Answered{&fakeAnswer{status: 200, stream: true, events: events("1", "2"), interrupted: true}},
		Answered{&fakeAnswer{status: 200, stream: true, events: events("3", "4")}})
	s := f.serve(nil)
	is.Equal(s.body, "1234")
	is.True(s.ended)
	is.Equal(s.beginCalls, 1) // the head of the first server is the only one
	is.Equal(f.upstream.attempts[1].LastEventID, "2")
}

// TestInterruptedStreamIsEndedBeforeTheNextAttempt guards against a stream that still runs at the
// server before while the next one works on it: the exchange must end before the next attempt is
// sent, and not when that is answered.
func TestInterruptedStreamIsEndedBeforeTheNextAttempt(t *testing.T) {
	is := is.New(t)
	interrupted := &fakeAnswer{status: 200, stream: true, events: events("1", "2"), interrupted: true}
	next := &fakeAnswer{status: 200, stream: true, events: events("3", "4")}
	f := newFixture(Streaming, true, Answered{interrupted}, Refused{Status: 503}, Answered{next})
	var closedBefore []int
	f.upstream.onSend = func() { closedBefore = append(closedBefore, interrupted.closed) }
	s := f.serve(nil)
	is.Equal(s.body, "1234")
	is.Equal(closedBefore, []int{0, 1, 1})
	is.Equal(interrupted.closed, 1)
	is.Equal(next.closed, 1)
}

// TestUnresumableStreamIsAborted guards against an interrupted stream that ends as if
// it were complete, and against endless attempts when the retry budget is empty.
func TestUnresumableStreamIsAborted(t *testing.T) {
	is := is.New(t)
	for _, resumable := range []bool{false, true} {
		f := newFixture(Streaming, resumable,
			Answered{&fakeAnswer{status: 200, stream: true, events: events("1"), interrupted: true}},
			Answered{&fakeAnswer{status: 200, stream: true, events: events("2")}})
		f.budget.retries = 0
		s := f.serve(nil)
		is.True(s.aborted)
		is.True(!s.ended)
		is.Equal(len(f.upstream.attempts), 1)
	}
}

// TestRequestsWithoutRouteOrKey guards against running requests with an invalid key,
// and against answering 401 or 404 on a node that has no configuration yet.
func TestRequestsWithoutRouteOrKey(t *testing.T) {
	is := is.New(t)
	f := newFixture(Safe, false, answer(200, "x"))
	s := f.serve(&Request{Key: "other"})
	is.Equal(s.refusal.Verdict(), BadKey)
	f = newFixture(Safe, false, answer(200, "x"))
	f.core.CurrentTable.Store(nil)
	s = f.serve(&Request{Key: "other"})
	is.Equal(s.refusal.Verdict(), NotRun)
	is.Equal(len(f.upstream.attempts), 0)
}

// TestRefusalMatchesExecution serves requests of every kind with random outcomes. It
// guards against reporting "not run" for a request that may have run, against more
// runs than the kind allows, and against requests without an answer.
func TestRefusalMatchesExecution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]RouteKind{Unsafe, Safe, Streaming}).Draw(t, "kind")
		resumable := rapid.Bool().Draw(t, "resumable")
		outcomes := rapid.SliceOfN(rapid.Custom(drawOutcome), 0, 8).Draw(t, "steps")
		f := newFixture(kind, resumable, outcomes...)
		f.budget.retries = rapid.IntRange(0, 6).Draw(t, "budget")
		s := f.serve(nil)
		allowed := 1
		if kind == Safe || kind == Streaming && resumable {
			allowed = 2
		}
		if f.upstream.runs > allowed {
			t.Fatalf("ran %d times, %d allowed", f.upstream.runs, allowed)
		}
		if s.refusal != nil && s.refusal.Verdict() == NotRun && f.upstream.runs > 0 {
			t.Fatalf("verdict not run for a request that ran %d times", f.upstream.runs)
		}
		if promisesNotRun(s.status) {
			t.Fatalf("status %d of a server relayed", s.status)
		}
		if s.refusal == nil && s.status == 0 && !s.aborted {
			t.Fatalf("no answer")
		}
	})
}

// drawOutcome draws the outcome of one attempt.
func drawOutcome(t *rapid.T) Outcome {
	switch rapid.IntRange(0, 5).Draw(t, "outcome") {
	case 0:
		return NotSent{Cause: errors.New("unreachable")}
	case 1:
		return Refused{Status: 503}
	case 2:
		return Lost{errors.New("reset")}
	case 3:
		return answer(rapid.SampledFrom([]int{500, 503, 429, 408, 421}).Draw(t, "status"), "failed")
	case 4:
		return Answered{&fakeAnswer{status: 200, stream: true, events: events("1"), interrupted: rapid.Bool().Draw(t, "cut")}}
	default:
		return answer(200, "ok")
	}
}

// twoServerRegistry returns a registry with one backend server in the failure domain of
// the node (near) and one in another (far). The near one is chosen unless it fails.
func twoServerRegistry() *backends.Registry {
	registry := backends.NewRegistry()
	registry.Replace([]backends.Registration{
		{ID: "near", Service: "s", Address: "near:1", FailureDomain: "z", Slots: 4},
		{ID: "far", Service: "s", Address: "far:1", FailureDomain: "y", Slots: 4},
	})
	return registry
}

// TestCallerCancellationIsNotServerFailure guards against counting canceled streams as
// failures of the backend server, which would then get no more requests.
func TestCallerCancellationIsNotServerFailure(t *testing.T) {
	is := is.New(t)
	f := newFixtureWith(twoServerRegistry(), Streaming, false)
	for range 20 {
		f.upstream.attempts = nil
		ctx, cancel := context.WithCancel(context.Background())
		f.upstream.outcomes = []Outcome{Answered{&canceledAnswer{fakeAnswer{status: 200, stream: true, events: []Event{{Bytes: []byte("x")}}}, cancel}}}
		f.core.Serve(ctx, f.request(nil), f.sink)
		is.Equal(f.upstream.attempts[0].Server.ID, "near")
	}
}

// canceledAnswer is a stream that the caller cancels after its events.
type canceledAnswer struct {
	fakeAnswer
	cancel func()
}

func (a *canceledAnswer) Next() (Event, error) {
	if len(a.events) == 0 {
		a.cancel()
		return Event{}, context.Canceled
	}
	return a.fakeAnswer.Next()
}

// TestStreamFailureCountsAgainstItsServer guards against counting an interrupted stream
// as a success of the server that interrupted it, when another server completes it.
func TestStreamFailureCountsAgainstItsServer(t *testing.T) {
	is := is.New(t)
	f := newFixtureWith(twoServerRegistry(), Streaming, true)
	first := ""
	for range 20 {
		f.upstream.attempts = nil
		f.upstream.outcomes = []Outcome{
			Answered{&fakeAnswer{status: 200, stream: true, events: []Event{{Bytes: []byte("1"), LastID: "1"}}, interrupted: true}},
			Answered{&fakeAnswer{status: 200, stream: true, events: []Event{{Bytes: []byte("2"), LastID: "2"}}}},
		}
		f.serve(nil)
		first = f.upstream.attempts[0].Server.ID
		if first == "far" {
			break
		}
	}
	is.Equal(first, "far")
}
