package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/core"
	"github.com/figweir/figweir/stall"
)

// TestSilentStreamsAreLoggedOnce guards against a moved stream that the logs don't explain, and against a
// line for each check and each stream that waits.
func TestSilentStreamsAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	o := newObserver(log, log, 0)
	o.logLimiter = rate.NewLimiter(rate.Inf, 0)
	s := core.SilentStream{
		Request: &core.Request{ID: "r1"}, Server: &backends.Server{Registration: backends.Registration{ID: "i-1"}},
		Silence: 1200 * time.Millisecond, Reason: stall.ReasonSilent,
	}
	for _, event := range []core.StreamEvent{core.StreamServerChecked, core.StreamKeptWaiting, core.StreamMoved, core.StreamEnded} {
		o.StreamSilent(event, s)
		is.Equal(o.silentStreams.Get(string(event)).String(), "1")
	}
	is.Equal(len(lines), 2)
	for _, field := range []string{"silent stream moved", `"r1"`, `"i-1"`, `"silence_ms"=1200`, `"reason"="silent"`} {
		is.True(strings.Contains(lines[0], field))
	}
}
