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
	// retryShare and retryBurst bound the retries of a service: one for ten
	// first attempts, and as many saved up as one engine that is lost may have
	// streams of this node (36 at the default speed and 30 ms between tokens),
	// so that all of them can be re-run.
	retryShare = 0.1
	retryBurst = 64
	// capacityInterval is how often the capacity of this node is worked out.
	capacityInterval = time.Second
	// expectedPrefillShare is the part of an engine that prefill is expected to
	// take when the time to the first token is estimated.
	expectedPrefillShare = 0.5
)

// admission connects package admit to the request path. Each pool of engines
// has a controller of its own.
type admission struct {
	node    *Node
	retries admit.RetryBudgets
	// pools maps the name of a pool to its controller. The map is replaced when
	// the configuration changes, never changed.
	pools atomic.Pointer[map[string]*admit.Controller]
}

func newAdmission(n *Node) *admission {
	a := &admission{node: n, retries: admit.RetryBudgets{Share: retryShare, Burst: retryBurst}}
	a.pools.Store(&map[string]*admit.Controller{})
	return a
}

// register takes over the pools and weights of the configuration in force.
func (a *admission) register(snapshot *config.Snapshot) {
	old := *a.pools.Load()
	pools := make(map[string]*admit.Controller)
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
		pools[pool.Name] = controller
	}
	a.pools.Store(&pools)
	a.setCapacity(snapshot)
}

// run keeps the capacity up to date until ctx ends.
func (a *admission) run(ctx context.Context) {
	for ctx.Err() == nil {
		if snapshot := a.node.config.Load(); snapshot != nil {
			a.setCapacity(snapshot)
		}
		sleep(ctx, capacityInterval)
	}
}

// setCapacity gives this node an equal part of each pool: the balancer spreads
// callers evenly over the live nodes.
func (a *admission) setCapacity(snapshot *config.Snapshot) {
	nodes := max(1, len(a.node.members.View().Live))
	for name, controller := range *a.pools.Load() {
		pool := snapshot.Pool(name)
		if pool == nil {
			continue
		}
		engines := a.node.backends.usable(name)
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

// streamsPerEngine is the largest decode batch whose steps still meet the time
// between tokens.
func streamsPerEngine(o config.Objectives) float64 {
	s := route.DefaultSpeed
	return max(1, (o.BetweenTokensSeconds-s.StepSeconds)/s.StepSecondsPerStream)
}

// Admit implements caller.Admitter.
func (a *admission) Admit(ctx context.Context, w caller.Work) (caller.Admission, error) {
	a.retries.Of(w.Service).FirstAttempt()
	controller := (*a.pools.Load())[w.Pool.Name]
	if controller == nil {
		return nil, unavailable(nil, minPickRetry)
	}
	work := engineWork(w, w.PromptTokens, w.MaxOutputTokens)
	ticket, err := controller.Admit(ctx, admit.Request{
		Workspace: w.Workspace, Work: work, Deadline: w.FirstTokenBy,
		Service: time.Duration(float64(w.PromptTokens) / (expectedPrefillShare * route.DefaultSpeed.PrefillTokensPerSecond) * float64(time.Second)),
	})
	if err != nil {
		return nil, refusal(err)
	}
	return &admitted{ticket: ticket, work: w}, nil
}

// Retry implements caller.Admitter.
func (a *admission) Retry(service string) bool { return a.retries.Of(service).Retry() }

func engineWork(w caller.Work, prompt, output int) admit.Work {
	blockTokens := max(1, w.Pool.KVBlockTokens)
	return admit.Work{
		PrefillTokens: int64(prompt), DecodeTokens: int64(output), Streams: 1,
		KVBlocks: int64((prompt + output + blockTokens - 1) / blockTokens),
	}
}

func refusal(err error) error {
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

// admitted implements caller.Admission.
type admitted struct {
	ticket *admit.Ticket
	work   caller.Work
}

// FirstToken implements caller.Admission.
func (a *admitted) FirstToken() { a.ticket.FirstToken() }

// Done implements caller.Admission.
func (a *admitted) Done(promptTokens, outputTokens int) {
	a.ticket.Done(engineWork(a.work, promptTokens, outputTokens))
}
