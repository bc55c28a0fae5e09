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

// unresponsiveStore never answers the calls that it receives while it is unresponsive,
// not even after it has recovered. Watches that were pending before continue, unless
// losesWatches is set.
type unresponsiveStore struct {
	*memstore.Store
	unresponsive atomic.Bool
	// outages counts how often it became unresponsive.
	outages      atomic.Int64
	losesWatches bool
	// latency is the latency of each call in nanoseconds.
	latency atomic.Int64
	// reads counts lists and watches.
	reads atomic.Int64
	// callTimeout is the time after which calls other than watches fail without an answer;
	// 0 for none.
	callTimeout time.Duration
}

// stopResponding makes the store unresponsive for a duration.
func (s *unresponsiveStore) stopResponding(d time.Duration) {
	s.outages.Add(1)
	s.unresponsive.Store(true)
	time.Sleep(d)
	s.unresponsive.Store(false)
}

// intercept delays a call, or blocks it until ctx ends while the store is unresponsive.
func (s *unresponsiveStore) intercept(ctx context.Context) error {
	if !s.unresponsive.Load() {
		return s.delay(ctx)
	}
	<-ctx.Done()
	return store.ErrUnavailable
}

func (s *unresponsiveStore) delay(ctx context.Context) error {
	select {
	case <-time.After(time.Duration(s.latency.Load())):
		return nil
	case <-ctx.Done():
		return store.ErrUnavailable
	}
}

func (s *unresponsiveStore) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	s.reads.Add(1)
	if err := s.intercept(ctx); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, prefix)
}

func (s *unresponsiveStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	s.reads.Add(1)
	if err := s.intercept(ctx); err != nil {
		return nil, 0, err
	}
	outagesBefore := s.outages.Load()
	events, at, err := s.Store.Watch(ctx, prefix, after, wait)
	if s.losesWatches && s.outages.Load() != outagesBefore {
		<-ctx.Done()
		return nil, 0, store.ErrUnavailable
	}
	return events, at, err
}

func (s *unresponsiveStore) Renew(ctx context.Context, lease store.LeaseID) error {
	if s.callTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.callTimeout)
		defer cancel()
	}
	if err := s.intercept(ctx); err != nil {
		return err
	}
	return s.Store.Renew(ctx, lease)
}

// applyBound is the time within which a version must be in force, on the deployments
// where that time is the shortest.
const applyBound = 2 * time.Second

// TestWatchSentToUnresponsiveStoreIsDetected guards against a node that waits for the
// answer to a watch that the store never received, and so misses the next version.
func TestWatchSentToUnresponsiveStoreIsDetected(t *testing.T) {
	for _, length := range []time.Duration{60 * time.Millisecond, 700 * time.Millisecond, 6 * time.Second} {
		for after := time.Duration(0); after < 300*time.Millisecond; after += 25 * time.Millisecond {
			t.Run(fmt.Sprintf("%v-%v", length, after), func(t *testing.T) { testOutageAfterVersion(t, after, length, false) })
		}
	}
}

// TestWatchLostByStoreIsDetected guards against a node that waits for the answer to a
// watch that the store lost in an outage.
func TestWatchLostByStoreIsDetected(t *testing.T) {
	for _, length := range []time.Duration{1200 * time.Millisecond, 6 * time.Second} {
		for after := 150 * time.Millisecond; after < 1500*time.Millisecond; after += 125 * time.Millisecond {
			t.Run(fmt.Sprintf("%v-%v", length, after), func(t *testing.T) { testOutageAfterVersion(t, after, length, true) })
		}
	}
}

// testOutageAfterVersion makes the store unresponsive some time after a version was
// written, and checks that the next version is in force within the bound.
func testOutageAfterVersion(t *testing.T, after, length time.Duration, losesWatches bool) {
	runConfigFollower(t, func(t *testing.T, st *unresponsiveStore, config *Config) {
		st.losesWatches = losesWatches
		// Shifts the periodic heartbeats so that none falls into the short outages.
		time.Sleep(370 * time.Millisecond)
		for version := 1; version <= 3; version++ {
			put(t, st.Store, "config", strconv.Itoa(version), store.NoLease)
			time.Sleep(300 * time.Millisecond)
		}
		put(t, st.Store, "config", "4", store.NoLease)
		time.Sleep(after)
		st.stopResponding(length)
		put(t, st.Store, "config", "5", store.NoLease)
		time.Sleep(applyBound)
		if version := config.Version(); version != 5 {
			t.Errorf("version %d is in force %v after version 5 was acknowledged", version, applyBound)
		}
	})
}

