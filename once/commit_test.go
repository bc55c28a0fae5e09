package once

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/figweir/figweir/standin/memstore"
)

// scripted returns a store whose writes misbehave in the given order.
func scripted(puts ...memstore.Fault) *memstore.Store {
	mem := memstore.New()
	mem.SetFault(func(op memstore.Op, key string) memstore.Fault {
		if op != memstore.OpPut || key != headKey(0) || len(puts) == 0 {
			return memstore.Fault{}
		}
		f := puts[0]
		puts = puts[1:]
		return f
	})
	return mem
}

type claimResult struct {
	answer Answer
	err    error
}

// start sends a claim in the background.
func start(w *Writer, c ClaimRequest) <-chan claimResult {
	got := make(chan claimResult, 1)
	go func() {
		ctx, cancel := timed()
		defer cancel()
		a, err := w.Claim(ctx, c)
		got <- claimResult{a, err}
	}()
	synctest.Wait()
	return got
}

// TestUndecided guards against a range that accepts requests while it is not
// known whether a write took effect, and against a claim that is lost then.
func TestUndecided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		mem, outage := memstore.New(), false
		mem.SetFault(func(op memstore.Op, key string) memstore.Fault {
			if op == memstore.OpPut && key == headKey(0) {
				outage = true
				return memstore.Fault{LoseAnswer: true}
			}
			return memstore.Fault{Refuse: outage}
		})
		w := startTest(mem, testConfig(), &goneSet{})
		defer w.Close()
		pending := start(w, claimOf(1, "a"))
		for n := range 3 {
			is.Equal(mustClaim(is, w, claimOf(n, "b")).State, Refused)
			is.True(errors.Is(w.Finish(t.Context(), finishOf(claimOf(n, "b"))), ErrNotRecorded))
		}
		is.Equal(len(pending), 0)
		mem.SetFault(nil)
		got := <-pending
		is.NoErr(got.err)
		is.Equal(got.answer.State, Granted)
		is.Equal(mustClaim(is, w, claimOf(1, "b")).State, InProgress)
	})
}

// TestRefusalAfterDoubt guards against "not recorded" for a claim that an
// ambiguous write has recorded, when a later write of the same batch is refused.
func TestRefusalAfterDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hold := make(chan struct{})
		var mem *memstore.Store
		overtake := func() { // Another writer adds to the head.
			entry, err := mem.Get(context.Background(), headKey(0))
			is.NoErr(err)
			head, err := decodeHead(entry.Value)
			is.NoErr(err)
			head.Sequence++
			value, err := proto.Marshal(head)
			is.NoErr(err)
			_, err = mem.Put(context.Background(), headKey(0), value, entry.Revision, 0)
			is.NoErr(err)
		}
		mem = scripted(
			memstore.Fault{}, // the claim of key 5
			memstore.Fault{Before: func() { <-hold }},
			memstore.Fault{LoseAnswer: true, After: overtake},
			memstore.Fault{}, // by overtake
			memstore.Fault{Refuse: true},
		)
		w := startTest(mem, testConfig(), &goneSet{})
		defer w.Close()
		held := claimOf(5, "a")
		is.Equal(mustClaim(is, w, held).State, Granted)
		first := start(w, claimOf(0, "a"))
		time.Sleep(time.Second)
		doubtful := start(w, claimOf(1, "a"))
		go func() {
			_ = w.Finish(context.Background(), FinishRequest{Key: held.Key, Token: held.Token, Settlement: Released})
		}()
		synctest.Wait()
		second := start(w, claimOf(5, "b")) // needs a write once the release is recorded
		close(hold)
		is.Equal((<-first).answer.State, Granted)
		is.True(errors.Is((<-doubtful).err, ErrNoAnswer))
		is.Equal((<-second).answer.State, Refused)
		is.Equal(mustClaim(is, w, claimOf(1, "b")).State, InProgress) // it was recorded
	})
}

// TestFinishedInOutage guards against "not run" for a call that is known to have
// run, when its repeat shares a batch with a claim that can't be written.
func TestFinishedInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		mem := memstore.New()
		w := startTest(mem, testConfig(), &goneSet{})
		defer w.Close()
		c := claimOf(1, "a")
		is.Equal(mustClaim(is, w, c).State, Granted)
		is.NoErr(w.Finish(t.Context(), finishOf(c)))
		mem.SetFault(func(memstore.Op, string) memstore.Fault { return memstore.Fault{Refuse: true} })
		fresh, repeat := start(w, claimOf(2, "b")), start(w, claimOf(1, "b"))
		is.Equal((<-fresh).answer.State, Refused)
		is.Equal((<-repeat).answer.State, Done)
	})
}

// TestPace guards against more store writes than the shared budget and the least
// time between two commits of a range allow.
func TestPace(t *testing.T) {
	for _, limit := range []struct {
		interval                      time.Duration
		budget                        float64
		commitsAllowed, writesAllowed int
	}{
		// In 10 s, of each range and of the process; the layout is not counted.
		{interval: 100 * time.Millisecond, budget: 1e6, commitsAllowed: 101, writesAllowed: 1e6},
		{interval: time.Millisecond, budget: 30, commitsAllowed: 1e6, writesAllowed: 300 + 3},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			mem, config := memstore.New(), testConfig()
			config.Ranges, config.MinCommitInterval = 2, limit.interval
			budget := NewBudget(limit.budget)
			var writers []*Writer
			for r := range Range(2) {
				writers = append(writers, StartWriter(mem, r, config, budget, &goneSet{}))
			}
			for n := range 10000 {
				c := claimOf(n, "a")
				c.Range = RangeOf(c.Key, 2)
				go func() {
					ctx, cancel := timed()
					defer cancel()
					_, _ = writers[c.Range].Claim(ctx, c)
				}()
				time.Sleep(time.Millisecond)
			}
			is.True(mem.Calls()[memstore.OpPut] <= limit.writesAllowed+2)
			for _, w := range writers {
				is.True(w.Stats().Commits > 50 && int(w.Stats().Commits) <= limit.commitsAllowed)
				w.Close()
			}
			time.Sleep(time.Minute)
		})
	}
}

// TestRepeatReads guards against a read of the store for each repeat of an open
// or a finished call.
func TestRepeatReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		config := testConfig()
		config.MinCommitInterval, config.SealEntries = 100*time.Millisecond, 2 // one segment for each finished call
		w := startTest(memstore.New(), config, &goneSet{})
		defer w.Close()
		is.Equal(mustClaim(is, w, claimOf(1, "a")).State, Granted)
		var repeats []<-chan claimResult
		for range 1000 {
			repeats = append(repeats, start(w, claimOf(1, "b")))
			time.Sleep(time.Millisecond)
		}
		for _, r := range repeats {
			is.Equal((<-r).answer.State, InProgress)
		}
		is.True(w.Stats().Reads <= 1+11) // the load, and one for each interval

		for n := range 100 {
			c := claimOf(10+n, "a")
			is.Equal(mustClaim(is, w, c).State, Granted)
			is.NoErr(w.Finish(t.Context(), finishOf(c)))
		}
		repeats = nil
		for n := range 95 {
			repeats = append(repeats, start(w, claimOf(10+n, "b")))
		}
		whole := 0
		for _, r := range repeats {
			answer := (<-r).answer
			is.Equal(answer.State, Done) // never "not run" for a call that ran
			if answer.Outcome != nil {
				whole++
			}
		}
		is.True(w.Stats().SegmentReads <= 5+2*20) // what may wait for 2 s
		is.True(whole >= 40)
	})
}
