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
	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

const testPrefix = "reg/"

func decodeTest(id string, raw []byte) (backends.Info, error) {
	if string(raw) == "junk" {
		return backends.Info{}, errors.New("not readable")
	}
	info := backends.Info{ID: id, Service: "s", Address: "a:" + id}
	if string(raw) == "draining" {
		info.State = backends.Draining
	}
	return info, nil
}

func ids(r *backends.Registry) string {
	var list []string
	for _, s := range r.View().Servers("s") {
		list = append(list, s.ID)
	}
	return strings.Join(list, ",")
}

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

// world runs a follower of registrations over a store in memory, in virtual
// time.
func world(t *testing.T, run func(t *testing.T, st *memstore.Store, s *Servers, r *backends.Registry)) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New()
		r := backends.NewRegistry()
		s := NewServers(r, testPrefix, decodeTest, fixed(100*time.Millisecond), applyBound, logr.Discard())
		// The boot clock does not follow virtual time.
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

// TestLeavingServersGetNoWork guards against work for a server that drains or
// whose registration is removed.
func TestLeavingServersGetNoWork(t *testing.T) {
	world(t, func(t *testing.T, st *memstore.Store, _ *Servers, r *backends.Registry) {
		is := is.New(t)
		put(t, st, testPrefix+"1", "ready", 0)
		revision := put(t, st, testPrefix+"2", "ready", 0)
		time.Sleep(time.Second)
		is.Equal(ids(r), "1,2")
		put(t, st, testPrefix+"1", "draining", 0)
		time.Sleep(time.Second)
		is.Equal(ids(r), "2")
		is.NoErr(st.Delete(context.Background(), testPrefix+"2", revision))
		time.Sleep(time.Second)
		is.Equal(ids(r), "")
	})
}

// TestUnreadableEntryHarmsNoOther guards against one bad entry that hides the
// others.
func TestUnreadableEntryHarmsNoOther(t *testing.T) {
	world(t, func(t *testing.T, st *memstore.Store, _ *Servers, r *backends.Registry) {
		is := is.New(t)
		put(t, st, testPrefix+"0", "junk", 0)
		put(t, st, testPrefix+"1", "ready", 0)
		time.Sleep(time.Second)
		is.Equal(ids(r), "1")
	})
}

// TestServersSurviveAnOutage guards against losing every server because their
// leases ran out while the store was away, and against keeping for long one that
// does not come back.
func TestServersSurviveAnOutage(t *testing.T) {
	world(t, func(t *testing.T, st *memstore.Store, _ *Servers, r *backends.Registry) {
		is := is.New(t)
		first := put(t, st, testPrefix+"1", "ready", 0)
		second := put(t, st, testPrefix+"2", "ready", 0)
		time.Sleep(time.Second)
		is.NoErr(st.Delete(context.Background(), testPrefix+"1", first))
		is.NoErr(st.Delete(context.Background(), testPrefix+"2", second))
		st.SetFault(func(memstore.Op, string) memstore.Fault { return memstore.Fault{Refuse: true} })
		// The watch that waits ends with the outage.
		time.Sleep(40 * time.Second)
		st.SetFault(nil)
		time.Sleep(time.Second)
		put(t, st, testPrefix+"1", "ready", 0)
		time.Sleep(500 * time.Millisecond)
		time.Sleep(3 * time.Second)
		is.Equal(ids(r), "1")
	})
}

// TestLapsedRegistrationsAreKeptAfterAnOutage guards against refusing every
// request for the two seconds in which living servers register again.
func TestLapsedRegistrationsAreKeptAfterAnOutage(t *testing.T) {
	is := is.New(t)
	r := backends.NewRegistry()
	s := NewServers(r, testPrefix, decodeTest, fixed(100*time.Millisecond), applyBound, logr.Discard())
	clock := time.Hour
	s.now = func() time.Duration { return clock }
	entry := store.Entry{Key: testPrefix + "1", Value: []byte("ready"), Revision: 5}
	s.reset([]store.Entry{entry}, 5, false)
	s.reset(nil, 6, true)
	is.Equal(ids(r), "1") // kept for now
	clock += lapseGrace
	s.dropLapsed()
	is.Equal(ids(r), "") // still missing: gone
	s.reset([]store.Entry{entry}, 5, false)
	s.reset(nil, 7, false)
	is.Equal(ids(r), "") // no outage, no grace
}

// TestHistoryLostIsReadAgain guards against missing a change that fell into a gap
// of the watch.
func TestHistoryLostIsReadAgain(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		st := &compactedStore{Store: memstore.New()}
		r := backends.NewRegistry()
		s := NewServers(r, testPrefix, decodeTest, fixed(100*time.Millisecond), applyBound, logr.Discard())
		put(t, st.Store, testPrefix+"1", "ready", 0)
		ctx, cancel := context.WithCancel(context.Background())
		go s.Run(ctx, st, func() {})
		time.Sleep(time.Second)
		is.Equal(ids(r), "1")
		st.compact.Store(true)
		put(t, st.Store, testPrefix+"1", "draining", 0)
		time.Sleep(30 * time.Second)
		is.Equal(ids(r), "")
		cancel()
		time.Sleep(time.Minute)
	})
}

// compactedStore loses its history once.
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

