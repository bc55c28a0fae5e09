package authority

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

var blockedRuns = flag.Int("authority.runs", 8, "seeded runs of each kind in TestBlockedTimes")

// lossResult holds the times measured after the loss of one holder.
type lossResult struct {
	takeOverAfter  time.Duration   // from the loss until another process may send
	unblockedAfter []time.Duration // from the loss until each blocked target is free
}

// Guards against targets that stay blocked longer than the closing rules allow.
// With -authority.runs it measures, in virtual time, how often and how long
// targets are blocked.
func TestBlockedTimes(t *testing.T) {
	o := DefaultJournalOptions()
	slack := 8 * time.Second // intervals of lease renewal and sweeps
	lease := DefaultLeaseOptions().LeaseTime
	kinds := []struct {
		name  string
		limit func(outage time.Duration) time.Duration
		lose  func(sim *simulation, p *proc, outage time.Duration)
	}{
		{"killed, VM gone", func(time.Duration) time.Duration { return lease + 2*o.VMListLag + o.ConnectionTimeout + slack },
			func(sim *simulation, p *proc, _ time.Duration) { p.kill(); sim.setVM(p.Address, false) }},
		{"killed, restarted", func(time.Duration) time.Duration { return lease + o.ConnectionTimeout + slack },
			func(sim *simulation, p *proc, d time.Duration) { p.kill(); time.Sleep(d / 40); sim.start(p.Address) }},
		{"paused, resumed", func(outage time.Duration) time.Duration { return max(outage, lease) + o.ConnectionTimeout + slack },
			func(_ *simulation, p *proc, outage time.Duration) { p.pause(); time.AfterFunc(outage, p.resume) }},
		{"cut off from the store", func(outage time.Duration) time.Duration { return max(outage, lease) + o.ConnectionTimeout + slack },
			func(_ *simulation, p *proc, outage time.Duration) {
				p.setStoreCut(true)
				time.AfterFunc(outage, func() { p.setStoreCut(false) })
			}},
	}
	for _, kind := range kinds {
		var runs []lossResult
		for seed := range *blockedRuns {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(uint64(seed), 20261204))
				outage := 12*time.Second + time.Duration(rng.Int64N(int64(108*time.Second)))
				run := measureHolderLoss(rng, func(sim *simulation, p *proc) { kind.lose(sim, p, outage) })
				for _, blocked := range run.unblockedAfter {
					if limit := kind.limit(outage); blocked > limit {
						t.Errorf("%s, seed %d: blocked for %v, the closing rules allow %v", kind.name, seed, blocked, limit)
					}
				}
				runs = append(runs, run)
			})
		}
		t.Log(summarize(kind.name, runs))
	}
}

// measureHolderLoss runs a holder that sends four orders per second to 94
// targets, disrupts it with lose, and waits until another process holds the
// duty and no target is blocked.
func measureHolderLoss(rng *rand.Rand, lose func(*simulation, *proc)) lossResult {
	sim := newSimulation()
	defer sim.stop()
	sim.listLag = time.Duration(rng.Int64N(int64(sim.journalOptions.VMListLag)))
	sim.storeLatency = 4 * time.Millisecond
	var mu sync.Mutex
	sends := rand.New(rand.NewPCG(rng.Uint64(), 1))
	sim.sendLatency = func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return 20*time.Millisecond + time.Duration(sends.Int64N(int64(180*time.Millisecond)))
	}
	for i := range 94 {
		sim.addTarget(fmt.Sprintf("engine-%02d", i), false)
	}
	for i := range 3 {
		sim.start(fmt.Sprintf("10.0.0.%d:7000", i))
		time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
	}
	holder := sim.procs[0]
	for end := time.Now().Add(40*time.Second + time.Duration(rng.Int64N(int64(10*time.Second)))); time.Now().Before(end); {
		t := sim.targets[rng.IntN(len(sim.targets))]
		holder.do(t, t.Target)
		time.Sleep(min(250*time.Millisecond, time.Until(end)))
	}
	lostAt := time.Now()
	lose(sim, holder)
	return sim.awaitSuccessor(holder, lostAt)
}

