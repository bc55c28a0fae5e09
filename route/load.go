package route

import (
	"sync/atomic"
	"time"
)

// Load is the work that a backend server holds. All fields are amounts at one
// moment, not rates.
type Load struct {
	// Streams is the number of requests in progress. A request on a pair counts
	// on the prefill server until its first token.
	Streams int64
	// PrefillTokens are prompt tokens that are not yet processed and not cached.
	PrefillTokens int64
	// DecodeTokens are output tokens that are expected and not yet generated.
	DecodeTokens int64
	// KVBlocks are the KV blocks that running answers hold.
	KVBlocks int64
}

// add returns the field-wise sum.
func (l Load) add(o Load) Load {
	return Load{l.Streams + o.Streams, l.PrefillTokens + o.PrefillTokens, l.DecodeTokens + o.DecodeTokens, l.KVBlocks + o.KVBlocks}
}

// sub returns the field-wise difference, but never less than 0 in any field.
func (l Load) sub(o Load) Load {
	return Load{
		max(0, l.Streams-o.Streams), max(0, l.PrefillTokens-o.PrefillTokens),
		max(0, l.DecodeTokens-o.DecodeTokens), max(0, l.KVBlocks-o.KVBlocks),
	}
}

// Report is a load report of a backend server.
type Report struct {
	// MeasuredAt is when the server measured the load, on the clock of the
	// receiver: the time of receipt less the age that the report states.
	MeasuredAt time.Time
	Load       Load
	// Speed replaces the registered speed where its fields are set.
	Speed Speed
}

// counters are this node's own requests on one backend server. They are shared
// by all requests to that server and never locked.
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

// historySamples bounds how far back own work is remembered. With a publication
// every 100 ms it covers 3.2 s, more than a load report may lag before it is
// stale.
const historySamples = 32

// history remembers own in-flight work, so that a report that arrives late can
// be compared with the own work at the time it was measured.
type history struct {
	at    [historySamples]time.Time
	load  [historySamples]Load
	count int
}

func (h *history) record(at time.Time, l Load) {
	i := h.count % historySamples
	h.at[i], h.load[i] = at, l
	h.count++
}

// before returns the newest own load recorded at or before t, or the oldest
// one that is still known.
func (h *history) before(t time.Time) Load {
	var oldest Load
	for n := h.count - 1; n >= 0 && n >= h.count-historySamples; n-- {
		i := n % historySamples
		oldest = h.load[i]
		if !h.at[i].After(t) {
			return oldest
		}
	}
	return oldest
}

// Flight is one request that this node has on a backend server, or on a pair.
// Its methods may be called from any goroutine.
type Flight struct {
	prefill, decode *Server
	prefillTokens   int64
	decodeTokens    atomic.Int64
	kvBlocks        int64
	prefilled       atomic.Bool
	ended           atomic.Bool
}

// Begin counts the request as in flight on the chosen servers. Call it before
// the request is sent, and End when it is over.
func (c Choice) Begin(r *Request, blockTokens int) *Flight {
	f := &Flight{
		prefill: c.Prefill, decode: c.Decode,
		prefillTokens: int64(max(0, r.PromptTokens-c.CachedTokens)),
		kvBlocks:      kvBlocks(r, blockTokens),
	}
	f.decodeTokens.Store(int64(r.OutputTokens))
	f.decode.own.add(Load{Streams: 1, DecodeTokens: int64(r.OutputTokens), KVBlocks: f.kvBlocks})
	f.prefill.own.add(Load{Streams: f.prefillStreams(), PrefillTokens: f.prefillTokens})
	return f
}

// Token counts one generated token. The first one ends the prefill.
func (f *Flight) Token() {
	f.endPrefill()
	if f.ended.Load() {
		return
	}
	for left := f.decodeTokens.Load(); left > 0; left = f.decodeTokens.Load() {
		if f.decodeTokens.CompareAndSwap(left, left-1) {
			f.decode.own.decodeTokens.Add(-1)
			return
		}
	}
}

// End releases what the request still holds. Calls after the first have no
// effect.
func (f *Flight) End() {
	f.endPrefill()
	if f.ended.Swap(true) {
		return
	}
	f.decode.own.add(Load{Streams: -1, DecodeTokens: -f.decodeTokens.Swap(0), KVBlocks: -f.kvBlocks})
}

func (f *Flight) endPrefill() {
	if !f.prefilled.Swap(true) {
		f.prefill.own.add(Load{Streams: -f.prefillStreams(), PrefillTokens: -f.prefillTokens})
	}
}

// prefillStreams is what the request counts on the prefill server of a pair.
func (f *Flight) prefillStreams() int64 {
	if f.prefill == f.decode {
		return 0
	}
	return 1
}

func kvBlocks(r *Request, blockTokens int) int64 {
	if blockTokens <= 0 {
		return 0
	}
	return int64((r.PromptTokens + r.OutputTokens + blockTokens - 1) / blockTokens)
}
