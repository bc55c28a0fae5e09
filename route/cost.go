package route

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/figweir/figweir/config"
)

// Weights are the constants of the cost policy. Costs are in seconds of delay.
type Weights struct {
	// BetweenTokensSeconds is the target time between tokens. A step above it
	// costs StepExcess for each second above, for every token of the answer.
	BetweenTokensSeconds float64
	StepExcess           float64
	// Decode weighs the time that the answer spends in decode steps, against
	// the time to the first token.
	Decode float64
	// KVFull is the cost of filling the last KV block of an engine; it rises
	// with the square of the share in use, since an engine that runs out of
	// blocks has to make requests wait or recompute them.
	KVFull float64
	// BlockTransferSeconds is the time to move one KV block between engines of
	// one failure domain; a transfer between failure domains takes
	// CrossDomainTransfer times as long. TransferSeconds is its fixed part.
	BlockTransferSeconds float64
	TransferSeconds      float64
	CrossDomainTransfer  float64
	// Home is the saving expected from later requests with the same prefix, as a
	// share of the prefill time, if the request goes to the home of its prefix.
	// All nodes agree on the home, so that one server caches it for all.
	Home float64
	// Reclaimable is the cost of a server that may be reclaimed, for the part
	// of an answer that would have to be repeated.
	Reclaimable float64
}

// DefaultWeights follow from the targets: 30 ms between tokens, and a block of
// 16 tokens with 2 MB of KV cache over a 10 GB/s link.
var DefaultWeights = Weights{
	BetweenTokensSeconds: 0.030, StepExcess: 4, Decode: 0.05, KVFull: 0.5,
	BlockTransferSeconds: 0.0002, TransferSeconds: 0.002, CrossDomainTransfer: 4,
	Home: 0.3, Reclaimable: 0.002,
}

// Cost is the policy that picks the server, or the pair of servers, with the
// least expected delay among a few candidates.
type Cost struct {
	Weights Weights
	seed    uint64
	picks   atomic.Uint64
}

// NewCost returns a cost policy. The same seed and the same sequence of calls
// give the same choices.
func NewCost(seed uint64, w Weights) *Cost { return &Cost{Weights: w, seed: seed} }

// maxCandidates is the number of servers of one role that are compared: two at
// random, the home of the prefix, and the one with most of the prefix cached.
const maxCandidates = 4

// candidates is a fixed-size set of servers with the cached part of the prompt.
type candidates struct {
	servers [maxCandidates]*Server
	cached  [maxCandidates]int
	n       int
	// home is the home of the prefix, which is among the servers, or nil.
	home *Server
}

func (c *candidates) add(v *View, r *Request, s *Server) {
	if s == nil || r.excluded(s.Name) {
		return
	}
	for _, have := range c.servers[:c.n] {
		if have == s {
			return
		}
	}
	c.servers[c.n] = s
	c.cached[c.n] = v.cachedTokens(s, r)
	c.n++
}

// cachedTokens is how much of the prompt s has cached. At least one token is
// always left to process.
func (v *View) cachedTokens(s *Server, r *Request) int {
	if s.digest == nil || len(r.Prefix) == 0 {
		return 0
	}
	return min(s.digest.Cached(r.Now, r.Prefix)*v.BlockTokens, max(0, r.PromptTokens-1))
}

