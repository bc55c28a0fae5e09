package cli

import (
	"errors"
	"fmt"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/finding"
	"github.com/figweir/figweir/fleet"
	"github.com/figweir/figweir/questionnaire"
	"github.com/figweir/figweir/settings"
)

type checkCommand struct {
	Settings []string `type:"path" placeholder:"FILE" help:"Settings of a node. This flag and those below can be repeated."`
	Config   []string `type:"path" placeholder:"FILE" help:"Configuration document."`
	Answers  []string `type:"path" placeholder:"FILE" help:"Answers to the questionnaire."`
	VMs      []string `name:"vms" type:"path" placeholder:"FILE" help:"List of VMs for the platform stand-in."`
	Engine   []string `type:"path" placeholder:"FILE" help:"Settings of an engine stand-in."`
	Service  []string `type:"path" placeholder:"FILE" help:"Settings of a service stand-in."`
	Schema   string   `enum:"settings,config,answers," default:"" placeholder:"settings|config|answers" help:"Print the JSON Schema of a kind of file."`
}

// Help implements kong.HelpProvider.
func (*checkCommand) Help() string {
	return `Every problem is reported, one a line, as file, JSON path and message.

Examples:

    figweir check --settings nodes/small-entry-1.json --config config.json
    figweir check --schema config > config.schema.json`
}

// Validate rejects a command line without files and without --schema; kong calls
// it after parsing.
func (c *checkCommand) Validate() error {
	files := len(c.Settings) + len(c.Config) + len(c.Answers) + len(c.VMs) + len(c.Engine) + len(c.Service)
	if files == 0 && c.Schema == "" {
		return errors.New("give at least one file, or --schema")
	}
	return nil
}

// Run checks all files and reports all findings, or prints the JSON Schema.
func (c *checkCommand) Run(env *environment) error {
	switch c.Schema {
	case "settings":
		return printJSON(env, finding.Schema(&settings.Settings{}))
	case "config":
		return printJSON(env, finding.Schema(&config.Document{}))
	case "answers":
		return printJSON(env, finding.Schema(&questionnaire.Answers{}))
	}
	failed := false
	check := func(files []string, parse func(file string, raw []byte) error) {
		for _, file := range files {
			raw, err := readFile(file)
			if err == nil {
				err = parse(file, raw)
			}
			if err != nil {
				fmt.Fprintln(env.stderr, err)
				failed = true
			}
		}
	}
	check(c.Settings, discardResult(settings.Parse))
	check(c.Config, discardResult(config.Parse))
	check(c.Answers, discardResult(questionnaire.Parse))
	check(c.VMs, discardResult(parseVMs))
	check(c.Engine, discardResult(questionnaire.ParseEngineStandin))
	check(c.Service, discardResult(questionnaire.ParseServiceStandin))
	if failed {
		return errReported
	}
	return nil
}

// discardResult converts a parser to a function that returns only the error.
func discardResult[T any](parse func(string, []byte) (T, error)) func(string, []byte) error {
	return func(file string, raw []byte) error {
		_, err := parse(file, raw)
		return err
	}
}

func parseVMs(file string, raw []byte) ([]fleet.VM, error) {
	var vms []fleet.VM
	err := finding.Decode(file, raw, &vms)
	return vms, err
}
