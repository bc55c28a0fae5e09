package configsync

import "expvar"

// Names of the counters under "configsync" in expvar. They count events of the
// process. Those for store calls have a row in the store budget.
const (
	counterHeadReads        = "store_head_reads"
	counterWatches          = "store_watches"
	counterLists            = "store_lists"
	counterPartLoads        = "store_part_loads"   // each reads every changed part
	counterApplies          = "store_applies"      // each writes every changed part and the head
	counterWrittenAgain     = "store_writes_again" // each writes the lost parts and the head
	counterInstalled        = "revisions_installed"
	counterUnusable         = "revisions_unusable"
	counterPushes           = "pushes"
	counterPushErrors       = "push_errors"
	counterPulls            = "pulls"
	counterPullErrors       = "pull_errors"
	counterAckQueries       = "acknowledgement_questions"
	counterAccepted         = "changes_accepted"
	counterStoredNotInForce = "changes_stored_not_in_force"
	counterRefusals         = "requests_refused"
	counterServedByMajority = "requests_served_by_majority"
	countersExpvarName      = "configsync"
)

var counters = expvar.NewMap(countersExpvarName)

// count adds one to a counter.
func count(name string) { counters.Add(name, 1) }

// countError adds one to a counter if err is not nil, and returns err.
func countError(name string, err error) error {
	if err != nil {
		count(name)
	}
	return err
}
