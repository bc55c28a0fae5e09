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

// goneSet is a fixed answer to which incarnations are gone.
type goneSet struct {
	mu   sync.Mutex
	gone map[string]bool
}

func (g *goneSet) Gone(owner string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gone[owner]
}

func (g *goneSet) set(owner string, gone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gone == nil {
		g.gone = make(map[string]bool)
	}
	g.gone[owner] = gone
}

func testConfig() Config {
	c := DefaultConfig()
	c.Ranges = 1
	c.MinCommitInterval = 10 * time.Millisecond
	return c
}

func startTest(s store.Store, c Config, gone Incarnations) *Writer {
	return StartWriter(s, 0, c, NewBudget(1e6), gone)
}

func claimOf(n int, owner string) ClaimRequest {
	return ClaimRequest{Key: NewKey("w", "s", fmt.Sprint(n)), BodyDigest: NewDigest([]byte("body")), Owner: owner, Token: NewToken()}
}

func finishOf(c ClaimRequest) FinishRequest {
	o := NewOutcome(200, "text/plain", []byte("answer"))
	return FinishRequest{Key: c.Key, Token: c.Token, Settlement: Finished, Outcome: &o}
}

// timed returns a context with the claim time-out that the tests use.
func timed() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 5*time.Second)
}

func mustClaim(is *is.I, w *Writer, c ClaimRequest) Answer {
	ctx, cancel := timed()
	defer cancel()
	answer, err := w.Claim(ctx, c)
	is.NoErr(err)
	return answer
}

// TestStates guards against a repeat that gets another answer than the state of
// its key calls for.
func TestStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gone := &goneSet{}
		w := startTest(memstore.New(), testConfig(), gone)
		defer w.Close()
		first := claimOf(1, "a")
		is.Equal(mustClaim(is, w, first).State, Granted)
		is.Equal(mustClaim(is, w, claimOf(1, "b")).State, InProgress)
		gone.set("a", true)
		is.Equal(mustClaim(is, w, claimOf(1, "b")).State, Unknown)
		other := claimOf(1, "b")
		other.BodyDigest = NewDigest([]byte("other"))
		is.Equal(mustClaim(is, w, other).State, KeyReused)
		is.NoErr(w.Finish(t.Context(), finishOf(first)))
		done := mustClaim(is, w, claimOf(1, "b"))
		is.Equal(done.State, Done)
		is.Equal(string(done.Outcome.Body), "answer")

		second := claimOf(2, "a")
		is.Equal(mustClaim(is, w, second).State, Granted)
		is.NoErr(w.Finish(t.Context(), FinishRequest{Key: second.Key, Token: second.Token, Settlement: Released}))
		is.Equal(mustClaim(is, w, second).State, Refused) // the token is void
		third := claimOf(2, "b")
		is.Equal(mustClaim(is, w, third).State, Granted)
		is.NoErr(w.Finish(t.Context(), FinishRequest{Key: third.Key, Token: third.Token, Settlement: Lost}))
		is.Equal(mustClaim(is, w, claimOf(2, "b")).State, Unknown)
		is.True(errors.Is(w.Finish(t.Context(), finishOf(second)), ErrNotClaimed))
	})
}

// TestReleaseBeforeClaim guards against a claim request that arrives after its
// release and would stay open for ever.
func TestReleaseBeforeClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := startTest(memstore.New(), testConfig(), &goneSet{})
		defer w.Close()
		late := claimOf(1, "a")
		is.NoErr(w.Finish(t.Context(), FinishRequest{Key: late.Key, Token: late.Token, Settlement: Released}))
		is.Equal(mustClaim(is, w, late).State, Refused)
		is.Equal(mustClaim(is, w, claimOf(1, "a")).State, Granted)
	})
}

// TestSealAndReload guards against a claim that is lost when a head is sealed or
// when another writer loads the range.
func TestSealAndReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		mem, config := memstore.New(), testConfig()
		config.SealEntries = 8
		w := startTest(mem, config, &goneSet{})
		defer w.Close()
		for n := range 50 {
			c := claimOf(n, "a")
			is.Equal(mustClaim(is, w, c).State, Granted)
			if n%2 == 0 {
				is.NoErr(w.Finish(t.Context(), finishOf(c)))
			}
		}
		successor := startTest(mem, config, &goneSet{})
		defer successor.Close()
		for n := range 50 {
			want := []State{Done, InProgress}[n%2]
			is.Equal(mustClaim(is, successor, claimOf(n, "b")).State, want)
			is.Equal(mustClaim(is, w, claimOf(n, "b")).State, want)
		}
		is.Equal(mustClaim(is, successor, claimOf(50, "b")).State, Granted)
		is.Equal(mustClaim(is, w, claimOf(50, "a")).State, InProgress) // w was behind
		is.True(w.Stats().Sealed >= 8)
	})
}

