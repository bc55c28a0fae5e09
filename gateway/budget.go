package gateway

import (
	"sync"

	"github.com/figweir/figweir/admit"
)

// retryBudgets holds this node's share of the retry budget of each service.
type retryBudgets struct {
	retryRatio, extraRetries float64
	// nodeCount returns the number of nodes that share the budget; false until the
	// list of nodes has been read.
	nodeCount func() (int, bool)

	mu       sync.Mutex
	services map[string]*admit.RetryBudget
}

func (g *Gateway) newRetryBudgets() *retryBudgets {
	bounds := &g.settings.Bounds
	return newRetryBudgets(bounds.RetryRatio*retryBudgetFraction, bounds.RetryExtra*retryBudgetFraction, g.nodes.CountIfLoaded)
}

func newRetryBudgets(ratio, extra float64, nodes func() (int, bool)) *retryBudgets {
	return &retryBudgets{retryRatio: ratio, extraRetries: extra, nodeCount: nodes, services: make(map[string]*admit.RetryBudget)}
}

// forService returns the retry budget of a service, with the burst for the current number
// of nodes.
func (b *retryBudgets) forService(service string) *admit.RetryBudget {
	burst := b.burst()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		s = admit.NewRetryBudget(b.retryRatio, burst)
		b.services[service] = s
	}
	s.SetBurst(burst)
	return s
}

// burst returns this node's share of the extra retries.
func (b *retryBudgets) burst() float64 {
	nodes, loaded := b.nodeCount()
	if !loaded {
		return burstBeforeNodeList
	}
	return b.extraRetries / float64(max(minBudgetNodes, nodes))
}

const (
	// minBudgetNodes is the minimum node count for the division: nodes that start
	// together may not all be in the list yet.
	minBudgetNodes = 8
	// burstBeforeNodeList is this node's share until the list of nodes has been
	// read.
	burstBeforeNodeList = 1
)

// FirstAttempt implements core.RetryBudget.
func (b *retryBudgets) FirstAttempt(service string) { b.forService(service).FirstAttempt() }

// Retry implements core.RetryBudget.
func (b *retryBudgets) Retry(service string) bool { return b.forService(service).Retry() }
