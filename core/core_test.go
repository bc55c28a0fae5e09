package core

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/figweir/figweir/backends"
)

// fakeUpstream answers attempts from a script, the last step for ever.
type fakeUpstream struct {
	steps    []Outcome
	prefills []Outcome
	attempts []Attempt
	freed    []string
	// onSend, if set, is called with each attempt.
	onSend func()
	// ran counts the attempts that a backend server may have run.
	ran int
}

func (u *fakeUpstream) Send(_ context.Context, a *Attempt) Outcome {
	u.attempts = append(u.attempts, *a)
	if u.onSend != nil {
		u.onSend()
	}
	var o Outcome = NotSent{errors.New("script ended")}
	if len(u.steps) > 0 {
		o = u.steps[0]
		u.steps = u.steps[1:]
	}
	switch o.(type) {
	case Lost, Answered:
		u.ran++
	}
	return o
}

func (u *fakeUpstream) Prefill(_ context.Context, a *Attempt) (*Handle, Outcome) {
	if len(u.prefills) > 0 {
		o := u.prefills[0]
		u.prefills = u.prefills[1:]
		if o != nil {
			return nil, o
		}
	}
	return &Handle{Address: a.Server.Address, ID: "handle-" + a.Server.ID}, nil
}

func (u *fakeUpstream) Free(h *Handle) { u.freed = append(u.freed, h.ID) }

// fakeAnswer is a stream or a whole answer.
type fakeAnswer struct {
	status int
	stream bool
	body   string
	err    error
	events []Event
	// cut ends the stream with an error after its events.
	cut bool
}

func (a *fakeAnswer) Head() Head             { return Head{Status: a.status} }
func (a *fakeAnswer) Stream() bool           { return a.stream }
func (a *fakeAnswer) Whole() ([]byte, error) { return []byte(a.body), a.err }
func (a *fakeAnswer) Close()                 {}
func (a *fakeAnswer) Next() (Event, error) {
	if len(a.events) > 0 {
		e := a.events[0]
		a.events = a.events[1:]
		return e, nil
	}
	if a.cut {
		return Event{}, errors.New("connection reset")
	}
	return Event{}, io.EOF
}

type fakeSink struct {
	status  int
	body    string
	begun   int
	ended   bool
	aborted bool
	refusal *Refusal
}

func (s *fakeSink) Whole(h Head, b []byte) error {
	s.status, s.body = h.Status, string(b)
	return nil
}
func (s *fakeSink) Begin(h Head) error    { s.begun++; s.status = h.Status; return nil }
func (s *fakeSink) Events(b []byte) error { s.body += string(b); return nil }
func (s *fakeSink) End() error            { s.ended = true; return nil }
func (s *fakeSink) Abort()                { s.aborted = true }
func (s *fakeSink) Refuse(r Refusal)      { s.refusal = &r }

type fakeBudget struct{ retries, firsts int }

func (b *fakeBudget) First(string) { b.firsts++ }
func (b *fakeBudget) Retry(string) bool {
	b.retries--
	return b.retries >= 0
}

type nobody struct{}

func (nobody) Load(uint64) (int64, int64) { return 0, 0 }
func (nobody) Peers() int                 { return 0 }

type nothing struct{}

func (nothing) Began(string, time.Time)                          {}
func (nothing) Attempt(*Record, *backends.Server, string, error) {}
func (nothing) Done(*Record)                                     {}

// fakeMeter counts the requests that began.
type fakeMeter struct{ began int }

func (m *fakeMeter) Began(string, time.Time) { m.began++ }

type fixture struct {
	core     *Core
	upstream *fakeUpstream
	sink     *fakeSink
	budget   *fakeBudget
}

func newFixture(kind Kind, resumable bool, steps ...Outcome) *fixture {
	registry := backends.NewRegistry()
	var infos []backends.Info
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		infos = append(infos, backends.Info{ID: id, Service: "s", Address: id + ":1", Slots: 4})
	}
	registry.Replace(infos)
	return newFixtureOn(registry, kind, resumable, steps...)
}

func newFixtureOn(registry *backends.Registry, kind Kind, resumable bool, steps ...Outcome) *fixture {
	route := &Route{
		Name: "r", Host: "h", PathPrefix: "/p/", Kind: kind, Resumable: resumable, Timeout: 5 * time.Second,
		Target: time.Second, MaxAttempts: 2, Targets: []WeightedService{{"s", 1}},
	}
	table := NewTable(3, Limits{}, []*Route{route}, []*Service{{Name: "s"}}, map[string]*Workspace{"key": {Name: "w", Priority: -1}})
	var tables atomic.Pointer[Table]
	tables.Store(table)
	f := &fixture{upstream: &fakeUpstream{steps: steps}, sink: &fakeSink{}, budget: &fakeBudget{retries: 100}}
	f.core = &Core{
		Tables: &tables, Chooser: backends.NewBalancer(registry, "z", nobody{}, func() backends.Cell { return backends.WholeDeployment }, func() {}), Budget: f.budget,
		Upstream: f.upstream, Meter: nothing{}, Observer: nothing{},
	}
	return f
}

