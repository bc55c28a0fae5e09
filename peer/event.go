package peer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/ThreeDotsLabs/watermill/message"

	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/gen/figweir/v1/figweirv1connect"
)

// eventTimeout bounds the sending of events to one peer.
const eventTimeout = 2 * time.Second

// Peer is a node to which events are sent.
type Peer struct {
	Name string
	// URL is the base URL of the node's peer listener.
	URL string
}

// EventPublisher publishes watermill messages to all current peers. It
// implements message.Publisher. Delivery is at most once for each peer: events
// are hints, and what must not be lost travels with heartbeats or the store.
type EventPublisher struct {
	origin  string
	http    connect.HTTPClient
	peers   func() []Peer
	options []connect.ClientOption
}

var _ message.Publisher = (*EventPublisher)(nil)

// NewEventPublisher returns a publisher that sends as the node origin to
// whatever peers returns at the time.
func NewEventPublisher(origin string, client connect.HTTPClient, peers func() []Peer, options ...connect.ClientOption) *EventPublisher {
	return &EventPublisher{origin: origin, http: client, peers: peers, options: options}
}

// Publish implements message.Publisher. It returns the joined errors of the
// peers that could not be reached.
func (p *EventPublisher) Publish(topic string, messages ...*message.Message) error {
	var mu sync.Mutex
	var errs []error
	var wait sync.WaitGroup
	for _, peer := range p.peers() {
		wait.Go(func() {
			if err := p.send(peer, topic, messages); err != nil {
				mu.Lock()
				errs = append(errs, fmt.Errorf("peer %s: %w", peer.Name, err))
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return errors.Join(errs...)
}

// Close implements message.Publisher.
func (p *EventPublisher) Close() error { return nil }

func (p *EventPublisher) send(peer Peer, topic string, messages []*message.Message) error {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	stream, err := figweirv1connect.NewEventServiceClient(p.http, peer.URL, p.options...).Publish(ctx)
	if err != nil {
		return err
	}
	for _, m := range messages {
		request := &figweirv1.PublishRequest{Topic: topic, Uuid: m.UUID, Origin: p.origin, Metadata: m.Metadata, Payload: m.Payload}
		if err := stream.Send(request); err != nil {
			// The reason for a failed send comes with the response.
			break
		}
	}
	response, err := stream.CloseAndReceive()
	if err != nil {
		return err
	}
	if response.Accepted != uint64(len(messages)) {
		return fmt.Errorf("%d of %d events accepted", response.Accepted, len(messages))
	}
	return nil
}

// EventReceiver takes a message that a peer published.
type EventReceiver func(origin, topic string, m *message.Message) error

// NewEventHandler returns the path and handler of the EventService.
func NewEventHandler(receive EventReceiver, options ...connect.HandlerOption) (string, http.Handler) {
	return figweirv1connect.NewEventServiceHandler(eventHandler{receive}, options...)
}

type eventHandler struct{ receive EventReceiver }

// Publish implements figweirv1connect.EventServiceHandler.
func (h eventHandler) Publish(_ context.Context, stream *connect.ClientStream[figweirv1.PublishRequest]) (*figweirv1.PublishResponse, error) {
	var accepted uint64
	for stream.Receive() {
		request := stream.Msg()
		m := message.NewMessage(request.Uuid, request.Payload)
		for name, value := range request.Metadata {
			m.Metadata.Set(name, value)
		}
		if err := h.receive(request.Origin, request.Topic, m); err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		accepted++
	}
	if err := stream.Err(); err != nil {
		return nil, err
	}
	return &figweirv1.PublishResponse{Accepted: accepted}, nil
}
