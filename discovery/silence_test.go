package discovery

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/core"
	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

// silentStore never answers the calls that it gets while it is silent, also when it
// is no longer. Watches that waited before go on, unless it forgets them.
type silentStore struct {
	*memstore.Store
	silent atomic.Bool
	// silences counts how often it fell silent.
	silences atomic.Int64
	forgets  bool
	// slow is how long each answer takes.
	slow atomic.Int64
}

// fallSilent is silent for a while.
func (s *silentStore) fallSilent(d time.Duration) {
	s.silences.Add(1)
	s.silent.Store(true)
	time.Sleep(d)
	s.silent.Store(false)
}

func (s *silentStore) swallow(ctx context.Context) error {
	if !s.silent.Load() {
		return s.delay(ctx)
	}
	<-ctx.Done()
	return store.ErrUnavailable
}

func (s *silentStore) delay(ctx context.Context) error {
	select {
	case <-time.After(time.Duration(s.slow.Load())):
		return nil
	case <-ctx.Done():
		return store.ErrUnavailable
	}
}

func (s *silentStore) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	if err := s.swallow(ctx); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, prefix)
}

func (s *silentStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	if err := s.swallow(ctx); err != nil {
		return nil, 0, err
	}
	silences := s.silences.Load()
	events, at, err := s.Store.Watch(ctx, prefix, after, wait)
	if s.forgets && s.silences.Load() != silences {
		<-ctx.Done()
		return nil, 0, store.ErrUnavailable
	}
	return events, at, err
}

func (s *silentStore) Renew(ctx context.Context, lease store.LeaseID) error {
	if err := s.swallow(ctx); err != nil {
		return err
	}
	return s.Store.Renew(ctx, lease)
}

// applyBound is the time in which a version has to be in force on the deployments
// with the shortest.
const applyBound = 2 * time.Second

// TestWatchSentIntoASilentStoreIsNoticed guards against a node that waits for the
// answer to a watch that the store never got, and misses the next version.
func TestWatchSentIntoASilentStoreIsNoticed(t *testing.T) {
	for _, length := range []time.Duration{60 * time.Millisecond, 700 * time.Millisecond, 6 * time.Second} {
		for after := time.Duration(0); after < 300*time.Millisecond; after += 25 * time.Millisecond {
			t.Run(fmt.Sprintf("%v-%v", length, after), func(t *testing.T) { silenceAfterVersion(t, after, length, false) })
		}
	}
}

// TestForgottenWatchIsNoticed guards against a node that waits for the answer to a
// watch that the store has forgotten in an outage.
func TestForgottenWatchIsNoticed(t *testing.T) {
	for _, length := range []time.Duration{1200 * time.Millisecond, 6 * time.Second} {
		for after := 150 * time.Millisecond; after < 1500*time.Millisecond; after += 125 * time.Millisecond {
			t.Run(fmt.Sprintf("%v-%v", length, after), func(t *testing.T) { silenceAfterVersion(t, after, length, true) })
		}
	}
}

// silenceAfterVersion lets the store fall silent some time after a version, and
// expects the version that follows the silence in force within the bound.
func silenceAfterVersion(t *testing.T, after, length time.Duration, forgets bool) {
	followSilentStore(t, func(t *testing.T, st *silentStore, config *Config) {
		st.forgets = forgets
		// The heartbeats that go on in any case don't meet the short silences.
		time.Sleep(370 * time.Millisecond)
		for version := 1; version <= 3; version++ {
			put(t, st.Store, "config", strconv.Itoa(version), 0)
			time.Sleep(300 * time.Millisecond)
		}
		put(t, st.Store, "config", "4", 0)
		time.Sleep(after)
		st.fallSilent(length)
		put(t, st.Store, "config", "5", 0)
		time.Sleep(applyBound)
		if version := config.Version(); version != 5 {
			t.Errorf("version %d is in force %v after version 5 was acknowledged", version, applyBound)
		}
	})
}

