package cli

import (
	"errors"
	"fmt"
	"time"

	"github.com/figweir/figweir/finding"
	"github.com/figweir/figweir/load"
	"github.com/figweir/figweir/questionnaire"
)

// progressInterval is the time between two progress lines of a run.
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

// Run plays the scenario and prints the result.
func (c *loadCommand) Run(env *environment) error {
	scenario, err := c.read()
	if err != nil {
		return err
	}
	result, runErr := load.RunWithProgress(env.context, scenario, progressInterval, func(p load.Progress) {
		fmt.Fprintf(env.err, "%.0f s: sent %d of %d, finished %d\n", p.Elapsed.Seconds(), p.Sent, p.Planned, p.Finished)
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

// read returns the scenario with the values of the flags. It reports the
// findings of all files together.
func (c *loadCommand) read() (*load.Scenario, error) {
	raw, err := readFile(c.Scenario)
	if err != nil {
		return nil, err
	}
	keys, keysErr := c.readKeys()
	if keysErr != nil && !isFindings(keysErr) {
		return nil, keysErr
	}
	var s load.Scenario
	err = finding.Decode(c.Scenario, raw, &s, func(findings *finding.List) {
		fillKeys(&s, keys)
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

func isFindings(err error) bool {
	var findings *finding.Error
	return errors.As(err, &findings)
}

func (c *loadCommand) readKeys() ([]questionnaire.GeneratedKey, error) {
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

// fillKeys gives each workspace without a key its first one.
func fillKeys(s *load.Scenario, keys []questionnaire.GeneratedKey) {
	first := make(map[string]string, len(keys))
	for _, k := range keys {
		if first[k.Workspace] == "" {
			first[k.Workspace] = k.Key
		}
	}
	for i := range s.Workspaces {
		if w := &s.Workspaces[i]; w.Key == "" {
			w.Key = first[w.Name]
		}
	}
}
