package once

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

// fakeIncarnations is an Incarnations whose result the tests set.
type fakeIncarnations struct {
	mu   sync.Mutex
	gone map[string]bool
}

func (f *fakeIncarnations) Gone(owner string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gone[owner]
}

func (f *fakeIncarnations) set(owner string, gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gone == nil {
		f.gone = make(map[string]bool)
	}
	f.gone[owner] = gone
}

func testConfig() Config {
	c := DefaultConfig()
	c.Ranges = 1
	c.MinCommitInterval = 10 * time.Millisecond
	return c
}

func startTestWriter(s store.Store, c Config, gone Incarnations) *Writer {
	return StartWriter(s, 0, c, NewWriteLimiter(1e6), gone)
}

func newClaimRequest(n int, owner string) ClaimRequest {
	return ClaimRequest{Key: NewKey("w", "s", fmt.Sprint(n)), BodyDigest: NewDigest([]byte("body")), Owner: owner, Token: NewToken()}
}

func newFinishRequest(c ClaimRequest) FinishRequest {
	o := NewOutcome(200, "text/plain", []byte("answer"))
	return FinishRequest{Key: c.Key, Token: c.Token, Settlement: Finished, Outcome: &o}
}

// testContext returns a context with the request timeout that the tests use.
func testContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 5*time.Second)
}

func mustClaim(is *is.I, w *Writer, c ClaimRequest) ClaimResponse {
	ctx, cancel := testContext()
	defer cancel()
	response, err := w.Claim(ctx, c)
	is.NoErr(err)
	return response
}

// TestClaimStates guards against a repeat that gets a response that doesn't
// match the state of its key.
func TestClaimStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gone := &fakeIncarnations{}
		w := startTestWriter(memstore.New(), testConfig(), gone)
		defer w.Close()
		first := newClaimRequest(1, "a")
		is.Equal(mustClaim(is, w, first).State, Granted)
		is.Equal(mustClaim(is, w, newClaimRequest(1, "b")).State, InProgress)
		gone.set("a", true)
		is.Equal(mustClaim(is, w, newClaimRequest(1, "b")).State, Unknown)
		other := newClaimRequest(1, "b")
		other.BodyDigest = NewDigest([]byte("other"))
		is.Equal(mustClaim(is, w, other).State, KeyReused)
		is.NoErr(w.Finish(t.Context(), newFinishRequest(first)))
		done := mustClaim(is, w, newClaimRequest(1, "b"))
		is.Equal(done.State, Done)
		is.Equal(string(done.Outcome.Body), "answer")

		second := newClaimRequest(2, "a")
		is.Equal(mustClaim(is, w, second).State, Granted)
		is.NoErr(w.Finish(t.Context(), FinishRequest{Key: second.Key, Token: second.Token, Settlement: Released}))
		is.Equal(mustClaim(is, w, second).State, Refused) // the token was released
		third := newClaimRequest(2, "b")
		is.Equal(mustClaim(is, w, third).State, Granted)
		is.NoErr(w.Finish(t.Context(), FinishRequest{Key: third.Key, Token: third.Token, Settlement: Lost}))
		is.Equal(mustClaim(is, w, newClaimRequest(2, "b")).State, Unknown)
		is.True(errors.Is(w.Finish(t.Context(), newFinishRequest(second)), ErrNotClaimed))
	})
}

// TestReleaseBeforeClaim guards against a claim that arrives after its release
// and then stays open forever.
func TestReleaseBeforeClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := startTestWriter(memstore.New(), testConfig(), &fakeIncarnations{})
		defer w.Close()
		delayed := newClaimRequest(1, "a")
		is.NoErr(w.Finish(t.Context(), FinishRequest{Key: delayed.Key, Token: delayed.Token, Settlement: Released}))
		is.Equal(mustClaim(is, w, delayed).State, Refused)
		is.Equal(mustClaim(is, w, newClaimRequest(1, "a")).State, Granted)
	})
}

// TestSealAndReload guards against a claim that is lost when a head is sealed
// or when another writer loads the range.
func TestSealAndReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		mem, config := memstore.New(), testConfig()
		config.SealEntries = 8
		w := startTestWriter(mem, config, &fakeIncarnations{})
		defer w.Close()
		for n := range 50 {
			c := newClaimRequest(n, "a")
			is.Equal(mustClaim(is, w, c).State, Granted)
			if n%2 == 0 {
				is.NoErr(w.Finish(t.Context(), newFinishRequest(c)))
			}
		}
		successor := startTestWriter(mem, config, &fakeIncarnations{})
		defer successor.Close()
		for n := range 50 {
			want := []State{Done, InProgress}[n%2]
			is.Equal(mustClaim(is, successor, newClaimRequest(n, "b")).State, want)
			is.Equal(mustClaim(is, w, newClaimRequest(n, "b")).State, want)
		}
		is.Equal(mustClaim(is, successor, newClaimRequest(50, "b")).State, Granted)
		is.Equal(mustClaim(is, w, newClaimRequest(50, "a")).State, InProgress) // the index of w was outdated
		is.True(w.Stats().Sealed >= 8)
	})
}

