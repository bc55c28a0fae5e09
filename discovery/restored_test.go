package discovery

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

// TestDrainingServerStaysDrainingAfterRestore guards against new work for a server that leaves,
// because the copy of the store still calls it ready. The load: two servers, one of which drains
// after the copy was made, and after it the other registers anew.
func TestDrainingServerStaysDrainingAfterRestore(t *testing.T) {
	runServers(t, func(t *testing.T, st *memstore.Store, _ *Servers, r *backends.Registry) {
		is := is.New(t)
		put(t, st, testPrefix+"1", "ready", store.NoLease)
		put(t, st, testPrefix+"2", "ready", store.NoLease)
		earlier := st.Copy()
		put(t, st, testPrefix+"2", "draining", store.NoLease)
		time.Sleep(time.Second)
		is.Equal(serverIDs(r), "1")
		st.SetFault(func(memstore.Op, string) memstore.Fault { return memstore.Fault{Refuse: true} })
		st.Restore(earlier)
		time.Sleep(2 * time.Second)
		st.SetFault(nil)
		put(t, st, testPrefix+"1", "ready", store.NoLease)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(serverIDs(r), "1")
		}
	})
}

// TestChangeUnderReusedRevisionIsRead guards against a change that a node never learns because
// the new history of the store gave it the revision of an older one. The load: a server whose
// registration was the last change before the restore, and is written again with another state.
func TestChangeUnderReusedRevisionIsRead(t *testing.T) {
	runServers(t, func(t *testing.T, st *memstore.Store, _ *Servers, r *backends.Registry) {
		is := is.New(t)
		put(t, st, testPrefix+"1", "ready", store.NoLease)
		earlier := st.Copy()
		put(t, st, testPrefix+"2", "ready", store.NoLease)
		time.Sleep(time.Second)
		is.Equal(serverIDs(r), "1,2")
		st.Restore(earlier)
		put(t, st, testPrefix+"2", "draining", store.NoLease) // the revision that the old registration had
		time.Sleep(5 * time.Second)
		is.Equal(serverIDs(r), "1")
	})
}

// TestServerGoneBeforeRestoreIsNotSelected guards against new work for a server that had left
// and appears again with the copy. The load: two servers; one leaves after the copy was made,
// and its registration in the copy lapses some seconds later.
func TestServerGoneBeforeRestoreIsNotSelected(t *testing.T) {
	runServers(t, func(t *testing.T, st *memstore.Store, _ *Servers, r *backends.Registry) {
		is := is.New(t)
		put(t, st, testPrefix+"1", "ready", store.NoLease)
		left := put(t, st, testPrefix+"2", "ready", store.NoLease)
		earlier := st.Copy()
		is.NoErr(st.Delete(context.Background(), testPrefix+"2", left))
		time.Sleep(time.Second)
		is.Equal(serverIDs(r), "1")
		st.Restore(earlier)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(serverIDs(r), "1")
		}
		put(t, st, testPrefix+"2", "ready", store.NoLease) // it runs after all, or again
		time.Sleep(time.Second)
		is.Equal(serverIDs(r), "1,2")
	})
}

// TestServerNewerThanCopyIsRetained guards against a gap for a server that the restored store
// doesn't know until it registers again. The load: a server that came after the copy; the store
// is away for less time than counts as an outage.
func TestServerNewerThanCopyIsRetained(t *testing.T) {
	runServers(t, func(t *testing.T, st *memstore.Store, _ *Servers, r *backends.Registry) {
		is := is.New(t)
		put(t, st, testPrefix+"1", "ready", store.NoLease)
		earlier := st.Copy()
		put(t, st, testPrefix+"2", "ready", store.NoLease)
		time.Sleep(time.Second)
		st.Restore(earlier)
		time.Sleep(registrationGracePeriod - 500*time.Millisecond)
		is.Equal(serverIDs(r), "1,2")
		time.Sleep(time.Second)
		is.Equal(serverIDs(r), "1") // it didn't register again
	})
}

// inEra returns an entry with the given revision of an era.
func inEra(t *testing.T, era store.Era, number uint64, key, value string) store.Entry {
	t.Helper()
	revision, err := store.NewRevision(era, number)
	if err != nil {
		t.Fatal(err)
	}
	return store.Entry{Key: testPrefix + key, Value: []byte(value), Revision: revision}
}

// newTestServers returns registrations that no follower changes.
func newTestServers() (*Servers, *backends.Registry) {
	r := backends.NewRegistry()
	return NewServers(r, testPrefix, decodeTest, constantDelay(100*time.Millisecond), applyBound, logr.Discard()), r
}