// Pick returns the cheapest choice among the candidates. Its time is bounded by
// the size of the subset.
func (p *Cost) Pick(v *View, r *Request) (Choice, error) {
	var random rand.PCG
	random.Seed(p.seed, p.picks.Add(1))
	random.Uint64() // the first output of neighbouring seeds is correlated

	both := v.both.candidates(v, r, &random, true)
	prefill := v.prefill.candidates(v, r, &random, true)
	decode := v.decode.candidates(v, r, &random, false)

	best, bestCost := Choice{}, 0.0
	consider := func(c Choice, cost float64, fits bool) {
		if fits && (best.Decode == nil || cost < bestCost) {
			best, bestCost = c, cost
		}
	}
	for i, s := range both.servers[:both.n] {
		c, cost, fits := p.single(v, r, s, both.cached[i], both.home)
		consider(c, cost, fits)
		// A mixed server may also take one half of a pair.
		for _, d := range decode.servers[:decode.n] {
			c, cost, fits := p.pair(v, r, s, both.cached[i], d, both.home)
			consider(c, cost, fits)
		}
		for j, f := range prefill.servers[:prefill.n] {
			c, cost, fits := p.pair(v, r, f, prefill.cached[j], s, prefill.home)
			consider(c, cost, fits)
		}
	}
	for i, f := range prefill.servers[:prefill.n] {
		for _, d := range decode.servers[:decode.n] {
			c, cost, fits := p.pair(v, r, f, prefill.cached[i], d, prefill.home)
			consider(c, cost, fits)
		}
	}
	if best.Decode == nil {
		// The request may fit on a server that is not among the candidates. The
		// baseline looks at the whole subset, and explains why there is none.
		return LeastOutstanding{}.Pick(v, r)
	}
	return best, nil
}

// candidates chooses the servers of a subset that are worth comparing.
func (s *subset) candidates(v *View, r *Request, random *rand.PCG, byPrefix bool) candidates {
	var c candidates
	n := uint64(len(s.servers))
	if n == 0 {
		return c
	}
	for range 2 {
		// The start is random; excluded servers are skipped.
		start := random.Uint64() % n
		for i := range n {
			server := s.servers[(start+i)%n]
			if !r.excluded(server.Name) {
				c.add(v, r, server)
				break
			}
		}
	}
	if byPrefix && len(r.Prefix) > 0 {
		c.add(v, r, s.mostCached(v, r))
		c.home = s.home(r, v)
		c.add(v, r, c.home)
	}
	return c
}

// mostCached returns the server with the longest cached part of the prompt, or
// nil if none has any of it.
func (s *subset) mostCached(v *View, r *Request) *Server {
	var best *Server
	most := 0
	for _, server := range s.servers {
		if server.digest == nil || r.excluded(server.Name) {
			continue
		}
		if n := server.digest.Cached(r.Now, r.Prefix); n > most {
			best, most = server, n
		}
	}
	return best
}

// home returns the server that the first block of the prompt hashes to. It
// gathers requests with a common prefix before any server has it cached.
func (s *subset) home(r *Request, v *View) *Server {
	if len(r.Prefix) == 0 || len(s.servers) == 0 {
		return nil
	}
	return v.Server(s.ring.Lookup(prefixKey(r.Prefix[0])))
}

// prefixKey turns a block hash into a key for the ring.
func prefixKey(hash uint64) string {
	var b [8]byte
	for i := range b {
		b[i] = byte(hash >> (8 * i))
	}
	return string(b[:])
}

// single prices a request that runs on one server.
func (p *Cost) single(v *View, r *Request, s *Server, cached int, home *Server) (Choice, float64, bool) {
	l := s.Load()
	fits, kv := p.kvCost(v, r, s, l)
	if !fits {
		return Choice{}, 0, false
	}
	first := s.Distance.Seconds() + prefillSeconds(r, s, l, cached)
	step := stepSeconds(s, l)
	if v.BlockTokens == 0 {
		// A call of a plain service has no tokens: the calls in progress there
		// stand for its queue.
		first += step
	}
	cost := first + kv + p.decodeCost(r, step) + p.reclaimCost(s) - p.homeSaving(r, s, cached, home)
	return Choice{Prefill: s, Decode: s, CachedTokens: cached, FirstToken: seconds(first), BetweenTokens: seconds(step)}, cost, true
}

