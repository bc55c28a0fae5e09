package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/backends"
	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
)

// TestStatedSpeedsAreShared guards against nodes that learn the speed of a server only from
// answers to their own requests: one node among many gets few. The load: streams at the first of
// two nodes, one of two engines states that it is slow.
func TestStatedSpeedsAreShared(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 2, 2)
	d.engines[0].Server.SetSlowdownPercent(300)
	estimate := func(node int, id string) (slowdown float64, stated bool) {
		e := d.gateways[node].registry.View().All()[id].Capacity(time.Now())
		return e.Slowdown, e.StatesSpeed
	}
	for i := 0; ; i++ {
		d.send(0, fmt.Sprint("part", i))
		if _, stated := estimate(1, "d0"); stated {
			break
		}
	}
	slowdown, _ := estimate(1, "d0")
	is.True(slowdown > 2)
	_, stated := estimate(1, "d1")
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
