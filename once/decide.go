package once

import (
	pb "github.com/figweir/figweir/gen/figweir/v1"
)

// decision is what an operation comes to against the state of its key.
type decision struct {
	// entry is to be appended before the result may be given; nil if the state
	// needs no change.
	entry  *pb.OnceEntry
	result result
	// final says that the result holds even if the head has changed since it was
	// read.
	final bool
	// sealed says that the outcome lies in the segment of this record.
	sealed bool
	record record
}

// decide returns what an operation comes to. Deciding the same operation again
// after its entry was appended gives the same result, because entries carry the
// token of the claim.
func (w *Writer) decide(op *operation) decision {
	if op.claim != nil {
		return w.decideClaim(op.claim)
	}
	return w.decideFinish(op.finish)
}

func (w *Writer) decideClaim(c *ClaimRequest) decision {
	r, ok := w.index.lookup(c.Key)
	if !ok {
		if w.index.isVoid(c.Token) {
			return decision{result: result{answer: Answer{State: Refused}}}
		}
		return decision{
			entry: &pb.OnceEntry{
				Kind: pb.OnceEntryKind_ONCE_ENTRY_KIND_CLAIM, Key: c.Key[:], BodyDigest: c.BodyDigest[:], Token: c.Token[:], Owner: c.Owner,
			},
			result: result{answer: Answer{State: Granted}},
		}
	}
	if r.body != c.BodyDigest {
		return answered(KeyReused)
	}
	switch r.state {
	case stateDone:
		return w.decideDone(r)
	case stateUnknown:
		return answered(Unknown)
	}
	if r.token == c.Token {
		return answered(Granted)
	}
	if w.incarnations.Gone(w.index.owner(r)) {
		return answered(Unknown)
	}
	return answered(InProgress)
}

func answered(s State) decision { return decision{result: result{answer: Answer{State: s}}} }

func (w *Writer) decideDone(r record) decision {
	if r.ordinal == w.loadedTo && int(r.slot) < len(w.head.Entries) {
		outcome := outcomeFromProto(w.head.Entries[r.slot].Outcome)
		return decision{result: result{answer: Answer{State: Done, Outcome: outcome}}, final: true}
	}
	return decision{final: true, sealed: true, record: r}
}

func (w *Writer) decideFinish(f *FinishRequest) decision {
	r, ok := w.index.lookup(f.Key)
	mine := ok && r.token == f.Token
	entry := &pb.OnceEntry{Key: f.Key[:], Token: f.Token[:]}
	if mine && r.state == stateClaimed {
		entry.BodyDigest = append([]byte(nil), r.body[:]...)
	}
	recorded := result{answer: Answer{State: Granted}}
	switch {
	case f.Settlement == Released && mine && r.state != stateClaimed:
		return decision{result: result{err: ErrNotClaimed}}
	case f.Settlement == Released:
		if w.index.isVoid(f.Token) {
			return decision{result: recorded}
		}
		entry.Kind = pb.OnceEntryKind_ONCE_ENTRY_KIND_RELEASE
		return decision{entry: entry, result: recorded}
	case !mine:
		return decision{result: result{err: ErrNotClaimed}}
	case r.state != stateClaimed:
		return decision{result: recorded}
	case f.Settlement == Lost:
		entry.Kind = pb.OnceEntryKind_ONCE_ENTRY_KIND_UNKNOWN
	default:
		entry.Kind = pb.OnceEntryKind_ONCE_ENTRY_KIND_DONE
		entry.Outcome = outcomeToProto(f.Outcome)
	}
	return decision{entry: entry, result: recorded}
}
