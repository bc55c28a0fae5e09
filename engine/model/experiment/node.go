package experiment

import (
	"time"

	"github.com/figweir/figweir/admit"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/engine/model"
	"github.com/figweir/figweir/plan"
	"github.com/figweir/figweir/route"
)

// Latency objectives. An answer that meets both is counted as good.
const (
	firstTokenTarget    = 540 * time.Millisecond
	betweenTokensTarget = 30 * time.Millisecond
)

// Limits of the work that a node admits. A node receives only part of the calls, so
// the limits of all nodes together exceed the capacity of the engines by
// overcommitFactor; routing evens out the differences.
const (
	// maxPrefillBacklogSeconds limits the outstanding prompt work per prefill
	// engine, in seconds of its processing time.
	maxPrefillBacklogSeconds = 0.35
	// decodeBatchStreams is the batch size at which a decode step takes 30 ms.
	decodeBatchStreams = 36
	overcommitFactor   = 2.5
)

// maxAttempts limits how often a call is sent to a server.
const maxAttempts = 4

// node is an entry node: it admits calls and routes them to servers.
type node struct {
	sim           *simulation
	failureDomain string
	tracker       *route.Tracker
	policy        route.Policy
	admission     *admit.Controller
	// meanOutputTokens is a moving average of answer lengths. It estimates the
	// length of the next answer, which isn't known in advance.
	meanOutputTokens float64
}

// call is a call that a node has received.
type call struct {
	arrival  Arrival
	node     *node
	request  route.Request
	ticket   *admit.Ticket
	inFlight *route.InFlightRequest
	choice   route.Choice

	attempts            int
	previouslyGenerated int // by earlier attempts
	firstTokenAt        time.Duration
	ended               bool
	interrupted         bool
}

func (n *node) updateRegistrations() {
	n.tracker.Register(n.sim.virtualTime(), n.sim.registrations(n.failureDomain))
}

// setCapacity sets the capacity of the admission controller to the node's share of
// the servers in its current view.
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
	admittedShare := overcommitFactor / nodeCount
	n.admission.SetCapacity(n.sim.virtualTime(), admit.Capacity{
		Outstanding: admit.Work{
			PrefillTokens: int64(admittedShare*prefill*model.DefaultConfig.PrefillTokensPerSecond*maxPrefillBacklogSeconds) + meanPrefixTokens,
			KVBlocks:      int64(admittedShare * decode * float64(model.DefaultConfig.KVBlocks)),
			Streams:       int64(admittedShare*decode*decodeBatchStreams) + 1,
		},
		EngineSecondsPerSecond: (prefill + decode) / nodeCount,
	})
}

// handleArrival admits, queues or refuses a new call.
func (n *node) handleArrival(a Arrival) {
	sim := n.sim
	c := &call{arrival: a, node: n}
	c.request = route.Request{PromptTokens: a.PromptTokens, OutputTokens: int(n.meanOutputTokens), Prefix: a.Prefix, Now: sim.virtualTime()}
	sim.result.recordArrival(a)
	estimate, err := n.policy.Pick(n.tracker.View(), &c.request)
	if err != nil {
		sim.result.refused++
		return
	}
	uncachedTokens := a.PromptTokens - estimate.CachedTokens
	sim.requestedTokens.Prefill += float64(uncachedTokens)
	sim.requestedTokens.Decode += n.meanOutputTokens
	if !n.sim.variant.Admission {
		c.send()
		return
	}
	serviceTime := estimate.FirstToken
	if serviceTime == 0 {
		serviceTime = time.Duration(float64(uncachedTokens) / model.DefaultConfig.PrefillTokensPerSecond * float64(time.Second))
	}
	ticket, err := n.admission.Submit(sim.virtualTime(), admit.Request{
		Workspace: workspaceName(a.Workspace),
		Work: admit.Work{
			PrefillTokens: int64(uncachedTokens), DecodeTokens: int64(n.meanOutputTokens), Streams: 1,
			KVBlocks: int64((a.PromptTokens + int(n.meanOutputTokens)) / blockTokens),
		},
		ServiceTime: serviceTime, Deadline: sim.virtualTime().Add(firstTokenTarget),
	}, func() { sim.scheduleAt(sim.now, c.onAdmissionDecision) })
	if err != nil {
		sim.result.refused++
		return
	}
	c.ticket = ticket
	if ticket.Granted() {
		c.onAdmissionDecision()
		return
	}
	sim.scheduleAt(ticket.RefuseAt().Sub(startOfRun), func() { _ = ticket.RefuseIfDue(sim.virtualTime()) })
}

// onAdmissionDecision sends a call that was admitted, or counts it as refused.
func (c *call) onAdmissionDecision() {
	if c.ticket.Err() != nil {
		c.node.sim.result.refused++
		return
	}
	if c.attempts == 0 {
		c.send()
	}
}

// send picks a server and sends the call to it, or the rest of the call after an
// interruption. It tries other servers until one accepts or maxAttempts is reached.
func (c *call) send() {
	n, sim := c.node, c.node.sim
	for c.attempts < maxAttempts {
		c.attempts++
		c.request.Now = sim.virtualTime()
		choice, err := n.policy.Pick(n.tracker.View(), &c.request)
		if err != nil {
			break
		}
		if c.sendTo(choice) {
			return
		}
		c.request.Exclude = append(c.request.Exclude, choice.Prefill.Name)
	}
	c.finish(true)
}

