package once

import (
	pb "github.com/figweir/figweir/gen/figweir/v1"
)

// recordState is the state of a key in the index. A released key is absent.
type recordState uint8

const (
	stateClaimed recordState = iota
	stateDone
	stateUnknown
)

// record is what the index keeps of a key. Outcomes stay in the head or in a
// segment and are found by ordinal and slot.
type record struct {
	token   Token
	body    Digest
	owner   uint32
	ordinal uint32
	slot    uint16
	state   recordState
}

// index holds the state of every key of a range: that of the last entry for the
// key. It is used by one goroutine.
type index struct {
	records map[Key]record
	// voided holds the tokens of released claims, so that a claim request that
	// arrives after its release is not recorded.
	voided map[Token]uint32
	owners []string
	byName map[string]uint32
	// floor is the ordinal of the oldest segment that is kept. Records below it
	// count as absent and are removed by sweep.
	floor uint32
	// stale counts the entries of dropped segments since the last sweep.
	stale int
}

func newIndex() *index {
	return &index{records: make(map[Key]record), voided: make(map[Token]uint32), byName: make(map[string]uint32)}
}

func (x *index) intern(owner string) uint32 {
	if n, ok := x.byName[owner]; ok {
		return n
	}
	n := uint32(len(x.owners))
	x.owners = append(x.owners, owner)
	x.byName[owner] = n
	return n
}

func (x *index) owner(r record) string { return x.owners[r.owner] }

// lookup returns the record of a key unless its segment was dropped.
func (x *index) lookup(k Key) (record, bool) {
	r, ok := x.records[k]
	if !ok || r.ordinal < x.floor {
		return record{}, false
	}
	return r, true
}

func (x *index) isVoid(t Token) bool {
	ordinal, ok := x.voided[t]
	return ok && ordinal >= x.floor
}

// apply adds one entry. Applying again any suffix of the entries, in order, ends
// in the same state.
func (x *index) apply(e *pb.OnceEntry, ordinal uint32, slot int) {
	key, token := Key(e.Key), Token(e.Token)
	if e.Kind == pb.OnceEntryKind_ONCE_ENTRY_KIND_RELEASE {
		x.voided[token] = ordinal
		if r, ok := x.records[key]; ok && r.token == token && r.state == stateClaimed {
			delete(x.records, key)
		}
		return
	}
	r := record{token: token, body: Digest(e.BodyDigest), ordinal: ordinal, slot: uint16(slot), owner: x.intern(e.Owner)}
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

// drop makes the records of segments below floor absent.
func (x *index) drop(floor uint32, entries int) {
	if floor <= x.floor {
		return
	}
	x.floor = floor
	x.stale += entries
	if x.stale*2 > len(x.records)+len(x.voided) {
		x.sweep()
	}
}

func (x *index) sweep() {
	x.stale = 0
	used := make(map[uint32]uint32)
	owners, byName := x.owners, make(map[string]uint32)
	x.owners = nil
	x.byName = byName
	for k, r := range x.records {
		if r.ordinal < x.floor {
			delete(x.records, k)
			continue
		}
		n, ok := used[r.owner]
		if !ok {
			n = x.intern(owners[r.owner])
			used[r.owner] = n
		}
		r.owner = n
		x.records[k] = r
	}
	for t, ordinal := range x.voided {
		if ordinal < x.floor {
			delete(x.voided, t)
		}
	}
}
