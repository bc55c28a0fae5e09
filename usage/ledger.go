package usage

import (
	"container/list"
	"errors"
	"sync"
)

// ErrLedgerFull means that a ledger has reached its bound and took none of the
// totals that need a new entry. It never drops a total to make room, because
// that total may be the only copy.
var ErrLedgerFull = errors.New("usage: ledger is full")

// CollectRequest asks a node for its totals of one shard.
type CollectRequest struct {
	// Window is the newest window to return.
	Window        int64
	Shard, Shards uint32
	// Incarnation is the node incarnation that the fields below refer to; a
	// node of another incarnation ignores them.
	Incarnation string
	// Totals of windows up to AfterWindow that have not changed since
	// AfterVersion are left out: the caller has them.
	AfterWindow  int64
	AfterVersion uint64
	// Totals of windows up to SealedWindow that have not changed since
	// SealedVersion are in the store's records; the node drops them.
	SealedWindow  int64
	SealedVersion uint64
}

// CollectResponse is the answer to a CollectRequest.
type CollectResponse struct {
	Incarnation string
	// Version numbers the node's changes; Totals include all changes up to it.
	Version uint64
	Totals  []Total
}

type ledgerKey struct {
	incarnation string
	workspace   string
	window      int64
}

type ledgerEntry struct {
	ledgerKey
	figures Figures
	version uint64
	own     bool
	// safe is the part of an own total that two mirrors hold.
	safe    Figures
	element *list.Element
}

// Ledger holds the totals that a node knows, its own and those that it mirrors
// for others, up to a fixed number of entries. Entries are kept in the order of
// their last change, so that a reader that names a version gets only newer ones.
// It is used per batch and per collection, never per request.
type Ledger struct {
	incarnation string
	maxEntries  int

	mu      sync.Mutex
	version uint64
	entries map[ledgerKey]*ledgerEntry
	// own and others are ordered by version, oldest first.
	own, others *list.List
	atRisk      Figures
	refused     uint64
}

// NewLedger returns an empty ledger of the given node incarnation that takes at
// most maxEntries totals of other nodes. Own totals are always taken.
func NewLedger(incarnation string, maxEntries int) *Ledger {
	return &Ledger{
		incarnation: incarnation,
		maxEntries:  maxEntries,
		entries:     make(map[ledgerKey]*ledgerEntry),
		own:         list.New(),
		others:      list.New(),
	}
}

// Incarnation returns the incarnation of the node that holds the ledger.
func (l *Ledger) Incarnation() string { return l.incarnation }

// Mirror merges totals of other nodes by maximum. If the bound is reached it
// returns ErrLedgerFull, and the sender must not count on any of the totals.
func (l *Ledger) Mirror(totals []Total) error {
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

// mergeLocked reports whether the ledger holds at least the given total.
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
		l.atRisk = l.atRisk.Plus(merged.Beyond(e.figures))
	}
	e.figures = merged
	l.version++
	e.version = l.version
	order := l.orderOf(e)
	if e.element == nil {
		e.element = order.PushBack(e)
	} else {
		order.MoveToBack(e.element)
	}
	return true
}

func (l *Ledger) orderOf(e *ledgerEntry) *list.List {
	if e.own {
		return l.own
	}
	return l.others
}

// Collect drops what the request says is sealed and returns the totals that it
// asks for.
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
		// A sealed total is in the store and needs no mirror.
		l.atRisk = l.atRisk.Beyond(e.figures.Beyond(e.safe))
	}
	l.orderOf(e).Remove(e.element)
	delete(l.entries, e.ledgerKey)
}

// ownAfter returns the node's own totals that changed after version, newest
// first, and the version that they are complete for.
func (l *Ledger) ownAfter(version uint64) ([]Total, uint64) {
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

// mirrored returns all totals of other nodes.
func (l *Ledger) mirrored() []Total {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := make([]Total, 0, l.others.Len())
	for element := l.others.Front(); element != nil; element = element.Next() {
		totals = append(totals, element.Value.(*ledgerEntry).total())
	}
	return totals
}

// markSafe records that two mirrors hold all own totals up to version to and
// that this was known before for those up to version from.
func (l *Ledger) markSafe(from, to uint64) {
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
		l.atRisk = l.atRisk.Beyond(e.figures.Beyond(e.safe))
		e.safe = e.figures
	}
}

// markUnsafe records that two mirrors hold only the own totals up to version
// to, because a mirror was lost.
func (l *Ledger) markUnsafe(to uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for element := l.own.Back(); element != nil; element = element.Prev() {
		e := element.Value.(*ledgerEntry)
		if e.version <= to {
			break
		}
		l.atRisk = l.atRisk.Plus(e.safe)
		e.safe = Figures{}
	}
}

// LedgerStats describes the content of a ledger.
type LedgerStats struct {
	OwnEntries      int
	MirroredEntries int
	// Refused counts totals of other nodes that were refused at the bound.
	Refused uint64
	// AtRisk is the part of the node's own usage that fewer than two mirrors
	// hold and that is not yet sealed.
	AtRisk Figures
}

// Stats returns the current content.
func (l *Ledger) Stats() LedgerStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LedgerStats{OwnEntries: l.own.Len(), MirroredEntries: l.others.Len(), Refused: l.refused, AtRisk: l.atRisk}
}
