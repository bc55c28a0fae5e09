package loadshare

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
)

const (
	// batchInterval is the delay of an update after a change, so that further changes
	// are sent with it.
	batchInterval = 15 * time.Millisecond
	// repeatInterval is the time after which an update is repeated in case a datagram
	// was lost, and to show that the node is running.
	repeatInterval = 500 * time.Millisecond
	// maxDatagramBytes is the size of the largest datagram that can be received.
	maxDatagramBytes = 8 << 10
)

// Message is an update and the addresses of its recipients, as IP:port.
type Message struct {
	Update     *figweirv1.LoadUpdate
	Recipients []string
}

// Sharer sends the load of this node to other nodes and receives theirs.
type Sharer struct {
	incarnation uint64
	// snapshot returns the current load of this node.
	snapshot func() *figweirv1.LoadUpdate
	// messages returns the messages to send for a snapshot.
	messages func(u *figweirv1.LoadUpdate) []Message
	log      logr.Logger
	// OnUpdate is called for each update of another node. It must be set before Receive
	// is called and must not block.
	OnUpdate func(from net.Addr, u *figweirv1.LoadUpdate)

	changePending chan struct{}
	sequence      atomic.Uint64

	// Sent and Received count datagrams. Malformed counts received ones that can't be
	// decoded or have no incarnation.
	Sent, Received, Malformed atomic.Int64
}

// NewSharer returns a sharer. incarnation is a random number that identifies this process
// and must not be 0.
func NewSharer(incarnation uint64, snapshot func() *figweirv1.LoadUpdate, messages func(*figweirv1.LoadUpdate) []Message, log logr.Logger) *Sharer {
	return &Sharer{incarnation: incarnation, snapshot: snapshot, messages: messages, log: log, changePending: make(chan struct{}, 1)}
}

// NotifyChange schedules an update because the load of this node has changed. It never
// blocks.
func (s *Sharer) NotifyChange() {
	select {
	case s.changePending <- struct{}{}:
	default:
	}
}

// Run sends updates over conn until ctx ends.
func (s *Sharer) Run(ctx context.Context, conn net.PacketConn) {
	ticker := time.NewTicker(repeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changePending:
			time.Sleep(batchInterval)
		case <-ticker.C:
		}
		u := s.snapshot()
		u.Incarnation = s.incarnation
		for _, m := range s.messages(u) {
			s.Send(conn, m)
		}
	}
}

// NextSequence returns the next sequence number.
func (s *Sharer) NextSequence() uint64 { return s.sequence.Add(1) }

// Send sends a message with the next sequence number. Errors are not returned, because
// the next update replaces a lost one.
func (s *Sharer) Send(conn net.PacketConn, m Message) {
	m.Update.Sequence = s.NextSequence()
	raw, err := proto.Marshal(m.Update)
	if err != nil {
		s.log.Error(err, "cannot encode load update")
		return
	}
	for _, peer := range m.Recipients {
		address, err := netip.ParseAddrPort(peer)
		if err != nil {
			s.log.Info("invalid peer address", "address", peer, "cause", err.Error())
			continue
		}
		// A failed send needs no retry: the next update replaces it.
		if _, err := conn.WriteTo(raw, net.UDPAddrFromAddrPort(address)); err == nil {
			s.Sent.Add(1)
		}
	}
}

// Receive receives updates from conn until conn is closed. Updates that this process sent
// itself are ignored.
func (s *Sharer) Receive(conn net.PacketConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		s.Received.Add(1)
		var u figweirv1.LoadUpdate
		if proto.Unmarshal(buffer[:n], &u) != nil || u.Incarnation == 0 {
			s.Malformed.Add(1)
			continue
		}
		if u.Incarnation != s.incarnation {
			s.OnUpdate(from, &u)
		}
	}
}