// TestSlowStoreIsFollowed guards against a node that takes a slow store for a silent
// one, and asks it for everything again and again.
func TestSlowStoreIsFollowed(t *testing.T) {
	followSilentStore(t, func(t *testing.T, st *silentStore, config *Config) {
		is := is.New(t)
		put(t, st.Store, "config", "1", 0)
		time.Sleep(time.Second)
		st.slow.Store(int64(1200 * time.Millisecond))
		for version := 2; version <= 8; version++ {
			put(t, st.Store, "config", strconv.Itoa(version), 0)
			time.Sleep(8 * time.Second)
			is.Equal(config.Version(), int64(version))
		}
		is.True(st.Calls()[memstore.OpList] <= 3)
		st.slow.Store(0)
		time.Sleep(5 * time.Second)
		st.fallSilent(6 * time.Second)
		put(t, st.Store, "config", "9", 0)
		time.Sleep(applyBound)
		is.Equal(config.Version(), int64(9)) // silence is noticed as early as before
	})
}

// followSilentStore runs a follower of the configuration in virtual time.
func followSilentStore(t *testing.T, run func(t *testing.T, st *silentStore, config *Config)) {
	synctest.Test(t, func(t *testing.T) {
		st := &silentStore{Store: memstore.New()}
		var table atomic.Pointer[core.Table]
		config := NewConfig(&table, "config", decodeVersion, applyBound, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		live := NewLiveStore(st, func() store.LeaseID { return 0 }, applyBound)
		// The boot clock does not follow virtual time.
		start := time.Now()
		live.now = func() time.Duration { return time.Since(start) }
		var wait sync.WaitGroup
		wait.Go(func() { live.Run(ctx) })
		wait.Go(func() { config.Run(ctx, live, func() {}) })
		defer wait.Wait()
		defer cancel()
		run(t, st, config)
	})
}

func decodeVersion(raw []byte) (*core.Table, error) {
	version, err := strconv.ParseInt(string(raw), 10, 64)
	if err != nil {
		return nil, err
	}
	return core.NewTable(version, core.Limits{}, nil, nil, nil), nil
}

// TestQuietStoreCostsFewWatches guards against watches that are sent again and again
// though nothing changes: each is a call of every node.
func TestQuietStoreCostsFewWatches(t *testing.T) {
	is := is.New(t)
	followSilentStore(t, func(_ *testing.T, st *silentStore, _ *Config) {
		time.Sleep(time.Minute)
		is.True(st.Calls()[memstore.OpWatch] <= 3)
		is.Equal(st.Calls()[memstore.OpList], 1)
	})
}

// TestLeavingServerIsNoticedAfterASilence guards against work for a server that says
// that it leaves, because the store was silent when the watch of registrations was sent.
func TestLeavingServerIsNoticedAfterASilence(t *testing.T) {
	const pause = 300 * time.Millisecond
	for _, length := range []time.Duration{60 * time.Millisecond, 700 * time.Millisecond, 2500 * time.Millisecond} {
		for after := time.Duration(0); after < 2*pause; after += 45 * time.Millisecond {
			t.Run(fmt.Sprintf("%v-%v", length, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					st := &silentStore{Store: memstore.New()}
					r := backends.NewRegistry()
					s := NewServers(r, testPrefix, decodeTest, fixed(pause), applyBound, logr.Discard())
					ctx, cancel := context.WithCancel(context.Background())
					live := NewLiveStore(st, func() store.LeaseID { return 0 }, applyBound)
					var wait sync.WaitGroup
					defer wait.Wait()
					defer time.Sleep(time.Second) // the removal of lapsed entries ends
					defer cancel()
					wait.Go(func() { live.Run(ctx) })
					wait.Go(func() { s.Run(ctx, live, func() {}) })
					put(t, st.Store, testPrefix+"1", "ready", 0)
					put(t, st.Store, testPrefix+"2", "ready", 0)
					time.Sleep(1370 * time.Millisecond)
					put(t, st.Store, testPrefix+"3", "ready", 0)
					time.Sleep(after)
					st.fallSilent(length)
					put(t, st.Store, testPrefix+"1", "draining", 0)
					time.Sleep(applyBound)
					if got := ids(r); got != "2,3" {
						t.Errorf("servers %s get work %v after the first said that it leaves", got, applyBound)
					}
				})
			})
		}
	}
}
