package configsync

import (
	"time"

	"github.com/figweir/figweir/membership"
)

// ServingState is the result of the freshness rule: whether a node may serve
// requests with its configuration, and on what evidence.
type ServingState int

// The serving states. The zero value refuses requests.
const (
	// Refusing means that the configuration may be outdated, for example a key may
	// have been withdrawn. Requests are refused as not run, with Retry-After.
	Refusing ServingState = iota
	// Fresh means that a read of the store within the evidence window found no
	// greater revision than the one in force.
	Fresh
	// ServingByMajority means that no read of the store is recent enough, but a
	// majority of the listed VMs was reached, none with a greater revision. An
	// accepted change is in force on a majority, so one of them would have had it.
	ServingByMajority
)

// String returns the name of the state for logs and the operator interface.
func (s ServingState) String() string {
	switch s {
	case Fresh:
		return "fresh"
	case ServingByMajority:
		return "serving_by_majority"
	}
	return "refusing"
}

// Evidence is the input of the freshness rule. Its ages include the full round
// trip.
type Evidence struct {
	// Ready means that the node has a configuration and has determined since its
	// start which revisions were accepted.
	Ready bool
	// StoreReadAge is the age of the newest read of the store, by this node or a
	// peer, that found no greater revision than the one in force.
	StoreReadAge membership.EvidenceAge
	// MajorityAge is the greatest age of the contacts with more than half of the
	// listed VMs, none of which had a greater revision than the one in force.
	MajorityAge membership.EvidenceAge
}

// Decide applies the freshness rule. Both kinds of evidence are valid up to the
// age given by window.
func Decide(e Evidence, window time.Duration) ServingState {
	switch {
	case !e.Ready:
		return Refusing
	case e.StoreReadAge.Known && e.StoreReadAge.Age <= window:
		return Fresh
	case e.MajorityAge.Known && e.MajorityAge.Age <= window:
		return ServingByMajority
	}
	return Refusing
}
