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
	frozenRounds = 4
	// frozenStreams is the number of streams that run when the machine freezes.
	frozenStreams = 3
	frozenEvents  = 15
	frozenGap     = 200 * time.Millisecond
	// freezeTime is how long the machine stands still, crashDelay how long after the begin of that
	// the server crashes, and serverDown how long it is down.
	freezeTime = 2700 * time.Millisecond
	crashDelay = 100 * time.Millisecond
	serverDown = 2 * time.Second
)

// playFrozen freezes a machine while streams run through it. Meanwhile the server of the streams,
// which end with their connections, crashes and starts again.
func playFrozen(d *deployment, trouble bool) (verdict, error) {
	if err := d.writeConfig(); err != nil {
		return verdict{}, err
	}
	answer := func(s *server, w *bufio.ReadWriter, r request) { s.stream(w, r, frozenEvents, frozenGap, false) }
	s, err := d.addServer("i-7f3a91c2", "models", "decode", 64, answer)
	if err != nil {
		return verdict{}, err
	}
	if err := d.addNodes(2); err != nil {
		return verdict{}, err
	}
	truncated, complete, failed := 0, 0, 0
	for range frozenRounds {
		for _, r := range frozenRound(d, s, trouble) {
			switch {
			case r.status == 200 && r.complete && r.lastEvent() < frozenEvents:
				truncated++
				d.record.logf("attempt %s ended as complete after event %d of %d", r.id, r.lastEvent(), frozenEvents)
			case r.status == 200 && r.complete:
				complete++
			default:
				failed++
			}
		}
		time.Sleep(4 * time.Second)
	}
	return verdict{truncated > 0, fmt.Sprintf(
		"%d streams ended as complete before their last event, %d complete, %d failed or broken off", truncated, complete, failed)}, nil
}

// frozenRound plays one round and returns what the clients have seen.
func frozenRound(d *deployment, s *server, trouble bool) []result {
	n := d.nodes[0]
	results := make([]result, frozenStreams)
	var wait sync.WaitGroup
	for i := range results {
		wait.Go(func() {
			results[i] = d.send(n, clientRequest{method: "POST", path: streamPath, parts: []string{callerPart}, deadline: patience, body: []byte("{}")})
		})
	}
	time.Sleep(5*frozenGap + frozenGap/2)
	if trouble {
		d.record.logf("%s freezes", n.name)
		n.signal(syscall.SIGSTOP)
		time.Sleep(crashDelay)
		s.crash(serverDown)
		time.Sleep(freezeTime - crashDelay)
		n.signal(syscall.SIGCONT)
		d.record.logf("%s wakes", n.name)
	}
	wait.Wait()
	return results
}

func init() { scenarios["frozen"] = playFrozen }
