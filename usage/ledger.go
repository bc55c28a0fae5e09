package usage

import (
	"container/list"
	"errors"
	"sync"
)

// ErrLedgerFull means that a ledger has reached its maximum size and rejected
// the totals that needed a new entry. It never evicts a total to make room,
// because that may be the only copy.
var ErrLedgerFull = errors.New("usage: ledger is full")

// CollectRequest is a request for a node's totals of one shard. Its windows are
// given by their start in seconds since the Unix epoch.
type CollectRequest struct {
	// Window is the newest window to return.
	Window        int64
	Shard, Shards uint32
	// Incarnation is the node incarnation that the fields below refer to. Other
	// incarnations ignore them.
	Incarnation string
	// Totals of windows up to AfterWindow that have not changed since
	// AfterVersion are not returned, because the caller already has them.
	AfterWindow  int64
	AfterVersion uint64
	// Totals of windows up to SealedWindow that have not changed since
	// SealedVersion are in stored records, so the node drops them.
	SealedWindow  int64
	SealedVersion uint64
}

// CollectResponse is the response to a CollectRequest.
type CollectResponse struct {
	Incarnation string
	// Version is the number of the node's latest change. Totals include all
	// changes up to it.
	Version uint64
	Totals  []Total
}

// ledgerKey identifies a total.
type ledgerKey struct {
	incarnation string
	workspace   string
	window      int64
}

// ledgerEntry is a total and the version of its last change.
type ledgerEntry struct {
	ledgerKey
	figures Figures
	version uint64
	own     bool
	// replicated is the part of an own total that at least requiredMirrors
	// mirrors hold.
	replicated Figures
	element    *list.Element
}

// Ledger contains the totals of a node: its own and those that it mirrors for
// other nodes, up to a maximum number of entries. Entries are ordered by their
// last change, so that mirror updates read only the newer ones. Its mutex is
// taken once per batch or collection and never on the request path.
type Ledger struct {
	incarnation string
	maxEntries  int

	mu      sync.Mutex
	version uint64
	entries map[ledgerKey]*ledgerEntry
	// own and others are sorted by version, oldest first.
	own, others *list.List
	atRisk      Figures
	refused     uint64
}

// NewLedger returns an empty ledger for a node incarnation. It accepts at most
// maxEntries totals of other nodes; own totals are always accepted.
func NewLedger(incarnation string, maxEntries int) *Ledger {
	return &Ledger{
		incarnation: incarnation,
		maxEntries:  maxEntries,
		entries:     make(map[ledgerKey]*ledgerEntry),
		own:         list.New(),
		others:      list.New(),
	}
}

// Incarnation returns the incarnation of the node that the ledger belongs to.
func (l *Ledger) Incarnation() string { return l.incarnation }

// Merge merges totals into the ledger by taking the maximum of each field. If
// a total doesn't fit it returns ErrLedgerFull, and the sender must treat none
// of the totals as mirrored.
func (l *Ledger) Merge(totals []Total) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var err error
	for _, t := range totals {
		if !l.mergeLocked(t) {
			l.refused++
			err = ErrLedgerFull
		}
	}
	return err
}

// mergeLocked merges one total. It returns false if the ledger is full.
func (l *Ledger) mergeLocked(t Total) bool {
	key := ledgerKey{t.Incarnation, t.Workspace, t.Window}
	own := t.Incarnation == l.incarnation
	e := l.entries[key]
	if e == nil {
		if !own && l.others.Len() >= l.maxEntries {
			return false
		}
		e = &ledgerEntry{ledgerKey: key, own: own}
		l.entries[key] = e
	}
	merged := e.figures.Max(t.Figures)
	if merged == e.figures && e.element != nil {
		return true
	}
	if own {
		l.atRisk = l.atRisk.Add(merged.ExcessOver(e.figures))
	}
	e.figures = merged
	l.version++
	e.version = l.version
	order := l.listOf(e)
	if e.element == nil {
		e.element = order.PushBack(e)
	} else {
		order.MoveToBack(e.element)
	}
	return true
}

