package backends

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHoldIsNotCutShort guards against a hold that ends before the stated time: because a request
// that was sent before succeeds, a later refusal states less, or no other server is left.
func TestHoldIsNotCutShort(t *testing.T) {
	is := is.New(t)
	b, r := newBalancer(serviceServers(1), nil)
	s := r.View().All()["s0"]
	now := time.Now()
	choose := func(after time.Duration) error {
		c, err := b.Choose(now.Add(after), &Criteria{Service: "s"})
		if err == nil {
			c.Done()
		}
		return err
	}
	earlier, err := b.Choose(now, &Criteria{Service: "s"})
	is.NoErr(err)
	s.Hold(now, 20*time.Second)
	s.Hold(now, time.Second)
	earlier.Succeeded()
	is.True(errors.Is(choose(19*time.Second), ErrFull)) // the only server
	is.NoErr(choose(21 * time.Second))
}

// TestHoldOfAnyLengthEnds guards against a server that blocks itself for good by a huge time, and
// against more than two requests within the stated time.
func TestHoldOfAnyLengthEnds(t *testing.T) {
	is := is.New(t)
	_, r := newBalancer(serviceServers(1), nil)
	s := r.View().All()["s0"]
	start := time.Now()
	const stated = 6 * time.Hour
	requests := 0
	for now := start; now.Before(start.Add(stated)); now = now.Add(time.Minute) {
		if !s.declinesAt(sinceEpoch(now)) {
			requests++
			s.Hold(now, stated)
		}
	}
	is.True(requests >= 2 && requests <= 3) // the first one was refused at the start
}

// TestHoldAndLeavingEndWithTheIncarnation guards against a server that starts again under its id
// or address and gets no work because its predecessor left.
func TestHoldAndLeavingEndWithTheIncarnation(t *testing.T) {
	is := is.New(t)
	registrations := serviceServers(1)
	_, r := newBalancer(registrations, nil)
	now := time.Now()
	old := r.View().All()["s0"]
	old.MarkLeaving(now)
	old.Hold(now, time.Hour)
	r.Replace(registrations)
	is.True(r.View().All()["s0"].declinesAt(sinceEpoch(now))) // a registration that changes is no new start
	registrations[0].StartUnixMillis++
	r.Replace(registrations)
	is.True(!r.View().All()["s0"].declinesAt(sinceEpoch(now)))
	is.True(r.View().All()["s0"].Incarnation != old.Incarnation)
}

// TestSuspensionDoesNotBecomeShorter guards against a refusal that cuts the suspension of an
// unreachable server short.
func TestSuspensionDoesNotBecomeShorter(t *testing.T) {
	is := is.New(t)
	_, r := newBalancer(serviceServers(1), nil)
	s := r.View().All()["s0"]
	now := time.Now()
	for range 5 {
		s.Suspend(now)
	}
	s.stats.recordRefusal(now)
	suspended := s.stats.suspendedAt(sinceEpoch(now.Add(maxUnreachableSuspension - time.Millisecond)))
	is.True(suspended)
}
