package load

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/figweir/figweir/boottime"
)

// Run sends all requests of the scenario at their times and returns the result.
func Run(ctx context.Context, s *Scenario) (*Result, error) {
	return runArrivals(ctx, s, schedule(s), &counts{})
}

func runArrivals(ctx context.Context, s *Scenario, arrivals []arrival, c *counts) (*Result, error) {
	d := newDriver(s, uuid.NewString())
	defer d.http.CloseIdleConnections()
	samples := make([][]sample, len(arrivals))
	var wait sync.WaitGroup
	start := time.Now()
	for i, a := range arrivals {
		if err := sleepUntil(ctx, start.Add(a.at)); err != nil {
			break
		}
		c.sent.Add(1)
		wait.Go(func() {
			samples[i] = d.sendAll(ctx, a)
			c.finished.Add(1)
		})
	}
	wait.Wait()
	return summarize(s, samples, time.Since(start)), ctx.Err()
}

// sendAll sends a request, and at the same time its repeat through another
// node if the arrival has one.
func (d *driver) sendAll(ctx context.Context, a arrival) []sample {
	if !a.repeat {
		return []sample{d.send(ctx, a, a.node)}
	}
	out := make([]sample, 2)
	var wait sync.WaitGroup
	for i := range out {
		wait.Go(func() { out[i] = d.send(ctx, a, (a.node+i)%len(d.scenario.Nodes)) })
	}
	wait.Wait()
	return out
}

func sleepUntil(ctx context.Context, at time.Time) error {
	return boottime.Sleep(ctx, time.Until(at))
}
