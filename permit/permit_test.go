package permit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWaitIsBounded guards against waits that don't fit into a Duration, whose value differs between
// processors: with a tiny rate, and with none.
func TestWaitIsBounded(t *testing.T) {
	is := is.New(t)
	b := Bucket{Tokens: -5}
	is.Equal(b.Wait(5, 20), 500*time.Millisecond)
	is.Equal(b.Wait(-6, 0), time.Duration(0))
	for _, perSecond := range []float64{0, 1e-12, 1e-300} {
		is.Equal(b.Wait(5, perSecond), maxWait)
	}
}

// TestTotalsMakeUpForLostMessages guards against grants that are counted twice or not at all because
// a message of another granter came twice, late or never.
func TestTotalsMakeUpForLostMessages(t *testing.T) {
	is := is.New(t)
	totals := make(Totals)
	is.Equal(totals.Add(1, 3, 40), uint64(3)) // what was granted before is not known to be recent
	is.Equal(totals.Add(1, 3, 40), uint64(0))
	is.Equal(totals.Add(1, 2, 50), uint64(10))
	is.Equal(totals.Add(1, 8, 48), uint64(0))
	is.Equal(totals.Add(2, 7, 7), uint64(7))
}
