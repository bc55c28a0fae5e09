package once

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/figweir/figweir/once/faultstore"
	"github.com/figweir/figweir/standin/memstore"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "400")
}

// attempt is one call by a caller, from its claim to the answer to the caller.
type attempt struct {
	id, key, body int
	owner         string
	ran           bool
	answered      bool
	state         State
	outcome       *Outcome
	// released says that the caller was told "not run" after a grant.
	released bool
	// lost says that the owner gave the outcome up.
	lost bool
}

// oracle is the fake service and what callers were told.
type oracle struct {
	mu       sync.Mutex
	attempts []*attempt
}

func answerOf(a *attempt) Outcome {
	return NewOutcome(200, "text/plain", fmt.Appendf(nil, "run of key %d by attempt %d", a.key, a.id))
}

func (o *oracle) update(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f()
}

// runOf returns the attempts that ran a key.
func (o *oracle) runsOf(key int) []*attempt {
	var runs []*attempt
	for _, a := range o.attempts {
		if a.key == key && a.ran {
			runs = append(runs, a)
		}
	}
	return runs
}

// check returns the first violated promise.
func (o *oracle) check() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.attempts {
		runs := o.runsOf(a.key)
		if len(runs) > 1 {
			return fmt.Sprintf("key %d ran %d times: attempts %d and %d", a.key, len(runs), runs[0].id, runs[1].id)
		}
		if !a.answered {
			continue
		}
		notRun := a.released || a.state == Refused
		if notRun && a.ran {
			return fmt.Sprintf("attempt %d was told that it did not run, but it ran", a.id)
		}
		if a.state != Done {
			continue
		}
		if len(runs) == 0 {
			return fmt.Sprintf("attempt %d got an outcome of key %d, which never ran", a.id, a.key)
		}
		if want := answerOf(runs[0]); a.outcome != nil && string(a.outcome.Body) != string(want.Body) || a.body != runs[0].body {
			return fmt.Sprintf("attempt %d of body %d got %+v in place of %q of body %d", a.id, a.body, a.outcome, want.Body, runs[0].body)
		}
	}
	return ""
}

// callPlan is what the owner of a granted claim does with it.
type callPlan string

const (
	sendAndFinish callPlan = "send, finish"
	sendAndLose   callPlan = "send, lose the outcome"
	giveBack      callPlan = "release without sending"
)

// call runs one attempt at a node as the request path does.
func (o *oracle) call(n *node, a *attempt, todo callPlan) {
	ctx, cancel := timed()
	defer cancel()
	d := n.claimer.Claim(ctx, Call{Key: testKey(a.key), BodyDigest: testBody(a.body)})
	if n.Dead() {
		return // The caller's connection broke.
	}
	if d.State != Granted {
		o.update(func() { a.answered, a.state, a.outcome = true, d.State, d.Outcome })
		return
	}
	f := n.claim.Next()
	if n.Before(f); n.Dead() {
		return
	}
	if todo == giveBack {
		o.update(func() { a.answered, a.state, a.released = true, Granted, true })
		_ = n.claimer.Release(ctx, d.Claim)
		return
	}
	o.update(func() { a.ran = true })
	if n.After(f); n.Dead() {
		return
	}
	outcome := answerOf(a)
	recorded := &outcome
	if todo == sendAndLose {
		recorded = nil
	}
	o.update(func() { a.lost = recorded == nil })
	// The request's context may have ended during a pause; the outcome is still
	// recorded, in the background if need be.
	_ = n.claimer.Finish(ctx, d.Claim, recorded)
	o.update(func() { a.answered, a.state = true, Granted })
}

func testKey(k int) Key     { return NewKey("workspace", "service", fmt.Sprint(k)) }
func testBody(b int) Digest { return NewDigest(fmt.Append(nil, b)) }

// machine drives a cluster with drawn calls and faults.
type machine struct {
	*cluster
	oracle oracle
	count  int
}

func (m *machine) drawNode(t *rapid.T) (int, *node) {
	i := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")
	return i, m.at(i)
}

func (m *machine) startCalls(t *rapid.T) {
	for range rapid.IntRange(1, 4).Draw(t, "calls") {
		_, n := m.drawNode(t)
		if n.Dead() {
			continue
		}
		a := &attempt{
			id: m.count, key: rapid.IntRange(0, 3).Draw(t, "key"), owner: n.owner,
			body: max(0, rapid.IntRange(-4, 1).Draw(t, "body")),
		}
		m.count++
		todo := rapid.SampledFrom([]callPlan{sendAndFinish, sendAndFinish, sendAndLose, giveBack}).Draw(t, "plan")
		m.oracle.update(func() { m.oracle.attempts = append(m.oracle.attempts, a) })
		go m.oracle.call(n, a, todo)
	}
}

