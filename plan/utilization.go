package plan

import (
	"math"
	"time"
)

// LatencyNeeds holds what the utilization of engines follows from. Zero values are
// unknown.
type LatencyNeeds struct {
	// TargetLatency and TargetPause are the shortest targets of the routes for the first
	// event and for the pause between events.
	TargetLatency, TargetPause time.Duration
	// PromptTokens is the mean number of uncached tokens of the prompt that an arriving
	// token belongs to: long prompts count by their share of the work.
	PromptTokens float64
	// EventPause is the measured mean pause between events, and DecodeOccupancy the
	// fraction of the decode slots that was in use meanwhile.
	EventPause      time.Duration
	DecodeOccupancy float64
}

const (
	// queueShare is the share of the target latency that waiting for a prefill engine
	// may take on average. The prompt's own processing, the transfer of its KV cache
	// and the tail of the wait need the rest.
	queueShare = 0.25
	// pauseShare is the share of the target pause that the mean pause may take.
	pauseShare = 0.5
	// minPrefillLoad and maxPrefillLoad, minDecodeLoad and maxDecodeLoad limit the
	// computed utilization. Work is never spread evenly, so the busiest engine is full
	// long before the mean is.
	minPrefillLoad, maxPrefillLoad = 0.3, 0.65
	minDecodeLoad, maxDecodeLoad   = 0.15, 0.5
	// decodeLoadStep is the step of the computed utilization. Measured pauses vary, and
	// roles must not change with each of them.
	decodeLoadStep = 0.05
	// choicesPerRequest is the number of engines among which a request effectively has a
	// free choice. What a node knows of their load is not current, so it is far below the
	// number of all engines.
	choicesPerRequest = 2
)

// PrefillLoad returns the utilization of prefill engines at which the mean wait is
// queueShare of the target latency; prefillLoad if the inputs are unknown. The wait is
// that of Sakasegawa's approximation of a queue with choicesPerRequest servers and
// prompts of equal length.
func (n LatencyNeeds) PrefillLoad(tokensPerSecond float64) float64 {
	if n.TargetLatency <= 0 || n.PromptTokens <= 0 || tokensPerSecond <= 0 {
		return prefillLoad
	}
	allowed := queueShare * n.TargetLatency.Seconds()
	service := n.PromptTokens / tokensPerSecond
	exponent := math.Sqrt(2*(choicesPerRequest+1)) - 1
	low, high := 0.0, 1.0
	for range 20 {
		u := (low + high) / 2
		if wait := service / 2 * math.Pow(u, exponent) / (choicesPerRequest * (1 - u)); wait > allowed {
			high = u
		} else {
			low = u
		}
	}
	return min(max(low, minPrefillLoad), maxPrefillLoad)
}

// DecodeLoad returns the fraction of the decode slots that may be in use such that the
// mean pause is pauseShare of the target pause; decodeLoad if the inputs are unknown.
// Pauses are taken to grow in proportion to the occupancy. They grow more slowly, since
// a part of each step does not depend on the number of requests.
func (n LatencyNeeds) DecodeLoad() float64 {
	if n.TargetPause <= 0 || n.EventPause <= 0 || n.DecodeOccupancy <= 0 {
		return decodeLoad
	}
	allowed := pauseShare * n.TargetPause.Seconds()
	load := n.DecodeOccupancy * allowed / n.EventPause.Seconds()
	return min(max(math.Floor(load/decodeLoadStep)*decodeLoadStep, minDecodeLoad), maxDecodeLoad)
}
