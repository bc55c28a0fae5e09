package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/peer"
	"github.com/figweir/figweir/quarantine"
)

// largestHeaderParts returns the ids of the parts that fill the largest header which nodes accept.
func largestHeaderParts(idBytes int) []string {
	var parts []string
	for bytes := 0; bytes < callerMaxHeaderBytes; bytes += idBytes + len(":1,") {
		parts = append(parts, fmt.Sprintf("%0*x", idBytes, len(parts)))
	}
	return parts
}

// TestQuarantineMessagesFitDatagrams guards against updates that are dropped because they are
// larger than what a node can receive, and against parts of a long prompt that do not arrive.
func TestQuarantineMessagesFitDatagrams(t *testing.T) {
	is := is.New(t)
	const receivable = 8 << 10
	now := time.Now()
	var u quarantine.Update
	for i := range uint64(9) {
		for _, idBytes := range []int{4, 8, 64} {
			parts := largestHeaderParts(idBytes)
			u.Evidence = append(u.Evidence, quarantine.Evidence{Request: i, Server: uint64(idBytes), Parts: parts, At: now})
			u.Suspicions = append(u.Suspicions, quarantine.Suspicion{Parts: parts[:4096/idBytes], Since: now, HeldUntil: now.Add(time.Hour), Servers: make([]uint64, 16)})
		}
		u.Clearances = append(u.Clearances, quarantine.Clearance{Part: "p", At: now})
	}
	q := &quarantineSharing{incarnation: 1}
	arrived := make(map[[2]uint64]int)
	suspicions, clearances := 0, 0
	for _, m := range q.messages(now, u) {
		is.True(proto.Size(m) < receivable)
		for _, e := range peer.DecodeQuarantine(now, m.Quarantine).Evidence {
			is.True(len(e.Parts) == e.PartCount || e.PartCount > 1)
			arrived[[2]uint64{e.Request, e.Server}] += len(e.Parts)
		}
		suspicions += len(m.Quarantine.Suspected)
		clearances += len(m.Quarantine.Cleared)
	}
	for _, e := range u.Evidence {
		is.Equal(arrived[[2]uint64{e.Request, e.Server}], len(e.Parts))
	}
	is.Equal(len(arrived), len(u.Evidence))
	is.Equal(suspicions, len(u.Suspicions))
	is.Equal(clearances, len(u.Clearances))
}

// TestPartsOfLargestHeaderCount guards against a part that crashes servers and stands behind the
// parts that a node looks at, and against evidence with many parts that no other node understands.
func TestPartsOfLargestHeaderCount(t *testing.T) {
	is := is.New(t)
	parts := append(largestHeaderParts(8), "bad")
	now := time.Now()
	tracker, other := quarantine.NewTracker(1), quarantine.NewTracker(2)
	q := &quarantineSharing{incarnation: 1}
	for i := range uint64(4) {
		now = now.Add(time.Second)
		tracker.Crash(now, quarantine.Evidence{Request: i, Server: i, Parts: parts, At: now})
		for _, m := range q.messages(now, tracker.DueUpdate(now, false)) {
			other.Apply(now, peer.DecodeQuarantine(now, m.Quarantine))
		}
	}
	tracker.Tick(now)
	other.Tick(now)
	is.True(tracker.Check(now, parts).Blocked)
	is.True(other.Check(now, parts).Blocked)
}

// TestLateQuarantineMessagesAreIgnored guards against a datagram that arrives twice or late
// and lifts a suspicion, because its ages are counted from its arrival.
func TestLateQuarantineMessagesAreIgnored(t *testing.T) {
	is := is.New(t)
	q := &quarantineSharing{tracker: quarantine.NewTracker(1), sequences: make(map[uint64]uint64)}
	now := time.Now()
	message := func(sequence uint64, u quarantine.Update) *figweirv1.LoadUpdate {
		return &figweirv1.LoadUpdate{Incarnation: 7, Sequence: sequence, Quarantine: peer.EncodeQuarantine(now, &u)}
	}
	suspected := message(1, quarantine.Update{Suspicions: []quarantine.Suspicion{{Parts: []string{"p"}, Since: now, LastCrash: now, HeldUntil: now.Add(time.Minute)}}})
	cleared := message(2, quarantine.Update{Clearances: []quarantine.Clearance{{Part: "p", At: now}}})
	again := message(3, quarantine.Update{Suspicions: []quarantine.Suspicion{{Parts: []string{"p"}, Since: now.Add(2 * time.Second), LastCrash: now, HeldUntil: now.Add(time.Minute)}}})
	q.receive(now, suspected)
	is.Equal(len(q.tracker.Suspicions()), 1)
	q.receive(now.Add(time.Second), cleared)
	is.Equal(len(q.tracker.Suspicions()), 0)
	q.receive(now.Add(3*time.Second), again)
	is.Equal(len(q.tracker.Suspicions()), 1)
	q.receive(now.Add(4*time.Second), cleared) // a second copy
	is.Equal(len(q.tracker.Suspicions()), 1)
}

// TestQuarantineMessageKeepsItsContent guards against fields that are lost on the way, and
// against numbers that are out of range.
func TestQuarantineMessageKeepsItsContent(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	u := quarantine.Update{
		Evidence:   []quarantine.Evidence{{Request: 1, Server: 2, Parts: []string{"a", "b"}, At: now.Add(-time.Second)}},
		Clearances: []quarantine.Clearance{{Part: "c", At: now.Add(-2 * time.Second)}},
		Suspicions: []quarantine.Suspicion{{
			Parts: []string{"d"}, Since: now.Add(-3 * time.Second), LastCrash: now.Add(-time.Second), HeldUntil: now.Add(4 * time.Second),
			Trials: 5, TrialUntil: now.Add(6 * time.Second), Crashes: 7, Servers: []uint64{8}, Started: 9, Stored: true,
		}},
	}
	is.Equal(peer.DecodeQuarantine(now, peer.EncodeQuarantine(now, &u)), u)
	future := quarantine.Update{Clearances: []quarantine.Clearance{{Part: "c", At: now.Add(time.Hour)}}}
	is.Equal(peer.DecodeQuarantine(now, peer.EncodeQuarantine(now, &future)).Clearances[0].At, now)
	nothing := peer.DecodeQuarantine(now, nil)
	is.True(nothing.Empty())
}
