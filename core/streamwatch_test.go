package core

import (
	"context"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/stall"
)

// pacedAnswer is a stream whose events come at their times. A stream that does not end is silent
// after them.
type pacedAnswer struct {
	fakeAnswer
	ctx   context.Context
	pause time.Duration
	ends  bool
}

func (a *pacedAnswer) Next() (Event, error) {
	if len(a.events) == 0 && a.ends {
		return Event{}, io.EOF
	}
	if len(a.events) == 0 {
		<-a.ctx.Done()
		return Event{}, context.Cause(a.ctx)
	}
	select {
	case <-a.ctx.Done():
		return Event{}, context.Cause(a.ctx)
	case <-time.After(a.pause):
	}
	return a.fakeAnswer.Next()
}

// pacedUpstream answers attempts with streams. A nil one is silent before its head.
type pacedUpstream struct {
	*fakeUpstream
	mu      sync.Mutex
	streams []*pacedAnswer
	sent    []Attempt
	// refuses is set if servers refuse connections, checks counts how often that was asked.
	refuses atomic.Bool
	checks  atomic.Int64
	onSend  func(attempt int)
}

func (u *pacedUpstream) Send(ctx context.Context, a *Attempt) Outcome {
	u.mu.Lock()
	u.sent = append(u.sent, *a)
	n := len(u.sent)
	var s *pacedAnswer
	if n <= len(u.streams) {
		s = u.streams[n-1]
	}
	u.mu.Unlock()
	if u.onSend != nil {
		u.onSend(n)
	}
	if s == nil {
		<-ctx.Done()
		return Lost{context.Cause(ctx)}
	}
	s.ctx, s.status, s.stream = ctx, 200, true
	return Answered{s}
}

func (u *pacedUpstream) Crashed(*backends.Server) bool {
	u.checks.Add(1)
	return u.refuses.Load()
}

// paced returns a stream with an event for each id.
func paced(pause time.Duration, ends bool, ids ...string) *pacedAnswer {
	return &pacedAnswer{fakeAnswer: fakeAnswer{events: events(ids...)}, pause: pause, ends: ends}
}

// stallObserver counts what was done about silent streams.
type stallObserver struct {
	noop
	mu      sync.Mutex
	counts  map[StreamEvent]int
	last    SilentStream
	records []Record
}

func (o *stallObserver) StreamSilent(e StreamEvent, s SilentStream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[e]++
	if e == StreamMoved || e == StreamEnded {
		o.last = s
	}
}

func (o *stallObserver) RequestDone(r *Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records = append(o.records, *r)
}

type stallFixture struct {
	*fixture
	paced    *pacedUpstream
	observer *stallObserver
	route    *Route
}

// newStallFixture returns a fixture with a route whose callers leave after 2 s without an event.
func newStallFixture(resumable bool, streams ...*pacedAnswer) *stallFixture {
	f := &stallFixture{fixture: newFixture(Streaming, resumable), observer: &stallObserver{counts: make(map[StreamEvent]int)}}
	f.route = f.core.CurrentTable.Load().Route("h", "/p/x")
	f.route.TargetLatency, f.route.TargetPause, f.route.Timeout = 200*time.Millisecond, 200*time.Millisecond, 8*time.Second
	f.paced = &pacedUpstream{fakeUpstream: f.upstream, streams: streams}
	f.core.Upstream, f.core.Observer = f.paced, f.observer
	return f
}

// TestStreamOfSilentServerContinuesElsewhere guards against a stream that hangs at a silent server
// until its deadline, before its head, before its first event or after some, against one whose first
// exchange still runs when the second is sent, and against events that are repeated or lost.
func TestStreamOfSilentServerContinuesElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		first       *pacedAnswer
		lastEventID string
		rest        []string
	}{
		"before its head":       {nil, "", []string{"1", "2", "3", "4"}},
		"before its first":      {paced(0, false), "", []string{"1", "2", "3", "4"}},
		"after its first event": {paced(0, false, "1"), "1", []string{"2", "3", "4"}},
		"after three events":    {paced(100*time.Millisecond, false, "1", "2", "3"), "3", []string{"4"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newStallFixture(true, test.first, paced(0, true, test.rest...))
				f.paced.onSend = func(n int) {
					is.True(n < 2 || test.first == nil || test.first.closed == 1)
				}
				start := time.Now()
				s := f.serve(nil)
				is.Equal(s.body, "1234")
				is.True(s.ended)
				is.Equal(len(f.paced.sent), 2)
				is.Equal(f.paced.sent[1].LastEventID, test.lastEventID)
				is.True(time.Since(start) < 1500*time.Millisecond) // callers leave after 2 s
				is.Equal(f.observer.counts[StreamMoved], 1)
				is.Equal(f.observer.last.Reason, stall.ReasonSilent)
				is.Equal(100-f.budget.retries, 1)
				for _, a := range f.paced.sent {
					requests, _ := a.Server.OwnLoad()
					is.Equal(requests, int64(0)) // no reserved server stays reserved
				}
			})
		})
	}
}

