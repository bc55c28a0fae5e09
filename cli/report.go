package cli

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/figweir/figweir/burn"
)

type reportCommand struct {
	Burn    reportBurn    `cmd:"" help:"Service-level burn per workspace and service over several windows."`
	Usage   reportUsage   `cmd:"" help:"Usage per workspace and window."`
	Spend   reportSpend   `cmd:"" help:"Spending on backend servers compared with the service delivered."`
	Blocked reportBlocked `cmd:"" help:"Targets to which no order can be sent now, and for how long."`
}

type reportFlags struct {
	operatorFlags
	JSON bool `name:"json" help:"Print the report as JSON, as the node sent it."`
}

type (
	reportBurn    struct{ reportFlags }
	reportUsage   struct{ reportFlags }
	reportSpend   struct{ reportFlags }
	reportBlocked struct{ reportFlags }
)

// Help implements kong.HelpProvider.
func (*reportBurn) Help() string {
	return "Example:\n\n    figweir report burn --operator 127.0.0.1:7300"
}

// Run prints the report on service-level burn, the worst row first.
func (c *reportBurn) Run(env *environment) error {
	if c.JSON {
		return c.print(env, "burn")
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	raw, err := client.report(env.context, "burn")
	if err != nil {
		return err
	}
	var report burn.Report
	if err := json.Unmarshal(raw, &report); err != nil {
		return fmt.Errorf("the report of %s is not what was expected: %w", client.address, err)
	}
	return report.WriteTable(env.out)
}

// Run prints the usage report.
func (c *reportUsage) Run(env *environment) error { return c.print(env, "usage") }

// Run prints the report on spending.
func (c *reportSpend) Run(env *environment) error { return c.print(env, "spend") }

// Run prints the report on blocked targets.
func (c *reportBlocked) Run(env *environment) error { return c.print(env, "blocked") }

func (f *reportFlags) print(env *environment, name string) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	raw, err := client.report(env.context, name)
	if err != nil {
		return err
	}
	if f.JSON {
		var b bytes.Buffer
		if err := json.Indent(&b, raw, "", "  "); err != nil {
			return err
		}
		fmt.Fprintln(env.out, b.String())
		return nil
	}
	return printTables(env.out, raw)
}
