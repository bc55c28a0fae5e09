// Package bus carries typed events between the parts of a node, and from one
// node to its peers, over watermill. Nothing on the request path uses it.
package bus

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/go-logr/logr"
)

// Topic names a stream of events of one type.
type Topic string

// The topics of a node, with the type of their events.
const (
	// TopicConfigChanged carries ConfigChanged.
	TopicConfigChanged Topic = "config.changed"
	// TopicServerLeaving carries ServerLeaving.
	TopicServerLeaving Topic = "server.leaving"
	// TopicDutyChanged carries DutyChanged.
	TopicDutyChanged Topic = "duty.changed"
	// TopicDemand carries Demand.
	TopicDemand Topic = "demand"
)

// ConfigChanged says that a revision of the configuration is in force.
type ConfigChanged struct {
	Revision uint64 `json:"revision"`
	Author   string `json:"author"`
}

// ServerLeaving says what the platform's list shows of the VM of a backend
// server. It stays inside a node; heartbeats carry notices to the others.
type ServerLeaving struct {
	BackendServer string `json:"backend_server"`
	Leaving       bool   `json:"leaving"`
}

// DutyChanged says that this node has acquired or lost a duty.
type DutyChanged struct {
	Duty string `json:"duty"`
	Held bool   `json:"held"`
}

// Demand says what the callers of one node asked for.
type Demand struct {
	// Seconds is the time in which the requests of Pools arrived.
	Seconds float64      `json:"seconds"`
	Pools   []PoolDemand `json:"pools"`
}

// PoolDemand is the demand for one engine pool, in tokens.
type PoolDemand struct {
	Pool         string `json:"pool"`
	PromptTokens int64  `json:"prompt_tokens"`
	OutputTokens int64  `json:"output_tokens"`
}

const (
	// metadataOrigin names the node that an event came from; it is empty for
	// events of this node.
	metadataOrigin = "origin"
	// bufferedEvents is how many events a slow subscriber may be behind before
	// a publisher waits.
	bufferedEvents = 256
	// handlerRetries is how often a failed handler is tried again before its
	// event is dropped and logged.
	handlerRetries = 3
)

// Bus is the event bus of one node.
type Bus struct {
	local  *gochannel.GoChannel
	router *message.Router
	log    logr.Logger
}

// New returns a bus without handlers.
func New(log logr.Logger) (*Bus, error) {
	adapter := NewLogger(log)
	router, err := message.NewRouter(message.RouterConfig{}, adapter)
	if err != nil {
		return nil, fmt.Errorf("event bus: %w", err)
	}
	return &Bus{
		local:  gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: bufferedEvents}, adapter),
		router: router,
		log:    log,
	}, nil
}

// Event is an event with where it came from.
type Event[T any] struct {
	// Origin names the peer that sent the event, or is empty.
	Origin string
	Value  T
}

// Publish sends an event to the handlers of a topic. It returns when the event
// is queued, not when it is handled.
func Publish[T any](b *Bus, topic Topic, value T) error {
	m, err := Encode(value)
	if err != nil {
		return err
	}
	return b.local.Publish(string(topic), m)
}

// Encode returns a message that carries an event.
func Encode[T any](value T) (*message.Message, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("event bus: %w", err)
	}
	return message.NewMessage(watermill.NewUUID(), raw), nil
}

// Deliver queues a message that a peer sent.
func (b *Bus) Deliver(origin string, topic Topic, m *message.Message) error {
	m.Metadata.Set(metadataOrigin, origin)
	return b.local.Publish(string(topic), m)
}

// Handle adds a handler for the events of a topic. It must be called before
// Run. Handlers run concurrently, and events can overtake each other. An event that can't be decoded, or whose handler fails repeatedly, is
// logged and dropped, so that it can't block those behind it. A panic counts as
// a failure.
func Handle[T any](b *Bus, name string, topic Topic, handle func(ctx context.Context, event Event[T]) error) {
	b.router.AddConsumerHandler(name, string(topic), b.local, func(m *message.Message) error {
		event := Event[T]{Origin: m.Metadata.Get(metadataOrigin)}
		if err := json.Unmarshal(m.Payload, &event.Value); err != nil {
			b.log.Info("event dropped", "topic", topic, "handler", name, "error", err.Error())
			return nil
		}
		var err error
		for range handlerRetries {
			if err = safely(m.Context(), event, handle); err == nil {
				return nil
			}
		}
		b.log.Info("event dropped", "topic", topic, "handler", name, "error", err.Error())
		return nil
	})
}

// safely turns a panic of a handler into an error: a message that is neither
// acknowledged nor refused would end the subscription.
func safely[T any](ctx context.Context, event Event[T], handle func(context.Context, Event[T]) error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("event handler panicked: %v", v)
		}
	}()
	return handle(ctx, event)
}

// Run handles events until ctx ends.
func (b *Bus) Run(ctx context.Context) error {
	defer b.local.Close()
	return b.router.Run(ctx)
}

// Running returns a channel that is closed once all handlers are subscribed;
// events published before are lost.
func (b *Bus) Running() <-chan struct{} { return b.router.Running() }
