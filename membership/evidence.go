package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figweir/figweir/store"
)

// observation is a timestamp of evidence together with the revision that its
// source had in force. It is valid only while this node has at least that
// revision in force.
type observation struct {
	at       time.Time
	revision store.Revision
}

// evidence holds the newest observations of store reads and of reached VMs. It
// is not safe for concurrent use.
type evidence struct {
	storeRead   observation            // newest read whose revision is in force
	pendingRead observation            // newest read whose revision is not yet in force
	reached     map[string]observation // by VM name
}

func newEvidence() evidence { return evidence{reached: make(map[string]observation)} }

// addStoreRead records that at time at the head of the store was not greater than
// revision.
func (e *evidence) addStoreRead(at time.Time, revision, inForce store.Revision) {
	switch {
	case revision > inForce:
		if at.After(e.pendingRead.at) {
			e.pendingRead = observation{at, revision}
		}
	case at.After(e.storeRead.at):
		e.storeRead = observation{at, revision}
	}
	e.promotePending(inForce)
}

// promotePending makes the pending read the newest valid one once its revision is
// in force.
func (e *evidence) promotePending(inForce store.Revision) {
	if e.pendingRead.revision <= inForce && e.pendingRead.at.After(e.storeRead.at) {
		e.storeRead = e.pendingRead
	}
}

// addReached records that at time at the VM was informed and had at most
// revision in force.
func (e *evidence) addReached(name string, at time.Time, revision store.Revision) {
	if at.After(e.reached[name].at) {
		e.reached[name] = observation{at, revision}
	}
}

// reachedAt returns when the VM was last reached, or the zero time if it was not
// reached or the revision of the observation is not in force on this node.
func (e *evidence) reachedAt(name string, inForce store.Revision) time.Time {
	if o := e.reached[name]; o.revision <= inForce {
		return o.at
	}
	return time.Time{}
}

// majorityAt returns the latest time such that more than half of the names were
// reached at or after it, or the zero time if there is none.
func (e *evidence) majorityAt(names []string, inForce store.Revision) time.Time {
	if len(names) == 0 {
		return time.Time{}
	}
	times := make([]time.Time, len(names))
	for i, name := range names {
		times[i] = e.reachedAt(name, inForce)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(names)/2]
}

// encodeReach encodes the ages of the evidence about the VMs on the list,
// with the hashes of their names if withNames is set.
func (e *evidence) encodeReach(list *vmList, now time.Time, inForce store.Revision, withNames bool) *Reach {
	r := newReach(len(list.names))
	for i, name := range list.names {
		if at := e.reachedAt(name, inForce); !at.IsZero() {
			r.set(i, now.Sub(at))
		}
	}
	if withNames {
		r.NameHashes = list.hashes
	}
	return r
}

// mergeReach merges evidence from the reply of another node. Its ages are
// counted from the time when the request was sent, which overstates them.
func (e *evidence) mergeReach(r *Reach, list *vmList, sent time.Time, revision store.Revision) {
	names := list.names
	if len(r.NameHashes) > 0 {
		names = make([]string, len(r.NameHashes))
		for i, hash := range r.NameHashes {
			names[i] = list.byHash[hash] // empty if the VM is not on this list
		}
	}
	if !r.covers(len(names)) {
		return
	}
	for i, name := range names {
		if age, ok := r.age(i); ok && name != "" {
			e.addReached(name, sent.Add(-age), revision)
		}
	}
}

// vmList is an immutable list of VMs, sorted by name, with indexes.
type vmList struct {
	vms    []VM
	names  []string
	hashes []uint64          // hashes of the names, in the same order
	byHash map[uint64]string // names by their hashes
	byName map[string]VM
	hash   uint64 // hash of all names
}

func newVMList(vms []VM) *vmList {
	l := &vmList{vms: slices.Clone(vms), byHash: make(map[uint64]string, len(vms)), byName: make(map[string]VM, len(vms))}
	slices.SortStableFunc(l.vms, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	// A VM that the platform lists twice must count once in a majority.
	l.vms = slices.CompactFunc(l.vms, func(a, b VM) bool { return a.Name == b.Name })
	digest := xxhash.New()
	for _, vm := range l.vms {
		h := xxhash.Sum64String(vm.Name)
		l.names = append(l.names, vm.Name)
		l.hashes = append(l.hashes, h)
		l.byHash[h] = vm.Name
		l.byName[vm.Name] = vm
		_, _ = digest.WriteString(vm.Name)
		_, _ = digest.Write([]byte{0})
	}
	l.hash = digest.Sum64()
	return l
}

// peersOf returns the nodes to which the node self sends heartbeats: all others,
// or maxPeers of them selected by rendezvous hashing. With rendezvous hashing, a
// change of the list replaces few peers, and each node is selected by about the
// same number of others.
func (l *vmList) peersOf(self string) []string {
	seed := xxhash.Sum64String(self)
	var others []int
	for i, name := range l.names {
		if name != self {
			others = append(others, i)
		}
	}
	if len(others) > maxPeers {
		score := func(i int) uint64 { return splitmix64(seed ^ bits.RotateLeft64(l.hashes[i], 32)) }
		slices.SortFunc(others, func(a, b int) int { return cmp.Compare(score(b), score(a)) })
		others = others[:maxPeers]
	}
	out := make([]string, len(others))
	for i, index := range others {
		out[i] = l.names[index]
	}
	return out
}
