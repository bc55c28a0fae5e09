package loadshare

import (
	"context"
	"net"
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

// Sharer sends this node's work to its peers and takes theirs.
type Sharer struct {
	incarnation uint64
	table       *Table
	// snapshot returns this node's work.
	snapshot func() *figweirv1.LoadUpdate
	// peers returns the addresses of the nodes that get an update.
	peers func(u *figweirv1.LoadUpdate) []string
	log   logr.Logger

	// OnUpdate is called for each update of another node; it must not block.
	OnUpdate func(from net.Addr, u *figweirv1.LoadUpdate)

	changed  chan struct{}
	sequence uint64

	// Sent and Received count datagrams.
	Sent, Received, Malformed atomic.Int64
}

// NewSharer returns a sharer for a node with a random incarnation.
func NewSharer(incarnation uint64, t *Table, snapshot func() *figweirv1.LoadUpdate, peers func(*figweirv1.LoadUpdate) []string, log logr.Logger) *Sharer {
	return &Sharer{incarnation: incarnation, table: t, snapshot: snapshot, peers: peers, log: log, changed: make(chan struct{}, 1)}
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
		case now := <-ticker.C:
			s.table.Expire(now)
		}
		s.send(conn)
	}
}

// send sends one update to every peer.
func (s *Sharer) send(conn net.PacketConn) {
	u := s.snapshot()
	s.sequence++
	u.Incarnation, u.Sequence = s.incarnation, s.sequence
	raw, err := proto.Marshal(u)
	if err != nil {
		s.log.Error(err, "load update not encoded")
		return
	}
	for _, peer := range s.peers(u) {
		address, err := net.ResolveUDPAddr("udp4", peer)
		if err != nil {
			s.log.Info("peer address not usable", "address", peer, "cause", err.Error())
			continue
		}
		// A datagram that can't be sent is made good by the next one.
		if _, err := conn.WriteTo(raw, address); err == nil {
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
			s.table.Update(time.Now(), &u)
			s.OnUpdate(from, &u)
		}
	}
}
