package membership

import "time"

// Settings configures a node's membership. Zero durations select the defaults.
type Settings struct {
	// Self is this node as the platform lists it.
	Self VM
	// HeartbeatInterval is the time between two heartbeats that the node sends. It
	// does not depend on the number of nodes.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout limits the time from sending a heartbeat to its reply.
	HeartbeatTimeout time.Duration
	// ListInterval is the time between two reads of the VM list.
	ListInterval time.Duration
	// ListLag is the longest time for which two nodes may read different VM lists
	// from the platform.
	ListLag time.Duration
	// EvidenceWindow is the greatest age at which evidence is valid, both for reads
	// of the store and for reached VMs.
	EvidenceWindow time.Duration
	// AckWindow is the longest time for which an operator's change collects
	// acknowledgements. A restarted node waits this long before it counts as
	// informed by a majority, since a revision that its previous incarnation
	// acknowledged may still be accepted within this time.
	AckWindow time.Duration
}

const (
	// defaultHeartbeatInterval lets a node contact the 7 others in a deployment of
	// 8 nodes within 0.875 s.
	defaultHeartbeatInterval = 125 * time.Millisecond
	defaultHeartbeatTimeout  = 500 * time.Millisecond
	defaultListInterval      = time.Second
	defaultListLag           = 30 * time.Second
	defaultEvidenceWindow    = 2 * time.Second
	// DefaultAckWindow leaves 1 s of the 4 s within which a change must be in force.
	DefaultAckWindow = 3 * time.Second

	// maxVMsFineReach is the number of VMs up to which every reply carries Reach in
	// the fine encoding. Larger deployments request Reach only when it may soon be
	// needed, in the coarse encoding, so that each of 490 nodes sends less than
	// 3 KB/s while the store is down.
	maxVMsFineReach = 128
	// maxPeers limits the number of nodes to which a node sends heartbeats. An open
	// HTTP/2 connection uses about 50 kB on both ends together, so connections to
	// 489 nodes would use most of the 32 MB that a node may use.
	maxPeers = 64
	// changeRelayTime is how long after a change a node includes the changed state
	// or notice in its heartbeats.
	changeRelayTime = 3 * time.Second
	// maxChangesPerMessage and maxNoticesPerMessage limit the size of a message.
	maxChangesPerMessage = 24
	maxNoticesPerMessage = 256
	// maxKnownNotices limits the memory for notices. The design target is 1,500
	// backend servers.
	maxKnownNotices = 8192
	// maxLists limits the VM lists that are retained while this node has no valid
	// evidence, during which no list is dropped.
	maxLists = 16
)

func (s Settings) withDefaults() Settings {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&s.HeartbeatInterval, defaultHeartbeatInterval)
	set(&s.HeartbeatTimeout, defaultHeartbeatTimeout)
	set(&s.ListInterval, defaultListInterval)
	set(&s.ListLag, defaultListLag)
	set(&s.EvidenceWindow, defaultEvidenceWindow)
	set(&s.AckWindow, DefaultAckWindow)
	return s
}
