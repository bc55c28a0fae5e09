// Package bus transports typed events between the components of a node, and from one node
// to its peers, using watermill. Nothing on the request path uses it.
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

// The topics of a node. Each carries events of one type.
const (
	// TopicConfigChanged carries ConfigChanged.
	TopicConfigChanged Topic = "config.changed"
	// TopicServerLeaving carries ServerLeaving.
	TopicServerLeaving Topic = "server.leaving"
	// TopicDutyChanged carries DutyChanged.
	TopicDutyChanged Topic = "duty.changed"
	// TopicDemand carries Demand.
	TopicDemand Topic = "demand"
	// TopicQuarantine carries Quarantine.
	TopicQuarantine Topic = "quarantine"
)

// ConfigChanged is published when a revision of the configuration comes into force.
type ConfigChanged struct {
	Revision uint64 `json:"revision"`
	Author   string `json:"author"`
}

// ServerLeaving is published when the platform's VM list shows a leaving notice for the
// VM of a backend server, or no longer does. It is not sent to other nodes: heartbeats
// carry leaving notices to them.
type ServerLeaving struct {
	BackendServer string `json:"backend_server"`
	Leaving       bool   `json:"leaving"`
}

// DutyChanged is published when this node acquires or loses a duty.
type DutyChanged struct {
	Duty string `json:"duty"`
	Held bool   `json:"held"`
}

// Demand states the tokens that the callers of one node requested in a period.
type Demand struct {
	// Seconds is the length of the period in which the requests arrived.
	Seconds float64      `json:"seconds"`
	Pools   []PoolDemand `json:"pools"`
}

// PoolDemand is the demand for one engine pool, in numbers of tokens.
type PoolDemand struct {
	Pool         string `json:"pool"`
	PromptTokens int64  `json:"prompt_tokens"`
	OutputTokens int64  `json:"output_tokens"`
}

// Quarantine states which prompt parts crash backend servers. It is sent to all nodes.
type Quarantine struct {
	// Update is an encoded figweir.v1.QuarantineUpdate.
	Update []byte `json:"update"`
}

const (
	// metadataOrigin is the metadata key for the name of the peer that sent an
	// event. It is not set on events of this node.
	metadataOrigin = "origin"
	// eventBufferSize is how many events are buffered for a slow subscriber before
	// publishers block.
	eventBufferSize = 256
	// maxHandlerAttempts is how often a failing handler is called before its event
	// is dropped and logged.
	maxHandlerAttempts = 3
)

// Bus is the event bus of one node.
type Bus struct {
	local  *gochannel.GoChannel
	router *message.Router
	log    logr.Logger
}

// New returns a bus without handlers.
func New(log logr.Logger) (*Bus, error) {
	logAdapter := NewLogger(log)
	router, err := message.NewRouter(message.RouterConfig{}, logAdapter)
	if err != nil {
		return nil, fmt.Errorf("event bus: %w", err)
	}
	return &Bus{
		local:  gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: eventBufferSize}, logAdapter),
		router: router,
		log:    log,
	}, nil
}

// Event is a decoded event with its origin.
type Event[T any] struct {
	// Origin is the name of the peer that sent the event; empty for this node.
	Origin string
	Value  T
}

// Publish queues an event for the handlers of a topic. It does not wait until the event
// is handled. It returns an error if the event can't be encoded or the bus is closed.
func Publish[T any](b *Bus, topic Topic, value T) error {
	m, err := Encode(value)
	if err != nil {
		return err
	}
	return b.local.Publish(string(topic), m)
}

// Encode returns a message with the event as JSON and a new UUID.
func Encode[T any](value T) (*message.Message, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("event bus: %w", err)
	}
	return message.NewMessage(watermill.NewUUID(), raw), nil
}

// Deliver queues a message from the peer named origin for the handlers of a topic. It
// returns an error if the bus is closed.
func (b *Bus) Deliver(origin string, topic Topic, m *message.Message) error {
	m.Metadata.Set(metadataOrigin, origin)
	return b.local.Publish(string(topic), m)
}

// Handle registers a handler for the events of a topic. It must be called before Run.
// Handlers run concurrently, so events may be handled out of order. An event that can't
// be decoded, or whose handler fails maxHandlerAttempts times, is logged and dropped so
// that it does not block later events. A panic counts as a failure.
func Handle[T any](b *Bus, name string, topic Topic, handle func(ctx context.Context, event Event[T]) error) {
	b.router.AddConsumerHandler(name, string(topic), b.local, func(m *message.Message) error {
		event := Event[T]{Origin: m.Metadata.Get(metadataOrigin)}
		if err := json.Unmarshal(m.Payload, &event.Value); err != nil {
			b.log.Info("event dropped", "topic", topic, "handler", name, "error", err.Error())
			return nil
		}
		var err error
		for range maxHandlerAttempts {
			if err = callHandler(m.Context(), event, handle); err == nil {
				return nil
			}
		}
		b.log.Info("event dropped", "topic", topic, "handler", name, "error", err.Error())
		return nil
	})
}

// callHandler converts a panic of a handler to an error: a message that is neither
// acknowledged nor rejected would end the subscription.
func callHandler[T any](ctx context.Context, event Event[T], handle func(context.Context, Event[T]) error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("event handler panicked: %v", v)
		}
	}()
	return handle(ctx, event)
}

// Run dispatches events to the handlers until ctx ends. It returns an error if the
// handlers can't be started.
func (b *Bus) Run(ctx context.Context) error {
	defer b.local.Close()
	return b.router.Run(ctx)
}

// Running returns a channel that is closed once all handlers are subscribed. Events
// published before that are lost.
func (b *Bus) Running() <-chan struct{} { return b.router.Running() }
