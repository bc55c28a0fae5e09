package route

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/figweir/figweir/config"
)

// Weights are the parameters of the cost policy. Costs are in seconds of delay.
type Weights struct {
	// BetweenTokensSeconds is the target time between tokens. Each second that a decode
	// step takes above it costs StepExcessCost per token of the answer.
	BetweenTokensSeconds float64
	StepExcessCost       float64
	// DecodeWeight is the weight of the time in decode steps relative to the time to the
	// first token.
	DecodeWeight float64
	// KVFullCost is the cost of using the last KV block of an engine. The cost grows with
	// the square of the share in use, because an engine without free blocks has to queue
	// or recompute requests.
	KVFullCost float64
	// BlockTransferSeconds is the time to transfer one KV block between engines in the
	// same failure domain. A transfer between failure domains takes
	// CrossDomainTransferFactor times as long. TransferSetupSeconds is the fixed part of
	// a transfer.
	BlockTransferSeconds      float64
	TransferSetupSeconds      float64
	CrossDomainTransferFactor float64
	// PreferredSaving is the saving that is expected from later requests with the same
	// prefix if the request goes to the preferred server of its prefix, as a share of the
	// prefill time. All nodes compute the same preferred server, so one server caches the
	// prefix for all of them.
	PreferredSaving float64
	// ReclaimableCost is the cost of using a reclaimable server, where part of an answer
	// may have to be repeated.
	ReclaimableCost float64
}

// DefaultWeights correspond to the targets: 30 ms between tokens, and KV blocks of 16
// tokens with 2 MB that are transferred over a 10 GB/s link.
var DefaultWeights = Weights{
	BetweenTokensSeconds: 0.030, StepExcessCost: 4, DecodeWeight: 0.05, KVFullCost: 0.5,
	BlockTransferSeconds: 0.0002, TransferSetupSeconds: 0.002, CrossDomainTransferFactor: 4,
	PreferredSaving: 0.3, ReclaimableCost: 0.002,
}

// Cost is the policy that selects the server, or the pair of servers, with the lowest
// expected delay among a few candidates.
type Cost struct {
	Weights Weights
	seed    uint64
	picks   atomic.Uint64
}

// NewCost returns a cost policy. The same seed and the same sequence of calls give the
// same choices.
func NewCost(seed uint64, w Weights) *Cost { return &Cost{Weights: w, seed: seed} }

// maxCandidates is the number of servers of one role that are compared: two random ones,
// the preferred server of the prefix, and the one that has most of the prefix cached.
const maxCandidates = 4

// candidates is a set of servers with the number of prompt tokens that each has cached.
type candidates struct {
	servers [maxCandidates]*Server
	cached  [maxCandidates]int
	count   int
	// preferred is the preferred server of the prefix, or nil. It is one of the servers
	// unless it is excluded.
	preferred *Server
}

// add adds a server unless it is nil, excluded or already in the set.
func (c *candidates) add(v *View, r *Request, s *Server) {
	if s == nil || r.excluded(s.Name) {
		return
	}
	for _, existing := range c.servers[:c.count] {
		if existing == s {
			return
		}
	}
	c.servers[c.count] = s
	c.cached[c.count] = v.cachedTokens(s, r)
	c.count++
}

// cachedTokens returns the number of prompt tokens that s is likely to have cached. At
// least one token is always left to process.
func (v *View) cachedTokens(s *Server, r *Request) int {
	if s.cachedBlocks == nil || len(r.Prefix) == 0 {
		return 0
	}
	return min(s.cachedBlocks.CountLeading(r.Now, r.Prefix)*v.BlockTokens, max(0, r.PromptTokens-1))
}

