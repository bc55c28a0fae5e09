package gateway

import (
	"sync"
	"time"

	"github.com/figweir/figweir/backends"
)

// statedLimits holds the last rate limit that each backend server has stated to this node.
type statedLimits struct {
	mu       sync.Mutex
	byServer map[string]statedLimit
}

type statedLimit struct {
	perSecond float64
	since     time.Time
}

// onNotice logs what a backend server states about itself when it changes.
func (g *Gateway) onNotice(s *backends.Server, _ time.Time, n backends.Notice) {
	l := &g.statedLimits
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.byServer[s.ID]
	switch n.Limit.Kind {
	case backends.Unreadable:
		g.observer.notices.Add("unreadable_limit", 1)
	case backends.Limited:
		g.observer.notices.Add("answer_with_limit", 1)
		if known && old.perSecond == n.Limit.PerSecond {
			return
		}
		if l.byServer == nil {
			l.byServer = make(map[string]statedLimit)
		}
		l.byServer[s.ID] = statedLimit{n.Limit.PerSecond, time.Now()}
		g.log.Info("backend server states a limit", "backend_server", s.ID, "per_s", n.Limit.PerSecond, "role", s.Role)
	case backends.Unlimited:
		if known {
			delete(l.byServer, s.ID)
			g.log.Info("backend server states no limit any more", "backend_server", s.ID, "after_ms", time.Since(old.since).Milliseconds())
		}
	}
}

// isUnlimited reports whether this node knows of no limit of a backend server.
func (g *Gateway) isUnlimited(id string) bool {
	g.statedLimits.mu.Lock()
	defer g.statedLimits.mu.Unlock()
	_, known := g.statedLimits.byServer[id]
	return !known
}
