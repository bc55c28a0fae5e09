package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Progress is a snapshot of the counters of a run.
type Progress struct {
	// Planned counts all arrivals of the run, Sent those that have been sent, and
	// Finished those that were answered or failed. An arrival that is sent twice
	// counts once.
	Planned, Sent, Finished int
	// Elapsed is the time since the start of the run.
	Elapsed time.Duration
}

// RunWithProgress is like Run and also calls report at the start, after every
// interval and at the end. Calls to report don't overlap.
func RunWithProgress(ctx context.Context, s *Scenario, interval time.Duration, report func(Progress)) (*Result, error) {
	var counters progressCounters
	stop := make(chan struct{})
	var wg sync.WaitGroup
	start := time.Now()
	snapshot := func() Progress {
		return Progress{Planned: int(counters.planned.Load()), Sent: int(counters.sent.Load()), Finished: int(counters.finished.Load()), Elapsed: time.Since(start)}
	}
	arrivals := schedule(s)
	counters.planned.Store(int64(len(arrivals)))
	report(snapshot())
	wg.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				report(snapshot())
			case <-stop:
				return
			}
		}
	})
	result, err := runArrivals(ctx, s, arrivals, &counters)
	close(stop)
	wg.Wait()
	report(snapshot())
	return result, err
}

// progressCounters are updated during a run.
type progressCounters struct{ planned, sent, finished atomic.Int64 }
