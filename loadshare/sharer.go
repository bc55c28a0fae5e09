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
	// minInterval is the time in which changes are collected into one update.
	minInterval = 15 * time.Millisecond
	// repeatEvery repeats an update, in case one was lost, and shows that the
	// node is alive.
	repeatEvery = 500 * time.Millisecond
	// maxDatagramBytes is the largest update that is taken.
	maxDatagramBytes = 8 << 10
)

// Message is an update and who gets it.
type Message struct {
	Update *figweirv1.LoadUpdate
	To     []string
}

// Sharer sends this node's work to other nodes and takes theirs.
type Sharer struct {
	incarnation uint64
	// snapshot returns this node's work.
	snapshot func() *figweirv1.LoadUpdate
	// messages returns what is sent of it, and to whom.
	messages func(u *figweirv1.LoadUpdate) []Message
	log      logr.Logger
	// OnUpdate is called for each update of another node; it must not block.
	OnUpdate func(from net.Addr, u *figweirv1.LoadUpdate)

	changed  chan struct{}
	sequence atomic.Uint64

	// Sent and Received count datagrams.
	Sent, Received, Malformed atomic.Int64
}

// NewSharer returns a sharer for a node with a random incarnation.
func NewSharer(incarnation uint64, snapshot func() *figweirv1.LoadUpdate, messages func(*figweirv1.LoadUpdate) []Message, log logr.Logger) *Sharer {
	return &Sharer{incarnation: incarnation, snapshot: snapshot, messages: messages, log: log, changed: make(chan struct{}, 1)}
}

// Changed says that the work has changed. It never blocks.
func (s *Sharer) Changed() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Run sends updates over conn until ctx ends.
func (s *Sharer) Run(ctx context.Context, conn net.PacketConn) {
	ticker := time.NewTicker(repeatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
			time.Sleep(minInterval)
		case <-ticker.C:
		}
		u := s.snapshot()
		u.Incarnation = s.incarnation
		for _, m := range s.messages(u) {
			s.Send(conn, m)
		}
	}
}

// Next returns the sequence number of the next update.
func (s *Sharer) Next() uint64 { return s.sequence.Add(1) }

// Send sends one message with the next sequence number.
func (s *Sharer) Send(conn net.PacketConn, m Message) {
	m.Update.Sequence = s.Next()
	raw, err := proto.Marshal(m.Update)
	if err != nil {
		s.log.Error(err, "load update not encoded")
		return
	}
	for _, peer := range m.To {
		address, err := netip.ParseAddrPort(peer)
		if err != nil {
			s.log.Info("peer address not usable", "address", peer, "cause", err.Error())
			continue
		}
		// A datagram that can't be sent is made good by the next one.
		if _, err := conn.WriteTo(raw, net.UDPAddrFromAddrPort(address)); err == nil {
			s.Sent.Add(1)
		}
	}
}

// Receive takes updates from conn until it is closed.
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
