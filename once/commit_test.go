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
	"github.com/figweir/figweir/store"
)

// storeWithPutFaults returns a store that applies the given faults to the
// successive writes of the head of range 0.
func storeWithPutFaults(puts ...memstore.Fault) *memstore.Store {
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
	response ClaimResponse
	err      error
}

// startClaim sends a claim in a new goroutine.
func startClaim(w *Writer, c ClaimRequest) <-chan claimResult {
	resultCh := make(chan claimResult, 1)
	go func() {
		ctx, cancel := testContext()
		defer cancel()
		a, err := w.Claim(ctx, c)
		resultCh <- claimResult{a, err}
	}()
	synctest.Wait()
	return resultCh
}

// TestAmbiguousWrite guards against a range that accepts requests while it is
// not known whether a write took effect, and against losing the claim in that
// write.
func TestAmbiguousWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		mem, writeFailed := memstore.New(), false
		mem.SetFault(func(op memstore.Op, key string) memstore.Fault {
			if op == memstore.OpPut && key == headKey(0) {
				writeFailed = true
				return memstore.Fault{LoseAnswer: true}
			}
			return memstore.Fault{Refuse: writeFailed}
		})
		w := startTestWriter(mem, testConfig(), &fakeIncarnations{})
		defer w.Close()
		pending := startClaim(w, newClaimRequest(1, "a"))
		for n := range 3 {
			is.Equal(mustClaim(is, w, newClaimRequest(n, "b")).State, Refused)
			is.True(errors.Is(w.Finish(t.Context(), newFinishRequest(newClaimRequest(n, "b"))), ErrNotRecorded))
		}
		is.Equal(len(pending), 0)
		mem.SetFault(nil)
		result := <-pending
		is.NoErr(result.err)
		is.Equal(result.response.State, Granted)
		is.Equal(mustClaim(is, w, newClaimRequest(1, "b")).State, InProgress)
	})
}

// TestRefusalAfterAmbiguousWrite guards against ErrNotRecorded or Refused for a
// claim that an ambiguous write has recorded, when a later write of the same
// batch is refused.
func TestRefusalAfterAmbiguousWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		resumeWrite := make(chan struct{})
		var mem *memstore.Store
		competingWrite := func() { // Another writer changes the head.
			entry, err := mem.Get(context.Background(), headKey(0))
			is.NoErr(err)
			head, err := decodeHead(entry.Value)
			is.NoErr(err)
			head.Sequence++
			value, err := proto.Marshal(head)
			is.NoErr(err)
			_, err = mem.Put(context.Background(), headKey(0), value, entry.Revision, store.NoLease)
			is.NoErr(err)
		}
		mem = storeWithPutFaults(
			memstore.Fault{}, // the claim of key 5
			memstore.Fault{Before: func() { <-resumeWrite }},
			memstore.Fault{LoseAnswer: true, After: competingWrite},
			memstore.Fault{}, // the write by competingWrite
			memstore.Fault{Refuse: true},
		)
		w := startTestWriter(mem, testConfig(), &fakeIncarnations{})
		defer w.Close()
		released := newClaimRequest(5, "a")
		is.Equal(mustClaim(is, w, released).State, Granted)
		first := startClaim(w, newClaimRequest(0, "a"))
		time.Sleep(time.Second)
		ambiguous := startClaim(w, newClaimRequest(1, "a"))
		go func() {
			_ = w.Finish(context.Background(), FinishRequest{Key: released.Key, Token: released.Token, Settlement: Released})
		}()
		synctest.Wait()
		second := startClaim(w, newClaimRequest(5, "b")) // needs a write once the release is recorded
		close(resumeWrite)
		is.Equal((<-first).response.State, Granted)
		is.True(errors.Is((<-ambiguous).err, ErrNoResponse))
		is.Equal((<-second).response.State, Refused)
		is.Equal(mustClaim(is, w, newClaimRequest(1, "b")).State, InProgress) // the ambiguous write recorded it
	})
}

// TestRepeatDuringOutage guards against a refusal, which means "not run", of a
// call that has run, when its repeat is in the same batch as a claim that can't
// be written.
func TestRepeatDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		mem := memstore.New()
		w := startTestWriter(mem, testConfig(), &fakeIncarnations{})
		defer w.Close()
		c := newClaimRequest(1, "a")
		is.Equal(mustClaim(is, w, c).State, Granted)
		is.NoErr(w.Finish(t.Context(), newFinishRequest(c)))
		mem.SetFault(func(memstore.Op, string) memstore.Fault { return memstore.Fault{Refuse: true} })
		newClaim, repeat := startClaim(w, newClaimRequest(2, "b")), startClaim(w, newClaimRequest(1, "b"))
		is.Equal((<-newClaim).response.State, Refused)
		is.Equal((<-repeat).response.State, Done)
	})
}

// TestWriteRateLimits guards against more store writes than the shared rate
// limit and the minimum commit interval of a range allow.
func TestWriteRateLimits(t *testing.T) {
	for _, limit := range []struct {
		interval                      time.Duration
		writesPerSecond               float64
		commitsAllowed, writesAllowed int
	}{
		// Limits for 10 s: commits per range and writes per process. The write
		// of the layout is not counted.
		{interval: 100 * time.Millisecond, writesPerSecond: 1e6, commitsAllowed: 101, writesAllowed: 1e6},
		{interval: time.Millisecond, writesPerSecond: 30, commitsAllowed: 1e6, writesAllowed: 300 + 3},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			mem, config := memstore.New(), testConfig()
			config.Ranges, config.MinCommitInterval = 2, limit.interval
			writeLimiter := NewWriteLimiter(limit.writesPerSecond)
			var writers []*Writer
			for r := range Range(2) {
				writers = append(writers, StartWriter(mem, r, config, writeLimiter, &fakeIncarnations{}))
			}
			for n := range 10000 {
				c := newClaimRequest(n, "a")
				c.Range = RangeOf(c.Key, 2)
				go func() {
					ctx, cancel := testContext()
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

// TestRepeatReads guards against one store read for each repeat of an open or
// finished call.
func TestRepeatReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		config := testConfig()
		config.MinCommitInterval, config.SealEntries = 100*time.Millisecond, 2 // one segment for each finished call
		w := startTestWriter(memstore.New(), config, &fakeIncarnations{})
		defer w.Close()
		is.Equal(mustClaim(is, w, newClaimRequest(1, "a")).State, Granted)
		var repeats []<-chan claimResult
		for range 1000 {
			repeats = append(repeats, startClaim(w, newClaimRequest(1, "b")))
			time.Sleep(time.Millisecond)
		}
		for _, r := range repeats {
			is.Equal((<-r).response.State, InProgress)
		}
		is.True(w.Stats().Reads <= 1+11) // the initial load, and one for each interval

		for n := range 100 {
			c := newClaimRequest(10+n, "a")
			is.Equal(mustClaim(is, w, c).State, Granted)
			is.NoErr(w.Finish(t.Context(), newFinishRequest(c)))
		}
		repeats = nil
		for n := range 95 {
			repeats = append(repeats, startClaim(w, newClaimRequest(10+n, "b")))
		}
		withOutcome := 0
		for _, r := range repeats {
			response := (<-r).response
			is.Equal(response.State, Done) // never Refused, because the call has run
			if response.Outcome != nil {
				withOutcome++
			}
		}
		is.True(w.Stats().SegmentReads <= 5+2*20) // the burst, and the reads that can be waited for within 2 s
		is.True(withOutcome >= 40)
	})
}
