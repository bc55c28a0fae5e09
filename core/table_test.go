package core

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a utilization of engines that follows the targets of routes of another
// service, of routes without streams, or of routes without a target.
func TestShortestTargets(t *testing.T) {
	is := is.New(t)
	route := func(host string, kind RouteKind, service string, latency, pause time.Duration) *Route {
		return &Route{Host: host, Kind: kind, TargetLatency: latency, TargetPause: pause, Targets: []WeightedService{{Service: service, Weight: 1}}}
	}
	table := NewTable(1, Limits{}, []*Route{
		route("a", Streaming, "s", 1500, 300), route("b", Streaming, "s", 400, 0), route("a", Streaming, "s", 0, 200),
		route("a", Safe, "s", 10, 10), route("a", Streaming, "other", 20, 20),
	}, nil, nil)
	latency, pause := table.ShortestTargets("s")
	is.Equal(latency, time.Duration(400))
	is.Equal(pause, time.Duration(200))
	latency, pause = table.ShortestTargets("none")
	is.Equal(latency+pause, time.Duration(0))
}
