package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/store"
)

// Membership is one node's part in the exchange of heartbeats.
type Membership struct {
	settings  Settings
	lister    Lister
	transport Transport
	log       logr.Logger
	started   time.Time

	view atomic.Pointer[View]
	// onGreater is called when a peer has a greater revision in force.
	onGreater atomic.Pointer[func(peer VM, revision store.Revision)]

	mu          sync.Mutex // guards what follows; no request takes it
	incarnation uint64
	heartbeat   uint64
	leaving     bool
	informed    bool
	inForce     store.Revision
	highest     store.Revision
	evidence    evidence
	quorum      quorum
	table       table
	notices     notices
	order       []string // names still to contact in this round
	stale       bool     // the members or notices changed since the last view
	rng         *rand.Rand
}

// New returns a membership that knows nothing yet. Run starts it.
func New(settings Settings, lister Lister, transport Transport, log logr.Logger) *Membership {
	settings = settings.withDefaults()
	now := time.Now()
	m := &Membership{
		settings:    settings,
		lister:      lister,
		transport:   transport,
		log:         log,
		started:     now,
		incarnation: uint64(now.UnixMilli()),
		evidence:    newEvidence(),
		quorum:      quorum{lag: settings.ListLag},
		table:       newTable(settings.Self.Name),
		notices:     newNotices(),
		rng:         rand.New(rand.NewPCG(uint64(now.UnixNano()), newVMList([]VM{settings.Self}).hash)),
	}
	m.view.Store(&View{window: settings.EvidenceWindow})
	return m
}

// View returns the current snapshot.
func (m *Membership) View() *View { return m.view.Load() }

// Self returns this node as the platform lists it.
func (m *Membership) Self() VM { return m.settings.Self }

// EvidenceWindow is the greatest age of evidence that counts.
func (m *Membership) EvidenceWindow() time.Duration { return m.settings.EvidenceWindow }

// AckWindow is the longest time for which a change collects acknowledgements.
func (m *Membership) AckWindow() time.Duration { return m.settings.AckWindow }

// OnGreaterRevision sets the function that is called, on a goroutine of the
// heartbeat, when a peer has a greater configuration revision in force.
func (m *Membership) OnGreaterRevision(f func(peer VM, revision store.Revision)) {
	m.onGreater.Store(&f)
}

// SetRevision tells which configuration revision this node has in force.
// Smaller values than before are ignored.
func (m *Membership) SetRevision(revision store.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inForce = max(m.inForce, revision)
	m.highest = max(m.highest, revision)
	m.evidence.promote(m.inForce)
	m.publishLocked(time.Now())
}

// StoreRead records that a read of the store that was sent at the given time
// found the head at revision.
func (m *Membership) StoreRead(sent time.Time, revision store.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highest = max(m.highest, revision)
	m.evidence.addRead(sent, revision, m.inForce)
	m.publishLocked(time.Now())
}

// SetLeaving tells the other nodes whether this node is about to stop.
func (m *Membership) SetLeaving(leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = leaving
	m.stale = true
	m.publishLocked(time.Now())
}

// SetServerLeaving spreads a notice about a backend server to all nodes.
func (m *Membership) SetServerLeaving(name string, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.notices.set(name, leaving, now) {
		m.stale = true
		m.publishLocked(now)
	}
}

// Acknowledged reports whether the VMs for which acked is true are more than
// half of every VM list that any node may still have, and returns the names on
// the current list for which it is false.
func (m *Membership) Acknowledged(acked func(name string) bool) (majority bool, missing []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range m.quorum.current().names {
		if !acked(name) {
			missing = append(missing, name)
		}
	}
	return m.quorum.hasMajority(acked), missing
}

// Listed returns the VMs of the platform's list in name order.
func (m *Membership) Listed() []VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.quorum.current().vms
}

// Run reads the VM list and sends heartbeats until ctx ends.
func (m *Membership) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	m.readList(ctx)
	wg.Go(func() { every(ctx, m.settings.ListInterval, func() { m.readList(ctx) }) })
	every(ctx, m.settings.HeartbeatInterval, func() { wg.Go(func() { m.beat(ctx) }) })
}

// every calls f at each interval until ctx ends. Each loop has a goroutine of
// its own: under the race detector, Go 1.26.8 has crashed in virtual time where
// one select waited for two tickers that were due at the same moment.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

