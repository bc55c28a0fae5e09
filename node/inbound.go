package node

import (
	"expvar"
	"time"

	"golang.org/x/time/rate"

	"github.com/figweir/figweir/inbound"
	"github.com/figweir/figweir/membudget"
	"github.com/figweir/figweir/settings"
)

// inboundLogInterval is the least time between two log lines about limits on what clients send.
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
