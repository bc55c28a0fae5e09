package gateway

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/logging"
	"github.com/figweir/figweir/platform"
	"github.com/figweir/figweir/standin/memstore"
)

const testSettings = `{
  "name": "n1", "ip_address": "127.0.0.1", "failure_domain": "z",
  "listen": {"callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "peers": "127.0.0.1:3"},
  "ports": [7000, 7010], "log": {"verbose": false}, "store": {"address": "127.0.0.1:4"}
}`

// TestReloadReadsSettingsFile guards against a SIGHUP that reads another file than the
// start did, or applies an invalid file.
func TestReloadReadsSettingsFile(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) { is.NoErr(os.WriteFile(file, []byte(text), 0o600)) }
	write(testSettings)
	s, err := platform.LoadSettings(file)
	is.NoErr(err)
	var out bytes.Buffer
	logWriter := logging.NewAsyncWriter(&out)
	g := New(file, s, logWriter)
	write(strings.Replace(testSettings, "false", "true", 1))
	g.reloadSettings()
	is.Equal(g.level.Level(), slog.LevelDebug)
	write("{")
	g.reloadSettings()
	is.Equal(g.level.Level(), slog.LevelDebug)
	logWriter.Close()
	is.Equal(strings.Count(out.String(), "msg=reload "), 1)
	is.True(strings.Contains(out.String(), "reload failed, settings unchanged"))
}

// TestRetryBudgetIsSharedByNodes guards against every node using the full budget.
func TestRetryBudgetIsSharedByNodes(t *testing.T) {
	is := is.New(t)
	b := newRetryBudgets(0.2, 56, func() (int, bool) { return 16, true })
	retries := 0
	for b.Retry("s") {
		retries++
	}
	is.Equal(retries, 3) // a sixteenth
	for range 100 {
		b.FirstAttempt("s")
	}
	for b.Retry("s") {
		retries++
	}
	is.True(retries <= 3+20)
}

// TestStoppingNodeIsNoDutyCandidate guards against a duty that returns to its previous
// holder within the time in which holders must not alternate, because the holder in
// between was already stopping.
func TestStoppingNodeIsNoDutyCandidate(t *testing.T) {
	is := is.New(t)
	s, err := platform.ParseSettings("test", []byte(testSettings))
	is.NoErr(err)
	s.Cloud.Address = "127.0.0.1:5"
	logWriter := logging.NewAsyncWriter(io.Discard)
	t.Cleanup(logWriter.Close)
	g := New("", s, logWriter)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	read := make(chan struct{}, 1)
	wg.Go(func() {
		g.dutyHolder.Run(ctx, memstore.New(), func() {
			select {
			case read <- struct{}{}:
			default:
			}
		})
	})
	<-read
	g.ready.Store(true)
	is.True(g.isDutyCandidate())
	g.stopping.Store(true)
	is.True(!g.isDutyCandidate())
	cancel()
	wg.Wait()
}

// TestLongPromptIsTotaledAtOnce guards against short prompts that queue behind a long one
// because the nodes of other cells hear of it only with the next periodic totals, on
// deployments where hundreds of nodes share the prefill engines.
func TestLongPromptIsTotaledAtOnce(t *testing.T) {
	is := is.New(t)
	l := newPeerLoads()
	sequence := uint64(0)
	update := func(tokens uint32) bool {
		sequence++
		l.updatePart(time.Now(), &figweirv1.LoadUpdate{Incarnation: 1, Sequence: sequence, Servers: []*figweirv1.ServerLoad{{Server: 7, Requests: 1, PrefillTokens: tokens}}})
		select {
		case <-l.longPrompt:
			return true
		default:
			return false
		}
	}
	is.True(!update(longPromptTokens / 2))
	is.True(update(longPromptTokens * 2))
	is.True(!update(longPromptTokens * 2)) // the same prompt
	is.True(!update(longPromptTokens))     // one of two has been processed
	is.True(update(longPromptTokens * 2))
}

// TestCountsOfWrongWindowsAreIgnored guards against one update with a window far from the
// current one, from a node with a wrong clock, that displaces the counts of all nodes.
func TestCountsOfWrongWindowsAreIgnored(t *testing.T) {
	is := is.New(t)
	s, err := platform.ParseSettings("test", []byte(testSettings))
	is.NoErr(err)
	logWriter := logging.NewAsyncWriter(io.Discard)
	t.Cleanup(logWriter.Close)
	g := New("", s, logWriter)
	current := g.usageWindows.At(g.trueTime.At(time.Now()))
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}
	send := func(incarnation uint64, window int64) {
		g.handleLoadUpdate(from, &figweirv1.LoadUpdate{Incarnation: incarnation, Sequence: 1, Usage: []*figweirv1.WindowUsage{{Window: window, Counts: map[string]int64{"w": 1}}}})
	}
	send(1, current)
	for i, wrong := range []int64{math.MaxInt64, math.MinInt64, current + 100, current - 100} {
		send(uint64(2+i), wrong)
	}
	is.Equal(g.receivedCounts.Requests(current), int64(1))
}
