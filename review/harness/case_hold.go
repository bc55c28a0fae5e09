package main

import (
	"net/http"
	"sync"
	"time"
)

// holdForgotten: a server that is full asks two nodes, by Retry-After, to send it nothing for a
// while. Then it can't reach the store for 5 s.
func holdForgotten(d *deployment, trouble bool) (bool, error) {
	const (
		retryAfter = 45 * time.Second
		fullAt     = 6 * time.Second
		fullFor    = time.Second
		cutAt      = 9 * time.Second
		cutFor     = 5 * time.Second
		duration   = 28 * time.Second
		perSecond  = 50
		work       = 30 * time.Millisecond
	)
	var seen arrivals
	var mu sync.Mutex
	// asked holds when the first server asked each node, by the ids of the requests turned away.
	asked := map[string]time.Time{}
	var start time.Time
	handle := func(first bool) func(*server, http.ResponseWriter, *http.Request) {
		return func(s *server, w http.ResponseWriter, r *http.Request) {
			n := seen.begin(s, r)
			since := time.Since(start)
			if first && since > fullAt && since < fullAt+fullFor {
				s.turnAway(w, "45")
				mu.Lock()
				asked[n.id] = time.Now()
				mu.Unlock()
				seen.finish(s, n, "503 with Retry-After 45")
				return
			}
			s.running.Add(1)
			defer s.running.Add(-1)
			if wait(r, work) {
				s.setLoad(w.Header())
				w.Header().Set("Response-Seal", seal(n.id, http.StatusOK))
				_, _ = w.Write(make([]byte, 800))
			}
			seen.finish(s, n, "run")
		}
	}
	d.configure("wuno96b", false, route{
		Name: "r-entry", Hostname: host, PathPrefix: "/puxa403/", RouteKind: "unsafe", TimeoutMS: 1000, TargetMS: 150, Priority: 2, Service: "wuno96b", MaxAttempts: 1,
	})
	start = time.Now().Add(time.Hour)
	servers := make([]*server, 5)
	for i := range servers {
		s, err := d.addServer(i, "wuno96b", "", 6, handle(i == 0))
		if err != nil {
			return false, err
		}
		servers[i] = s
	}
	if err := d.startGateways(2); err != nil {
		return false, err
	}
	start = time.Now()
	if trouble {
		time.AfterFunc(cutAt, func() {
			d.rec.Say("%s can't reach the store", servers[0].id)
			servers[0].cut.Store(true)
		})
		time.AfterFunc(cutAt+cutFor, func() {
			d.rec.Say("%s reaches the store again", servers[0].id)
			servers[0].cut.Store(false)
		})
	}
	c := newClients(d)
	for i := range int(duration.Seconds()) * perSecond {
		c.send(d.gateways[i%2], "entry", request{method: http.MethodPost, path: "/puxa403/2f", id: newID("a"), deadline: time.Second}, nil)
		time.Sleep(time.Second / perSecond)
	}
	c.finish()
	isBroken := false
	for _, g := range d.gateways {
		var from, until time.Time
		for id, at := range asked {
			if c.gatewayOf(id) == g && (from.IsZero() || at.Before(from)) {
				from = at
			}
		}
		if from.IsZero() {
			d.rec.Say("%s was not asked to wait", g.name)
			continue
		}
		from, until = from.Add(500*time.Millisecond), from.Add(retryAfter)
		count := 0
		for _, n := range seen.all() {
			if n.server == servers[0].id && c.gatewayOf(n.id) == g && n.start.After(from) && n.start.Before(until) {
				count++
			}
		}
		d.rec.Say("%s: %d requests reached %s between half a second after its 503 with Retry-After and the end of that time (2 are allowed)", g.name, count, servers[0].id)
		isBroken = isBroken || count > 2
	}
	return isBroken, nil
}
