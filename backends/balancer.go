package backends

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Peers is what a node knows of the work of the other nodes.
type Peers interface {
	// Load returns the requests and the unprocessed prompt tokens that they have
	// on the server with the given hash.
	Load(server uint64) (requests, prefillTokens int64)
	// Peers returns how many other nodes were heard of lately.
	Peers() int
}

// Balancer chooses backend servers for one node.
type Balancer struct {
	registry *Registry
	// domain is the node's failure domain.
	domain string
	peers  Peers
	// cell returns the cell of this node.
	cell func() Cell
	// changed is called when this node's work has changed.
	changed func()
	// promptTokens counts the tokens that were sent to engines and not expected
	// to be cached.
	promptTokens atomic.Uint64
	prefillRate  rate
	decodeRate   rate
}

// PromptTokens returns the prompt tokens that this node has sent to engines and
// that were not expected to be cached. It only grows.
func (b *Balancer) PromptTokens() uint64 { return b.promptTokens.Load() }

// PrefillTokensPerSecond returns what one prefill engine is seen to process.
func (b *Balancer) PrefillTokensPerSecond() float64 {
	const millisPerSecond = 1000
	return b.prefillRate.perMilli(prefillTokensPerMilli) * millisPerSecond
}

// NewBalancer returns a balancer for a node in a failure domain.
func NewBalancer(r *Registry, domain string, peers Peers, cell func() Cell, changed func()) *Balancer {
	return &Balancer{registry: r, domain: domain, peers: peers, cell: cell, changed: changed}
}

// load estimates the requests and the unprocessed prompt tokens at a server. It
// goes by the load that the server states while no other node is heard of.
func (b *Balancer) load(now time.Time, s *Server) (requests, prefillTokens float64) {
	requests = float64(s.stats.inflight.Load())
	prefillTokens = float64(s.stats.prefillTokens.Load())
	if b.peers.Peers() > 0 {
		r, t := b.peers.Load(s.Hash)
		return requests + float64(r), prefillTokens + float64(t)
	}
	others := s.stats.others(now)
	share := 1.0
	if s.Role == RoleDecode {
		share = decodeSharePrefilling
	}
	return requests + others, prefillTokens + others*share*typicalPrefillTokens
}

const (
	// farPenalty is the part of a server's slots that must be busy before a
	// server in another failure domain is preferred: bytes between failure
	// domains cost, and add delay.
	farPenalty = 0.5
	// unhealthyFailures is the share of failed attempts above which a server is
	// used only if no other is left.
	unhealthyFailures = 0.6
	// failurePenalty weighs the share of failed attempts against the share of
	// busy slots.
	failurePenalty = 1.0
	// retryWhenFull is when to come back if all servers are full.
	retryWhenFull = 250 * time.Millisecond
)

// RetryAfter returns when a refused request has a chance again.
func (b *Balancer) RetryAfter(string) time.Duration {
	return retryWhenFull + rand.N(retryWhenFull)
}

// Choose picks the server of an attempt.
func (b *Balancer) Choose(now time.Time, w *Work) (*Choice, error) {
	view := b.registry.View()
	servers := view.Servers(w.Service)
	if len(servers) == 0 {
		return nil, ErrNoServer
	}
	if w.Prompt != nil {
		servers = view.inCell(w.Service, b.cell())
	}
	usable := usable(servers, w, now)
	if len(usable) == 0 {
		return nil, ErrFull
	}
	if w.Prompt != nil && usable[0].Role != RoleNone {
		return b.chooseEngine(now, w, usable)
	}
	return b.choosePlain(now, w, usable), nil
}

