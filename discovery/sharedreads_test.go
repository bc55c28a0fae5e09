package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

// readBound is the time within which a change must be read in these tests.
const readBound = 4 * time.Second

// testLatency is the latency of each call to the store in these tests.
const testLatency = 4 * time.Millisecond

// mirrorNetwork connects nodes in one process.
type mirrorNetwork struct {
	nodes map[string]*testReader
}

// testReader is one node with its own path to the store.
type testReader struct {
	*SharedReads
	path *unresponsiveStore
	// dead is set for a node that never answers.
	dead     atomic.Bool
	servers  *Servers
	registry *backends.Registry
	// becomesReader is set for a node that reads the store itself from now on.
	becomesReader atomic.Bool
}

func (n *mirrorNetwork) call(ctx context.Context, address string) (*testReader, error) {
	node := n.nodes[address]
	if node.dead.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return node, nil
}

func (n *mirrorNetwork) ListMirror(ctx context.Context, address, prefix string, minRevision store.Revision) ([]store.Entry, store.Revision, error) {
	node, err := n.call(ctx, address)
	if err != nil {
		return nil, 0, err
	}
	return node.ListMirrored(prefix, minRevision)
}

func (n *mirrorNetwork) WatchMirror(ctx context.Context, address, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	node, err := n.call(ctx, address)
	if err != nil {
		return nil, 0, err
	}
	return node.WatchMirrored(ctx, prefix, after, wait)
}

// runReaders runs two readers, r0 and r1, and a number of nodes that use them, n0 and so
// on, on one in-memory store, in virtual time.
func runReaders(t *testing.T, nodeCount int, run func(t *testing.T, st *memstore.Store, network *mirrorNetwork)) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New()
		network := &mirrorNetwork{nodes: make(map[string]*testReader)}
		// The boot clock is not virtual.
		start := time.Now()
		now := func() time.Duration { return time.Since(start) + time.Hour }
		ctx, cancel := context.WithCancel(t.Context())
		addNode := func(name string, readers func() []string) {
			path := &unresponsiveStore{Store: st.NewClient(), losesWatches: true}
			path.latency.Store(int64(testLatency))
			heartbeats := NewHeartbeatStore(path, func() store.LeaseID { return store.NoLease }, readBound, func() time.Duration { return readBound / 8 })
			heartbeats.now = now
			node := &testReader{path: path, registry: backends.NewRegistry()}
			currentReaders := func() []string {
				if node.becomesReader.Load() {
					return nil
				}
				return readers()
			}
			node.SharedReads = NewSharedReads(heartbeats, network, currentReaders, heartbeats.ResponseAge, readBound, logr.Discard())
			node.SharedReads.now = now
			node.servers = NewServers(node.registry, testPrefix, decodeTest, constantDelay(readBound/20), readBound, logr.Discard())
			node.servers.now = now
			network.nodes[name] = node
			go heartbeats.Run(ctx)
			go node.servers.Run(ctx, node.SharedReads, func() {})
			// A second prefix, as nodes read several.
			others := NewServers(backends.NewRegistry(), "other/", decodeTest, constantDelay(readBound/20), readBound, logr.Discard())
			others.now = now
			go others.Run(ctx, node.SharedReads, func() {})
		}
		addNode("r0", func() []string { return nil })
		addNode("r1", func() []string { return nil })
		for i := range nodeCount {
			readers := []string{"r0", "r1"}
			// Nodes learn of the readers after their first read of the store.
			learned := time.Now().Add(time.Second)
			addNode(fmt.Sprintf("n%d", i), func() []string {
				if time.Now().Before(learned) {
					return nil
				}
				return readers
			})
		}
		put(t, st, testPrefix+"0", "ready", store.NoLease)
		time.Sleep(30 * time.Second)
		run(t, st, network)
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestStoreCallsDoNotGrowWithNodes answers frequent changes of registrations in a fleet
// of hundreds of nodes. It guards against calls to the store that are as many as nodes
// times changes.
func TestStoreCallsDoNotGrowWithNodes(t *testing.T) {
	runReaders(t, 40, func(t *testing.T, st *memstore.Store, network *mirrorNetwork) {
		is := is.New(t)
		before := st.Calls()
		const changes = 20
		for i := range changes {
			put(t, st, testPrefix+"1", map[bool]string{true: "ready", false: "draining"}[i%2 == 1], store.NoLease)
			time.Sleep(time.Second)
		}
		after := st.Calls()
		is.True(after[memstore.OpWatch]-before[memstore.OpWatch] <= 2*(changes+1)) // two readers
		is.Equal(after[memstore.OpList], before[memstore.OpList])
		for _, node := range network.nodes {
			is.Equal(serverIDs(node.registry), "0,1")
		}
	})
}

