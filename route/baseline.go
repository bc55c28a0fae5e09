package route

import (
	"math/rand/v2"
	"sync/atomic"
)

// RoundRobin selects the servers of a subset in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Pick returns the next server that can run the request.
func (p *RoundRobin) Pick(v *View, r *Request) (Choice, error) {
	n := p.next.Add(1)
	pick := func(s subset) *Server {
		count := uint64(len(s.servers))
		for i := range count {
			if server := s.servers[(n+i)%count]; canRun(v, r, server) {
				return server
			}
		}
		return nil
	}
	return v.pickServers(r, pick, pick)
}

// LeastOutstanding selects the server with the fewest requests in progress, as reported
// and corrected by this node's own requests.
type LeastOutstanding struct{}

// Pick returns the server with the fewest requests in progress.
func (LeastOutstanding) Pick(v *View, r *Request) (Choice, error) {
	pick := func(s subset) *Server { return s.leastOutstanding(v, r) }
	return v.pickServers(r, pick, pick)
}

// leastOutstanding returns the server with the fewest requests in progress that can run
// r, or nil.
func (s *subset) leastOutstanding(v *View, r *Request) *Server {
	var best *Server
	var least int64
	count := uint64(len(s.servers))
	first := tieBreak(r)
	for i := range count {
		server := s.servers[(first+i)%count]
		if !canRun(v, r, server) {
			continue
		}
		if n := server.Load().Streams; best == nil || n < least {
			best, least = server, n
		}
	}
	return best
}

// tieBreak returns a random index at which the search begins, so that servers with equal
// load are selected equally often. It is derived from the request, without shared state.
func tieBreak(r *Request) uint64 {
	var random rand.PCG
	random.Seed(uint64(r.Now.UnixNano()), uint64(r.PromptTokens))
	random.Uint64()
	return random.Uint64() >> 1 // prevents an overflow when an index is added
}

// PrefixAffinity selects the preferred server of the first prompt block, and the server
// with the fewest requests in progress if that one can't run the request or there is no
// prefix. Decode servers, which cache no prompts, are always selected by their requests
// in progress.
type PrefixAffinity struct{}

// Pick returns the preferred server of the prefix if it can run the request.
func (PrefixAffinity) Pick(v *View, r *Request) (Choice, error) {
	byPrefix := func(s subset) *Server {
		if preferred := s.preferredServer(r, v); preferred != nil && canRun(v, r, preferred) {
			return preferred
		}
		return s.leastOutstanding(v, r)
	}
	return v.pickServers(r, byPrefix, func(s subset) *Server { return s.leastOutstanding(v, r) })
}

// pickServers applies pick to the mixed servers. If none is found, it applies pick to the
// prefill servers and pickDecode to the decode servers.
func (v *View) pickServers(r *Request, pick, pickDecode func(subset) *Server) (Choice, error) {
	if s := pick(v.mixed); s != nil {
		return Choice{Prefill: s, Decode: s, CachedTokens: v.cachedTokens(s, r)}, nil
	}
	prefill, decode := pick(v.prefill), pickDecode(v.decode)
	if prefill == nil || decode == nil {
		return Choice{}, v.noServerError(r, v.tooLarge(r))
	}
	return Choice{Prefill: prefill, Decode: decode, CachedTokens: v.cachedTokens(prefill, r)}, nil
}

// canRun reports whether s is not excluded and has enough KV blocks in total for the
// request.
func canRun(v *View, r *Request, s *Server) bool {
	return !r.excluded(s.Name) && (s.KVBlocks <= 0 || kvBlocks(r, v.BlockTokens) <= int64(s.KVBlocks))
}

// tooLarge reports whether no mixed or decode server has enough KV blocks in total for r.
func (v *View) tooLarge(r *Request) bool {
	for _, s := range []subset{v.mixed, v.decode} {
		for _, server := range s.servers {
			if server.KVBlocks <= 0 || kvBlocks(r, v.BlockTokens) <= int64(server.KVBlocks) {
				return false
			}
		}
	}
	return true
}
