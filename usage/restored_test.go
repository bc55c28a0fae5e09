package usage

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestNoWindowIsReportedTwiceAfterRestore guards against a window that is reported with other figures,
// since the store came back without its record. The load: an owner that reports a window, late usage
// of it, a restore to a copy without the record or to an empty store, twice in a row, and a next owner
// on the other process.
func TestNoWindowIsReportedTwiceAfterRestore(t *testing.T) {
	for _, empty := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newTestCluster()
			add := func(slot int, n uint64) {
				c.nodes[slot].recorder.Add("vogar", Figures{Calls: n})
				c.nodes[slot].recorder.flush()
			}
			stepUntilDone := func() {
				for range 4 {
					time.Sleep(testWindow)
					_, err := c.step(c.processes[c.holder])
					is.NoErr(err)
				}
			}
			add(0, 1)
			stepUntilDone()
			earlier := c.store.Copy()
			for range 2 {
				add(0, 2)
				stepUntilDone()
				add(1, 3) // counted late for the windows before
				if empty {
					earlier = nil
				}
				c.store.Restore(earlier)
				c.holder = 1 - c.holder
				c.startProcess(c.holder)
				_, _ = c.step(c.processes[c.holder]) // learns of the new era
				stepUntilDone()
			}
			is.Equal(c.violation, "")
			// Later usage is reported as before.
			before := c.reported()["vogar"]
			add(2, 5)
			stepUntilDone()
			is.Equal(c.violation, "")
			is.True(c.reported()["vogar"].Calls >= before.Calls+5)
			is.True(c.reported()["vogar"].Calls <= 1+2+3+2+3+5) // nothing is billed twice
		})
	}
}
