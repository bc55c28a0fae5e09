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
	// The same cases on every run; flags on the command line override this.
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

var errCut = errors.New("test: peer can't be reached")

// killed is the panic value that ends an owner process at a call.
type killed struct{}

// testNode is one incarnation of a node.
type testNode struct {
	ledger   *Ledger
	recorder *Recorder
}

// holds reports whether the node has a total of an incarnation.
func (n *testNode) holds(incarnation string) bool {
	for key := range n.ledger.entries {
		if key.incarnation == incarnation {
			return true
		}
	}
	return false
}

// copies counts the nodes that have a total of the workspace.
func (w *world) copies(incarnation, workspace string) (n int) {
	for _, node := range w.nodes {
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

// world is a set of nodes, two processes that may own the shards, the store and
// billing. Everything runs in one goroutine but for parallel sends.
type world struct {
	store *lateStore
	nodes [testSlots]*testNode
	// netMu guards cut for tests that run a recorder's own goroutine.
	netMu sync.Mutex
	cut   [testSlots]bool
	// unreached counts calls that were cut off.
	unreached int
	// loseMirror makes mirror calls to a slot take effect and fail.
	loseMirror [testSlots]bool
	// listed are the incarnations that membership knows.
	listed      [testSlots]string
	incarnation int
	token       int

	processes [2]*process
	// inCharge is the process that the barrier lets open intents.
	inCharge int
	intents  map[string]*process
	// sending is the target whose order the barrier is letting out.
	sending string

	reports map[string]billing.Report
	ids     map[string]string
	failed  string

	// Faults of the next calls, used up by them.
	billingFaults []error
	pauseReport   func()
}

// process is one incarnation of a process that owns all shards.
type process struct {
	index  int
	owners [testShards]*Owner
}

func newWorld() *world {
	w := &world{
		store:   &lateStore{Store: memstore.New()},
		intents: make(map[string]*process),
		reports: make(map[string]billing.Report),
		ids:     make(map[string]string),
	}
	for slot := range w.nodes {
		w.start(slot)
	}
	w.gossip()
	for i := range w.processes {
		w.startProcess(i)
	}
	return w
}

func domainOf(slot int) string { return fmt.Sprintf("domain-%d", slot%testDomains) }

// start replaces the node of a slot by a new incarnation with empty memory.
func (w *world) start(slot int) {
	w.incarnation++
	ledger := NewLedger(fmt.Sprintf("n%d-%d", slot, w.incarnation), 10000)
	w.nodes[slot] = &testNode{ledger: ledger, recorder: NewRecorder(RecorderOptions{
		Window: testWindow, Ledger: ledger, Mirrors: pickerOf{w, slot}, Transport: transportOf{w, slot},
	})}
}

func (w *world) gossip() {
	for slot, n := range w.nodes {
		w.listed[slot] = n.ledger.incarnation
	}
}

func (w *world) startProcess(i int) {
	p := &process{index: i}
	for shard := range p.owners {
		p.owners[shard] = NewOwner(OwnerOptions{
			Shard: uint32(shard), Shards: testShards, Window: testWindow, Grace: testGrace, HorizonWindows: 1000,
			Store: w.store, Nodes: w, Transport: transportOf{w, -1}, Barrier: barrierOf{w, p}, Reporter: w,
			NewToken: func() string { w.token++; return fmt.Sprint("token-", w.token) },
		})
	}
	w.processes[i] = p
	for target, holder := range w.intents {
		// The next incarnation on the same VM closes the intents of the last.
		if holder.index == i {
			delete(w.intents, target)
		}
	}
}

func (w *world) peer(slot int) Peer {
	return Peer{ID: fmt.Sprint(slot), Incarnation: w.listed[slot], FailureDomain: domainOf(slot)}
}

// Nodes implements NodeLister.
func (w *world) Nodes() []Peer {
	peers := make([]Peer, testSlots)
	for slot := range peers {
		peers[slot] = w.peer(slot)
	}
	return peers
}

type pickerOf struct {
	w    *world
	slot int
}

func (p pickerOf) Mirrors() []Peer { return RankMirrors(p.w.peer(p.slot), p.w.Nodes()) }

// transportOf is the network as seen from a slot; -1 is a process of an owner.
type transportOf struct {
	w    *world
	slot int
}

func (t transportOf) reach(peer Peer) (int, error) {
	var slot int
	if _, err := fmt.Sscan(peer.ID, &slot); err != nil {
		return 0, err
	}
	t.w.netMu.Lock()
	defer t.w.netMu.Unlock()
	if t.w.cut[slot] || t.slot >= 0 && t.w.cut[t.slot] {
		t.w.unreached++
		return 0, errCut
	}
	return slot, nil
}

func (t transportOf) Mirror(_ context.Context, peer Peer, totals []Total) (string, error) {
	slot, err := t.reach(peer)
	if err != nil {
		return "", err
	}
	if err := t.w.nodes[slot].ledger.Mirror(totals); err != nil {
		return "", err
	}
	if t.w.loseMirror[slot] {
		return "", errCut
	}
	return t.w.nodes[slot].ledger.incarnation, nil
}

func (t transportOf) Collect(_ context.Context, peer Peer, req CollectRequest) (CollectResponse, error) {
	slot, err := t.reach(peer)
	if err != nil {
		return CollectResponse{}, err
	}
	return t.w.nodes[slot].ledger.Collect(req), nil
}

// Report implements billing.Reporter. It checks that reports of one window
// never differ.
func (w *world) Report(_ context.Context, _ uint64, report billing.Report) error {
	if pause := w.pauseReport; pause != nil {
		w.pauseReport = nil
		pause()
	}
	if target := Target(report.Shard, report.Window); target != w.sending {
		w.failed = fmt.Sprintf("report to %s while the barrier is at %q", target, w.sending)
	}
	var fault error
	if len(w.billingFaults) > 0 {
		fault, w.billingFaults = w.billingFaults[0], w.billingFaults[1:]
	}
	if errors.Is(fault, billing.ErrUnavailable) {
		return fault
	}
	place := fmt.Sprint(report.Shard, "/", report.Window)
	if before, ok := w.reports[place]; ok && !reflect.DeepEqual(before, report) {
		w.failed = fmt.Sprintf("window %s reported as %+v and as %+v", place, before, report)
	}
	w.reports[place] = report
	return fault
}

// errNotInCharge and errBlocked are the barrier's refusals.
var (
	errNotInCharge = errors.New("test: not in charge")
	errBlocked     = errors.New("test: target has an open intent of another process")
)

type barrierOf struct {
	w *world
	p *process
}

// Do implements Barrier by the rules of the journal of intents.
func (b barrierOf) Do(ctx context.Context, target, _ string, send func(context.Context, uint64) error) error {
	if b.w.processes[b.w.inCharge] != b.p {
		return errNotInCharge
	}
	if holder := b.w.intents[target]; holder != nil && holder != b.p {
		return errBlocked
	}
	b.w.intents[target] = b.p
	outer := b.w.sending
	defer func() { b.w.sending = outer }()
	b.w.sending = target
	for range 2 {
		err := send(ctx, 1)
		if !errors.Is(err, billing.ErrAmbiguous) {
			delete(b.w.intents, target)
			return err
		}
	}
	return billing.ErrAmbiguous
}

// lateStore can keep back a write whose answer is lost and apply it later.
type lateStore struct {
	*memstore.Store
	delayNext bool
	delayed   []func()
}

func (s *lateStore) Put(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	if s.delayNext {
		s.delayNext = false
		s.delayed = append(s.delayed, func() { _, _ = s.Store.Put(context.Background(), key, value, expected, lease) })
		return 0, store.ErrAmbiguous
	}
	return s.Store.Put(ctx, key, value, expected, lease)
}

func (s *lateStore) applyDelayed() {
	for _, apply := range s.delayed {
		apply()
	}
	s.delayed = nil
}

// step runs one step of all owners of a process. It returns false if the
// process was killed in it.
func (w *world) step(p *process) (alive bool, err error) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(killed); !ok {
				panic(r)
			}
			alive = false
			w.startProcess(p.index)
		}
	}()
	for _, o := range p.owners {
		err = errors.Join(err, o.Step(context.Background(), time.Now()))
	}
	return true, err
}

