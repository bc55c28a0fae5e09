//go:build review

package main

import (
	"bufio"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// contact is the bound contact_ms.
	contact = 3 * time.Second
	// downTime is how long a crashed server is down.
	downTime = 3 * time.Second
	// crashBound is the number of crashes from which the rules hold.
	crashBound = 5
	// maxLatePoison is how many requests with the part may reach servers later than contact after
	// the last of these crashes.
	maxLatePoison = 3
	// minSound is the number of sound requests from which their share is judged.
	minSound = 20
	poison   = "91bd3f06"
)

// poisonCase is a deployment on which requests with one part crash each server that begins to
// answer them.
type poisonCase struct {
	nodes, prefillEngines, decodeEngines int
	// soundParts and poisonParts are the shared parts of the prompts. Each call returns those of a
	// new request.
	soundParts, poisonParts func(n int) []string
	// eventsBeforeCrash is the number of events that a server writes before it crashes.
	eventsBeforeCrash int
	// soundInterval and poisonInterval are the times between two requests.
	soundInterval, poisonInterval time.Duration
	// batch is the number of requests with the part that come at the same time; 0 means one.
	batch int
	// poisonFrom and until are the times of the first and the last request, from the start of the
	// traffic.
	poisonFrom, until time.Duration
	// killAt is when all gateways are killed at once; 0 if they are not. No request with the part
	// is sent from poisonRest before that until poisonRest after it.
	killAt time.Duration
}

// poisonRun is a running poisonCase.
type poisonRun struct {
	*poisonCase
	d       *deployment
	trouble bool

	mu      sync.Mutex
	crashes []time.Time
	sentAt  map[string]time.Time
	reached []request
	sound   []result
	wait    sync.WaitGroup
}

const (
	soundEvents = 15
	slots       = 64
	// poisonRest is how long before and after a kill no request with the part is sent.
	poisonRest  = 5 * time.Second
	eventGap    = 60 * time.Millisecond
	prefillTime = 20 * time.Millisecond
	streamPath  = "/draft/2f"
	patience    = 8 * time.Second
)

// play plays the case. Without trouble the requests with the part crash nothing.
func (c *poisonCase) play(d *deployment, trouble bool) (verdict, error) {
	run := &poisonRun{poisonCase: c, d: d, trouble: trouble}
	if err := d.writeConfig(); err != nil {
		return verdict{}, err
	}
	for i := range c.prefillEngines + c.decodeEngines {
		stage := "decode"
		if i < c.prefillEngines {
			stage = "prefill"
		}
		answer := func(s *server, w *bufio.ReadWriter, r request) { run.answer(s, w, r, trouble) }
		if _, err := d.addServer(fmt.Sprintf("i-%02d%s", i, stage), "models", stage, slots, answer); err != nil {
			return verdict{}, err
		}
	}
	if err := d.addNodes(c.nodes); err != nil {
		return verdict{}, err
	}
	run.traffic()
	return run.judge(), nil
}

// answer answers one request at an engine.
func (p *poisonRun) answer(s *server, w *bufio.ReadWriter, r request, trouble bool) {
	crashes := trouble && r.shares(poison)
	if r.shares(poison) {
		p.mu.Lock()
		p.reached = append(p.reached, r)
		p.mu.Unlock()
	}
	switch {
	case s.stage == "prefill":
		time.Sleep(prefillTime)
		s.reply(w, r, "application/json", fmt.Sprintf(`{"transfer_handle":"%s","token_count":%d,"version":1}`, r.attempt, ownTokens))
	case crashes:
		p.beginAndCrash(s, w, r)
	default:
		s.stream(w, r, soundEvents, eventGap, true)
	}
}

// beginAndCrash begins an answer and crashes the engine.
func (p *poisonRun) beginAndCrash(s *server, w *bufio.ReadWriter, r request) {
	_, _ = w.WriteString(s.head(r.attempt, "text/event-stream") + "Transfer-Encoding: chunked\r\n\r\n")
	for n := 1; n <= p.eventsBeforeCrash; n++ {
		_, _ = w.WriteString(chunk(event(r.attempt, n)))
	}
	_ = w.Flush()
	if !s.isUp() {
		return
	}
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	p.mu.Unlock()
	s.crash(downTime)
}

// traffic sends sound requests and requests with the part, and waits for their ends.
func (p *poisonRun) traffic() {
	start := time.Now()
	p.sentAt = make(map[string]time.Time)
	p.wait.Go(func() {
		for n := 0; time.Since(start) < p.until; n++ {
			p.wait.Go(func() { p.sendSound(n) })
			time.Sleep(p.soundInterval)
		}
	})
	p.wait.Go(func() {
		time.Sleep(p.poisonFrom)
		for n := 0; time.Since(start) < p.until; n++ {
			if at := time.Since(start); p.killAt == 0 || at < p.killAt-poisonRest || at > p.killAt+poisonRest {
				for i := range max(1, p.batch) {
					p.wait.Go(func() { p.sendPoison(n*max(1, p.batch) + i) })
				}
			}
			time.Sleep(p.poisonInterval)
		}
	})
	if p.killAt > 0 && p.trouble {
		p.wait.Go(func() {
			time.Sleep(p.killAt)
			p.killAll()
		})
	}
	p.wait.Wait()
}