// TestRouteWithoutTargetPauseIsNotWatched guards against a change of behavior of routes that state no
// target pause.
func TestRouteWithoutTargetPauseIsNotWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStallFixture(true, paced(0, false, "1"))
		f.route.TargetPause = 0
		s := f.serve(nil)
		is.True(s.aborted)
		is.Equal(f.observer.records[0].TotalTime, 8*time.Second)
		is.Equal(f.paced.checks.Load(), int64(0))
	})
}

// TestResumedStreamIsNotMovedAgain guards against a stream that moves from one silent server to the
// next, although attempts are left.
func TestResumedStreamIsNotMovedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStallFixture(true, paced(0, false, "1"), paced(0, false, "2"), paced(0, true, "3"))
		f.route.MaxAttempts = 3
		s := f.serve(nil)
		is.Equal(s.body, "12")
		is.True(s.aborted)
		is.Equal(len(f.paced.sent), 2)
	})
}

// TestResumedStreamOfCrashedServerEnds guards against callers who wait for a stream whose second server
// has crashed and that may not run on a third.
func TestResumedStreamOfCrashedServerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStallFixture(true, paced(0, false, "1"), nil)
		f.paced.onSend = func(n int) { f.paced.refuses.Store(n == 2) }
		s := f.serve(nil)
		is.True(s.aborted)
		is.Equal(len(f.paced.sent), 2)
		is.Equal(f.observer.counts[StreamEnded], 1)
		is.True(f.observer.records[0].TotalTime < 2*time.Second)
	})
}

// TestSilentStreamWaitsWithoutBudget guards against a stream that is ended because it could not be
// moved: its server may go on.
func TestSilentStreamWaitsWithoutBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStallFixture(true, paced(1900*time.Millisecond, true, "1", "2", "3"))
		f.budget.retries = 0
		s := f.serve(nil)
		is.Equal(s.body, "123")
		is.True(s.ended)
		is.Equal(f.observer.counts[StreamKeptWaiting], 1)
		is.Equal(f.observer.counts[StreamMoved], 0)
	})
}

// TestSilentStreamWaitsWithoutOtherServer guards against a stream that is ended although no other server
// could take it.
func TestSilentStreamWaitsWithoutOtherServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStallFixture(true, paced(1900*time.Millisecond, true, "1", "2"))
		registry := backends.NewRegistry()
		registry.Replace([]backends.Registration{{ID: "a", Service: "s", Address: "a:1", Slots: 4}})
		f.core.Chooser = newFixtureWith(registry, Streaming, true).core.Chooser
		s := f.serve(nil)
		is.Equal(s.body, "12")
		is.Equal(100-f.budget.retries, 0)
	})
}

// TestSilenceDoesNotEndUnresumableStream guards against an answer that is ended because its server,
// which runs, says nothing for long, and against checks whose number grows with the silence.
func TestSilenceDoesNotEndUnresumableStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStallFixture(false, paced(3500*time.Millisecond, true, "1", "2"))
		s := f.serve(nil)
		is.Equal(s.body, "12")
		is.True(s.ended)
		is.Equal(f.paced.checks.Load(), int64(6)) // after 500, 1,000 and 2,000 ms of each silence
	})
}

// TestUnresumableStreamEndsWithItsServer guards against callers who wait for the end of a stream whose
// server has crashed without a reset, or runs again as a new incarnation or under another id.
func TestUnresumableStreamEndsWithItsServer(t *testing.T) {
	replace := func(change func(*backends.Registration)) func(*stallFixture) {
		return func(f *stallFixture) {
			registry := backends.NewRegistry()
			f.core.Servers = registry.View
			f.paced.onSend = func(int) {
				next := f.paced.sent[0].Server.Registration
				next.StartUnixMillis++
				change(&next)
				registry.Replace([]backends.Registration{next})
			}
		}
	}
	for name, test := range map[string]struct {
		setUp  func(*stallFixture)
		reason stall.Reason
	}{
		"crashed":         {func(f *stallFixture) { f.paced.refuses.Store(true) }, stall.ReasonCrashed},
		"new incarnation": {replace(func(*backends.Registration) {}), stall.ReasonReplaced},
		"other id":        {replace(func(r *backends.Registration) { r.ID = "other" }), stall.ReasonReplaced},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newStallFixture(false, paced(0, false, "1"))
				f.route.TargetLatency = 1500 * time.Millisecond
				test.setUp(f)
				s := f.serve(nil)
				is.True(s.aborted)
				is.True(!s.ended)
				is.True(f.observer.records[0].TotalTime < 600*time.Millisecond)
				is.Equal(f.observer.records[0].Reason, ReasonStreamCut)
				is.Equal(f.observer.last.Reason, test.reason)
			})
		})
	}
}