// TestPeerOfEarlierEraBringsNothingBack guards against registrations of the old history that a peer
// brings back, which has not learned of the restore. The load: a peer that still follows the old
// history while this node can't reach the store any more.
func TestPeerOfEarlierEraBringsNothingBack(t *testing.T) {
	is := is.New(t)
	s, r := newTestServers()
	old := []store.Entry{inEra(t, 1, 900, "1", "draining"), inEra(t, 1, 901, "2", "ready")}
	listed := inEra(t, 2, 5, "1", "ready")
	s.reset([]store.Entry{listed}, listed.Revision, false)
	is.Equal(serverIDs(r), "1")
	s.Merge(old, true, "peer")
	is.Equal(serverIDs(r), "1")
}

// TestRegistrationsOfLaterEraFromPeers guards against a node that can't reach the store and keeps
// what it read in the old history for good, or takes the copy for news. The load: a node that is
// cut off from the store before the restore and reads two states of a peer after it.
func TestRegistrationsOfLaterEraFromPeers(t *testing.T) {
	is := is.New(t)
	s, r := newTestServers()
	known := []store.Entry{inEra(t, 1, 90, "1", "draining"), inEra(t, 1, 91, "2", "ready"), inEra(t, 1, 92, "3", "ready")}
	s.reset(known, known[2].Revision, false)
	is.Equal(serverIDs(r), "2,3")
	s.Merge([]store.Entry{inEra(t, 2, 10, "1", "ready"), inEra(t, 2, 11, "2", "ready"), inEra(t, 2, 12, "3", "draining")}, false, "peer")
	is.Equal(serverIDs(r), "2") // draining wins as long as it is unclear which is newer
	s.Merge([]store.Entry{inEra(t, 2, 20, "1", "ready"), inEra(t, 2, 21, "2", "draining"), inEra(t, 2, 12, "3", "draining")}, false, "peer")
	is.Equal(serverIDs(r), "1") // written since
}

// TestDrainingIsLearnedFromPeerAfterRestore guards against new work for a draining server by a node
// that was started after the restore and has read only the copy.
func TestDrainingIsLearnedFromPeerAfterRestore(t *testing.T) {
	is := is.New(t)
	s, r := newTestServers()
	listed := inEra(t, 2, 10, "1", "ready")
	s.reset([]store.Entry{listed}, listed.Revision, false)
	s.Merge([]store.Entry{inEra(t, 2, 10, "1", "draining")}, true, "peer")
	is.Equal(serverIDs(r), "")
	s.Merge([]store.Entry{listed}, true, "other peer")
	is.Equal(serverIDs(r), "")
}

// TestTwoRestoresInARow guards against a server that left and is chosen again because a second
// restore followed before the first copy's registration lapsed.
func TestTwoRestoresInARow(t *testing.T) {
	runServers(t, func(t *testing.T, st *memstore.Store, _ *Servers, r *backends.Registry) {
		is := is.New(t)
		put(t, st, testPrefix+"1", "ready", store.NoLease)
		left := put(t, st, testPrefix+"2", "ready", store.NoLease)
		earlier := st.Copy()
		is.NoErr(st.Delete(context.Background(), testPrefix+"2", left))
		time.Sleep(time.Second)
		for range 2 {
			st.Restore(earlier)
			for range 10 {
				time.Sleep(100 * time.Millisecond)
				is.Equal(serverIDs(r), "1")
			}
		}
	})
}

// TestRestoreIsReadOncePerReader answers a restore in a fleet of hundreds of nodes. It guards
// against a list by each node at the same moment. The load: 40 nodes that read through two
// readers, and a server that drains right after the restore.
func TestRestoreIsReadOncePerReader(t *testing.T) {
	runReaders(t, 40, func(t *testing.T, st *memstore.Store, network *mirrorNetwork) {
		is := is.New(t)
		earlier := st.Copy()
		put(t, st, testPrefix+"1", "ready", store.NoLease)
		time.Sleep(readBound)
		before := st.Calls()
		st.Restore(earlier)
		put(t, st, testPrefix+"1", "draining", store.NoLease)
		time.Sleep(readBound)
		for _, node := range network.nodes {
			is.Equal(serverIDs(node.registry), "0")
		}
		time.Sleep(time.Minute)
		lists := st.Calls()[memstore.OpList] - before[memstore.OpList]
		const readers, prefixes = 2, 2
		is.True(lists <= 2*readers*prefixes) // none by the other nodes
	})
}
