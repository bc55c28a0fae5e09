package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/platform/backendsim"
)

// arrivalsAfterNotice sends requests at all nodes in turn until each of them has had answers of
// every engine, then makes the first engine state the notice, sends more until that engine has
// answered each node with it, and then further requests. It returns how many of these reached
// the first engine, and fails if one of them was not served.
func arrivalsAfterNotice(t *testing.T, n backendsim.Notice, wait time.Duration) int {
	is := is.New(t)
	const nodes, engines, requests = 2, 3, 90
	d := startDeployment(t, nodes, engines)
	first := d.engines[0].Server
	first.SetNotice(n)
	for i := range nodes * engines * 12 {
		d.send(i%nodes, fmt.Sprint("any", i))
	}
	told := len(first.Arrivals())
	is.True(told >= nodes)
	time.Sleep(wait)
	for i := range requests {
		status, _ := d.send(i%nodes, fmt.Sprint("part", i))
		is.Equal(status, http.StatusOK) // the other engines have free slots
	}
	return len(first.Arrivals()) - told
}

// TestLeavingServerGetsNoMoreRequests guards against requests to a server that has stated in its
// answers that it leaves while its registration still says that it is ready. The load: short
// streams at two nodes, one of three engines leaves.
func TestLeavingServerGetsNoMoreRequests(t *testing.T) {
	is := is.New(t)
	is.Equal(arrivalsAfterNotice(t, backendsim.Notice{Leaving: true}, 0), 0)
}

// TestServerThatStatesRetryAfterGetsNoRequests guards against requests to a server that has
// refused one with 503 and stated for how long it wants none, although other requests, sent
// before, succeed there. The load: as above; one of three engines refuses everything.
func TestServerThatStatesRetryAfterGetsNoRequests(t *testing.T) {
	is := is.New(t)
	// The suspension after a plain refusal has ended by then.
	is.Equal(arrivalsAfterNotice(t, backendsim.Notice{RetryAfter: "60.5"}, 1300*time.Millisecond), 0)
}

// TestServerThatStaysIsChosenAgain guards against a server that gets no work for good because it
// once stated that it leaves, and against one that is chosen again while it still leaves.
func TestServerThatStaysIsChosenAgain(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1, 1)
	g, engine := d.gateways[0], d.engines[0].Server
	engine.SetNotice(backendsim.Notice{Leaving: true})
	status, _ := d.send(0, "a")
	is.Equal(status, http.StatusOK)
	s := g.registry.View().All()["d0"]
	is.True(s.IsLeaving())
	status, _ = d.send(0, "b")
	is.Equal(status, http.StatusServiceUnavailable)
	g.checkLeaving(t.Context(), s)
	is.True(s.IsLeaving())
	engine.SetNotice(backendsim.Notice{})
	g.checkLeaving(t.Context(), s)
	status, _ = d.send(0, "c")
	is.Equal(status, http.StatusOK)
}
