package gateway

import (
	"context"
	"time"

	"github.com/figweir/figweir/backends"
)

// leavingCheckInterval is the time after which a server that stated that it leaves, and is still
// registered as ready, is checked. A server that leaves is gone by then as a rule.
const leavingCheckInterval = 20 * time.Second

// checkLeavingServers makes health checks of servers that have stated that they leave and are
// still registered as ready, until ctx ends. Without requests they could not show that they stay.
func (g *Gateway) checkLeavingServers(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, s := range g.registry.View().All() {
			if s.IsLeaving() && s.State == backends.Ready && s.LeavingFor(time.Now()) >= interval {
				g.checkLeaving(ctx, s)
			}
		}
	}
}

// checkLeaving makes a health check of one server and selects it again if it stays.
func (g *Gateway) checkLeaving(ctx context.Context, s *backends.Server) {
	table := g.table.Load()
	if table == nil || table.Services[s.Service] == nil || table.Services[s.Service].HealthPath == "" {
		return
	}
	if !g.backend.StaysReady(ctx, s, table.Services[s.Service].HealthPath) {
		s.ConfirmLeaving(time.Now())
		return
	}
	s.MarkStaying()
	g.observer.notices.Add("staying", 1)
	g.log.Info("backend server stays", "backend_server", s.ID)
}
