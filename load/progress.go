package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Progress is how far a run has come.
type Progress struct {
	// Planned counts the arrivals of the whole run; Sent and Finished those that
	// were sent and those that were answered or failed. An arrival and its
	// repeat count once.
	Planned, Sent, Finished int
	Elapsed                 time.Duration
}

// RunWithProgress does the same as Run and also calls report at the start, at
// every interval and at the end. Calls of report don't overlap.
func RunWithProgress(ctx context.Context, s *Scenario, interval time.Duration, report func(Progress)) (*Result, error) {
	var c counts
	stop := make(chan struct{})
	var wait sync.WaitGroup
	start := time.Now()
	snapshot := func() Progress {
		return Progress{Planned: int(c.planned.Load()), Sent: int(c.sent.Load()), Finished: int(c.finished.Load()), Elapsed: time.Since(start)}
	}
	arrivals := schedule(s)
	c.planned.Store(int64(len(arrivals)))
	report(snapshot())
	wait.Go(func() {
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
	result, err := runArrivals(ctx, s, arrivals, &c)
	close(stop)
	wait.Wait()
	report(snapshot())
	return result, err
}

// counts are updated while a run goes on.
type counts struct{ planned, sent, finished atomic.Int64 }
