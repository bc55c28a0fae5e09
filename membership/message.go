// Package membership maintains a node's view of the live nodes. The candidates
// come from the platform's list of VMs, which may be out of date. Each node
// sends heartbeats to a few others per second. They carry which nodes are live,
// which configuration revision each has in force, how old the newest read of
// the store is, and which backend servers must get no new work.
//
// No safety guarantee depends on which nodes count as live: liveness only
// selects which process attempts an action. The evidence for the freshness rule
// (EvidenceAge and Reach) is kept separately and is conservative. Evidence is dated
// by the time when the call that returned it was sent, so its age includes the
// full round trip. It is valid only while the node has in force every revision
// that the evidence came with.
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
	// Leaving means that the platform is about to remove the VM.
	Leaving bool
}

// Lister reads the platform's list of VMs. The list may be out of date by up to
// Settings.ListLag.
type Lister interface {
	// VMs returns the VMs of the list, in any order.
	VMs(ctx context.Context) ([]VM, error)
}

// NodeState is the state that a node sends about itself or relays about another.
type NodeState struct {
	Name string
	// Incarnation identifies a start of the node's process. A later start has a
	// greater string.
	Incarnation string
	// Heartbeat grows with each heartbeat that the node sends.
	Heartbeat uint64
	Leaving   bool
	// Revision is the configuration revision in force on the node.
	Revision store.Revision
	// Informed is true once the node has determined after its start which revisions
	// were accepted. Only informed nodes count in a majority, since a restart
	// loses the revision that the node had acknowledged.
	Informed bool
	// SuspectedBy names the nodes that could not reach this one after this
	// heartbeat.
	SuspectedBy []string
}

// ServerNotice states whether a backend server is leaving.
type ServerNotice struct {
	Name string
	// Version grows with each notice about the server. Of two notices with the
	// same version, the one with Leaving set takes precedence.
	Version uint64
	Leaving bool
}

// EvidenceAge is the age of evidence, such as the newest read of the store. Age is
// meaningful only if Known is set.
type EvidenceAge struct {
	Known bool
	Age   time.Duration
}

// Reach is one node's evidence about the listed VMs: at the given age, each VM
// was reached and had at most the sender's revision in force.
type Reach struct {
	// Ages has one byte for each VM, in units of 10 ms, rounded up; 255 means no
	// evidence. Without NameHashes, the VMs are those of the list that sender and
	// receiver have in common, sorted by name.
	Ages []byte
	// Coarse means that Ages has four bits for each VM instead, the first VM in
	// the low bits, in units of 140 ms, rounded up; 15 means no evidence.
	Coarse bool
	// NameHashes holds the XXH64 hashes of the names. It is set if the lists
	// differ.
	NameHashes []uint64
}

// Request is a heartbeat that a node sends.
type Request struct {
	Self    NodeState
	Changes []NodeState
	Notices []ServerNotice
	// NoticesDigest identifies the sender's complete set of notices.
	NoticesDigest uint64
	// ListHash identifies the sender's list of VMs.
	ListHash uint64
	// WantReach requests Reach in the reply.
	WantReach bool
}

// Reply is the reply to a heartbeat. Evidence is only sent in replies: their
// receiver can measure the round-trip time, whereas the time that a request was
// in transit is unbounded.
type Reply struct {
	Self         NodeState
	Changes      []NodeState
	StoreReadAge EvidenceAge
	Notices      []ServerNotice
	Reach        *Reach
}

// Transport sends heartbeats to other nodes.
type Transport interface {
	// Heartbeat sends a request and returns the reply, or an error if none arrived
	// before ctx ended.
	Heartbeat(ctx context.Context, to VM, request *Request) (*Reply, error)
}
