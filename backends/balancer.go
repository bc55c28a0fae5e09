package backends

import (
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/figweir/figweir/capacity"
)

// PeerLoad provides the load that other nodes have reported.
type PeerLoad interface {
	// Load returns the requests in progress and the unprocessed prompt tokens of
	// other nodes on the server with the given hash.
	Load(server uint64) (requests, prefillTokens int64)
	// PeerCount returns the number of other nodes whose reports are recent.
	PeerCount() int
}

// Balancer selects backend servers for the requests of one node. It is safe for use
// by many goroutines.
type Balancer struct {
	registry *Registry
	// failureDomain is the failure domain of this node.
	failureDomain string
	peerLoad      PeerLoad
	// cell returns the current cell of this node.
	cell func() Cell
	// onLoadChange is called after each change of this node's load. It must not block.
	onLoadChange func()
	// promptTokens counts the prompt tokens that were sent to engines and were not
	// expected to be cached.
	promptTokens atomic.Uint64
	// promptTokenSquares is the sum over all prompts of the squares of these numbers.
	promptTokenSquares atomic.Uint64
	// prefillRate and decodeRate are the rates of prompt processing at the usual speed, by role.
	prefillRate, decodeRate capacity.PromptRate
	// observed is what was observed of the servers that state their speed.
	observed observations
	// unseenShare is the constant of that name; simulations change it.
	unseenShare float64
	// limits are the rate limits of the servers.
	limits RateLimits
}

// PromptTokens returns the number of prompt tokens that this node has sent to engines
// and that were not expected to be cached. The count never decreases.
func (b *Balancer) PromptTokens() uint64 { return b.promptTokens.Load() }

// PromptTokensPerPrompt returns the mean number of uncached tokens of the prompt that a
// token sent by this node belonged to; 0 if none was sent. Long prompts count by their
// share of the work.
func (b *Balancer) PromptTokensPerPrompt() float64 {
	tokens := b.promptTokens.Load()
	if tokens == 0 {
		return 0
	}
	return float64(b.promptTokenSquares.Load()) / float64(tokens)
}

// PrefillTokensPerSecond returns the estimated rate at which one prefill engine at its usual
// speed processes prompt tokens.
func (b *Balancer) PrefillTokensPerSecond() float64 {
	const millisPerSecond = 1000
	return b.prefillRate.TokensPerMilli(prefillTokensPerMilli) * millisPerSecond
}

// NewBalancer returns a balancer for a node in the given failure domain. cell returns
// the current cell of the node, and onLoadChange is called after each change of its
// load.
func NewBalancer(r *Registry, failureDomain string, peerLoad PeerLoad, cell func() Cell, onLoadChange func()) *Balancer {
	return &Balancer{registry: r, failureDomain: failureDomain, peerLoad: peerLoad, cell: cell, onLoadChange: onLoadChange, limits: noRateLimits{}, unseenShare: unseenShare}
}

// load estimates the requests in progress and the unprocessed prompt tokens on a
// server. While no other node has reported recently, it uses the load that the server
// itself reported.
func (b *Balancer) load(now time.Time, s *Server) (requests, prefillTokens float64) {
	requests = float64(s.stats.inflight.Load())
	prefillTokens = float64(s.stats.prefillTokens.Load())
	if b.peerLoad.PeerCount() > 0 {
		r, t := b.peerLoad.Load(s.Hash)
		return requests + float64(r), prefillTokens + float64(t)
	}
	otherRequests := s.stats.otherRequests(now)
	prefillingShare := 1.0
	if s.Role == RoleDecode {
		prefillingShare = decodePrefillingShare
	}
	return requests + otherRequests, prefillTokens + otherRequests*prefillingShare*typicalPrefillTokens
}

const (
	// crossDomainPenalty is the share of busy slots by which the load of a server
	// must exceed that of a server in another failure domain before the other one is
	// preferred: traffic between failure domains costs money and adds latency.
	crossDomainPenalty = 0.5
	// maxHealthyFailureRate is the share of failed attempts above which a server is
	// used only if there is no other.
	maxHealthyFailureRate = 0.6
	// failurePenalty weighs the share of failed attempts against the share of busy
	// slots.
	failurePenalty = 1.0
)

