package membership

import (
	"slices"
	"time"

	"github.com/figweir/figweir/store"
)

// seenList is a VM list with the time at which it was last read.
type seenList struct {
	list *vmList
	last time.Time
}

// quorum keeps every list that another node may still count by. Two majorities
// of different lists need not share a VM, so a majority must hold in each of
// them. A list is dropped only after the lag has passed and while the node has
// evidence that counts; otherwise a minority that was cut off could become a
// majority when the platform removes the other VMs. It is not safe for
// concurrent use.
type quorum struct {
	lag   time.Duration
	lists []seenList // newest first
	// overflow is when lists were dropped for want of room, or zero. No majority
	// counts until the lag has passed since and the store has been read.
	overflow time.Time
}

func (q *quorum) current() *vmList {
	if len(q.lists) == 0 {
		return newVMList(nil)
	}
	return q.lists[0].list
}

// observe records a list that was read at time now and reports whether it
// differs from the one before.
func (q *quorum) observe(list *vmList, now time.Time) bool {
	old := q.current()
	i := slices.IndexFunc(q.lists, func(s seenList) bool { return s.list.hash == list.hash })
	if i >= 0 {
		q.lists = slices.Delete(q.lists, i, i+1)
	}
	q.lists = slices.Insert(q.lists, 0, seenList{list, now})
	if len(q.lists) > maxLists {
		q.lists = q.lists[:maxLists]
		q.overflow = now
	}
	return !slices.Equal(old.vms, list.vms)
}

// prune drops the lists that no other node can still have. fresh says that the
// node knows of a recent read of the store, confirmed that it is fresh or
// reaches a majority of every list.
func (q *quorum) prune(now time.Time, fresh, confirmed bool) {
	if !confirmed {
		return
	}
	kept := q.lists[:0]
	for i, s := range q.lists {
		if i == 0 || now.Sub(s.last) <= q.lag {
			kept = append(kept, s)
		}
	}
	q.lists = kept
	if fresh && now.Sub(q.overflow) > q.lag {
		q.overflow = time.Time{}
	}
}

// majorityAt returns the time since which more than half of each list has been
// reached, or the zero time.
func (q *quorum) majorityAt(e *evidence, inForce store.Revision) time.Time {
	var oldest time.Time
	if !q.overflow.IsZero() {
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

// hasMajority reports whether the VMs for which acked is true are more than
// half of each list.
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
