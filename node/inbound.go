package node

import (
	"expvar"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/inbound"
	"github.com/figweir/figweir/membudget"
	"github.com/figweir/figweir/settings"
)

// inboundLogInterval is the least time between two log lines of a kind about what clients send.
const inboundLogInterval = time.Second

// inboundOptions returns the options of the handlers for peers and operators.
func (n *Node) inboundOptions() inbound.Options {
	return inbound.Options{
		BodyTimeout:  settings.SecondsToDuration(n.settings.Limits.BodyTimeoutSeconds),
		WriteTimeout: settings.SecondsToDuration(n.settings.Limits.WriteTimeoutSeconds),
	}
}

// newInbound returns the account of what clients send on all listeners of the node, and publishes its
// figures.
func newInbound(n *Node) *membudget.Inbound {
	limits := n.settings.Limits
	closed := new(expvar.Map).Init()
	lines := rate.Sometimes{Interval: inboundLogInterval}
	maxConnections := min(limits.MaxConnections, inbound.MaxConnections(inbound.DescriptorLimit(0)))
	account := inbound.MemoryMB(limits.MemoryMB).NewAccount(maxConnections, func(what string) {
		closed.Add(what, 1)
		lines.Do(func() { n.log.Info("limit on data or connections of clients reached", "event", what) })
	})
	n.metrics.Publish("inbound_limits_total", closed)
	n.metrics.Publish("inbound_bytes", expvar.Func(func() any { return account.Stats().UsedBytes }))
	n.metrics.Publish("connections", expvar.Func(func() any { return account.Stats().Connections }))
	n.metrics.Publish("connections_limit", expvar.Func(func() any { return account.Stats().MaxConnections }))
	return account
}

// newUnsoundRefusals publishes the number of requests that are refused because their framing is not sound,
// and returns the refusal of each listener.
func newUnsoundRefusals(n *Node) func(listener string) inbound.Refusal {
	refused := new(expvar.Map).Init()
	n.metrics.Publish("unsound_requests_total", refused)
	lines := rate.Sometimes{Interval: inboundLogInterval}
	return func(listener string) inbound.Refusal {
		return func(w http.ResponseWriter, _ *http.Request, cause error) {
			refused.Add(listener, 1)
			lines.Do(func() { n.log.Info("request rejected", "listener", listener, "cause", cause.Error()) })
			apierr.Write(w, apierr.Wrap(cause, apierr.BadRequest, cause.Error(), apierr.NotRun()))
		}
	}
}