func (f *fixture) serve(r *Request) *fakeSink {
	f.core.Serve(context.Background(), f.request(r), f.sink)
	return f.sink
}

// request fills in what a request needs to be served.
func (f *fixture) request(r *Request) *Request {
	if r == nil {
		r = &Request{}
	}
	r.ID, r.Host, r.Path, r.Arrived = "1", "h", "/p/x", time.Now()
	if r.Key == "" {
		r.Key = "key"
	}
	return r
}

func answer(status int, body string) Outcome {
	return Answered{&fakeAnswer{status: status, body: body}}
}

// TestUnsafeRequestRunsOnce guards against a second run of a request that may
// have run, and against saying of it that it has not.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(Unsafe, false, Lost{errors.New("reset")}, answer(200, "second"))
	s := f.serve(nil)
	is.Equal(len(f.upstream.attempts), 1)
	is.Equal(s.refusal.Verdict(), MayHaveRun)
}

// TestAbandonedStreamsAreNotMetered guards against usage figures above the truth
// when callers give up streams that wait in the queues of engines, and against
// figures below it when a path to an engine loses the answers of requests that run.
func TestAbandonedStreamsAreNotMetered(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		kind      Kind
		abandoned bool
		began     int
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
		is.Equal(meter.began, test.began)
	}
}

// TestLongestPauseIsRecorded guards against a stream that stops for long and whose
// last line looks as if it had not.
func TestLongestPauseIsRecorded(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	var e exchange
	for _, at := range []time.Duration{0, 50, 400, 450} {
		e.noteEvent(start.Add(at * time.Millisecond))
	}
	is.Equal(e.record.MaxPause, 350*time.Millisecond)
	is.Equal(e.record.Events, 4)
}

// TestRefusedAttemptGoesElsewhere guards against giving a request up that
// another backend server can run.
func TestRefusedAttemptGoesElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFixture(Unsafe, false, Refused{Status: 503}, NotSent{errors.New("refused")}, answer(200, "ok"))
	s := f.serve(nil)
	is.Equal(s.body, "ok")
	is.Equal(len(f.upstream.attempts), 3)
	seen := map[string]bool{}
	for _, a := range f.upstream.attempts {
		is.True(!seen[a.Server.ID]) // no server is tried twice
		seen[a.Server.ID] = true
	}
}

// TestRetriesStopWithTheBudget guards against arrivals beyond the shared budget.
// The attempt that could not be sent is no arrival.
func TestRetriesStopWithTheBudget(t *testing.T) {
	is := is.New(t)
	f := newFixture(Unsafe, false, Refused{}, NotSent{errors.New("x")}, Refused{}, Refused{}, answer(200, "late"))
	f.budget.retries = 2
	s := f.serve(nil)
	is.Equal(f.budget.firsts, 1)
	is.Equal(len(f.upstream.attempts), 3)
	is.Equal(s.refusal.Verdict(), NotRun)
	is.True(s.refusal.RetryAfter() > 0)
}

// TestSafeRequestIsRepeatedAfterServerError guards against handing on a failure
// that another backend server does not have.
func TestSafeRequestIsRepeatedAfterServerError(t *testing.T) {
	is := is.New(t)
	f := newFixture(Safe, false, answer(500, "bad"), answer(200, "good"))
	s := f.serve(nil)
	is.Equal(s.body, "good")
	f = newFixture(Safe, false, answer(500, "bad"), answer(200, "good"))
	f.budget.retries = 0
	s = f.serve(nil)
	is.Equal(s.status, 500) // without a retry the failure is the answer
	is.Equal(len(f.upstream.attempts), 1)
}

// TestCutAnswerIsNotHandedOn guards against an answer that looks whole and is
// not.
func TestCutAnswerIsNotHandedOn(t *testing.T) {
	is := is.New(t)
	f := newFixture(Unsafe, false, Answered{&fakeAnswer{status: 200, body: "half", err: io.ErrUnexpectedEOF}})
	s := f.serve(nil)
	is.Equal(s.status, 0)
	is.Equal(s.refusal.Verdict(), MayHaveRun)
}

func events(ids ...string) []Event {
	var list []Event
	for _, id := range ids {
		list = append(list, Event{Bytes: []byte(id), LastID: id})
	}
	return list
}

