package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

// TestNodesRegisterAgainAfterRestore answers a restore in a fleet of hundreds of nodes. It guards
// against nodes that are missing from the list until their old lease would have run out, and
// against a write by each node in the same moment. The load: 195 nodes that renew in step.
func TestNodesRegisterAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memstore.New()
		ctx, cancel := context.WithCancel(context.Background())
		const nodes = 195
		var group sync.WaitGroup
		for i := range nodes {
			n := NewNodes(Node{Name: fmt.Sprintf("n%d", i), RPCAddress: "a:1"}, logr.Discard())
			group.Go(func() { n.Announce(ctx, st.NewClient()) })
		}
		reader := NewNodes(Node{Name: "n0", RPCAddress: "a:1"}, logr.Discard())
		start := time.Now()
		reader.now = func() time.Duration { return time.Since(start) + time.Hour }
		group.Go(func() { reader.Follow(ctx, st.NewClient(), func() {}) })
		time.Sleep(10 * time.Second)
		is.Equal(reader.Count(), nodes)
		st.Restore(nil)
		const step = 100 * time.Millisecond
		last, most := st.Calls()[memstore.OpPut], 0
		for range 100 {
			time.Sleep(step)
			is.Equal(reader.Count(), nodes) // no gap
			puts := st.Calls()[memstore.OpPut]
			most, last = max(most, puts-last), puts
		}
		is.True(most <= nodes/4) // spread over more than a moment
		entries, _, err := st.List(ctx, nodesPrefix)
		is.NoErr(err)
		is.Equal(len(entries), nodes)
		cancel()
		group.Wait()
		time.Sleep(time.Hour) // all timers of leases end
	})
}

// TestEntryUnderAnotherLeaseNamesNoNode guards against a dead node that stays listed because the
// number of its lease belongs to another process now.
func TestEntryUnderAnotherLeaseNamesNoNode(t *testing.T) {
	is := is.New(t)
	n := NewNodes(Node{Name: "a"}, logr.Discard())
	lease := store.LeaseID{Era: 1, Number: 7}
	raw, err := json.Marshal(Node{Name: "b", RPCAddress: "b:1", Lease: &lease})
	is.NoErr(err)
	entry := store.Entry{Key: nodesPrefix + "b", Value: raw, Lease: store.LeaseID{Era: 2, Number: 7}}
	n.reset([]store.Entry{entry}, 5, false)
	is.Equal(n.Count(), 1)
	entry.Lease = lease
	n.reset([]store.Entry{entry}, 6, false)
	is.Equal(n.Count(), 2)
}

// TestOddNodeEntriesNameNoNode guards against an entry of another writer that replaces a node's
// addresses, is called, or decides which nodes read the store. The load: sound entries among odd
// ones.
func TestOddNodeEntriesNameNoNode(t *testing.T) {
	is := is.New(t)
	n := NewNodes(Node{Name: "a"}, logr.Discard())
	entries := []store.Entry{nodeEntry(t, "b")}
	for _, raw := range []string{
		`{"name":"b","peers":"evil:1"}`, `{"name":"x","cpu":1e300}`, `{"name":"x","cpu":-1}`, `{"name":"x","peers":"h:99999"}`,
		`{"name":"x","load":"h:0"}`, `{"name":"x","load":":5"}`, `{"name":7}`, `{}`, `null`, ``, `[`,
	} {
		entries = append(entries, store.Entry{Key: nodesPrefix + "x", Value: []byte(raw)})
	}
	entries = append(entries, nodeEntry(t, "c"))
	n.reset(entries, 5, false)
	is.Equal(n.PeerAddresses()[0][1:], ":1")
	is.Equal(n.Count(), 3)
	is.Equal(len(n.LoadAddresses()), 2)
}