// reported adds up everything that billing has, by workspace.
func (w *world) reported() map[string]Figures {
	sums := make(map[string]Figures)
	for _, report := range w.reports {
		for _, f := range report.Figures {
			sums[f.Workspace] = sums[f.Workspace].Plus(Figures{f.Calls, f.PromptTokens, f.OutputTokens})
		}
		for _, c := range report.Corrections {
			sums[c.Workspace] = sums[c.Workspace].Plus(Figures{c.Calls, c.PromptTokens, c.OutputTokens})
		}
	}
	return sums
}

// heal ends all faults and lets every node mirror what it has.
func (w *world) heal() {
	w.store.SetFault(nil)
	w.store.delayNext = false
	w.store.applyDelayed()
	w.billingFaults, w.pauseReport = nil, nil
	w.cut, w.loseMirror = [testSlots]bool{}, [testSlots]bool{}
	w.gossip()
	time.Sleep(DefaultBackoff)
	for _, n := range w.nodes {
		if n.recorder.mirrorsChanged() {
			n.recorder.flush()
		}
	}
}

// settle heals and seals and reports everything that has been answered.
func (w *world) settle(rt *rapid.T) {
	w.heal()
	time.Sleep(2*testWindow + testGrace)
	p := w.processes[w.inCharge]
	// An intent that another process left open blocks its window until that
	// process has been replaced.
	w.startProcess(1 - p.index)
	var err error
	for range 3 {
		if _, err = w.step(p); err == nil {
			return
		}
	}
	rt.Fatalf("not settled without faults: %v", err)
}
