package quota

import (
	"cmp"
	"slices"
	"time"
)

// Report describes the quota of a workspace for logs and operators.
type Report struct {
	Workspace string
	Limit     Limit
	// Granters are the addresses of the granters, the first choice first.
	Granters []string
	// Granter is true if this node is one of them. Tokens is then what its bucket holds.
	Granter bool
	Tokens  float64
	// Part is the part of the quota that this node would grant: the fraction of the nodes that it
	// can reach, and a little more.
	Part   float64
	Counts Counts
}

// Reports returns the quotas in force, ordered by workspace.
func (l *Limiter) Reports(now time.Time) []Report {
	var list []Report
	for _, w := range *l.byName.Load() {
		w.mu.Lock()
		choice := l.granters(now, w)
		l.fill(now, w)
		_, _, part := l.rates(w)
		list = append(list, Report{
			Workspace: w.name, Limit: w.limit, Granters: choice, Granter: w.granting, Tokens: w.bucket.Tokens,
			Part: part, Counts: w.counts,
		})
		w.mu.Unlock()
	}
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return list
}
