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
	// Leaving members finish their requests and acquire no new duties.
	Leaving bool
}

// View is an immutable snapshot of a node's membership state.
type View struct {
	// Live holds the listed nodes without a confirmed suspicion, sorted by name.
	// It includes this node if it is listed.
	Live []Member
	// Listed is the number of VMs on the platform's list.
	Listed int
	// Informed is true once this node has determined after its start which
	// configuration revisions were accepted.
	Informed bool
	// HighestRevision is the greatest configuration revision seen in the store
	// or reported by a node.
	HighestRevision store.Revision

	storeReadAt    time.Time // newest read of the store whose revision is in force
	majorityAt     time.Time // time of the oldest evidence needed for a majority of each list
	evidenceWindow time.Duration
	leaving        map[string]struct{} // names of leaving backend servers
	hashes         []uint64            // hashes of the names in Live
}

// StoreReadAge returns the age of the newest read of the store, by this node or
// by a peer that reported it, whose head revision is in force on this node.
func (v *View) StoreReadAge(now time.Time) EvidenceAge { return ageOf(now, v.storeReadAt) }

// MajorityAge returns the age of the oldest evidence that is needed to count
// more than half of the listed VMs as reached.
func (v *View) MajorityAge(now time.Time) EvidenceAge { return ageOf(now, v.majorityAt) }

// Reachable reports whether more than half of the listed VMs were reached
// within the evidence window. With more than 128 VMs it is only kept up to date
// while the newest read of the store is older than half of the window, to save
// the traffic of exchanging evidence about so many nodes.
func (v *View) Reachable(now time.Time) bool {
	age := v.MajorityAge(now)
	return age.Known && age.Age <= v.evidenceWindow
}

func ageOf(now, at time.Time) EvidenceAge {
	if at.IsZero() {
		return EvidenceAge{}
	}
	return EvidenceAge{Known: true, Age: max(now.Sub(at), 0)}
}

// ServerLeaving reports whether a leaving notice is in effect for the named
// backend server, so that it must get no new work.
func (v *View) ServerLeaving(name string) bool {
	_, ok := v.leaving[name]
	return ok
}

// LeavingServers returns the sorted names of the backend servers that must get
// no new work.
func (v *View) LeavingServers() []string {
	names := make([]string, 0, len(v.leaving))
	for name := range v.leaving {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Choose selects n members for a name by rendezvous hashing, best first. The
// candidates are the live members that are not leaving and for which accept
// returns true; a nil accept allows all. Nodes with equal views select the same
// members. The result is shorter than n if there are not enough candidates.
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
		candidates = append(candidates, scored{splitmix64(seed ^ v.hashes[i]), i})
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

// splitmix64 is the finalizer of splitmix64. It spreads the bits of a combined hash,
// so that each name gets its own order of members.
func splitmix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// InDomain returns a filter for Choose that accepts the members of a failure
// domain.
func InDomain(failureDomain string) func(Member) bool {
	return func(m Member) bool { return m.FailureDomain == failureDomain }
}