// TestRetention guards against a claim that is dropped before the retention
// time, also if no writer ran for part of it, and against segments that are
// never deleted.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		mem, config := memstore.New(), testConfig()
		config.SealEntries = 4
		config.Retention = time.Hour
		w := startTestWriter(mem, config, &fakeIncarnations{})
		for n := range 12 {
			is.Equal(mustClaim(is, w, newClaimRequest(n, "a")).State, Granted)
		}
		w.Close()
		time.Sleep(3 * time.Hour) // not counted, because no writer is running
		w = startTestWriter(mem, config, &fakeIncarnations{})
		defer w.Close()
		is.Equal(mustClaim(is, w, newClaimRequest(100, "a")).State, Granted)
		is.Equal(mustClaim(is, w, newClaimRequest(0, "a")).State, InProgress)
		time.Sleep(30 * time.Minute)
		for n := 30; n < 60; n++ {
			is.Equal(mustClaim(is, w, newClaimRequest(n, "a")).State, Granted)
		}
		time.Sleep(29 * time.Minute)
		is.Equal(mustClaim(is, w, newClaimRequest(101, "a")).State, Granted)
		is.Equal(mustClaim(is, w, newClaimRequest(0, "a")).State, InProgress)
		time.Sleep(2 * time.Minute)
		is.Equal(mustClaim(is, w, newClaimRequest(102, "a")).State, Granted)
		is.Equal(mustClaim(is, w, newClaimRequest(0, "a")).State, Granted) // its segment was dropped
		is.Equal(mustClaim(is, w, newClaimRequest(40, "a")).State, InProgress)
		time.Sleep(time.Second)
		is.True(w.Stats().Deleted >= 2)
		_, err := mem.Get(t.Context(), segmentKey(0, 4))
		is.True(errors.Is(err, store.ErrNotFound))
	})
}

// TestRangeCountMismatch guards against two processes that use different
// numbers of ranges, so that a key belongs to two ranges and could be claimed
// twice. It also guards against a range that refuses requests without logging
// it, or logs every request.
func TestRangeCountMismatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		mem, config := memstore.New(), testConfig()
		w := startTestWriter(mem, config, &fakeIncarnations{})
		defer w.Close()
		is.Equal(mustClaim(is, w, newClaimRequest(1, "a")).State, Granted)
		config.Ranges = 2
		c := newClaimRequest(1, "a")
		c.Range = RangeOf(c.Key, 2)
		var lines []string
		config.Log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
		other := StartWriter(mem, c.Range, config, NewWriteLimiter(1e6), &fakeIncarnations{})
		for range 3 {
			is.Equal(mustClaim(is, other, c).State, Refused)
		}
		other.Close()
		is.Equal(len(lines), 1)
		is.True(strings.Contains(lines[0], ErrLayout.Error()))
	})
}

// TestDamagedRecords guards against granting a claim because a damaged or
// missing record is read as an empty one.
func TestDamagedRecords(t *testing.T) {
	corruptions := map[string]func(context.Context, store.Store, store.Entry) error{
		"truncated": func(ctx context.Context, s store.Store, e store.Entry) error {
			_, err := s.Put(ctx, e.Key, e.Value[:len(e.Value)-3], e.Revision, store.NoLease)
			return err
		},
		"empty": func(ctx context.Context, s store.Store, e store.Entry) error {
			_, err := s.Put(ctx, e.Key, nil, e.Revision, store.NoLease)
			return err
		},
		"deleted": func(ctx context.Context, s store.Store, e store.Entry) error { return s.Delete(ctx, e.Key, e.Revision) },
	}
	for _, key := range []string{headKey(0), segmentKey(0, 4)} {
		for name, corrupt := range corruptions {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				mem, config := memstore.New(), testConfig()
				config.SealEntries = 4
				w := startTestWriter(mem, config, &fakeIncarnations{})
				defer w.Close()
				for n := range 6 {
					is.Equal(mustClaim(is, w, newClaimRequest(n, "a")).State, Granted)
				}
				entry, err := mem.Get(t.Context(), key)
				is.NoErr(err)
				is.NoErr(corrupt(t.Context(), mem, entry))
				if key != headKey(0) { // a running writer doesn't read segments again
					w.Close()
					w = startTestWriter(mem, config, &fakeIncarnations{})
					defer w.Close()
				}
				t.Log(key, name)
				is.Equal(mustClaim(is, w, newClaimRequest(0, "b")).State, Refused)
				is.Equal(mustClaim(is, w, newClaimRequest(7, "b")).State, Refused)
			})
		}
	}
}

// TestGroupCommit guards against one store write for each claim.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := startTestWriter(memstore.New(), testConfig(), &fakeIncarnations{})
		defer w.Close()
		is.Equal(mustClaim(is, w, newClaimRequest(1000, "a")).State, Granted)
		var wait sync.WaitGroup
		for n := range 100 {
			wait.Go(func() { mustClaim(is, w, newClaimRequest(n, "a")) })
		}
		wait.Wait()
		is.True(w.Stats().Commits <= 3)
		is.Equal(w.Stats().Entries, int64(101))
	})
}

// TestLargeOutcomes guards against heads or segments close to the store's
// maximum value size when all outcomes have the maximum size.
func TestLargeOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		mem := memstore.New()
		w := startTestWriter(mem, testConfig(), &fakeIncarnations{})
		defer w.Close()
		var wait sync.WaitGroup
		for n := range 600 {
			wait.Go(func() {
				c := newClaimRequest(n, "a")
				is.Equal(mustClaim(is, w, c).State, Granted)
				o := NewOutcome(200, "text/plain", make([]byte, MaxOutcomeBodyBytes))
				is.NoErr(w.Finish(t.Context(), FinishRequest{Key: c.Key, Token: c.Token, Settlement: Finished, Outcome: &o}))
			})
		}
		wait.Wait()
		entries, _, err := mem.List(t.Context(), "once/")
		is.NoErr(err)
		for _, e := range entries {
			is.True(len(e.Value) <= 3*store.MaxValueBytes/5)
		}
		is.True(len(entries) >= 4)
	})
}
