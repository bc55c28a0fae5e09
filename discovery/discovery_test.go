package discovery

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/core"
	"github.com/figweir/figweir/quarantine"
	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

const testPrefix = "reg/"

func decodeTest(id string, raw []byte) (backends.Registration, error) {
	if string(raw) == "junk" {
		return backends.Registration{}, errors.New("invalid registration")
	}
	registration := backends.Registration{ID: id, Service: "s", Address: "a:" + id}
	if string(raw) == "draining" {
		registration.State = backends.Draining
	}
	return registration, nil
}

// serverIDs returns the ids of the servers that can be selected, joined by commas.
func serverIDs(r *backends.Registry) string {
	var list []string
	for _, s := range r.View().Servers("s") {
		list = append(list, s.ID)
	}
	return strings.Join(list, ",")
}

// put writes a key unconditionally and returns its new revision.
func put(t *testing.T, st *memstore.Store, key, value string, lease store.LeaseID) store.Revision {
	t.Helper()
	old, err := st.Get(context.Background(), key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		t.Fatal(err)
	}
	revision, err := st.Put(context.Background(), key, []byte(value), old.Revision, lease)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// runServers runs a follower of registrations on an in-memory store, in virtual time.
func runServers(t *testing.T, run func(t *testing.T, st *memstore.Store, s *Servers, r *backends.Registry)) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New()
		r := backends.NewRegistry()
		s := NewServers(r, testPrefix, decodeTest, constantDelay(100*time.Millisecond), applyBound, logr.Discard())
		// The boot clock is not virtual.
		start := time.Now()
		s.now = func() time.Duration { return time.Since(start) + time.Hour }
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { s.Run(ctx, st, func() {}); close(done) }()
		synctest.Wait()
		run(t, st, s, r)
		cancel()
		<-done
		time.Sleep(time.Second)
	})
}

// TestDrainingAndRemovedServersAreNotSelected guards against requests to a server that
// drains or whose registration was removed.
func TestDrainingAndRemovedServersAreNotSelected(t *testing.T) {
	runServers(t, func(t *testing.T, st *memstore.Store, _ *Servers, r *backends.Registry) {
		is := is.New(t)
		put(t, st, testPrefix+"1", "ready", store.NoLease)
		revision := put(t, st, testPrefix+"2", "ready", store.NoLease)
		time.Sleep(time.Second)
		is.Equal(serverIDs(r), "1,2")
		put(t, st, testPrefix+"1", "draining", store.NoLease)
		time.Sleep(time.Second)
		is.Equal(serverIDs(r), "2")
		is.NoErr(st.Delete(context.Background(), testPrefix+"2", revision))
		time.Sleep(time.Second)
		is.Equal(serverIDs(r), "")
	})
}

// TestInvalidRegistrationDoesNotHideOthers guards against one invalid registration that
// stops the others from being read.
func TestInvalidRegistrationDoesNotHideOthers(t *testing.T) {
	runServers(t, func(t *testing.T, st *memstore.Store, _ *Servers, r *backends.Registry) {
		is := is.New(t)
		put(t, st, testPrefix+"0", "junk", store.NoLease)
		put(t, st, testPrefix+"1", "ready", store.NoLease)
		time.Sleep(time.Second)
		is.Equal(serverIDs(r), "1")
	})
}

// TestRegistrationsAfterStoreOutage guards against removing all servers because their
// leases lapsed while the store was unavailable, and against keeping a server that does
// not register again after the outage.
func TestRegistrationsAfterStoreOutage(t *testing.T) {
	runServers(t, func(t *testing.T, st *memstore.Store, _ *Servers, r *backends.Registry) {
		is := is.New(t)
		first := put(t, st, testPrefix+"1", "ready", store.NoLease)
		second := put(t, st, testPrefix+"2", "ready", store.NoLease)
		time.Sleep(time.Second)
		is.NoErr(st.Delete(context.Background(), testPrefix+"1", first))
		is.NoErr(st.Delete(context.Background(), testPrefix+"2", second))
		st.SetFault(func(memstore.Op, string) memstore.Fault { return memstore.Fault{Refuse: true} })
		// The pending watch ends during the outage.
		time.Sleep(40 * time.Second)
		st.SetFault(nil)
		time.Sleep(time.Second)
		put(t, st, testPrefix+"1", "ready", store.NoLease)
		time.Sleep(500 * time.Millisecond)
		time.Sleep(3 * time.Second)
		is.Equal(serverIDs(r), "1")
	})
}

