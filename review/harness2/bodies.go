//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bodyBytes is the size of the bodies, just below max_body_bytes.
	bodyBytes = 4<<20 - 64<<10
	// bodyTime is how long the clients send, and bodyInterval the time between two requests to a
	// node.
	bodyTime     = 55 * time.Second
	bodyInterval = 125 * time.Millisecond
	// The bursts are as long and as high as the longest and highest of the site file.
	firstBurst  = 8 * time.Second
	secondBurst = 34 * time.Second
	burstTime   = 14 * time.Second
	burstFactor = 2
	// A stream takes bodyEvents times bodyGap, half of its deadline.
	bodyEvents = 20
	bodyGap    = 200 * time.Millisecond
	// ownEnds is the number of ends from which the fault rule counts a machine, and
	// minFaultMachines the number of such machines from which the rule is broken.
	ownEnds          = 3
	minFaultMachines = 2
	// restartDelay is the time until the platform starts a killed process again.
	restartDelay = 500 * time.Millisecond
	// memoryPoll is the interval at which the platform reads the memory of the processes.
	memoryPoll = 20 * time.Millisecond
	mebi       = 1 << 20
)

// memoryGuard plays the platform, which kills a process that exceeds its memory and starts it again.
type memoryGuard struct {
	d    *deployment
	node *node
	ends int
	peak int64
}

// residentBytes returns the resident memory of a process; 0 if it is not running.
func residentBytes(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// run guards a node until the channel is closed.
func (g *memoryGuard) run(end <-chan struct{}) {
	for {
		select {
		case <-end:
			return
		case <-time.After(memoryPoll):
		}
		bytes := residentBytes(g.node.pid())
		g.peak = max(g.peak, bytes)
		if bytes <= memoryMB*mebi {
			continue
		}
		g.ends++
		g.d.record.logf("%s has %d MB and is killed, end %d", g.node.name, bytes/mebi, g.ends)
		g.node.kill()
		time.Sleep(restartDelay)
		if err := g.d.start(g.node); err != nil {
			return
		}
		_ = g.node.awaitReady(startTimeout)
	}
}

// burstTraffic is the traffic of one node: a request every bodyInterval, and burstFactor times as
// many in the bursts.
type burstTraffic struct {
	d       *deployment
	node    *node
	body    []byte
	trouble bool
	// answered and lost count the attempts with an answer and without one.
	answered, lost, cut atomic.Int64
}

// inBurst reports whether the clients send more at a time after the start.
func inBurst(at time.Duration) bool {
	for _, from := range []time.Duration{firstBurst, secondBurst} {
		if at >= from && at < from+burstTime {
			return true
		}
	}
	return false
}

// run sends requests until bodyTime and waits for their ends.
func (t *burstTraffic) run() {
	var clients sync.WaitGroup
	for start := time.Now(); time.Since(start) < bodyTime; {
		clients.Go(t.send)
		interval := bodyInterval
		if t.trouble && inBurst(time.Since(start)) {
			interval /= burstFactor
		}
		time.Sleep(interval)
	}
	clients.Wait()
}

func (t *burstTraffic) send() {
	r := t.d.send(t.node, clientRequest{method: "POST", path: streamPath, parts: []string{callerPart}, deadline: patience, body: t.body})
	switch {
	case r.status == 0:
		t.lost.Add(1)
	case !r.complete:
		t.cut.Add(1)
	default:
		t.answered.Add(1)
	}
}

// playBodies sends requests with long bodies to two nodes, twice as many in two bursts.
func playBodies(d *deployment, trouble bool) (verdict, error) {
	if err := d.writeConfig(); err != nil {
		return verdict{}, err
	}
	answer := func(s *server, w *bufio.ReadWriter, r request) { s.stream(w, r, bodyEvents, bodyGap, true) }
	for i := range 4 {
		if _, err := d.addServer(fmt.Sprintf("i-decode%d", i), "models", "decode", 64, answer); err != nil {
			return verdict{}, err
		}
	}
	if err := d.addNodes(2); err != nil {
		return verdict{}, err
	}
	end := make(chan struct{})
	body := []byte(strings.Repeat("b", bodyBytes))
	var guards []*memoryGuard
	var traffic []*burstTraffic
	var guarding, sending sync.WaitGroup
	for _, n := range d.nodes {
		g, t := &memoryGuard{d: d, node: n}, &burstTraffic{d: d, node: n, body: body, trouble: trouble}
		guards, traffic = append(guards, g), append(traffic, t)
		guarding.Go(func() { g.run(end) })
		sending.Go(t.run)
	}
	sending.Wait()
	close(end)
	guarding.Wait()
	machines := 0
	var text strings.Builder
	for i, g := range guards {
		if g.ends >= ownEnds {
			machines++
		}
		t := traffic[i]
		fmt.Fprintf(&text, "%s ended %d times for its memory, peak %d MB, %d attempts answered, %d cut in the answer, %d without one; ",
			g.node.name, g.ends, g.peak/mebi, t.answered.Load(), t.cut.Load(), t.lost.Load())
	}
	return verdict{machines >= minFaultMachines, text.String()}, nil
}

func init() { scenarios["bodies"] = playBodies }
