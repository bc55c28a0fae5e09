package main

import (
	"encoding/json"
	"net/http"
	"os"
	"sync"
	"time"
)

// otherKey is a key that the operator withdraws.
const otherKey = "nu6wsjnbanfqasnmgkcu"

// silentWatch: the connections of all nodes on which watches of the store wait go silent; new ones
// work. Four seconds later a server drains and a key is withdrawn.
func silentWatch(d *deployment, trouble bool) (bool, error) {
	const (
		silentAt  = 5 * time.Second
		changeAt  = silentAt + contact + time.Second
		duration  = 24 * time.Second
		perSecond = 40
		applied   = 2 * time.Second
	)
	var seen arrivals
	handle := func(s *server, w http.ResponseWriter, r *http.Request) {
		n := seen.begin(s, r)
		if wait(r, 30*time.Millisecond) {
			s.setLoad(w.Header())
			w.Header().Set("Response-Seal", seal(n.id, http.StatusOK))
			_, _ = w.Write(make([]byte, 800))
		}
		seen.finish(s, n, "run")
	}
	configure := func(version int, keys ...string) {
		raw, _ := json.Marshal(map[string]any{
			"version": version, "services": []any{map[string]any{"name": "wuno96b", "health_check_path": "/health", "connection_limit": 110}},
			"routes":  []route{{Name: "r-entry", Hostname: host, PathPrefix: "/puxa403/", RouteKind: "unsafe", TimeoutMS: 1000, TargetMS: 150, Service: "wuno96b", MaxAttempts: 1}},
			"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
			"tenants": []any{map[string]any{"name": tenant, "api_keys": keys}},
		})
		d.store.Put("op/config", raw)
	}
	configure(7, apiKey, otherKey)
	servers := make([]*server, 4)
	for i := range servers {
		s, err := d.addServer(i, "wuno96b", "", 6, handle)
		if err != nil {
			return false, err
		}
		servers[i] = s
	}
	var proxies []*proxy
	for range 2 {
		p, err := newProxy(d.subnet+".4:0", d.storeAt)
		if err != nil {
			return false, err
		}
		proxies = append(proxies, p)
		d.storeFor = append(d.storeFor, p.address)
	}
	if err := d.startGateways(2); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var changed time.Time
	if trouble {
		time.AfterFunc(silentAt, func() {
			for i, p := range proxies {
				n, open := p.silence(os.Getenv("ALL") == "1")
				d.rec.Say("%d of %d connections of %s to the store go silent", n, open, d.gateways[i].name)
			}
		})
	}
	time.AfterFunc(changeAt, func() {
		configure(9, apiKey)
		servers[0].mu.Lock()
		servers[0].draining = true
		servers[0].mu.Unlock()
		servers[0].write()
		mu.Lock()
		changed = time.Now()
		mu.Unlock()
		d.rec.Say("the store has acknowledged version 9 without the second key, and that %s drains", servers[0].id)
	})
	c := newClients(d)
	lateKey, lateDrain := 0, 0
	for i := range int(duration.Seconds()) * perSecond {
		q := request{method: http.MethodPost, path: "/puxa403/2f", id: newID("a"), deadline: time.Second}
		if i%4 < 2 {
			q.key = otherKey
		}
		mu.Lock()
		late := !changed.IsZero() && time.Since(changed) > applied
		mu.Unlock()
		c.send(d.gateways[i%2], "entry", q, func(a answer) {
			if late && q.key == otherKey && a.status == http.StatusOK {
				mu.Lock()
				lateKey++
				mu.Unlock()
				d.rec.Addf("%s ran with the withdrawn key", q.id)
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	c.finish()
	for _, n := range seen.all() {
		if n.server == servers[0].id && n.start.Sub(changed) > applied {
			lateDrain++
		}
	}
	d.rec.Say("later than 2 s after the acknowledgement: %d requests ran with the withdrawn key, %d reached the draining server", lateKey, lateDrain)
	return lateKey > 0, nil
}
