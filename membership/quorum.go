package membership

import (
	"slices"
	"time"

	"github.com/figweir/figweir/store"
)

// observedList is a VM list with the time at which it was last read.
type observedList struct {
	list   *vmList
	readAt time.Time
}

// quorum retains every VM list that another node may still use. Majorities of
// two different lists need not have a VM in common, so a majority is required in
// each list. A list is dropped only after the lag has passed and while the node
// has valid evidence; otherwise a partitioned minority could become a majority
// when the platform removes the other VMs. It is not safe for concurrent use.
type quorum struct {
	listLag time.Duration
	lists   []observedList // newest first
	// overflowAt is the time when a list was dropped because of maxLists, or zero.
	// There is no majority until the lag has passed since then and a recent read of
	// the store is known.
	overflowAt time.Time
}

// current returns the list that was read last, or an empty one.
func (q *quorum) current() *vmList {
	if len(q.lists) == 0 {
		return newVMList(nil)
	}
	return q.lists[0].list
}

// observe records a list that was read at time now and reports whether its VMs
// differ from those of the previous list.
func (q *quorum) observe(list *vmList, now time.Time) bool {
	old := q.current()
	i := slices.IndexFunc(q.lists, func(s observedList) bool { return s.list.hash == list.hash })
	if i >= 0 {
		q.lists = slices.Delete(q.lists, i, i+1)
	}
	q.lists = slices.Insert(q.lists, 0, observedList{list, now})
	if len(q.lists) > maxLists {
		q.lists = q.lists[:maxLists]
		q.overflowAt = now
	}
	return !slices.Equal(old.vms, list.vms)
}

// prune drops the lists that no other node can still use. fresh means that a
// recent read of the store is known; confirmed means that the node is fresh or
// reaches a majority of every list.
func (q *quorum) prune(now time.Time, fresh, confirmed bool) {
	if !confirmed {
		return
	}
	kept := q.lists[:0]
	for i, s := range q.lists {
		if i == 0 || now.Sub(s.readAt) <= q.listLag {
			kept = append(kept, s)
		}
	}
	q.lists = kept
	if fresh && now.Sub(q.overflowAt) > q.listLag {
		q.overflowAt = time.Time{}
	}
}

// majorityAt returns the latest time such that more than half of each list was
// reached at or after it, or the zero time if there is none.
func (q *quorum) majorityAt(e *evidence, inForce store.Revision) time.Time {
	var oldest time.Time
	if !q.overflowAt.IsZero() {
		return oldest
	}
	for i, s := range q.lists {
		at := e.majorityAt(s.list.names, inForce)
		if i == 0 || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// hasMajority reports whether acked returns true for more than half of the VMs
// on each list.
func (q *quorum) hasMajority(acked func(name string) bool) bool {
	if len(q.lists) == 0 {
		return false
	}
	for _, s := range q.lists {
		n := 0
		for _, name := range s.list.names {
			if acked(name) {
				n++
			}
		}
		if 2*n <= len(s.list.names) {
			return false
		}
	}
	return true
}
