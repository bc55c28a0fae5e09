package node

import (
	"context"
	"sync"
	"time"

	"github.com/figweir/figweir/authority"
	"github.com/figweir/figweir/bus"
	"github.com/figweir/figweir/fleet"
	"github.com/figweir/figweir/membership"
	"github.com/figweir/figweir/settings"
)

// dutyAnnounceInterval is the time between two announcements of a held duty. They
// are repeated for peers that started after the last one.
const dutyAnnounceInterval = time.Minute

// duties holds the lease of the process, and each of its duties with a journal.
type duties struct {
	node    *Node
	process authority.Process
	lease   *authority.Lease
	options authority.JournalOptions
	// boundAt is when the address of the peer listener was bound.
	boundAt time.Time

	mu sync.Mutex
	wg sync.WaitGroup
	// ctx is not nil while run runs.
	ctx    context.Context
	byName map[string]*managedDuty
}

// managedDuty is a duty with its journal.
type managedDuty struct {
	duty    *authority.Duty
	journal *authority.Journal
}

func newDuties(n *Node) *duties {
	d := &duties{
		node: n, process: authority.NewProcess(n.listeners.peers.Addr().String()), boundAt: time.Now(),
		options: authority.DefaultJournalOptions(), byName: make(map[string]*managedDuty),
	}
	d.options.VMListLag = settings.SecondsToDuration(n.settings.Platform.ListLagSeconds)
	leaseOptions := authority.DefaultLeaseOptions()
	leaseOptions.Era, leaseOptions.Log = n.eras.Current, n.log
	d.lease = authority.NewLease(n.store, d.process, authority.SystemClock{}, leaseOptions)
	return d
}

// Duty returns the named duty and its journal, which it creates at the first
// call. candidate reports whether this node should try to acquire the duty. fence
// may be nil if no target checks fencing tokens.
func (d *duties) Duty(name string, candidate func() bool, fence authority.FenceFunc) (*authority.Duty, *authority.Journal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m := d.byName[name]; m != nil {
		return m.duty, m.journal
	}
	duty := d.lease.Duty(name, candidate)
	m := &managedDuty{duty: duty, journal: authority.NewJournal(d.node.store, duty, vmAddresses{d.node.fleet}, fence, d.options)}
	d.byName[name] = m
	d.startJournalLocked(m)
	return m.duty, m.journal
}

// startJournalLocked starts the journal if the duties run.
func (d *duties) startJournalLocked(m *managedDuty) {
	if ctx := d.ctx; ctx != nil {
		d.wg.Go(func() { m.journal.Run(ctx) })
	}
}

// run renews the lease and runs the journals until ctx is canceled. It also
// closes the intents of previous processes.
func (d *duties) run(ctx context.Context) {
	d.mu.Lock()
	d.ctx = ctx
	for _, m := range d.byName {
		d.startJournalLocked(m)
	}
	d.wg.Go(func() { d.lease.Run(ctx) })
	d.wg.Go(func() {
		closed, err := authority.ClosePreviousIntents(ctx, d.node.store, d.process, authority.SystemClock{}, d.boundAt, d.options)
		if closed > 0 || err != nil && ctx.Err() == nil {
			d.node.log.Info("orders of former processes closed", "closed", closed, "error", err)
		}
	})
	d.wg.Go(func() { d.announce(ctx) })
	d.mu.Unlock()
	<-ctx.Done()
	// Once ctx is nil, no further journal is started.
	d.mu.Lock()
	d.ctx = nil
	d.mu.Unlock()
	d.wg.Wait()
}

// announce publishes to the other nodes which duties this node has acquired or
// lost.
func (d *duties) announce(ctx context.Context) {
	held := make(map[string]bool)
	announced := make(map[string]time.Time)
	for ctx.Err() == nil {
		for name, m := range d.snapshot() {
			_, heldNow := m.duty.Term()
			if heldNow == held[name] && (!heldNow || time.Since(announced[name]) < dutyAnnounceInterval) {
				continue
			}
			if heldNow != held[name] {
				d.node.log.Info("duty changed", "duty", name, "held", heldNow)
			}
			held[name], announced[name] = heldNow, time.Now()
			event, err := bus.Encode(bus.DutyChanged{Duty: name, Held: heldNow})
			if err == nil {
				err = d.node.events.Publish(string(bus.TopicDutyChanged), event)
			}
			if err != nil {
				d.node.log.V(1).Info("duty not announced to all peers", "duty", name, "error", err.Error())
			}
		}
		sleep(ctx, time.Second)
	}
}

// snapshot returns a copy of the duties by name.
func (d *duties) snapshot() map[string]*managedDuty {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]*managedDuty, len(d.byName))
	for name, m := range d.byName {
		out[name] = m
	}
	return out
}

// preferredHolder returns the member that should hold the duty of a failure
// domain: a member of that failure domain if there is one, and any member
// otherwise. The result is false if there are no members.
func (d *duties) preferredHolder(name, failureDomain string) (membership.Member, bool) {
	view := d.node.members.View()
	members := view.Choose(name, 1, membership.InDomain(failureDomain))
	if len(members) == 0 {
		members = view.Choose(name, 1, nil)
	}
	if len(members) == 0 {
		return membership.Member{}, false
	}
	return members[0], true
}

// dutyReport is the entry of a duty in the operators' report "blocked".
type dutyReport struct {
	Duty    string                    `json:"duty"`
	Held    bool                      `json:"held"`
	Blocked []authority.BlockedTarget `json:"blocked"`
	Stats   authority.Stats           `json:"stats"`
}

// blockedReport implements operator.Report.
func (d *duties) blockedReport(context.Context) (any, error) {
	out := []dutyReport{}
	for name, m := range d.snapshot() {
		_, held := m.duty.Term()
		out = append(out, dutyReport{Duty: name, Held: held, Blocked: m.journal.Blocked(), Stats: m.journal.Stats()})
	}
	sortBy(out, func(r dutyReport) string { return r.Duty })
	return out, nil
}

// vmAddresses implements authority.VMLister.
type vmAddresses struct{ fleet *fleet.Client }

// Addresses returns the addresses of the peer listeners of the listed nodes. The
// error is that of the call to the platform.
func (a vmAddresses) Addresses(ctx context.Context) ([]string, error) {
	vms, err := a.fleet.VMs(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]string, 0, len(vms))
	for _, vm := range vms {
		if vm.BackendServer == "" {
			out = append(out, vm.Address)
		}
	}
	return out, nil
}
