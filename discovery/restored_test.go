package discovery

import (
	"context"
	"testing"
	"time"

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
