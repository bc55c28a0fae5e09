package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/backends"
	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/platform/backendsim"
)

// TestStatedSpeedsAreShared guards against nodes that learn the speed of a server only from
// answers to their own requests: one node among many gets few. The load: streams at the first of
// two nodes, one of two engines states that it is fast, so that it gets them all: a datagram may be
// lost.
func TestStatedSpeedsAreShared(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 2, 2)
	d.engines[0].Server.SetSlowdownPercent(50)
	estimate := func(node int, id string) (slowdown float64, stated bool) {
		e := d.gateways[node].registry.View().All()[id].Capacity(time.Now())
		return e.Slowdown, e.StatesSpeed
	}
	const requests = 1000
	for i := range requests {
		d.send(0, fmt.Sprint("part", i))
		if _, stated := estimate(1, "d0"); stated {
			break
		}
	}
	slowdown, stated := estimate(1, "d0")
	is.True(stated)
	is.True(slowdown < 0.7)
	_, stated = estimate(1, "d1")
	is.True(!stated) // its load header has three figures
}

// TestImpossibleStatementsOfPeersAreIgnored guards against a datagram with an impossible speed, or
// about an unknown server.
func TestImpossibleStatementsOfPeersAreIgnored(t *testing.T) {
	is := is.New(t)
	g := &Gateway{registry: backends.NewRegistry()}
	g.registry.Replace([]backends.Registration{{ID: "a", Service: "s"}})
	s := g.registry.View().All()["a"]
	g.recordPeerStatements(time.Now(), &figweirv1.LoadUpdate{Servers: []*figweirv1.ServerLoad{
		{Server: s.Hash, SlowdownPercent: 1}, {Server: s.Hash, SlowdownPercent: 1 << 31}, {Server: s.Hash}, {Server: s.Hash + 1, SlowdownPercent: 100},
	}})
	is.True(!s.Capacity(time.Now()).StatesSpeed)
}

// TestChoiceIsExplained guards against an explanation for another prompt than the operator asked
// for, and against mistyped numbers that are taken for 0.
func TestChoiceIsExplained(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1, 2)
	get := func(query string) (int, backends.Explanation) {
		w := httptest.NewRecorder()
		d.gateways[0].adminRoutes().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/explain?host="+backendsim.Host+"&"+query, nil))
		var e backends.Explanation
		if w.Code == http.StatusOK {
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &e))
		}
		return w.Code, e
	}
	status, e := get("path=/stream/x&prompt_tokens=100&parts=a:40,own:60")
	is.Equal(status, http.StatusOK)
	is.Equal(len(e.Considered), 2)
	is.True(e.Server != "")
	for _, c := range e.Considered {
		is.Equal(c.UncachedTokens, 100)
	}
	for _, query := range []string{"path=/stream/x&prompt_tokens=x", "path=/stream/x&prompt_tokens=1&parts=a", "path=/stream/x&prompt_tokens=-1"} {
		status, _ := get(query)
		is.Equal(status, http.StatusBadRequest)
	}
}