// TestResumableStreamGoesOnElsewhere guards against missing and repeated events
// where a stream continues at another backend server.
func TestResumableStreamGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFixture(Streaming, true,
		Answered{&fakeAnswer{status: 200, stream: true, events: events("1", "2"), cut: true}},
		Answered{&fakeAnswer{status: 200, stream: true, events: events("3", "4")}})
	s := f.serve(nil)
	is.Equal(s.body, "1234")
	is.True(s.ended)
	is.Equal(s.begun, 1) // one head, that of the first server
	is.Equal(f.upstream.attempts[1].After, "2")
}

// TestStreamThatCannotGoOnIsAborted guards against a cut stream that ends as if
// complete, and against trying for ever without a retry budget.
func TestStreamThatCannotGoOnIsAborted(t *testing.T) {
	is := is.New(t)
	for _, resumable := range []bool{false, true} {
		f := newFixture(Streaming, resumable,
			Answered{&fakeAnswer{status: 200, stream: true, events: events("1"), cut: true}},
			Answered{&fakeAnswer{status: 200, stream: true, events: events("2")}})
		f.budget.retries = 0
		s := f.serve(nil)
		is.True(s.aborted)
		is.True(!s.ended)
		is.Equal(len(f.upstream.attempts), 1)
	}
}

func engines() *backends.Registry {
	r := backends.NewRegistry()
	var infos []backends.Info
	for _, id := range []string{"p1", "p2", "p3"} {
		infos = append(infos, backends.Info{ID: id, Service: "s", Address: id + ":1", Slots: 4, Role: backends.RolePrefill})
	}
	for _, id := range []string{"d1", "d2", "d3"} {
		infos = append(infos, backends.Info{ID: id, Service: "s", Address: id + ":1", Slots: 4, Role: backends.RoleDecode})
	}
	r.Replace(infos)
	return r
}

func longPrompt() *Request {
	return &Request{Prompt: &backends.Prompt{Tokens: 12000, Parts: []backends.Part{{ID: "s", Tokens: 2000}, {ID: "own", Tokens: 10000}}}}
}

// TestHandleIsUsedAgainAfterRefusal guards against processing a prompt twice when
// the engine that should take its KV cache refuses.
func TestHandleIsUsedAgainAfterRefusal(t *testing.T) {
	is := is.New(t)
	f := newFixtureOn(engines(), Streaming, false, Refused{}, Answered{&fakeAnswer{status: 200, stream: true, events: events("1")}})
	s := f.serve(longPrompt())
	is.True(s.ended)
	is.Equal(len(f.upstream.attempts), 2)
	is.True(f.upstream.attempts[1].Source != nil)
	is.Equal(f.upstream.attempts[0].Source.ID, f.upstream.attempts[1].Source.ID)
	is.Equal(len(f.upstream.freed), 0)
}

// TestUnusedHandleIsFreed guards against KV cache that stays at an engine though
// its request is given up.
func TestUnusedHandleIsFreed(t *testing.T) {
	is := is.New(t)
	f := newFixtureOn(engines(), Streaming, false, Refused{}, Refused{}, Refused{}, Refused{}, Refused{}, Refused{})
	s := f.serve(longPrompt())
	is.Equal(s.refusal.Verdict(), NotRun)
	is.True(len(f.upstream.freed) > 0)
}

// TestRequestsWithoutRouteOrKey guards against running what no configuration
// allows, and against 401 or 404 from a node that has none.
func TestRequestsWithoutRouteOrKey(t *testing.T) {
	is := is.New(t)
	f := newFixture(Safe, false, answer(200, "x"))
	s := f.serve(&Request{Key: "other"})
	is.Equal(s.refusal.Verdict(), BadKey)
	f = newFixture(Safe, false, answer(200, "x"))
	f.core.Tables.Store(nil)
	s = f.serve(&Request{Key: "other"})
	is.Equal(s.refusal.Verdict(), NotRun)
	is.Equal(len(f.upstream.attempts), 0)
}

// TestRefusalsAreTrue drives requests of every kind through random outcomes. It
// guards against "not run" of a request that may have run, against more runs
// than the kind allows, and against requests that end without an answer.
func TestRefusalsAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]Kind{Unsafe, Safe, Streaming}).Draw(t, "kind")
		resumable := rapid.Bool().Draw(t, "resumable")
		steps := rapid.SliceOfN(rapid.Custom(drawOutcome), 0, 8).Draw(t, "steps")
		f := newFixture(kind, resumable, steps...)
		f.budget.retries = rapid.IntRange(0, 6).Draw(t, "budget")
		s := f.serve(nil)
		allowed := 1
		if kind == Safe || kind == Streaming && resumable {
			allowed = 2
		}
		if f.upstream.ran > allowed {
			t.Fatalf("ran %d times, %d allowed", f.upstream.ran, allowed)
		}
		if s.refusal != nil && s.refusal.Verdict() == NotRun && f.upstream.ran > 0 {
			t.Fatalf("not run was said of a request that ran %d times", f.upstream.ran)
		}
		if s.refusal == nil && s.status == 0 && !s.aborted {
			t.Fatalf("no answer")
		}
	})
}

