package cli

import (
	"fmt"

	"github.com/figweir/figweir/config"
)

type drainCommand struct {
	Server drainServer `cmd:"" help:"Give a backend server no new work; running work goes on to its end."`
}

type undrainCommand struct {
	Server undrainServer `cmd:"" help:"Give a drained backend server new work again."`
}

type drainServer struct {
	changeFlags
	Name string `arg:"" help:"Name of the backend server."`
}

// Help implements kong.HelpProvider.
func (*drainServer) Help() string { return "Example:\n\n    figweir drain server saumur-lm-3" }

// Run marks the backend server as draining.
func (c *drainServer) Run(env *environment) error {
	return c.editConfig(env, func(d *config.Document) error { return setDraining(d, c.Name, true) })
}

type undrainServer struct {
	changeFlags
	Name string `arg:"" help:"Name of the backend server."`
}

// Help implements kong.HelpProvider.
func (*undrainServer) Help() string { return "Example:\n\n    figweir undrain server saumur-lm-3" }

// Run removes the draining mark of the backend server.
func (c *undrainServer) Run(env *environment) error {
	return c.editConfig(env, func(d *config.Document) error { return setDraining(d, c.Name, false) })
}

// setDraining sets the draining mark of a backend server. It is an error if the
// server doesn't exist or already has this state.
func setDraining(d *config.Document, name string, draining bool) error {
	for i := range d.BackendServers {
		server := &d.BackendServers[i]
		if server.Name != name {
			continue
		}
		if server.Draining == draining {
			return fmt.Errorf("backend server %q is in this state already; nothing was changed", name)
		}
		server.Draining = draining
		return nil
	}
	return fmt.Errorf("there is no backend server %q", name)
}
