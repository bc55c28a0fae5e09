package archive

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/figweir/figweir/quarantine"
	"github.com/figweir/figweir/standin/memstore"
	"github.com/figweir/figweir/store"
)

// holdTime is how long parts are held before the first trial, and trialTime how long its outcome is
// awaited.
const (
	holdTime  = 20 * time.Second
	trialTime = 10 * time.Second
)

// node is a tracker with its archive.
type node struct {
	*quarantine.Tracker
	archive *Archive
}

// startNode returns a node that has just started and has read the store.
func startNode(t *testing.T, st *memstore.Store) *node {
	n := newNode(st)
	n.archive.Load(t.Context())
	return n
}

func newNode(st *memstore.Store) *node {
	tracker := quarantine.NewTracker(1)
	a := &Archive{Tracker: tracker, Store: st.NewClient(), TrueTime: func(t time.Time) time.Time { return t.Round(0) }, Log: logr.Discard()}
	tracker.PermitTrial = a.PermitTrial
	return &node{tracker, a}
}

// run lets the nodes work for a span of time, without messages between them.
func run(d time.Duration, nodes ...*node) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, n := range nodes {
			n.Tick(time.Now())
			n.archive.Step(time.Now(), true)
		}
		synctest.Wait()
	}
}

// crash makes servers crash on the parts, one after the other.
func crash(first, count int, n *node, parts ...string) {
	for i := range count {
		id := uint64(first + i)
		n.Crash(time.Now(), quarantine.Evidence{Request: id, Server: id, Parts: parts, At: time.Now()})
		run(time.Second, n)
	}
}

func (n *node) isBlocked(parts ...string) bool { return n.Check(time.Now(), parts).Blocked }

func (n *node) isTrial(parts ...string) bool { return n.Check(time.Now(), parts).Trial }

// TestSuspicionOutlivesAllNodes guards against a part that crashes servers being forgotten, and learned
// anew by more crashes, when all nodes are killed at once.
func TestSuspicionOutlivesAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memstore.New()
		crash(0, 4, startNode(t, st), "first", "bad")
		for range 3 { // kills
			n := startNode(t, st)
			is.True(n.isBlocked("first", "bad"))
			is.True(n.isBlocked("first", "other", "bad"))
			is.True(!n.isBlocked("first"))
		}
	})
}

// TestEvidenceOutlivesAllNodes guards against parts that crash servers without end because all nodes are
// killed each time before they are suspected.
func TestEvidenceOutlivesAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memstore.New()
		crash(0, 3, startNode(t, st), "first", "bad")
		n := startNode(t, st)
		is.True(!n.isBlocked("first", "bad"))
		crash(3, 1, n, "first", "bad")
		is.True(n.isBlocked("first", "bad"))
	})
}

// TestSoundEvidenceExpires guards against losses that are kept for good and blame a sound part later.
func TestSoundEvidenceExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memstore.New()
		crash(0, 3, startNode(t, st), "rare")
		time.Sleep(quarantine.EvidenceTTL + time.Second)
		entries, _, err := st.List(t.Context(), prefix)
		is.NoErr(err)
		is.Equal(len(entries), 0)
		is.Equal(startNode(t, st).EvidenceCount(), 0)
	})
}

// TestTrialsOfAllNodesAreCounted guards against nodes that each try a suspected part at the same moment,
// and against trials that go on for ever: the rule allows three requests for good. The load: twenty nodes
// that hear nothing of each other but through the store, with requests at each of them all the time, and
// a kill of all of them.
func TestTrialsOfAllNodesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memstore.New()
		crash(0, 4, startNode(t, st), "bad")
		trials := 0
		for range 3 { // kills
			var nodes []*node
			for range 20 {
				nodes = append(nodes, startNode(t, st))
			}
			for range 60 {
				now := 0
				for _, n := range nodes {
					if n.isTrial("bad") {
						now++
					}
				}
				is.True(now <= 1)
				trials += now
				run(time.Second, nodes...)
			}
		}
		is.Equal(trials, 2)
		// Only an operator ends it.
		n := startNode(t, st)
		run(24*time.Hour, n)
		verdict := n.Check(time.Now(), []string{"bad"})
		is.True(verdict.Blocked)
		is.Equal(verdict.RetryAfter, time.Hour)
		is.True(n.Lift(time.Now(), "bad"))
		run(time.Second, n)
		is.True(!startNode(t, st).isBlocked("bad"))
	})
}

// TestTrialThatWasNotSentIsGivenBack guards against a sound part that stays blocked because its trials
// found no server.
func TestTrialThatWasNotSentIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := startNode(t, memstore.New())
		crash(0, 4, n, "sound")
		run(holdTime, n)
		for range 5 {
			is.True(n.isTrial("sound"))
			n.ReturnTrial([]string{"sound"})
		}
		attempt, ok := n.Start([]string{"sound"}, true, func() {})
		is.True(ok)
		attempt.Arrived(time.Now())
		attempt.Completed(time.Now())
		is.Equal(len(n.Suspicions()), 0)
	})
}

