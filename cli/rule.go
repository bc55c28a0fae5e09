package cli

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/figweir/figweir/config"
)

type ruleCommand struct {
	Set    ruleSet    `cmd:"" help:"Set the rule for a pool in a failure domain."`
	Remove ruleRemove `cmd:"" help:"Remove the rule for a pool in a failure domain."`
	List   ruleList   `cmd:"" help:"List the rules."`
}

// ruleKey identifies a rule: there is at most one per pool and failure domain.
type ruleKey struct {
	FailureDomain string `required:"" placeholder:"NAME" help:"Failure domain that the rule is for."`
	Pool          string `required:"" placeholder:"NAME" help:"Pool that the rule is for."`
}

func (k ruleKey) matches(r config.Rule) bool {
	return r.FailureDomain == k.FailureDomain && r.Pool == k.Pool
}

type ruleSet struct {
	changeFlags
	ruleKey
	MinServers     int `default:"0" placeholder:"N" help:"Least number of running servers (${default})."`
	MaxServers     int `required:"" placeholder:"N" help:"Most running servers."`
	MaxReclaimable int `default:"0" placeholder:"N" help:"How many of them may be reclaimable (${default})."`
	MinPrefill     int `default:"0" placeholder:"N" help:"Least number of engines in the prefill role (${default})."`
	MinDecode      int `default:"0" placeholder:"N" help:"Least number of engines in the decode role (${default})."`
}

// Help implements kong.HelpProvider.
func (*ruleSet) Help() string {
	return `The rule replaces the one that the pool has in the failure domain, if any: what is not given takes the default.

Example:

    figweir rule set --failure-domain keflavik --pool saumur-lm --min-servers 2 --max-servers 8`
}

// Run adds the rule or replaces the existing one.
func (c *ruleSet) Run(env *environment) error {
	return c.editConfig(env, func(d *config.Document) error {
		if err := checkName(c.FailureDomain); err != nil {
			return fmt.Errorf("--failure-domain: %w", err)
		}
		rule := config.Rule{
			FailureDomain: c.FailureDomain, Pool: c.Pool, MinServers: c.MinServers, MaxServers: c.MaxServers,
			MaxReclaimable: c.MaxReclaimable, MinPrefill: c.MinPrefill, MinDecode: c.MinDecode,
		}
		if i := slices.IndexFunc(d.Rules, c.matches); i >= 0 {
			d.Rules[i] = rule
			return nil
		}
		d.Rules = append(d.Rules, rule)
		return nil
	})
}

type ruleRemove struct {
	changeFlags
	ruleKey
}

// Run removes the rule.
func (c *ruleRemove) Run(env *environment) error {
	return c.editConfig(env, func(d *config.Document) error {
		oldCount := len(d.Rules)
		d.Rules = slices.DeleteFunc(d.Rules, c.matches)
		if len(d.Rules) == oldCount {
			return fmt.Errorf("there is no rule for pool %q in failure domain %q", c.Pool, c.FailureDomain)
		}
		return nil
	})
}

type ruleList struct {
	operatorFlags
}

// Run lists the rules.
func (c *ruleList) Run(env *environment) error {
	current, err := c.readConfig(env)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, r := range current.Document.Rules {
		row := []string{r.FailureDomain, r.Pool}
		for _, n := range []int{r.MinServers, r.MaxServers, r.MaxReclaimable, r.MinPrefill, r.MinDecode} {
			row = append(row, strconv.Itoa(n))
		}
		rows = append(rows, row)
	}
	return printTable(env, []string{"FAILURE DOMAIN", "POOL", "MIN", "MAX", "MAX RECLAIMABLE", "MIN PREFILL", "MIN DECODE"}, rows)
}