// Choose selects the server for an attempt. The error is ErrNoServer, ErrFull, ErrRateLimited or
// ErrDeadlineUnreachable. The caller must call Done on the choice.
func (b *Balancer) Choose(now time.Time, criteria *Criteria) (*Choice, error) {
	view := b.registry.View()
	servers := view.Servers(criteria.Service)
	if len(servers) == 0 {
		return nil, ErrNoServer
	}
	if criteria.Prompt != nil {
		servers = view.serversInCell(criteria.Service, b.cell())
	}
	healthy, unhealthy := selectCandidates(servers, criteria, now)
	err := error(ErrFull)
	for _, candidates := range [][]*Server{healthy, unhealthy} {
		if len(candidates) == 0 {
			continue
		}
		var choice *Choice
		choice, err = b.chooseWithPermit(now, criteria, candidates)
		if !errors.Is(err, ErrRateLimited) {
			return choice, err
		}
	}
	return nil, err
}

// selectCandidates returns the servers that may get a request. The unhealthy ones should get it
// only if no other server can. Decode engines that have only failed too often count as healthy if
// there are no others: no request runs without one, and a failure rate changes by requests only.
func selectCandidates(servers []*Server, criteria *Criteria, now time.Time) (healthy, unhealthy []*Server) {
	healthy = make([]*Server, 0, len(servers))
	// failing are the decode engines that have failed too often.
	var failing []*Server
	at := sinceEpoch(now)
	for _, s := range servers {
		if criteria.excluded(s.ID) || s.declinesAt(at) {
			continue
		}
		switch {
		case s.stats.suspendedAt(at) || s.isChangingRole(now):
			unhealthy = append(unhealthy, s)
		case s.stats.failedShare() <= maxHealthyFailureRate:
			healthy = append(healthy, s)
		case isDecodeEngine(s):
			failing = append(failing, s)
		default:
			unhealthy = append(unhealthy, s)
		}
	}
	if len(healthy) > 0 && !slices.ContainsFunc(healthy, isDecodeEngine) {
		return append(healthy, failing...), unhealthy
	}
	return healthy, append(unhealthy, failing...)
}

// isDecodeEngine reports whether a server is an engine that decodes.
func isDecodeEngine(s *Server) bool { return s.Role == RoleDecode }

// pick is the best server for a request according to its cost.
type pick struct {
	server *Server
	// prefill means that the server is to process the prompt only.
	prefill        bool
	uncachedTokens int
	estimateMillis float64
}

// pick selects the best of the candidates, whether or not it has reached its rate limit.
func (b *Balancer) pick(now time.Time, criteria *Criteria, candidates []*Server) (pick, error) {
	if criteria.Prompt != nil && candidates[0].Role != RoleNone {
		return b.pickEngine(now, criteria, candidates)
	}
	return pick{server: b.leastLoaded(now, candidates)}, nil
}

// leastLoaded returns the server with the lowest score of busy slots and failures, with a
// penalty for other failure domains and for rate limits. It is used for services without models.
func (b *Balancer) leastLoaded(now time.Time, servers []*Server) *Server {
	var best *Server
	bestScore := 0.0
	rng := newRandom()
	unseen := b.unseenShare * b.observed.forService(servers[0].Service).reported[RoleNone].load()
	for _, s := range servers {
		draw := rng.float64()
		score := b.serviceScore(now, s, unseen*draw)
		// Equal scores are decided at random.
		score += 1e-6 * draw
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// serviceScore returns the score of a plain server with the given number of requests that this
// node does not see, which counts only if the server states its speed.
func (b *Balancer) serviceScore(now time.Time, s *Server, unseen float64) float64 {
	slots := float64(max(1, s.Slots))
	requests, _ := b.load(now, s)
	score := requests / slots
	if s.stats.model.StatesSpeed() {
		score = scaledShare(requests+unseen, slots, s.stats.model.Slowdown(now))
	}
	score += failurePenalty * s.stats.failedShare()
	if s.FailureDomain != b.failureDomain {
		score += crossDomainPenalty
	}
	if _, limited := b.limits.Limit(s.Incarnation); limited {
		score += limitedPenalty
	}
	return score
}
