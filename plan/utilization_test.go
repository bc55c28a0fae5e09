package plan

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUtilizationFollowsTargets guards against a utilization that ignores the target latency,
// or that exceeds its limits for extreme inputs. Without inputs it is the default.
func TestUtilizationFollowsTargets(t *testing.T) {
	is := is.New(t)
	is.Equal(LatencyNeeds{}.PrefillLoad(50_000), prefillLoad)
	is.Equal(LatencyNeeds{}.DecodeLoad(), decodeLoad)
	previous := 0.0
	for _, target := range []time.Duration{50, 200, 400, 1500} {
		load := LatencyNeeds{TargetLatency: target * time.Millisecond, PromptTokens: 12_000}.PrefillLoad(50_000)
		is.True(load >= previous && load >= minPrefillLoad && load <= maxPrefillLoad)
		previous = load
	}
	is.Equal(previous, maxPrefillLoad)
	n := LatencyNeeds{TargetPause: 300 * time.Millisecond, EventPause: 100 * time.Millisecond, DecodeOccupancy: 0.2}
	is.True(math.Abs(n.DecodeLoad()-0.3) < decodeLoadStep) // pauses may be half as long again
	n.EventPause = time.Hour
	is.Equal(n.DecodeLoad(), minDecodeLoad)
	n.EventPause = 1
	is.Equal(n.DecodeLoad(), maxDecodeLoad)
}
