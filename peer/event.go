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

// eventTimeout limits the time for sending events to one peer.
const eventTimeout = 2 * time.Second

// Peer is a node to which events are sent.
type Peer struct {
	Name string
	// URL is the base URL of the node's peer listener.
	URL string
}

// EventPublisher implements message.Publisher: it publishes watermill messages to
// all current peers. Each peer receives an event at most once. Events are hints;
// data that must not be lost is distributed by heartbeats or the store.
type EventPublisher struct {
	origin     string
	httpClient connect.HTTPClient
	peers      func() []Peer
	options    []connect.ClientOption
}

var _ message.Publisher = (*EventPublisher)(nil)

// NewEventPublisher returns a publisher that sends events in the name of the node
// origin. It calls peers for each publication to get the receivers.
func NewEventPublisher(origin string, client connect.HTTPClient, peers func() []Peer, options ...connect.ClientOption) *EventPublisher {
	return &EventPublisher{origin: origin, httpClient: client, peers: peers, options: options}
}

// Publish implements message.Publisher. It sends to all peers concurrently and
// returns the joined errors of the peers that failed.
func (p *EventPublisher) Publish(topic string, messages ...*message.Message) error {
	var mu sync.Mutex
	var errs []error
	var wg sync.WaitGroup
	for _, peer := range p.peers() {
		wg.Go(func() {
			if err := p.send(peer, topic, messages); err != nil {
				mu.Lock()
				errs = append(errs, fmt.Errorf("peer %s: %w", peer.Name, err))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Close implements message.Publisher. It does nothing.
func (p *EventPublisher) Close() error { return nil }

// send sends the messages to one peer. It returns an error if the peer did not
// accept all of them.
func (p *EventPublisher) send(peer Peer, topic string, messages []*message.Message) error {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	stream, err := figweirv1connect.NewEventServiceClient(p.httpClient, peer.URL, p.options...).Publish(ctx)
	if err != nil {
		return err
	}
	for _, m := range messages {
		request := &figweirv1.PublishRequest{Topic: topic, Uuid: m.UUID, Origin: p.origin, Metadata: m.Metadata, Payload: m.Payload}
		if err := stream.Send(request); err != nil {
			// CloseAndReceive returns the cause of a failed Send.
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

// EventReceiver handles a message that a peer published.
type EventReceiver func(origin, topic string, m *message.Message) error

// NewEventHandler returns the path and the HTTP handler of EventService.
func NewEventHandler(receive EventReceiver, options ...connect.HandlerOption) (string, http.Handler) {
	return figweirv1connect.NewEventServiceHandler(eventServer{receive}, options...)
}

// eventServer implements EventService with a receiver.
type eventServer struct{ receive EventReceiver }

// Publish implements figweirv1connect.EventServiceHandler. If the receiver returns
// an error, the code is unavailable and the remaining events are not read.
func (s eventServer) Publish(_ context.Context, stream *connect.ClientStream[figweirv1.PublishRequest]) (*figweirv1.PublishResponse, error) {
	var accepted uint64
	for stream.Receive() {
		request := stream.Msg()
		m := message.NewMessage(request.Uuid, request.Payload)
		for name, value := range request.Metadata {
			m.Metadata.Set(name, value)
		}
		if err := s.receive(request.Origin, request.Topic, m); err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		accepted++
	}
	if err := stream.Err(); err != nil {
		return nil, err
	}
	return &figweirv1.PublishResponse{Accepted: accepted}, nil
}
