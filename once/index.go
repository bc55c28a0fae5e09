package once

import (
	pb "github.com/figweir/figweir/gen/figweir/v1"
)

// recordState is the state of a key in the index. A released key has no record.
type recordState uint8

const (
	stateClaimed recordState = iota
	stateDone
	stateUnknown
)

// record is the index entry of a key. Its outcome is stored in the head or in a
// segment and is located by ordinal and slot.
type record struct {
	token      Token
	bodyDigest Digest
	ownerIndex uint32
	ordinal    uint32
	slot       uint16
	state      recordState
}

// index maps every key of a range to the state after its latest entry. It is
// not safe for concurrent use.
type index struct {
	records map[Key]record
	// releasedTokens maps the tokens of released claims to the ordinals of
	// their releases. A claim request that arrives after its release is
	// refused.
	releasedTokens map[Token]uint32
	owners         []string
	ownerIndexes   map[string]uint32
	// minOrdinal is the ordinal of the oldest segment that is not dropped.
	// Records with a lower ordinal are treated as absent and removed by sweep.
	minOrdinal uint32
	// droppedEntries is the number of entries in segments dropped since the
	// last sweep.
	droppedEntries int
}

func newIndex() *index {
	return &index{records: make(map[Key]record), releasedTokens: make(map[Token]uint32), ownerIndexes: make(map[string]uint32)}
}

// internOwner returns the index of an owner in owners. Records store the index
// in place of the string.
func (x *index) internOwner(owner string) uint32 {
	if n, ok := x.ownerIndexes[owner]; ok {
		return n
	}
	n := uint32(len(x.owners))
	x.owners = append(x.owners, owner)
	x.ownerIndexes[owner] = n
	return n
}

func (x *index) ownerName(r record) string { return x.owners[r.ownerIndex] }

// lookup returns the record of a key. It returns false if there is none or its
// segment was dropped.
func (x *index) lookup(k Key) (record, bool) {
	r, ok := x.records[k]
	if !ok || r.ordinal < x.minOrdinal {
		return record{}, false
	}
	return r, true
}

// isReleased reports whether the claim with this token was released and the
// release is not dropped.
func (x *index) isReleased(t Token) bool {
	ordinal, ok := x.releasedTokens[t]
	return ok && ordinal >= x.minOrdinal
}

// apply applies one entry. It is idempotent: applying any suffix of the entry
// sequence again, in order, gives the same state.
func (x *index) apply(e *pb.OnceEntry, ordinal uint32, slot int) {
	key, token := Key(e.Key), Token(e.Token)
	if e.Kind == pb.OnceEntryKind_ONCE_ENTRY_KIND_RELEASE {
		x.releasedTokens[token] = ordinal
		if r, ok := x.records[key]; ok && r.token == token && r.state == stateClaimed {
			delete(x.records, key)
		}
		return
	}
	r := record{token: token, bodyDigest: Digest(e.BodyDigest), ordinal: ordinal, slot: uint16(slot), ownerIndex: x.internOwner(e.Owner)}
	switch e.Kind {
	case pb.OnceEntryKind_ONCE_ENTRY_KIND_DONE:
		r.state = stateDone
	case pb.OnceEntryKind_ONCE_ENTRY_KIND_UNKNOWN:
		r.state = stateUnknown
	default:
		r.state = stateClaimed
	}
	x.records[key] = r
}

// dropBelow makes all records with an ordinal below minOrdinal absent. entries
// is the estimated number of their entries.
func (x *index) dropBelow(minOrdinal uint32, entries int) {
	if minOrdinal <= x.minOrdinal {
		return
	}
	x.minOrdinal = minOrdinal
	x.droppedEntries += entries
	if x.droppedEntries*2 > len(x.records)+len(x.releasedTokens) {
		x.sweep()
	}
}

// sweep removes the dropped records and the owners that only they refer to.
func (x *index) sweep() {
	x.droppedEntries = 0
	newIndexes := make(map[uint32]uint32)
	oldOwners, ownerIndexes := x.owners, make(map[string]uint32)
	x.owners = nil
	x.ownerIndexes = ownerIndexes
	for k, r := range x.records {
		if r.ordinal < x.minOrdinal {
			delete(x.records, k)
			continue
		}
		n, ok := newIndexes[r.ownerIndex]
		if !ok {
			n = x.internOwner(oldOwners[r.ownerIndex])
			newIndexes[r.ownerIndex] = n
		}
		r.ownerIndex = n
		x.records[k] = r
	}
	for t, ordinal := range x.releasedTokens {
		if ordinal < x.minOrdinal {
			delete(x.releasedTokens, t)
		}
	}
}
