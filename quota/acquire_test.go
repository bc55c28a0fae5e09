package quota

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestAcquireEndsWithItsCaller guards against a request that waits for a granter after its caller
// has left, and against a permit for it that comes later and is lost.
func TestAcquireEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const self, granter = "a", "b"
		l := New(self, 1, testOptions)
		now := time.Now()
		l.SetLimits(now, map[string]Limit{workspaceName: limit})
		l.SetNodes(now, []string{granter}) // this node is not listed yet
		l.Heard(now, granter)
		l.Tick(now.Add(reachInterval))
		l.Messages()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		granted, retryAfter := l.Acquire(ctx, workspaceName, 5)
		is.True(!granted)
		is.Equal(retryAfter, time.Duration(0))
		request := messageOf(l, func(m Message) bool { return m.Request != nil })
		is.Equal(request.To, granter)
		l.Receive(time.Now(), granter, Message{Grant: &Grant{ID: request.Request.ID, Workspace: Key(workspaceName), Granted: true}})
		is.Equal(messageOf(l, func(m Message) bool { return m.Return != nil }).Return.Amount, uint64(5))

		// A permit that comes in time is used.
		go func() {
			time.Sleep(3 * time.Millisecond)
			request := messageOf(l, func(m Message) bool { return m.Request != nil })
			l.Receive(time.Now(), granter, Message{Grant: &Grant{ID: request.Request.ID, Workspace: Key(workspaceName), Granted: true}})
		}()
		start := time.Now()
		granted, _ = l.Acquire(context.Background(), workspaceName, 5)
		is.True(granted)
		is.Equal(time.Since(start), 3*time.Millisecond)
	})
}

// messageOf returns the first waiting message that matches.
func messageOf(l *Limiter, matches func(Message) bool) Message {
	for _, m := range l.Messages() {
		if matches(m) {
			return m
		}
	}
	return Message{}
}

// TestHeldRefusalStatesTheWaitOfTheBucket guards against callers that are told to come back long
// before there is a permit, because a refusal answers further requests for a short time only.
func TestHeldRefusalStatesTheWaitOfTheBucket(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, limit)
	f.run(3*time.Second, nil)
	node := (f.granter() + 1) % len(f.nodes)
	var waits []time.Duration
	request := func() {
		f.nodes[node].limiter.Request(f.now, workspaceName, 90, func(granted bool, retryAfter time.Duration) {
			if !granted {
				waits = append(waits, retryAfter)
			}
		})
		f.run(20*time.Millisecond, nil)
	}
	for range 4 {
		request()
	}
	is.True(len(waits) >= 3)
	for _, wait := range waits {
		is.True(wait >= 600*time.Millisecond)
		is.True(wait <= 1200*time.Millisecond)
	}
}
