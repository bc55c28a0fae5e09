package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/figweir/figweir/quarantine"
)

type quarantineCommand struct {
	List quarantineList `cmd:"" help:"List the prompt parts that are suspected of crashing backend servers."`
	Lift quarantineLift `cmd:"" help:"Let requests with a prompt part be sent again, on all nodes."`
}

type quarantineFlags struct {
	Gateway string `required:"" placeholder:"HOST:PORT" help:"Metrics address of a node on the users' platform."`
}

type quarantineList struct {
	quarantineFlags
	JSON bool `name:"json" help:"Print the list as JSON."`
}

type quarantineLift struct {
	quarantineFlags
	Part string `arg:"" help:"Id of the prompt part."`
}

// Run prints the suspected parts that a node knows.
func (c *quarantineList) Run(env *environment) error {
	raw, err := fetchGatewayReport(env.ctx, c.Gateway, "quarantine")
	if err != nil {
		return err
	}
	var reports []quarantine.Report
	if err := json.Unmarshal(raw, &reports); err != nil {
		return fmt.Errorf("could not decode the list of %s: %w", c.Gateway, err)
	}
	if c.JSON {
		return json.NewEncoder(env.stdout).Encode(reports)
	}
	return quarantine.WriteReports(env.stdout, reports)
}

// Help implements kong.HelpProvider.
func (*quarantineLift) Help() string {
	return "The node tells the others. The part is suspected again if it crashes servers again.\n\n" +
		"Example:\n\n    figweir quarantine lift 12ca9047f126 --gateway 127.0.0.1:7780"
}

// liftTimeout is the timeout of a call to one node.
const liftTimeout = 5 * time.Second

// Run lifts the suspicion of a part.
func (c *quarantineLift) Run(env *environment) error {
	request, err := http.NewRequestWithContext(env.ctx, http.MethodDelete, "http://"+c.Gateway+"/quarantine/"+url.PathEscape(c.Part), nil)
	if err != nil {
		return err
	}
	response, err := (&http.Client{Timeout: liftTimeout}).Do(request)
	if err != nil {
		return fmt.Errorf("could not reach the node: %w", err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusNoContent:
		fmt.Fprintf(env.stdout, "%s is no longer suspected\n", c.Part)
		return nil
	case http.StatusNotFound:
		return fmt.Errorf("%s does not suspect part %q", c.Gateway, c.Part)
	default:
		return fmt.Errorf("%s answered status %d", c.Gateway, response.StatusCode)
	}
}
