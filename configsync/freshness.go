package configsync

import (
	"time"

	"github.com/figweir/figweir/membership"
)

// Verdict says whether a node may serve by its configuration.
type Verdict int

// The verdicts. The zero value refuses.
const (
	// Refusing means that a key may have been withdrawn without this node
	// knowing: requests are refused as not run, with Retry-After.
	Refusing Verdict = iota
	// Fresh means that the revision in force was the store's newest one at a
	// read within the evidence window.
	Fresh
	// ServingByMajority means that no read of the store is recent enough, and
	// that no change can have been accepted that a majority of the listed VMs
	// does not know.
	ServingByMajority
)

// String names the verdict for logs.
func (v Verdict) String() string {
	switch v {
	case Fresh:
		return "fresh"
	case ServingByMajority:
		return "serving_by_majority"
	}
	return "refusing"
}

// Evidence is what the decision is based on. Ages include whole round trips.
type Evidence struct {
	// Ready says that the node has a configuration and has learned since its
	// start which revisions were accepted.
	Ready bool
	// StoreRead is the age of the newest read of the store, made by this node or
	// a node it heard, that found no greater revision than the one in force.
	StoreRead membership.ReadAge
	// Majority is the age since which more than half of the listed VMs were
	// reached, none of which had a greater revision than the one in force.
	Majority membership.ReadAge
}

// Decide applies the freshness rule. Both kinds of evidence count up to the
// age of window.
func Decide(e Evidence, window time.Duration) Verdict {
	switch {
	case !e.Ready:
		return Refusing
	case e.StoreRead.Known && e.StoreRead.Age <= window:
		return Fresh
	case e.Majority.Known && e.Majority.Age <= window:
		return ServingByMajority
	}
	return Refusing
}
