package gateway

import (
	"testing"

	"github.com/matryer/is"
)

func countRetries(b *retryBudgets) (n int) {
	for b.Retry("s") {
		n++
	}
	return n
}

// TestSharesOfLargeFleetAreNotRoundedDown guards against a large part of the shared
// budget that no node of a fleet of hundreds can use.
func TestSharesOfLargeFleetAreNotRoundedDown(t *testing.T) {
	is := is.New(t)
	const nodes, extra, ratio = 195, 344, 0.5
	retries := 0
	for range nodes {
		b := newRetryBudgets(ratio, extra, func() (int, bool) { return nodes, true })
		b.FirstAttempt("s")
		for b.Retry("s") {
			retries++
		}
		// What is left of the share counts towards the next retry.
		b.FirstAttempt("s")
		for b.Retry("s") {
			retries++
		}
	}
	is.True(retries > nodes)
	is.True(retries <= extra+2*ratio*nodes)
}

// TestRetryBudgetFollowsNodeCount guards against a node that starts during a store
// outage and keeps the retry share of a small deployment, although many nodes share
// the budget.
func TestRetryBudgetFollowsNodeCount(t *testing.T) {
	is := is.New(t)
	count, loaded := 1, false
	const extra = 180
	b := newRetryBudgets(1, extra, func() (int, bool) { return count, loaded })
	is.Equal(countRetries(b), 1) // the list of nodes has not been read
	count, loaded = 89, true
	for range 10 * extra {
		b.FirstAttempt("s")
	}
	is.Equal(countRetries(b), extra/89)
	count = 8
	for range 10 * extra {
		b.FirstAttempt("s")
	}
	count = 89
	is.Equal(countRetries(b), extra/89) // retries accumulated as one of 8 nodes are capped
}
