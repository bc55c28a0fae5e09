package gateway

import (
	"testing"

	"github.com/matryer/is"
)

func retries(b *budget) (n int) {
	for b.Retry("s") {
		n++
	}
	return n
}

// TestBudgetFollowsTheNumberOfNodes guards against a node that starts while the store
// is away and keeps the retries of a node of a small deployment, though many share the
// budget.
func TestBudgetFollowsTheNumberOfNodes(t *testing.T) {
	is := is.New(t)
	count, known := 1, false
	const extra = 180
	b := newBudget(1, extra, func() (int, bool) { return count, known })
	is.Equal(retries(b), 1) // nothing is known of the others
	count, known = 89, true
	for range 10 * extra {
		b.First("s")
	}
	is.Equal(retries(b), extra/89)
	count = 8
	for range 10 * extra {
		b.First("s")
	}
	count = 89
	is.Equal(retries(b), extra/89) // what was saved for 8 does not count for 89
}
