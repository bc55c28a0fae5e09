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

var measureRuns = flag.Int("authority.runs", 8, "seeded runs of each kind in TestBlockedTimes")

// blockedRun is what one loss of a holder cost.
type blockedRun struct {
	takeOver time.Duration   // from the loss until a process could send again
	blocked  []time.Duration // from the loss until each blocked target was free
}

// TestBlockedTimes guards against targets that stay blocked for longer than the
// closing rules allow. With -authority.runs it measures how often and for how
// long targets are blocked, in virtual time.
func TestBlockedTimes(t *testing.T) {
	o := DefaultJournalOptions()
	slack := 8 * time.Second // rounds of the lease and of closing
	lease := DefaultLeaseOptions().LeaseTime
	kinds := []struct {
		name  string
		limit func(away time.Duration) time.Duration
		lose  func(w *world, p *proc, away time.Duration)
	}{
		{"killed, VM gone", func(time.Duration) time.Duration { return lease + 2*o.ListLag + o.ConnectionTimeout + slack },
			func(w *world, p *proc, _ time.Duration) { p.kill(); w.setLive(p.Address, false) }},
		{"killed, restarted", func(time.Duration) time.Duration { return lease + o.ConnectionTimeout + slack },
			func(w *world, p *proc, away time.Duration) { p.kill(); time.Sleep(away / 40); w.start(p.Address) }},
		{"paused, woken", func(away time.Duration) time.Duration { return max(away, lease) + o.ConnectionTimeout + slack },
			func(_ *world, p *proc, away time.Duration) { p.pause(); time.AfterFunc(away, p.resume) }},
		{"cut off from the store", func(away time.Duration) time.Duration { return max(away, lease) + o.ConnectionTimeout + slack },
			func(_ *world, p *proc, away time.Duration) {
				p.setCut(true)
				time.AfterFunc(away, func() { p.setCut(false) })
			}},
	}
	for _, kind := range kinds {
		var runs []blockedRun
		for seed := range *measureRuns {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(uint64(seed), 20261204))
				away := 12*time.Second + time.Duration(rng.Int64N(int64(108*time.Second)))
				run := measureLoss(rng, func(w *world, p *proc) { kind.lose(w, p, away) })
				for _, blocked := range run.blocked {
					if limit := kind.limit(away); blocked > limit {
						t.Errorf("%s, seed %d: blocked for %v, the rules allow %v", kind.name, seed, blocked, limit)
					}
				}
				runs = append(runs, run)
			})
		}
		t.Log(summarize(kind.name, runs))
	}
}

// measureLoss lets a holder send four orders a second to 94 targets, takes it
// away, and waits until a process holds the duty and no target is blocked.
func measureLoss(rng *rand.Rand, lose func(*world, *proc)) blockedRun {
	w := newWorld()
	defer w.stop()
	w.listLag = time.Duration(rng.Int64N(int64(w.journal.ListLag)))
	w.storeLatency = 4 * time.Millisecond
	var mu sync.Mutex
	sends := rand.New(rand.NewPCG(rng.Uint64(), 1))
	w.sendLatency = func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return 20*time.Millisecond + time.Duration(sends.Int64N(int64(180*time.Millisecond)))
	}
	for i := range 94 {
		w.addTarget(fmt.Sprintf("engine-%02d", i), false)
	}
	for i := range 3 {
		w.start(fmt.Sprintf("10.0.0.%d:7000", i))
		time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
	}
	holder := w.procs[0]
	for end := time.Now().Add(40*time.Second + time.Duration(rng.Int64N(int64(10*time.Second)))); time.Now().Before(end); {
		t := w.targets[rng.IntN(len(w.targets))]
		holder.do(t, t.Target)
		time.Sleep(min(250*time.Millisecond, time.Until(end)))
	}
	lost := time.Now()
	lose(w, holder)
	return w.awaitSuccessor(holder, lost)
}

