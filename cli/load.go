package cli

import (
	"errors"
	"fmt"
	"time"

	"github.com/figweir/figweir/finding"
	"github.com/figweir/figweir/load"
	"github.com/figweir/figweir/questionnaire"
)

// progressInterval is the time between two progress lines.
const progressInterval = 5 * time.Second

type loadCommand struct {
	Scenario string   `required:"" type:"path" placeholder:"FILE" help:"Scenario to play, as JSON."`
	Keys     string   `type:"path" placeholder:"FILE" help:"Keys of workspaces, as \"init\" writes them. They fill in those that the scenario leaves out."`
	Plot     string   `type:"path" placeholder:"FILE" help:"Write requests and good answers a second to this .svg or .png file."`
	Nodes    []string `placeholder:"IP:PORT" help:"Caller listeners of the nodes, separated by commas, in place of those of the scenario."`
	Seed     *uint64  `placeholder:"N" help:"Seed of the arrivals, in place of that of the scenario."`
}

// Help implements kong.HelpProvider.
func (*loadCommand) Help() string {
	return `Requests are sent at their times whether or not earlier ones were answered. The result goes to the output, the progress to the error stream. Refused and failed requests are counted in the result and don't change the exit code; an interrupted run prints what it measured and exits with 1.

Example:

    figweir load --scenario examples/small/scenario.json --keys deployment/keys.json`
}

// Run sends the load of the scenario and prints the result. An interrupted run
// prints what it has measured and returns an error.
func (c *loadCommand) Run(env *environment) error {
	scenario, err := c.loadScenario()
	if err != nil {
		return err
	}
	result, runErr := load.RunWithProgress(env.ctx, scenario, progressInterval, func(p load.Progress) {
		fmt.Fprintf(env.stderr, "%.0f s: sent %d of %d, finished %d\n", p.Elapsed.Seconds(), p.Sent, p.Planned, p.Finished)
	})
	if result == nil {
		return runErr
	}
	if err := printJSON(env, result); err != nil {
		return errors.Join(runErr, err)
	}
	if c.Plot != "" {
		return errors.Join(runErr, result.Plot(c.Plot))
	}
	return runErr
}

// loadScenario reads the scenario and the keys and applies the flags. It reports
// the findings of both files together.
func (c *loadCommand) loadScenario() (*load.Scenario, error) {
	raw, err := readFile(c.Scenario)
	if err != nil {
		return nil, err
	}
	keys, keysErr := c.loadKeys()
	if keysErr != nil && !isFindings(keysErr) {
		return nil, keysErr
	}
	var s load.Scenario
	err = finding.Decode(c.Scenario, raw, &s, func(findings *finding.List) {
		setMissingKeys(&s, keys)
		if len(c.Nodes) > 0 {
			s.Nodes = c.Nodes
		}
		if c.Seed != nil {
			s.Seed = *c.Seed
		}
		s.Validate(findings)
	})
	if err := errors.Join(keysErr, err); err != nil {
		return nil, err
	}
	return &s, nil
}

// isFindings reports whether err contains a *finding.Error.
func isFindings(err error) bool {
	var findings *finding.Error
	return errors.As(err, &findings)
}

// loadKeys reads the file of workspace keys, if one is given.
func (c *loadCommand) loadKeys() ([]questionnaire.GeneratedKey, error) {
	if c.Keys == "" {
		return nil, nil
	}
	raw, err := readFile(c.Keys)
	if err != nil {
		return nil, err
	}
	var keys []questionnaire.GeneratedKey
	if err := finding.Decode(c.Keys, raw, &keys); err != nil {
		return nil, err
	}
	return keys, nil
}

// setMissingKeys sets the key of each workspace that has none to the first of
// its keys in the list.
func setMissingKeys(s *load.Scenario, keys []questionnaire.GeneratedKey) {
	firstKeys := make(map[string]string, len(keys))
	for _, k := range keys {
		if firstKeys[k.Workspace] == "" {
			firstKeys[k.Workspace] = k.Key
		}
	}
	for i := range s.Workspaces {
		if w := &s.Workspaces[i]; w.Key == "" {
			w.Key = firstKeys[w.Name]
		}
	}
}
