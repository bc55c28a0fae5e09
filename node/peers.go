package node

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/figweir/figweir/bus"
	"github.com/figweir/figweir/gen/figweir/v1/figweirv1connect"
	"github.com/figweir/figweir/inbound"
	"github.com/figweir/figweir/peer"
)

// maxPeerMessageBytes limits one message of a peer. The largest is a mirror batch
// of a few thousand totals.
const maxPeerMessageBytes = 4 << 20

// peerHandler returns the handler of the listener for peers. It refuses calls without the shared secret
// before it reads their messages.
func (n *Node) peerHandler() http.Handler {
	options := []connect.HandlerOption{connect.WithInterceptors(n.auth), connect.WithReadMaxBytes(maxPeerMessageBytes)}
	mux := http.NewServeMux()
	handle := func(maxMessageBytes int64) func(path string, h http.Handler) {
		o := n.inboundOptions()
		o.MaxMessageBytes = maxMessageBytes
		return func(path string, h http.Handler) { mux.Handle(path, inbound.NewHandler(n.auth.RequireSecret(h), o)) }
	}
	handle(peer.MaxHeartbeatBytes)(peer.NewMembershipHandler(n.members, n.auth))
	handle(peer.MaxConfigBytes)(peer.NewConfigHandler(n.sync, n.auth))
	handle(maxPeerMessageBytes)(figweirv1connect.NewOnceServiceHandler(peer.NewOnceServer(n.claims.writers.Handle), options...))
	handle(maxPeerMessageBytes)(peer.NewUsageServiceHandler(n.meter.ledger, options...))
	handle(maxPeerMessageBytes)(peer.NewBurnServiceHandler(n.observer.recorder, options...))
	handle(maxPeerMessageBytes)(peer.NewEventHandler(n.receiveEvent, options...))
	return mux
}

// newEventPublisher returns a publisher that sends events to all live peers.
func newEventPublisher(n *Node) *peer.EventPublisher {
	return peer.NewEventPublisher(n.settings.Name, n.peerHTTP, n.otherNodes, connect.WithInterceptors(n.auth))
}

// otherNodes returns the live nodes except this one.
func (n *Node) otherNodes() []peer.Peer {
	var out []peer.Peer
	for _, m := range n.members.View().Live {
		if m.Name != n.settings.Name {
			out = append(out, peer.Peer{Name: m.Name, URL: "http://" + m.Address})
		}
	}
	return out
}

// receiveEvent delivers an event of a peer to the bus of this node.
func (n *Node) receiveEvent(origin, topic string, m *message.Message) error {
	return n.bus.Deliver(origin, bus.Topic(topic), m)
}

// handleEvents subscribes the parts of the node to events of the bus.
func (n *Node) handleEvents() {
	bus.Handle(n.bus, "server-leaving", bus.TopicServerLeaving, n.onServerLeaving)
	bus.Handle(n.bus, "quarantine", bus.TopicQuarantine, n.quarantine.receive)
	bus.Handle(n.bus, "config-metrics", bus.TopicConfigChanged, func(_ context.Context, e bus.Event[bus.ConfigChanged]) error {
		n.metrics.ConfigRevision.Set(int64(e.Value.Revision))
		n.applyConfig()
		return nil
	})
}

// applyConfig applies the configuration in force to the parts that hold state for its
// pools. A request that arrives before both parts know its pool is refused.
func (n *Node) applyConfig() {
	snapshot := n.config.Load()
	if snapshot == nil {
		return
	}
	n.backends.applyConfig()
	n.admission.applyConfig(snapshot)
	n.configApplied.Store(true)
}

// announceConfig publishes an event for each configuration revision that is put
// in force, until ctx is canceled.
func (n *Node) announceConfig(ctx context.Context) {
	select {
	case <-n.bus.Running():
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		changed := n.config.Changed()
		if snapshot := n.config.Load(); snapshot != nil {
			event := bus.ConfigChanged{Revision: uint64(snapshot.Revision)}
			if err := bus.Publish(n.bus, bus.TopicConfigChanged, event); err != nil {
				n.log.Error(err, "event not published")
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