// killAll kills all gateways at once and starts them again.
func (p *poisonRun) killAll() {
	for _, n := range p.d.nodes {
		n.signal(syscall.SIGKILL)
	}
	p.d.record.logf("all gateways are killed")
	for _, n := range p.d.nodes {
		n.kill()
		if err := p.d.start(n); err != nil {
			p.d.record.logf("%s does not start: %v", n.name, err)
		}
	}
}

func (p *poisonRun) sendSound(n int) {
	res := p.d.send(p.d.nodes[n%len(p.d.nodes)], clientRequest{method: "POST", path: streamPath, parts: p.soundParts(n), deadline: patience, body: []byte("{}")})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sound = append(p.sound, res)
}

func (p *poisonRun) sendPoison(n int) {
	c := clientRequest{method: "POST", path: streamPath, parts: p.poisonParts(n), deadline: patience, body: []byte("{}")}
	res := p.d.send(p.d.nodes[n%len(p.d.nodes)], c)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentAt[res.id] = res.sentAt
}

// judge checks the two rules about parts that crash servers.
func (p *poisonRun) judge() verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	cut := 0
	for _, r := range p.sound {
		if r.status == 200 && !r.complete {
			cut++
		}
	}
	if len(p.crashes) == 0 {
		return verdict{false, fmt.Sprintf("no crash, %d sound requests, %d of their streams cut", len(p.sound), cut)}
	}
	fifth := p.crashes[min(crashBound, len(p.crashes))-1]
	late := make(map[string]bool)
	if len(p.crashes) >= crashBound {
		for _, r := range p.reached {
			if p.sentAt[r.attempt].After(fifth.Add(contact)) {
				late[r.attempt] = true
			}
		}
	}
	before := begun(p.sound, time.Time{}, p.crashes[0])
	during := begun(p.sound, fifth.Add(2*contact), time.Now())
	budget := len(late) > maxLatePoison
	lost := before.count >= minSound && during.count >= minSound && during.share() < before.share()/2
	return verdict{budget || lost, fmt.Sprintf(
		"%d crashes; %d requests with the part, sent later than contact_ms after the fifth crash, reached servers (3 may): BUDGET broken %v; "+
			"sound requests that began: %d of %d before, %d of %d from 2 x contact_ms after the fifth crash: LOST broken %v; %d sound streams cut",
		len(p.crashes), len(late), budget, before.begun, before.count, during.begun, during.count, lost, cut)}
}

// beginShare is how many of some requests began.
type beginShare struct{ begun, count int }

func (b beginShare) share() float64 { return float64(b.begun) / float64(max(1, b.count)) }

// begun counts the requests sent in a time and those of them whose answers began.
func begun(list []result, from, until time.Time) beginShare {
	var b beginShare
	for _, r := range list {
		if r.sentAt.Before(from) || r.sentAt.After(until) {
			continue
		}
		b.count++
		if r.status == 200 && !r.firstAt.IsZero() {
			b.begun++
		}
	}
	return b
}

// callerPart is the first part of all prompts.
const callerPart = "5c1e07a2"

func init() {
	sound := func(n int) []string { return []string{callerPart, fmt.Sprintf("77aa%04x", n%4)} }
	poisoned := func(n int) []string { return []string{callerPart, poison, fmt.Sprintf("88bb%04x", n)} }
	scenarios["first-event"] = (&poisonCase{
		nodes: 2, prefillEngines: 2, decodeEngines: 4, soundParts: sound, poisonParts: poisoned, eventsBeforeCrash: 1,
		soundInterval: 60 * time.Millisecond, poisonInterval: 400 * time.Millisecond, poisonFrom: 4 * time.Second, until: 40 * time.Second,
	}).play
	scenarios["head-only"] = (&poisonCase{
		nodes: 2, prefillEngines: 2, decodeEngines: 4, soundParts: sound, poisonParts: poisoned,
		soundInterval: 60 * time.Millisecond, poisonInterval: 400 * time.Millisecond, poisonFrom: 4 * time.Second, until: 40 * time.Second,
	}).play
	scenarios["restart"] = (&poisonCase{
		nodes: 3, prefillEngines: 2, decodeEngines: 6, soundParts: sound, poisonParts: poisoned,
		soundInterval: 60 * time.Millisecond, poisonInterval: time.Second, poisonFrom: 4 * time.Second, killAt: 36 * time.Second, until: 56 * time.Second,
	}).play
	scenarios["batch"] = (&poisonCase{
		nodes: 2, prefillEngines: 2, decodeEngines: 6, soundParts: sound, poisonParts: poisoned, batch: 8,
		soundInterval: 60 * time.Millisecond, poisonInterval: 4500 * time.Millisecond, poisonFrom: 4 * time.Second, until: 40 * time.Second,
	}).play
}
