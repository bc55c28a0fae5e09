package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/figweir/figweir/store"
)

// State is what one node passes on to another.
type State struct {
	// Config is the configuration as the operator wrote it; empty if the other
	// node has it already.
	Config []byte
	// Following tells that the node reaches the store, so that Registrations
	// are what stands there.
	Following     bool
	Registrations []store.Entry
}

// Peers asks other nodes.
type Peers interface {
	// Pull asks the node at an address for what is newer than a version of the
	// configuration.
	Pull(ctx context.Context, address string, knownConfig int64) (State, error)
}

const (
	// pullEvery is the time between two questions while the store is away.
	pullEvery = 700 * time.Millisecond
	// hintDelay is how long a node that hears of something newer waits for its
	// own watch to bring it.
	hintDelay = 250 * time.Millisecond
	// pullTimeout bounds one question.
	pullTimeout = 800 * time.Millisecond
)

// Relay learns from other nodes while the store is out of reach, and when they
// are ahead, and tells them what this node has read.
type Relay struct {
	config  *Config
	servers *Servers
	peers   Peers
	// addresses returns the nodes that may be asked.
	addresses func() []string
	log       logr.Logger

	configs, registrations hints
}

// hints holds the latest node that has read more than this one.
type hints struct {
	mu     sync.Mutex
	latest hint
	wake   chan struct{}
}

// hint says how far the node at an address has read: a version of the
// configuration, or a revision of the registrations.
type hint struct {
	address string
	version int64
}

func (h *hints) put(latest hint) {
	h.mu.Lock()
	h.latest = latest
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *hints) get() hint {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.latest
}

// NewRelay returns a relay between the followers and other nodes.
func NewRelay(c *Config, s *Servers, p Peers, addresses func() []string, log logr.Logger) *Relay {
	return &Relay{config: c, servers: s, peers: p, addresses: addresses, log: log,
		configs: hints{wake: make(chan struct{}, 1)}, registrations: hints{wake: make(chan struct{}, 1)}}
}

// Hint says that the node at an address has a version of the configuration, and
// has read registrations up to a revision. It never blocks.
func (r *Relay) Hint(address string, configVersion int64, revision store.Revision) {
	if configVersion > r.config.Version() {
		r.configs.put(hint{address, configVersion})
	}
	if revision > r.servers.Revision() {
		r.registrations.put(hint{address, int64(revision)})
	}
}

// State implements peer.StateSource.
func (r *Relay) State(knownConfig int64) State {
	s := State{Following: r.servers.Following(), Registrations: r.servers.Entries()}
	if raw, version := r.config.Raw(); version > knownConfig {
		s.Config = raw
	}
	return s
}

// Run asks other nodes when there is a reason, until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() {
		r.followHints(ctx, &r.configs, fixed(hintDelay), r.config.Version)
	})
	wait.Go(func() {
		// The own watch may be waiting for more changes to read together.
		delay := func() time.Duration { return hintDelay + r.servers.Pause() }
		r.followHints(ctx, &r.registrations, delay, func() int64 { return int64(r.servers.Revision()) })
	})
	ticker := time.NewTicker(pullEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if r.config.Following() && r.servers.Following() && r.servers.Known() {
				continue
			}
			if list := r.addresses(); len(list) > 0 {
				r.ask(ctx, list[rand.IntN(len(list))])
			}
		}
	}
}

// followHints asks the nodes that are ahead of the own version, unless the own
// watch brings what they have within delay.
func (r *Relay) followHints(ctx context.Context, hints *hints, delay func() time.Duration, version func() int64) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hints.wake:
		}
		sleep(ctx, delay())
		if h := hints.get(); h.version > version() {
			r.ask(ctx, h.address)
		}
	}
}

func (r *Relay) ask(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	known := r.config.Version()
	s, err := r.peers.Pull(ctx, address, known)
	if err != nil {
		r.log.Info("peer did not answer", "address", address, "config_version", known, "cause", err.Error())
		return
	}
	if len(s.Config) > 0 {
		r.config.Offer(s.Config, "peer "+address)
	}
	r.servers.Offer(s.Registrations, s.Following, "peer "+address)
}
