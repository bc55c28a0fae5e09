// Package metrics holds the counters and gauges of a node in one expvar map.
package metrics

import "expvar"

// Set is the metrics of one node. A process that runs several nodes has
// several sets, so none is published globally.
type Set struct {
	vars *expvar.Map

	// RequestsTotal counts requests of callers.
	RequestsTotal *expvar.Int
	// RequestsWholeTotal counts answers that were sent whole.
	RequestsWholeTotal *expvar.Int
	// RequestsCutTotal counts streams that ended in an explicit error.
	RequestsCutTotal *expvar.Int
	// RefusalsTotal counts refusals by code.
	RefusalsTotal *expvar.Map
	// AttemptsTotal counts attempts at backend servers.
	AttemptsTotal *expvar.Int
	// ResumesTotal counts streams that were resumed at an offset.
	ResumesTotal *expvar.Int
	// RerunsTotal counts model requests that were re-run on another engine.
	RerunsTotal *expvar.Int
	// ChunksDroppedTotal counts chunks dropped by reason: crossed, late, malformed.
	ChunksDroppedTotal *expvar.Map
	// InFlight is the number of requests being served.
	InFlight *expvar.Int
	// ConfigRevision is the revision of the configuration in force.
	ConfigRevision *expvar.Int
	// GoodTotal and BadTotal count requests by model or service: good ones were
	// whole and met the objectives.
	GoodTotal *expvar.Map
	BadTotal  *expvar.Map
	// KeysWithdrawnTotal counts streams ended because their key was withdrawn.
	KeysWithdrawnTotal *expvar.Int
	// StoreCallsTotal counts calls to the platform's store by mechanism.
	StoreCallsTotal *expvar.Map
}

// New returns an empty set.
func New() *Set {
	s := &Set{vars: new(expvar.Map).Init()}
	s.RequestsTotal = s.newInt("requests_total")
	s.RequestsWholeTotal = s.newInt("requests_whole_total")
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
	s.publishProcess()
	return s
}

// Publish adds a variable of another package under the same map.
func (s *Set) Publish(name string, v expvar.Var) { s.vars.Set(name, v) }

// Map returns the whole set.
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
