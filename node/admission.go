package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/figweir/figweir/admit"
	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/caller"
	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/route"
)

const (
	// retryRatio and retryBurst limit the retries of a service: one retry per ten
	// first attempts, with a burst that covers the streams of this node on one
	// failed engine (36 at the default speed and 30 ms between tokens), so that
	// all of them can be re-run.
	retryRatio = 0.1
	retryBurst = 64
	// capacityInterval is the time between two updates of this node's capacity.
	capacityInterval = time.Second
	// expectedPrefillShare is the share of an engine's time that prefill is assumed
	// to get in the estimate of the time to the first token.
	expectedPrefillShare = 0.5
)

// admission connects package admit to the request path. Each pool of engines
// has its own controller.
type admission struct {
	node    *Node
	retries admit.RetryBudgets
	// controllers maps the name of a pool to its controller. The map is immutable;
	// a new one replaces it when the configuration changes.
	controllers atomic.Pointer[map[string]*admit.Controller]
}

func newAdmission(n *Node) *admission {
	a := &admission{node: n, retries: admit.RetryBudgets{Ratio: retryRatio, Burst: retryBurst}}
	a.controllers.Store(&map[string]*admit.Controller{})
	return a
}

// applyConfig applies the pools and weights of the configuration in force.
func (a *admission) applyConfig(snapshot *config.Snapshot) {
	old := *a.controllers.Load()
	controllers := make(map[string]*admit.Controller)
	for i := range snapshot.Document.Pools {
		pool := &snapshot.Document.Pools[i]
		if pool.Kind != config.KindEngine {
			continue
		}
		controller := old[pool.Name]
		if controller == nil {
			controller = admit.NewController(admit.DefaultOptions)
		}
		for j := range snapshot.Document.Workspaces {
			w := &snapshot.Document.Workspaces[j]
			controller.SetWeight(w.Name, w.Weight)
		}
		controllers[pool.Name] = controller
	}
	a.controllers.Store(&controllers)
	a.setCapacity(snapshot)
}

// run updates the capacity until ctx is canceled.
func (a *admission) run(ctx context.Context) {
	for ctx.Err() == nil {
		if snapshot := a.node.config.Load(); snapshot != nil {
			a.setCapacity(snapshot)
		}
		sleep(ctx, capacityInterval)
	}
}

// setCapacity sets this node's capacity to an equal share of each pool, because
// the load balancer spreads callers evenly over the live nodes.
func (a *admission) setCapacity(snapshot *config.Snapshot) {
	nodes := max(1, len(a.node.members.View().Live))
	for name, controller := range *a.controllers.Load() {
		pool := snapshot.Pool(name)
		if pool == nil {
			continue
		}
		engines := a.node.backends.countUsable(name)
		share := float64(engines) / float64(nodes)
		controller.SetCapacity(time.Now(), admit.Capacity{
			Outstanding: admit.Work{
				KVBlocks: int64(share * float64(pool.KVBlocks)),
				Streams:  int64(share * streamsPerEngine(snapshot.Document.Objectives)),
			},
			EngineSecondsPerSecond: share,
		})
	}
}

// streamsPerEngine returns the size of the largest decode batch whose steps meet
// the objective for the time between tokens.
func streamsPerEngine(o config.Objectives) float64 {
	s := route.DefaultSpeed
	return max(1, (o.BetweenTokensSeconds-s.StepSeconds)/s.StepSecondsPerStream)
}

// Admit implements caller.Admitter.
func (a *admission) Admit(ctx context.Context, info caller.RequestInfo) (caller.Admission, error) {
	a.retries.For(info.Service).FirstAttempt()
	controller := (*a.controllers.Load())[info.Pool.Name]
	if controller == nil {
		return nil, unavailable(nil, minPickRetryAfter)
	}
	work := engineWork(info, info.PromptTokens, info.MaxOutputTokens)
	ticket, err := controller.Admit(ctx, admit.Request{
		Workspace: info.Workspace, Work: work, Deadline: info.FirstTokenBy,
		ServiceTime: time.Duration(float64(info.PromptTokens) / (expectedPrefillShare * route.DefaultSpeed.PrefillTokensPerSecond) * float64(time.Second)),
	})
	if err != nil {
		return nil, refusalError(err)
	}
	return &admittedRequest{ticket: ticket, info: info}, nil
}

// Retry implements caller.Admitter.
func (a *admission) Retry(service string) bool { return a.retries.For(service).Retry() }

// engineWork returns the work of a request with the given numbers of prompt and
// output tokens.
func engineWork(info caller.RequestInfo, prompt, output int) admit.Work {
	blockTokens := max(1, info.Pool.KVBlockTokens)
	return admit.Work{
		PrefillTokens: int64(prompt), DecodeTokens: int64(output), Streams: 1,
		KVBlocks: int64((prompt + output + blockTokens - 1) / blockTokens),
	}
}

// refusalError converts a refusal by package admit to an error for the caller.
func refusalError(err error) error {
	var refused *admit.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	code := apierr.Overloaded
	if refused.Reason == admit.ReasonStopping {
		code = apierr.Draining
	}
	return apierr.Wrap(err, code, string(refused.Reason), apierr.NotRun(), apierr.RetryAfter(refused.RetryAfter))
}

// admittedRequest implements caller.Admission.
type admittedRequest struct {
	ticket *admit.Ticket
	info   caller.RequestInfo
}

// FirstToken implements caller.Admission.
func (a *admittedRequest) FirstToken() { a.ticket.FirstToken() }

// Done implements caller.Admission.
func (a *admittedRequest) Done(promptTokens, outputTokens int) {
	a.ticket.Done(engineWork(a.info, promptTokens, outputTokens))
}
