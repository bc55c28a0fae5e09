package authority

import (
	"context"
	"fmt"
	"testing"

	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

// BenchmarkDo measures an order whose send is a no-op, using the in-memory
// store: without other open intents, and with an open intent of another process
// on every target but one.
func BenchmarkDo(b *testing.B) {
	for _, targets := range []int{12, 94, 1500} {
		for _, blocked := range []bool{false, true} {
			b.Run(fmt.Sprintf("targets=%d/others=%v", targets, blocked), func(b *testing.B) { benchmarkDo(b, targets, blocked) })
		}
	}
}

func benchmarkDo(b *testing.B, targets int, blocked bool) {
	ctx := context.Background()
	s := memstore.New()
	if blocked {
		raw, err := recordWithIntents(targets-1, 20).encode()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := s.Put(ctx, journalPrefix+testDuty, raw, 0, store.NoLease); err != nil {
			b.Fatal(err)
		}
	}
	lease := NewLease(s, NewProcess("10.0.0.1:7000"), SystemClock{}, DefaultLeaseOptions())
	duty := lease.Duty(testDuty, func() bool { return true })
	journal := NewJournal(s, duty, nil, nil, DefaultJournalOptions())
	if err := lease.round(ctx); err != nil {
		b.Fatal(err)
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go lease.Run(runCtx)
	send := func(context.Context, uint64) error { return nil }
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		name := "engine-free"
		if !blocked {
			name = fmt.Sprintf("engine-%04d", i%targets)
			i++
		}
		if err := journal.Do(ctx, Target{Name: name, Generation: 1}, Order{Kind: "role", Detail: "prefill"}, send); err != nil {
			b.Fatal(err)
		}
	}
}