// listOf returns the list that an entry belongs to.
func (l *Ledger) listOf(e *ledgerEntry) *list.List {
	if e.own {
		return l.own
	}
	return l.others
}

// Collect drops the totals that the request marks as sealed and returns the
// requested ones.
func (l *Ledger) Collect(req CollectRequest) CollectResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	if req.Incarnation != l.incarnation {
		req.AfterWindow, req.AfterVersion, req.SealedWindow, req.SealedVersion = 0, 0, 0, 0
	}
	response := CollectResponse{Incarnation: l.incarnation, Version: l.version}
	for _, order := range []*list.List{l.own, l.others} {
		for element := order.Front(); element != nil; {
			e := element.Value.(*ledgerEntry)
			element = element.Next()
			if e.window > req.Window || ShardOf(e.workspace, req.Shards) != req.Shard {
				continue
			}
			if e.window <= req.SealedWindow && e.version <= req.SealedVersion {
				l.removeLocked(e)
				continue
			}
			if e.window <= req.AfterWindow && e.version <= req.AfterVersion {
				continue
			}
			response.Totals = append(response.Totals, e.total())
		}
	}
	return response
}

func (e *ledgerEntry) total() Total {
	return Total{Incarnation: e.incarnation, Workspace: e.workspace, Window: e.window, Figures: e.figures}
}

func (l *Ledger) removeLocked(e *ledgerEntry) {
	if e.own {
		// A sealed total is in the store and doesn't need mirrors.
		l.atRisk = l.atRisk.ExcessOver(e.figures.ExcessOver(e.replicated))
	}
	l.listOf(e).Remove(e.element)
	delete(l.entries, e.ledgerKey)
}

// ownChangedSince returns the node's own totals that changed after version,
// newest first, and the current version, which includes all of them.
func (l *Ledger) ownChangedSince(version uint64) ([]Total, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var totals []Total
	for element := l.own.Back(); element != nil; element = element.Prev() {
		e := element.Value.(*ledgerEntry)
		if e.version <= version {
			break
		}
		totals = append(totals, e.total())
	}
	return totals, l.version
}

// otherTotals returns all totals of other nodes.
func (l *Ledger) otherTotals() []Total {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := make([]Total, 0, l.others.Len())
	for element := l.others.Front(); element != nil; element = element.Next() {
		totals = append(totals, element.Value.(*ledgerEntry).total())
	}
	return totals
}

// markReplicated marks all own totals up to version to as replicated. Those up
// to version from are marked already.
func (l *Ledger) markReplicated(from, to uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for element := l.own.Back(); element != nil; element = element.Prev() {
		e := element.Value.(*ledgerEntry)
		if e.version <= from {
			break
		}
		if e.version > to {
			continue
		}
		l.atRisk = l.atRisk.ExcessOver(e.figures.ExcessOver(e.replicated))
		e.replicated = e.figures
	}
}

// markUnreplicated marks the own totals after version to as not replicated,
// after a mirror was lost.
func (l *Ledger) markUnreplicated(to uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for element := l.own.Back(); element != nil; element = element.Prev() {
		e := element.Value.(*ledgerEntry)
		if e.version <= to {
			break
		}
		l.atRisk = l.atRisk.Add(e.replicated)
		e.replicated = Figures{}
	}
}

// LedgerStats describes the contents of a ledger.
type LedgerStats struct {
	// OwnEntries is the number of the node's own totals, MirroredEntries that of
	// the totals of other nodes.
	OwnEntries      int
	MirroredEntries int
	// Refused counts totals of other nodes that were rejected because the
	// ledger was full.
	Refused uint64
	// AtRisk is the node's own unsealed usage that fewer than two mirrors hold.
	AtRisk Figures
}

// Stats returns the current numbers.
func (l *Ledger) Stats() LedgerStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LedgerStats{OwnEntries: l.own.Len(), MirroredEntries: l.others.Len(), Refused: l.refused, AtRisk: l.atRisk}
}
