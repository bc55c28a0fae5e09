package membership

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// network connects memberships directly.
type network struct {
	mu    sync.Mutex
	nodes map[string]*Membership
	vms   []VM
	cut   func(from, to string) bool
	delay time.Duration // of replies
	sent  map[string]int
}

// link is the transport of one node.
type link struct {
	*network
	from string
}

func (l link) Heartbeat(ctx context.Context, to VM, request *Request) (*Reply, error) {
	l.mu.Lock()
	l.sent[l.from]++
	peer, delay := l.nodes[to.Name], l.delay
	cut := l.cut != nil && (l.cut(l.from, to.Name) || l.cut(to.Name, l.from))
	l.mu.Unlock()
	if peer == nil || cut {
		return nil, errors.New("unreachable")
	}
	reply, err := peer.Handle(ctx, request)
	time.Sleep(delay)
	return reply, err
}

func (n *network) VMs(context.Context) ([]VM, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vms, nil
}

func (n *network) list(vms ...VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vms = vms
}

// run starts n nodes that have read the store once and calls f in virtual time.
func run(t *testing.T, nodes int, f func(is *is.I, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{nodes: make(map[string]*Membership), sent: make(map[string]int)}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		for i := range nodes {
			n.vms = append(n.vms, VM{Name: fmt.Sprintf("vm%03d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), FailureDomain: fmt.Sprintf("fd%d", i%4)})
		}
		for _, vm := range n.vms {
			n.nodes[vm.Name] = New(Settings{Self: vm}, n, link{n, vm.Name}, logr.Discard())
		}
		time.Sleep(time.Millisecond)
		for _, m := range n.nodes {
			m.StoreRead(time.Now(), 0)
			wg.Go(func() { m.Run(ctx) })
		}
		f(is.New(t), n)
	})
}

// TestAllReachedWithinASecond guards against a schedule that leaves out nodes
// of a small deployment or sends more heartbeats in a large one.
func TestAllReachedWithinASecond(t *testing.T) {
	for _, nodes := range []int{8, 64} {
		run(t, nodes, func(is *is.I, n *network) {
			time.Sleep(time.Second)
			n.mu.Lock()
			defer n.mu.Unlock()
			for name, m := range n.nodes {
				is.True(n.sent[name] >= 7 && n.sent[name] <= 8)
				is.True(m.View().Reachable(time.Now()))
				m.mu.Lock()
				is.True(len(m.evidence.reached) == 8 || nodes > 8)
				m.mu.Unlock()
			}
		})
	}
}

// TestSuspicionNeedsConfirmation guards against a member that counts as gone
// because one other node can't reach it, and one that stays after it has died.
func TestSuspicionNeedsConfirmation(t *testing.T) {
	run(t, 5, func(is *is.I, n *network) {
		n.mu.Lock()
		n.cut = func(from, to string) bool { return from == "vm000" && to == "vm001" }
		n.mu.Unlock()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, m := range n.nodes {
				is.Equal(len(m.View().Live), 5)
			}
		}
		n.mu.Lock()
		n.cut = func(_, to string) bool { return to == "vm001" }
		n.mu.Unlock()
		time.Sleep(4 * time.Second)
		for name, m := range n.nodes {
			if name != "vm001" {
				is.Equal(len(m.View().Live), 4)
			}
		}
		n.mu.Lock()
		n.cut = nil
		n.mu.Unlock()
		time.Sleep(2 * time.Second)
		for _, m := range n.nodes {
			is.Equal(len(m.View().Live), 5)
		}
	})
}

// TestAgesIncludeTheRoundTrip guards against evidence that looks younger than
// it is because its reply was under way for long.
func TestAgesIncludeTheRoundTrip(t *testing.T) {
	run(t, 2, func(is *is.I, n *network) {
		n.mu.Lock()
		n.delay = 400 * time.Millisecond
		n.mu.Unlock()
		time.Sleep(time.Second)
		for range 50 {
			time.Sleep(10 * time.Millisecond)
			n.nodes["vm000"].StoreRead(time.Now(), 0)
			view := n.nodes["vm001"].View()
			is.True(view.StoreRead(time.Now()).Age >= 400*time.Millisecond)
			is.True(view.MajorityAge(time.Now()).Age >= 400*time.Millisecond)
		}
	})
}

// TestNoticesReachRestartedNodes guards against a backend server that gets work
// again from a node that was started after the notice had spread.
func TestNoticesReachRestartedNodes(t *testing.T) {
	run(t, 8, func(is *is.I, n *network) {
		n.nodes["vm000"].SetServerLeaving("laugar-17", true)
		time.Sleep(10 * time.Second)
		vm := n.vms[5]
		late := New(Settings{Self: vm}, n, link{n, vm.Name}, logr.Discard())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		late.Run(ctx)
		is.True(late.View().ServerLeaving("laugar-17"))
		n.nodes["vm003"].SetServerLeaving("laugar-17", false)
		time.Sleep(2 * time.Second)
		for _, m := range n.nodes {
			is.Equal(len(m.View().LeavingServers()), 0)
		}
	})
}

// TestFaultyLists guards against a platform that lists a VM twice, which must
// not count twice, or returns no VMs, which must not leave a node without relays.
func TestFaultyLists(t *testing.T) {
	run(t, 3, func(is *is.I, n *network) {
		n.list(append(n.vms, n.vms[0], n.vms[0], n.vms[0])...)
		time.Sleep(2 * time.Second)
		majority, missing := n.nodes["vm000"].Acknowledged(func(name string) bool { return name == "vm000" })
		is.True(!majority)
		is.Equal(missing, []string{"vm001", "vm002"})
		n.list()
		time.Sleep(2 * time.Second)
		is.Equal(len(n.nodes["vm000"].View().Live), 3)
	})
}

// TestReachIsNeverYounger guards against an encoded age that is less than the
// age that was put in, or that is mixed up with that of another VM.
func TestReachIsNeverYounger(t *testing.T) {
	is := is.New(t)
	for _, vms := range []int{1, 128, 129, 490} {
		r := newReach(vms)
		is.True(r.covers(vms) && !r.covers(vms+2))
		for i := 1; i < vms; i += 3 {
			r.set(i, time.Duration(i)*4*time.Millisecond)
		}
		for i := range vms {
			age, ok := r.age(i)
			is.Equal(ok, i%3 == 1)
			rounded := age - time.Duration(i)*4*time.Millisecond
			is.True(!ok || rounded >= 0 && rounded < coarseUnit)
		}
	}
}

// TestChoiceMovesLittle guards against a choice that moves names between
// members that are both still live when another member goes.
func TestChoiceMovesLittle(t *testing.T) {
	is := is.New(t)
	view := func(names ...string) *View {
		v := &View{}
		for _, name := range names {
			v.Live = append(v.Live, Member{Name: name, FailureDomain: "fd"})
		}
		v.hashes = newVMList(vmsOf(names)).hashes
		return v
	}
	all, fewer := view("a", "b", "c", "d", "e"), view("a", "b", "c", "d")
	first := make(map[string]int)
	for i := range 5000 {
		name := fmt.Sprintf("range-%d", i)
		before, after := all.Choose(name, 2, nil), fewer.Choose(name, 2, InDomain("fd"))
		is.True(before[0].Name != before[1].Name)
		first[before[0].Name]++
		if before[0].Name != "e" {
			is.Equal(before[0], after[0])
		}
	}
	for _, count := range first {
		is.True(count > 800 && count < 1200) // 1000 expected
	}
}

func vmsOf(names []string) []VM {
	var vms []VM
	for _, name := range names {
		vms = append(vms, VM{Name: name})
	}
	return vms
}
