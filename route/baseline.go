package route

import (
	"math/rand/v2"
	"sync/atomic"
)

// RoundRobin takes the servers of a subset in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Pick returns the next server that may get the request.
func (p *RoundRobin) Pick(v *View, r *Request) (Choice, error) {
	n := p.next.Add(1)
	pick := func(s subset) *Server {
		count := uint64(len(s.servers))
		for i := range count {
			if server := s.servers[(n+i)%count]; allowed(v, r, server) {
				return server
			}
		}
		return nil
	}
	return v.choose(r, pick, pick)
}

// LeastOutstanding takes the server with the fewest answers in progress, as
// reported and corrected by this node's own requests.
type LeastOutstanding struct{}

// Pick returns the server with the fewest streams.
func (LeastOutstanding) Pick(v *View, r *Request) (Choice, error) {
	pick := func(s subset) *Server { return s.leastOutstanding(v, r) }
	return v.choose(r, pick, pick)
}

func (s *subset) leastOutstanding(v *View, r *Request) *Server {
	var best *Server
	var least int64
	count := uint64(len(s.servers))
	first := tieBreak(r)
	for i := range count {
		server := s.servers[(first+i)%count]
		if !allowed(v, r, server) {
			continue
		}
		if n := server.Load().Streams; best == nil || n < least {
			best, least = server, n
		}
	}
	return best
}

// tieBreak says where to begin the search, so that servers with equal load are
// taken equally often. It differs from request to request.
func tieBreak(r *Request) uint64 {
	var random rand.PCG
	random.Seed(uint64(r.Now.UnixNano()), uint64(r.PromptTokens))
	random.Uint64()
	return random.Uint64() >> 1 // leaves room for the addition of an index
}

// PrefixAffinity takes the server that the first block of the prompt hashes to,
// and the one with the fewest streams if that is excluded or there is no prefix.
// Decode servers, which cache no prompts, are taken by the fewest streams.
type PrefixAffinity struct{}

// Pick returns the home of the prefix.
func (PrefixAffinity) Pick(v *View, r *Request) (Choice, error) {
	byPrefix := func(s subset) *Server {
		if home := s.home(r, v); home != nil && allowed(v, r, home) {
			return home
		}
		return s.leastOutstanding(v, r)
	}
	return v.choose(r, byPrefix, func(s subset) *Server { return s.leastOutstanding(v, r) })
}

// choose applies a selection to the mixed servers, or to the prefill and the
// decode servers where there are no mixed ones.
func (v *View) choose(r *Request, pick, pickDecode func(subset) *Server) (Choice, error) {
	if s := pick(v.both); s != nil {
		return Choice{Prefill: s, Decode: s, CachedTokens: v.cachedTokens(s, r)}, nil
	}
	prefill, decode := pick(v.prefill), pickDecode(v.decode)
	if prefill == nil || decode == nil {
		return Choice{}, v.fail(r, v.tooLarge(r))
	}
	return Choice{Prefill: prefill, Decode: decode, CachedTokens: v.cachedTokens(prefill, r)}, nil
}

// allowed reports whether the request may run on s at all.
func allowed(v *View, r *Request, s *Server) bool {
	return !r.excluded(s.Name) && (s.KVBlocks <= 0 || kvBlocks(r, v.BlockTokens) <= int64(s.KVBlocks))
}

// tooLarge reports whether r fits on no server of the subsets.
func (v *View) tooLarge(r *Request) bool {
	for _, s := range []subset{v.both, v.decode} {
		for _, server := range s.servers {
			if server.KVBlocks <= 0 || kvBlocks(r, v.BlockTokens) <= int64(server.KVBlocks) {
				return false
			}
		}
	}
	return true
}