// TestLapsedRegistrationsAreRetainedAfterOutage guards against refusing every request
// in the two seconds after a store outage in which running servers register again.
func TestLapsedRegistrationsAreRetainedAfterOutage(t *testing.T) {
	is := is.New(t)
	r := backends.NewRegistry()
	s := NewServers(r, testPrefix, decodeTest, constantDelay(100*time.Millisecond), applyBound, logr.Discard())
	clock := time.Hour
	s.now = func() time.Duration { return clock }
	entry := store.Entry{Key: testPrefix + "1", Value: []byte("ready"), Revision: 5}
	s.reset([]store.Entry{entry}, 5, false)
	s.reset(nil, 6, true)
	is.Equal(serverIDs(r), "1") // within the grace period
	clock += registrationGracePeriod
	s.removeLapsed()
	is.Equal(serverIDs(r), "") // removed after the grace period
	s.reset([]store.Entry{entry}, 5, false)
	s.reset(nil, 7, false)
	is.Equal(serverIDs(r), "") // without an outage there is no grace period
}

// TestRelistAfterCompaction guards against missing a change because the store compacted
// the history that the watch would have continued from.
func TestRelistAfterCompaction(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		st := &compactedStore{Store: memstore.New()}
		r := backends.NewRegistry()
		s := NewServers(r, testPrefix, decodeTest, constantDelay(100*time.Millisecond), applyBound, logr.Discard())
		put(t, st.Store, testPrefix+"1", "ready", store.NoLease)
		ctx, cancel := context.WithCancel(context.Background())
		go s.Run(ctx, st, func() {})
		time.Sleep(time.Second)
		is.Equal(serverIDs(r), "1")
		st.compact.Store(true)
		put(t, st.Store, testPrefix+"1", "draining", store.NoLease)
		time.Sleep(30 * time.Second)
		is.Equal(serverIDs(r), "")
		cancel()
		time.Sleep(time.Minute)
	})
}

// compactedStore fails one watch with ErrCompacted.
type compactedStore struct {
	*memstore.Store
	compact atomic.Bool
}

func (s *compactedStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	events, at, err := s.Store.Watch(ctx, prefix, after, wait)
	if s.compact.Swap(false) {
		return nil, 0, store.ErrCompacted
	}
	return events, at, err
}

// TestConfigVersionNeverDecreases guards against an older version that arrives late
// from the store or a peer and replaces a newer one.
func TestConfigVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	var table atomic.Pointer[core.Table]
	decode := func(raw []byte) (*core.Table, error) {
		if len(raw) == 0 {
			return nil, errors.New("empty")
		}
		return core.NewTable(int64(len(raw)), core.Limits{}, nil, nil, nil), nil
	}
	c := NewConfig(&table, "config", decode, applyBound, logr.Discard())
	c.ApplyIfNewer([]byte("xxx"), "store")
	c.ApplyIfNewer([]byte("xx"), "peer")
	c.ApplyIfNewer(nil, "peer")
	is.Equal(c.Version(), int64(3))
	raw, version := c.Raw()
	is.Equal(string(raw), "xxx")
	is.Equal(version, int64(3))
}

// fakePuller answers every pull with the same state.
type fakePuller struct{ state PeerState }

func (p fakePuller) Pull(context.Context, string, int64) (PeerState, error) { return p.state, nil }