// Pick returns the candidate or the pair of candidates with the lowest cost. Its time is
// bounded by the size of the subsets.
func (p *Cost) Pick(v *View, r *Request) (Choice, error) {
	var random rand.PCG
	random.Seed(p.seed, p.picks.Add(1))
	random.Uint64() // the first outputs of consecutive seeds are correlated

	mixed := v.mixed.candidates(v, r, &random, true)
	prefill := v.prefill.candidates(v, r, &random, true)
	decode := v.decode.candidates(v, r, &random, false)

	best, bestCost := Choice{}, 0.0
	consider := func(c Choice, cost float64, fits bool) {
		if fits && (best.Decode == nil || cost < bestCost) {
			best, bestCost = c, cost
		}
	}
	for i, s := range mixed.servers[:mixed.count] {
		c, cost, fits := p.singleCost(v, r, s, mixed.cached[i], mixed.preferred)
		consider(c, cost, fits)
		// A mixed server may also run only the prefill or only the decode of a pair.
		for _, decodeServer := range decode.servers[:decode.count] {
			c, cost, fits := p.pairCost(v, r, s, mixed.cached[i], decodeServer, mixed.preferred)
			consider(c, cost, fits)
		}
		for j, prefillServer := range prefill.servers[:prefill.count] {
			c, cost, fits := p.pairCost(v, r, prefillServer, prefill.cached[j], s, prefill.preferred)
			consider(c, cost, fits)
		}
	}
	for i, prefillServer := range prefill.servers[:prefill.count] {
		for _, decodeServer := range decode.servers[:decode.count] {
			c, cost, fits := p.pairCost(v, r, prefillServer, prefill.cached[i], decodeServer, prefill.preferred)
			consider(c, cost, fits)
		}
	}
	if best.Decode == nil {
		// The request may fit on a server that is not a candidate. This policy checks the
		// whole subset and otherwise returns the error with the reason.
		return LeastOutstanding{}.Pick(v, r)
	}
	return best, nil
}

// candidates returns the servers of a subset that are worth comparing.
func (s *subset) candidates(v *View, r *Request, random *rand.PCG, byPrefix bool) candidates {
	var c candidates
	n := uint64(len(s.servers))
	if n == 0 {
		return c
	}
	for range 2 {
		// Take the first server from a random start that is not excluded.
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
		c.preferred = s.preferredServer(r, v)
		c.add(v, r, c.preferred)
	}
	return c
}

// mostCached returns the server with the longest cached prefix of the prompt, or nil if
// none has any of it cached.
func (s *subset) mostCached(v *View, r *Request) *Server {
	var best *Server
	mostBlocks := 0
	for _, server := range s.servers {
		if server.cachedBlocks == nil || r.excluded(server.Name) {
			continue
		}
		if n := server.cachedBlocks.CountLeading(r.Now, r.Prefix); n > mostBlocks {
			best, mostBlocks = server, n
		}
	}
	return best
}

// preferredServer returns the server that rendezvous hashing assigns to the first prompt
// block, or nil. It collects requests with a common prefix even before any server has the
// prefix cached.
func (s *subset) preferredServer(r *Request, v *View) *Server {
	if len(r.Prefix) == 0 || len(s.servers) == 0 {
		return nil
	}
	return v.Server(s.rendezvous.Lookup(prefixKey(r.Prefix[0])))
}

// prefixKey converts a block hash to a key of the rendezvous hash.
func prefixKey(hash uint64) string {
	var b [8]byte
	for i := range b {
		b[i] = byte(hash >> (8 * i))
	}
	return string(b[:])
}

// singleCost returns the choice of one server for prefill and decode, its cost, and
// whether the request fits.
func (p *Cost) singleCost(v *View, r *Request, s *Server, cached int, preferred *Server) (Choice, float64, bool) {
	load := s.Load()
	fits, kv := p.kvCost(v, r, s, load)
	if !fits {
		return Choice{}, 0, false
	}
	first := s.RoundTripTime.Seconds() + prefillSeconds(r, s, load, cached)
	step := stepSeconds(s, load)
	if v.BlockTokens == 0 {
		// A call of a service has no tokens. The step time, which grows with the calls in
		// progress, represents its queue.
		first += step
	}
	cost := first + kv + p.decodeCost(r, step) + p.reclaimCost(s) - p.preferredSaving(r, s, cached, preferred)
	return Choice{Prefill: s, Decode: s, CachedTokens: cached, FirstToken: seconds(first), BetweenTokens: seconds(step)}, cost, true
}

