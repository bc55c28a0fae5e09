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

// fabric connects the nodes of a test through the real handlers and clients of
// package peer, in process, and injects faults between them.
type fabric struct {
	mem *memstore.Store
	net *memnet.Network

	mu        sync.Mutex
	rng       *rand.Rand
	nodes     map[string]*node // by VM name
	byAddress map[string]*node
	lists     []listed // history of the platform's list, oldest first
	group     map[string]int
	storeCut  map[string]bool
	storeDown bool
	lossRate  float64 // of requests and of replies
	storeLoss float64 // of answers of the store
	maxDelay  time.Duration
}

type listed struct {
	at  time.Time
	vms []membership.VM
}

// node is one VM; its process can be stopped and started again.
type node struct {
	vm      membership.VM
	fabric  *fabric
	lag     time.Duration // of the platform's list as this node sees it
	rule    func(configsync.Evidence, time.Duration) configsync.Verdict
	process atomic.Pointer[process]
}

type process struct {
	members *membership.Membership
	sync    *configsync.Sync
	mux     *http.ServeMux
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

func newFabric(seed uint64) *fabric {
	f := &fabric{
		mem: memstore.New(), net: memnet.New(seed), rng: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*node),
		byAddress: make(map[string]*node), group: make(map[string]int), storeCut: make(map[string]bool),
	}
	f.mem.SetFault(func(memstore.Op, string) memstore.Fault {
		f.mu.Lock()
		defer f.mu.Unlock()
		return memstore.Fault{Refuse: f.storeDown, LoseAnswer: f.rng.Float64() < f.storeLoss}
	})
	return f
}

// add lists a VM and starts its process.
func (f *fabric) add(name, domain string) *node {
	f.mu.Lock()
	i := len(f.byAddress)
	n := &node{vm: membership.VM{Name: name, Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), FailureDomain: domain}, fabric: f}
	f.nodes[name] = n
	f.byAddress[n.vm.Address] = n
	f.mu.Unlock()
	return n
}

// publish makes the present set of VMs the platform's list.
func (f *fabric) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := listed{at: time.Now()}
	for _, n := range f.nodes {
		l.vms = append(l.vms, n.vm)
	}
	f.lists = append(f.lists, l)
}

func (f *fabric) names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// VMs implements membership.Lister with the lag of this node.
func (n *node) VMs(context.Context) ([]membership.VM, error) {
	f := n.fabric
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.lists) - 1; i > 0; i-- {
		if time.Since(f.lists[i].at) >= n.lag {
			return f.lists[i].vms, nil
		}
	}
	return f.lists[0].vms, nil
}

var testMembership = membership.Settings{ListLag: 5 * time.Second}

func (n *node) start() {
	auth := peer.NewAuth(secret)
	client := n.fabric.net.Client(n.vm.Address)
	settings := testMembership
	settings.Self = n.vm
	p := &process{mux: http.NewServeMux()}
	p.members = membership.New(settings, n, peer.NewMembershipClient(client, auth), logr.Discard())
	p.sync = configsync.New(configsync.Settings{}, p.members, memnet.CutStore{Store: n.fabric.mem, Cut: n.storeIsCut}, config.NewHolder(),
		peer.NewConfigClient(client, auth), logr.Discard())
	if n.rule != nil {
		p.sync.SetRule(n.rule)
	}
	p.mux.Handle(peer.NewMembershipHandler(p.members, auth))
	p.mux.Handle(peer.NewConfigHandler(p.sync, auth))
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.done.Go(func() { p.members.Run(ctx) })
	p.done.Go(func() { p.sync.Run(ctx) })
	n.process.Store(p)
	n.fabric.net.Listen(n.vm.Address, p.mux)
}

func (n *node) stop() {
	n.fabric.net.Listen(n.vm.Address, nil)
	if p := n.process.Swap(nil); p != nil {
		p.cancel()
		p.done.Wait()
	}
}

func (f *fabric) stop() {
	f.mu.Lock()
	all := make([]*node, 0, len(f.byAddress))
	for _, n := range f.byAddress {
		all = append(all, n)
	}
	f.mu.Unlock()
	for _, n := range all {
		n.stop()
	}
}

// heal ends every fault but stopped processes.
func (f *fabric) heal() {
	f.change(func() {
		f.group, f.storeCut = make(map[string]int), make(map[string]bool)
		f.storeDown, f.lossRate, f.storeLoss, f.maxDelay = false, 0, 0, 0
	})
}

// setNetwork replaces the network's faults with those of the fabric.
func (f *fabric) setNetwork() {
	side := make(map[string]int)
	for _, n := range f.byAddress {
		side[n.vm.Address] = f.group[n.vm.Name]
	}
	f.net.SetFaults(memnet.Faults{Loss: f.lossRate, MaxDelay: f.maxDelay, Side: side})
}

// change changes the faults.
func (f *fabric) change(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.setNetwork()
}

// storeIsCut reports whether the node is cut off from the store.
func (n *node) storeIsCut() bool {
	n.fabric.mu.Lock()
	defer n.fabric.mu.Unlock()
	return n.fabric.storeCut[n.vm.Name]
}

// testKey returns the i-th key of the test document.
func testKey(i int) string { return fmt.Sprintf("fw_k%d_00", i) }

var keySecret = []byte("key secret")

// testDocument has one workspace with as many keys, none withdrawn.
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

// deploy stores a document, starts n nodes over the failure domains and waits
// until they are fresh.
func (f *fabric) deploy(n, domains int, document *config.Document) {
	if _, err := config.NewRepository(f.mem).Apply(context.Background(), document, 0, "init"); err != nil {
		panic(err)
	}
	for i := range n {
		f.add(fmt.Sprintf("vm%03d", i), fmt.Sprintf("fd%02d", i%domains))
	}
	f.publish()
	for _, name := range f.names() {
		f.nodes[name].start()
	}
	time.Sleep(5 * time.Second)
}

// withdraw makes an operator's change through a node: it withdraws the i-th key
// from the document that was read at base.
func withdraw(p *process, d *config.Document, base store.Revision, i int, author string) (configsync.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	changed := *d
	changed.Workspaces = slices.Clone(d.Workspaces)
	w := &changed.Workspaces[0]
	w.Keys = slices.Clone(w.Keys)
	w.Keys[i%len(w.Keys)].Withdrawn = true
	return p.sync.Apply(ctx, &changed, base, author)
}
