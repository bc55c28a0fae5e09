package demo

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/billing"
	"github.com/figweir/figweir/settings"
)

// reported adds up what billing took, with corrections, and fails the test if
// one window was reported with different figures.
func reported(t *testing.T, d *Deployment) (calls, tokens uint64) {
	t.Helper()
	seen := make(map[string]string)
	for _, r := range d.Platform.Billing.Received() {
		window := fmt.Sprintf("%d/%d", r.Report.Shard, r.Report.Window)
		figures := fmt.Sprint(r.Report.Figures, r.Report.Corrections)
		if earlier, ok := seen[window]; ok {
			if earlier != figures {
				t.Fatalf("window %s was reported as %s and as %s", window, earlier, figures)
			}
			continue
		}
		seen[window] = figures
		add := func(f billing.Figures) { calls, tokens = calls+f.Calls, tokens+f.OutputTokens }
		for _, f := range r.Report.Figures {
			add(f)
		}
		for _, c := range r.Report.Corrections {
			add(c.Figures)
		}
	}
	return calls, tokens
}

// Guards against usage that is lost, counted twice or never reported when a
// node that served it is stopped.
func TestUsageOfAllNodesReachesBilling(t *testing.T) {
	is := is.New(t)
	d := start(t, Options{Nodes: 3, Settings: func(i int, s *settings.Settings) {
		s.Usage.WindowSeconds = 1
		s.FailureDomain = fmt.Sprintf("local-%d", i+1)
	}})
	const requests, tokens = 30, 4
	for n := range requests {
		_, err := d.Chat(t.Context(), n%3, ChatRequest{Key: d.Key, Prompt: fmt.Sprint(n), Tokens: tokens})
		is.NoErr(err)
	}
	is.NoErr(<-d.BeginStop(0))
	d.stop[0], d.stopped[0] = func() {}, closed()
	for range 3000 {
		calls, output := reported(t, d)
		if calls == requests && output == requests*tokens {
			return
		}
		is.True(calls <= requests) // nothing is counted twice
		time.Sleep(20 * time.Millisecond)
	}
	calls, output := reported(t, d)
	t.Fatalf("billing got %d calls and %d tokens, callers %d and %d", calls, output, requests, requests*tokens)
}
