// Package quarantine finds prompt parts that crash backend servers and states which
// requests must not be sent because of them. It does no I/O.
//
// Requests share parts of their prompts. A part that crashes servers does so when they begin to
// write an answer. So when a backend server crashes, each request that waited there, or whose answer
// had begun just before, is evidence against all its shared parts. An answer that outlives its
// beginning proves its parts sound and clears them, on all nodes. Parts that are in evidence of
// several separate crashes and were not cleared since are suspected together: a request is blocked
// if it has all of them. Each proof removes a part from the suspicion, so that what remains are the
// parts that no answer outlives.
package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCrashes is the number of separate crashes after which parts are suspected. When many
	// servers crash for other reasons, requests with the same rare part meet two or three of
	// them by chance.
	minCrashes = 4
	// othersPerCrash is the number of crashes without the part, at the same time, for which one
	// more crash is required: where servers crash often, a sound part meets more of them.
	// maxCrashes bounds what is required, since the number of crashes by one part is limited.
	othersPerCrash = 2
	maxCrashes     = 6
	// minRequests is the number of different requests that must have met these crashes.
	minRequests = 2
	// crashSpacing is the time between two crashes from which they count as separate: the
	// servers of a failure domain that are lost together are one crash.
	crashSpacing = 100 * time.Millisecond
	// sameCrash is the time within which losses at one server belong to the same crash.
	// Observers learn of a crash at different moments.
	sameCrash = time.Second
	// provenAfter is how long after its first piece an answer must go on to prove its parts
	// sound, unless it is complete before. A server that crashes as it begins to write may get a
	// few events out: three at the longest pause that streams may make (250 ms), and the time in
	// which the end of a connection is noticed.
	provenAfter = time.Second
	// proofValidity is how long a proof holds: it clears of losses until then. It must be short
	// against the time in which nodes react, since a part may turn bad.
	proofValidity = time.Second
	// settleDelay is how long parts must have been in doubt before they are suspected, so that
	// proofs from elsewhere can arrive. They are in doubt after doubtCrashes.
	doubtCrashes = 2
	settleDelay  = 250 * time.Millisecond
	// unusedAfter is the time after its last blocked request from which a suspicion is not announced
	// any more. Nodes that start learn of it from the store.
	unusedAfter = time.Hour

	// MaxPartsBytes bounds the parts of a request that are watched, by the bytes of their ids.
	// It must not be less than the largest request header that nodes accept, so that no part
	// of a header is left out.
	MaxPartsBytes = 72 << 10
	// maxPartBytes is the length of an id above which a hash stands for its end.
	maxPartBytes = 64
	// maxSuspectedBytes bounds the parts of a suspicion, which have to fit into one datagram.
	maxSuspectedBytes = 4 << 10
	// maxServers is the number of crashed servers that a suspicion names.
	maxServers = 16

	// Bounds of the memory.
	maxEvidence      = 1024
	maxEvidenceParts = 32 << 10
	maxIncomplete    = 64
	maxSuspicions    = 64
	maxCleared       = 4096
)

// Evidence is one request whose server crashed before the answer had proved its parts sound.
type Evidence struct {
	// Request and Server are hashes of the ids.
	Request, Server uint64
	// Parts are the shared parts of the prompt, in order.
	Parts []string
	// PartCount is the number of parts of which Parts holds some; 0 if it holds all. Evidence
	// that is too large for one message is sent in pieces, see Split.
	PartCount int
	// At is when the loss was noticed.
	At time.Time

	// receivedAt is when this node learned of it.
	receivedAt time.Time
	// doubted is the number of parts that are in doubt because of this loss.
	doubted int
	// own is set if this node noticed it; sends counts how often it was sent to others.
	own    bool
	sends  int
	sentAt time.Time
	// stored is set once it was passed on to be written to the store.
	stored bool
}

// Suspicion is a set of prompt parts. Requests that have all of them crash servers.
type Suspicion struct {
	// Parts are sorted and never empty.
	Parts []string
	// Since is the time of the first evidence, LastCrash that of the latest.
	Since, LastCrash time.Time
	// HeldUntil is when one request may try the parts, Started the number of trials on all nodes,
	// and Trials that of trials that crashed a server.
	HeldUntil       time.Time
	Started, Trials int
	// TrialUntil is the end of a running trial.
	TrialUntil time.Time
	// Crashes is the number of separate crashes in the evidence, Servers the hashes of some
	// of the servers.
	Crashes int
	Servers []uint64
	// Blocked is the number of attempts that this node did not send.
	Blocked uint64

	// Stored is set if the store holds the suspicion with these parts and trials.
	Stored bool

	// storeAfter is when this node writes the suspicion, zero if it is not the one to do so, and
	// backupAfter when nodes do that write what no other has written.
	storeAfter, backupAfter time.Time
	// permitted is set if this node may send a trial that is counted already.
	permitted bool
	// usedAt is when the suspicion last blocked a request or had evidence.
	usedAt time.Time
	// unused is set if the suspicion is neither announced nor watched, see unusedAfter.
	unused bool
	// urgentUntil is until when this node announces the suspicion often.
	urgentUntil time.Time
}

// matches reports whether a request with the given parts has all parts of the suspicion.
func (s *Suspicion) matches(parts []string) bool { return containsAll(parts, s.Parts) }

// containsAll reports whether list has all items of subset.
func containsAll(list, subset []string) bool {
	for _, item := range subset {
		if !slices.Contains(list, item) {
			return false
		}
	}
	return true
}

// boundParts returns the parts within MaxPartsBytes, with ids of at most maxPartBytes. The
// result may share its array with the argument.
func boundParts(parts []string) []string {
	total := 0
	for i, part := range parts {
		if len(part) > maxPartBytes {
			parts = slices.Clone(parts)
			parts[i] = shortID(part)
		}
		if total += len(parts[i]) + 1; total > MaxPartsBytes {
			return parts[:i]
		}
	}
	return parts
}

// shortID returns an id that stands for a long one.
func shortID(part string) string {
	hash := strconv.FormatUint(xxhash.Sum64String(part), 16)
	return part[:maxPartBytes-1-len(hash)] + "~" + hash
}
