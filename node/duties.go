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

// announceDutyEvery is how often a holder tells its peers of its duties, so
// that those that have started since know it.
const announceDutyEvery = time.Minute

// duties holds the one lease of the process and the journal of each of its
// duties.
type duties struct {
	node    *Node
	process authority.Process
	lease   *authority.Lease
	options authority.JournalOptions
	// started is when the address of the peer listener was bound.
	started time.Time

	mu   sync.Mutex
	wait sync.WaitGroup
	// ctx is set while the duties run.
	ctx    context.Context
	byName map[string]*managedDuty
}

type managedDuty struct {
	duty    *authority.Duty
	journal *authority.Journal
}

func newDuties(n *Node) *duties {
	d := &duties{
		node: n, process: authority.NewProcess(n.listeners.peers.Addr().String()), started: time.Now(),
		options: authority.DefaultJournalOptions(), byName: make(map[string]*managedDuty),
	}
	d.options.ListLag = settings.Seconds(n.settings.Platform.ListLagSeconds)
	d.lease = authority.NewLease(n.store, d.process, authority.SystemClock{}, authority.DefaultLeaseOptions())
	return d
}

// Duty returns the duty with a name and its journal, and adds them at the first
// call. candidate tells whether this node should try to acquire the duty; fence
// may be nil if no target checks fencing tokens.
func (d *duties) Duty(name string, candidate func() bool, fence authority.FenceFunc) (*authority.Duty, *authority.Journal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m := d.byName[name]; m != nil {
		return m.duty, m.journal
	}
	duty := d.lease.Duty(name, candidate)
	m := &managedDuty{duty: duty, journal: authority.NewJournal(d.node.store, duty, addresses{d.node.fleet}, fence, d.options)}
	d.byName[name] = m
	d.startLocked(m)
	return m.duty, m.journal
}

func (d *duties) startLocked(m *managedDuty) {
	if ctx := d.ctx; ctx != nil {
		d.wait.Go(func() { m.journal.Run(ctx) })
	}
}

// run holds the lease until ctx ends.
func (d *duties) run(ctx context.Context) {
	d.mu.Lock()
	d.ctx = ctx
	for _, m := range d.byName {
		d.startLocked(m)
	}
	d.wait.Go(func() { d.lease.Run(ctx) })
	d.wait.Go(func() {
		closed, err := authority.CloseFormer(ctx, d.node.store, d.process, authority.SystemClock{}, d.started, d.options)
		if closed > 0 || err != nil && ctx.Err() == nil {
			d.node.log.Info("orders of former processes closed", "closed", closed, "error", err)
		}
	})
	d.wait.Go(func() { d.announce(ctx) })
	d.mu.Unlock()
	<-ctx.Done()
	// After this no journal is started any more.
	d.mu.Lock()
	d.ctx = nil
	d.mu.Unlock()
	d.wait.Wait()
}

// announce tells the other nodes which duties this node has acquired or lost.
func (d *duties) announce(ctx context.Context) {
	held := make(map[string]bool)
	announced := make(map[string]time.Time)
	for ctx.Err() == nil {
		for name, m := range d.snapshot() {
			_, now := m.duty.Term()
			if now == held[name] && (!now || time.Since(announced[name]) < announceDutyEvery) {
				continue
			}
			if now != held[name] {
				d.node.log.Info("duty changed", "duty", name, "held", now)
			}
			held[name], announced[name] = now, time.Now()
			event, err := bus.Encode(bus.DutyChanged{Duty: name, Held: now})
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

func (d *duties) snapshot() map[string]*managedDuty {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]*managedDuty, len(d.byName))
	for name, m := range d.byName {
		out[name] = m
	}
	return out
}

// chosen returns the member that should hold the duty of a failure domain: one
// of that failure domain, or of all if it has none.
func (d *duties) chosen(name, failureDomain string) (membership.Member, bool) {
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

// dutyReport is what operators see of a duty of this node.
type dutyReport struct {
	Duty    string                    `json:"duty"`
	Held    bool                      `json:"held"`
	Blocked []authority.BlockedTarget `json:"blocked"`
	Stats   authority.Stats           `json:"stats"`
}

// report is the report "blocked" of the operator listener.
func (d *duties) report(context.Context) (any, error) {
	out := []dutyReport{}
	for name, m := range d.snapshot() {
		_, held := m.duty.Term()
		out = append(out, dutyReport{Duty: name, Held: held, Blocked: m.journal.Blocked(), Stats: m.journal.Stats()})
	}
	sortBy(out, func(r dutyReport) string { return r.Duty })
	return out, nil
}

// addresses implements authority.VMLister.
type addresses struct{ fleet *fleet.Client }

// Addresses returns the addresses of the peer listeners of the listed VMs.
func (a addresses) Addresses(ctx context.Context) ([]string, error) {
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
