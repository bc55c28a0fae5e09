package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/backends"
)

// limitedChooser selects a server while it has permits, like a service whose servers have all
// reached their rate limits.
type limitedChooser struct {
	Chooser
	permits int
}

func (c *limitedChooser) Choose(now time.Time, criteria *backends.Criteria) (*backends.Choice, error) {
	if c.permits == 0 {
		return nil, fmt.Errorf("test: %w", backends.ErrRateLimited)
	}
	c.permits--
	return c.Chooser.Choose(now, criteria)
}

// TestRequestBeyondRateLimitsIsRefused guards against a request that waits although no server
// accepts it, and against one that is called not run after an attempt that may have run. The
// load: all servers have reached their rate limits, before the first attempt or the second one.
func TestRequestBeyondRateLimitsIsRefused(t *testing.T) {
	for permits, want := range []Verdict{NotRun, MayHaveRun} {
		is := is.New(t)
		f := newFixture(Safe, false, Lost{})
		f.core.Chooser = &limitedChooser{f.core.Chooser, permits}
		sink := f.serve(nil)
		is.True(sink.refusal != nil)
		is.Equal(sink.refusal.Verdict(), want)
		is.Equal(sink.refusal.Reason(), ReasonRateLimited)
		is.Equal(sink.refusal.RetryAfter() > 0, want == NotRun)
	}
}
