package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/figweir/figweir/standin/service"
)

// Guards against a killed node that takes the answers of other nodes' callers
// with it, against calls that run again when they are repeated elsewhere, and
// against a new process on the VM that doesn't serve.
func TestKilledNode(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3)
	const (
		killed        = 0
		minStreaming  = 4
		callDelay     = 30
		answersBefore = 5
		answersAfter  = 10
	)
	d.setServiceFaults(service.Faults{DelayMillis: callDelay})
	tr := d.startTraffic(trafficOptions{streams: 6, calls: 6, tokens: 300, repeat: true})
	for i := range d.nodes {
		tr.waitWhole(t, i, answersBefore)
	}
	eventually(t, "streams run through the node", func() error {
		if n := tr.nodes[killed].streaming.Load(); n < minStreaming {
			return fmt.Errorf("%d streams", n)
		}
		return nil
	})
	d.nodes[killed].signal(t, syscall.SIGKILL)
	is.Equal(d.nodes[killed].wait(t), -1)
	for i := range d.nodes {
		if i != killed {
			tr.waitWhole(t, i, answersAfter)
		}
	}
	d.startNode(killed)
	d.waitReady(killed)
	tr.waitWhole(t, killed, answersAfter)
	outcomes := tr.stop()
	t.Log(count(outcomes))

	d.setServiceFaults(service.Faults{})
	broken := 0
	for _, o := range outcomes {
		switch {
		case o.node == killed && o.first != nil && !notRun(o.first):
			broken++
		case o.key == "" && o.node != killed && o.first != nil:
			t.Errorf("a stream through node %d: %v", o.node, o.first)
		case o.key != "" && o.node != killed && o.first != nil && !notRun(o.first):
			t.Errorf("call %s through node %d: %v", o.key, o.node, o.first)
		}
		if o.key == "" {
			continue
		}
		runs := d.runs(o.key)
		if runs > 1 || (o.last == nil && runs != 1) {
			t.Errorf("call %s through node %d ran %d times; first answer %v, last %v", o.key, o.node, runs, o.first, o.last)
		}
		if o.node != killed && o.last != nil {
			t.Errorf("call %s through node %d: last answer %v", o.key, o.node, o.last)
		}
	}
	is.True(broken >= minStreaming) // the kill hit running requests
}

// Guards against callers that are told "in_progress" without end of a call
// whose node was killed: once a new process runs on the VM, the old one is gone
// and the outcome is known or unknown for good.
func TestCallsOfKilledNodeGetAnOutcome(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3)
	const (
		killed = 0
		// calls spread over the 16 ranges of claims and so over the writers of all
		// nodes.
		calls     = 48
		callDelay = 2000
	)
	d.setServiceFaults(service.Faults{DelayMillis: callDelay})
	keys := make([]string, calls)
	errs := make([]error, calls)
	var wait sync.WaitGroup
	for i := range keys {
		keys[i] = fmt.Sprintf("call-%d", i)
		wait.Go(func() { _, errs[i] = d.call(killed, keys[i]) })
	}
	t.Cleanup(wait.Wait)
	eventually(t, "calls run", func() error { return d.attempts(killed, calls) })
	d.nodes[killed].signal(t, syscall.SIGKILL)
	wait.Wait()
	d.setServiceFaults(service.Faults{})
	d.startNode(killed)
	d.waitReady(killed)
	for i, key := range keys {
		is.True(errs[i] != nil) // the kill hit the call
		for via := range d.nodes {
			eventually(t, fmt.Sprintf("the outcome of %s through node %d", key, via), func() error {
				if _, err := d.call(via, key); !known(err) {
					return err
				}
				return nil
			})
		}
		is.True(d.runs(key) <= 1)
	}
}

// attempts returns nil if the node has sent so many requests to backend
// servers.
func (d *deployment) attempts(node, want int) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+d.nodes[node].settings.Listen.Operators+"/debug/vars", nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+d.secret)
	resp, err := d.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var vars struct {
		Figweir struct {
			AttemptsTotal int `json:"attempts_total"`
		} `json:"figweir"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return err
	}
	if vars.Figweir.AttemptsTotal < want {
		return fmt.Errorf("%d attempts", vars.Figweir.AttemptsTotal)
	}
	return nil
}
