// Package route chooses the backend server of a request. Its policies are pure:
// they read an immutable view and return a choice. They do no input or output
// and take no lock.
package route

import (
	"time"

	"github.com/dgryski/go-rendezvous"

	"github.com/figweir/figweir/config"
)

// Speed says how fast an engine works. It is used to turn load into seconds.
type Speed struct {
	// PrefillTokensPerSecond is the rate of prompt processing.
	PrefillTokensPerSecond float64
	// StepSeconds is the time of a decode step with an empty batch.
	StepSeconds float64
	// StepSecondsPerStream is what each stream of the batch adds to a step.
	StepSecondsPerStream float64
}

// DefaultSpeed is assumed where neither the registration nor a report says.
var DefaultSpeed = Speed{PrefillTokensPerSecond: 8000, StepSeconds: 0.012, StepSecondsPerStream: 0.0005}

// or returns s with unset fields taken from base.
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

// Registration describes a backend server apart from its load.
type Registration struct {
	Name          string
	FailureDomain string
	Address       string
	Role          config.Role
	Class         config.CapacityClass
	// Distance is the round-trip time from this node.
	Distance time.Duration
	Draining bool
	// KVBlocks is the KV memory of an engine, in blocks; 0 if it has none.
	KVBlocks int
	Speed    Speed
}

// Server is a backend server in a View. It is immutable but for the counters
// of this node's own requests.
type Server struct {
	Registration
	// Leaving servers get no new work; they are about to stop.
	Leaving bool
	// ReportAge is how old the last report was when the view was made;
	// negative if there was none.
	ReportAge time.Duration

	// others is the reported load less what this node had there at the time.
	others Load
	own    *counters
	digest *Digest
	state  *serverState
	// member is set if the server is in a subset of this node.
	member bool
}

// Load estimates the present load: what others had there at the last report,
// and this node's own requests now. For a server outside the node's subset the
// first part is as old as the last change of the registered servers.
func (s *Server) Load() Load { return s.others.add(s.own.load()) }

// OwnLoad is the work that this node has on the server.
func (s *Server) OwnLoad() Load { return s.own.load() }

// InSubset reports whether this node sends requests to the server. A draining or
// leaving server is in no subset.
func (s *Server) InSubset() bool { return s.member }

// Digest returns the record of prefix blocks cached on the server, or nil if
// the server is outside this node's subset or only decodes.
func (s *Server) Digest() *Digest { return s.digest }

// usable reports whether the server may get new work.
func (s *Server) usable() bool { return !s.Draining && !s.Leaving }

// View is an immutable snapshot of the backend servers of one pool.
type View struct {
	Pool string
	// BlockTokens is how many tokens a KV block holds; 0 for a service pool.
	BlockTokens int
	At          time.Time
	Servers     []*Server

	index map[string]int
	// subsets are the usable servers that this node talks to, per role. A
	// policy reads only these, so that its cost doesn't grow with the pool.
	both, prefill, decode subset
	draining, leaving     int
}

// Server returns a server by name, or nil.
func (v *View) Server(name string) *Server {
	if i, ok := v.index[name]; ok {
		return v.Servers[i]
	}
	return nil
}

// subset is the servers of one role that this node sends requests to.
type subset struct {
	servers []*Server
	ring    *rendezvous.Rendezvous
}