// TestServerOfDrainRefusesWithoutCrash guards against a stream that is ended because its server, which
// drains, has closed its listener: it still answers its running requests.
func TestServerOfDrainRefusesWithoutCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStallFixture(false, paced(1500*time.Millisecond, true, "1", "2"))
		f.paced.refuses.Store(true)
		f.paced.onSend = func(int) { f.paced.sent[0].Server.MarkLeaving(time.Now()) }
		s := f.serve(nil)
		is.Equal(s.body, "12")
		is.True(s.ended)
	})
}

// TestRestoredStoreReplacesNoServer guards against a stream that is ended because a restored store
// names an earlier incarnation of its server.
func TestRestoredStoreReplacesNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStallFixture(false, paced(1500*time.Millisecond, true, "1", "2"))
		registry := backends.NewRegistry()
		f.core.Servers = registry.View
		f.paced.onSend = func(int) {
			earlier := f.paced.sent[0].Server.Registration
			earlier.StartUnixMillis--
			registry.Replace([]backends.Registration{earlier})
		}
		s := f.serve(nil)
		is.Equal(s.body, "12")
	})
}

// endlessBudget grants all retries.
type endlessBudget struct{}

func (endlessBudget) FirstAttempt(string) {}
func (endlessBudget) Retry(string) bool   { return true }

// TestBurstOfSlowServersMovesNoStream guards against a burst in which every server is slow and all
// streams are sent once more, and against a check for each of them.
func TestBurstOfSlowServersMovesNoStream(t *testing.T) {
	for name, pause := range map[string]time.Duration{"one event per second": time.Second, "one in 1.9 s": 1900 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const streams = 24
				f := newStallFixture(true)
				f.core.RetryBudget = endlessBudget{}
				for range streams {
					f.paced.streams = append(f.paced.streams, paced(pause, true, "1", "2", "3", "4"))
				}
				var wait sync.WaitGroup
				for range streams {
					r := f.request(nil)
					wait.Go(func() { f.core.Serve(context.Background(), r, &fakeSink{}) })
				}
				wait.Wait()
				is.Equal(f.observer.counts[StreamMoved], 0)
				is.Equal(len(f.paced.sent), streams)
				// Eight servers, four silences, at most two checks of each.
				is.True(f.paced.checks.Load() <= 8*4*2)
				is.Equal(f.core.streams.running.Load(), int64(0))
				is.Equal(f.core.streams.silent.Load(), int64(0))
			})
		})
	}
}

// TestCallerWhoLeavesIsNotServedElsewhere guards against a second attempt for a caller who leaves at the
// moment at which its stream would move.
func TestCallerWhoLeavesIsNotServedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, leavesAt := range []time.Duration{999 * time.Millisecond, time.Second} {
			f := newStallFixture(true, paced(0, false, "1"), paced(0, true, "2"))
			ctx, cancel := context.WithTimeout(context.Background(), leavesAt)
			f.core.Serve(ctx, f.request(nil), f.sink)
			cancel()
			is.True(len(f.paced.sent) == 1 || leavesAt == time.Second && f.sink.body == "12")
			is.True(f.sink.aborted || f.sink.ended)
		}
	})
}

// blockedSink is a caller that does not read its first events for a time.
type blockedSink struct {
	fakeSink
	blocked time.Duration
}

func (s *blockedSink) WriteEvents(b []byte) error {
	time.Sleep(s.blocked)
	s.blocked = 0
	return s.fakeSink.WriteEvents(b)
}

// TestSlowCallerIsNoSilentServer guards against a stream that leaves its server because its caller does
// not read.
func TestSlowCallerIsNoSilentServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStallFixture(true, paced(0, true, "1", "2"))
		s := &blockedSink{blocked: 4 * time.Second}
		f.core.Serve(context.Background(), f.request(nil), s)
		is.Equal(s.body, "12")
		is.Equal(len(f.paced.sent), 1)
		is.Equal(f.paced.checks.Load(), int64(0))
	})
}

