package gateway

import (
	"time"

	"github.com/figweir/figweir/backends"
)

// onNotice records what a backend server states about itself in an answer to a request that this
// node sent at sentAt.
func (g *Gateway) onNotice(s *backends.Server, sentAt time.Time, n backends.Notice) {
	now := time.Now()
	switch n.Limit.Kind {
	case backends.Limited:
		g.observer.notices.Add("limit", 1)
		g.limits.limiter.Stated(now, sentAt, s.Incarnation, n.Limit.PerSecond)
	case backends.Unlimited:
		g.limits.limiter.NotStated(now, sentAt, s.Incarnation)
	case backends.Unreadable:
		g.observer.notices.Add("unreadable_limit", 1)
	}
	if n.Leaving && !s.IsLeaving() {
		s.MarkLeaving(now)
		g.observer.notices.Add("leaving", 1)
		g.log.Info("backend server leaves, as it states", "backend_server", s.ID, "registered_state", s.State)
	}
	if n.RetryAfter > 0 {
		s.Hold(now, n.RetryAfter)
		g.observer.notices.Add("retry_after", 1)
		g.log.Info("backend server wants no requests for a time", "backend_server", s.ID, "for_ms", n.RetryAfter.Milliseconds())
	}
}

// maxLoggedHeaderBytes is the length to which header values are cut in logs.
const maxLoggedHeaderBytes = 64

// onMalformedLoad counts a load header that is not used, and logs some of them.
func (g *Gateway) onMalformedLoad(s *backends.Server, values []string) {
	g.observer.notices.Add("malformed_load", 1)
	if !g.observer.malformedLoads.Allow() {
		return
	}
	value := values[0][:min(len(values[0]), maxLoggedHeaderBytes)]
	g.log.Info("malformed load header of a backend server ignored", "backend_server", s.ID, "headers", len(values), "value", value)
}
