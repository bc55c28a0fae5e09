package demo

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine"
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
