package main

import (
	"net/http"
	"sync"
	"time"
)

// arrival is one request that reached a server.
type arrival struct {
	id, server string
	start      time.Time
	// end is when the server stopped to work on it; zero while it does.
	end time.Time
}

// arrivals holds all requests that reached servers.
type arrivals struct {
	mu   sync.Mutex
	list []*arrival
}

func (a *arrivals) begin(s *server, r *http.Request) *arrival {
	n := &arrival{id: r.Header.Get("Attempt-Id"), server: s.id, start: time.Now()}
	a.mu.Lock()
	a.list = append(a.list, n)
	a.mu.Unlock()
	s.d.rec.Addf("arrive %s at %s, last event id %q, deadline %s ms", n.id, s.id, r.Header.Get("Last-Event-Id"), r.Header.Get("Deadline-Ms"))
	return n
}

func (a *arrivals) finish(s *server, n *arrival, how string) {
	a.mu.Lock()
	n.end = time.Now()
	a.mu.Unlock()
	s.d.rec.Addf("end %s at %s: %s", n.id, s.id, how)
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]arrival, len(a.list))
	for i, n := range a.list {
		list[i] = *n
	}
	return list
}

// clients counts and records what clients have sent and got.
type clients struct {
	d  *deployment
	wg sync.WaitGroup

	mu     sync.Mutex
	sentTo map[string]*gatewayProcess
	status map[string]int
}

func newClients(d *deployment) *clients {
	return &clients{d: d, sentTo: map[string]*gatewayProcess{}, status: map[string]int{}}
}

// send sends a request in the background. kind groups the results.
func (c *clients) send(g *gatewayProcess, kind string, q request, check func(answer)) {
	c.mu.Lock()
	c.sentTo[q.id] = g
	c.mu.Unlock()
	c.wg.Go(func() {
		c.d.rec.Addf("send %s (%s) to %s", q.id, kind, g.name)
		a := send(g, q)
		c.d.rec.Addf("answer %s (%s): %s", q.id, kind, a.text())
		c.mu.Lock()
		if a.err == nil {
			c.status[kind+" "+http.StatusText(a.status)]++
		} else {
			c.status[kind+" error"]++
		}
		c.mu.Unlock()
		if check != nil {
			check(a)
		}
	})
}

// gatewayOf returns the node that took a request.
func (c *clients) gatewayOf(id string) *gatewayProcess {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentTo[id]
}

// finish waits for all answers and records the sums.
func (c *clients) finish() {
	c.wg.Wait()
	for kind, n := range c.status {
		c.d.rec.Say("answers: %d x %s", n, kind)
	}
}