// TestSilentPrefillIsRepeatedElsewhere guards against a prompt that waits until the deadline at a prefill
// engine that is silent or has crashed.
func TestSilentPrefillIsRepeatedElsewhere(t *testing.T) {
	for name, test := range map[string]struct{ resumable, refuses bool }{"silent": {true, false}, "crashed, unresumable": {false, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newStallFixture(test.resumable, paced(0, true, "1"))
				f.core.Chooser = newFixtureWith(engineRegistry(), Streaming, true).core.Chooser
				f.paced.refuses.Store(test.refuses)
				prefill := &silentPrefill{pacedUpstream: f.paced}
				f.core.Upstream = prefill
				s := f.serve(longPromptRequest())
				is.Equal(s.body, "1")
				is.Equal(prefill.calls, 2)
				is.True(f.observer.records[0].TotalTime < 1500*time.Millisecond)
				is.Equal(f.observer.counts[StreamEnded], 0)
			})
		})
	}
}

// silentPrefill is an upstream whose first prefill is silent.
type silentPrefill struct {
	*pacedUpstream
	calls int
}

func (u *silentPrefill) Prefill(ctx context.Context, a *Attempt) (*KVHandle, Outcome) {
	if u.calls++; u.calls == 1 {
		<-ctx.Done()
		return nil, Lost{context.Cause(ctx)}
	}
	return u.pacedUpstream.Prefill(ctx, a)
}

// resumingUpstream sends the events after the last one of the caller, up to 6, with given pauses.
type resumingUpstream struct {
	*fakeUpstream
	pauses [][]time.Duration
	sent   int
}

func (u *resumingUpstream) Send(ctx context.Context, a *Attempt) Outcome {
	after, _ := strconv.Atoi(a.LastEventID)
	answer := &unevenAnswer{pacedAnswer: pacedAnswer{ctx: ctx, ends: true, fakeAnswer: fakeAnswer{status: 200, stream: true}}, pauses: u.pauses[u.sent]}
	u.sent++
	for n := after + 1; n <= 6; n++ {
		answer.events = append(answer.events, events(strconv.Itoa(n))...)
	}
	return Answered{answer}
}

// unevenAnswer has a pause of its own before each event.
type unevenAnswer struct {
	pacedAnswer
	pauses []time.Duration
}

func (a *unevenAnswer) Next() (Event, error) {
	a.pause, a.pauses = a.pauses[0], append(a.pauses[1:], 0)
	return a.pacedAnswer.Next()
}

// TestMovedStreamsRepeatAndLoseNothing guards against events that are repeated, lost or out of order when
// events and decisions coincide, and against more attempts than the route or the budget allow.
func TestMovedStreamsRepeatAndLoseNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pause := rapid.SampledFrom([]time.Duration{0, 100, 500, 999, 1000, 1001, 1499, 1500, 3000})
		pauses := rapid.SliceOfN(rapid.SliceOfN(pause, 6, 6), 3, 3).Draw(rt, "pauses_ms")
		for _, list := range pauses {
			for i := range list {
				list[i] *= time.Millisecond
			}
		}
		budget := rapid.IntRange(0, 2).Draw(rt, "budget")
		synctest.Test(t, func(*testing.T) {
			f := newStallFixture(true)
			f.budget.retries = budget
			u := &resumingUpstream{fakeUpstream: f.upstream, pauses: pauses}
			f.core.Upstream = u
			s := f.serve(nil)
			if !strings.HasPrefix("123456", s.body) || s.ended && s.body != "123456" {
				rt.Errorf("the caller got %q", s.body)
			}
			if u.sent > 1+min(1, budget) {
				rt.Errorf("%d attempts with %d retries", u.sent, budget)
			}
		})
	})
}

// TestFrozenNodeMovesNoStream guards against streams that leave their servers because the node was
// suspended: their events lie unread.
func TestFrozenNodeMovesNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStallFixture(true)
		e := &exchange{Core: f.core, request: &Request{}, route: f.route, deadline: time.Now().Add(time.Hour)}
		canceled := false
		w := e.watchStream(&Attempt{Server: twoServerRegistry().View().All()["near"]}, false, func(error) { canceled = true })
		w.timer.Stop()
		time.Sleep(5 * time.Second)
		w.tick()
		is.True(!canceled)
		w.received(time.Now(), "1")
		w.wait()
		time.Sleep(400 * time.Millisecond)
		is.True(!canceled)
		_, _ = w.stop()
	})
}

// BenchmarkStreamEvent measures what the watch adds to each event.
func BenchmarkStreamEvent(b *testing.B) {
	f := newStallFixture(true)
	e := &exchange{Core: f.core, request: &Request{}, route: f.route, deadline: time.Now().Add(time.Hour)}
	w := e.watchStream(&Attempt{Server: twoServerRegistry().View().All()["near"]}, false, func(error) {})
	defer func() { _, _ = w.stop() }()
	for b.Loop() {
		w.received(time.Now(), "1")
		w.wait()
	}
}
