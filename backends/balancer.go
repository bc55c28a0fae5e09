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
	prefillRate  capacity.PromptRate
	decodeRate   capacity.PromptRate
	observed     observations
	// unseenShare is the constant of that name; simulations change it.
	unseenShare float64
	// limits are the rate limits of the servers.
	limits RateLimits
}

// PromptTokens returns the number of prompt tokens that this node has sent to engines
// and that were not expected to be cached. The count never decreases.
func (b *Balancer) PromptTokens() uint64 { return b.promptTokens.Load() }

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
	spread := b.unseenShare * b.observed.of(servers[0].Service).reported[RoleNone].load()
	for _, s := range servers {
		draw := rng.float64()
		score := b.serviceScore(now, s, spread*draw)
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

const (
	// prefillTokensPerMilli and decodeTokensPerMilli are the rates at which an engine
	// is assumed to process prompts in each role until a rate has been measured.
	prefillTokensPerMilli = 50.0
	decodeTokensPerMilli  = 25.0
	// transferSetupDelay is the time to set up a transfer of KV cache, including the
	// additional call for a separate prefill.
	transferSetupDelay = 12 * time.Millisecond
	// crossDomainTransferFactor is how many times longer a transfer between failure
	// domains takes.
	crossDomainTransferFactor = 2
	// transferPenaltyPerGB is the additional latency that is accepted to avoid the
	// transfer of 1 GB of KV cache.
	transferPenaltyPerGB = 150 * time.Millisecond
	// A prompt goes to its first preferred server unless the queue there is longer than
	// that of another engine by more than a slack, in addition to the time to process
	// the shared parts again: that time delays all other prompts on the engine too. The
	// slack is preferredSlackShare of the target latency, at least minPreferredSlack.
	minPreferredSlack   = 20 * time.Millisecond
	preferredSlackShare = 0.12
	// typicalPrefillTokens is the assumed prompt length of requests of other nodes.
	typicalPrefillTokens = 1500.0
	// decodePrefillingShare is the assumed share of the requests on a decode engine
	// whose prompt has not been processed yet.
	decodePrefillingShare = 0.3
	// runningRequestMillis is the delay that each running request adds.
	runningRequestMillis = 0.5
	// promptPauseShare is the share of the target pause between events that prompts
	// may take up on a decode engine. pausePenaltyFactor is the latency that is
	// accepted to avoid each millisecond above it.
	promptPauseShare   = 0.12
	pausePenaltyFactor = 6.0
	// fullPenaltyMillis is added for an engine without a free slot, and in proportion
	// to the share of failed attempts.
	fullPenaltyMillis = 500.0
)

// engineCost is the estimated cost of processing a prompt on one engine.
type engineCost struct {
	server *Server
	// totalMillis is the time in the queue and for the tokens that are not cached,
	// plus penalties.
	totalMillis    float64
	uncachedTokens int
	// queueMillis is the time until the prompts ahead have been processed.
	queueMillis float64
	// promptMillis is the time to process the tokens that are not cached.
	promptMillis float64
	// pauseMillis is the expected time between the events of streams there, without the effect
	// of this prompt; 0 if unknown.
	pauseMillis float64
	// choicePenalty counts in comparisons with other engines of the role only: the latency that
	// is accepted to avoid long pauses, and for requests that this node does not see.
	choicePenalty float64
	// requestMillis is the delay that each running request adds; 0 if the engine does not state
	// its speed.
	requestMillis float64
}

// engineCost estimates the cost of a request on an engine. preferred is set for the
// first preferred server of the prompt. usualRate and eventTime are those of engines of its
// role and service at their usual speed.
func (b *Balancer) engineCost(now time.Time, s *Server, criteria *Criteria, preferred bool, usualRate float64, eventTime *capacity.EventTime) engineCost {
	p := criteria.Prompt
	uncached := 0
	if !criteria.Prefilled {
		uncached = max(0, p.Tokens-s.stats.cachedTokens(p.SharedParts(), now))
		if preferred && s.Role == RolePrefill {
			// All nodes send prompts with this affinity key here, so the shared parts are
			// assumed to be cached. On a decode engine they are evicted by the KV cache
			// of streams before the next such prompt arrives.
			uncached = p.OwnTokens()
		}
	}
	rate := usualRate
	estimate := capacity.Estimate{Slowdown: 1}
	if s.stats.model.StatesSpeed() {
		estimate = s.stats.model.At(now)
		rate = promptRate(&estimate, usualRate)
	}
	inflight, queued := b.load(now, s)
	c := engineCost{server: s, uncachedTokens: uncached, queueMillis: queued / rate, promptMillis: float64(uncached) / rate}
	c.totalMillis = c.queueMillis + c.promptMillis
	if estimate.StatesSpeed {
		c.addPause(&estimate, criteria, inflight, eventTime)
	} else {
		c.totalMillis += runningRequestMillis * inflight
	}
	if s.Slots > 0 && inflight >= float64(s.Slots) {
		c.totalMillis += fullPenaltyMillis
	}
	c.totalMillis += fullPenaltyMillis * s.stats.failedShare()
	if _, limited := b.limits.Limit(s.Incarnation); limited {
		c.totalMillis += limitedPenaltyMillis
	}
	if preferred {
		slack := max(minPreferredSlack, time.Duration(preferredSlackShare*float64(criteria.TargetLatency)))
		// The queue of a slow engine is longer in time. It is waited for as much longer, since
		// otherwise its shared parts would be processed on other engines too.
		c.totalMillis -= float64(slack/time.Millisecond) * max(1, estimate.Slowdown)
	}
	if criteria.Prefilled && s.FailureDomain != criteria.HandleDomain {
		c.totalMillis += float64(transferSetupDelay / time.Millisecond)
	}
	return c
}

// pickEngine selects the engine for the prompt, or the decode engine for a request whose prompt
// has been processed. A prompt is processed on a separate prefill engine if that is expected to
// be faster, including the transfer of the KV cache and the penalty for pauses in other streams.
func (b *Balancer) pickEngine(now time.Time, criteria *Criteria, servers []*Server) (pick, error) {
	decode, ok := b.cheapestEngine(now, criteria, servers, RoleDecode)
	if !ok {
		return pick{}, ErrFull
	}
	if criteria.Prefilled {
		return pick{server: decode.server, estimateMillis: decode.totalMillis}, nil
	}
	// unsplit selects the decode engine for the whole request, prefill included.
	unsplit := pick{server: decode.server, uncachedTokens: decode.uncachedTokens, estimateMillis: decode.totalMillis}
	if criteria.Resumed {
		return unsplit, nil
	}
	if prefill, ok := b.cheapestEngine(now, criteria, servers, RolePrefill); ok {
		splitMillis := prefill.totalMillis + transferMillis(criteria, prefill.server, decode.server)
		if splitMillis < decode.totalMillis+pausePenaltyMillis(&decode, criteria) {
			split := pick{server: prefill.server, prefill: true, uncachedTokens: prefill.uncachedTokens, estimateMillis: splitMillis}
			return split, criteria.checkCallerTimeout(prefill.totalMillis)
		}
	}
	return unsplit, criteria.checkCallerTimeout(decode.totalMillis)
}

// transferMillis returns the time to transfer the KV cache of a prompt between two
// engines, plus the latency that is accepted to avoid the transfer.
func transferMillis(criteria *Criteria, from, to *Server) float64 {
	bytes := float64(criteria.Prompt.Tokens) * criteria.KVTokenBytes
	const bitsPerByte, millisPerSecond = 8, 1000
	millis := float64(transferSetupDelay / time.Millisecond)
	if criteria.LinkBitsPerSecond > 0 {
		millis += bytes * bitsPerByte / criteria.LinkBitsPerSecond * millisPerSecond
	}
	if from.FailureDomain != to.FailureDomain {
		millis *= crossDomainTransferFactor
	}
	const gigabyte = 1e9
	return millis + bytes/gigabyte*float64(transferPenaltyPerGB/time.Millisecond)
}

// pausePenaltyMillis returns the latency that is accepted to keep a prompt off a decode
// engine. The engine processes prompt chunks between the decode steps of its streams,
// and one event may hold several tokens, so a long prompt makes all streams pause.
func pausePenaltyMillis(decode *engineCost, criteria *Criteria) float64 {
	if criteria.TargetPause <= 0 {
		return 0
	}
	targetMillis := float64(criteria.TargetPause / time.Millisecond)
	allowedMillis := promptPauseShare * targetMillis
	if decode.pauseMillis > 0 {
		allowedMillis = min(allowedMillis, max(0, eventPauseShare*targetMillis-decode.pauseMillis))
	}
	promptMillis := decode.promptMillis + decode.queueMillis
	if promptMillis <= allowedMillis {
		return 0
	}
	return pausePenaltyFactor * (promptMillis - allowedMillis)
}

// cheapestEngine returns the engine of a role with the lowest cost. ok is false if there is
// none. A prompt with a long shared part goes to one of its preferred servers even under
// load: any other engine would have to process the shared part again, which makes an
// overload worse.
func (b *Balancer) cheapestEngine(now time.Time, criteria *Criteria, servers []*Server, role Role) (cheapest engineCost, ok bool) {
	preferred := preferredServers(criteria.Prompt.AffinityKey(), servers, role, criteria.Prompt.Model)
	rng := newRandom()
	observed := b.observed.of(criteria.Service)
	rate, eventTime := b.usualPromptRate(role), &observed.eventTime
	unseen := b.unseenShare * observed.reported[RoleDecode].load()
	var best engineCost
	consider := func(s *Server) {
		c := b.engineCost(now, s, criteria, s == preferred[0], rate, eventTime)
		// Equal costs are decided at random.
		draw := rng.float64()
		c.totalMillis += 1e-3 * draw
		if role == RoleDecode {
			c.choicePenalty += unseen * draw * c.requestMillis
		}
		if best.server == nil || c.totalMillis+c.choicePenalty < best.totalMillis+best.choicePenalty {
			best = c
		}
	}
	if preferredOnly(role, criteria, preferred) {
		for _, s := range preferred {
			if s != nil {
				consider(s)
			}
		}
		return best, best.server != nil
	}
	for _, s := range servers {
		if s.Role == role && s.serves(criteria.Prompt.Model) {
			consider(s)
		}
	}
	return best, best.server != nil
}

// preferredOnly reports whether only preferred servers of a role may get the prompt.
func preferredOnly(role Role, criteria *Criteria, preferred [preferredServerCount]*Server) bool {
	return role == RolePrefill && criteria.Prompt.Tokens-criteria.Prompt.OwnTokens() >= minAffinityTokens && preferred[0] != nil
}

// serves reports whether the server serves a model. A server without a list of models
// serves all.
func (s *Server) serves(model string) bool {
	for _, m := range s.Models {
		if m == model {
			return true
		}
	}
	return len(s.Models) == 0 || model == ""
}
