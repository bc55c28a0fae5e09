package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/quarantine"
	"github.com/figweir/figweir/store"
)

// PeerState is what one node returns to a pull by another.
type PeerState struct {
	// Config is the encoded configuration; empty if the caller already has this
	// version.
	Config []byte
	// Following is true while the node can read the store, so that Registrations
	// are current.
	Following     bool
	Registrations []store.Entry
	// Quarantine holds the prompt parts that the node suspects of crashing backend servers.
	Quarantine quarantine.Update
}

// StatePuller pulls state from other nodes.
type StatePuller interface {
	// Pull returns the registrations of the node at address, and its configuration
	// if that is newer than version knownConfig. It returns an error if the call
	// fails.
	Pull(ctx context.Context, address string, knownConfig int64) (PeerState, error)
}

const (
	// pullInterval is the time between two pulls while the store is unavailable.
	pullInterval = 700 * time.Millisecond
	// hintDelay is how long a node that receives a hint waits for its own watch to
	// deliver the change.
	hintDelay = 250 * time.Millisecond
	// pullTimeout is the timeout of one pull.
	pullTimeout = 800 * time.Millisecond
	// firstPullPeers is how many other nodes a node asks for a newer configuration at once
	// before it puts the first one read from the store in force.
	firstPullPeers = 3
	// maxQuarantineWait is how long the first configuration waits for the suspected prompt parts,
	// which the store may turn down while it answers other calls.
	maxQuarantineWait = 5 * time.Second
	// firstPullRounds is how often it asks other ones if none of them answers.
	firstPullRounds = 2
)

// Relay pulls state from other nodes while the store is unavailable or when a hint
// shows that they have read more, and returns this node's state to their pulls.
type Relay struct {
	config  *Config
	servers *Servers
	puller  StatePuller
	// peerAddresses returns the RPC addresses of the nodes that can be pulled from.
	peerAddresses func() []string
	// PeersLoaded reports whether the list of nodes has been read; nil if there is none.
	PeersLoaded func() bool
	// QuarantineLoaded is closed once the suspected prompt parts were read from the store; nil if
	// they are not kept there.
	QuarantineLoaded <-chan struct{}
	log              logr.Logger
	quarantine       *quarantine.Tracker

	configHint, registrationsHint pendingHint
	// firstConfigRead is closed when the first configuration was read from the store.
	firstConfigRead <-chan struct{}
}

// pendingHint holds the latest hint from a node that has read more than this one.
type pendingHint struct {
	mu     sync.Mutex
	latest hint
	wake   chan struct{}
}

// hint states up to which version of the configuration, or which revision of the
// registrations, the node at an address has read.
type hint struct {
	address string
	version int64
}

func (h *pendingHint) set(latest hint) {
	h.mu.Lock()
	h.latest = latest
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *pendingHint) get() hint {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.latest
}

// NewRelay returns a relay between the followers c and s and the other nodes, whose state
// p pulls. q is merged with theirs. Until Run has asked the other nodes, c puts no configuration of
// the store in force.
func NewRelay(c *Config, s *Servers, q *quarantine.Tracker, p StatePuller, peerAddresses func() []string, log logr.Logger) *Relay {
	return &Relay{firstConfigRead: c.Hold(), config: c, servers: s, quarantine: q, puller: p, peerAddresses: peerAddresses, log: log,
		configHint: pendingHint{wake: make(chan struct{}, 1)}, registrationsHint: pendingHint{wake: make(chan struct{}, 1)}}
}

// Hint records that the node at an address has a version of the configuration and
// has read the registrations up to a revision. It never blocks.
func (r *Relay) Hint(address string, configVersion int64, revision store.Revision) {
	if configVersion > r.config.Version() {
		r.configHint.set(hint{address, configVersion})
	}
	if revision > r.servers.Revision() {
		r.registrationsHint.set(hint{address, int64(revision)})
	}
}

// State implements peer.StateSource.
func (r *Relay) State(knownConfig int64) PeerState {
	state := PeerState{Following: r.servers.Following(), Registrations: r.servers.Entries(), Quarantine: r.quarantine.State()}
	if raw, version := r.config.Raw(); version > knownConfig {
		state.Config = raw
	}
	return state
}