// TestConfigurationNeverGoesBack guards against an older version that arrives
// late, from the store or from a peer.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	var table atomic.Pointer[core.Table]
	decode := func(raw []byte) (*core.Table, error) {
		if len(raw) == 0 {
			return nil, errors.New("empty")
		}
		return core.NewTable(int64(len(raw)), core.Limits{}, nil, nil, nil), nil
	}
	c := NewConfig(&table, "config", decode, applyBound, logr.Discard())
	c.Offer([]byte("xxx"), "store")
	c.Offer([]byte("xx"), "peer")
	c.Offer(nil, "peer")
	is.Equal(c.Version(), int64(3))
	raw, version := c.Raw()
	is.Equal(string(raw), "xxx")
	is.Equal(version, int64(3))
}

// fakePeers answers with one state.
type fakePeers struct{ state State }

func (p fakePeers) Pull(context.Context, string, int64) (State, error) { return p.state, nil }

// TestStateComesFromPeersWithoutTheStore guards against a node that starts, or
// works on, with nothing or with old state while the store turns it away.
func TestStateComesFromPeersWithoutTheStore(t *testing.T) {
	is := is.New(t)
	var table atomic.Pointer[core.Table]
	config := NewConfig(&table, "config", func(raw []byte) (*core.Table, error) {
		return core.NewTable(int64(len(raw)), core.Limits{}, nil, nil, nil), nil
	}, applyBound, logr.Discard())
	r := backends.NewRegistry()
	servers := NewServers(r, testPrefix, decodeTest, fixed(100*time.Millisecond), applyBound, logr.Discard())
	state := State{Config: []byte("xxxx"), Following: true, Registrations: []store.Entry{
		{Key: testPrefix + "1", Value: []byte("ready"), Revision: 3},
		{Key: testPrefix + "2", Value: []byte("ready"), Revision: 4},
	}}
	relay := NewRelay(config, servers, fakePeers{state}, func() []string { return []string{"peer"} }, logr.Discard())
	relay.ask(context.Background(), "peer")
	is.Equal(config.Version(), int64(4))
	is.Equal(ids(r), "1,2")
	state.Registrations = state.Registrations[:1]
	relay.peers = fakePeers{state}
	relay.ask(context.Background(), "peer")
	is.Equal(ids(r), "1") // the peer follows the store, this node does not
	state.Registrations, state.Following = nil, false
	relay.peers = fakePeers{state}
	relay.ask(context.Background(), "peer")
	is.Equal(ids(r), "1") // a peer without the store takes nothing away
}

// TestPeerDoesNotBringBackGoneServers guards against work for a server whose removal
// this node has read and the peer that it asks has not.
func TestPeerDoesNotBringBackGoneServers(t *testing.T) {
	is := is.New(t)
	r := backends.NewRegistry()
	s := NewServers(r, testPrefix, decodeTest, fixed(100*time.Millisecond), applyBound, logr.Discard())
	one := store.Entry{Key: testPrefix + "1", Value: []byte("ready"), Revision: 5}
	two := store.Entry{Key: testPrefix + "2", Value: []byte("ready"), Revision: 6}
	s.reset([]store.Entry{one, two}, 6, false)
	s.apply([]store.Event{{Entry: store.Entry{Key: testPrefix + "1", Revision: 9}, Deleted: true}}, 9, false)
	three := store.Entry{Key: testPrefix + "3", Value: []byte("ready"), Revision: 10}
	s.Offer([]store.Entry{one, two, three}, true, "peer")
	is.Equal(ids(r), "2,3") // what the peer has read later counts, what it has not read yet does not
	s.reset([]store.Entry{two}, 12, false)
	s.Offer([]store.Entry{one, three}, false, "peer")
	is.Equal(ids(r), "2") // removed before the list was read
}

// countingPeers counts the questions that nodes are asked.
type countingPeers struct {
	state State
	asked atomic.Int64
}

func (p *countingPeers) Pull(context.Context, string, int64) (State, error) {
	p.asked.Add(1)
	return p.state, nil
}

// TestHintsThatTheWatchOvertakesCostNothing guards against asking a node for all
// registrations although the own watch has brought them meanwhile, and against
// not asking when it has not.
func TestHintsThatTheWatchOvertakesCostNothing(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		var table atomic.Pointer[core.Table]
		config := NewConfig(&table, "config", func(raw []byte) (*core.Table, error) {
			return core.NewTable(int64(len(raw)), core.Limits{}, nil, nil, nil), nil
		}, applyBound, logr.Discard())
		config.follower.following.Store(true)
		servers := NewServers(backends.NewRegistry(), testPrefix, decodeTest, fixed(100*time.Millisecond), applyBound, logr.Discard())
		servers.follower.following.Store(true)
		servers.reset([]store.Entry{{Key: testPrefix + "1", Value: []byte("ready"), Revision: 3}}, 3, false)
		peers := &countingPeers{state: State{Config: []byte("xxxx"), Following: true}}
		relay := NewRelay(config, servers, peers, func() []string { return []string{"peer"} }, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { relay.Run(ctx); close(done) }()
		synctest.Wait()
		relay.Hint("peer", 0, 4)
		servers.apply([]store.Event{{Entry: store.Entry{Key: testPrefix + "2", Value: []byte("ready"), Revision: 4}}}, 4, false)
		time.Sleep(time.Second)
		is.Equal(peers.asked.Load(), int64(0))
		relay.Hint("peer", 4, 5)
		time.Sleep(time.Second)
		is.True(peers.asked.Load() > 0)
		is.Equal(config.Version(), int64(4))
		cancel()
		<-done
	})
}
