package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"

	"github.com/figweir/figweir/once"
	"github.com/figweir/figweir/standin/memstore"
)

// rateCommand sends claims at fixed rates, each followed by its outcome, to the
// writers of all ranges in one process.
type rateCommand struct {
	Claims   []int         `default:"20,50,100,200,500,1000,2000,4000" help:"Claims a second."`
	Ranges   uint32        `default:"16" help:"Hash ranges."`
	Interval time.Duration `default:"62500us" help:"Least time between two commits of a range."`
	Budget   float64       `default:"280" help:"Store writes a second that the writers share."`
	Timeout  time.Duration `default:"500ms" help:"Time after which a claim is refused."`
	Single   bool          `help:"One write for each claim and each outcome."`
	Own      int           `help:"Give each range a budget of its own, as if each were on another node, that allows this many writes at once."`
	For      time.Duration `default:"8s" help:"Duration at each rate."`
}

// allAlive implements once.Incarnations: no process is ever gone.
type allAlive struct{}

func (allAlive) Gone(string) bool { return false }

// Run prints one table row for each rate.
func (c *rateCommand) Run(o *options) error {
	fmt.Println("| claims/s asked | granted/s | refused | p50 ms | p99 ms | outcome p50 ms | outcome p99 ms | store writes/s | store reads/s | KB a write |")
	fmt.Println("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, perSecond := range c.Claims {
		c.measure(o, perSecond)
	}
	return nil
}

// latencies is a histogram in microseconds. It is safe for concurrent use.
type latencies struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{h: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func (l *latencies) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(max(1, d.Microseconds()))
}

func (l *latencies) milliseconds(quantile float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.h.ValueAtQuantile(quantile)) / 1000
}

func (c *rateCommand) measure(o *options, perSecond int) {
	slow := newSlowStore(memstore.New(), o)
	config := once.DefaultConfig()
	config.Ranges, config.MinCommitInterval = c.Ranges, c.Interval
	if c.Single {
		config.BatchEntries, config.MinCommitInterval = 1, 0
	}
	writeLimiter := once.NewWriteLimiter(c.Budget)
	writers := once.NewWriters(c.Ranges, func(r once.Range) *once.Writer {
		if c.Own > 0 {
			writeLimiter = rate.NewLimiter(rate.Limit(c.Budget/float64(c.Ranges)), c.Own)
		}
		return once.StartWriter(slow, r, config, writeLimiter, allAlive{})
	})
	claimerConfig := once.DefaultClaimerConfig()
	claimerConfig.Ranges, claimerConfig.RequestTimeout = c.Ranges, c.Timeout
	claimer := once.NewClaimer("measure", claimerConfig, writers.Handle)

	claims, outcomes := newLatencies(), newLatencies()
	var granted, refused atomic.Int64
	claimAndFinish := func(n int, intended time.Time) {
		key := once.NewKey("workspace", "service", fmt.Sprint(n))
		d := claimer.Claim(context.Background(), once.Call{Key: key})
		if d.State != once.Granted {
			refused.Add(1)
			return
		}
		granted.Add(1)
		claims.record(time.Since(intended))
		start := time.Now()
		outcome := once.NewOutcome(200, "application/json", make([]byte, 100))
		if claimer.Finish(context.Background(), d.Claim, &outcome) == nil {
			outcomes.record(time.Since(start))
		}
	}
	var wait sync.WaitGroup
	// These warm-up requests load the ranges before the measurement starts.
	for n := range int(4 * c.Ranges) {
		wait.Go(func() { claimAndFinish(-1-n, time.Now()) })
	}
	wait.Wait()
	claims, outcomes = newLatencies(), newLatencies()
	granted.Store(0)
	refused.Store(0)
	writes, reads, bytes := slow.writeCalls.Load(), slow.readCalls.Load(), slow.writtenBytes.Load()
	begin := time.Now()
	for n, total := 0, int(c.For.Seconds()*float64(perSecond)); n < total; n++ {
		intended := begin.Add(time.Duration(float64(n) / float64(perSecond) * float64(time.Second)))
		time.Sleep(time.Until(intended))
		wait.Go(func() { claimAndFinish(n, intended) })
	}
	seconds := time.Since(begin).Seconds()
	writes, reads, bytes = slow.writeCalls.Load()-writes, slow.readCalls.Load()-reads, slow.writtenBytes.Load()-bytes
	wait.Wait()
	fmt.Printf("| %d | %.0f | %d | %.1f | %.1f | %.1f | %.1f | %.0f | %.0f | %.1f |\n",
		perSecond, float64(granted.Load())/seconds, refused.Load(), claims.milliseconds(50), claims.milliseconds(99),
		outcomes.milliseconds(50), outcomes.milliseconds(99), float64(writes)/seconds, float64(reads)/seconds,
		float64(bytes)/1024/float64(max(1, writes)))
	claimer.Close()
	writers.Close()
}
