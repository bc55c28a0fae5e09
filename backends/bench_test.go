package backends

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChooseService measures one choice among plain servers.
func BenchmarkChooseService(b *testing.B) {
	for _, servers := range []int{60, 300} {
		for _, speed := range []bool{false, true} {
			balancer, r := newBalancer(serviceServers(servers), nil)
			now := time.Now()
			for _, s := range r.View().All() {
				if speed {
					stateSpeed(s, now.Add(-time.Duration(s.Hash%5000)*time.Millisecond), 70+int(s.Hash%100))
				}
			}
			b.Run(fmt.Sprintf("servers=%d/speed=%v", servers, speed), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					c, err := balancer.Choose(now, &Criteria{Service: "s"})
					if err != nil {
						b.Fatal(err)
					}
					c.Done()
				}
			})
		}
	}
}

// BenchmarkChoose measures one choice among half prefill and half decode engines: for a new
// request and for one whose prompt has been processed. With speed=true the servers state theirs.
func BenchmarkChoose(b *testing.B) {
	for _, servers := range []int{60, 300} {
		for _, speed := range []bool{false, true} {
			balancer, r := newBalancer(engines(servers/2, servers/2), nil)
			now := time.Now()
			for _, s := range r.View().All() {
				if speed {
					age := time.Duration(s.Hash%5000) * time.Millisecond
					stateSpeed(s, now.Add(-age), 70+int(s.Hash%100))
				}
			}
			for _, prefilled := range []bool{false, true} {
				b.Run(fmt.Sprintf("servers=%d/speed=%v/prefilled=%v", servers, speed, prefilled), func(b *testing.B) {
					criteria := engineCriteria(prompt("k", 400, 6000))
					criteria.Prefilled, criteria.HandleDomain = prefilled, "near"
					b.ReportAllocs()
					for b.Loop() {
						c, err := balancer.Choose(now, criteria)
						if err != nil {
							b.Fatal(err)
						}
						c.Done()
					}
				})
			}
		}
	}
}
