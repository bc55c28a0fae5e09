package store

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func revisionOf(t *testing.T, era Era, number uint64) Revision {
	t.Helper()
	r, err := NewRevision(era, number)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestRevisionsIncreaseOverEras guards against a later revision that compares as an older one
// because the store gave numbers out again. The load: any two positions in the store's history.
func TestRevisionsIncreaseOverEras(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(label string) (Era, uint64, Revision) {
			era, number := Era(rapid.Uint64Range(0, maxEra).Draw(rt, label+" era")), rapid.Uint64Range(0, maxNumber).Draw(rt, label)
			return era, number, revisionOf(t, era, number)
		}
		era, number, revision := draw("first")
		otherEra, otherNumber, other := draw("second")
		later := era > otherEra || era == otherEra && number > otherNumber
		if (revision > other) != later || revision.Era() != era || revision.Number() != number || int64(revision) < 0 {
			rt.Fatalf("revision %d of era %d, number %d beside %d", revision, era, number, other)
		}
	})
}

// TestStoreWithoutErasKeepsItsNumbers guards against other fencing tokens and positions at a store
// that states no era.
func TestStoreWithoutErasKeepsItsNumbers(t *testing.T) {
	is := is.New(t)
	is.Equal(revisionOf(t, 0, 4711), Revision(4711))
}

// TestNumbersOutOfRangeAreErrors guards against a number that spills into the era. The load: the
// greatest numbers that a store can state.
func TestNumbersOutOfRangeAreErrors(t *testing.T) {
	is := is.New(t)
	_, err := NewRevision(0, maxNumber+1)
	is.True(errors.Is(err, errOutOfRange))
	_, err = NewRevision(maxEra+1, 1)
	is.True(errors.Is(err, errOutOfRange))
}

// TestResponsesAcrossErasProveNothing guards against a lost change that counts as written or as
// current. The load: a response of the era before, one of the present era, and one of an era that
// is later than the condition of the write.
func TestResponsesAcrossErasProveNothing(t *testing.T) {
	is := is.New(t)
	tracker := NewEraTracker()
	tracker.Observe(2)
	tracker.Observe(1) // a late response
	is.Equal(tracker.Current(), Era(2))
	is.True(errors.Is(tracker.CheckRead(1), ErrUnavailable))
	is.NoErr(tracker.CheckRead(2))
	old, present := revisionOf(t, 1, 5), revisionOf(t, 2, 5)
	is.True(errors.Is(tracker.CheckExpected(old), ErrConflict))
	is.NoErr(tracker.CheckExpected(present))
	is.NoErr(tracker.CheckExpected(0)) // "does not exist" holds in each era
	is.True(errors.Is(tracker.CheckWritten(1, old, NoLease), ErrAmbiguous))
	is.True(errors.Is(tracker.CheckWritten(2, old, NoLease), ErrAmbiguous))
	is.NoErr(tracker.CheckWritten(2, present, NoLease))
	is.NoErr(tracker.CheckWritten(2, 0, NoLease))
	oldLease := LeaseID{Era: 1, Number: 9}
	is.True(errors.Is(tracker.CheckLease(oldLease), ErrNotFound))
	is.True(errors.Is(tracker.CheckWritten(2, 0, oldLease), ErrAmbiguous))
}

// TestLaterEraEndsContext guards against calls that wait on in a history that has ended.
func TestLaterEraEndsContext(t *testing.T) {
	is := is.New(t)
	tracker := NewEraTracker()
	tracker.Observe(1)
	var seen []Era
	tracker.OnChange(func(era Era) { seen = append(seen, era) })
	within, era, cancel := tracker.WithinEra(context.Background())
	defer cancel()
	is.Equal(era, Era(1))
	tracker.Observe(1)
	is.NoErr(within.Err())
	tracker.Observe(3)
	<-within.Done()
	is.Equal(seen, []Era{3})
}
