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

// network connects memberships in process and serves as their platform list.
type network struct {
	mu             sync.Mutex
	nodes          map[string]*Membership
	vms            []VM
	isCut          func(from, to string) bool
	replyDelay     time.Duration  // delay of each reply
	heartbeatsSent map[string]int // heartbeats sent, by node name
}

// link is the Transport of one node.
type link struct {
	*network
	from string
}

func (l link) Heartbeat(ctx context.Context, to VM, request *Request) (*Reply, error) {
	l.mu.Lock()
	l.heartbeatsSent[l.from]++
	peer, delay := l.nodes[to.Name], l.replyDelay
	cut := l.isCut != nil && (l.isCut(l.from, to.Name) || l.isCut(to.Name, l.from))
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

func (n *network) setList(vms ...VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vms = vms
}

// runNodes starts nodes that have read the store once and calls f in virtual
// time.
func runNodes(t *testing.T, nodes int, f func(is *is.I, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{nodes: make(map[string]*Membership), heartbeatsSent: make(map[string]int)}
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
			m.RecordStoreRead(time.Now(), 0, false)
			wg.Go(func() { m.Run(ctx) })
		}
		f(is.New(t), n)
	})
}

// TestAllReachedWithinASecond guards against a heartbeat schedule that skips
// nodes of a small deployment or sends more heartbeats in a large one.
func TestAllReachedWithinASecond(t *testing.T) {
	for _, nodes := range []int{8, 64} {
		runNodes(t, nodes, func(is *is.I, n *network) {
			time.Sleep(time.Second)
			n.mu.Lock()
			defer n.mu.Unlock()
			for name, m := range n.nodes {
				is.True(n.heartbeatsSent[name] >= 7 && n.heartbeatsSent[name] <= 8)
				is.True(m.View().Reachable(time.Now()))
				m.mu.Lock()
				is.True(len(m.evidence.reached) == 8 || nodes > 8)
				m.mu.Unlock()
			}
		})
	}
}

// TestSuspicionNeedsConfirmation guards against removing a member because one
// other node can't reach it, and against keeping one that no node can reach.
func TestSuspicionNeedsConfirmation(t *testing.T) {
	runNodes(t, 5, func(is *is.I, n *network) {
		n.mu.Lock()
		n.isCut = func(from, to string) bool { return from == "vm000" && to == "vm001" }
		n.mu.Unlock()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, m := range n.nodes {
				is.Equal(len(m.View().Live), 5)
			}
		}
		n.mu.Lock()
		n.isCut = func(_, to string) bool { return to == "vm001" }
		n.mu.Unlock()
		time.Sleep(4 * time.Second)
		for name, m := range n.nodes {
			if name != "vm001" {
				is.Equal(len(m.View().Live), 4)
			}
		}
		n.mu.Lock()
		n.isCut = nil
		n.mu.Unlock()
		time.Sleep(2 * time.Second)
		for _, m := range n.nodes {
			is.Equal(len(m.View().Live), 5)
		}
	})
}

// TestAgesIncludeTheRoundTrip guards against ages that are too low because the
// time that the reply was in transit is left out.
func TestAgesIncludeTheRoundTrip(t *testing.T) {
	runNodes(t, 2, func(is *is.I, n *network) {
		n.mu.Lock()
		n.replyDelay = 400 * time.Millisecond
		n.mu.Unlock()
		time.Sleep(time.Second)
		for range 50 {
			time.Sleep(10 * time.Millisecond)
			n.nodes["vm000"].RecordStoreRead(time.Now(), 0, false)
			view := n.nodes["vm001"].View()
			is.True(view.StoreReadAge(time.Now()).Age >= 400*time.Millisecond)
			is.True(view.MajorityAge(time.Now()).Age >= 400*time.Millisecond)
		}
	})
}

// TestNoticesReachRestartedNodes guards against a node that sends work to a
// leaving backend server because it started after the notice was distributed.
func TestNoticesReachRestartedNodes(t *testing.T) {
	runNodes(t, 8, func(is *is.I, n *network) {
		n.nodes["vm000"].SetServerLeaving("laugar-17", true)
		time.Sleep(10 * time.Second)
		vm := n.vms[5]
		restarted := New(Settings{Self: vm}, n, link{n, vm.Name}, logr.Discard())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		restarted.Run(ctx)
		is.True(restarted.View().ServerLeaving("laugar-17"))
		n.nodes["vm003"].SetServerLeaving("laugar-17", false)
		time.Sleep(2 * time.Second)
		for _, m := range n.nodes {
			is.Equal(len(m.View().LeavingServers()), 0)
		}
	})
}

// TestFaultyVMLists guards against counting a VM twice in a majority when the
// platform lists it twice, and against dropping all members when the platform
// returns an empty list.
func TestFaultyVMLists(t *testing.T) {
	runNodes(t, 3, func(is *is.I, n *network) {
		n.setList(append(n.vms, n.vms[0], n.vms[0], n.vms[0])...)
		time.Sleep(2 * time.Second)
		majority, missing := n.nodes["vm000"].Acknowledged(func(name string) bool { return name == "vm000" })
		is.True(!majority)
		is.Equal(missing, []string{"vm001", "vm002"})
		n.setList()
		time.Sleep(2 * time.Second)
		is.Equal(len(n.nodes["vm000"].View().Live), 3)
	})
}

// TestReachIsNeverYounger guards against an encoding of ages that rounds down,
// loses evidence or stores an age under another VM.
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

// TestChooseIsStable guards against rendezvous hashing that reassigns names
// among the remaining members when one member is removed, or that spreads names
// unevenly.
func TestChooseIsStable(t *testing.T) {
	is := is.New(t)
	view := func(names ...string) *View {
		v := &View{}
		for _, name := range names {
			v.Live = append(v.Live, Member{Name: name, FailureDomain: "fd"})
		}
		v.hashes = newVMList(vmsOf(names)).hashes
		return v
	}
	fullView, reducedView := view("a", "b", "c", "d", "e"), view("a", "b", "c", "d")
	firstCount := make(map[string]int)
	for i := range 5000 {
		name := fmt.Sprintf("range-%d", i)
		before, after := fullView.Choose(name, 2, nil), reducedView.Choose(name, 2, InDomain("fd"))
		is.True(before[0].Name != before[1].Name)
		firstCount[before[0].Name]++
		if before[0].Name != "e" {
			is.Equal(before[0], after[0])
		}
	}
	for _, count := range firstCount {
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
