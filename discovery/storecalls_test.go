package discovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
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

// callCounter counts the calls of all nodes to the store by operation, prefix and phase.
type callCounter struct {
	mu    sync.Mutex
	phase string
	calls map[string]int
}

func (c *callCounter) add(op, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[fmt.Sprintf("%-9s %-6s %s", c.phase, op, key)]++
}

func (c *callCounter) setPhase(phase string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phase
}

// countedStore is the path of one node to the store.
type countedStore struct {
	*memstore.Store
	counter *callCounter
	// rejected makes the store reject the calls of this node.
	rejected atomic.Bool
}

func (s *countedStore) begin(op, key string) error {
	s.counter.add(op, key)
	time.Sleep(testLatency)
	if s.rejected.Load() {
		return store.ErrUnavailable
	}
	return nil
}

func (s *countedStore) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	if err := s.begin("list", prefix); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, prefix)
}

// Watch counts when it returns an answer.
func (s *countedStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	if s.rejected.Load() {
		return nil, 0, s.begin("watch", prefix)
	}
	events, at, err := s.Store.Watch(ctx, prefix, after, wait)
	if ctx.Err() == nil {
		s.counter.add("watch", prefix)
	}
	return events, at, err
}

func (s *countedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.begin("get", "nodes"); err != nil {
		return store.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *countedStore) Put(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	if err := s.begin("put", "nodes"); err != nil {
		return 0, err
	}
	return s.Store.Put(ctx, key, value, expected, lease)
}

func (s *countedStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := s.begin("grant", "nodes"); err != nil {
		return store.NoLease, err
	}
	return s.Store.Grant(ctx, ttl)
}

func (s *countedStore) Renew(ctx context.Context, lease store.LeaseID) error {
	if err := s.begin("renew", ""); err != nil {
		return err
	}
	return s.Store.Renew(ctx, lease)
}

// countedNode is one node of the simulated deployment.
type countedNode struct{ *SharedReads }

// countedNetwork answers calls between the nodes.
type countedNetwork struct{ nodes map[string]*countedNode }

func (n *countedNetwork) ListMirror(_ context.Context, address, prefix string, minRevision store.Revision) ([]store.Entry, store.Revision, error) {
	time.Sleep(testLatency)
	return n.nodes[address].ListMirrored(prefix, minRevision)
}

func (n *countedNetwork) WatchMirror(ctx context.Context, address, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	time.Sleep(testLatency)
	return n.nodes[address].WatchMirrored(ctx, prefix, after, wait)
}

const nodeCount = 87

// runDay plays 56 s of a deployment of 87 nodes in four failure domains: the start, role
// changes and orders of 60 servers, and a store that rejects a third of the nodes for 9 s.
func runDay(t *testing.T, counter *callCounter) {
	const bound, drainBound = 3 * time.Second, 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New()
		network := &countedNetwork{nodes: make(map[string]*countedNode)}
		start := time.Now()
		now := func() time.Duration { return time.Since(start) + time.Hour }
		ctx, cancel := context.WithCancel(t.Context())
		random := rand.New(rand.NewPCG(1, 2))
		var paths []*countedStore
		for i := range nodeCount {
			address := fmt.Sprintf("127.0.0.1:%d", 10000+i)
			path := &countedStore{Store: st.NewClient(), counter: counter}
			paths = append(paths, path)
			nodes := NewNodes(Node{Name: fmt.Sprintf("node-%d", i), FailureDomain: string(rune('a' + i%4)), RPCAddress: address, CPU: 0.2 + 0.6*random.Float64()}, logr.Discard())
			nodes.now = now
			heartbeats := NewHeartbeatStore(path, nodes.Lease, bound, func() time.Duration {
				if nodes.IsReader() {
					return bound / 8
				}
				return bound / 2
			})
			heartbeats.now = now
			reads := NewSharedReads(heartbeats, network, nodes.Readers, heartbeats.ResponseAge, bound, logr.Discard())
			reads.now = now
			network.nodes[address] = &countedNode{reads}
			servers := NewServers(backends.NewRegistry(), "servers/", decodeTest, func() time.Duration {
				switch {
				case nodes.IsReader():
					return drainBound / 10
				case reads.ViaReader("servers/"):
					return drainBound / 100
				}
				return drainBound * 35 / 100
			}, drainBound, logr.Discard())
			servers.now = now
			duty := NewHolder("duty/platform", func(store.Entry) (string, error) { return "a", nil }, logr.Discard())
			// The configuration is followed like the holder of a duty.
			config := NewHolder("config", func(store.Entry) (string, error) { return "a", nil }, logr.Discard())
			config.follower.bound, config.follower.batchDelay = bound, constantDelay(configBatchDelay)
			delay := time.Duration(random.Int64N(int64(1500 * time.Millisecond)))
			go func() {
				time.Sleep(delay)
				go heartbeats.Run(ctx)
				go nodes.Announce(ctx, path)
				go nodes.Follow(ctx, reads, func() {})
				go servers.Run(ctx, reads, func() {})
				go duty.Run(ctx, reads, func() {})
				config.Run(ctx, reads, func() {})
			}()
		}
		writer := st.NewClient()
		put := func(key string, n int) {
			e, _ := writer.Get(ctx, key)
			_, _ = writer.Put(ctx, key, fmt.Append(nil, n), e.Revision, store.NoLease)
		}
		counter.setPhase("start")
		put("config", 1)
		for tick := range 560 {
			at := time.Duration(tick) * 100 * time.Millisecond
			switch {
			case at < 2*time.Second:
				for i := range 3 {
					put(fmt.Sprintf("servers/%d", (tick*3+i)%60), tick)
				}
			case at == 7*time.Second:
				counter.setPhase("running")
				put("duty/platform", 1)
			case at > 7*time.Second && tick%28 < 8:
				put(fmt.Sprintf("servers/%d", tick%60), tick)
			case tick%130 == 0:
				put("config", tick)
			}
			switch at {
			case 30 * time.Second:
				counter.setPhase("rejected")
				for i := range nodeCount / 3 {
					paths[i].rejected.Store(true)
				}
			case 39 * time.Second:
				for i := range nodeCount {
					paths[i].rejected.Store(false)
				}
				counter.setPhase("after")
			}
			time.Sleep(100 * time.Millisecond)
		}
		counter.setPhase("stop")
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
	})
}

// TestStoreCallsOfDay guards against reads of the platform's store that return nothing new: a node that
// registers has no earlier entry. Each call costs the operator; a renewal counts a tenth.
func TestStoreCallsOfDay(t *testing.T) {
	is := is.New(t)
	counter := &callCounter{calls: make(map[string]int)}
	runDay(t, counter)
	lines := make([]string, 0, len(counter.calls))
	cost := 0.0
	for line, n := range counter.calls {
		lines = append(lines, fmt.Sprintf("%s %d", line, n))
		if strings.Contains(line, " renew ") {
			cost += float64(n) / 10
		} else {
			cost += float64(n)
		}
	}
	sort.Strings(lines)
	t.Logf("cost %.0f\n%s", cost, strings.Join(lines, "\n"))
	for line, n := range counter.calls {
		// Each node reads its entry once, when it removes it at the end.
		is.True(!strings.Contains(line, " get ") || strings.HasPrefix(line, "stop") && n <= nodeCount)
	}
}
