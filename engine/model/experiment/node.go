package experiment

import (
	"time"

	"github.com/figweir/figweir/admit"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine/model"
	"github.com/figweir/figweir/plan"
	"github.com/figweir/figweir/route"
)

// The objectives of a call.
const (
	firstTokenTarget    = 540 * time.Millisecond
	betweenTokensTarget = 30 * time.Millisecond
)

// How much of the fleet a node admits. Each node sees only its own part of the
// calls, so that the shares of all nodes together exceed the fleet; routing
// evens out what is left.
const (
	// backlogSeconds is the prompt work that may be outstanding per prefill
	// engine.
	backlogSeconds = 0.35
	// batchStreams is the batch with which a step takes 30 ms.
	batchStreams = 36
	overcommit   = 2.5
)

// maxAttempts bounds how often a call is sent to another server.
const maxAttempts = 4

// node is one entry node.
type node struct {
	fleet      *fleet
	domain     string
	tracker    *route.Tracker
	policy     route.Policy
	controller *admit.Controller
	// meanOutput follows the length of answers, which isn't known in advance.
	meanOutput float64
}

// inflight is one call on its way.
type inflight struct {
	arrival Arrival
	node    *node
	request route.Request
	ticket  *admit.Ticket
	flight  *route.Flight
	choice  route.Choice

	attempts   int
	emitted    int // by earlier attempts
	firstToken time.Duration
	ended      bool
	cutOnce    bool
}

func (n *node) register() { n.tracker.Register(n.fleet.clock(), n.fleet.registrations(n.domain)) }

// setCapacity shares the fleet between the nodes.
func (n *node) setCapacity() {
	prefill, decode := 0.0, 0.0
	for _, s := range n.tracker.View().Servers {
		if s.Draining || s.Leaving {
			continue
		}
		switch s.Role {
		case config.RolePrefill:
			prefill++
		case config.RoleDecode:
			decode++
		default:
			prefill += 0.5
			decode += 0.5
		}
	}
	share := overcommit / nodes
	n.controller.SetCapacity(n.fleet.clock(), admit.Capacity{
		Outstanding: admit.Work{
			PrefillTokens: int64(share*prefill*model.DefaultConfig.PrefillTokensPerSecond*backlogSeconds) + meanPrefixTokens,
			KVBlocks:      int64(share * decode * float64(model.DefaultConfig.KVBlocks)),
			Streams:       int64(share*decode*batchStreams) + 1,
		},
		EngineSecondsPerSecond: (prefill + decode) / nodes,
	})
}

// arrive takes a call from a caller.
func (n *node) arrive(a Arrival) {
	f := n.fleet
	c := &inflight{arrival: a, node: n}
	c.request = route.Request{PromptTokens: a.PromptTokens, OutputTokens: int(n.meanOutput), Prefix: a.Prefix, Now: f.clock()}
	f.result.offer(a)
	estimate, err := n.policy.Pick(n.tracker.View(), &c.request)
	if err != nil {
		f.result.refused++
		return
	}
	uncached := a.PromptTokens - estimate.CachedTokens
	f.asked.Prefill += float64(uncached)
	f.asked.Decode += n.meanOutput
	if !n.fleet.variant.Admission {
		c.send()
		return
	}
	service := estimate.FirstToken
	if service == 0 {
		service = time.Duration(float64(uncached) / model.DefaultConfig.PrefillTokensPerSecond * float64(time.Second))
	}
	ticket, err := n.controller.Offer(f.clock(), admit.Request{
		Workspace: workspaceName(a.Workspace),
		Work: admit.Work{
			PrefillTokens: int64(uncached), DecodeTokens: int64(n.meanOutput), Streams: 1,
			KVBlocks: int64((a.PromptTokens + int(n.meanOutput)) / blockTokens),
		},
		Service: service, Deadline: f.clock().Add(firstTokenTarget),
	}, func() { f.at(f.now, c.decided) })
	if err != nil {
		f.result.refused++
		return
	}
	c.ticket = ticket
	if ticket.Granted() {
		c.decided()
		return
	}
	f.at(ticket.GiveUpAt().Sub(epoch), func() { _ = ticket.GiveUp(f.clock()) })
}

// decided goes on with a call that was admitted or refused.
func (c *inflight) decided() {
	if c.ticket.Err() != nil {
		c.node.fleet.result.refused++
		return
	}
	if c.attempts == 0 {
		c.send()
	}
}

