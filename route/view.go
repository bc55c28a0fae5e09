// Package route chooses the backend server of a request. Its policies are pure functions
// of an immutable view and a request. They do no I/O and take no lock.
package route

import (
	"time"

	"github.com/dgryski/go-rendezvous"

	"github.com/figweir/figweir/config"
)

// Speed holds the rates of an engine, which convert load to seconds.
type Speed struct {
	// PrefillTokensPerSecond is the rate of prompt processing.
	PrefillTokensPerSecond float64
	// StepSeconds is the time of a decode step with an empty batch.
	StepSeconds float64
	// StepSecondsPerStream is the time that each stream of the batch adds to a step.
	StepSecondsPerStream float64
}

// DefaultSpeed is used where neither the registration nor a report states a speed.
var DefaultSpeed = Speed{PrefillTokensPerSecond: 8000, StepSeconds: 0.012, StepSecondsPerStream: 0.0005}

// or returns s with its unset fields taken from base.
func (s Speed) or(base Speed) Speed {
	if s.PrefillTokensPerSecond <= 0 {
		s.PrefillTokensPerSecond = base.PrefillTokensPerSecond
	}
	if s.StepSeconds <= 0 {
		s.StepSeconds = base.StepSeconds
	}
	if s.StepSecondsPerStream <= 0 {
		s.StepSecondsPerStream = base.StepSecondsPerStream
	}
	return s
}

// Registration describes a backend server, except for its load.
type Registration struct {
	Name          string
	FailureDomain string
	Address       string
	Role          config.Role
	Class         config.CapacityClass
	// RoundTripTime is the network latency from this node to the server and back.
	RoundTripTime time.Duration
	Draining      bool
	// KVBlocks is the KV memory of an engine in blocks; 0 if the server is not an engine.
	KVBlocks int
	Speed    Speed
}

// Server is a backend server in a View. It is immutable except for the counters of this
// node's own requests.
type Server struct {
	Registration
	// Leaving servers receive no new requests because they are about to stop.
	Leaving bool
	// ReportAge is the age of the last report when the view was published; negative if
	// there was none.
	ReportAge time.Duration

	// otherLoad is the reported load less this node's own load at the time of the
	// measurement.
	otherLoad    Load
	ownCounters  *counters
	cachedBlocks *CachedBlocks
	state        *serverState
	// inSubset is set if the server is in a subset of this node.
	inSubset bool
}

// Load estimates the current load: the load of other nodes according to the last report,
// plus this node's own requests. For a server outside the subsets the first part is as
// old as the last change of the registrations.
func (s *Server) Load() Load { return s.otherLoad.add(s.ownCounters.load()) }

// OwnLoad returns the load of this node's own requests on the server.
func (s *Server) OwnLoad() Load { return s.ownCounters.load() }

// InSubset reports whether this node sends requests to the server. A draining or leaving
// server is in no subset.
func (s *Server) InSubset() bool { return s.inSubset }

// CachedBlocks returns the record of prefix blocks cached on the server. It is nil if the
// server is outside this node's subsets or only decodes.
func (s *Server) CachedBlocks() *CachedBlocks { return s.cachedBlocks }

// usable reports whether the server accepts new requests.
func (s *Server) usable() bool { return !s.Draining && !s.Leaving }

// View is an immutable snapshot of the backend servers of one pool.
type View struct {
	Pool string
	// BlockTokens is the number of tokens in a KV block; 0 for the pool of a service.
	BlockTokens int
	// PublishedAt is when the view was published.
	PublishedAt time.Time
	// Servers holds all registered servers, in the order of the registrations.
	Servers []*Server

	index map[string]int
	// mixed, prefill and decode are the usable servers of each role to which this node
	// sends requests. Policies read only these, so that their cost doesn't grow with the
	// pool.
	mixed, prefill, decode subset
	draining, leaving      int
}

// Server returns the server with a name, or nil.
func (v *View) Server(name string) *Server {
	if i, ok := v.index[name]; ok {
		return v.Servers[i]
	}
	return nil
}

// subset holds the servers of one role to which this node sends requests.
type subset struct {
	servers    []*Server
	rendezvous *rendezvous.Rendezvous
}