func drawOutcome(t *rapid.T) Outcome {
	switch rapid.IntRange(0, 5).Draw(t, "outcome") {
	case 0:
		return NotSent{errors.New("unreachable")}
	case 1:
		return Refused{Status: 503}
	case 2:
		return Lost{errors.New("reset")}
	case 3:
		return answer(500, "failed")
	case 4:
		return Answered{&fakeAnswer{status: 200, stream: true, events: events("1"), cut: rapid.Bool().Draw(t, "cut")}}
	default:
		return answer(200, "ok")
	}
}

// leavingUpstream marks an engine as leaving while a prompt is processed.
type leavingUpstream struct {
	*fakeUpstream
	leave func()
}

func (u leavingUpstream) Prefill(ctx context.Context, a *Attempt) (*Handle, Outcome) {
	u.leave()
	return u.fakeUpstream.Prefill(ctx, a)
}

// TestEngineIsChosenAfterPrefill guards against sending a request to an engine
// that began to leave while the prompt was processed.
func TestEngineIsChosenAfterPrefill(t *testing.T) {
	is := is.New(t)
	registry := engines()
	f := newFixtureOn(registry, Streaming, false, Answered{&fakeAnswer{status: 200, stream: true, events: events("1")}})
	f.core.Upstream = leavingUpstream{f.upstream, func() {
		registry.Replace([]backends.Info{
			{ID: "p1", Service: "s", Address: "p1:1", Slots: 4, Role: backends.RolePrefill},
			{ID: "d1", Service: "s", Address: "d1:1", Slots: 4, Role: backends.RoleDecode, State: backends.Draining},
			{ID: "d2", Service: "s", Address: "d2:1", Slots: 4, Role: backends.RoleDecode, State: backends.Draining},
			{ID: "d3", Service: "s", Address: "d3:1", Slots: 4, Role: backends.RoleDecode},
		})
	}}
	s := f.serve(longPrompt())
	is.True(s.ended)
	is.Equal(f.upstream.attempts[0].Server.ID, "d3")
}

// twoServers returns a registry with a near and a far backend server. The near one
// is chosen unless it is known to fail.
func twoServers() *backends.Registry {
	registry := backends.NewRegistry()
	registry.Replace([]backends.Info{
		{ID: "near", Service: "s", Address: "near:1", FailureDomain: "z", Slots: 4},
		{ID: "far", Service: "s", Address: "far:1", FailureDomain: "y", Slots: 4},
	})
	return registry
}

// TestLeavingCallersBlameNoServer guards against backend servers that get no more
// work because callers gave up while these were at work.
func TestLeavingCallersBlameNoServer(t *testing.T) {
	is := is.New(t)
	f := newFixtureOn(twoServers(), Streaming, false)
	for range 20 {
		f.upstream.attempts = nil
		ctx, cancel := context.WithCancel(context.Background())
		f.upstream.steps = []Outcome{Answered{&leavingAnswer{fakeAnswer{status: 200, stream: true, events: []Event{{Bytes: []byte("x")}}}, cancel}}}
		f.core.Serve(ctx, f.request(nil), f.sink)
		is.Equal(f.upstream.attempts[0].Server.ID, "near")
	}
}

// leavingAnswer is a stream whose caller leaves after its events.
type leavingAnswer struct {
	fakeAnswer
	leave func()
}

func (a *leavingAnswer) Next() (Event, error) {
	if len(a.events) == 0 {
		a.leave()
		return Event{}, context.Canceled
	}
	return a.fakeAnswer.Next()
}

// TestCutStreamsBlameTheServerThatCut guards against crediting a backend server
// that cuts streams with the rest of these, which another one has sent.
func TestCutStreamsBlameTheServerThatCut(t *testing.T) {
	is := is.New(t)
	f := newFixtureOn(twoServers(), Streaming, true)
	first := ""
	for range 20 {
		f.upstream.attempts = nil
		f.upstream.steps = []Outcome{
			Answered{&fakeAnswer{status: 200, stream: true, events: []Event{{Bytes: []byte("1"), LastID: "1"}}, cut: true}},
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
