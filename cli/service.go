package cli

import (
	"fmt"
	"slices"
	"strings"

	"github.com/figweir/figweir/config"
)

type serviceCommand struct {
	Add    serviceAdd    `cmd:"" help:"Add a service over a pool of backend servers."`
	Remove serviceRemove `cmd:"" help:"Remove a service. Its pool stays."`
	List   serviceList   `cmd:"" help:"List the services."`
}

type serviceAdd struct {
	changeFlags
	Name       string   `arg:"" help:"Name of the service, the first part of the path of its calls."`
	Pool       string   `required:"" help:"Pool of kind service that serves the calls."`
	Timeout    float64  `default:"10" placeholder:"SECONDS" help:"Longest time that one call may take, in seconds (${default})."`
	Idempotent []string `placeholder:"METHOD" help:"HTTP method that may be retried; repeat the flag for more. All other calls are sent at most once."`
	Open       bool     `help:"Let calls through without a key."`
}

// Help implements kong.HelpProvider.
func (*serviceAdd) Help() string {
	return "Example:\n\n    figweir service add pantanir --pool pantanir --timeout 5 --idempotent GET"
}

// Run adds the service.
func (c *serviceAdd) Run(env *environment) error {
	return c.editConfig(env, func(d *config.Document) error {
		if slices.ContainsFunc(d.Services, func(s config.Service) bool { return s.Name == c.Name }) {
			return fmt.Errorf("there is a service %q already", c.Name)
		}
		d.Services = append(d.Services, config.Service{
			Name: c.Name, Pool: c.Pool, Open: c.Open, IdempotentMethods: c.Idempotent, TimeoutSeconds: c.Timeout,
		})
		return nil
	})
}

type serviceRemove struct {
	changeFlags
	Name string `arg:"" help:"Name of the service."`
}

// Run removes the service. The node rejects the change if a workspace still
// lists the service.
func (c *serviceRemove) Run(env *environment) error {
	return c.editConfig(env, func(d *config.Document) error {
		oldCount := len(d.Services)
		d.Services = slices.DeleteFunc(d.Services, func(s config.Service) bool { return s.Name == c.Name })
		if len(d.Services) == oldCount {
			return fmt.Errorf("there is no service %q", c.Name)
		}
		return nil
	})
}

type serviceList struct {
	operatorFlags
}

// Run lists the services.
func (c *serviceList) Run(env *environment) error {
	current, err := c.readConfig(env)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, s := range current.Document.Services {
		access := "key"
		if s.Open {
			access = "open"
		}
		methods := "none"
		if len(s.IdempotentMethods) > 0 {
			methods = strings.Join(s.IdempotentMethods, ",")
		}
		rows = append(rows, []string{s.Name, s.Pool, access, methods, formatFloat(s.TimeoutSeconds)})
	}
	return printTable(env, []string{"SERVICE", "POOL", "ACCESS", "IDEMPOTENT", "TIMEOUT (s)"}, rows)
}
