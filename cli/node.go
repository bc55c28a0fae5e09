package cli

import (
	"runtime/debug"

	"github.com/figweir/figweir/inbound"
	"github.com/figweir/figweir/logging"
	"github.com/figweir/figweir/node"
	"github.com/figweir/figweir/settings"
)

type nodeCommand struct {
	Settings string `required:"" type:"path" placeholder:"FILE" help:"Settings of the node, as JSON."`
}

// Help implements kong.HelpProvider.
func (*nodeCommand) Help() string {
	return `SIGTERM and SIGINT stop the node as planned: it takes no new requests and lets the running answers go on to their end, at most for limits.stop_timeout_s. Exit code 0 means that none was cut.

Example:

    figweir node --settings nodes/small-entry-1.json`
}

// Run runs the node until the context ends, on SIGTERM or SIGINT.
func (c *nodeCommand) Run(env *environment) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(inbound.MemoryMB(s.Limits.MemoryMB).HeapBytes())
	n, err := node.New(s, logging.New(env.stderr, s.Log.Verbose))
	if err != nil {
		return err
	}
	return n.Run(env.ctx)
}
