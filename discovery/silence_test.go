package discovery

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/figweir/figweir/core"
	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

// silentStore never answers the calls that it gets while it is silent, also when it
// is no longer. Watches that waited before go on.
type silentStore struct {
	*memstore.Store
	silent atomic.Bool
}

func (s *silentStore) swallow(ctx context.Context) error {
	if !s.silent.Load() {
		return nil
	}
	<-ctx.Done()
	return store.ErrUnavailable
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
	return s.Store.Watch(ctx, prefix, after, wait)
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
			t.Run(fmt.Sprintf("%v-%v", length, after), func(t *testing.T) { silenceAfterVersion(t, after, length) })
		}
	}
}

// silenceAfterVersion lets the store fall silent some time after a version, and
// expects the version that follows the silence in force within the bound.
func silenceAfterVersion(t *testing.T, after, length time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		st := &silentStore{Store: memstore.New()}
		var table atomic.Pointer[core.Table]
		config := NewConfig(&table, "config", decodeVersion, applyBound, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		live := NewLiveStore(st, func() store.LeaseID { return 0 }, applyBound)
		go live.Run(ctx)
		go func() { config.Run(ctx, live, func() {}); close(done) }()
		for version := 1; version <= 3; version++ {
			put(t, st.Store, "config", strconv.Itoa(version), 0)
			time.Sleep(300 * time.Millisecond)
		}
		put(t, st.Store, "config", "4", 0)
		time.Sleep(after)
		st.silent.Store(true)
		time.Sleep(length)
		st.silent.Store(false)
		put(t, st.Store, "config", "5", 0)
		time.Sleep(applyBound)
		if version := config.Version(); version != 5 {
			t.Errorf("version %d is in force %v after version 5 was acknowledged", version, applyBound)
		}
		cancel()
		<-done
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
	synctest.Test(t, func(t *testing.T) {
		st := &silentStore{Store: memstore.New()}
		var table atomic.Pointer[core.Table]
		config := NewConfig(&table, "config", decodeVersion, applyBound, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		live := NewLiveStore(st, func() store.LeaseID { return 0 }, applyBound)
		go live.Run(ctx)
		go func() { config.Run(ctx, live, func() {}); close(done) }()
		time.Sleep(time.Minute)
		is.True(st.Calls()[memstore.OpWatch] <= 3)
		is.Equal(st.Calls()[memstore.OpList], 1)
		cancel()
		<-done
	})
}
