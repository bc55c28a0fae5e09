package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// resumeWhileRunning: servers send bytes that are no response in the middle of a few streams of a
// resumable route, and go on with the run. Such a stream may go on at another server, but the first
// one may not work on it 400 ms later.
func resumeWhileRunning(d *deployment, trouble bool) (bool, error) {
	const (
		servers    = 6
		faulty     = 2    // a third of the servers
		share      = 0.02 // of their answers
		events     = 35
		firstEvent = 600 * time.Millisecond
		pause      = 40 * time.Millisecond
		duration   = 40 * time.Second
		perSecond  = 25
		slack      = 400 * time.Millisecond
	)
	var seen arrivals
	var count atomic.Int64
	handle := func(number int) func(*server, http.ResponseWriter, *http.Request) {
		return func(s *server, w http.ResponseWriter, r *http.Request) {
			run := seen.begin(s, r)
			after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			spoil := trouble && number < faulty && after == 0 && int(float64(count.Add(1))*share) > int(float64(count.Load()-1)*share)
			if !spoil {
				s.stream(w, r, after, events, firstEvent, pause)
				seen.finish(s, run, "run over or caller gone")
				return
			}
			s.stream(w, r, after, 5, firstEvent, pause)
			seen.finish(s, run, spoilRest(s, w, run.id, events, pause))
		}
	}
	d.configure("huvo11a", true, route{
		Name: "r-rules", Hostname: host, PathPrefix: "/pufi791/", RouteKind: "streaming", TimeoutMS: 8000, TargetMS: 300, GapTargetMS: 250,
		Priority: 1, Service: "huvo11a", MaxAttempts: 2, Affinity: true, Resumable: true,
	})
	for i := range servers {
		if _, err := d.addServer(i, "huvo11a", "decode", 64, handle(i)); err != nil {
			return false, err
		}
	}
	if err := d.startGateways(2); err != nil {
		return false, err
	}
	c := newClients(d)
	for i := range int(duration.Seconds()) * perSecond {
		q := request{method: http.MethodPost, path: "/pufi791/2f", id: newID("a"), deadline: 8 * time.Second, tokens: "628,40",
			parts: []string{"aa01:119", fmt.Sprintf("bb%02x:79", i%40), fmt.Sprintf("cc%06x:430", i)}}
		c.send(d.gateways[i%2], "stream", q, nil)
		time.Sleep(time.Second / perSecond)
	}
	c.finish()
	first := map[string]arrival{}
	resumed, late := 0, 0
	for _, n := range seen.all() {
		f, ok := first[n.id]
		if !ok {
			first[n.id] = n
			continue
		}
		resumed++
		overlap := f.end.Sub(n.start)
		if overlap > slack {
			late++
		}
		d.rec.Say("%s went on at %s; %s worked on it for %d ms more", n.id, n.server, f.server, overlap.Milliseconds())
	}
	d.rec.Say("%d requests, %d went on at another server, in %d of them the one before worked on for over %d ms", len(first), resumed, late, slack.Milliseconds())
	return late > 0, nil
}

// spoilRest sends bytes that are no part of the response and then goes on with the run until its
// end or until the connection is closed.
func spoilRest(s *server, w http.ResponseWriter, id string, last int, pause time.Duration) string {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	s.d.rec.Addf("spoil %s at %s", id, s.id)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = conn.Read(make([]byte, 1))
	}()
	_, _ = conn.Write([]byte("\x00\x01 no chunk\r\n"))
	for n := 6; n <= last; n++ {
		select {
		case <-time.After(pause):
		case <-closed:
			return "connection closed by the node"
		}
		text := eventText(id, n)
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
	}
	return "run over"
}
