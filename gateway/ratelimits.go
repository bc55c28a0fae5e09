package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	figweirv1 "github.com/figweir/figweir/gen/figweir/v1"
	"github.com/figweir/figweir/loadshare"
	"github.com/figweir/figweir/peer"
	"github.com/figweir/figweir/permit"
	"github.com/figweir/figweir/ratelimit"
)

// rateLimits keeps the requests of all nodes within the rate limits that backend servers state.
type rateLimits struct {
	limiter *ratelimit.Limiter
	// incarnation distinguishes these messages from load updates of this node.
	incarnation uint64
}

func (g *Gateway) setUpRateLimits(incarnation uint64) {
	granters := func(server uint64) []string { return permit.Granters(server, g.nodes.AllLoadAddresses()) }
	g.limits = &rateLimits{limiter: ratelimit.New(g.loadAddress(), incarnation, granters), incarnation: incarnation}
	g.limits.limiter.OnEvent = func(e ratelimit.Event, r ratelimit.Report) {
		g.observer.limitChanges.Add(string(e), 1)
		g.log.Info("rate limit "+string(e), "backend_server", g.incarnationName(r.Server), "per_s", r.PerSecond, "in_force", r.InForce,
			"since_ms", r.Age.Milliseconds(), "confirmed_ms", r.Confirmed.Milliseconds(), "from_peer", r.FromPeer,
			"used", r.Used, "withheld", r.Withheld, "granted", r.Granted)
	}
}

// incarnationName returns the id of the server with the given incarnation, or "" if it is not
// registered.
func (g *Gateway) incarnationName(incarnation uint64) string {
	for id, s := range g.registry.View().All() {
		if s.Incarnation == incarnation {
			return id
		}
	}
	return ""
}

// runRateLimits sends the messages of the limiter until ctx ends.
func (g *Gateway) runRateLimits(ctx context.Context, conn net.PacketConn) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.limits.limiter.Pending():
		}
		for _, m := range g.limits.limiter.Messages() {
			g.sendRateLimit(conn, &m)
		}
	}
}

func (g *Gateway) sendRateLimit(conn net.PacketConn, m *ratelimit.Message) {
	recipients := []string{m.To}
	if m.To == "" {
		recipients = g.nodes.LoadAddresses()
	}
	u := &figweirv1.LoadUpdate{
		Scope: figweirv1.Scope_SCOPE_RATE_LIMITS, Incarnation: g.limits.incarnation, RateLimits: peer.EncodeRateLimit(time.Now(), m),
	}
	g.sharer.Send(conn, loadshare.Message{Update: u, Recipients: recipients})
}

// receiveRateLimit handles a message of another node.
func (g *Gateway) receiveRateLimit(now time.Time, from net.Addr, u *figweirv1.LoadUpdate) {
	m, ok := peer.DecodeRateLimit(now, u.RateLimits)
	if !ok {
		g.sharer.Malformed.Add(1)
		return
	}
	g.limits.limiter.Receive(now, from.String(), m)
}

// forgetLimits forgets the limits of servers that are no longer registered.
func (g *Gateway) forgetLimits() {
	registered := make(map[uint64]bool)
	for _, s := range g.registry.View().All() {
		registered[s.Incarnation] = true
	}
	g.limits.limiter.Retain(func(server uint64) bool { return registered[server] })
}

// limitReport is the report on one rate limit for operators.
type limitReport struct {
	BackendServer string  `json:"backend_server"`
	PerSecond     float64 `json:"per_s"`
	SinceMs       int64   `json:"since_ms"`
	ConfirmedMs   int64   `json:"confirmed_ms"`
	// FromPeer is true if only other nodes have been told of the limit.
	FromPeer bool   `json:"from_peer"`
	Permits  int    `json:"permits"`
	Used     uint64 `json:"used"`
	Withheld uint64 `json:"withheld"`
	Granted  uint64 `json:"granted"`
}

// listLimits answers an operator with all rate limits in force.
func (g *Gateway) listLimits(w http.ResponseWriter, _ *http.Request) {
	list := []limitReport{}
	for _, r := range g.limits.limiter.Reports(time.Now()) {
		list = append(list, limitReport{
			g.incarnationName(r.Server), r.PerSecond, r.Age.Milliseconds(), r.Confirmed.Milliseconds(), r.FromPeer, r.Permits, r.Used, r.Withheld, r.Granted,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		g.log.V(1).Info("cannot write the list of rate limits", "cause", err.Error())
	}
}
