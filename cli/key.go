package cli

import (
	"errors"
	"fmt"

	"github.com/figweir/figweir/config"
)

type keyCommand struct {
	Add      keyAdd      `cmd:"" help:"Add a key to a workspace and print it once."`
	Withdraw keyWithdraw `cmd:"" help:"Withdraw a key. It stops working within seconds, also on open connections."`
	List     keyList     `cmd:"" help:"List the keys by their ids."`
}

type keyAdd struct {
	changeFlags
	KeySecretFile string `type:"path" placeholder:"FILE" help:"File with the secret that keys the digests. Without it the secret is taken from FIGWEIR_KEY_DIGEST_SECRET."`
	Workspace     string `arg:"" help:"Workspace that the key belongs to."`
	ID            string `name:"id" placeholder:"ID" help:"Id of the key. Without it the next free one is used: WORKSPACE-1, WORKSPACE-2 and so on."`
}

// Help implements kong.HelpProvider.
func (*keyAdd) Help() string {
	return `The key is made here and printed once, to the output. Only its digest, keyed with the secret "key_digest" of the nodes' settings, is sent and stored.

Example:

    figweir key add north --key-secret-file key_digest.secret`
}

// Run generates the key, stores its digest and then prints the key. If it is
// unknown whether the digest was stored, the key is not printed.
func (c *keyAdd) Run(env *environment) error {
	secret, err := readSecret(c.KeySecretFile, "FIGWEIR_KEY_DIGEST_SECRET")
	if err != nil {
		return err
	}
	if secret == "" {
		return errors.New("the key digest secret is required: set FIGWEIR_KEY_DIGEST_SECRET or --key-secret-file")
	}
	var key string
	var record config.Key
	err = c.editConfig(env, func(d *config.Document) error {
		workspace, err := findWorkspace(d, c.Workspace)
		if err != nil {
			return err
		}
		id := c.ID
		if id == "" {
			id = nextKeyID(d, c.Workspace)
		}
		if err := checkName(id); err != nil {
			return err
		}
		if findKey(d, id) != nil {
			return fmt.Errorf("there is a key %q already", id)
		}
		key, record = config.NewKey(id, []byte(secret))
		workspace.Keys = append(workspace.Keys, record)
		return nil
	})
	if errors.Is(err, errOutcomeUnknown) {
		return fmt.Errorf("%w; if key %q was stored, withdraw it, because the key was not printed", err, record.ID)
	}
	if err != nil && key == "" {
		return err
	}
	if stored := err == nil || errors.Is(err, errNotAccepted); stored {
		fmt.Fprintln(env.stdout, key)
	}
	return err
}

// nextKeyID returns the first unused key id of the form WORKSPACE-N.
func nextKeyID(d *config.Document, workspace string) string {
	for n := 1; ; n++ {
		id := fmt.Sprintf("%s-%d", workspace, n)
		if findKey(d, id) == nil {
			return id
		}
	}
}

// findKey returns the key with this id, or nil.
func findKey(d *config.Document, id string) *config.Key {
	for i := range d.Workspaces {
		for j := range d.Workspaces[i].Keys {
			if d.Workspaces[i].Keys[j].ID == id {
				return &d.Workspaces[i].Keys[j]
			}
		}
	}
	return nil
}

type keyWithdraw struct {
	changeFlags
	ID string `arg:"" help:"Id of the key, as listed; not the key itself."`
}

// Help implements kong.HelpProvider.
func (*keyWithdraw) Help() string {
	return "Example:\n\n    figweir key withdraw north-1 --require-accepted"
}

// Run withdraws the key.
func (c *keyWithdraw) Run(env *environment) error {
	return c.editConfig(env, func(d *config.Document) error {
		key := findKey(d, c.ID)
		if key == nil {
			return errors.New("there is no key with this id")
		}
		if key.Withdrawn {
			return fmt.Errorf("key %q is withdrawn already", c.ID)
		}
		key.Withdrawn = true
		return nil
	})
}

type keyList struct {
	operatorFlags
	Workspace string `arg:"" optional:"" help:"Only the keys of this workspace."`
}

// Run lists the keys.
func (c *keyList) Run(env *environment) error {
	current, err := c.readConfig(env)
	if err != nil {
		return err
	}
	if c.Workspace != "" {
		if _, err := findWorkspace(current.Document, c.Workspace); err != nil {
			return err
		}
	}
	var rows [][]string
	for _, w := range current.Document.Workspaces {
		for _, k := range w.Keys {
			state := "valid"
			if k.Withdrawn {
				state = "withdrawn"
			}
			if c.Workspace == "" || c.Workspace == w.Name {
				rows = append(rows, []string{w.Name, k.ID, state})
			}
		}
	}
	return printTable(env, []string{"WORKSPACE", "KEY ID", "STATE"}, rows)
}
