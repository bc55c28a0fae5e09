package cli

import (
	"github.com/figweir/figweir/logging"
	"github.com/figweir/figweir/node"
	"github.com/figweir/figweir/settings"
)

type nodeCommand struct {
	Settings string `required:"" type:"path" placeholder:"FILE" help:"Settings of the node, as JSON."`
}

// Run runs a node until it gets SIGTERM or SIGINT.
func (c *nodeCommand) Run(env *environment) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	n, err := node.New(s, logging.New(env.err, s.Log.Verbose))
	if err != nil {
		return err
	}
	return n.Run(env.context)
}