// Run pulls from other nodes when necessary, until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.askPeersFirst(ctx) })
	wg.Go(func() {
		r.pullOnHints(ctx, &r.configHint, constantDelay(hintDelay), r.config.Version)
	})
	wg.Go(func() {
		// This node's watch may be in its batch delay.
		delay := func() time.Duration { return hintDelay + r.servers.BatchDelay() }
		r.pullOnHints(ctx, &r.registrationsHint, delay, func() int64 { return int64(r.servers.Revision()) })
	})
	ticker := time.NewTicker(pullInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if r.config.Following() && r.servers.Following() && r.servers.Loaded() {
				continue
			}
			if addresses := r.peerAddresses(); len(addresses) > 0 {
				r.pull(ctx, addresses[rand.IntN(len(addresses))])
			}
		}
	}
}

// pullOnHints pulls from the node named in a hint, unless this node's own watch has
// delivered the change within delay.
func (r *Relay) pullOnHints(ctx context.Context, pending *pendingHint, delay func() time.Duration, version func() int64) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-pending.wake:
		}
		sleep(ctx, delay())
		if h := pending.get(); h.version > version() {
			r.pull(ctx, h.address)
		}
	}
}

// askPeersFirst waits for the first configuration from the store, asks other nodes whether they
// have a newer one, and then allows the store's to be put in force.
func (r *Relay) askPeersFirst(ctx context.Context) {
	select {
	case <-r.firstConfigRead:
	case <-ctx.Done():
		return
	}
	r.awaitPeers(ctx)
	addresses := slices.Clone(r.peerAddresses())
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	answered := false
	for range firstPullRounds {
		asked := addresses[:min(len(addresses), firstPullPeers)]
		addresses = addresses[len(asked):]
		if answered = r.pullAll(ctx, asked); answered || len(addresses) == 0 {
			break
		}
	}
	r.log.Info("peers asked for the configuration", "answered", answered, "config_version", r.config.Version())
	r.awaitQuarantine(ctx)
	r.config.Release()
}

// awaitQuarantine waits until the suspected prompt parts were read from the store: nodes that have
// just started too can't tell them, and without them requests that crash backend servers would be sent.
func (r *Relay) awaitQuarantine(ctx context.Context) {
	if r.QuarantineLoaded == nil {
		return
	}
	select {
	case <-r.QuarantineLoaded:
	case <-ctx.Done():
	case <-time.After(maxQuarantineWait):
		r.log.Info("requests are served without the suspected prompt parts of the store", "waited_ms", maxQuarantineWait.Milliseconds())
	}
}

// awaitPeers waits until the list of nodes has been read, at most for pullTimeout.
func (r *Relay) awaitPeers(ctx context.Context) {
	const interval = 10 * time.Millisecond
	for waited := time.Duration(0); r.PeersLoaded != nil && !r.PeersLoaded() && waited < pullTimeout && ctx.Err() == nil; waited += interval {
		sleep(ctx, interval)
	}
}

// pullAll pulls from several nodes at the same time. It reports whether one of them answered.
func (r *Relay) pullAll(ctx context.Context, addresses []string) bool {
	var answered atomic.Bool
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() {
			if r.pull(ctx, address) {
				answered.Store(true)
			}
		})
	}
	wg.Wait()
	return answered.Load()
}

// pull merges the state of the node at address into the followers. It reports whether the node
// answered.
func (r *Relay) pull(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	known := r.config.Version()
	state, err := r.puller.Pull(ctx, address, known)
	if err != nil {
		r.log.Info("peer did not answer", "address", address, "config_version", known, "cause", err.Error())
		return false
	}
	// What must not be sent is known before requests are served.
	r.quarantine.Apply(time.Now(), state.Quarantine)
	if len(state.Config) > 0 {
		r.config.ApplyIfNewer(state.Config, "peer "+address)
	}
	r.servers.Merge(state.Registrations, state.Following, "peer "+address)
	return true
}