// TestStateIsPulledFromPeersDuringOutage guards against a node that has no state, or
// outdated state, because the store refuses its calls.
func TestStateIsPulledFromPeersDuringOutage(t *testing.T) {
	is := is.New(t)
	var table atomic.Pointer[core.Table]
	config := NewConfig(&table, "config", func(raw []byte) (*core.Table, error) {
		return core.NewTable(int64(len(raw)), core.Limits{}, nil, nil, nil), nil
	}, applyBound, logr.Discard())
	r := backends.NewRegistry()
	servers := NewServers(r, testPrefix, decodeTest, constantDelay(100*time.Millisecond), applyBound, logr.Discard())
	state := PeerState{Config: []byte("xxxx"), Following: true, Registrations: []store.Entry{
		{Key: testPrefix + "1", Value: []byte("ready"), Revision: 3},
		{Key: testPrefix + "2", Value: []byte("ready"), Revision: 4},
	}}
	relay := NewRelay(config, servers, quarantine.NewTracker(1), fakePuller{state}, func() []string { return []string{"peer"} }, logr.Discard())
	relay.pull(context.Background(), "peer")
	is.Equal(config.Version(), int64(4))
	is.Equal(serverIDs(r), "1,2")
	state.Registrations = state.Registrations[:1]
	relay.puller = fakePuller{state}
	relay.pull(context.Background(), "peer")
	is.Equal(serverIDs(r), "1") // the peer can read the store, this node can't
	state.Registrations, state.Following = nil, false
	relay.puller = fakePuller{state}
	relay.pull(context.Background(), "peer")
	is.Equal(serverIDs(r), "1") // a peer that can't read the store removes nothing
}

// TestStalePeerDoesNotRestoreRemovedServers guards against requests to a server whose
// removal this node has read and the pulled peer has not.
func TestStalePeerDoesNotRestoreRemovedServers(t *testing.T) {
	is := is.New(t)
	r := backends.NewRegistry()
	s := NewServers(r, testPrefix, decodeTest, constantDelay(100*time.Millisecond), applyBound, logr.Discard())
	one := store.Entry{Key: testPrefix + "1", Value: []byte("ready"), Revision: 5}
	two := store.Entry{Key: testPrefix + "2", Value: []byte("ready"), Revision: 6}
	s.reset([]store.Entry{one, two}, 6, false)
	s.apply([]store.Event{{Entry: store.Entry{Key: testPrefix + "1", Revision: 9}, Deleted: true}}, 9, false)
	three := store.Entry{Key: testPrefix + "3", Value: []byte("ready"), Revision: 10}
	s.Merge([]store.Entry{one, two, three}, true, "peer")
	is.Equal(serverIDs(r), "2,3") // only entries newer than this node's position in the store are merged
	s.reset([]store.Entry{two}, 12, false)
	s.Merge([]store.Entry{one, three}, false, "peer")
	is.Equal(serverIDs(r), "2") // the list at revision 12 shows that 1 and 3 were removed
}

// countingPuller counts the pulls.
type countingPuller struct {
	state PeerState
	pulls atomic.Int64
}

func (p *countingPuller) Pull(context.Context, string, int64) (PeerState, error) {
	p.pulls.Add(1)
	return p.state, nil
}

// TestHintsPullOnlyWhatTheWatchLacks guards against pulling all registrations from a
// node although this node's watch has already delivered the change, and against not
// pulling when it has not.
func TestHintsPullOnlyWhatTheWatchLacks(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		var table atomic.Pointer[core.Table]
		config := NewConfig(&table, "config", func(raw []byte) (*core.Table, error) {
			return core.NewTable(int64(len(raw)), core.Limits{}, nil, nil, nil), nil
		}, applyBound, logr.Discard())
		config.follower.following.Store(true)
		servers := NewServers(backends.NewRegistry(), testPrefix, decodeTest, constantDelay(100*time.Millisecond), applyBound, logr.Discard())
		servers.follower.following.Store(true)
		servers.reset([]store.Entry{{Key: testPrefix + "1", Value: []byte("ready"), Revision: 3}}, 3, false)
		puller := &countingPuller{state: PeerState{Config: []byte("xxxx"), Following: true}}
		relay := NewRelay(config, servers, quarantine.NewTracker(1), puller, func() []string { return []string{"peer"} }, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { relay.Run(ctx); close(done) }()
		synctest.Wait()
		relay.Hint("peer", 0, 4)
		servers.apply([]store.Event{{Entry: store.Entry{Key: testPrefix + "2", Value: []byte("ready"), Revision: 4}}}, 4, false)
		time.Sleep(time.Second)
		is.Equal(puller.pulls.Load(), int64(0))
		relay.Hint("peer", 4, 5)
		time.Sleep(time.Second)
		is.True(puller.pulls.Load() > 0)
		is.Equal(config.Version(), int64(4))
		cancel()
		<-done
	})
}
