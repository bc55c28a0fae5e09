package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figweir/figweir/store"
)

// Member is a live node.
type Member struct {
	Name          string
	Address       string
	FailureDomain string
	// Leaving members finish their work and take no new duties.
	Leaving bool
}

// View is an immutable snapshot of what a node knows about the others.
type View struct {
	// Live are the listed nodes that are not known to be gone, in name order.
	// This node is among them if it is listed.
	Live []Member
	// Listed is the number of VMs on the platform's list.
	Listed int
	// Informed says that this node has learned since its start which
	// configuration revisions were accepted.
	Informed bool
	// HighestRevision is the greatest configuration revision heard of.
	HighestRevision store.Revision

	readAt     time.Time // newest read of the store that counts
	majorityAt time.Time // since when a majority of each list was reached
	window     time.Duration
	leaving    map[string]struct{}
	hashes     []uint64 // of the names of Live
}

// StoreRead returns the age of the newest read of the store that this node or a
// node it heard has made, of a head that is in force here.
func (v *View) StoreRead(now time.Time) ReadAge { return ageOf(now, v.readAt) }

// MajorityAge returns the age of the oldest evidence needed to reach more than
// half of the listed VMs.
func (v *View) MajorityAge(now time.Time) ReadAge { return ageOf(now, v.majorityAt) }

// Reachable reports whether more than half of the listed VMs were reached
// within the evidence window. In deployments of more than 128 VMs it is only
// kept up to date while the newest read of the store is older than half of the
// window, because the evidence of so many nodes costs more traffic.
func (v *View) Reachable(now time.Time) bool {
	age := v.MajorityAge(now)
	return age.Known && age.Age <= v.window
}

func ageOf(now, at time.Time) ReadAge {
	if at.IsZero() {
		return ReadAge{}
	}
	return ReadAge{Known: true, Age: max(now.Sub(at), 0)}
}

// ServerLeaving reports whether a backend server must get no new work.
func (v *View) ServerLeaving(name string) bool {
	_, ok := v.leaving[name]
	return ok
}

// LeavingServers returns the names of the backend servers that must get no new
// work, in order.
func (v *View) LeavingServers() []string {
	names := make([]string, 0, len(v.leaving))
	for name := range v.leaving {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Choose returns n members for a name by rendezvous hashing among the live
// members that are not leaving and that accept holds for (nil: all). All nodes
// with the same view choose the same ones. It returns fewer if there are fewer.
func (v *View) Choose(name string, n int, accept func(Member) bool) []Member {
	type scored struct {
		score uint64
		index int
	}
	seed := xxhash.Sum64String(name)
	candidates := make([]scored, 0, len(v.Live))
	for i, m := range v.Live {
		if m.Leaving || accept != nil && !accept(m) {
			continue
		}
		candidates = append(candidates, scored{mix(seed ^ v.hashes[i]), i})
	}
	slices.SortFunc(candidates, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
	})
	out := make([]Member, 0, n)
	for _, c := range candidates[:min(n, len(candidates))] {
		out = append(out, v.Live[c.index])
	}
	return out
}

// mix spreads the bits of a combined hash (the finalizer of splitmix64), so
// that the order of members differs from name to name.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// InDomain accepts the members of a failure domain, for Choose.
func InDomain(failureDomain string) func(Member) bool {
	return func(m Member) bool { return m.FailureDomain == failureDomain }
}
