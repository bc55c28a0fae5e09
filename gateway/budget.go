package gateway

import (
	"sync"

	"github.com/figweir/figweir/admit"
)

// budget is this node's part of the retry budget of each service.
type budget struct {
	ratio, extra float64
	// nodes returns the number of nodes that share the budget; false before the
	// list of nodes was read.
	nodes func() (int, bool)

	mu       sync.Mutex
	services map[string]*admit.RetryBudget
}

func (g *Gateway) newBudget() *budget {
	bounds := &g.settings.Bounds
	return newBudget(bounds.RetryRatio*budgetShare, bounds.RetryExtra*budgetShare, g.nodes.Size)
}

func newBudget(ratio, extra float64, nodes func() (int, bool)) *budget {
	return &budget{ratio: ratio, extra: extra, nodes: nodes, services: make(map[string]*admit.RetryBudget)}
}

func (b *budget) of(service string) *admit.RetryBudget {
	burst := b.burst()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		s = admit.NewRetryBudget(b.ratio, burst)
		b.services[service] = s
	}
	s.SetBurst(burst)
	return s
}

// burst returns this node's part of the extra retries.
func (b *budget) burst() int {
	nodes, known := b.nodes()
	if !known {
		return unknownBurst
	}
	return int(b.extra) / max(minBudgetNodes, nodes)
}

const (
	// minBudgetNodes is assumed while nodes that start together are still joining
	// the list.
	minBudgetNodes = 8
	// unknownBurst is a node's part while it does not know how many share the
	// budget.
	unknownBurst = 1
)

// First implements core.Budget.
func (b *budget) First(service string) { b.of(service).FirstAttempt() }

// Retry implements core.Budget.
func (b *budget) Retry(service string) bool { return b.of(service).Retry() }