func (m *machine) armFault(t *rapid.T) {
	_, n := m.drawNode(t)
	f := rapid.SampledFrom(faultstore.All).Draw(t, "fault")
	skip := rapid.IntRange(0, 3).Draw(t, "skip")
	switch rapid.IntRange(0, 4).Draw(t, "place") {
	case 0:
		n.link.Set(append(make([]faultstore.Fault, skip), f)...)
	case 1:
		n.claim.Set(append(make([]faultstore.Fault, skip%2), f)...)
	default:
		n.store.Set(append(make([]faultstore.Fault, skip), f)...)
	}
}

func (m *machine) actions() map[string]func(*rapid.T) {
	wait := func(f func(*rapid.T)) func(*rapid.T) {
		return func(t *rapid.T) {
			f(t)
			time.Sleep(time.Duration(rapid.SampledFrom([]int{0, 1, 11, 120, 700, 5000}).Draw(t, "ms")) * time.Millisecond)
			synctest.Wait()
		}
	}
	return map[string]func(*rapid.T){
		"":       func(t *rapid.T) { m.check(t) },
		"call":   wait(m.startCalls),
		"repeat": wait(m.startCalls),
		"fault":  wait(m.armFault),
		"move the range": wait(func(t *rapid.T) {
			_, n := m.drawNode(t)
			n.mu.Lock()
			defer n.mu.Unlock()
			n.writerOf[Range(rapid.IntRange(0, 1).Draw(t, "range"))] = rapid.IntRange(0, len(m.nodes)-1).Draw(t, "writer")
		}),
		"take a node for gone": wait(func(t *rapid.T) {
			_, n := m.drawNode(t)
			m.gone.set(n.owner, rapid.Bool().Draw(t, "gone"))
		}),
		"outage": wait(func(t *rapid.T) {
			how := rapid.SampledFrom([]memstore.Fault{{}, {Refuse: true}, {LoseAnswer: true}}).Draw(t, "outage")
			m.mem.SetFault(func(memstore.Op, string) memstore.Fault { return how })
		}),
		"resume or restart": wait(func(t *rapid.T) {
			i, n := m.drawNode(t)
			n.Resume()
			if n.Dead() {
				m.start(i, m.count+2)
			}
		}),
	}
}

func (m *machine) check(t *rapid.T) {
	if violation := m.oracle.check(); violation != "" {
		t.Fatalf("%s\n%s", violation, m.oracle.history())
	}
}

// checkHealed makes sure that every claim that was refused or given back is free
// again and every outcome of a live owner is recorded, once all faults are over.
func (m *machine) checkHealed(t *rapid.T) {
	m.heal()
	time.Sleep(time.Minute)
	synctest.Wait()
	m.check(t)
	for key := range 4 {
		var uncertain bool // an owner died that may have had a claim
		for _, a := range m.oracle.attempts {
			uncertain = uncertain || a.key == key && !a.answered
		}
		runs := m.oracle.runsOf(key)
		probe := &attempt{id: m.count, key: key, owner: "probe"}
		m.count++
		if len(runs) > 0 {
			probe.body = runs[0].body
		}
		want := []State{Granted}
		switch {
		case len(runs) == 1 && runs[0].lost:
			want = []State{Unknown}
		case len(runs) == 1 && runs[0].answered:
			want = []State{Done}
		case len(runs) == 1:
			want = []State{Done, Unknown}
		case uncertain:
			want = []State{Granted, Unknown, KeyReused}
		}
		m.oracle.update(func() { m.oracle.attempts = append(m.oracle.attempts, probe) })
		m.oracle.call(m.at(key%len(m.nodes)), probe, giveBack)
		if !slices.Contains(want, probe.state) || (probe.state == Done) != (probe.outcome != nil) {
			t.Fatalf("after all faults a repeat of key %d got %v, want one of %v\n%s", key, probe.state, want, m.oracle.history())
		}
	}
	m.check(t)
}

func (o *oracle) history() string {
	var b strings.Builder
	for _, a := range o.attempts {
		fmt.Fprintf(&b, "attempt %d of key %d body %d at %s: answered %v state %v ran %v released %v lost %v\n",
			a.id, a.key, a.body, a.owner, a.answered, a.state, a.ran, a.released, a.lost)
	}
	return b.String()
}

// TestMachine guards against a second run of a call, a "not run" for a call that
// ran, a wrong outcome, a claim that stays open after a refusal, and an outcome
// that is never recorded: with lost, late and refused answers of the store and of
// peers, killed and paused writers and claimers, several writers of one range,
// store outages, and wrong beliefs about which nodes are gone.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			m := &machine{cluster: newCluster(3)}
			defer func() {
				m.close()
				time.Sleep(time.Minute)
			}()
			t.Repeat(m.actions())
			m.checkHealed(t)
		})
	})
}