// usable returns the servers that may be tried, the healthy ones if there are
// any.
func usable(servers []*Server, w *Work, now time.Time) []*Server {
	healthy := make([]*Server, 0, len(servers))
	var rest []*Server
	for _, s := range servers {
		if w.excluded(s.ID) {
			continue
		}
		suspect, failures := s.stats.health(now)
		if suspect || failures > unhealthyFailures {
			rest = append(rest, s)
		} else {
			healthy = append(healthy, s)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return rest
}

func (b *Balancer) choosePlain(now time.Time, w *Work, servers []*Server) *Choice {
	var best *Server
	bestScore := 0.0
	for _, s := range servers {
		_, failures := s.stats.health(now)
		slots := float64(max(1, s.Slots))
		requests, _ := b.load(now, s)
		score := requests / slots
		score += failurePenalty * failures
		if s.FailureDomain != b.domain {
			score += farPenalty
		}
		score += 1e-6 * rand.Float64()
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return b.newChoice(best, false, w, 0, 0)
}

// rank orders servers for a subject equally on all nodes.
func rank(subject string, s *Server) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(subject)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(s.ID)
	return d.Sum64()
}

const (
	// prefillTokensPerMilli and decodeTokensPerMilli are how fast an engine is
	// assumed to process prompts in each role until that has been seen.
	prefillTokensPerMilli = 50.0
	decodeTokensPerMilli  = 25.0
	// transferSetup is the time to set up a transfer of KV cache and the extra
	// call for a prefill apart.
	transferSetup = 12 * time.Millisecond
	// farTransfer is how many times longer a transfer between failure domains
	// takes.
	farTransfer = 2
	// movedGigabyte is the delay that is accepted to save the transfer of one
	// GB of KV cache.
	movedGigabyte = 150 * time.Millisecond
	// homeSlack is how much longer the queue of a subject's home may be than
	// that of another engine, beside the time to process the shared parts again.
	homeSlack = 20 * time.Millisecond
	// typicalPrefillTokens is assumed for requests of other nodes.
	typicalPrefillTokens = 1500.0
	// decodeSharePrefilling is the part of the requests at a decode engine whose
	// prompt is not processed yet.
	decodeSharePrefilling = 0.3
	// slotMilli is the delay that one more running request adds.
	slotMilli = 0.5
	// pauseShare is the part of the pause allowed between events that prompts
	// may take up at a decode engine; pauseDelay is the delay that is accepted
	// for each millisecond beyond it.
	pauseShare = 0.12
	pauseDelay = 6.0
	// fullDelay is added for an engine whose slots are all taken.
	fullDelay = 500.0
)

// engineCost estimates the time to process a prompt at one engine.
type engineCost struct {
	server *Server
	// millis is the queue and the processing of what is not cached.
	millis   float64
	uncached int
	queue    float64
}

func (b *Balancer) engineCost(now time.Time, s *Server, w *Work, home bool) engineCost {
	p := w.Prompt
	uncached := 0
	if !w.Prefilled {
		uncached = max(0, p.Tokens-s.stats.cachedTokens(p.Shared(), now))
		if home && s.Role == RolePrefill {
			// All nodes send a subject to its home, so its shared parts are there.
			// At a decode engine they yield to the KV cache of streams before the
			// subject comes back.
			uncached = p.Own()
		}
	}
	rate := b.prefillRate.perMilli(prefillTokensPerMilli)
	if s.Role == RoleDecode {
		rate = b.decodeRate.perMilli(decodeTokensPerMilli)
	}
	inflight, queued := b.load(now, s)
	c := engineCost{server: s, uncached: uncached, queue: queued / rate}
	c.millis = c.queue + float64(uncached)/rate + slotMilli*inflight
	if s.Slots > 0 && inflight >= float64(s.Slots) {
		c.millis += fullDelay
	}
	_, failures := s.stats.health(now)
	c.millis += fullDelay * failures
	if home {
		c.millis -= float64(homeSlack / time.Millisecond)
	}
	if w.Prefilled && s.FailureDomain != w.HandleDomain {
		c.millis += float64(transferSetup / time.Millisecond)
	}
	return c
}

// chooseEngine picks the engine for the prompt, or for the rest of a request
// whose prompt is processed already.
func (b *Balancer) chooseEngine(now time.Time, w *Work, servers []*Server) (*Choice, error) {
	decode := b.cheapest(now, w, servers, RoleDecode)
	if decode == nil {
		return nil, ErrFull
	}
	if w.Prefilled {
		return b.newChoice(decode.server, false, w, 0, decode.millis), nil
	}
	direct := func() (*Choice, error) {
		if w.tooLate(decode.millis) {
			return nil, ErrTooLate
		}
		return b.newChoice(decode.server, false, w, decode.uncached, decode.millis), nil
	}
	if w.Resumed {
		return b.newChoice(decode.server, false, w, decode.uncached, decode.millis), nil
	}
	prefill := b.cheapest(now, w, servers, RolePrefill)
	if prefill == nil {
		return direct()
	}
	splitMillis := prefill.millis + transferMillis(w, prefill.server, decode.server)
	if splitMillis < decode.millis+b.pauseMillis(decode, w) {
		if w.tooLate(prefill.millis) {
			return nil, ErrTooLate
		}
		return b.newChoice(prefill.server, true, w, prefill.uncached, splitMillis), nil
	}
	return direct()
}

// transferMillis is the delay of moving KV cache between two engines, and what is
// accepted to save the move.
func transferMillis(w *Work, from, to *Server) float64 {
	bytes := float64(w.Prompt.Tokens) * w.KVTokenBytes
	const bitsPerByte, millisPerSecond = 8, 1000
	millis := float64(transferSetup / time.Millisecond)
	if w.LinkBitsPerSecond > 0 {
		millis += bytes * bitsPerByte / w.LinkBitsPerSecond * millisPerSecond
	}
	if from.FailureDomain != to.FailureDomain {
		millis *= farTransfer
	}
	const gigabyte = 1e9
	return millis + bytes/gigabyte*float64(movedGigabyte/time.Millisecond)
}

// pauseMillis returns the delay that is accepted to keep a prompt away from a
// decode engine. The chunks of a prompt lie between the tokens of the streams
// there, and an event may hold several tokens, so long prompts make all of them
// pause.
func (b *Balancer) pauseMillis(decode *engineCost, w *Work) float64 {
	if w.TargetPause <= 0 {
		return 0
	}
	allowed := pauseShare * float64(w.TargetPause/time.Millisecond)
	rate := b.decodeRate.perMilli(decodeTokensPerMilli)
	prompt := float64(decode.uncached)/rate + decode.queue
	if prompt <= allowed {
		return 0
	}
	return pauseDelay * (prompt - allowed)
}

// cheapest returns the engine of a role with the least cost, or nil. A prompt with
// a long shared part goes to one of the few homes of its subject, also under
// load: elsewhere the shared part would be processed again, which makes an
// overload worse.
func (b *Balancer) cheapest(now time.Time, w *Work, servers []*Server, role Role) *engineCost {
	homes := homesOf(w.Prompt.Subject(), servers, role, w.Prompt.Model)
	bound := role == RolePrefill && w.Prompt.Tokens-w.Prompt.Own() >= boundTokens && homes[0] != nil
	var best *engineCost
	consider := func(s *Server) {
		c := b.engineCost(now, s, w, s == homes[0])
		c.millis += 1e-3 * rand.Float64()
		if best == nil || c.millis < best.millis {
			best = &c
		}
	}
	if bound {
		for _, s := range homes {
			if s != nil {
				consider(s)
			}
		}
		return best
	}
	for _, s := range servers {
		if s.Role == role && s.serves(w.Prompt.Model) {
			consider(s)
		}
	}
	return best
}

const (
	// homeCount is how many engines share the prompts of a subject.
	homeCount = 3
	// boundTokens is the least shared part that binds a prompt to its homes: about
	// ten milliseconds of an engine.
	boundTokens = 512
)

// homesOf returns the engines of a role on which all nodes place a subject, by
// rendezvous hashing, the first one first.
func homesOf(subject string, servers []*Server, role Role, model string) (homes [homeCount]*Server) {
	if subject == "" {
		return homes
	}
	var ranks [homeCount]uint64
	for _, s := range servers {
		if s.Role != role || !s.serves(model) {
			continue
		}
		r := rank(subject, s)
		for i := range homes {
			if homes[i] == nil || r > ranks[i] {
				copy(homes[i+1:], homes[i:homeCount-1])
				copy(ranks[i+1:], ranks[i:homeCount-1])
				homes[i], ranks[i] = s, r
				break
			}
		}
	}
	return homes
}

func (s *Server) serves(model string) bool {
	for _, m := range s.Models {
		if m == model {
			return true
		}
	}
	return len(s.Models) == 0 || model == ""
}
