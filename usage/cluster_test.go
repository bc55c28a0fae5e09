package usage

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"reflect"
	"sync"
	"time"

	"pgregory.net/rapid"

	"github.com/figweir/figweir/billing"
	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

func init() {
	// Use the same cases on every run. Command-line flags override this.
	_ = flag.Set("rapid.seed", "20260204")
	_ = flag.Set("rapid.checks", "400")
}

const (
	testWindow  = 10 * time.Second
	testGrace   = 2 * time.Second
	testShards  = 2
	testSlots   = 5
	testDomains = 3
)

var errUnreachable = errors.New("test: peer is unreachable")

// processKilled is the panic value that stops an owner process in the middle of
// a call.
type processKilled struct{}

// testNode is one incarnation of a node.
type testNode struct {
	ledger   *Ledger
	recorder *Recorder
}

// holdsTotalsOf reports whether the node has a total of an incarnation.
func (n *testNode) holdsTotalsOf(incarnation string) bool {
	for key := range n.ledger.entries {
		if key.incarnation == incarnation {
			return true
		}
	}
	return false
}

// copies returns the number of nodes that have the incarnation's total of the
// workspace.
func (c *testCluster) copies(incarnation, workspace string) (n int) {
	for _, node := range c.nodes {
		node.ledger.mu.Lock()
		for e := node.ledger.own.Back(); e != nil; e = e.Prev() {
			if e.Value.(*ledgerEntry).workspace == workspace {
				n++
				break
			}
		}
		for e := node.ledger.others.Back(); e != nil; e = e.Prev() {
			if key := e.Value.(*ledgerEntry).ledgerKey; key.workspace == workspace && key.incarnation == incarnation {
				n++
				break
			}
		}
		node.ledger.mu.Unlock()
	}
	return n
}

// testCluster is a set of nodes, two processes that may own the shards, a store
// and billing. Everything runs in one goroutine, except for parallel sends.
type testCluster struct {
	store *delayingStore
	nodes [testSlots]*testNode
	// netMu guards unreachable for tests that run the goroutine of a recorder.
	netMu       sync.Mutex
	unreachable [testSlots]bool
	// unreachableCalls counts the calls to or from unreachable slots.
	unreachableCalls int
	// loseMirrorResponse makes mirror calls to a slot take effect but return an
	// error.
	loseMirrorResponse [testSlots]bool
	// listedIncarnations contains the incarnations that membership lists.
	listedIncarnations [testSlots]string
	incarnation        int
	token              int

	processes [2]*testProcess
	// holder is the index of the process that may open intents.
	holder  int
	intents map[string]*testProcess
	// currentTarget is the target of the order that is being sent.
	currentTarget string

	reports   map[string]billing.Report
	reportIDs map[string]string
	violation string

	// Faults of the next calls. Each is removed when it is used. beforeReport is
	// called by Report before it does anything else.
	billingFaults []error
	beforeReport  func()
}

// testProcess is one incarnation of a process that owns all shards.
type testProcess struct {
	index  int
	owners [testShards]*Owner
}

func newTestCluster() *testCluster {
	c := &testCluster{
		store:     &delayingStore{Store: memstore.New()},
		intents:   make(map[string]*testProcess),
		reports:   make(map[string]billing.Report),
		reportIDs: make(map[string]string),
	}
	for slot := range c.nodes {
		c.startNode(slot)
	}
	c.updateMembership()
	for i := range c.processes {
		c.startProcess(i)
	}
	return c
}

func domainOf(slot int) string { return fmt.Sprintf("domain-%d", slot%testDomains) }

// startNode replaces the node in a slot by a new incarnation without totals.
func (c *testCluster) startNode(slot int) {
	c.incarnation++
	ledger := NewLedger(fmt.Sprintf("n%d-%d", slot, c.incarnation), 10000)
	c.nodes[slot] = &testNode{ledger: ledger, recorder: NewRecorder(RecorderOptions{
		Window: testWindow, Ledger: ledger, Mirrors: testMirrorPicker{c, slot}, Transport: testTransport{c, slot},
	})}
}

