package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/figweir/figweir/backends"
	"github.com/figweir/figweir/explain"
)

type explainCommand struct {
	Request explainRequest `cmd:"" default:"withargs" help:"Follow one request through the logs of nodes (default)."`
	Choice  explainChoice  `cmd:"" help:"Ask a running node which server a request would get now."`
}

type explainRequest struct {
	Request string   `arg:"" help:"Id of the request, as the caller sent it."`
	Files   []string `arg:"" type:"existingfile" help:"Logs of nodes."`
}

// Help implements kong.HelpProvider.
func (*explainRequest) Help() string {
	return `Prints the lines of one request across the logs of several nodes, in order of time, and the likely cause of its end. Lines that are missing are named.

Example:

    figweir explain 9c41d07be2a35f68 logs/*.log`
}

// Run prints the log lines of the request and the likely cause of its end.
func (c *explainRequest) Run(env *environment) error {
	var lines []explain.Line
	for _, file := range c.Files {
		fileLines, err := readLog(file)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	return explain.NewReport(c.Request, lines).Write(env.stdout)
}

type explainChoice struct {
	Gateway      string `required:"" placeholder:"HOST:PORT" help:"Metrics address of a node on the users' platform."`
	Host         string `help:"Host of the request."`
	Path         string `required:"" help:"Path of the request."`
	Service      string `help:"Service, if the route has several; the first one otherwise."`
	Model        string `help:"Model of the prompt."`
	PromptTokens string `placeholder:"N" help:"Length of the prompt; without it the request has none."`
	OutputTokens string `placeholder:"N" help:"Length of the longest answer."`
	Parts        string `placeholder:"ID:N,..." help:"Parts of the prompt in order."`
	JSON         bool   `name:"json" help:"Print the explanation as JSON."`
}

// Help implements kong.HelpProvider.
func (*explainChoice) Help() string {
	return `Nothing is sent to a server, and no load is counted. Times are in ms.

Example:

    figweir explain choice --gateway 127.0.0.1:7780 --path /draft --model m --prompt-tokens 12000 --parts 12ca:4000,own:8000`
}

// Run prints which server the request would get, and what is known of the others.
func (c *explainChoice) Run(env *environment) error {
	query := url.Values{}
	for name, value := range map[string]string{
		"host": c.Host, "path": c.Path, "service": c.Service, "model": c.Model,
		"prompt_tokens": c.PromptTokens, "output_tokens": c.OutputTokens, "parts": c.Parts,
	} {
		if value != "" {
			query.Set(name, value)
		}
	}
	raw, err := fetchGatewayReport(env.ctx, c.Gateway, "explain?"+query.Encode())
	if err != nil {
		return err
	}
	var e backends.Explanation
	if err := json.Unmarshal(raw, &e); err != nil {
		return fmt.Errorf("could not decode the explanation of %s: %w", c.Gateway, err)
	}
	if c.JSON {
		return json.NewEncoder(env.stdout).Encode(e)
	}
	return writeExplanation(env.stdout, &e)
}

// writeExplanation writes an explanation as a table.
func writeExplanation(w io.Writer, e *backends.Explanation) error {
	switch {
	case e.Refusal != "":
		fmt.Fprintf(w, "%s: refused: %s\n", e.Service, e.Refusal)
	case e.Prefill:
		fmt.Fprintf(w, "%s: prompt at %s, then a decode engine; first event expected after %.0f ms\n", e.Service, e.Server, e.EstimateMillis)
	default:
		fmt.Fprintf(w, "%s: %s; first event expected after %.0f ms (0: unknown)\n", e.Service, e.Server, e.EstimateMillis)
	}
	fmt.Fprintf(w, "up to %.1f requests are drawn for each server that states its speed, so the next choice may differ\n", e.Draw)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVER\tROLE\tDOMAIN\tREQUESTS\tFREE\tSLOWDOWN\tSPEED AGE\tREPORT AGE\tSCORE\tQUEUE\tPROMPT\tPAUSE\tCOST\tUNCACHED\tRULED OUT")
	for _, s := range e.Considered {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.0f\t%.0f\t%.2f\t%d\t%d\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%s\n", s.Server, s.Role, s.FailureDomain, s.Requests, s.FreeSlots,
			s.Slowdown, s.SpeedAgeMillis, s.ReportAgeMillis, s.Score, s.QueueMillis, s.PromptMillis, s.PauseMillis, s.CostMillis, s.UncachedTokens, s.RuledOut)
	}
	return table.Flush()
}

// readLog parses the log file of one node.
func readLog(file string) ([]explain.Line, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	lines, err := explain.Parse(filepath.Base(file), f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return lines, nil
}
