package configsync_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/configsync"
	"github.com/figweir/figweir/membership"
	"github.com/figweir/figweir/peer"
	"github.com/figweir/figweir/standin/memnet"
	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

const secret = "shared secret of the test deployment"

// cluster connects the nodes of a test in process through the real handlers and
// clients of package peer, and injects faults between them.
type cluster struct {
	store   *memstore.Store
	network *memnet.Network

	mu            sync.Mutex
	rng           *rand.Rand
	nodes         map[string]*node // by VM name
	byAddress     map[string]*node
	vmLists       []vmListVersion // history of the platform's list, oldest first
	partitionSide map[string]int  // side of the network partition, by VM name
	storeCut      map[string]bool // cut off from the store, by VM name
	storeDown     bool
	messageLoss   float64 // probability that a request or a reply is lost
	storeLoss     float64 // probability that a response of the store is lost
	maxDelay      time.Duration
}

// vmListVersion is one version of the platform's list.
type vmListVersion struct {
	publishedAt time.Time
	vms         []membership.VM
}

// node is one VM. Its process can be stopped and started again.
type node struct {
	vm      membership.VM
	cluster *cluster
	listLag time.Duration // delay with which this node sees the platform's list
	rule    func(configsync.Evidence, time.Duration) configsync.ServingState
	process atomic.Pointer[process]
}

// process is a running node process.
type process struct {
	members *membership.Membership
	sync    *configsync.Sync
	mux     *http.ServeMux
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

func newCluster(seed uint64) *cluster {
	c := &cluster{
		store: memstore.New(), network: memnet.New(seed), rng: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*node),
		byAddress: make(map[string]*node), partitionSide: make(map[string]int), storeCut: make(map[string]bool),
	}
	c.store.SetFault(func(memstore.Op, string) memstore.Fault {
		c.mu.Lock()
		defer c.mu.Unlock()
		return memstore.Fault{Refuse: c.storeDown, LoseAnswer: c.rng.Float64() < c.storeLoss}
	})
	return c
}

// addNode adds a VM. publishVMList puts it on the list, start starts its process.
func (c *cluster) addNode(name, domain string) *node {
	c.mu.Lock()
	i := len(c.byAddress)
	n := &node{vm: membership.VM{Name: name, Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), FailureDomain: domain}, cluster: c}
	c.nodes[name] = n
	c.byAddress[n.vm.Address] = n
	c.mu.Unlock()
	return n
}

// publishVMList makes the current set of VMs the platform's list.
func (c *cluster) publishVMList() {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := vmListVersion{publishedAt: time.Now()}
	for _, n := range c.nodes {
		l.vms = append(l.vms, n.vm)
	}
	c.vmLists = append(c.vmLists, l)
}

func (c *cluster) names() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name := range c.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// VMs implements membership.Lister with the list lag of this node.
func (n *node) VMs(context.Context) ([]membership.VM, error) {
	c := n.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.vmLists) - 1; i > 0; i-- {
		if time.Since(c.vmLists[i].publishedAt) >= n.listLag {
			return c.vmLists[i].vms, nil
		}
	}
	return c.vmLists[0].vms, nil
}

var testMembership = membership.Settings{ListLag: 5 * time.Second}

func (n *node) start() {
	auth := peer.NewAuth(secret)
	client := n.cluster.network.Client(n.vm.Address)
	settings := testMembership
	settings.Self = n.vm
	p := &process{mux: http.NewServeMux()}
	p.members = membership.New(settings, n, peer.NewMembershipClient(client, auth), logr.Discard())
	p.sync = configsync.New(configsync.Settings{}, p.members, memnet.PartitionedStore{Store: n.cluster.store.NewClient(), Partitioned: n.isCutFromStore}, config.NewCurrentSnapshot(),
		peer.NewConfigClient(client, auth), logr.Discard())
	if n.rule != nil {
		p.sync.SetRule(n.rule)
	}
	p.mux.Handle(peer.NewMembershipHandler(p.members, auth))
	p.mux.Handle(peer.NewConfigHandler(p.sync, auth))
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.wg.Go(func() { p.members.Run(ctx) })
	p.wg.Go(func() { p.sync.Run(ctx) })
	n.process.Store(p)
	n.cluster.network.Listen(n.vm.Address, p.mux)
}

