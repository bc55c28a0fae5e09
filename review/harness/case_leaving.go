package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// leavingUnframed: servers answer streams with neither a length nor chunks and are replaced one
// after the other. A server that leaves accepts no new connections in the end and completes the
// streams that it still sends.
func leavingUnframed(d *deployment, trouble bool) (bool, error) {
	const (
		servers    = 8
		replaced   = 4 // half of the servers
		gap        = 3 * time.Second
		exitAfter  = drainMS*time.Millisecond + time.Second
		events     = 50
		firstEvent = 100 * time.Millisecond
		pause      = 100 * time.Millisecond
		duration   = 24 * time.Second
		callers    = 40
	)
	var seen arrivals
	var mu sync.Mutex
	whole := map[string]bool{}
	handle := func(s *server, w http.ResponseWriter, r *http.Request) {
		run := seen.begin(s, r)
		w.Header().Set("Transfer-Encoding", "identity")
		s.stream(w, r, 0, events, firstEvent, pause)
		if r.Context().Err() == nil {
			mu.Lock()
			whole[run.id] = true
			mu.Unlock()
		}
		seen.finish(s, run, "run over or caller gone")
	}
	d.configure("huvo11a", true, route{
		Name: "r-pairing", Hostname: host, PathPrefix: "/lohu930/", RouteKind: "streaming", TimeoutMS: 8000, TargetMS: 800, GapTargetMS: 250,
		Priority: 2, Service: "huvo11a", MaxAttempts: 1, Affinity: true,
	})
	list := make([]*server, servers)
	for i := range list {
		s, err := d.addServer(i, "huvo11a", "decode", 64, handle)
		if err != nil {
			return false, err
		}
		list[i] = s
	}
	if err := d.startGateways(2); err != nil {
		return false, err
	}
	end := time.Now().Add(duration)
	if trouble {
		for i := range replaced {
			time.AfterFunc(2*time.Second+time.Duration(i)*gap, func() {
				if _, err := d.addServer(servers+i, "huvo11a", "decode", 64, handle); err != nil {
					d.rec.Say("no new server: %s", err)
				}
				list[i].drainAndExit(exitAfter)
			})
		}
	}
	cut, complete := 0, 0
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			g := d.gateways[i%2]
			var k keptConn
			defer k.close()
			for n := 0; time.Now().Before(end); n++ {
				id := newID("a")
				d.rec.Addf("send %s to %s", id, g.name)
				events, err := k.stream(g, id, fmt.Sprintf("aa01:119,bb%02x:79,cc%s:430", i%40, id))
				d.rec.Addf("answer %s: %d events, error %v", id, events, err)
				mu.Lock()
				if err == nil {
					complete++
				} else if whole[id] {
					cut++
					d.rec.Say("%s: the server completed the stream, the caller's connection was closed after %d events: %v", id, events, err)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	d.rec.Say("%d streams complete, %d closed by the node though the server had completed them (3 are allowed)", complete, cut)
	return cut > 3, nil
}

// drainAndExit makes the server leave: it reports that it drains, serves on, then closes its listener and
// completes what it still sends.
func (s *server) drainAndExit(exitAfter time.Duration) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.write()
	s.d.rec.Say("%s drains", s.id)
	time.AfterFunc(exitAfter, func() {
		s.d.rec.Say("%s accepts no more connections, %d requests run", s.id, s.running.Load())
		_ = s.listener.Close()
	})
}

// keptConn is a caller's connection that it keeps for its next request.
type keptConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (k *keptConn) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

// stream sends a request and reads the events of the answer.
func (k *keptConn) stream(g *gatewayProcess, id, prefix string) (events int, err error) {
	if k.conn == nil {
		if k.conn, err = net.Dial("tcp", g.callers); err != nil {
			return 0, err
		}
		k.reader = bufio.NewReader(k.conn)
	}
	defer func() {
		if err != nil {
			k.close()
		}
	}()
	body := strings.Repeat("x", 600)
	_, err = fmt.Fprintf(k.conn, "POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nApi-Key: %s\r\nModel-Name: m\r\nToken-Counts: 628,40\r\nPrompt-Prefix: %s\r\nDeadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n%s",
		host, id, apiKey, prefix, len(body), body)
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0, err
	}
	raw, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return strings.Count(string(raw), "\n\n"), err
}