// pairCost returns the choice of a prefill and a decode server with a transfer of the KV
// cache between them, its cost, and whether the request fits.
func (p *Cost) pairCost(v *View, r *Request, prefill *Server, cached int, decode, preferred *Server) (Choice, float64, bool) {
	if prefill.KVBlocks > 0 && promptBlocks(v, r) > prefill.KVBlocks {
		return Choice{}, 0, false
	}
	decodeLoad := decode.Load()
	fits, kv := p.kvCost(v, r, decode, decodeLoad)
	if !fits {
		return Choice{}, 0, false
	}
	transfer := p.Weights.BlockTransferSeconds * float64(promptBlocks(v, r))
	if prefill.FailureDomain != decode.FailureDomain {
		transfer *= p.Weights.CrossDomainTransferFactor
	}
	transfer += p.Weights.TransferSetupSeconds
	step := stepSeconds(decode, decodeLoad)
	first := max(prefill.RoundTripTime, decode.RoundTripTime).Seconds() + prefillSeconds(r, prefill, prefill.Load(), cached) + transfer + step
	cost := first + kv + p.decodeCost(r, step) + p.reclaimCost(decode) - p.preferredSaving(r, prefill, cached, preferred)
	return Choice{Prefill: prefill, Decode: decode, CachedTokens: cached, FirstToken: seconds(first), BetweenTokens: seconds(step)}, cost, true
}

// preferredSaving returns the expected saving of later requests if the prompt is
// processed on the preferred server, in seconds.
func (p *Cost) preferredSaving(r *Request, s *Server, cached int, preferred *Server) float64 {
	if s != preferred {
		return 0
	}
	return p.Weights.PreferredSaving * float64(r.PromptTokens-cached) / s.Speed.PrefillTokensPerSecond
}

// prefillSeconds returns the time to process the queue of the server and the uncached
// part of the prompt.
func prefillSeconds(r *Request, s *Server, l Load, cached int) float64 {
	return float64(l.PrefillTokens+int64(r.PromptTokens-cached)) / s.Speed.PrefillTokensPerSecond
}

// stepSeconds returns the time of a decode step after the request has been added to the
// batch.
func stepSeconds(s *Server, l Load) float64 {
	step := s.Speed.StepSeconds + s.Speed.StepSecondsPerStream*float64(l.Streams+1)
	if roleOf(s) == config.RoleMixed && l.PrefillTokens > 0 {
		// A mixed engine processes a prompt chunk in each decode step.
		step += mixedPrefillStepTokens / s.Speed.PrefillTokensPerSecond
	}
	return step
}

// mixedPrefillStepTokens is the size of the prompt chunk that a mixed engine is assumed
// to process in one step together with its decode batch.
const mixedPrefillStepTokens = 64

// decodeCost returns the cost of generating the answer with the given step time.
func (p *Cost) decodeCost(r *Request, step float64) float64 {
	tokens := float64(r.OutputTokens)
	excess := max(0, step-p.Weights.BetweenTokensSeconds)
	return tokens * (p.Weights.DecodeWeight*step + p.Weights.StepExcessCost*excess)
}

// reclaimCost returns the cost of the risk that the server is reclaimed.
func (p *Cost) reclaimCost(s *Server) float64 {
	if s.Class == config.ClassReclaimable {
		return p.Weights.ReclaimableCost
	}
	return 0
}

// kvCost reports whether the request fits in the KV memory of s at all, and returns the
// cost of the blocks. Without enough free blocks the request waits for streams to end.
func (p *Cost) kvCost(v *View, r *Request, s *Server, l Load) (bool, float64) {
	if s.KVBlocks <= 0 {
		return true, 0
	}
	needed := kvBlocks(r, v.BlockTokens)
	if needed > int64(s.KVBlocks) {
		return false, 0
	}
	usedShare := float64(l.KVBlocks+needed) / float64(s.KVBlocks)
	cost := p.Weights.KVFullCost * usedShare * usedShare
	if missing := l.KVBlocks + needed - int64(s.KVBlocks); missing > 0 && l.Streams > 0 {
		// Blocks are released when streams end, on average after half an answer.
		perStream := max(1, float64(l.KVBlocks)/float64(l.Streams))
		remaining := float64(l.DecodeTokens) / float64(l.Streams)
		cost += min(1, float64(missing)/perStream/float64(l.Streams)) * remaining * stepSeconds(s, l)
	}
	return true, cost
}

// promptBlocks returns the number of KV blocks that the prompt occupies.
func promptBlocks(v *View, r *Request) int {
	if v.BlockTokens <= 0 {
		return 0
	}
	return (r.PromptTokens + v.BlockTokens - 1) / v.BlockTokens
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
