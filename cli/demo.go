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

// Run starts the demo deployment.
func (c *demoCommand) Run(env *environment) error {
	log := logging.New(io.Discard, false)
	if c.Verbose {
		log = logging.New(env.err, true)
	}
	d, err := demo.Start(env.context, demo.Options{Nodes: demoNodes, Engines: demoEngines, Services: demoServices, Log: log})
	if err != nil {
		return err
	}
	if c.Check {
		return c.check(env, d)
	}
	fmt.Fprintf(env.out, "The deployment runs until it is interrupted. Try:\n\ncurl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n",
		d.CallerURL(0), d.Key, demo.Model)
	<-env.context.Done()
	return d.Close()
}

func (c *demoCommand) check(env *environment, d *demo.Deployment) error {
	result := d.Check(env.context)
	if err := d.Close(); err != nil {
		return err
	}
	raw, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintln(env.out, string(raw))
	if len(result.Failed) > 0 {
		return errReported
	}
	return nil
}