// pair prices a request whose prompt is processed on f and whose answer is
// generated on d, with the KV cache moved in between.
func (p *Cost) pair(v *View, r *Request, f *Server, cached int, d, home *Server) (Choice, float64, bool) {
	if f.KVBlocks > 0 && promptBlocks(v, r) > f.KVBlocks {
		return Choice{}, 0, false
	}
	load := d.Load()
	fits, kv := p.kvCost(v, r, d, load)
	if !fits {
		return Choice{}, 0, false
	}
	transfer := p.Weights.BlockTransferSeconds * float64(promptBlocks(v, r))
	if f.FailureDomain != d.FailureDomain {
		transfer *= p.Weights.CrossDomainTransfer
	}
	transfer += p.Weights.TransferSeconds
	step := stepSeconds(d, load)
	first := max(f.Distance, d.Distance).Seconds() + prefillSeconds(r, f, f.Load(), cached) + transfer + step
	cost := first + kv + p.decodeCost(r, step) + p.reclaimCost(d) - p.homeSaving(r, f, cached, home)
	return Choice{Prefill: f, Decode: d, CachedTokens: cached, FirstToken: seconds(first), BetweenTokens: seconds(step)}, cost, true
}

// homeSaving is what later requests save if the prompt is processed at home.
func (p *Cost) homeSaving(r *Request, s *Server, cached int, home *Server) float64 {
	if s != home {
		return 0
	}
	return p.Weights.Home * float64(r.PromptTokens-cached) / s.Speed.PrefillTokensPerSecond
}

// prefillSeconds is the queue ahead and the uncached part of the prompt.
func prefillSeconds(r *Request, s *Server, l Load, cached int) float64 {
	return float64(l.PrefillTokens+int64(r.PromptTokens-cached)) / s.Speed.PrefillTokensPerSecond
}

// stepSeconds is the time of a decode step once the request has joined.
func stepSeconds(s *Server, l Load) float64 {
	step := s.Speed.StepSeconds + s.Speed.StepSecondsPerStream*float64(l.Streams+1)
	if roleOf(s) == config.RoleMixed && l.PrefillTokens > 0 {
		// An engine that does both spends part of each step on prompts.
		step += mixedPrefillStepTokens / s.Speed.PrefillTokensPerSecond
	}
	return step
}

// mixedPrefillStepTokens is the prompt chunk that an engine of mixed role is
// taken to process in one step together with its decode batch.
const mixedPrefillStepTokens = 64

func (p *Cost) decodeCost(r *Request, step float64) float64 {
	tokens := float64(r.OutputTokens)
	excess := max(0, step-p.Weights.BetweenTokensSeconds)
	return tokens * (p.Weights.Decode*step + p.Weights.StepExcess*excess)
}

func (p *Cost) reclaimCost(s *Server) float64 {
	if s.Class == config.ClassReclaimable {
		return p.Weights.Reclaimable
	}
	return 0
}

// kvCost reports whether the request can ever fit on s, and prices its space.
// Without enough free blocks the request waits for running answers to end.
func (p *Cost) kvCost(v *View, r *Request, s *Server, l Load) (bool, float64) {
	if s.KVBlocks <= 0 {
		return true, 0
	}
	need := kvBlocks(r, v.BlockTokens)
	if need > int64(s.KVBlocks) {
		return false, 0
	}
	used := float64(l.KVBlocks+need) / float64(s.KVBlocks)
	cost := p.Weights.KVFull * used * used
	if short := l.KVBlocks + need - int64(s.KVBlocks); short > 0 && l.Streams > 0 {
		// Blocks come free as streams end: on average after half an answer.
		perStream := max(1, float64(l.KVBlocks)/float64(l.Streams))
		remaining := float64(l.DecodeTokens) / float64(l.Streams)
		cost += min(1, float64(short)/perStream/float64(l.Streams)) * remaining * stepSeconds(s, l)
	}
	return true, cost
}

func promptBlocks(v *View, r *Request) int {
	if v.BlockTokens <= 0 {
		return 0
	}
	return (r.PromptTokens + v.BlockTokens - 1) / v.BlockTokens
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