// send picks a server and sends the call, or what is left of it, there.
func (c *inflight) send() {
	n, f := c.node, c.node.fleet
	for c.attempts < maxAttempts {
		c.attempts++
		c.request.Now = f.clock()
		choice, err := n.policy.Pick(n.tracker.View(), &c.request)
		if err != nil {
			break
		}
		if c.sendTo(choice) {
			return
		}
		c.request.Exclude = append(c.request.Exclude, choice.Prefill.Name)
	}
	c.end(true)
}

// sendTo sends the call to a server or a pair. It reports false if the server
// doesn't take it.
func (c *inflight) sendTo(choice route.Choice) bool {
	f := c.node.fleet
	s := f.servers[choice.Prefill.Name]
	if s == nil {
		return false
	}
	f.nextJob++
	job := model.Job{
		ID: f.nextJob, PromptTokens: c.arrival.PromptTokens + c.emitted, OutputTokens: c.arrival.OutputTokens - c.emitted,
		Prefix: c.arrival.Prefix, PrefillOnly: choice.Pair(),
	}
	f.calls[job.ID] = c
	if s.submit(job) != nil {
		delete(f.calls, job.ID)
		return false
	}
	f.result.prompts += job.PromptTokens
	c.choice = choice
	c.flight = choice.Begin(&c.request, blockTokens)
	if d := choice.Prefill.Digest(); d != nil {
		d.Add(f.clock(), c.arrival.Prefix...)
	}
	return true
}

// event handles what an engine says of the call.
func (c *inflight) event(s *server, e model.Event) {
	f := c.node.fleet
	switch e.Kind {
	case model.Token:
		c.flight.Token()
		if c.firstToken == 0 {
			c.firstToken = e.At + c.choice.Decode.Distance
			if c.ticket != nil {
				c.ticket.FirstToken()
			}
		}
	case model.Prefilled:
		delete(f.calls, e.Job)
		if c.ticket != nil {
			c.ticket.FirstToken()
		}
		f.at(e.At+c.transferTime(), c.decode)
	case model.Done:
		delete(f.calls, e.Job)
		f.at(e.At, func() { c.end(false) })
	case model.Cut:
		delete(f.calls, e.Job)
		f.at(e.At, func() { c.rerun(s.name, e.Tokens) })
	}
}

func (c *inflight) transferTime() time.Duration {
	t := time.Duration(c.arrival.PromptTokens/blockTokens) * blockTransfer
	if c.choice.Prefill.FailureDomain != c.choice.Decode.FailureDomain {
		t *= crossDomain
	}
	return t + transferFixed
}

// decode starts the second half of a pair.
func (c *inflight) decode() {
	f := c.node.fleet
	s := f.servers[c.choice.Decode.Name]
	if s != nil {
		f.nextJob++
		f.calls[f.nextJob] = c
		err := s.submit(model.Job{
			ID: f.nextJob, PromptTokens: c.arrival.PromptTokens + c.emitted, OutputTokens: c.arrival.OutputTokens - c.emitted, Imported: true,
		})
		if err == nil {
			return
		}
		delete(f.calls, f.nextJob)
	}
	c.rerun(c.choice.Decode.Name, 0)
}

// rerun sends the rest of the call elsewhere, after a server was lost.
func (c *inflight) rerun(server string, emitted int) {
	c.emitted += emitted
	if s := c.node.fleet.servers[server]; s == nil || s.state == plan.Stopping {
		if !c.cutOnce {
			c.cutOnce = true
			c.node.fleet.result.cut++
		}
	}
	c.flight.End()
	c.flight = nil
	c.request.Exclude = append(c.request.Exclude, server)
	c.send()
}

// end records the outcome.
func (c *inflight) end(lost bool) {
	if c.ended {
		return
	}
	c.ended = true
	f, n := c.node.fleet, c.node
	if c.flight != nil {
		c.flight.End()
	}
	if c.ticket != nil {
		c.ticket.Done(admit.Work{
			PrefillTokens: int64(c.arrival.PromptTokens - c.choice.CachedTokens), DecodeTokens: int64(c.arrival.OutputTokens),
			KVBlocks: int64((c.arrival.PromptTokens + c.arrival.OutputTokens) / blockTokens),
		})
	}
	if lost {
		f.result.lost++
		if c.cutOnce {
			f.result.lostAfterCut++
		}
		return
	}
	n.meanOutput += outputWeight * (float64(c.arrival.OutputTokens) - n.meanOutput)
	first := c.firstToken - c.arrival.At
	between := time.Duration(0)
	if c.arrival.OutputTokens > 1 {
		between = (f.now - c.firstToken) / time.Duration(c.arrival.OutputTokens-1)
	}
	f.result.finish(c.arrival, first, between)
}

// outputWeight is the weight of one answer in the mean of answer lengths.
const outputWeight = 0.02
