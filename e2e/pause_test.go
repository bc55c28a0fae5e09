package e2e

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/standin/service"
)

// Guards against answers that are cut while the store hangs, against calls
// that are sent without a claim or refused as not run although they ran, and
// against nodes that don't recover.
func TestPlatformPaused(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 2)
	const (
		// pause is longer than the freshness time of 2 s, so that the nodes serve
		// by the rule for outages of the store.
		pause      = 4 * time.Second
		minRefused = 3
		answers    = 5
		callDelay  = 10
	)
	d.setServiceFaults(service.Faults{DelayMillis: callDelay})
	tr := d.startTraffic(trafficOptions{streams: 6, calls: 6, tokens: 200})
	for i := range d.nodes {
		tr.waitWhole(t, i, answers)
	}
	d.platform.pause(t)
	time.Sleep(pause)
	for i := range d.nodes {
		p := &tr.nodes[i]
		streams := p.wholeStreams.Load()
		eventually(t, fmt.Sprintf("node %d serves streams and refuses calls", i), func() error {
			if s, c := p.wholeStreams.Load()-streams, p.notRun.Load(); s < answers || c < minRefused {
				return fmt.Errorf("%d streams, %d refused calls", s, c)
			}
			return nil
		})
	}
	d.platform.resume(t)
	for i := range d.nodes {
		tr.waitWhole(t, i, answers)
	}
	added := d.command(0, "key", "add", workspace, "--key-secret-file", d.file("key_digest.secret"))
	for i := range d.nodes {
		eventually(t, "a key that was added after the outage works", func() error { return d.chat(i, added, newChat("new key", 5, true), nil) })
	}
	outcomes := tr.stop()
	t.Log(count(outcomes))

	d.setServiceFaults(service.Faults{})
	refused := 0
	for _, o := range outcomes {
		if o.key == "" {
			is.NoErr(o.first) // every stream is whole
			continue
		}
		runs := d.runs(o.key)
		switch {
		case o.first == nil && runs == 1:
		case notRun(o.first) && runs == 0:
			refused++
		default:
			t.Errorf("call %s through node %d ran %d times and was answered %v", o.key, o.node, runs, o.first)
		}
	}
	is.True(refused >= minRefused)
}

// Guards against a node that serves with what it knew before it was paused, and
// against a stream that goes on with a key which was withdrawn meanwhile.
func TestPausedNodeDoesNotServeWithWithdrawnKey(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3)
	const (
		paused = 0
		// requests are sent while the node is paused, and wait in its sockets.
		requests = 8
		// pause is longer than the freshness time of 2 s. Before that a node that
		// has not heard of the change may serve by its last read.
		pause = 2500 * time.Millisecond
		// streamTokens take longer than the pause and the seconds after it.
		streamTokens = 10_000
	)
	key := d.command(paused, "key", "add", workspace, "--key-secret-file", d.file("key_digest.secret"), "--require-accepted")
	eventually(t, "the key works", func() error { return d.chat(paused, key, newChat("before", 5, true), nil) })
	var streaming atomic.Bool
	streamed := make(chan error, 1)
	go func() {
		streamed <- d.chat(paused, key, newChat("a long stream", streamTokens, true), func() { streaming.Store(true) })
	}()
	eventually(t, "a stream runs", func() error {
		if !streaming.Load() {
			return errors.New("no token yet")
		}
		return nil
	})
	d.nodes[paused].pause(t)
	began := time.Now()
	d.command(1, "key", "withdraw", workspace+"-2", "--require-accepted")
	var wait sync.WaitGroup
	errs := make([]error, requests)
	var asked sync.WaitGroup
	asked.Add(requests)
	for i := range errs {
		wait.Go(func() {
			asked.Done()
			errs[i] = d.chat(paused, key, newChat(fmt.Sprintf("while paused %d", i), 5, i%2 == 0), nil)
		})
	}
	asked.Wait()
	time.Sleep(pause - time.Since(began))
	d.nodes[paused].resume(t)
	eventually(t, "the woken node refuses the key", func() error {
		err := d.chat(paused, key, newChat("after", 5, true), nil)
		if err == nil {
			t.Fatal("the woken node served with the withdrawn key")
		}
		if code(err) != apierr.Unauthorized {
			return err
		}
		return nil
	})
	wait.Wait()
	for _, err := range errs {
		is.True(err != nil) // not served with the withdrawn key
		is.True(notRun(err))
	}
	select {
	case err := <-streamed:
		is.Equal(code(err), apierr.Unauthorized) // ended by an explicit error
	case <-time.After(pollLimit):
		t.Fatal("the stream did not end")
	}
	eventually(t, "the woken node serves with another key", func() error { return d.chat(paused, d.key, newChat("other key", 5, true), nil) })
}
