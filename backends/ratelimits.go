package backends

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

// RateLimits decides how many requests this node may send to servers that state a rate limit.
// *ratelimit.Limiter implements it. Servers are named by Server.Incarnation.
type RateLimits interface {
	// Limit returns the limit of a server in requests per second of all nodes together, or
	// false if it has none.
	Limit(server uint64) (perSecond float64, limited bool)
	// Allows reports whether a request may be sent now. It takes no permit.
	Allows(now time.Time, server uint64) bool
	// Acquire takes a permit for one request and reports whether there was one. If not, one
	// may be there for a later request.
	Acquire(now time.Time, server uint64) bool
}

// noRateLimits are the rate limits of servers that state none.
type noRateLimits struct{}

func (noRateLimits) Limit(uint64) (float64, bool)   { return 0, false }
func (noRateLimits) Allows(time.Time, uint64) bool  { return true }
func (noRateLimits) Acquire(time.Time, uint64) bool { return true }

// SetRateLimits sets the rate limits. It must be called before the first choice.
func (b *Balancer) SetRateLimits(l RateLimits) { b.limits = l }

const (
	// limitedPenalty and limitedPenaltyMillis make work prefer servers without a rate limit
	// unless it gains more than that at a limited one, for example from its cache. So the
	// few requests that a limited server accepts are those that gain most.
	limitedPenalty       = 0.25
	limitedPenaltyMillis = 20.0
	// maxPermitTries is how many servers without a permit a choice passes over one by one.
	// A permit is requested for each of them.
	maxPermitTries = 3
	// retryAfterFull is the minimum retry delay when all servers are full, and
	// maxRetryAfter the maximum. Up to the same time is added at random, so that callers
	// don't retry simultaneously.
	retryAfterFull = 250 * time.Millisecond
	maxRetryAfter  = 5 * time.Second
)

// chooseWithPermit selects the best server that may get a request now. The error is ErrFull,
// ErrRateLimited or ErrDeadlineUnreachable.
func (b *Balancer) chooseWithPermit(now time.Time, criteria *Criteria, candidates []*Server) (*Choice, error) {
	if err := b.checkDecodePermits(now, criteria, candidates); err != nil {
		return nil, err
	}
	withheld := false
	for try := 0; len(candidates) > 0; try++ {
		p, err := b.pick(now, criteria, candidates)
		if errors.Is(err, ErrFull) && withheld {
			err = ErrRateLimited // there were servers of the role
		}
		if err != nil {
			return nil, err
		}
		if b.limits.Acquire(now, p.server.Incarnation) {
			return b.newChoice(now, p, criteria), nil
		}
		withheld = true
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(s *Server) bool {
			return s == p.server || try+1 >= maxPermitTries && !b.limits.Allows(now, s.Incarnation)
		})
	}
	return nil, ErrRateLimited
}

// checkDecodePermits returns ErrRateLimited if no decode engine may get a request now. The prompt
// would be processed in vain on a prefill engine. A permit is requested for the best of them.
func (b *Balancer) checkDecodePermits(now time.Time, criteria *Criteria, candidates []*Server) error {
	if criteria.Prompt == nil {
		return nil
	}
	var withheld []*Server
	for _, s := range candidates {
		if s.Role != RoleDecode || !s.serves(criteria.Prompt.Model) {
			continue
		}
		if b.limits.Allows(now, s.Incarnation) {
			return nil
		}
		withheld = append(withheld, s)
	}
	if len(withheld) == 0 {
		return nil
	}
	best, _ := b.cheapestEngine(now, criteria, withheld, RoleDecode)
	if b.limits.Acquire(now, best.server.Incarnation) {
		// A permit became free since the check; it is lost, and others follow.
		return nil
	}
	return ErrRateLimited
}

// RetryAfter returns how long the caller of a refused request should wait before it retries. If
// all servers limit their requests, that is the time in which they accept one more.
func (b *Balancer) RetryAfter(service string) time.Duration {
	wait := min(max(retryAfterFull, b.nextAcceptance(time.Now(), service)), maxRetryAfter)
	return wait + rand.N(wait)
}

// nextAcceptance returns the time until some server of a service accepts another request of this
// node, as far as holds and rate limits tell. Prefill engines don't count: a request is refused
// only if no other server accepts it.
func (b *Balancer) nextAcceptance(now time.Time, service string) time.Duration {
	perSecond := 0.0
	earliest := time.Duration(-1)
	for _, s := range b.registry.View().Servers(service) {
		if s.IsLeaving() || s.Role == RolePrefill {
			continue
		}
		if held := s.heldFor(now); held > 0 {
			if earliest < 0 || held < earliest {
				earliest = held
			}
			continue
		}
		limit, limited := b.limits.Limit(s.Incarnation)
		if !limited {
			return 0
		}
		perSecond += limit
	}
	if perSecond > 0 {
		byLimit := time.Duration(min(1/perSecond, maxRetryAfter.Seconds()) * float64(time.Second))
		if earliest < 0 || byLimit < earliest {
			return byLimit
		}
	}
	return max(0, earliest)
}