// TestChangeIsReadAlthoughReaderFails guards against nodes that miss the draining of a
// backend server because the node that reads the store for them lost the store, froze or
// was cut off, at any moment before or after the change.
func TestChangeIsReadAlthoughReaderFails(t *testing.T) {
	failures := map[string]func(network *mirrorNetwork){
		"one reader lost the store": func(n *mirrorNetwork) { n.nodes["r0"].path.lose() },
		"both readers lost the store": func(n *mirrorNetwork) {
			n.nodes["r0"].path.lose()
			n.nodes["r1"].path.lose()
		},
		"one reader silent": func(n *mirrorNetwork) { n.nodes["r0"].dead.Store(true) },
		"both readers silent": func(n *mirrorNetwork) {
			n.nodes["r0"].dead.Store(true)
			n.nodes["r1"].dead.Store(true)
		},
	}
	for name, fail := range failures {
		for offset := time.Duration(0); offset < 2*time.Second; offset += 190 * time.Millisecond {
			t.Run(fmt.Sprintf("%s %v", name, offset), func(t *testing.T) {
				runReaders(t, 2, func(t *testing.T, st *memstore.Store, network *mirrorNetwork) {
					is := is.New(t)
					time.Sleep(offset)
					fail(network)
					time.Sleep(50 * time.Millisecond)
					put(t, st, testPrefix+"0", "draining", store.NoLease)
					time.Sleep(readBound)
					is.Equal(serverIDs(network.nodes["n0"].registry), "")
					is.Equal(serverIDs(network.nodes["n1"].registry), "")
				})
			})
		}
	}
}

// lose cuts the path to the store: calls and pending watches are never answered.
func (s *unresponsiveStore) lose() {
	s.outages.Add(1)
	s.unresponsive.Store(true)
}

// TestNodeThatBecomesReaderServesOthers guards against a node that is chosen as a reader
// after others have left, but never gets a mirror because it only watches on.
func TestNodeThatBecomesReaderServesOthers(t *testing.T) {
	runReaders(t, 1, func(t *testing.T, _ *memstore.Store, network *mirrorNetwork) {
		is := is.New(t)
		node := network.nodes["n0"]
		_, _, err := node.ListMirrored(testPrefix, 0)
		is.True(errors.Is(err, ErrMirrorStale))
		node.becomesReader.Store(true)
		time.Sleep(readBound)
		entries, _, err := node.ListMirrored(testPrefix, 0)
		is.NoErr(err)
		is.Equal(len(entries), 1)
	})
}

// TestOlderMirrorIsNotListed guards against a node that goes back to an older state when
// it changes to a reader that has read less.
func TestOlderMirrorIsNotListed(t *testing.T) {
	is := is.New(t)
	m := newMirror()
	m.reset([]store.Entry{{Key: "a", Revision: 3}}, 7)
	_, _, err := m.list(8)
	is.True(errors.Is(err, ErrMirrorStale))
	_, at, err := m.list(7)
	is.NoErr(err)
	is.Equal(at, store.Revision(7))
	// A watch from a later revision waits instead of returning old changes.
	m.apply([]store.Event{{Entry: store.Entry{Key: "a", Revision: 9}}}, 7, 9)
	events, at, err := m.watch(t.Context(), 12, 0)
	is.NoErr(err)
	is.Equal(len(events), 0)
	is.Equal(at, store.Revision(12))
}

// TestMirrorWithGapIsStale guards against a mirror that serves a copy in which changes
// are missing.
func TestMirrorWithGapIsStale(t *testing.T) {
	is := is.New(t)
	m := newMirror()
	m.reset(nil, 5)
	_, _, err := m.watch(t.Context(), 4, 0)
	is.True(errors.Is(err, store.ErrCompacted)) // changes up to the list are unknown
	m.apply([]store.Event{{Entry: store.Entry{Key: "a", Revision: 9}}}, 8, 9)
	_, _, err = m.watch(t.Context(), 5, 0)
	is.True(errors.Is(err, ErrMirrorStale))
	m.reset(nil, 10)
	for i := range store.Revision(maxMirrorHistory + 5) {
		m.apply([]store.Event{{Entry: store.Entry{Key: "a", Revision: 11 + i}}}, 10+i, 11+i)
	}
	_, _, err = m.watch(t.Context(), 10, 0)
	is.True(errors.Is(err, store.ErrCompacted)) // discarded changes are not skipped silently
	events, _, err := m.watch(t.Context(), 15, 0)
	is.NoErr(err)
	is.Equal(len(events), maxMirrorHistory)
}