// TestRetention guards against a claim that is forgotten before the retention
// time, also when a writer's time is not counted, and against segments that are
// never deleted.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		mem, config := memstore.New(), testConfig()
		config.SealEntries = 4
		config.Retention = time.Hour
		w := startTest(mem, config, &goneSet{})
		for n := range 12 {
			is.Equal(mustClaim(is, w, claimOf(n, "a")).State, Granted)
		}
		w.Close()
		time.Sleep(3 * time.Hour) // no writer measures this time
		w = startTest(mem, config, &goneSet{})
		defer w.Close()
		is.Equal(mustClaim(is, w, claimOf(100, "a")).State, Granted)
		is.Equal(mustClaim(is, w, claimOf(0, "a")).State, InProgress)
		time.Sleep(30 * time.Minute)
		for n := 30; n < 60; n++ {
			is.Equal(mustClaim(is, w, claimOf(n, "a")).State, Granted)
		}
		time.Sleep(29 * time.Minute)
		is.Equal(mustClaim(is, w, claimOf(101, "a")).State, Granted)
		is.Equal(mustClaim(is, w, claimOf(0, "a")).State, InProgress)
		time.Sleep(2 * time.Minute)
		is.Equal(mustClaim(is, w, claimOf(102, "a")).State, Granted)
		is.Equal(mustClaim(is, w, claimOf(0, "a")).State, Granted) // its segment was dropped
		is.Equal(mustClaim(is, w, claimOf(40, "a")).State, InProgress)
		time.Sleep(time.Second)
		is.True(w.Stats().Deleted >= 2)
		_, err := mem.Get(t.Context(), segmentKey(0, 4))
		is.True(errors.Is(err, store.ErrNotFound))
	})
}

// TestLayout guards against two processes with different numbers of ranges, for
// which one key has two ranges and could be claimed twice, and against a range
// that refuses without a line in the log or with one for each request.
func TestLayout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		mem, config := memstore.New(), testConfig()
		w := startTest(mem, config, &goneSet{})
		defer w.Close()
		is.Equal(mustClaim(is, w, claimOf(1, "a")).State, Granted)
		config.Ranges = 2
		c := claimOf(1, "a")
		c.Range = RangeOf(c.Key, 2)
		var lines []string
		config.Log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
		other := StartWriter(mem, c.Range, config, NewBudget(1e6), &goneSet{})
		for range 3 {
			is.Equal(mustClaim(is, other, c).State, Refused)
		}
		other.Close()
		is.Equal(len(lines), 1)
		is.True(strings.Contains(lines[0], ErrLayout.Error()))
	})
}

// TestDamagedRecords guards against a claim that is granted because a damaged or
// missing record is read as one without claims.
func TestDamagedRecords(t *testing.T) {
	damage := map[string]func(context.Context, store.Store, store.Entry) error{
		"truncated": func(ctx context.Context, s store.Store, e store.Entry) error {
			_, err := s.Put(ctx, e.Key, e.Value[:len(e.Value)-3], e.Revision, 0)
			return err
		},
		"empty": func(ctx context.Context, s store.Store, e store.Entry) error {
			_, err := s.Put(ctx, e.Key, nil, e.Revision, 0)
			return err
		},
		"deleted": func(ctx context.Context, s store.Store, e store.Entry) error { return s.Delete(ctx, e.Key, e.Revision) },
	}
	for _, key := range []string{headKey(0), segmentKey(0, 4)} {
		for name, act := range damage {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				mem, config := memstore.New(), testConfig()
				config.SealEntries = 4
				w := startTest(mem, config, &goneSet{})
				defer w.Close()
				for n := range 6 {
					is.Equal(mustClaim(is, w, claimOf(n, "a")).State, Granted)
				}
				entry, err := mem.Get(t.Context(), key)
				is.NoErr(err)
				is.NoErr(act(t.Context(), mem, entry))
				if key != headKey(0) { // a running writer doesn't read it again
					w.Close()
					w = startTest(mem, config, &goneSet{})
					defer w.Close()
				}
				t.Log(key, name)
				is.Equal(mustClaim(is, w, claimOf(0, "b")).State, Refused)
				is.Equal(mustClaim(is, w, claimOf(7, "b")).State, Refused)
			})
		}
	}
}

// TestGroupCommit guards against one store write for each claim.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := startTest(memstore.New(), testConfig(), &goneSet{})
		defer w.Close()
		is.Equal(mustClaim(is, w, claimOf(1000, "a")).State, Granted)
		var wait sync.WaitGroup
		for n := range 100 {
			wait.Go(func() { mustClaim(is, w, claimOf(n, "a")) })
		}
		wait.Wait()
		is.True(w.Stats().Commits <= 3)
		is.Equal(w.Stats().Entries, int64(101))
	})
}

// TestLargeOutcomes guards against a head or segment that comes near the largest
// value of the store when every outcome has the largest size.
func TestLargeOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		mem := memstore.New()
		w := startTest(mem, testConfig(), &goneSet{})
		defer w.Close()
		var wait sync.WaitGroup
		for n := range 600 {
			wait.Go(func() {
				c := claimOf(n, "a")
				is.Equal(mustClaim(is, w, c).State, Granted)
				o := NewOutcome(200, "text/plain", make([]byte, MaxAnswerBytes))
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
