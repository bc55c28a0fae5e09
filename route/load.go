package route

import (
	"sync/atomic"
	"time"
)

// Load is the work on a backend server at one moment.
type Load struct {
	// Streams is the number of requests in progress. A request on a pair also counts on
	// the prefill server until its first token.
	Streams int64
	// PrefillTokens is the number of prompt tokens that are neither processed nor cached.
	PrefillTokens int64
	// DecodeTokens is the number of output tokens that are expected and not generated
	// yet.
	DecodeTokens int64
	// KVBlocks is the number of KV blocks that running requests hold.
	KVBlocks int64
}

// add returns the sum of each field.
func (l Load) add(o Load) Load {
	return Load{l.Streams + o.Streams, l.PrefillTokens + o.PrefillTokens, l.DecodeTokens + o.DecodeTokens, l.KVBlocks + o.KVBlocks}
}

// sub returns the difference of each field, but at least 0.
func (l Load) sub(o Load) Load {
	return Load{
		max(0, l.Streams-o.Streams), max(0, l.PrefillTokens-o.PrefillTokens),
		max(0, l.DecodeTokens-o.DecodeTokens), max(0, l.KVBlocks-o.KVBlocks),
	}
}

// Report is a load report of a backend server.
type Report struct {
	// MeasuredAt is when the server measured the load, on the clock of the receiver: the
	// time of receipt less the age that the report states.
	MeasuredAt time.Time
	Load       Load
	// Speed replaces the registered speed where its fields are set.
	Speed Speed
}

// counters hold the load of this node's own requests on one backend server. All requests
// to the server update them without a lock.
type counters struct {
	streams       atomic.Int64
	prefillTokens atomic.Int64
	decodeTokens  atomic.Int64
	kvBlocks      atomic.Int64
}

func (c *counters) load() Load {
	return Load{c.streams.Load(), c.prefillTokens.Load(), c.decodeTokens.Load(), c.kvBlocks.Load()}
}

func (c *counters) add(l Load) {
	c.streams.Add(l.Streams)
	c.prefillTokens.Add(l.PrefillTokens)
	c.decodeTokens.Add(l.DecodeTokens)
	c.kvBlocks.Add(l.KVBlocks)
}

// historySamples is the number of own loads that are recorded. With a publication every
// 100 ms they cover 3.2 s, which is more than the age at which a load report is stale.
const historySamples = 32

// history records the own load over time, so that a report can be compared with the own
// load at the time of its measurement.
type history struct {
	times    [historySamples]time.Time
	loads    [historySamples]Load
	recorded int
}

// record adds a sample. Samples must be added in the order of time.
func (h *history) record(at time.Time, l Load) {
	i := h.recorded % historySamples
	h.times[i], h.loads[i] = at, l
	h.recorded++
}

// loadAt returns the last own load that was recorded at or before t, or the oldest one in
// the history.
func (h *history) loadAt(t time.Time) Load {
	var oldest Load
	for n := h.recorded - 1; n >= 0 && n >= h.recorded-historySamples; n-- {
		i := n % historySamples
		oldest = h.loads[i]
		if !h.times[i].After(t) {
			return oldest
		}
	}
	return oldest
}

// InFlightRequest is one request of this node that is in progress on a backend server or
// on a pair. Its methods may be called from any goroutine.
type InFlightRequest struct {
	prefill, decode *Server
	prefillTokens   int64
	decodeTokens    atomic.Int64
	kvBlocks        int64
	prefilled       atomic.Bool
	ended           atomic.Bool
}

// Begin adds the request to the load of the chosen servers. It must be called before the
// request is sent, and End when the request is over.
func (c Choice) Begin(r *Request, blockTokens int) *InFlightRequest {
	inFlight := &InFlightRequest{
		prefill: c.Prefill, decode: c.Decode,
		prefillTokens: int64(max(0, r.PromptTokens-c.CachedTokens)),
		kvBlocks:      kvBlocks(r, blockTokens),
	}
	inFlight.decodeTokens.Store(int64(r.OutputTokens))
	inFlight.decode.ownCounters.add(Load{Streams: 1, DecodeTokens: int64(r.OutputTokens), KVBlocks: inFlight.kvBlocks})
	inFlight.prefill.ownCounters.add(Load{Streams: inFlight.prefillStreams(), PrefillTokens: inFlight.prefillTokens})
	return inFlight
}

// Token counts one generated token. The first one ends the prefill.
func (r *InFlightRequest) Token() {
	r.endPrefill()
	if r.ended.Load() {
		return
	}
	for remaining := r.decodeTokens.Load(); remaining > 0; remaining = r.decodeTokens.Load() {
		if r.decodeTokens.CompareAndSwap(remaining, remaining-1) {
			r.decode.ownCounters.decodeTokens.Add(-1)
			return
		}
	}
}

// End removes the rest of the request from the load. Calls after the first have no
// effect.
func (r *InFlightRequest) End() {
	r.endPrefill()
	if r.ended.Swap(true) {
		return
	}
	r.decode.ownCounters.add(Load{Streams: -1, DecodeTokens: -r.decodeTokens.Swap(0), KVBlocks: -r.kvBlocks})
}

// endPrefill removes the prefill from the load of the prefill server.
func (r *InFlightRequest) endPrefill() {
	if !r.prefilled.Swap(true) {
		r.prefill.ownCounters.add(Load{Streams: -r.prefillStreams(), PrefillTokens: -r.prefillTokens})
	}
}

// prefillStreams returns the number of streams that the request adds to the prefill
// server: 1 for a pair, and otherwise 0, because the request counts as a decode stream of
// the same server.
func (r *InFlightRequest) prefillStreams() int64 {
	if r.prefill == r.decode {
		return 0
	}
	return 1
}

// kvBlocks returns the number of KV blocks that the prompt and the expected answer
// occupy.
func kvBlocks(r *Request, blockTokens int) int64 {
	if blockTokens <= 0 {
		return 0
	}
	return int64((r.PromptTokens + r.OutputTokens + blockTokens - 1) / blockTokens)
}