// TestShortCallTimeoutIsDetected guards against a watch that the store never received and that
// is waited for up to its end, because the heartbeat fails by the timeout of its call before
// its own. That happened where the bound is more than twice the timeout of a call.
func TestShortCallTimeoutIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const bound = 4 * time.Second
		st := &unresponsiveStore{Store: memstore.New(), callTimeout: 1500 * time.Millisecond}
		st.unresponsive.Store(true)
		h := NewHeartbeatStore(st, func() store.LeaseID { return store.NoLease }, bound, func() time.Duration { return bound / 8 })
		start := time.Now()
		h.now = func() time.Duration { return time.Since(start) }
		ctx, cancel := context.WithTimeout(t.Context(), 25*time.Second)
		go h.Run(ctx)
		_, _, err := h.Watch(ctx, "p", 0, 25*time.Second)
		is.True(err != nil)
		is.True(time.Since(start) <= bound/2)
		cancel()
		synctest.Wait()
	})
}

// TestSlowStoreIsNotRelisted guards against a node that mistakes a slow store for an
// unresponsive one, and lists everything again and again.
func TestSlowStoreIsNotRelisted(t *testing.T) {
	runConfigFollower(t, func(t *testing.T, st *unresponsiveStore, config *Config) {
		is := is.New(t)
		put(t, st.Store, "config", "1", store.NoLease)
		time.Sleep(time.Second)
		st.latency.Store(int64(1200 * time.Millisecond))
		for version := 2; version <= 8; version++ {
			put(t, st.Store, "config", strconv.Itoa(version), store.NoLease)
			time.Sleep(8 * time.Second)
			is.Equal(config.Version(), int64(version))
		}
		is.True(st.Calls()[memstore.OpList] <= 3)
		st.latency.Store(0)
		time.Sleep(5 * time.Second)
		st.stopResponding(6 * time.Second)
		put(t, st.Store, "config", "9", store.NoLease)
		time.Sleep(applyBound)
		is.Equal(config.Version(), int64(9)) // the outage is detected as early as before the slow phase
	})
}

// runConfigFollower runs a follower of the configuration in virtual time.
func runConfigFollower(t *testing.T, run func(t *testing.T, st *unresponsiveStore, config *Config)) {
	synctest.Test(t, func(t *testing.T) {
		st := &unresponsiveStore{Store: memstore.New()}
		var table atomic.Pointer[core.Table]
		config := NewConfig(&table, "config", decodeVersion, applyBound, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		heartbeatStore := NewHeartbeatStore(st, func() store.LeaseID { return store.NoLease }, applyBound, func() time.Duration { return applyBound / 2 })
		// The boot clock is not virtual.
		start := time.Now()
		heartbeatStore.now = func() time.Duration { return time.Since(start) }
		var wg sync.WaitGroup
		wg.Go(func() { heartbeatStore.Run(ctx) })
		wg.Go(func() { config.Run(ctx, heartbeatStore, func() {}) })
		defer wg.Wait()
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

// TestIdleStoreReceivesFewWatches guards against sending watches again and again while
// nothing changes: every node would load the store with these calls.
func TestIdleStoreReceivesFewWatches(t *testing.T) {
	is := is.New(t)
	runConfigFollower(t, func(_ *testing.T, st *unresponsiveStore, _ *Config) {
		time.Sleep(time.Minute)
		is.True(st.Calls()[memstore.OpWatch] <= 3)
		is.Equal(st.Calls()[memstore.OpList], 1)
	})
}

// TestDrainingServerIsDetectedAfterOutage guards against requests to a server that has
// started to drain, because the store was unresponsive when the watch was sent.
func TestDrainingServerIsDetectedAfterOutage(t *testing.T) {
	const batchDelay = 300 * time.Millisecond
	for _, length := range []time.Duration{60 * time.Millisecond, 700 * time.Millisecond, 2500 * time.Millisecond} {
		for after := time.Duration(0); after < 2*batchDelay; after += 45 * time.Millisecond {
			t.Run(fmt.Sprintf("%v-%v", length, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					st := &unresponsiveStore{Store: memstore.New()}
					r := backends.NewRegistry()
					s := NewServers(r, testPrefix, decodeTest, constantDelay(batchDelay), applyBound, logr.Discard())
					ctx, cancel := context.WithCancel(context.Background())
					heartbeatStore := NewHeartbeatStore(st, func() store.LeaseID { return store.NoLease }, applyBound, func() time.Duration { return applyBound / 2 })
					var wg sync.WaitGroup
					defer wg.Wait()
					defer time.Sleep(time.Second) // lets removeLapsedPeriodically end
					defer cancel()
					wg.Go(func() { heartbeatStore.Run(ctx) })
					wg.Go(func() { s.Run(ctx, heartbeatStore, func() {}) })
					put(t, st.Store, testPrefix+"1", "ready", store.NoLease)
					put(t, st.Store, testPrefix+"2", "ready", store.NoLease)
					time.Sleep(1370 * time.Millisecond)
					put(t, st.Store, testPrefix+"3", "ready", store.NoLease)
					time.Sleep(after)
					st.stopResponding(length)
					put(t, st.Store, testPrefix+"1", "draining", store.NoLease)
					time.Sleep(applyBound)
					if got := serverIDs(r); got != "2,3" {
						t.Errorf("servers %s are selected %v after the first started to drain", got, applyBound)
					}
				})
			})
		}
	}
}