// sendTo sends the call to the chosen server or to the prefill server of the chosen
// pair. It reports whether the server accepted it.
func (c *call) sendTo(choice route.Choice) bool {
	sim := c.node.sim
	s := sim.servers[choice.Prefill.Name]
	if s == nil {
		return false
	}
	sim.lastJobID++
	job := model.Job{
		ID: sim.lastJobID, PromptTokens: c.arrival.PromptTokens + c.previouslyGenerated, OutputTokens: c.arrival.OutputTokens - c.previouslyGenerated,
		Prefix: c.arrival.Prefix, PrefillOnly: choice.Pair(),
	}
	sim.callsByJob[job.ID] = c
	if s.submit(job) != nil {
		delete(sim.callsByJob, job.ID)
		return false
	}
	sim.result.promptTokensSent += job.PromptTokens
	c.choice = choice
	c.inFlight = choice.Begin(&c.request, blockTokens)
	if d := choice.Prefill.CachedBlocks(); d != nil {
		d.Add(sim.virtualTime(), c.arrival.Prefix...)
	}
	return true
}

// onEngineEvent handles an engine's event of one of the call's jobs.
func (c *call) onEngineEvent(s *server, e model.Event) {
	sim := c.node.sim
	switch e.Kind {
	case model.Token:
		c.inFlight.Token()
		if c.firstTokenAt == 0 {
			c.firstTokenAt = e.At + c.choice.Decode.RoundTripTime
			if c.ticket != nil {
				c.ticket.FirstToken()
			}
		}
	case model.Prefilled:
		delete(sim.callsByJob, e.JobID)
		if c.ticket != nil {
			c.ticket.FirstToken()
		}
		sim.scheduleAt(e.At+c.transferTime(), c.startDecode)
	case model.Done:
		delete(sim.callsByJob, e.JobID)
		sim.scheduleAt(e.At, func() { c.finish(false) })
	case model.Aborted:
		delete(sim.callsByJob, e.JobID)
		sim.scheduleAt(e.At, func() { c.rerun(s.name, e.Tokens) })
	}
}

func (c *call) transferTime() time.Duration {
	t := time.Duration(c.arrival.PromptTokens/blockTokens) * blockTransferTime
	if c.choice.Prefill.FailureDomain != c.choice.Decode.FailureDomain {
		t *= crossDomainFactor
	}
	return t + transferOverhead
}

// startDecode submits the call to the decode server of a pair, after the transfer of
// the KV cache.
func (c *call) startDecode() {
	sim := c.node.sim
	s := sim.servers[c.choice.Decode.Name]
	if s != nil {
		sim.lastJobID++
		sim.callsByJob[sim.lastJobID] = c
		err := s.submit(model.Job{
			ID: sim.lastJobID, PromptTokens: c.arrival.PromptTokens + c.previouslyGenerated, OutputTokens: c.arrival.OutputTokens - c.previouslyGenerated, Imported: true,
		})
		if err == nil {
			return
		}
		delete(sim.callsByJob, sim.lastJobID)
	}
	c.rerun(c.choice.Decode.Name, 0)
}

// rerun sends the rest of the call to another server after a server was lost or
// refused the decode part.
func (c *call) rerun(server string, generated int) {
	c.previouslyGenerated += generated
	if s := c.node.sim.servers[server]; s == nil || s.state == plan.Stopping {
		if !c.interrupted {
			c.interrupted = true
			c.node.sim.result.interrupted++
		}
	}
	c.inFlight.End()
	c.inFlight = nil
	c.request.Exclude = append(c.request.Exclude, server)
	c.send()
}

// finish records the outcome of the call.
func (c *call) finish(lost bool) {
	if c.ended {
		return
	}
	c.ended = true
	sim, n := c.node.sim, c.node
	if c.inFlight != nil {
		c.inFlight.End()
	}
	if c.ticket != nil {
		c.ticket.Done(admit.Work{
			PrefillTokens: int64(c.arrival.PromptTokens - c.choice.CachedTokens), DecodeTokens: int64(c.arrival.OutputTokens),
			KVBlocks: int64((c.arrival.PromptTokens + c.arrival.OutputTokens) / blockTokens),
		})
	}
	if lost {
		sim.result.lost++
		if c.interrupted {
			sim.result.lostAfterInterruption++
		}
		return
	}
	n.meanOutputTokens += outputLengthWeight * (float64(c.arrival.OutputTokens) - n.meanOutputTokens)
	firstToken := c.firstTokenAt - c.arrival.At
	betweenTokens := time.Duration(0)
	if c.arrival.OutputTokens > 1 {
		betweenTokens = (sim.now - c.firstTokenAt) / time.Duration(c.arrival.OutputTokens-1)
	}
	sim.result.recordAnswer(c.arrival, firstToken, betweenTokens)
}

// outputLengthWeight is the weight of a new answer in the moving average of answer
// lengths.
const outputLengthWeight = 0.02