func (m *Membership) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.settings.ListInterval)
	defer cancel()
	vms, err := m.lister.VMs(ctx)
	if err != nil {
		m.log.V(1).Info("VM list not read", "error", err.Error())
		return
	}
	if len(vms) == 0 {
		// This node's own VM exists, so an empty list is a fault of the platform.
		m.log.Info("VM list ignored because it is empty")
		return
	}
	list := newVMList(vms)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.stale = m.quorum.observe(list, now) || m.stale
	m.forgetLocked()
	m.publishLocked(now)
}

// forgetLocked drops what is known about VMs that are on no list.
func (m *Membership) forgetLocked() {
	listed := func(name string) bool {
		for _, s := range m.quorum.lists {
			if _, ok := s.list.byName[name]; ok {
				return true
			}
		}
		return name == m.settings.Self.Name
	}
	m.table.retain(listed)
	for name := range m.evidence.reached {
		if !listed(name) {
			delete(m.evidence.reached, name)
		}
	}
}

func (m *Membership) selfLocked() NodeState {
	return NodeState{
		Name:        m.settings.Self.Name,
		Incarnation: fmt.Sprintf("%016x", m.incarnation),
		Heartbeat:   m.heartbeat,
		Leaving:     m.leaving,
		Revision:    m.inForce,
		Informed:    m.informed,
	}
}

// heardOfSelfLocked answers what others say about this node: a later
// incarnation, left by a clock that went back, is exceeded, and so is the
// heartbeat of a suspicion.
func (m *Membership) heardOfSelfLocked(s NodeState) {
	incarnation, err := strconv.ParseUint(s.Incarnation, 16, 64)
	if err != nil {
		return
	}
	if incarnation > m.incarnation {
		m.incarnation = incarnation + 1
	}
	if incarnation == m.incarnation {
		m.heartbeat = max(m.heartbeat, s.Heartbeat+1)
	}
}

// publishLocked decides whether the node is informed and publishes the view.
func (m *Membership) publishLocked(now time.Time) {
	window := m.settings.EvidenceWindow
	self := m.settings.Self.Name
	if m.informed {
		m.evidence.addReached(self, now, m.inForce)
	}
	readAt := m.evidence.read.at
	majorityAt := m.quorum.majorityAt(&m.evidence, m.inForce)
	fresh := !readAt.IsZero() && now.Sub(readAt) <= window
	majority := !majorityAt.IsZero() && now.Sub(majorityAt) <= window
	if !m.informed {
		// An acknowledgement of the former incarnation may still count for a
		// change that is accepted until the acknowledgement window has passed.
		m.informed = fresh && readAt.After(m.started) ||
			majority && majorityAt.After(m.started.Add(m.settings.AckWindow))
	}
	m.quorum.prune(now, fresh, fresh || majority)
	list := m.quorum.current()
	v := &View{
		Listed:          len(list.names),
		Informed:        m.informed,
		HighestRevision: m.highest,
		readAt:          readAt,
		majorityAt:      majorityAt,
		window:          window,
	}
	if old := m.view.Load(); m.stale {
		m.membersLocked(v, list)
		m.stale = false
	} else {
		v.Live, v.hashes, v.leaving = old.Live, old.hashes, old.leaving
	}
	m.view.Store(v)
}

// membersLocked fills in the live members and the leaving backend servers.
func (m *Membership) membersLocked(v *View, list *vmList) {
	self := m.settings.Self.Name
	v.leaving = m.notices.leaving()
	v.Live = make([]Member, 0, len(list.vms))
	v.hashes = make([]uint64, 0, len(list.vms))
	for i, vm := range list.vms {
		if vm.Name != self && m.table.gone(vm.Name, len(list.vms)) {
			continue
		}
		leaving := vm.Leaving || vm.Name == self && m.leaving
		if p := m.table.peers[vm.Name]; p != nil {
			leaving = leaving || p.state.Leaving
		}
		v.Live = append(v.Live, Member{vm.Name, vm.Address, vm.FailureDomain, leaving})
		v.hashes = append(v.hashes, list.hashes[i])
	}
}

// Incarnation returns the incarnation of a node that this node knows, itself
// included. It changes when the node's process starts again, and in rare cases
// while it runs.
func (m *Membership) Incarnation(name string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if name == m.settings.Self.Name {
		return m.selfLocked().Incarnation, true
	}
	p := m.table.peers[name]
	if p == nil {
		return "", false
	}
	return p.state.Incarnation, true
}
