package backends

import (
	"time"

	"github.com/figweir/figweir/capacity"
)

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
	observed := b.observed.forService(criteria.Service)
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