// TestMirrorHistoryIsBoundedInBytes guards against a reader that keeps every version of a
// configuration of hundreds of kilobytes until its memory is exhausted.
func TestMirrorHistoryIsBoundedInBytes(t *testing.T) {
	is := is.New(t)
	m := newMirror()
	m.reset(nil, 0)
	const versions, size = 50, 400 << 10
	for i := range store.Revision(versions) {
		m.apply([]store.Event{{Entry: store.Entry{Key: "config", Value: make([]byte, size), Revision: i + 1}}}, i, i+1)
	}
	is.True(len(m.history)*size <= maxMirrorHistoryBytes)
	_, _, err := m.watch(t.Context(), 1, 0)
	is.True(errors.Is(err, store.ErrCompacted))
	events, _, err := m.watch(t.Context(), versions-1, 0)
	is.NoErr(err)
	is.Equal(len(events), 1)
}

// TestReadersAreAgreed guards against nodes of a failure domain that choose different
// readers, or readers with little CPU, and against readers that use each other.
func TestReadersAreAgreed(t *testing.T) {
	is := is.New(t)
	var nodes []Node
	for i := range 24 {
		name := fmt.Sprintf("node-%02d", i)
		cpu := 0.2
		if i < 6 {
			cpu = 0.8
		}
		nodes = append(nodes, Node{Name: name, FailureDomain: fmt.Sprintf("z%d", i%2), RPCAddress: name + ":1", CPU: cpu})
	}
	readers := chooseReaders(nodes, "z0")
	is.Equal(len(readers), readersPerFailureDomain)
	for _, self := range nodes {
		n := NewNodes(self, logr.Discard())
		n.ordered = nodes
		used := n.Readers()
		if self.FailureDomain != "z0" {
			continue
		}
		if self.Name == readers[0].Name || self.Name == readers[1].Name {
			is.Equal(len(used), 0)
			is.True(n.IsReader())
			is.Equal(self.CPU, 0.8)
			continue
		}
		is.Equal(len(used), readersPerFailureDomain)
		is.True(used[0] == readers[0].RPCAddress || used[1] == readers[0].RPCAddress)
	}
	is.Equal(len(chooseReaders(nodes[:2*minNodesForReaders-2], "z0")), 0) // few nodes read by themselves
}

// TestMirrorIsStaleSoonAfterStoreIsLost guards against a reader that tells other nodes
// that nothing has changed although it no longer reaches the store.
func TestMirrorIsStaleSoonAfterStoreIsLost(t *testing.T) {
	runReaders(t, 0, func(t *testing.T, _ *memstore.Store, network *mirrorNetwork) {
		is := is.New(t)
		reader := network.nodes["r0"]
		_, _, err := reader.ListMirrored(testPrefix, 0)
		is.NoErr(err)
		reader.path.lose()
		// A call that is on its way may still be answered.
		time.Sleep(testLatency + reader.fractionOfBound(maxMirrorAgeFraction) + time.Millisecond)
		_, _, err = reader.WatchMirrored(t.Context(), testPrefix, 100, 0)
		is.True(errors.Is(err, ErrMirrorStale))
	})
}

// TestNodesDoNotFloodAFailingStore guards against calls of hundreds of nodes that add up
// while the store fails, and against nodes that then stay without a reader.
func TestNodesDoNotFloodAFailingStore(t *testing.T) {
	runReaders(t, 20, func(t *testing.T, st *memstore.Store, network *mirrorNetwork) {
		is := is.New(t)
		node := network.nodes["n0"]
		before := node.path.reads.Load()
		st.SetFault(func(memstore.Op, string) memstore.Fault { return memstore.Fault{Refuse: true} })
		const outage = 6 * time.Second
		time.Sleep(outage)
		intervals := int64(outage / node.fractionOfBound(storeRetryFraction))
		is.True(node.path.reads.Load()-before <= intervals+1) // whatever the number of prefixes
		st.SetFault(nil)
		time.Sleep(readBound)
		for name, node := range network.nodes {
			is.Equal(node.ViaReader(testPrefix), name[0] == 'n')
		}
	})
}