// updateMembership makes membership list the current incarnations.
func (c *testCluster) updateMembership() {
	for slot, n := range c.nodes {
		c.listedIncarnations[slot] = n.ledger.incarnation
	}
}

// startProcess replaces a process by a new incarnation.
func (c *testCluster) startProcess(i int) {
	p := &testProcess{index: i}
	for shard := range p.owners {
		p.owners[shard] = NewOwner(OwnerOptions{
			Shard: uint32(shard), Shards: testShards, Window: testWindow, Grace: testGrace, HorizonWindows: 1000,
			Store: c.store, Nodes: c, Transport: testTransport{c, -1}, FencedSender: testFencedSender{c, p}, Reporter: c,
			NewToken: func() string { c.token++; return fmt.Sprint("token-", c.token) },
			Era:      c.store.Eras.Current,
		})
	}
	c.processes[i] = p
	for target, process := range c.intents {
		// The next incarnation on the same VM closes the intents of the
		// previous one.
		if process.index == i {
			delete(c.intents, target)
		}
	}
}

func (c *testCluster) peer(slot int) Peer {
	return Peer{ID: fmt.Sprint(slot), Incarnation: c.listedIncarnations[slot], FailureDomain: domainOf(slot)}
}

// Nodes implements NodeLister.
func (c *testCluster) Nodes() []Peer {
	peers := make([]Peer, testSlots)
	for slot := range peers {
		peers[slot] = c.peer(slot)
	}
	return peers
}

// testMirrorPicker picks the mirrors of the node in a slot.
type testMirrorPicker struct {
	cluster *testCluster
	slot    int
}

func (p testMirrorPicker) Mirrors() []Peer {
	return RankMirrors(p.cluster.peer(p.slot), p.cluster.Nodes())
}

// testTransport is the network as seen from a slot. Slot -1 is an owner
// process.
type testTransport struct {
	cluster *testCluster
	slot    int
}

func (t testTransport) reach(peer Peer) (int, error) {
	var slot int
	if _, err := fmt.Sscan(peer.ID, &slot); err != nil {
		return 0, err
	}
	t.cluster.netMu.Lock()
	defer t.cluster.netMu.Unlock()
	if t.cluster.unreachable[slot] || t.slot >= 0 && t.cluster.unreachable[t.slot] {
		t.cluster.unreachableCalls++
		return 0, errUnreachable
	}
	return slot, nil
}

func (t testTransport) Mirror(_ context.Context, peer Peer, totals []Total) (string, error) {
	slot, err := t.reach(peer)
	if err != nil {
		return "", err
	}
	if err := t.cluster.nodes[slot].ledger.Merge(totals); err != nil {
		return "", err
	}
	if t.cluster.loseMirrorResponse[slot] {
		return "", errUnreachable
	}
	return t.cluster.nodes[slot].ledger.incarnation, nil
}

func (t testTransport) Collect(_ context.Context, peer Peer, req CollectRequest) (CollectResponse, error) {
	slot, err := t.reach(peer)
	if err != nil {
		return CollectResponse{}, err
	}
	return t.cluster.nodes[slot].ledger.Collect(req), nil
}

// Report implements billing.Reporter. It checks that all reports of a window
// are equal.
func (c *testCluster) Report(_ context.Context, _ uint64, report billing.Report) error {
	if hook := c.beforeReport; hook != nil {
		c.beforeReport = nil
		hook()
	}
	if target := BillingTarget(report.Shard, report.Window); target != c.currentTarget {
		c.violation = fmt.Sprintf("report sent to %s, but the order in progress is for %q", target, c.currentTarget)
	}
	var fault error
	if len(c.billingFaults) > 0 {
		fault, c.billingFaults = c.billingFaults[0], c.billingFaults[1:]
	}
	if errors.Is(fault, billing.ErrUnavailable) {
		return fault
	}
	key := fmt.Sprint(report.Shard, "/", report.Window)
	if previous, ok := c.reports[key]; ok && !reflect.DeepEqual(previous, report) {
		c.violation = fmt.Sprintf("window %s reported as %+v and as %+v", key, previous, report)
	}
	c.reports[key] = report
	return fault
}

