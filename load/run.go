package load

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/figweir/figweir/boottime"
)

// Run sends all requests of the scenario at their scheduled times and returns
// the result. If ctx ends early, it returns the result so far with ctx.Err().
func Run(ctx context.Context, s *Scenario) (*Result, error) {
	return runArrivals(ctx, s, schedule(s), &progressCounters{})
}

// runArrivals sends the arrivals at their times and waits for all responses. It stops
// sending when ctx ends.
func runArrivals(ctx context.Context, s *Scenario, arrivals []arrival, counters *progressCounters) (*Result, error) {
	d := newDriver(s, uuid.NewString())
	defer d.httpClient.CloseIdleConnections()
	samples := make([][]sample, len(arrivals))
	var wg sync.WaitGroup
	start := time.Now()
	for i, a := range arrivals {
		if err := sleepUntil(ctx, start.Add(a.offset)); err != nil {
			break
		}
		counters.sent.Add(1)
		wg.Go(func() {
			samples[i] = d.sendWithRepeat(ctx, a)
			counters.finished.Add(1)
		})
	}
	wg.Wait()
	return summarize(s, samples, time.Since(start)), ctx.Err()
}

// sendWithRepeat sends a request. If the arrival is sent twice, it sends the
// same request through another node at the same time.
func (d *driver) sendWithRepeat(ctx context.Context, a arrival) []sample {
	if !a.sendTwice {
		return []sample{d.send(ctx, a, a.node)}
	}
	samples := make([]sample, 2)
	var wg sync.WaitGroup
	for i := range samples {
		wg.Go(func() { samples[i] = d.send(ctx, a, (a.node+i)%len(d.scenario.Nodes)) })
	}
	wg.Wait()
	return samples
}

func sleepUntil(ctx context.Context, at time.Time) error {
	return boottime.Sleep(ctx, time.Until(at))
}
