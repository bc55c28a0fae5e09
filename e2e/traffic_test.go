package e2e

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/figweir/figweir/apierr"
)

// trafficOptions say what the callers of each node do.
type trafficOptions struct {
	// streams and calls are the callers of each node; each makes its next
	// request when the last one is answered.
	streams, calls int
	// tokens is the length of the streamed answers.
	tokens int
	// repeat makes a caller repeat a call without an answer, with the same key
	// and through the other nodes in turn, until its outcome is known or the
	// traffic is stopped, and at least once through every node.
	repeat bool
}

// outcome is what a caller was told of one request.
type outcome struct {
	// node is the one that was asked first.
	node int
	// key is the idempotency key, "" for a stream.
	key string
	// first is the error of the first answer, last that of the last one. They
	// differ where the call was repeated.
	first, last error
}

// progress counts what the callers of one node have seen so far.
type progress struct {
	// streaming counts the streams that have begun and not ended.
	streaming    atomic.Int64
	wholeStreams atomic.Int64
	wholeCalls   atomic.Int64
	// notRun counts calls refused as not run.
	notRun atomic.Int64
}

// traffic is a set of callers that work until they are stopped.
type traffic struct {
	d       *deployment
	options trafficOptions
	nodes   []progress
	number  atomic.Int64
	done    chan struct{}
	once    sync.Once
	wait    sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

func (d *deployment) startTraffic(o trafficOptions) *traffic {
	tr := &traffic{d: d, options: o, nodes: make([]progress, len(d.nodes)), done: make(chan struct{})}
	for node := range d.nodes {
		for range o.streams {
			tr.wait.Go(func() { tr.loop(node, tr.stream) })
		}
		for range o.calls {
			tr.wait.Go(func() { tr.loop(node, tr.call) })
		}
	}
	d.t.Cleanup(func() { tr.stop() })
	return tr
}

// stop lets the running requests end and returns all outcomes.
func (tr *traffic) stop() []outcome {
	tr.once.Do(func() { close(tr.done) })
	tr.wait.Wait()
	return tr.outcomes
}

func (tr *traffic) stopped() bool {
	select {
	case <-tr.done:
		return true
	default:
		return false
	}
}

// pauseAfterError keeps callers of a node that is down from asking it without
// a pause.
const pauseAfterError = 20 * time.Millisecond

func (tr *traffic) loop(node int, do func(node int) outcome) {
	for !tr.stopped() {
		o := do(node)
		tr.mu.Lock()
		tr.outcomes = append(tr.outcomes, o)
		tr.mu.Unlock()
		if o.first != nil {
			time.Sleep(pauseAfterError)
		}
	}
}

func (tr *traffic) stream(node int) outcome {
	p, begun := &tr.nodes[node], false
	err := tr.d.chat(node, tr.d.key, newChat(fmt.Sprintf("order %d", tr.number.Add(1)), tr.options.tokens, true), func() {
		if !begun {
			begun = true
			p.streaming.Add(1)
		}
	})
	if begun {
		p.streaming.Add(-1)
	}
	if err == nil {
		p.wholeStreams.Add(1)
	}
	return outcome{node: node, first: err, last: err}
}

func (tr *traffic) call(node int) outcome {
	p := &tr.nodes[node]
	o := outcome{node: node, key: fmt.Sprintf("call-%d", tr.number.Add(1))}
	_, o.first = tr.d.call(node, o.key)
	if notRun(o.first) {
		p.notRun.Add(1)
	}
	o.last = o.first
	for n := 1; tr.options.repeat && !known(o.last) && (n <= len(tr.d.nodes) || !tr.stopped()); n++ {
		time.Sleep(pauseAfterError)
		_, o.last = tr.d.call((node+n)%len(tr.d.nodes), o.key)
	}
	if o.last == nil {
		p.wholeCalls.Add(1)
	}
	return o
}

// known reports whether the caller has no reason to repeat the call: it has the
// answer, or was told that the outcome is not known.
func known(err error) bool { return err == nil || code(err) == apierr.OutcomeUnknown }

// waitWhole waits until the callers of the node got so many more whole streams
// and answers to calls.
func (tr *traffic) waitWhole(t *testing.T, node int, more int64) {
	t.Helper()
	p := &tr.nodes[node]
	streams, calls := p.wholeStreams.Load(), p.wholeCalls.Load()
	eventually(t, fmt.Sprintf("%d more answers through node %d", more, node), func() error {
		gotStreams, gotCalls := p.wholeStreams.Load()-streams, p.wholeCalls.Load()-calls
		if gotStreams < more || gotCalls < more {
			return fmt.Errorf("%d streams and %d calls", gotStreams, gotCalls)
		}
		return nil
	})
}

// count describes outcomes by their first error.
func count(outcomes []outcome) map[string]int {
	counts := make(map[string]int)
	for _, o := range outcomes {
		kind := "stream"
		if o.key != "" {
			kind = "call"
		}
		result := "whole"
		switch {
		case notRun(o.first):
			result = "not run"
		case code(o.first) != "":
			result = string(code(o.first))
		case o.first != nil:
			result = "broken"
		}
		counts[fmt.Sprintf("node %d %s %s", o.node, kind, result)]++
	}
	return counts
}