// Errors of testFencedSender.
var (
	errNotHolder = errors.New("test: process doesn't hold the duty")
	errBlocked   = errors.New("test: target has an open intent of another process")
)

// testFencedSender sends the reports of one process.
type testFencedSender struct {
	cluster *testCluster
	process *testProcess
}

// Do opens an intent per target and keeps it open while the outcome is unknown,
// like the journal of intents.
func (f testFencedSender) Do(ctx context.Context, target, _ string, send func(context.Context, uint64) error) error {
	if f.cluster.processes[f.cluster.holder] != f.process {
		return errNotHolder
	}
	if process := f.cluster.intents[target]; process != nil && process != f.process {
		return errBlocked
	}
	f.cluster.intents[target] = f.process
	previous := f.cluster.currentTarget
	defer func() { f.cluster.currentTarget = previous }()
	f.cluster.currentTarget = target
	for range 2 {
		err := send(ctx, 1)
		if !errors.Is(err, billing.ErrAmbiguous) {
			delete(f.cluster.intents, target)
			return err
		}
	}
	return billing.ErrAmbiguous
}

// delayingStore can delay a write whose response is lost and apply it later.
type delayingStore struct {
	*memstore.Store
	delayNext bool
	delayed   []func()
}

func (s *delayingStore) Put(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	if s.delayNext {
		s.delayNext = false
		s.delayed = append(s.delayed, func() { _, _ = s.Store.Put(context.Background(), key, value, expected, lease) })
		return 0, store.ErrAmbiguous
	}
	return s.Store.Put(ctx, key, value, expected, lease)
}

// applyDelayed applies the delayed writes.
func (s *delayingStore) applyDelayed() {
	for _, apply := range s.delayed {
		apply()
	}
	s.delayed = nil
}

// step calls Step of all owners of a process. alive is false if the process was
// killed meanwhile.
func (c *testCluster) step(p *testProcess) (alive bool, err error) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(processKilled); !ok {
				panic(r)
			}
			alive = false
			c.startProcess(p.index)
		}
	}()
	for _, o := range p.owners {
		err = errors.Join(err, o.Step(context.Background(), time.Now()))
	}
	return true, err
}

// reported returns the sum of all usage reported to billing, by workspace.
func (c *testCluster) reported() map[string]Figures {
	sums := make(map[string]Figures)
	for _, report := range c.reports {
		for _, f := range report.Figures {
			sums[f.Workspace] = sums[f.Workspace].Add(Figures{f.Calls, f.PromptTokens, f.OutputTokens})
		}
		for _, c := range report.Corrections {
			sums[c.Workspace] = sums[c.Workspace].Add(Figures{c.Calls, c.PromptTokens, c.OutputTokens})
		}
	}
	return sums
}

// heal ends all faults and lets every node update its mirrors.
func (c *testCluster) heal() {
	c.store.SetFault(nil)
	c.store.delayNext = false
	c.store.applyDelayed()
	c.billingFaults, c.beforeReport = nil, nil
	c.unreachable, c.loseMirrorResponse = [testSlots]bool{}, [testSlots]bool{}
	c.updateMembership()
	time.Sleep(DefaultBackoff)
	for _, n := range c.nodes {
		if n.recorder.mirrorsChanged() {
			n.recorder.flush()
		}
	}
}

// sealAll ends all faults, and seals and reports the usage of all answered
// calls.
func (c *testCluster) sealAll(rt *rapid.T) {
	c.heal()
	time.Sleep(2*testWindow + testGrace)
	p := c.processes[c.holder]
	// An open intent of another process blocks its window until that process is
	// replaced.
	c.startProcess(1 - p.index)
	var err error
	for range 3 {
		if _, err = c.step(p); err == nil {
			return
		}
	}
	rt.Fatalf("windows not sealed and reported after the faults ended: %v", err)
}
