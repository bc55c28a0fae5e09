package cli

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/figweir/figweir/questionnaire"
)

type initCommand struct {
	Questions bool   `xor:"what" required:"" help:"Print all questions as JSON, each with meaning, unit, default and bounds."`
	Answers   string `xor:"what" required:"" type:"path" placeholder:"FILE" help:"Answers, as JSON."`
	Out       string `type:"path" placeholder:"DIR" help:"Directory to write to."`
	Force     bool   `help:"Overwrite files. Keys and secrets are made anew, so the old ones stop working. Files that the new deployment does not have stay."`
}

// Help implements kong.HelpProvider.
func (*initCommand) Help() string {
	return `Writes into DIR: config.json for "apply", nodes/NAME.json for "node", vms.json, engines/NAME.json and services/NAME.json for the stand-ins, and, readable by their owner only, keys.json with the workspace keys, operator.secret and key_digest.secret.

Examples:

    figweir init --questions
    figweir init --answers examples/small/answers.json --out deployment`
}

// errMissingOut means that --answers was given without --out.
var errMissingOut = errors.New("--answers needs --out DIR")

// Validate checks the combination of the flags; kong calls it after parsing.
func (c *initCommand) Validate() error {
	if c.Answers != "" && c.Out == "" {
		return errMissingOut
	}
	return nil
}

// Run prints the questions or generates a deployment.
func (c *initCommand) Run(env *environment) error {
	if c.Questions {
		return printJSON(env, questionnaire.Questions())
	}
	raw, err := readFile(c.Answers)
	if err != nil {
		return err
	}
	answers, err := questionnaire.Parse(c.Answers, raw)
	if err != nil {
		return err
	}
	files, err := questionnaire.Generate(answers).Files()
	if err != nil {
		return err
	}
	err = questionnaire.WriteFiles(c.Out, files, c.Force)
	var exists *questionnaire.FilesExistError
	if errors.As(err, &exists) {
		return fmt.Errorf("%w; use --force to overwrite them", err)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(env.stdout, "wrote %d files to %s\n", len(files), c.Out)
	return nil
}

// printJSON prints v as indented JSON.
func printJSON(env *environment, v any) error {
	encoder := json.NewEncoder(env.stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
