package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/figweir/figweir/platform/fleet"
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

// Run serves the platform stand-in.
func (c *standinPlatform) Run(env *environment) error {
	var vms []fleet.VM
	if c.VMs != "" {
		if err := readJSON(c.VMs, &vms); err != nil {
			return err
		}
	}
	return serveStandin(env, "platform", c.Listen, platform.New(vms).Handler())
}

type standinEngine struct {
	Listen   string `default:"127.0.0.1:7501" placeholder:"IP:PORT" help:"Address to listen on (${default})."`
	Name     string `default:"engine-1" help:"Name of the engine (${default})."`
	Settings string `type:"path" placeholder:"FILE" help:"Constants of the stand-in, as JSON."`
}

// Run serves an engine stand-in.
func (c *standinEngine) Run(env *environment) error {
	s := engine.DefaultSettings(c.Name)
	if c.Settings != "" {
		if err := readJSON(c.Settings, &s); err != nil {
			return err
		}
	}
	return serveStandin(env, s.Name, c.Listen, engine.New(s).Handler())
}

type standinService struct {
	Listen string `default:"127.0.0.1:7601" placeholder:"IP:PORT" help:"Address to listen on (${default})."`
	Name   string `default:"service-1" help:"Name of the server (${default})."`
}

// Run serves a service stand-in.
func (c *standinService) Run(env *environment) error {
	return serveStandin(env, c.Name, c.Listen, service.New(c.Name, service.NewRuns()).Handler())
}

func readJSON(file string, v any) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

// serveStandin serves until the context ends.
func serveStandin(env *environment, name, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(env.context, func() { _ = server.Close() })
	defer stop()
	fmt.Fprintf(env.err, "stand-in %s listens on %s\n", name, l.Addr())
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
