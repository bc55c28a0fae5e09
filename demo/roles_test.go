package demo

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine"
	"github.com/figweir/figweir/fleet"
	standin "github.com/figweir/figweir/standin/engine"
)

// Guards against prompts that are processed on decode engines, or answers that
// are not whole, when prefill and decode run on different engines; and against
// a failed prefill that fails the request.
func TestPrefillAndDecodeOnDifferentEngines(t *testing.T) {
	is := is.New(t)
	d := start(t, Options{Engine: func(_ int, s *standin.Settings) { s.RoleChangeMillis = 1 }})
	client := engine.NewClient()
	defer client.Close()
	for i, role := range []config.Role{config.RolePrefill, config.RoleDecode, config.RoleDecode} {
		order := engine.Order{ID: fmt.Sprintf("role-%d", i), Kind: engine.OrderRole, Role: role, FencingToken: 1, Sender: "test"}
		is.NoErr(client.Order(t.Context(), d.engineAddresses[i], order))
	}
	prompts := 0
	chat := func() {
		prompts++
		prompt := fmt.Sprintf("draft round %d", prompts)
		text, err := d.Chat(t.Context(), prompts%2, ChatRequest{Key: d.Key, Prompt: prompt, Tokens: 5, Stream: true})
		is.NoErr(err) // requests succeed while the nodes learn the roles, too
		is.Equal(text, standin.Answer(Model, prompt, 0, 5))
	}
	for prefills := 0; prefills < 5; prefills = d.Engines[0].Prefills() {
		if prompts > 2000 {
			t.Fatal("no prompt reaches the prefill engine")
		}
		chat()
		time.Sleep(5 * time.Millisecond)
	}
	d.Engines[0].SetFaults(standin.Faults{RefuseStreams: true})
	chat()
	chat()
}

// served returns how many requests the engine has been sent.
func served(e *standin.Server) int { return len(e.Served()) }

// Guards against new work on a backend server that the platform or the server
// itself announces as leaving, on any node, also while the store is down.
func TestLeavingServersGetNoNewWork(t *testing.T) {
	is := is.New(t)
	d := start(t, Options{})
	vms := []fleet.VM{d.Nodes[0].VM(), d.Nodes[1].VM(), {Name: "vm-engine-1", FailureDomain: failureDomain, BackendServer: "engine-1", Leaving: true}}
	d.Platform.SetVMs(vms)
	d.Platform.SetDown(true)
	d.Engines[1].SetLeaving(true)
	// Requests go on until both nodes have sent many in a row to the engine
	// that stays.
	const quiet = 40
	last, since := -1, 0
	for n := 0; since < quiet; n++ {
		if n > 5000 {
			t.Fatal("a leaving engine still gets new work")
		}
		_, err := d.Chat(t.Context(), n%2, ChatRequest{Key: d.Key, Prompt: fmt.Sprint(n), Tokens: 1})
		is.NoErr(err)
		since++
		if now := served(d.Engines[0]) + served(d.Engines[1]); now != last {
			last, since = now, 0
		}
	}
	is.True(served(d.Engines[2]) >= quiet)
}

// Guards against an engine that never gets work again after its load reports
// have failed for a while, or after it has said that it leaves and then that it
// stays.
func TestEnginesGetWorkAgain(t *testing.T) {
	d := start(t, Options{Nodes: 1, Engines: 1})
	wait := func(served bool) {
		t.Helper()
		for n := range 2000 {
			_, err := d.Chat(t.Context(), 0, ChatRequest{Key: d.Key, Prompt: fmt.Sprint(n), Tokens: 1})
			if (err == nil) == served {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.Fatalf("requests are served: want %v", served)
	}
	wait(true)
	d.Engines[0].SetFaults(standin.Faults{FailReports: true})
	wait(false)
	d.Engines[0].SetFaults(standin.Faults{})
	wait(true)
	d.Engines[0].SetLeaving(true)
	wait(false)
	d.Engines[0].SetLeaving(false)
	wait(true)
}

// Guards against streams that are cut when an operator drains their engine, and
// against new work on it.
func TestDrainOfAnEngineCutsNoStream(t *testing.T) {
	is := is.New(t)
	d := start(t, Options{Nodes: 2, Engines: 2, Engine: func(_ int, s *standin.Settings) { s.TokenMillis = 10 }})
	const streams = 12
	errs := make(chan error, streams)
	for n := range streams {
		go func() {
			prompt := fmt.Sprintf("order %d", n)
			text, err := d.Chat(t.Context(), n%2, ChatRequest{Key: d.Key, Prompt: prompt, Tokens: 100, Stream: true})
			if err == nil && text != standin.Answer(Model, prompt, 0, 100) {
				err = fmt.Errorf("answer %q is not whole", text)
			}
			errs <- err
		}()
	}
	waitRunning(t, d, streams, errs)
	is.True(d.Engines[0].Running() > 0) // streams are in flight on the engine
	repository := config.NewRepository(d.Platform.Store)
	document, version, err := repository.Load(t.Context())
	is.NoErr(err)
	for i := range document.BackendServers {
		document.BackendServers[i].Draining = document.BackendServers[i].Name == "engine-1"
	}
	_, err = repository.Apply(t.Context(), document, version.Revision, "test")
	is.NoErr(err)
	for range streams {
		is.NoErr(<-errs)
	}
	for n, last, since := 0, -1, 0; since < 20; n++ {
		if n > 2000 {
			t.Fatal("a drained engine still gets new work")
		}
		_, err := d.Chat(t.Context(), n%2, ChatRequest{Key: d.Key, Prompt: fmt.Sprint(n), Tokens: 1})
		is.NoErr(err)
		since++
		if now := served(d.Engines[0]); now != last {
			last, since = now, 0
		}
	}
}

// Guards against requests that fail because every engine decodes, or because a
// node has heard of the new decode engines before the new prefill engine.
func TestDecodeEnginesServeWithoutPrefill(t *testing.T) {
	is := is.New(t)
	d := start(t, Options{Nodes: 1, Engines: 2, Engine: func(_ int, s *standin.Settings) { s.RoleChangeMillis = 1 }})
	client := engine.NewClient()
	defer client.Close()
	for i := range d.Engines {
		order := engine.Order{ID: fmt.Sprintf("role-%d", i), Kind: engine.OrderRole, Role: config.RoleDecode, FencingToken: 1, Sender: "test"}
		is.NoErr(client.Order(t.Context(), d.engineAddresses[i], order))
	}
	// The requests go on well beyond the next polls of the load reports.
	for n := range 150 {
		prompt := fmt.Sprintf("draft %d", n)
		text, err := d.Chat(t.Context(), 0, ChatRequest{Key: d.Key, Prompt: prompt, Tokens: 2})
		is.NoErr(err)
		is.Equal(text, standin.Answer(Model, prompt, 0, 2))
		time.Sleep(5 * time.Millisecond)
	}
}
