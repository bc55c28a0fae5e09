package cli

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/figweir/figweir/demo"
	"github.com/figweir/figweir/logging"
)

type demoCommand struct {
	Check   bool `help:"Send every kind of request, verify the answers, print counts and exit."`
	Verbose bool `help:"Log what the nodes do."`
}

// The size of the demo deployment.
const (
	demoNodes    = 2
	demoEngines  = 3
	demoServices = 2
)

// Run starts the demo deployment. With --check it verifies the deployment and
// returns; otherwise it runs until the context ends.
func (c *demoCommand) Run(env *environment) error {
	log := logging.New(io.Discard, false)
	if c.Verbose {
		log = logging.New(env.stderr, true)
	}
	d, err := demo.Start(env.ctx, demo.Options{Nodes: demoNodes, Engines: demoEngines, Services: demoServices, Log: log})
	if err != nil {
		return err
	}
	if c.Check {
		return c.runCheck(env, d)
	}
	fmt.Fprintf(env.stdout, "The deployment runs until it is interrupted. Try:\n\ncurl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n",
		d.CallerURL(0), d.Key, demo.Model)
	<-env.ctx.Done()
	return d.Close()
}

// runCheck runs the checks of the deployment, stops it and prints the result as
// JSON.
func (c *demoCommand) runCheck(env *environment, d *demo.Deployment) error {
	result := d.Check(env.ctx)
	if err := d.Close(); err != nil {
		return err
	}
	raw, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintln(env.stdout, string(raw))
	if len(result.Failed) > 0 {
		return errReported
	}
	return nil
}
