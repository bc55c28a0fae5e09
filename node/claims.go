package node

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/caller"
	"github.com/figweir/figweir/once"
	"github.com/figweir/figweir/peer"
	"github.com/figweir/figweir/service"
)

const (
	// claimRanges is the number of hash ranges of claims. It must be the same on
	// all nodes.
	claimRanges = 16
	// claimWritesPerSecond limits this node's store writes for claims. It equals
	// the budget for the whole deployment, because one node may have to write all
	// ranges.
	claimWritesPerSecond = 150
	// retireInterval is the time between two removals of the indexes of ranges that
	// other nodes write now.
	retireInterval = 30 * time.Second
	// settleTimeout limits how long an answer is delayed until its claim is
	// settled. After that, the claim is settled in the background.
	settleTimeout = time.Second
)

// claims connects package once to the request path and to the peers.
type claims struct {
	node          *Node
	writers       *once.Writers
	claimer       *once.Claimer
	remoteHandles sync.Map
}

func newClaims(n *Node) *claims {
	c := &claims{node: n}
	cfg := once.DefaultConfig()
	cfg.Ranges = claimRanges
	cfg.Log, cfg.Era = n.log, n.eras.Current
	writeLimiter := once.NewWriteLimiter(claimWritesPerSecond)
	c.writers = once.NewWriters(claimRanges, func(r once.Range) *once.Writer { return c.startWriter(r, cfg, writeLimiter) })
	claimerConfig := once.DefaultClaimerConfig()
	claimerConfig.Ranges = claimRanges
	incarnation, _ := n.members.Incarnation(n.settings.Name)
	c.claimer = once.NewClaimer(n.settings.Name+"/"+incarnation, claimerConfig, c.handleFor)
	n.metrics.Publish("claims", expvar.Func(c.stats))
	return c
}

// claimStats holds the counters of the ranges that this node writes, and of the
// claims that it settles.
type claimStats struct {
	Ranges map[once.Range]once.Stats `json:"ranges"`
	// Pending counts claims whose settlement is not recorded yet. GivenUp counts
	// those whose settlement will never be recorded: repeats of their calls get the
	// error "in progress" until this process has ended.
	Pending int   `json:"pending"`
	GivenUp int64 `json:"given_up"`
}

func (c *claims) stats() any {
	s := claimStats{Ranges: c.writers.Stats()}
	s.Pending, s.GivenUp = c.claimer.Pending()
	return s
}

// startWriter starts the writer of a range.
func (c *claims) startWriter(r once.Range, cfg once.Config, writeLimiter *rate.Limiter) *once.Writer {
	return once.StartWriter(c.node.store, r, cfg, writeLimiter, c)
}

// rangeWriter returns the name and the address of the node that writes a range,
// or empty strings if none is known.
func (c *claims) rangeWriter(r once.Range) (string, string) {
	chosen := c.node.members.View().Choose(fmt.Sprintf("once/%d", r), 1, nil)
	if len(chosen) == 0 {
		return "", ""
	}
	return chosen[0].Name, chosen[0].Address
}

// handleFor returns the handle of a range, which is local or a client of the node
// that writes the range.
func (c *claims) handleFor(r once.Range) once.Handle {
	name, address := c.rangeWriter(r)
	if name == "" || name == c.node.settings.Name {
		return c.writers.Handle(r)
	}
	if handle, ok := c.remoteHandles.Load(address); ok {
		return handle.(once.Handle)
	}
	client := peer.NewOnceClient(c.node.peerHTTP, "http://"+address, connect.WithInterceptors(c.node.auth))
	handle, _ := c.remoteHandles.LoadOrStore(address, client)
	return handle.(once.Handle)
}

// Gone implements once.Incarnations. A process is gone if its VM is no longer
// listed, or if a later process runs on the VM. A wrong result is harmless:
// repeats then get the error "outcome unknown" instead of "in progress".
func (c *claims) Gone(owner string) bool {
	name, incarnation, _ := strings.Cut(owner, "/")
	if current, ok := c.node.members.Incarnation(name); ok {
		return current > incarnation
	}
	for _, vm := range c.node.members.Listed() {
		if vm.Name == name {
			return false
		}
	}
	return true
}

// run periodically removes the indexes of ranges that other nodes write now,
// until ctx is canceled.
func (c *claims) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, retireInterval)
		c.writers.Retire(func(r once.Range) bool {
			name, _ := c.rangeWriter(r)
			return name == c.node.settings.Name
		})
	}
}

func (c *claims) close() {
	c.claimer.Close()
	c.writers.Close()
}

// Claim implements caller.Claimer.
func (c *claims) Claim(ctx context.Context, call caller.ClaimedCall) (caller.Claim, *service.Response, error) {
	d := c.claimer.Claim(ctx, once.Call{
		Key:        once.NewKey(call.Workspace, call.Service, call.IdempotencyKey),
		BodyDigest: once.NewDigest(call.Content),
	})
	switch d.State {
	case once.Granted:
		return &claim{claims: c, claim: d.Claim}, nil, nil
	case once.Done:
		return recordedAnswer(d.Outcome)
	case once.InProgress:
		return nil, nil, apierr.New(apierr.InProgress, "a call with this idempotency key is running", apierr.RetryAfter(once.RetryAfter))
	case once.Unknown:
		return nil, nil, apierr.New(apierr.OutcomeUnknown, "the call with this idempotency key may have run; its outcome is unknown")
	case once.KeyReused:
		return nil, nil, apierr.New(apierr.KeyReused, "the idempotency key was used for another call", apierr.NotRun())
	default:
		return nil, nil, apierr.Wrap(d.Cause, apierr.Unavailable, "the call can't be recorded now", apierr.NotRun(), apierr.RetryAfter(once.RetryAfter))
	}
}

// recordedAnswer returns the recorded answer to an earlier run of the call, or an
// error if the answer was too large to be recorded.
func recordedAnswer(o *once.Outcome) (caller.Claim, *service.Response, error) {
	if o.Truncated {
		message := fmt.Sprintf("the call ran with status %d; its answer (SHA-256 %s) was too large to keep", o.Status, o.BodyDigest)
		return nil, nil, apierr.New(apierr.OutcomeTooLarge, message)
	}
	header := make(http.Header)
	if o.ContentType != "" {
		header.Set("Content-Type", o.ContentType)
	}
	return nil, &service.Response{Status: o.Status, Header: header, Body: o.Body}, nil
}

// claim implements caller.Claim.
type claim struct {
	claims *claims
	claim  *once.Claim
}

// Done implements caller.Claim.
func (c *claim) Done(answer service.Response) {
	outcome := once.NewOutcome(answer.Status, answer.Header.Get("Content-Type"), answer.Body)
	c.settle(func(ctx context.Context) error { return c.claims.claimer.Finish(ctx, c.claim, &outcome) })
}

// MarkUnknown implements caller.Claim.
func (c *claim) MarkUnknown() {
	c.settle(func(ctx context.Context) error { return c.claims.claimer.Finish(ctx, c.claim, nil) })
}

// Release implements caller.Claim.
func (c *claim) Release() {
	c.settle(func(ctx context.Context) error { return c.claims.claimer.Release(ctx, c.claim) })
}

// settle records the result of the call and waits for it up to settleTimeout.
func (c *claim) settle(record func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := record(ctx); err != nil {
		c.claims.node.log.Info("claim settled later", "error", err.Error())
	}
}
