package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/figweir/figweir/burn"
)

type reportCommand struct {
	Burn       reportBurn       `cmd:"" help:"Service-level burn per workspace and service over several windows."`
	Usage      reportUsage      `cmd:"" help:"Usage per workspace and window."`
	Spend      reportSpend      `cmd:"" help:"Spending on backend servers compared with the service delivered."`
	Blocked    reportBlocked    `cmd:"" help:"Targets to which no order can be sent now, and for how long."`
	Quarantine reportQuarantine `cmd:"" help:"Messages of prompts that are suspected of crashing engines."`
}

type reportFlags struct {
	operatorFlags
	JSON bool `name:"json" help:"Print the report as JSON, as the node sent it."`
}

type reportBurn struct {
	reportFlags
	Gateway string `placeholder:"HOST:PORT" help:"Ask a node on the users' platform, at its metrics address, instead of an operator listener."`
}

type (
	reportUsage      struct{ reportFlags }
	reportSpend      struct{ reportFlags }
	reportBlocked    struct{ reportFlags }
	reportQuarantine struct{ reportFlags }
)

// Help implements kong.HelpProvider.
func (*reportBurn) Help() string {
	return "Examples:\n\n    figweir report burn --operator 127.0.0.1:7300\n    figweir report burn --gateway 127.0.0.1:7780"
}

// Run prints the report on error budget burn, with the worst row first.
func (c *reportBurn) Run(env *environment) error {
	if c.Gateway == "" && c.JSON {
		return c.print(env, "burn")
	}
	raw, address, err := c.fetchReport(env)
	if err != nil {
		return err
	}
	var report burn.Report
	if err := json.Unmarshal(raw, &report); err != nil {
		return fmt.Errorf("could not decode the report of %s: %w", address, err)
	}
	if c.JSON {
		return report.WriteJSON(env.stdout)
	}
	return report.WriteTable(env.stdout)
}

// fetchReport returns the report and the address that it was fetched from.
func (c *reportBurn) fetchReport(env *environment) (raw []byte, address string, err error) {
	if c.Gateway != "" {
		raw, err = fetchGatewayReport(env.ctx, c.Gateway, "burn")
		return raw, c.Gateway, err
	}
	client, err := c.client()
	if err != nil {
		return nil, "", err
	}
	raw, err = client.fetchReport(env.ctx, "burn")
	return raw, client.address, err
}

// gatewayTimeout is the timeout of a request to a node, which in turn queries all
// other nodes.
const gatewayTimeout = 5 * time.Second

// fetchGatewayReport fetches a report from a node on the users' platform.
func fetchGatewayReport(ctx context.Context, address, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, gatewayTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/"+name, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("could not reach the node: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s has no report %q: status %d", address, name, response.StatusCode)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
}

// Run prints the usage report.
func (c *reportUsage) Run(env *environment) error { return c.print(env, "usage") }

// Run prints the report on spending.
func (c *reportSpend) Run(env *environment) error { return c.print(env, "spend") }

// Run prints the report on blocked targets.
func (c *reportBlocked) Run(env *environment) error { return c.print(env, "blocked") }

// Run prints the report on suspected messages.
func (c *reportQuarantine) Run(env *environment) error { return c.print(env, "quarantine") }

// print fetches a report and prints it as tables or, with --json, as JSON.
func (f *reportFlags) print(env *environment, name string) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	raw, err := client.fetchReport(env.ctx, name)
	if err != nil {
		return err
	}
	if f.JSON {
		var b bytes.Buffer
		if err := json.Indent(&b, raw, "", "  "); err != nil {
			return err
		}
		fmt.Fprintln(env.stdout, b.String())
		return nil
	}
	return printReport(env.stdout, raw)
}