func (n *node) stop() {
	n.cluster.network.Listen(n.vm.Address, nil)
	if p := n.process.Swap(nil); p != nil {
		p.cancel()
		p.wg.Wait()
	}
}

func (c *cluster) stop() {
	c.mu.Lock()
	all := make([]*node, 0, len(c.byAddress))
	for _, n := range c.byAddress {
		all = append(all, n)
	}
	c.mu.Unlock()
	for _, n := range all {
		n.stop()
	}
}

// heal ends all faults except stopped processes.
func (c *cluster) heal() {
	c.setFaults(func() {
		c.partitionSide, c.storeCut = make(map[string]int), make(map[string]bool)
		c.storeDown, c.messageLoss, c.storeLoss, c.maxDelay = false, 0, 0, 0
	})
}

// applyNetworkFaults sets the faults of the network to those of the cluster.
func (c *cluster) applyNetworkFaults() {
	side := make(map[string]int)
	for _, n := range c.byAddress {
		side[n.vm.Address] = c.partitionSide[n.vm.Name]
	}
	c.network.SetFaults(memnet.Faults{LossRate: c.messageLoss, MaxDelay: c.maxDelay, PartitionSide: side})
}

// setFaults calls change, which sets fault fields, under the lock and applies
// the result to the network.
func (c *cluster) setFaults(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	c.applyNetworkFaults()
}

// isCutFromStore reports whether the node is cut off from the store.
func (n *node) isCutFromStore() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.storeCut[n.vm.Name]
}

// testKey returns the i-th key of the test document.
func testKey(i int) string { return fmt.Sprintf("fw_k%d_00", i) }

var keySecret = []byte("key secret")

// testDocument returns a document with one workspace that has the given number
// of keys, none of them withdrawn.
func testDocument(keys int) *config.Document {
	w := config.Workspace{Name: "laugavegur", Weight: 1}
	for i := range keys {
		w.Keys = append(w.Keys, config.Key{ID: fmt.Sprintf("k%d", i), Digest: config.DigestKey(testKey(i), keySecret)})
	}
	return &config.Document{
		Objectives: config.Objectives{FirstTokenSeconds: 0.54, BetweenTokensSeconds: 0.03, TargetRatio: 0.95},
		Pools:      []config.Pool{{Name: "saumur-lm", Kind: config.KindEngine, Models: []string{"hem"}, KVBlocks: 4000, KVBlockTokens: 16}},
		Workspaces: []config.Workspace{w},
	}
}

// deploy stores a document, starts n nodes spread over the failure domains and
// waits until they are fresh.
func (c *cluster) deploy(n, domains int, document *config.Document) {
	if _, err := config.NewRepository(c.store).Apply(context.Background(), document, 0, "init"); err != nil {
		panic(err)
	}
	for i := range n {
		c.addNode(fmt.Sprintf("vm%03d", i), fmt.Sprintf("fd%02d", i%domains))
	}
	c.publishVMList()
	for _, name := range c.names() {
		c.nodes[name].start()
	}
	time.Sleep(5 * time.Second)
}

// withdrawKey applies an operator's change through a node. The change withdraws
// the i-th key of the document d, which was read at revision base.
func withdrawKey(p *process, d *config.Document, base store.Revision, i int, author string) (configsync.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	changed := *d
	changed.Workspaces = slices.Clone(d.Workspaces)
	w := &changed.Workspaces[0]
	w.Keys = slices.Clone(w.Keys)
	w.Keys[i%len(w.Keys)].Withdrawn = true
	return p.sync.Apply(ctx, &changed, base, author)
}
