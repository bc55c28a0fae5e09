package membership

import "time"

// Settings of a node's membership. Zero durations and counts get the defaults.
type Settings struct {
	// Self is this node as the platform lists it.
	Self VM
	// HeartbeatInterval is the time between two heartbeats that the node sends,
	// whatever the number of nodes.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout bounds one exchange.
	HeartbeatTimeout time.Duration
	// ListInterval is the time between two reads of the VM list.
	ListInterval time.Duration
	// ListLag is the longest time for which two nodes may see different lists.
	ListLag time.Duration
	// EvidenceWindow is the greatest age of evidence that counts, both for reads
	// of the store and for reached VMs.
	EvidenceWindow time.Duration
	// AckWindow is the longest time for which an operator's change collects
	// acknowledgements. A restarted node may have acknowledged a revision in its
	// former life that is accepted only within this time.
	AckWindow time.Duration
}

const (
	// defaultHeartbeatInterval reaches the 7 other nodes of a deployment with 8
	// within 0.875 s.
	defaultHeartbeatInterval = 125 * time.Millisecond
	defaultHeartbeatTimeout  = 500 * time.Millisecond
	defaultListInterval      = time.Second
	defaultListLag           = 30 * time.Second
	defaultEvidenceWindow    = 2 * time.Second
	// DefaultAckWindow leaves 1 s of the 4 s within which a change is in force.
	DefaultAckWindow = 3 * time.Second

	// reachAlways is the number of VMs up to which every reply carries reach;
	// in larger deployments it is asked for when it may soon be needed, and is
	// coarse, so that 490 nodes send less than 3 KB/s each without the store.
	reachAlways = 128
	// maxPeers bounds the nodes that a node sends heartbeats to. An open HTTP/2
	// connection takes about 50 kB of both ends together, so connections to 489
	// nodes would take most of the 32 MB that a node may use.
	maxPeers = 64
	// changeSpread is how long a node passes on a changed state.
	changeSpread = 3 * time.Second
	// maxChanges and maxNotices bound one message.
	maxChanges = 24
	maxNotices = 256
	// maxKnownNotices bounds the memory for notices; the target size has 1,500
	// backend servers.
	maxKnownNotices = 8192
	// maxLists bounds the VM lists kept while this node can't confirm any.
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
