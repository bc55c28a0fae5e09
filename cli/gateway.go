package cli

import (
	"os"

	"github.com/figweir/figweir/gateway"
	"github.com/figweir/figweir/logging"
	"github.com/figweir/figweir/platform"
)

type gatewayCommand struct {
	Settings string `type:"path" env:"FIGWEIR_NODE_FILE" placeholder:"FILE" required:"" help:"Settings of the node, as the platform renders deploy/settings.json."`
}

// Help implements kong.HelpProvider.
func (*gatewayCommand) Help() string {
	return `Runs a node on the users' platform. SIGTERM stops it as planned within the grace period of the settings; SIGHUP reads the settings again.`
}

// Run runs the node until the context ends, on SIGTERM or SIGINT.
func (c *gatewayCommand) Run(env *environment) error {
	s, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	out := logging.NewAsyncWriter(os.Stdout)
	defer out.Close()
	return gateway.New(c.Settings, s, out).Run(env.ctx)
}
