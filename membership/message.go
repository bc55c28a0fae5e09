// Package membership keeps a node's view of the live nodes. The candidates
// come from the platform's list of VMs, which lags; heartbeats to a few nodes a
// second say which of them live, which configuration revision they have in
// force, how old the newest read of the store is, and which backend servers
// must get no new work.
//
// No guarantee depends on who counts as live: that only picks which process
// tries to act. The evidence behind the freshness rule (ReadEvidence,
// reach) is kept separately and is conservative: each piece is dated by the
// sending time of the call that brought it, so the whole round trip counts as
// age, and it counts only while the node has in force every revision that the
// evidence was given with.
package membership

import (
	"context"
	"time"

	"github.com/figweir/figweir/store"
)

// VM is one entry of the platform's list.
type VM struct {
	Name          string
	Address       string
	FailureDomain string
	// Leaving VMs are about to be taken away by the platform.
	Leaving bool
}

// Lister reads the platform's list of VMs, which lags.
type Lister interface {
	VMs(ctx context.Context) ([]VM, error)
}

// NodeState is what a node says about itself or passes on about another.
type NodeState struct {
	Name string
	// Incarnation orders the starts of a node: the greater string is the later.
	Incarnation string
	// Heartbeat counts up while the node lives.
	Heartbeat uint64
	Leaving   bool
	// Revision is the configuration revision in force on the node.
	Revision store.Revision
	// Informed says that the node has learned since its start which revisions
	// were accepted. Only informed nodes count in a majority, since a restart
	// loses what the node had acknowledged.
	Informed bool
	// SuspectedBy names the nodes that could not reach it at this heartbeat.
	SuspectedBy []string
}

// ServerNotice says whether a backend server is leaving.
type ServerNotice struct {
	Name string
	// Version grows with each notice about the server. Of two notices with the
	// same version the one that says leaving wins.
	Version uint64
	Leaving bool
}

// ReadAge is the age of the newest known read of the store.
type ReadAge struct {
	Known bool
	Age   time.Duration
}

// Reach is one node's evidence about the listed VMs. Each VM had at most the
// sender's revision in force at the given age.
type Reach struct {
	// Ages has one byte for each VM in units of 10 ms, rounded up; 255 means no
	// evidence. Without NameHashes the VMs are those of the common list in name
	// order.
	Ages []byte
	// Coarse says that Ages has four bits for each VM instead, the first VM in
	// the low bits, in units of 140 ms, rounded up; 15 means no evidence.
	Coarse bool
	// NameHashes are the XXH64 hashes of the names, given if the lists differ.
	NameHashes []uint64
}

// Request is the heartbeat that a node sends.
type Request struct {
	Self    NodeState
	Changes []NodeState
	Notices []ServerNotice
	// NoticesDigest identifies the sender's whole set of notices.
	NoticesDigest uint64
	// ListHash identifies the sender's list of VMs.
	ListHash uint64
	// WantReach asks for Reach in the reply.
	WantReach bool
}

// Reply answers a heartbeat. Only a reply carries evidence: its receiver knows
// the round trip, whereas a request may have been under way for any time.
type Reply struct {
	Self      NodeState
	Changes   []NodeState
	StoreRead ReadAge
	Notices   []ServerNotice
	Reach     *Reach
}

// Transport sends heartbeats to other nodes.
type Transport interface {
	// Heartbeat returns the reply or an error; ctx bounds the exchange.
	Heartbeat(ctx context.Context, to VM, request *Request) (*Reply, error)
}
