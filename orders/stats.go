package orders

import "sync/atomic"

// counters are the counters of one controller since the process started.
type counters struct {
	roleChanges, stops, starts, loads                  atomic.Int64
	drainTimeouts, notSent, unknown                    atomic.Int64
	noticesRaised, noticesWithdrawn, noticesReconciled atomic.Int64
	minimumRefused, terms                              atomic.Int64
}

// Stats are the counters of one controller since the process started, for
// expvar.
type Stats struct {
	// Terms is how often the process acquired the duty.
	Terms int64 `json:"terms"`
	// Orders accepted by their target.
	RoleChanges int64 `json:"role_changes"`
	Stops       int64 `json:"stops"`
	Starts      int64 `json:"starts"`
	Loads       int64 `json:"loads"`
	// Changes and orders that failed.
	DrainTimeouts  int64 `json:"drain_timeouts"`
	MinimumRefused int64 `json:"floor_refused"`
	NotSent        int64 `json:"not_sent"`
	Unknown        int64 `json:"unknown"`
	// Leaving notices. NoticesReconciled counts the withdrawn notices that no
	// change of the current term had raised.
	NoticesRaised     int64 `json:"notices_raised"`
	NoticesWithdrawn  int64 `json:"notices_withdrawn"`
	NoticesReconciled int64 `json:"notices_reconciled"`
	// OutOfService is the current number of servers out of service for changes.
	OutOfService int `json:"out"`
}

// Stats returns a snapshot of the counters.
func (c *Controller) Stats() Stats {
	s := &c.stats
	out := Stats{
		Terms: s.terms.Load(), RoleChanges: s.roleChanges.Load(), Stops: s.stops.Load(), Starts: s.starts.Load(), Loads: s.loads.Load(),
		DrainTimeouts: s.drainTimeouts.Load(), MinimumRefused: s.minimumRefused.Load(), NotSent: s.notSent.Load(), Unknown: s.unknown.Load(),
		NoticesRaised: s.noticesRaised.Load(), NoticesWithdrawn: s.noticesWithdrawn.Load(), NoticesReconciled: s.noticesReconciled.Load(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.currentTerm != nil {
		for _, task := range c.currentTerm.tasks {
			if task.interruptsService() {
				out.OutOfService++
			}
		}
	}
	return out
}
