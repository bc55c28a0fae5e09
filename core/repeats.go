package core

import (
	"sync"
	"time"
)

// maxTrackedRequests is the maximum number of requests in a repeatGuard.
const maxTrackedRequests = 1 << 14

// repeatSweepInterval is the time between two removals of expired requests.
const repeatSweepInterval = time.Second

// repeatGuard remembers requests that may run only once, until their deadlines. Client libraries
// send a request again, with its id, if their connection ends before the answer. The zero value is
// empty. Its methods may be called from any goroutine.
type repeatGuard struct {
	mu sync.Mutex
	// until holds the deadlines by request.
	until   map[string]time.Time
	sweptAt time.Time
}

// enter adds a request until the given deadline. It returns false if the request is there already.
// If the guard is full, the request is not added, and the result is true.
func (g *repeatGuard) enter(request string, until, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.sweptAt) >= repeatSweepInterval {
		g.sweep(now)
	}
	if earlier, ok := g.until[request]; ok && now.Before(earlier) {
		return false
	}
	if g.until == nil {
		g.until = make(map[string]time.Time)
	}
	if len(g.until) < maxTrackedRequests {
		g.until[request] = until
	}
	return true
}

// forget removes a request that has certainly not run.
func (g *repeatGuard) forget(request string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.until, request)
}

// sweep removes the requests whose deadlines have passed. g.mu must be held.
func (g *repeatGuard) sweep(now time.Time) {
	g.sweptAt = now
	for request, until := range g.until {
		if !now.Before(until) {
			delete(g.until, request)
		}
	}
}
