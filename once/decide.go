package once

import (
	pb "github.com/figweir/figweir/gen/figweir/v1"
)

// decision is the result of an operation in the current state of its key.
type decision struct {
	// entry must be appended to the head before the result is returned. It is
	// nil if the state doesn't change.
	entry  *pb.OnceEntry
	result result
	// final is set if the result stays correct even if the head has changed
	// since it was read.
	final bool
	// inSegment is set if the outcome has to be read from the segment that
	// record refers to.
	inSegment bool
	record    record
}

// decide returns the decision on an operation. Deciding an operation again
// after its entry was appended gives the same result, because entries contain
// the token of the claim.
func (w *Writer) decide(op *operation) decision {
	if op.claim != nil {
		return w.decideClaim(op.claim)
	}
	return w.decideFinish(op.finish)
}

// decideClaim grants a claim if its key has no record. Repeating a granted claim
// with the same token grants it again.
func (w *Writer) decideClaim(c *ClaimRequest) decision {
	r, ok := w.index.lookup(c.Key)
	if !ok {
		if w.index.isReleased(c.Token) {
			return decision{result: result{response: ClaimResponse{State: Refused}}}
		}
		return decision{
			entry: &pb.OnceEntry{
				Kind: pb.OnceEntryKind_ONCE_ENTRY_KIND_CLAIM, Key: c.Key[:], BodyDigest: c.BodyDigest[:], Token: c.Token[:], Owner: c.Owner,
			},
			result: result{response: ClaimResponse{State: Granted}},
		}
	}
	if r.bodyDigest != c.BodyDigest {
		return stateDecision(KeyReused)
	}
	switch r.state {
	case stateDone:
		return w.decideDone(r)
	case stateUnknown:
		return stateDecision(Unknown)
	}
	if r.token == c.Token {
		return stateDecision(Granted)
	}
	if w.incarnations.Gone(w.index.ownerName(r)) {
		return stateDecision(Unknown)
	}
	return stateDecision(InProgress)
}

// stateDecision returns a decision that changes nothing and responds with a state.
func stateDecision(s State) decision {
	return decision{result: result{response: ClaimResponse{State: s}}}
}

// decideDone returns the outcome of a finished call if it is in the head, or a
// reference to the segment that contains it.
func (w *Writer) decideDone(r record) decision {
	if r.ordinal == w.loadedTo && int(r.slot) < len(w.head.Entries) {
		outcome := outcomeFromProto(w.head.Entries[r.slot].Outcome)
		return decision{result: result{response: ClaimResponse{State: Done, Outcome: outcome}}, final: true}
	}
	return decision{final: true, inSegment: true, record: r}
}

// decideFinish settles the claim with the token of the request. A release is
// recorded even if there is no such claim, so that a claim request that arrives
// later is refused. Repeating a settlement has no effect.
func (w *Writer) decideFinish(f *FinishRequest) decision {
	r, ok := w.index.lookup(f.Key)
	ownsClaim := ok && r.token == f.Token
	entry := &pb.OnceEntry{Key: f.Key[:], Token: f.Token[:]}
	if ownsClaim && r.state == stateClaimed {
		entry.BodyDigest = append([]byte(nil), r.bodyDigest[:]...)
	}
	recorded := result{response: ClaimResponse{State: Granted}}
	switch {
	case f.Settlement == Released && ownsClaim && r.state != stateClaimed:
		return decision{result: result{err: ErrNotClaimed}}
	case f.Settlement == Released:
		if w.index.isReleased(f.Token) {
			return decision{result: recorded}
		}
		entry.Kind = pb.OnceEntryKind_ONCE_ENTRY_KIND_RELEASE
		return decision{entry: entry, result: recorded}
	case !ownsClaim:
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
