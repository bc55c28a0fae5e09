package quarantine

import (
	"context"
	"time"
)

// tickInterval is the time between two looks at the evidence while there is any.
const tickInterval = 50 * time.Millisecond

// Run judges the evidence and calls step after each time, until ctx ends. It does so only while
// there is something to do. step must not block for long.
func (t *Tracker) Run(ctx context.Context, step func(now time.Time)) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		if !t.Active() {
			select {
			case <-ctx.Done():
				return
			case <-t.activated:
			}
		}
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			t.Tick(now)
			step(now)
		}
	}
}
