package bus

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func run(t *testing.T, b *Bus) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- b.Run(ctx) }()
	<-b.Running()
	t.Cleanup(func() {
		cancel()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		goleak.VerifyNone(t)
	})
}

// Guards against one bad event or one failing handler that blocks the events
// behind it.
func TestBadEventDoesNotBlockTopic(t *testing.T) {
	is := is.New(t)
	b, err := New(logr.Discard())
	is.NoErr(err)
	got := make(chan Event[ServerLeaving], 4)
	var calls atomic.Int64
	failed := make(chan struct{})
	Handle(b, "test", TopicServerLeaving, func(_ context.Context, e Event[ServerLeaving]) error {
		if e.Value.BackendServer == "failing" {
			if calls.Add(1) == handlerRetries {
				close(failed)
			}
			return errors.New("always fails")
		}
		if e.Value.BackendServer == "panicking" {
			panic("always")
		}
		got <- e
		return nil
	})
	run(t, b)
	is.NoErr(b.Deliver("entry-2", TopicServerLeaving, message.NewMessage("1", []byte("{"))))
	is.NoErr(Publish(b, TopicServerLeaving, ServerLeaving{BackendServer: "failing"}))
	is.NoErr(Publish(b, TopicServerLeaving, ServerLeaving{BackendServer: "panicking"}))
	is.NoErr(Publish(b, TopicServerLeaving, ServerLeaving{BackendServer: "engine-1", Leaving: true}))
	e := <-got
	is.Equal(e.Value, ServerLeaving{BackendServer: "engine-1", Leaving: true})
	is.Equal(e.Origin, "")
	<-failed // the failing handler was tried as often as stated
	m, err := Encode(ServerLeaving{BackendServer: "engine-2"})
	is.NoErr(err)
	is.NoErr(b.Deliver("entry-2", TopicServerLeaving, m))
	is.Equal((<-got).Origin, "entry-2")
}