func (sim *simulation) awaitSuccessor(old *proc, lostAt time.Time) lossResult {
	var run lossResult
	previouslyBlocked := make(map[string]bool)
	for {
		for _, p := range sim.procs {
			if term, _ := p.duty.termUnpaused(); p == old || p.ended || !p.mayAct() || !p.journal.hasTakenOver(term) {
				continue
			}
			if run.takeOverAfter == 0 {
				run.takeOverAfter = time.Since(lostAt)
			}
			blocked := make(map[string]bool)
			for _, b := range p.journal.Blocked() {
				blocked[b.Intent.OrderID] = true
			}
			for id := range previouslyBlocked {
				if !blocked[id] {
					run.unblockedAfter = append(run.unblockedAfter, time.Since(lostAt))
				}
			}
			if previouslyBlocked = blocked; len(previouslyBlocked) == 0 {
				return run
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (d *Duty) termUnpaused() (uint64, bool) {
	d.lease.mu.Lock()
	defer d.lease.mu.Unlock()
	return d.term, d.held
}

func (p *proc) setStoreCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeCut = cut
}

func summarize(name string, runs []lossResult) string {
	var takeOver, blocked []time.Duration
	runsWithBlocked := 0
	for _, r := range runs {
		takeOver = append(takeOver, r.takeOverAfter)
		blocked = append(blocked, r.unblockedAfter...)
		if len(r.unblockedAfter) > 0 {
			runsWithBlocked++
		}
	}
	return fmt.Sprintf("%s: %d runs; new holder after median %s, max %s; %d runs with blocked targets, %d targets, unblocked after median %s, max %s",
		name, len(runs), quantile(takeOver, 0.5), quantile(takeOver, 1), runsWithBlocked, len(blocked), quantile(blocked, 0.5), quantile(blocked, 1))
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d[int(q*float64(len(d)-1))].Round(10 * time.Millisecond)
}

// Guards against a number of store calls that grows with the targets, the
// orders in progress or the processes that are not candidates.
func TestStoreCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation()
		sim.storeLatency = 4 * time.Millisecond
		p := sim.start("10.0.0.1:7000")
		defer sim.stop()
		time.Sleep(20 * time.Second)
		before := sim.store.Calls()
		const idle = 300
		time.Sleep(idle * time.Second)
		after := sim.store.Calls()
		reads, writes := after[memstore.OpGet]-before[memstore.OpGet], after[memstore.OpRenew]-before[memstore.OpRenew]
		t.Logf("idle holder of one duty: %.3f reads/s, %.3f writes/s", float64(reads)/idle, float64(writes)/idle)
		is.True(reads <= idle/10)
		is.True(writes <= idle/3+1)
		target := sim.addTarget("engine", false)
		stats := p.journal.Stats()
		for range 100 {
			p.do(target, target.Target)
			time.Sleep(10 * time.Millisecond)
		}
		after100 := p.journal.Stats()
		t.Logf("100 orders: %d journal writes, %d journal reads", after100.JournalWrites-stats.JournalWrites, after100.JournalReads-stats.JournalReads)
		is.Equal(after100.JournalWrites-stats.JournalWrites, int64(200))
		is.Equal(after100.JournalReads-stats.JournalReads, int64(0))
		for i := range 94 {
			p.do(sim.addTarget(fmt.Sprintf("engine-%d", i), false), Target{Name: fmt.Sprintf("engine-%d", i), Generation: 1})
		}
		time.Sleep(time.Second)
		shared := p.journal.Stats().JournalWrites - after100.JournalWrites
		t.Logf("94 orders to 94 targets at once: %d journal writes", shared)
		is.True(shared < 20)
	})
}

// Guards against a journal record that exceeds the size limit of the store when
// every target of a duty has an open intent of maximum size.
func TestRecordSize(t *testing.T) {
	is := is.New(t)
	raw, err := recordWithIntents(94, MaxOrderBytes-4).encode()
	is.NoErr(err)
	t.Logf("94 intents of maximum size: %d bytes", len(raw))
	is.True(len(raw) < store.MaxValueBytes/5)
	raw, err = recordWithIntents(94, 100).encode()
	is.NoErr(err)
	t.Logf("94 intents with orders of 100 bytes: %d bytes", len(raw))
}

// recordWithIntents returns a record with an open intent of another process on
// each of n targets.
func recordWithIntents(n, detailBytes int) *record {
	other := NewProcess("10.0.0.2:7000")
	r := &record{WriteID: other.Incarnation, Epoch: 1, Holder: other}
	for i := range n {
		name := fmt.Sprintf("engine-%04d", i)
		if detailBytes > 200 {
			name += strings.Repeat("x", MaxTargetNameBytes-len(name))
		}
		r.add(Intent{
			OrderID: other.Incarnation, Target: Target{Name: name, Generation: 1 << 40}, Writer: other,
			Order: Order{Kind: "role", Detail: strings.Repeat("d", detailBytes)}, OpenedUnixMillis: time.Now().UnixMilli(),
		}, 0)
	}
	return r
}
