package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/platform/backendsim"
)

const (
	// limitWindow is the time over which the arrivals at a limited server are counted. In
	// each such window it may get limitFactor times what its limit allows, and
	// limitExtra requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// maxInWindow returns the largest number of arrivals within limitWindow.
func maxInWindow(arrivals []time.Time) int {
	most, first := 0, 0
	for last := range arrivals {
		for arrivals[last].Sub(arrivals[first]) >= limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestLimitOfServerHoldsForAllNodesTogether guards against nodes that send a backend server
// more requests than the limit that it has stated, each by itself or all together. The load:
// short streams at seven nodes in turn, one of three engines takes 1.5 requests a second, and
// each node has been told so in an answer.
func TestLimitOfServerHoldsForAllNodesTogether(t *testing.T) {
	is := is.New(t)
	const nodes, engines, requests, perSecond = 7, 3, 400, 1.5
	d := startDeployment(t, nodes, engines)
	limited := d.engines[0].Server
	limited.SetNotice(backendsim.Notice{Limit: fmt.Sprint(perSecond)})
	for node, g := range d.gateways {
		for i := 0; g.observer.notices.Get("limit") == nil; i++ {
			d.send(node, fmt.Sprint("any", node, " ", i))
		}
		_, limited := g.limits.limiter.Limit(g.registry.View().All()["d0"].Incarnation)
		is.True(limited) // told in an answer to a request of its own
	}
	told := len(limited.Arrivals())
	for i := range requests {
		status, _ := d.send(i%nodes, fmt.Sprint("part", i))
		is.Equal(status, http.StatusOK) // the other engines have free slots
	}
	most := maxInWindow(limited.Arrivals()[told:])
	t.Logf("%d requests in %v at the limited engine", most, limitWindow)
	is.True(float64(most) <= limitFactor*perSecond*limitWindow.Seconds()+limitExtra)
}
