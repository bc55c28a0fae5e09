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

	mu   sync.Mutex
	hint string
	wake chan struct{}
}

// NewRelay returns a relay between the followers and other nodes.
func NewRelay(c *Config, s *Servers, p Peers, addresses func() []string, log logr.Logger) *Relay {
	return &Relay{config: c, servers: s, peers: p, addresses: addresses, log: log, wake: make(chan struct{}, 1)}
}

// Hint says that the node at an address has a version of the configuration, and
// has read registrations up to a revision. It never blocks.
func (r *Relay) Hint(address string, configVersion int64, revision store.Revision) {
	if configVersion <= r.config.Version() && revision <= r.servers.Revision() {
		return
	}
	r.mu.Lock()
	r.hint = address
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
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
	ticker := time.NewTicker(pullEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
			sleep(ctx, hintDelay)
			r.askAhead(ctx)
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

// askAhead asks the node that was ahead, unless the own watches have brought
// what it has meanwhile.
func (r *Relay) askAhead(ctx context.Context) {
	r.mu.Lock()
	address := r.hint
	r.hint = ""
	r.mu.Unlock()
	if address != "" {
		r.ask(ctx, address)
	}
}

func (r *Relay) ask(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	s, err := r.peers.Pull(ctx, address, r.config.Version())
	if err != nil {
		r.log.V(1).Info("peer not asked", "address", address, "cause", err.Error())
		return
	}
	if len(s.Config) > 0 {
		r.config.Offer(s.Config, "peer "+address)
	}
	r.servers.Offer(s.Registrations, s.Following, "peer "+address)
}
