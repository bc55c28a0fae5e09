package core

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/figweir/figweir/backends"
)

// engineRegistry returns a registry with three prefill and three decode engines.
func engineRegistry() *backends.Registry {
	r := backends.NewRegistry()
	var registrations []backends.Registration
	for _, id := range []string{"p1", "p2", "p3"} {
		registrations = append(registrations, backends.Registration{ID: id, Service: "s", Address: id + ":1", Slots: 4, Role: backends.RolePrefill})
	}
	for _, id := range []string{"d1", "d2", "d3"} {
		registrations = append(registrations, backends.Registration{ID: id, Service: "s", Address: id + ":1", Slots: 4, Role: backends.RoleDecode})
	}
	r.Replace(registrations)
	return r
}

// longPromptRequest returns a request whose prompt is processed on a prefill engine.
func longPromptRequest() *Request {
	return &Request{Prompt: &backends.Prompt{Tokens: 12000, Parts: []backends.Part{{ID: "s", Tokens: 2000}, {ID: "own", Tokens: 10000}}}}
}

// TestHandleIsReusedAfterRefusal guards against processing a prompt twice when the
// decode engine refuses the request.
func TestHandleIsReusedAfterRefusal(t *testing.T) {
	is := is.New(t)
	f := newFixtureWith(engineRegistry(), Streaming, false, Refused{}, Answered{&fakeAnswer{status: 200, stream: true, events: events("1")}})
	s := f.serve(longPromptRequest())
	is.True(s.ended)
	is.Equal(len(f.upstream.attempts), 2)
	is.True(f.upstream.attempts[1].KVSource != nil)
	is.Equal(f.upstream.attempts[0].KVSource.ID, f.upstream.attempts[1].KVSource.ID)
	is.Equal(len(f.upstream.freed), 0)
}

// TestRefusedPrefillTakesOneRetry guards against requests that are refused for want of
// retries in a role change or a reclaim, when many prefill engines refuse or lose prompts
// at the same time: the prefill that an engine then accepts is not charged to the budget.
func TestRefusedPrefillTakesOneRetry(t *testing.T) {
	for _, failed := range []Outcome{Refused{}, Lost{errors.New("connection reset")}} {
		is := is.New(t)
		registry := engineRegistry()
		f := newFixtureWith(registry, Streaming, false, Answered{&fakeAnswer{status: 200, stream: true, events: events("1")}})
		f.upstream.prefillOutcomes = []Outcome{failed, nil}
		f.budget.retries = 1
		s := f.serve(longPromptRequest())
		is.True(s.ended)
		is.Equal(f.budget.retries, 0)

		// A refused run after that is charged again.
		f = newFixtureWith(registry, Streaming, false, Refused{}, Answered{&fakeAnswer{status: 200, stream: true, events: events("1")}})
		f.upstream.prefillOutcomes = []Outcome{failed, nil}
		f.budget.retries = 1
		s = f.serve(longPromptRequest())
		is.True(s.refusal != nil)
	}
}

// TestSecondAcceptedPrefillIsCharged guards against arrivals beyond the retry budget: only
// the first prefill that an engine accepts is free.
func TestSecondAcceptedPrefillIsCharged(t *testing.T) {
	is := is.New(t)
	unreachable := NotSent{Cause: errors.New("connection refused")}
	f := newFixtureWith(engineRegistry(), Streaming, false, unreachable, unreachable, Answered{&fakeAnswer{status: 200, stream: true, events: events("1")}})
	f.budget.retries = 0
	s := f.serve(longPromptRequest())
	is.Equal(len(f.upstream.freed), 2) // the first handle was given up, the second one not used
	is.Equal(s.refusal.Verdict(), NotRun)
}

// TestUnusedHandleIsFreed guards against KV cache that remains on an engine after its
// request has been refused.
func TestUnusedHandleIsFreed(t *testing.T) {
	is := is.New(t)
	f := newFixtureWith(engineRegistry(), Streaming, false, Refused{}, Refused{}, Refused{}, Refused{}, Refused{}, Refused{})
	s := f.serve(longPromptRequest())
	is.Equal(s.refusal.Verdict(), NotRun)
	is.True(len(f.upstream.freed) > 0)
}

// drainingUpstream starts the drain of engines while a prompt is processed.
type drainingUpstream struct {
	*fakeUpstream
	startDrain func()
}

func (u drainingUpstream) Prefill(ctx context.Context, a *Attempt) (*KVHandle, Outcome) {
	u.startDrain()
	return u.fakeUpstream.Prefill(ctx, a)
}

// TestEngineIsChosenAfterPrefill guards against sending a request to a decode engine
// that started to drain while the prompt was processed.
func TestEngineIsChosenAfterPrefill(t *testing.T) {
	is := is.New(t)
	registry := engineRegistry()
	f := newFixtureWith(registry, Streaming, false, Answered{&fakeAnswer{status: 200, stream: true, events: events("1")}})
	f.core.Upstream = drainingUpstream{f.upstream, func() {
		registry.Replace([]backends.Registration{
			{ID: "p1", Service: "s", Address: "p1:1", Slots: 4, Role: backends.RolePrefill},
			{ID: "d1", Service: "s", Address: "d1:1", Slots: 4, Role: backends.RoleDecode, State: backends.Draining},
			{ID: "d2", Service: "s", Address: "d2:1", Slots: 4, Role: backends.RoleDecode, State: backends.Draining},
			{ID: "d3", Service: "s", Address: "d3:1", Slots: 4, Role: backends.RoleDecode},
		})
	}}
	s := f.serve(longPromptRequest())
	is.True(s.ended)
	is.Equal(f.upstream.attempts[0].Server.ID, "d3")
}

// TestRequestReturnsToServerOnNewConnection guards against a late copy of an engine's first response
// that is taken for the next one, because both have the id of the request: the engine that
// processed the prompt becomes the only one that decodes.
func TestRequestReturnsToServerOnNewConnection(t *testing.T) {
	is := is.New(t)
	engine := backends.Registration{ID: "e", Service: "s", Address: "e:1", Slots: 4, Role: backends.RolePrefill}
	registry := backends.NewRegistry()
	registry.Replace([]backends.Registration{engine, {ID: "d", Service: "s", Address: "d:1", Slots: 4, Role: backends.RoleDecode}})
	f := newFixtureWith(registry, Streaming, false, Answered{&fakeAnswer{status: 200, stream: true, events: events("1")}})
	f.upstream.afterPrefill = func() {
		engine.Role = backends.RoleDecode
		registry.Replace([]backends.Registration{engine})
	}
	s := f.serve(longPromptRequest())
	is.True(s.ended)
	is.Equal(len(f.upstream.attempts), 1)
	is.Equal(f.upstream.attempts[0].Server.ID, "e")
	is.True(f.upstream.attempts[0].NewConnection)
}
