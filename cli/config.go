package cli

import (
	"fmt"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/operator"
	"github.com/figweir/figweir/store"
)

type getCommand struct {
	operatorFlags
}

// Help implements kong.HelpProvider.
func (*getCommand) Help() string {
	return `The document goes to the output and its revision to the error stream. Pass the revision to "apply --base" after an edit.

Example:

    figweir get > config.json
    figweir apply --config config.json --base 12`
}

// Run prints the configuration to stdout and its revision to stderr.
func (c *getCommand) Run(env *environment) error {
	current, err := c.readConfig(env)
	if err != nil {
		return err
	}
	raw, err := config.Format(current.Document)
	if err != nil {
		return err
	}
	fmt.Fprintln(env.stderr, describeRevision(current.Revision, current.Author))
	_, err = env.stdout.Write(raw)
	return err
}

type applyCommand struct {
	changeFlags
	Config string         `required:"" type:"path" placeholder:"FILE" help:"Configuration document, as JSON."`
	Base   store.Revision `placeholder:"REVISION" help:"Revision that FILE was made from, as printed by get. Leave it out for the first configuration."`
}

// Help implements kong.HelpProvider.
func (*applyCommand) Help() string {
	return `FILE replaces the whole configuration. The change is applied only if the current revision is still --base; otherwise the command says which revision won and who wrote it, and changes nothing.

Examples:

    figweir apply --config config.json
    figweir apply --config config.json --base 12`
}

// Run validates the document locally and applies it if the current revision is
// still the base.
func (c *applyCommand) Run(env *environment) error {
	raw, err := readFile(c.Config)
	if err != nil {
		return err
	}
	document, err := config.Parse(c.Config, raw)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	current, err := client.readConfig(env.ctx)
	if err != nil {
		return err
	}
	if current.Revision != c.Base {
		return fmt.Errorf("%s is current, and FILE was made from revision %d; get the configuration again and repeat the change",
			describeRevision(current.Revision, current.Author), c.Base)
	}
	result, err := client.applyConfig(env.ctx, operator.ApplyRequest{Base: c.Base, Author: c.Author, Document: document})
	if err != nil {
		return err
	}
	return c.printOutcome(env, result)
}
