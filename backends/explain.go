package backends

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// Explanation tells which server a request would get now, and why.
type Explanation struct {
	Service string `json:"service"`
	// Server is empty if the request would be refused for the reason Refusal.
	Server  string `json:"server,omitempty"`
	Refusal string `json:"refusal,omitempty"`
	// Prefill means that the server would process the prompt only. EstimateMillis is the expected
	// time to the first event in milliseconds; 0 if unknown.
	Prefill        bool    `json:"prefill"`
	EstimateMillis float64 `json:"estimate_ms"`
	// Draw is the greatest number of requests that is drawn for a server in addition to those
	// that this node knows of. With it, the next choice may differ.
	Draw       float64         `json:"draw"`
	Considered []Consideration `json:"considered"`
}

// Consideration is what this node knows of one server of the service, and its cost without a draw.
type Consideration struct {
	Server        string `json:"server"`
	FailureDomain string `json:"failure_domain"`
	Role          string `json:"role,omitempty"`
	// RuledOut tells why the server would not get the request; empty for a candidate.
	RuledOut string `json:"ruled_out,omitempty"`
	// Requests are in progress there as far as this node knows; FreeSlots is not below 0.
	Requests  float64 `json:"requests"`
	FreeSlots float64 `json:"free_slots"`
	// Slowdown is how much longer than usual work takes. SpeedAgeMillis and ReportAgeMillis are
	// the ages of the last statement of it, and of the last load that the server reported to this
	// node; -1 if there was none.
	Slowdown        float64 `json:"slowdown"`
	SpeedAgeMillis  int64   `json:"speed_age_ms"`
	ReportAgeMillis int64   `json:"report_age_ms"`
	// Score is that of a plain server, in shares of its slots.
	Score float64 `json:"score"`
	// The other terms are of engines, in milliseconds: the prompts ahead, this prompt, the time
	// between the events of streams there, and the sum that is compared, with penalties.
	QueueMillis    float64 `json:"queue_ms"`
	PromptMillis   float64 `json:"prompt_ms"`
	PauseMillis    float64 `json:"pause_ms"`
	CostMillis     float64 `json:"cost_ms"`
	UncachedTokens int     `json:"uncached_tokens"`
}

// Explain tells which server Choose would select, as far as that is not drawn. It takes no permit
// and changes no load.
func (b *Balancer) Explain(now time.Time, criteria *Criteria) Explanation {
	e := Explanation{Service: criteria.Service}
	view := b.registry.View()
	servers := view.Servers(criteria.Service)
	if criteria.Prompt != nil {
		servers = view.serversInCell(criteria.Service, b.cell())
	}
	healthy, unhealthy := selectCandidates(servers, criteria, now)
	e.explainOutcome(b, now, criteria, healthy, unhealthy)
	for _, s := range view.byID {
		if s.Service != criteria.Service {
			continue
		}
		c := b.consider(now, s, criteria, servers)
		switch {
		case c.RuledOut != "":
		case !slices.Contains(servers, s):
			c.RuledOut = "other cell"
		case len(healthy) > 0 && slices.Contains(unhealthy, s):
			c.RuledOut = "unreachable, failing or changing its role"
		}
		e.Considered = append(e.Considered, c)
		if s.stats.model.StatesSpeed() && s.Role != RolePrefill {
			e.Draw = b.unseenShare * b.observed.forService(s.Service).reported[s.Role].load()
		}
	}
	slices.SortFunc(e.Considered, func(x, y Consideration) int { return cmp.Compare(x.Server, y.Server) })
	return e
}

// explainOutcome sets the server, or the reason of the refusal.
func (e *Explanation) explainOutcome(b *Balancer, now time.Time, criteria *Criteria, healthy, unhealthy []*Server) {
	err := error(ErrFull)
	if len(b.registry.View().Servers(criteria.Service)) == 0 {
		err = ErrNoServer
	}
	for _, candidates := range [][]*Server{healthy, unhealthy} {
		if len(candidates) == 0 {
			continue
		}
		allowed := slices.DeleteFunc(slices.Clone(candidates), func(s *Server) bool { return !b.limits.Allows(now, s.Incarnation) })
		if len(allowed) == 0 {
			err = ErrRateLimited
			continue
		}
		var p pick
		p, err = b.pick(now, criteria, allowed)
		if errors.Is(err, ErrFull) && len(allowed) < len(candidates) {
			err = ErrRateLimited
			continue
		}
		if err == nil {
			e.Server, e.Prefill, e.EstimateMillis = p.server.ID, p.prefill, p.estimateMillis
		}
		break
	}
	if err != nil {
		e.Refusal = err.Error()
	}
}

// roleNames are the names of the roles in explanations.
var roleNames = [...]string{RoleNone: "", RolePrefill: "prefill", RoleDecode: "decode"}

// consider returns what is known of a server. candidates are the servers of the cell.
func (b *Balancer) consider(now time.Time, s *Server, criteria *Criteria, candidates []*Server) Consideration {
	requests, _ := b.load(now, s)
	estimate := s.Capacity(now)
	c := Consideration{
		Server: s.ID, FailureDomain: s.FailureDomain, Role: roleNames[s.Role], RuledOut: b.ruledOut(now, s, criteria),
		Requests: requests, FreeSlots: max(0, float64(s.Slots)-requests), Slowdown: estimate.Slowdown, SpeedAgeMillis: -1, ReportAgeMillis: -1,
	}
	if estimate.StatesSpeed {
		c.SpeedAgeMillis = estimate.Age.Milliseconds()
	}
	if r := s.stats.report.Load(); r != nil {
		c.ReportAgeMillis = now.Sub(r.receivedAt).Milliseconds()
	}
	if criteria.Prompt == nil || s.Role == RoleNone {
		c.Score = b.serviceScore(now, s, 0)
		return c
	}
	preferred := preferredServers(criteria.Prompt.AffinityKey(), candidates, s.Role, criteria.Prompt.Model)
	cost := b.engineCost(now, s, criteria, s == preferred[0], b.usualPromptRate(s.Role), &b.observed.forService(s.Service).eventTime)
	c.QueueMillis, c.PromptMillis, c.PauseMillis, c.UncachedTokens = cost.queueMillis, cost.promptMillis, cost.pauseMillis, cost.uncachedTokens
	c.CostMillis = cost.totalMillis + cost.choicePenalty
	if c.RuledOut == "" && preferredOnly(s.Role, criteria, preferred) && !slices.Contains(preferred[:], s) {
		c.RuledOut = "not preferred for the shared part"
	}
	return c
}

// ruledOut returns why a server can't get the request whatever its cost, or "".
func (b *Balancer) ruledOut(now time.Time, s *Server, criteria *Criteria) string {
	p := criteria.Prompt
	switch {
	case s.State != Ready:
		return "draining"
	case s.IsLeaving():
		return "leaving"
	case s.heldFor(now) > 0:
		return "wants no requests for a time"
	case criteria.excluded(s.ID):
		return "tried before"
	case p != nil && !s.serves(p.Model):
		return "other model"
	case s.Role == RolePrefill && (criteria.Prefilled || criteria.Resumed):
		return "prompt already processed"
	case !b.limits.Allows(now, s.Incarnation):
		return "rate limited"
	}
	return ""
}