// TestNoTrialWithoutStore guards against trials that nobody counts while the store is away, and against a
// suspicion that is not written when it is back.
func TestNoTrialWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memstore.New()
		n := startNode(t, st)
		st.SetFault(func(memstore.Op, string) memstore.Fault { return memstore.Fault{Refuse: true} })
		crash(0, 4, n, "bad")
		run(holdTime, n)
		is.True(n.isBlocked("bad"))
		run(2*trialTime, n)
		is.True(n.isBlocked("bad"))
		st.SetFault(nil)
		run(trialTime, n)
		is.True(startNode(t, st).isBlocked("bad"))
		is.True(n.isTrial("bad"))
	})
}

// TestLostAnswerOfTrialCountsAsTrial guards against a trial that is counted twice or not at all when the
// store's answer to the count is lost.
func TestLostAnswerOfTrialCountsAsTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memstore.New()
		n := startNode(t, st)
		crash(0, 4, n, "bad")
		run(holdTime, n)
		st.SetFault(func(op memstore.Op, _ string) memstore.Fault { return memstore.Fault{LoseAnswer: op == memstore.OpPut} })
		is.True(n.isBlocked("bad")) // its outcome is unknown
		st.SetFault(nil)
		trials := 0
		for range 600 {
			if n.isTrial("bad") {
				trials++
			}
			run(time.Second, n)
		}
		is.Equal(trials, 1)
	})
}

// TestNarrowedSuspicionReplacesItsEntry guards against an entry with parts that are known to be sound, and
// against several entries for one bad part.
func TestNarrowedSuspicionReplacesItsEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memstore.New()
		n := startNode(t, st)
		crash(0, 4, n, "first", "bad")
		attempt, ok := n.Start([]string{"first"}, false, func() {})
		is.True(ok)
		attempt.Arrived(time.Now())
		attempt.Completed(time.Now())
		run(time.Second, n)
		entries, _, err := st.List(t.Context(), suspicionPrefix)
		is.NoErr(err)
		is.Equal(len(entries), 1)
		restarted := startNode(t, st)
		is.Equal(restarted.Suspicions()[0].Parts, []string{"bad"})
	})
}

// TestRestoredStoreIsCorrected guards against suspicions that a store which came back from a copy has lost,
// and against ones that it has again although they were lifted.
func TestRestoredStoreIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memstore.New()
		n := startNode(t, st)
		crash(0, 4, n, "lifted")
		copied := st.Copy()
		is.True(n.Lift(time.Now(), "lifted"))
		crash(4, 4, n, "kept")
		is.Equal(len(startNode(t, st).Suspicions()), 1)
		st.Restore(copied)
		stale := n.State() // of a node that doesn't know of the restore yet
		n.archive.StoreRestored(t.Context())
		n.Apply(time.Now(), stale)
		run(2*time.Second, n)
		restarted := startNode(t, st)
		is.True(!restarted.isBlocked("lifted"))
		is.True(restarted.isBlocked("kept"))
	})
}

// TestTwoNodesWithDifferentParts guards against nodes that know different parts of one matter and undo each
// other's entries.
func TestTwoNodesWithDifferentParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memstore.New()
		a, b := startNode(t, st), startNode(t, st)
		crash(0, 4, a, "subject", "bad")
		crash(4, 4, b, "bad")
		for range 20 {
			a.Apply(time.Now(), b.State())
			b.Apply(time.Now(), a.State())
			run(time.Second, a, b)
		}
		entries, _, err := st.List(t.Context(), suspicionPrefix)
		is.NoErr(err)
		is.Equal(len(entries), 1)
		is.Equal(startNode(t, st).Suspicions()[0].Parts, []string{"bad"})
	})
}

// TestForeignEntriesHarmNothing guards against entries of other writers, or ones that can't be read, that
// block requests, stop a node or hide other entries.
func TestForeignEntriesHarmNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memstore.New()
		crash(0, 4, startNode(t, st), "bad")
		for i, value := range []string{"", "{", "null", `{"parts":[]}`, `{"parts":"x"}`, `{"parts":["sound"],"trials_started":-1}`, "\xff"} {
			for _, prefix := range []string{prefix, suspicionPrefix, evidencePrefix} {
				_, err := st.Put(t.Context(), fmt.Sprint(prefix, "x", i), []byte(value), 0, store.NoLease)
				is.NoErr(err)
			}
		}
		n := startNode(t, st)
		is.Equal(len(n.Suspicions()), 1)
		is.True(n.isBlocked("bad"))
		is.True(!n.isBlocked("sound"))
	})
}

// TestNumberOfEntriesIsBounded guards against callers that fill the store with suspicions.
func TestNumberOfEntriesIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memstore.New()
		n := startNode(t, st)
		for i := range 80 {
			crash(4*i, 4, n, fmt.Sprint("part", i))
		}
		run(time.Minute, n)
		entries, _, err := st.List(t.Context(), suspicionPrefix)
		is.NoErr(err)
		is.Equal(len(entries), 64)
		is.Equal(len(startNode(t, st).Suspicions()), 64)
	})
}

// TestLoadWaitsForStore guards against a node that serves without the suspicions because the store turned
// its first calls down.
func TestLoadWaitsForStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memstore.New()
		crash(0, 4, startNode(t, st), "bad")
		calls := 0
		st.SetFault(func(memstore.Op, string) memstore.Fault {
			if calls++; calls <= 5 {
				return memstore.Fault{Refuse: true}
			}
			return memstore.Fault{}
		})
		is.True(startNode(t, st).isBlocked("bad"))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		newNode(st).archive.Load(ctx) // ends with its context
	})
}
