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
	// claimRanges is the number of hash ranges of claims, the same on all nodes.
	claimRanges = 16
	// claimWritesPerSecond is this node's share of the store's writes. One node
	// may come to write all ranges, so it is the budget of the mechanism.
	claimWritesPerSecond = 150
	// retireInterval is how often indexes of ranges that moved away are freed.
	retireInterval = 30 * time.Second
	// settleTimeout bounds how long an answer waits for its record; the record
	// follows in the background after that.
	settleTimeout = time.Second
)

// claims connects package once to the request path and to the peers.
type claims struct {
	node    *Node
	writers *once.Writers
	claimer *once.Claimer
	remote  sync.Map
}

func newClaims(n *Node) *claims {
	c := &claims{node: n}
	cfg := once.DefaultConfig()
	cfg.Ranges = claimRanges
	cfg.Log = n.log
	budget := once.NewBudget(claimWritesPerSecond)
	c.writers = once.NewWriters(claimRanges, func(r once.Range) *once.Writer { return c.startWriter(r, cfg, budget) })
	claimerConfig := once.DefaultClaimerConfig()
	claimerConfig.Ranges = claimRanges
	incarnation, _ := n.members.Incarnation(n.settings.Name)
	c.claimer = once.NewClaimer(n.settings.Name+"/"+incarnation, claimerConfig, c.locate)
	n.metrics.Publish("claims", expvar.Func(c.stats))
	return c
}

// claimStats are the counters of the ranges that this node writes, and of its
// own settlements.
type claimStats struct {
	Ranges map[once.Range]once.Stats `json:"ranges"`
	// Pending settlements wait to be recorded; GivenUp ones never will be, and
	// their calls answer "in progress" until this process has ended.
	Pending int   `json:"pending"`
	GivenUp int64 `json:"given_up"`
}

func (c *claims) stats() any {
	s := claimStats{Ranges: c.writers.Stats()}
	s.Pending, s.GivenUp = c.claimer.Pending()
	return s
}

func (c *claims) startWriter(r once.Range, cfg once.Config, budget *rate.Limiter) *once.Writer {
	return once.StartWriter(c.node.store, r, cfg, budget, c)
}

// writer returns the node that writes a range, or "" if none is known.
func (c *claims) writer(r once.Range) (string, string) {
	chosen := c.node.members.View().Choose(fmt.Sprintf("once/%d", r), 1, nil)
	if len(chosen) == 0 {
		return "", ""
	}
	return chosen[0].Name, chosen[0].Address
}

func (c *claims) locate(r once.Range) once.Handle {
	name, address := c.writer(r)
	if name == "" || name == c.node.settings.Name {
		return c.writers.Handle(r)
	}
	if handle, ok := c.remote.Load(address); ok {
		return handle.(once.Handle)
	}
	client := peer.NewOnceClient(c.node.peerHTTP, "http://"+address, connect.WithInterceptors(c.node.auth))
	handle, _ := c.remote.LoadOrStore(address, client)
	return handle.(once.Handle)
}

// Gone implements once.Incarnations: a process is gone if its VM is no longer
// listed, or if a later process runs on it. Being wrong does no harm: repeats
// are then told "unknown" instead of "in progress".
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

// run frees the indexes of ranges that other nodes write now.
func (c *claims) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, retireInterval)
		c.writers.Retire(func(r once.Range) bool {
			name, _ := c.writer(r)
			return name == c.node.settings.Name
		})
	}
}

func (c *claims) close() {
	c.claimer.Close()
	c.writers.Close()
}

// Claim implements caller.Claimer.
func (c *claims) Claim(ctx context.Context, call caller.ClaimedCall) (caller.Claim, *service.Answer, error) {
	d := c.claimer.Claim(ctx, once.Call{
		Key:        once.NewKey(call.Workspace, call.Service, call.IdempotencyKey),
		BodyDigest: once.NewDigest(call.Content),
	})
	switch d.State {
	case once.Granted:
		return &claim{claims: c, claim: d.Claim}, nil, nil
	case once.Done:
		return recorded(d.Outcome)
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

// recorded returns the answer that an earlier run of the call got.
func recorded(o *once.Outcome) (caller.Claim, *service.Answer, error) {
	if o.Truncated {
		message := fmt.Sprintf("the call ran with status %d; its answer (SHA-256 %s) was too large to keep", o.Status, o.BodyDigest)
		return nil, nil, apierr.New(apierr.OutcomeTooLarge, message)
	}
	header := make(http.Header)
	if o.ContentType != "" {
		header.Set("Content-Type", o.ContentType)
	}
	return nil, &service.Answer{Status: o.Status, Header: header, Body: o.Body}, nil
}

// claim implements caller.Claim.
type claim struct {
	claims *claims
	claim  *once.Claim
}

// Done implements caller.Claim.
func (c *claim) Done(answer service.Answer) {
	outcome := once.NewOutcome(answer.Status, answer.Header.Get("Content-Type"), answer.Body)
	c.settle(func(ctx context.Context) error { return c.claims.claimer.Finish(ctx, c.claim, &outcome) })
}

// Unknown implements caller.Claim.
func (c *claim) Unknown() {
	c.settle(func(ctx context.Context) error { return c.claims.claimer.Finish(ctx, c.claim, nil) })
}

// Release implements caller.Claim.
func (c *claim) Release() {
	c.settle(func(ctx context.Context) error { return c.claims.claimer.Release(ctx, c.claim) })
}

func (c *claim) settle(record func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := record(ctx); err != nil {
		c.claims.node.log.Info("claim settled later", "error", err.Error())
	}
}
