package orders

import "sync/atomic"

// counters are the counts of one controller since the process started.
type counters struct {
	roleChanges, stops, starts, loads           atomic.Int64
	drainTimeouts, notSent, unknown             atomic.Int64
	noticesRaised, noticesWithdrawn, reconciled atomic.Int64
	floorRefused, terms                         atomic.Int64
}

// Stats are the counts of one controller since the process started, for expvar.
type Stats struct {
	// Terms counts how often the process took the duty over.
	Terms int64 `json:"terms"`
	// Orders that their target took.
	RoleChanges int64 `json:"role_changes"`
	Stops       int64 `json:"stops"`
	Starts      int64 `json:"starts"`
	Loads       int64 `json:"loads"`
	// Orders that were given up.
	DrainTimeouts int64 `json:"drain_timeouts"`
	FloorRefused  int64 `json:"floor_refused"`
	NotSent       int64 `json:"not_sent"`
	Unknown       int64 `json:"unknown"`
	// Leaving notices; Reconciled are those withdrawn that no change of this
	// term had raised.
	NoticesRaised    int64 `json:"notices_raised"`
	NoticesWithdrawn int64 `json:"notices_withdrawn"`
	Reconciled       int64 `json:"notices_reconciled"`
	// Out is the number of servers out of service for changes now.
	Out int `json:"out"`
}

// Stats returns the counts.
func (c *Controller) Stats() Stats {
	s := &c.stats
	out := Stats{
		Terms: s.terms.Load(), RoleChanges: s.roleChanges.Load(), Stops: s.stops.Load(), Starts: s.starts.Load(), Loads: s.loads.Load(),
		DrainTimeouts: s.drainTimeouts.Load(), FloorRefused: s.floorRefused.Load(), NotSent: s.notSent.Load(), Unknown: s.unknown.Load(),
		NoticesRaised: s.noticesRaised.Load(), NoticesWithdrawn: s.noticesWithdrawn.Load(), Reconciled: s.reconciled.Load(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		for _, task := range c.current.tasks {
			if task.takesOut() {
				out.Out++
			}
		}
	}
	return out
}
