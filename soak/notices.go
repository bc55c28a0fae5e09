package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/figweir/figweir/platform/backendsim"
)

// noticeReaction is the time after which nodes that were told must have reacted.
const noticeReaction = time.Second

// statedNotice is something that a backend server states about itself, with the number of
// requests that it may still get from the nodes after noticeReaction.
type statedNotice struct {
	notice  backendsim.Notice
	allowed func(nodes int) float64
}

// limitNotice returns the statement of a rate limit. Of what it allows in 4 s, 1.5 times as much
// may come, and 5 requests.
func limitNotice(perSecond float64) statedNotice {
	return statedNotice{backendsim.Notice{Limit: fmt.Sprint(perSecond)}, func(int) float64 { return 1.5*4*perSecond + 5 }}
}

// notices are the statements among which a run chooses. A node that has not been told yet, for
// example because it has just started, sends one request, and two after a refusal.
var notices = []statedNotice{
	limitNotice(0), limitNotice(0.5), limitNotice(2),
	{backendsim.Notice{Leaving: true}, func(nodes int) float64 { return float64(nodes) }},
	{backendsim.Notice{RetryAfter: "30"}, func(nodes int) float64 { return 2 * float64(nodes) }},
}

// stateNotice makes a random backend server state something about itself until the end of the
// fault, and checks the requests that it gets meanwhile. A server that states that it leaves, or
// that it wants no requests for long, is replaced and drains at the end.
func stateNotice(d *Deployment, r *rand.Rand) func() {
	b := d.randomBackend(r)
	n := notices[r.IntN(len(notices))]
	replaced := n.notice.Limit == ""
	if b.noticed.Swap(true) || replaced && b.draining.Load() {
		return func() {}
	}
	if replaced {
		d.addBackend(b.service, fmt.Sprintf("%s.%d", b.id, d.replacements.Add(1)), b.role)
	}
	b.sim.SetNotice(n.notice)
	begin := time.Now()
	return func() {
		end := time.Now()
		d.recorder.checkArrivals(b, begin, end, n, len(d.nodes))
		if replaced {
			b.draining.Store(true)
			return
		}
		b.sim.SetNotice(backendsim.Notice{})
		b.noticed.Store(false)
	}
}

// maxLimitWindow is the longest span in which a rate limit is checked.
const maxLimitWindow = 4 * time.Second

// checkArrivals records a finding if a server got more requests than it had asked for. Spans with
// faults after which a node may know less than it was told are not checked.
func (rec *Recorder) checkArrivals(b *backend, begin, end time.Time, n statedNotice, nodes int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.drainCheckSuspensions > 0 || rec.drainCheckFrom.After(begin) {
		return
	}
	from := begin.Add(noticeReaction)
	if n.notice.Limit != "" && end.Sub(from) > maxLimitWindow {
		from = end.Add(-maxLimitWindow)
	}
	arrived := 0
	for _, at := range b.sim.Arrivals() {
		if at.After(from) && at.Before(end) {
			arrived++
		}
	}
	if allowed := n.allowed(nodes); float64(arrived) > allowed {
		rec.findings = append(rec.findings, fmt.Sprintf("backend server %s stated %+v and got %d requests in %v, allowed %v", b.id, n.notice, arrived, end.Sub(from), allowed))
	}
}
