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

// Membership exchanges heartbeats with other nodes and keeps the view of this
// node up to date. Its methods are safe for concurrent use.
type Membership struct {
	settings  Settings
	lister    Lister
	transport Transport
	log       logr.Logger
	startedAt time.Time
	// readsProveFrom is the time from which a read of the store shows which revisions were
	// accepted; guarded by mu.
	readsProveFrom time.Time

	view atomic.Pointer[View]
	// onNewerRevision is called when a peer has a greater revision in force.
	onNewerRevision atomic.Pointer[func(peer VM, revision store.Revision)]

	mu              sync.Mutex // guards the fields below; not taken by caller requests
	incarnation     uint64
	heartbeat       uint64
	leaving         bool
	informed        bool
	inForce         store.Revision
	highestRevision store.Revision
	evidence        evidence
	quorum          quorum
	peers           peerTable
	notices         noticeSet
	roundRemaining  []string // names of the nodes not yet contacted in this round
	viewStale       bool     // members or notices changed since the last view
	rng             *rand.Rand
}

// restoreSettleTime is how long a node that starts doesn't take the store's word for which revisions
// were accepted if the store may have been restored just before: within that time running nodes
// write again what it has lost.
const restoreSettleTime = 2 * time.Second

// New returns a membership with an empty view. Run starts the exchange.
func New(settings Settings, lister Lister, transport Transport, log logr.Logger) *Membership {
	settings = settings.withDefaults()
	now := time.Now()
	m := &Membership{
		settings:  settings,
		lister:    lister,
		transport: transport,
		log:       log,
		startedAt: now, readsProveFrom: now,
		incarnation: uint64(now.UnixMilli()),
		evidence:    newEvidence(),
		quorum:      quorum{listLag: settings.ListLag},
		peers:       newPeerTable(settings.Self.Name),
		notices:     newNoticeSet(),
		rng:         rand.New(rand.NewPCG(uint64(now.UnixNano()), newVMList([]VM{settings.Self}).hash)),
	}
	m.view.Store(&View{evidenceWindow: settings.EvidenceWindow})
	return m
}

// View returns the current snapshot.
func (m *Membership) View() *View { return m.view.Load() }

// Self returns this node as the platform lists it.
func (m *Membership) Self() VM { return m.settings.Self }

// EvidenceWindow returns the greatest age at which evidence is valid.
func (m *Membership) EvidenceWindow() time.Duration { return m.settings.EvidenceWindow }

// AckWindow returns the longest time for which a configuration change collects
// acknowledgements.
func (m *Membership) AckWindow() time.Duration { return m.settings.AckWindow }

// OnNewerRevision sets the function that is called, on the goroutine of a
// heartbeat, when a peer has a greater configuration revision in force.
func (m *Membership) OnNewerRevision(f func(peer VM, revision store.Revision)) {
	m.onNewerRevision.Store(&f)
}

// SetRevision records the configuration revision that this node has in force.
// A revision smaller than the recorded one is ignored.
func (m *Membership) SetRevision(revision store.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inForce = max(m.inForce, revision)
	m.highestRevision = max(m.highestRevision, revision)
	m.evidence.promotePending(m.inForce)
	m.publishLocked(time.Now())
}

// RecordStoreRead records that a read of the store, sent at the given time,
// returned the head at revision. mayBeRestored is true if the store can come back from an
// earlier copy.
func (m *Membership) RecordStoreRead(sent time.Time, revision store.Revision, mayBeRestored bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if mayBeRestored {
		m.readsProveFrom = m.startedAt.Add(restoreSettleTime)
	}
	m.highestRevision = max(m.highestRevision, revision)
	m.evidence.addStoreRead(sent, revision, m.inForce)
	m.publishLocked(time.Now())
}

// SetLeaving sets whether this node announces in heartbeats that it is about to
// stop.
func (m *Membership) SetLeaving(leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = leaving
	m.viewStale = true
	m.publishLocked(time.Now())
}

// SetServerLeaving creates a notice that a backend server is leaving or no
// longer leaving. Heartbeats distribute it to all nodes.
func (m *Membership) SetServerLeaving(name string, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.notices.set(name, leaving, now) {
		m.viewStale = true
		m.publishLocked(now)
	}
}

// Acknowledged reports whether acked returns true for more than half of the VMs
// on every VM list that a node may still use. missing holds the names on the
// current list for which acked returns false.
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

// Listed returns the VMs of the platform's list, sorted by name.
func (m *Membership) Listed() []VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.quorum.current().vms
}

// Run reads the VM list and sends heartbeats until ctx is canceled.
func (m *Membership) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	m.readList(ctx)
	wg.Go(func() { every(ctx, m.settings.ListInterval, func() { m.readList(ctx) }) })
	every(ctx, m.settings.HeartbeatInterval, func() { wg.Go(func() { m.sendHeartbeat(ctx) }) })
}

