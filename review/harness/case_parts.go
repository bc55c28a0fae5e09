package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// hasPart reports whether a request has a part in its prompt that is not the last.
func hasPart(r *http.Request, part string) bool {
	parts := strings.Split(r.Header.Get("Prompt-Prefix"), ",")
	for _, p := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(p, ":"); id == part {
			return true
		}
	}
	return false
}

// badPart is the part that crashes servers.
const badPart = "bad0bad0"

// crashTest is a deployment of engines, of which each crashes as it begins to write an answer on
// badPart.
type crashTest struct {
	d       *deployment
	c       *clients
	seen    arrivals
	crashes chan time.Time
	times   []time.Time
	// sent counts requests, to make ids of parts.
	sent int
	// lead are the parts that all requests share.
	lead []string
	// retries is set if clients retry once after a refusal.
	retries bool
}

const crashDowntime = 2 * time.Second

func newCrashTest(d *deployment, servers, gateways, leadParts int, firstEvent, pause time.Duration, events int) (*crashTest, error) {
	t := &crashTest{d: d, crashes: make(chan time.Time, 1000)}
	for i := range leadParts {
		t.lead = append(t.lead, fmt.Sprintf("aa%02x:40", i))
	}
	d.configure("huvo11a", true, route{
		Name: "r-pairing", Hostname: host, PathPrefix: "/lohu930/", RouteKind: "streaming", TimeoutMS: 8000, TargetMS: 800, GapTargetMS: 250,
		Priority: 2, Service: "huvo11a", MaxAttempts: 1, Affinity: true,
	})
	for i := range servers {
		_, err := d.addServer(i, "huvo11a", "decode", 64, func(s *server, w http.ResponseWriter, r *http.Request) {
			run := t.seen.begin(s, r)
			if !hasPart(r, badPart) {
				s.stream(w, r, 0, events, firstEvent, pause)
				t.seen.finish(s, run, "run over or caller gone")
				return
			}
			if s.enter(w, r) {
				if wait(r, firstEvent) {
					t.crashes <- time.Now()
					s.crash(crashDowntime)
				}
				s.leave()
			}
			t.seen.finish(s, run, "crash or caller gone")
		})
		if err != nil {
			return nil, err
		}
	}
	t.c = newClients(d)
	return t, d.startGateways(gateways)
}

// sendSound sends a request without the bad part, sendBad one with it.
func (t *crashTest) sendSound() { t.sendWith(fmt.Sprintf("bb%02x:200", t.sent%20), "sound") }
func (t *crashTest) sendBad()   { t.sendWith(badPart+":200", "bad") }

func (t *crashTest) sendWith(part, kind string) {
	t.sent++
	number := t.sent
	q := t.newRequest(part, kind, number, 0, deadline)
	t.c.send(t.gateway(number), kind, q, func(a answer) {
		if a.status != http.StatusServiceUnavailable || !t.retries {
			return
		}
		// A client retries once, at another node, and honours Retry-After up to a third of the
		// time left.
		left := deadline - a.took
		pause := min(a.retryAfter, left/3)
		time.Sleep(pause)
		t.c.send(t.gateway(number+1), kind+" retry", t.newRequest(part, kind, number, 1, left-pause), nil)
	})
}

// deadline is how long clients wait.
const deadline = 8 * time.Second

func (t *crashTest) gateway(n int) *gatewayProcess { return t.d.gateways[n%len(t.d.gateways)] }

func (t *crashTest) newRequest(part, kind string, number, attempt int, left time.Duration) request {
	parts := append(append([]string{}, t.lead...), part, fmt.Sprintf("cc%06x%x:300", number, attempt))
	return request{method: http.MethodPost, path: "/lohu930/2f", id: newID(kind[:1]), deadline: left, tokens: strconv.Itoa(40*len(t.lead)+500) + ",40", parts: parts}
}

// judge applies the rule: not more than three requests with the part reach servers, sent by machines
// in touch later than contact after the fifth crash.
func (t *crashTest) judge() bool {
	close(t.crashes)
	for at := range t.crashes {
		t.times = append(t.times, at)
	}
	t.d.rec.Say("%d crashes", len(t.times))
	if len(t.times) < 5 {
		return false
	}
	from := t.times[4].Add(contact)
	t.d.rec.Say("fifth crash at %.1f s, counted from %.1f s", t.times[4].Sub(t.d.rec.start).Seconds(), from.Sub(t.d.rec.start).Seconds())
	count := 0
	for _, n := range t.seen.all() {
		if n.id[0] != 'b' || !n.start.After(from) || !t.c.gatewayOf(n.id).inTouch(n.start) {
			continue
		}
		count++
		t.d.rec.Addf("counted: %s reached %s", n.id, n.server)
	}
	t.d.rec.Say("%d requests with the part reached servers later, from nodes in touch (3 are allowed)", count)
	return count > 3
}

// partBeyondBound: a part that crashes servers comes after many others in the prompt.
func partBeyondBound(d *deployment, trouble bool) (bool, error) {
	lead := 18
	if n, err := strconv.Atoi(os.Getenv("LEAD")); err == nil {
		lead = n
	}
	t, err := newCrashTest(d, 6, 3, lead, 150*time.Millisecond, 30*time.Millisecond, 20)
	if err != nil {
		return false, err
	}
	for i := range 50 * 20 {
		t.sendSound()
		if trouble && i%20 == 19 {
			t.sendBad()
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.c.finish()
	return t.judge(), nil
}

// restartForgets: all processes are killed, twice, after the nodes have found the part out.
func restartForgets(d *deployment, trouble bool) (bool, error) {
	const (
		badEvery = 4500 * time.Millisecond
		duration = 82 * time.Second
	)
	t, err := newCrashTest(d, 6, 3, 2, 150*time.Millisecond, 30*time.Millisecond, 20)
	if err != nil {
		return false, err
	}
	kills := []time.Duration{36700 * time.Millisecond, 56 * time.Second}
	if !trouble {
		kills = nil
	}
	start := time.Now()
	nextBad := start
	for time.Since(start) < duration {
		t.sendSound()
		if time.Now().After(nextBad) {
			t.sendBad()
			nextBad = nextBad.Add(badEvery)
		}
		if len(kills) > 0 && time.Since(start) > kills[0] {
			kills = kills[1:]
			if err := d.killAll(500 * time.Millisecond); err != nil {
				return false, err
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.c.finish()
	return t.judge(), nil
}

// evidenceOverflow: many requests wait for the start of their answers at each server that crashes.
func evidenceOverflow(d *deployment, trouble bool) (bool, error) {
	perSecond := 270
	if n, err := strconv.Atoi(os.Getenv("RATE")); err == nil {
		perSecond = n
	}
	t, err := newCrashTest(d, 3, 3, 2, 800*time.Millisecond, 20*time.Millisecond, 2)
	if err != nil {
		return false, err
	}
	for i := range 40 * perSecond {
		t.sendSound()
		if trouble && i%(2*perSecond) == perSecond {
			t.sendBad()
		}
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	t.c.finish()
	return t.judge(), nil
}

// trialHerd: refused callers are told to come back when the nodes send one request as a trial.
func trialHerd(d *deployment, trouble bool) (bool, error) {
	const nodes = 8
	t, err := newCrashTest(d, 12, nodes, 2, 150*time.Millisecond, 30*time.Millisecond, 10)
	if err != nil {
		return false, err
	}
	t.retries = true
	for i := range 72 * 50 {
		t.sendSound()
		if trouble && i%5 < 2 {
			t.sendBad()
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.c.finish()
	return t.judge(), nil
}
