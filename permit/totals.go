package permit

// maxTotals bounds the memory for granters that are gone.
const maxTotals = 32

// Totals holds the sums of what other granters have granted, by their incarnations. Each message has
// the sum of all grants, so that a later message makes up for lost ones.
type Totals map[uint64]uint64

// Add records the last grant of a granter and the sum of all of them. It returns how much of the
// sum is new: 0 if the message came twice or after a later one.
func (t Totals) Add(incarnation, last, total uint64) uint64 {
	if len(t) > maxTotals {
		clear(t)
	}
	known, ok := t[incarnation]
	if ok && total <= known {
		return 0
	}
	t[incarnation] = total
	if !ok {
		return last
	}
	return total - known
}
