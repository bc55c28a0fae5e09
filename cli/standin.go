package cli

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/figweir/figweir/fleet"
	"github.com/figweir/figweir/questionnaire"
	"github.com/figweir/figweir/standin/engine"
	"github.com/figweir/figweir/standin/platform"
	"github.com/figweir/figweir/standin/service"
)

type standinCommand struct {
	Platform standinPlatform `cmd:"" help:"Run the platform stand-in: key-value service, VM list, orders, usage reports."`
	Engine   standinEngine   `cmd:"" help:"Run an engine stand-in."`
	Service  standinService  `cmd:"" help:"Run a stand-in for a plain service."`
}

type standinPlatform struct {
	Listen string `default:"127.0.0.1:7400" placeholder:"IP:PORT" help:"Address to listen on (${default})."`
	VMs    string `name:"vms" type:"path" placeholder:"FILE" help:"List of VMs, as JSON."`
}

// Help implements kong.HelpProvider.
func (*standinPlatform) Help() string {
	return "Everything is kept in memory only.\n\nExample:\n\n    figweir standin platform --listen 127.0.0.1:23000 --vms vms.json"
}

// Run serves the platform stand-in.
func (c *standinPlatform) Run(env *environment) error {
	var vms []fleet.VM
	if c.VMs != "" {
		raw, err := readFile(c.VMs)
		if err != nil {
			return err
		}
		if vms, err = parseVMs(c.VMs, raw); err != nil {
			return err
		}
	}
	return serveStandin(env, "platform", c.Listen, platform.New(vms).Handler())
}

// Defaults for stand-ins without the corresponding flag or setting.
const (
	defaultEngineListen  = "127.0.0.1:7501"
	defaultEngineName    = "engine-1"
	defaultServiceListen = "127.0.0.1:7601"
	defaultServiceName   = "service-1"
)

type standinEngine struct {
	Listen   string `placeholder:"IP:PORT" help:"Address to listen on. It goes before that of the settings; without both it is 127.0.0.1:7501."`
	Name     string `help:"Name of the engine. It goes before that of the settings; without both it is engine-1."`
	Settings string `type:"path" placeholder:"FILE" help:"Settings of the stand-in, as JSON."`
}

// Help implements kong.HelpProvider.
func (*standinEngine) Help() string {
	return "Example:\n\n    figweir standin engine --settings engines/drafts-1.json"
}

// Run serves an engine stand-in.
func (c *standinEngine) Run(env *environment) error {
	s := questionnaire.EngineStandinSettings{Settings: engine.DefaultSettings(defaultEngineName)}
	if c.Settings != "" {
		raw, err := readFile(c.Settings)
		if err != nil {
			return err
		}
		if s, err = questionnaire.ParseEngineStandin(c.Settings, raw); err != nil {
			return err
		}
	}
	s.Name = cmp.Or(c.Name, s.Name)
	return serveStandin(env, s.Name, cmp.Or(c.Listen, s.Listen, defaultEngineListen), engine.New(s.Settings).Handler())
}

type standinService struct {
	Listen   string `placeholder:"IP:PORT" help:"Address to listen on. It goes before that of the settings; without both it is 127.0.0.1:7601."`
	Name     string `help:"Name of the server. It goes before that of the settings; without both it is service-1."`
	Settings string `type:"path" placeholder:"FILE" help:"Settings of the stand-in, as JSON."`
}

// Help implements kong.HelpProvider.
func (*standinService) Help() string {
	return "Example:\n\n    figweir standin service --settings services/ledger-1.json"
}

// Run serves a service stand-in.
func (c *standinService) Run(env *environment) error {
	s := questionnaire.ServiceStandinSettings{Name: defaultServiceName}
	if c.Settings != "" {
		raw, err := readFile(c.Settings)
		if err != nil {
			return err
		}
		if s, err = questionnaire.ParseServiceStandin(c.Settings, raw); err != nil {
			return err
		}
	}
	name := cmp.Or(c.Name, s.Name)
	return serveStandin(env, name, cmp.Or(c.Listen, s.Listen, defaultServiceListen), service.New(name, service.NewRuns()).Handler())
}

// serveStandin serves HTTP requests until the context ends.
func serveStandin(env *environment, name, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(env.ctx, func() { _ = server.Close() })
	defer stop()
	fmt.Fprintf(env.stderr, "stand-in %s listens on %s\n", name, l.Addr())
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