// every calls f at each interval until ctx is canceled. Each loop runs in its
// own goroutine: with the race detector, Go 1.26.8 crashed in synctest's virtual
// time when one select waited for two tickers that were due at the same moment.
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

// readList reads the platform's VM list and applies it.
func (m *Membership) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.settings.ListInterval)
	defer cancel()
	vms, err := m.lister.VMs(ctx)
	if err != nil {
		m.log.V(1).Info("VM list not read", "error", err.Error())
		return
	}
	if len(vms) == 0 {
		// At least this node's own VM exists, so the platform is at fault.
		m.log.Info("VM list ignored because it is empty")
		return
	}
	list := newVMList(vms)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.viewStale = m.quorum.observe(list, now) || m.viewStale
	m.dropUnlistedLocked()
	m.publishLocked(now)
}

// dropUnlistedLocked deletes the states and the evidence of VMs that are on none
// of the retained lists.
func (m *Membership) dropUnlistedLocked() {
	listed := func(name string) bool {
		for _, s := range m.quorum.lists {
			if _, ok := s.list.byName[name]; ok {
				return true
			}
		}
		return name == m.settings.Self.Name
	}
	m.peers.retain(listed)
	for name := range m.evidence.reached {
		if !listed(name) {
			delete(m.evidence.reached, name)
		}
	}
}

// selfStateLocked returns the state that this node sends about itself.
func (m *Membership) selfStateLocked() NodeState {
	return NodeState{
		Name:        m.settings.Self.Name,
		Incarnation: fmt.Sprintf("%016x", m.incarnation),
		Heartbeat:   m.heartbeat,
		Leaving:     m.leaving,
		Revision:    m.inForce,
		Informed:    m.informed,
	}
}

// refuteLocked replaces a state of this node that peers relayed: it moves this
// node's incarnation past a later one, which exists if the clock was set back
// between two starts, and its heartbeat past the one that was suspected.
func (m *Membership) refuteLocked(s NodeState) {
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

// publishLocked updates whether the node is informed and publishes a new view.
func (m *Membership) publishLocked(now time.Time) {
	window := m.settings.EvidenceWindow
	self := m.settings.Self.Name
	if m.informed {
		m.evidence.addReached(self, now, m.inForce)
	}
	readAt := m.evidence.storeRead.at
	majorityAt := m.quorum.majorityAt(&m.evidence, m.inForce)
	fresh := !readAt.IsZero() && now.Sub(readAt) <= window
	majority := !majorityAt.IsZero() && now.Sub(majorityAt) <= window
	if !m.informed {
		// Acknowledgements by the previous incarnation of this node may count for
		// changes until the acknowledgement window has passed. A majority is
		// therefore sufficient only after that time.
		m.informed = fresh && readAt.After(m.readsProveFrom) ||
			majority && majorityAt.After(m.startedAt.Add(m.settings.AckWindow))
	}
	m.quorum.prune(now, fresh, fresh || majority)
	list := m.quorum.current()
	v := &View{
		Listed:          len(list.names),
		Informed:        m.informed,
		HighestRevision: m.highestRevision,
		storeReadAt:     readAt,
		majorityAt:      majorityAt,
		evidenceWindow:  window,
	}
	if old := m.view.Load(); m.viewStale {
		m.setMembersLocked(v, list)
		m.viewStale = false
	} else {
		v.Live, v.hashes, v.leaving = old.Live, old.hashes, old.leaving
	}
	m.view.Store(v)
}

// setMembersLocked sets the live members and the leaving backend servers of v.
func (m *Membership) setMembersLocked(v *View, list *vmList) {
	self := m.settings.Self.Name
	v.leaving = m.notices.leaving()
	v.Live = make([]Member, 0, len(list.vms))
	v.hashes = make([]uint64, 0, len(list.vms))
	for i, vm := range list.vms {
		if vm.Name != self && m.peers.suspicionConfirmed(vm.Name, len(list.vms)) {
			continue
		}
		leaving := vm.Leaving || vm.Name == self && m.leaving
		if p := m.peers.byName[vm.Name]; p != nil {
			leaving = leaving || p.state.Leaving
		}
		v.Live = append(v.Live, Member{vm.Name, vm.Address, vm.FailureDomain, leaving})
		v.hashes = append(v.hashes, list.hashes[i])
	}
}

// Incarnation returns the incarnation of a node, which may be this node, and
// false if none is known. The incarnation changes when the node's process
// restarts, and also while it runs if the node has to refute a later one.
func (m *Membership) Incarnation(name string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if name == m.settings.Self.Name {
		return m.selfStateLocked().Incarnation, true
	}
	p := m.peers.byName[name]
	if p == nil {
		return "", false
	}
	return p.state.Incarnation, true
}
