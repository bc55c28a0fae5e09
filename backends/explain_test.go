package backends

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestExplanationAgreesWithChoice guards against explanations that differ from the choice, hide why
// a server is ruled out, or count as load.
func TestExplanationAgreesWithChoice(t *testing.T) {
	is := is.New(t)
	b, r := newBalancer(append(engines(8, 3), Registration{ID: "d9", Service: "s", Role: RoleDecode, Slots: 64, State: Draining}), peerLoads{"d0": {9, 0}, "d1": {64, 0}})
	now := time.Now()
	servers := r.View().All()
	servers["d2"].MarkLeaving(now)
	stateSpeed(servers["d1"], now, 200)
	criteria := engineCriteria(prompt("k", 4000, 8000))
	e := b.Explain(now, criteria)
	ruledOut := map[string]string{}
	for _, c := range e.Considered {
		ruledOut[c.Server] = c.RuledOut
		requests, tokens := servers[c.Server].OwnLoad()
		is.Equal(requests+tokens, int64(0))
		if c.Server == "d1" {
			is.Equal(c.FreeSlots, 0.0)
			is.True(c.Slowdown > 1.9 && c.CostMillis > fullPenaltyMillis)
		}
	}
	is.Equal(b.PromptTokens(), uint64(0))
	is.Equal(len(e.Considered), 12)
	is.Equal(ruledOut["d2"], "leaving")
	is.Equal(ruledOut["d9"], "draining")
	is.Equal(ruledOut["d0"], "")
	notPreferred := 0
	for _, reason := range ruledOut {
		if reason == "not preferred for the shared part" {
			notPreferred++
		}
	}
	is.Equal(notPreferred, 8-preferredServerCount)
	c, err := b.Choose(now, criteria)
	is.NoErr(err)
	is.Equal(c.Server.ID, e.Server)
	is.Equal(c.Prefill, e.Prefill)
	c.Done()
	for _, s := range servers {
		s.MarkLeaving(now)
	}
	_, err = b.Choose(now, criteria)
	is.Equal(b.Explain(now, criteria).Refusal, err.Error())
	is.Equal(b.Explain(now, &Criteria{Service: "other"}).Refusal, ErrNoServer.Error())
}
