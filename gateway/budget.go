package gateway

import (
	"sync"

	"github.com/figweir/figweir/admit"
)

// budget is this node's part of the retry budget of each service.
type budget struct {
	ratio, extra float64
	nodes        func() int

	mu       sync.Mutex
	services map[string]*admit.RetryBudget
}

func (g *Gateway) newBudget() *budget {
	return &budget{
		ratio: g.settings.Bounds.RetryRatio * budgetShare, extra: g.settings.Bounds.RetryExtra * budgetShare,
		nodes: g.nodes.Count, services: make(map[string]*admit.RetryBudget),
	}
}

func (b *budget) of(service string) *admit.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		s = admit.NewRetryBudget(b.ratio, int(b.extra)/max(minBudgetNodes, b.nodes()))
		b.services[service] = s
	}
	return s
}

// minBudgetNodes is assumed while the list of nodes is not known yet.
const minBudgetNodes = 8

// First implements core.Budget.
func (b *budget) First(service string) { b.of(service).FirstAttempt() }

// Retry implements core.Budget.
func (b *budget) Retry(service string) bool { return b.of(service).Retry() }