func (w *world) awaitSuccessor(old *proc, lost time.Time) blockedRun {
	var run blockedRun
	open := make(map[string]bool)
	for {
		for _, p := range w.procs {
			if term, _ := p.duty.termNoGate(); p == old || p.dead || !p.believes() || !p.journal.taken(term) {
				continue
			}
			if run.takeOver == 0 {
				run.takeOver = time.Since(lost)
			}
			now := make(map[string]bool)
			for _, b := range p.journal.Blocked() {
				now[b.Intent.OrderID] = true
			}
			for id := range open {
				if !now[id] {
					run.blocked = append(run.blocked, time.Since(lost))
				}
			}
			if open = now; len(open) == 0 {
				return run
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (d *Duty) termNoGate() (uint64, bool) {
	d.lease.mu.Lock()
	defer d.lease.mu.Unlock()
	return d.term, d.held
}

func (p *proc) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

func summarize(name string, runs []blockedRun) string {
	var takeOver, blocked []time.Duration
	with := 0
	for _, r := range runs {
		takeOver = append(takeOver, r.takeOver)
		blocked = append(blocked, r.blocked...)
		if len(r.blocked) > 0 {
			with++
		}
	}
	return fmt.Sprintf("%s: %d runs; new holder after median %s, worst %s; %d runs with blocked targets, %d targets, free again after median %s, worst %s",
		name, len(runs), quantile(takeOver, 0.5), quantile(takeOver, 1), with, len(blocked), quantile(blocked, 0.5), quantile(blocked, 1))
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d[int(q*float64(len(d)-1))].Round(10 * time.Millisecond)
}

// TestStoreCost guards against store calls that grow with targets, orders in
// progress or candidates that are not meant to try.
func TestStoreCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.storeLatency = 4 * time.Millisecond
		p := w.start("10.0.0.1:7000")
		defer w.stop()
		time.Sleep(20 * time.Second)
		before := w.store.Calls()
		const idle = 300
		time.Sleep(idle * time.Second)
		after := w.store.Calls()
		reads, writes := after[memstore.OpGet]-before[memstore.OpGet], after[memstore.OpRenew]-before[memstore.OpRenew]
		t.Logf("idle holder of one duty: %.3f reads/s, %.3f writes/s", float64(reads)/idle, float64(writes)/idle)
		is.True(reads <= idle/10)
		is.True(writes <= idle/3+1)
		target := w.addTarget("engine", false)
		stats := p.journal.Stats()
		for range 100 {
			p.do(target, target.Target)
			time.Sleep(10 * time.Millisecond)
		}
		now := p.journal.Stats()
		t.Logf("100 orders: %d journal writes, %d journal reads", now.JournalWrites-stats.JournalWrites, now.JournalReads-stats.JournalReads)
		is.Equal(now.JournalWrites-stats.JournalWrites, int64(200))
		is.Equal(now.JournalReads-stats.JournalReads, int64(0))
		for i := range 94 {
			p.do(w.addTarget(fmt.Sprintf("engine-%d", i), false), Target{Name: fmt.Sprintf("engine-%d", i), Generation: 1})
		}
		time.Sleep(time.Second)
		shared := p.journal.Stats().JournalWrites - now.JournalWrites
		t.Logf("94 orders to 94 targets at once: %d journal writes", shared)
		is.True(shared < 20)
	})
}

// TestRecordSize guards against a journal record that the store refuses while
// every target of a duty has an open intent of the greatest size.
func TestRecordSize(t *testing.T) {
	is := is.New(t)
	raw, err := fullRecord(94, MaxOrderBytes-4).encode()
	is.NoErr(err)
	t.Logf("94 intents of the greatest size: %d bytes", len(raw))
	is.True(len(raw) < store.MaxValueBytes/5)
	raw, err = fullRecord(94, 100).encode()
	is.NoErr(err)
	t.Logf("94 intents with orders of 100 bytes: %d bytes", len(raw))
}

// fullRecord has an open intent of another process on each of n targets.
func fullRecord(n, detailBytes int) *record {
	other := NewProcess("10.0.0.2:7000")
	r := &record{Token: other.Incarnation, Epoch: 1, Holder: other}
	for i := range n {
		name := fmt.Sprintf("engine-%04d", i)
		if detailBytes > 200 {
			name += strings.Repeat("x", MaxTargetNameBytes-len(name))
		}
		r.add(Intent{
			OrderID: other.Incarnation, Target: Target{Name: name, Generation: 1 << 40}, Writer: other,
			Order: Order{Kind: "role", Detail: strings.Repeat("d", detailBytes)}, OpenedUnixMillis: time.Now().UnixMilli(),
		})
	}
	return r
}
