package cli

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/figweir/figweir/config"
)

type workspaceCommand struct {
	Add    workspaceAdd    `cmd:"" help:"Add a workspace."`
	Remove workspaceRemove `cmd:"" help:"Remove a workspace with its keys."`
	List   workspaceList   `cmd:"" help:"List the workspaces."`
}

type workspaceAdd struct {
	changeFlags
	Name    string   `arg:"" help:"Name of the workspace."`
	Weight  float64  `default:"1" help:"Share of the fleet relative to other workspaces (${default})."`
	Service []string `placeholder:"NAME" help:"Service that the workspace may call; repeat the flag for more. Without it the workspace may call all services."`
}

// Help implements kong.HelpProvider.
func (*workspaceAdd) Help() string {
	return "Example:\n\n    figweir workspace add order-desk --weight 4 --service pantanir"
}

// Run adds the workspace.
func (c *workspaceAdd) Run(env *environment) error {
	return c.editConfig(env, func(d *config.Document) error {
		if _, err := findWorkspace(d, c.Name); err == nil {
			return fmt.Errorf("there is a workspace %q already", c.Name)
		}
		d.Workspaces = append(d.Workspaces, config.Workspace{Name: c.Name, Weight: c.Weight, Services: c.Service})
		return nil
	})
}

type workspaceRemove struct {
	changeFlags
	Name string `arg:"" help:"Name of the workspace."`
}

// Run removes the workspace and its keys.
func (c *workspaceRemove) Run(env *environment) error {
	return c.editConfig(env, func(d *config.Document) error {
		if _, err := findWorkspace(d, c.Name); err != nil {
			return err
		}
		d.Workspaces = slices.DeleteFunc(d.Workspaces, func(w config.Workspace) bool { return w.Name == c.Name })
		return nil
	})
}

type workspaceList struct {
	operatorFlags
}

// Run lists the workspaces.
func (c *workspaceList) Run(env *environment) error {
	current, err := c.readConfig(env)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, w := range current.Document.Workspaces {
		services := "all"
		if len(w.Services) > 0 {
			services = strings.Join(w.Services, ",")
		}
		valid := 0
		for _, k := range w.Keys {
			if !k.Withdrawn {
				valid++
			}
		}
		rows = append(rows, []string{w.Name, formatFloat(w.Weight), strconv.Itoa(valid), services})
	}
	return printTable(env, []string{"WORKSPACE", "WEIGHT", "VALID KEYS", "SERVICES"}, rows)
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
