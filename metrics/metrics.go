// Package metrics holds the counters and gauges of a node in one expvar map.
package metrics

import "expvar"

// Set holds the metrics of one node. A process that runs several nodes has
// several sets, so a set is not published in the global expvar map.
type Set struct {
	vars *expvar.Map

	// RequestsTotal counts the requests received from callers.
	RequestsTotal *expvar.Int
	// RequestsCompleteTotal counts the requests whose complete response was sent.
	RequestsCompleteTotal *expvar.Int
	// RequestsCutTotal counts the streams that ended with an error event.
	RequestsCutTotal *expvar.Int
	// RefusalsTotal counts refused requests by error code.
	RefusalsTotal *expvar.Map
	// AttemptsTotal counts the attempts to send a request to a backend server.
	AttemptsTotal *expvar.Int
	// ResumesTotal counts the streams that were resumed at an offset.
	ResumesTotal *expvar.Int
	// RerunsTotal counts the model requests that were run again on another engine.
	RerunsTotal *expvar.Int
	// ChunksDroppedTotal counts dropped chunks by reason: crossed (the chunk belongs
	// to another stream), late or malformed.
	ChunksDroppedTotal *expvar.Map
	// InFlight is the number of requests in progress.
	InFlight *expvar.Int
	// ConfigRevision is the revision of the configuration in force.
	ConfigRevision *expvar.Int
	// GoodTotal and BadTotal count requests by model or service. A request is good
	// if its response was complete and met the objectives.
	GoodTotal *expvar.Map
	BadTotal  *expvar.Map
	// KeysWithdrawnTotal counts the streams that ended because their key was
	// withdrawn.
	KeysWithdrawnTotal *expvar.Int
	// StoreCallsTotal counts the calls to the platform's store by the first segment of
	// the key, for example "config".
	StoreCallsTotal *expvar.Map
}

// New returns a set whose metrics are 0.
func New() *Set {
	s := &Set{vars: new(expvar.Map).Init()}
	s.RequestsTotal = s.newInt("requests_total")
	s.RequestsCompleteTotal = s.newInt("requests_whole_total")
	s.RequestsCutTotal = s.newInt("requests_cut_total")
	s.RefusalsTotal = s.newMap("refusals_total")
	s.AttemptsTotal = s.newInt("attempts_total")
	s.ResumesTotal = s.newInt("resumes_total")
	s.RerunsTotal = s.newInt("reruns_total")
	s.ChunksDroppedTotal = s.newMap("chunks_dropped_total")
	s.InFlight = s.newInt("in_flight")
	s.ConfigRevision = s.newInt("config_revision")
	s.GoodTotal = s.newMap("good_total")
	s.BadTotal = s.newMap("bad_total")
	s.KeysWithdrawnTotal = s.newInt("keys_withdrawn_total")
	s.StoreCallsTotal = s.newMap("store_calls_total")
	s.publishProcessMetrics()
	return s
}

// Publish adds a variable of another package to the set.
func (s *Set) Publish(name string, v expvar.Var) { s.vars.Set(name, v) }

// Map returns all variables of the set.
func (s *Set) Map() *expvar.Map { return s.vars }

func (s *Set) newInt(name string) *expvar.Int {
	v := new(expvar.Int)
	s.vars.Set(name, v)
	return v
}

func (s *Set) newMap(name string) *expvar.Map {
	v := new(expvar.Map).Init()
	s.vars.Set(name, v)
	return v
}
