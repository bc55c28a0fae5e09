package cli

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"text/tabwriter"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/operator"
)

// errNotAccepted means that a change is stored but not accepted.
var errNotAccepted = errors.New("the change is not accepted yet")

// operatorFlags are the flags of all commands that call an operator listener.
type operatorFlags struct {
	Operator   string `default:"127.0.0.1:7300" env:"FIGWEIR_OPERATOR" placeholder:"IP:PORT" help:"Operator listener of any node (${default})."`
	SecretFile string `type:"path" placeholder:"FILE" help:"File with the operator secret. Without it the secret is taken from FIGWEIR_OPERATOR_SECRET."`
}

// changeFlags are the flags of all commands that change the configuration.
type changeFlags struct {
	operatorFlags
	Author          string `env:"FIGWEIR_AUTHOR,USER" default:"unknown" help:"Who makes the change; others see it if they lose a race against it."`
	RequireAccepted bool   `help:"Fail unless the change is accepted, that is in force on more than half of the VMs."`
}

// Validate checks the address; kong calls it after parsing.
func (f *operatorFlags) Validate() error {
	if address, err := netip.ParseAddrPort(f.Operator); err != nil || address.Port() == 0 {
		return fmt.Errorf("--operator: %q is not an address: use IP:PORT", f.Operator)
	}
	return nil
}

func (f *operatorFlags) client() (*operatorClient, error) {
	secret, err := secretFrom(f.SecretFile, "FIGWEIR_OPERATOR_SECRET")
	if err != nil {
		return nil, err
	}
	return newOperatorClient(f.Operator, secret), nil
}

// secretFrom reads a secret from a file, or from an environment variable if no
// file is given. Secrets are not taken as arguments, because other users of the
// machine can read those.
func secretFrom(file, variable string) (string, error) {
	if file == "" {
		return os.Getenv(variable), nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	secret := strings.TrimSpace(string(raw))
	if secret == "" {
		return "", fmt.Errorf("%s: holds no secret", file)
	}
	return secret, nil
}

// edit makes a change and prints how far it has come.
func (f *changeFlags) edit(env *environment, change change) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	result, err := client.edit(env.context, f.Author, change)
	if err != nil {
		return err
	}
	return f.report(env, result)
}

// report prints the state of a change. It goes to the error stream, so that
// the output holds only what the command was asked for.
func (f *changeFlags) report(env *environment, result operator.ApplyResponse) error {
	if result.State == operator.StateAccepted {
		fmt.Fprintf(env.err, "revision %d accepted: in force on more than half of the VMs\n", result.Revision)
		return nil
	}
	fmt.Fprintf(env.err, "revision %d %s; not confirmed yet by more than half of the VMs\n", result.Revision, result.State)
	if len(result.Missing) > 0 {
		fmt.Fprintln(env.err, "not confirmed by", strings.Join(result.Missing, ", "))
	}
	if f.RequireAccepted {
		return errNotAccepted
	}
	return nil
}

// read reads the configuration for a command that only shows it.
func (f *operatorFlags) read(env *environment) (operator.ConfigResponse, error) {
	client, err := f.client()
	if err != nil {
		return operator.ConfigResponse{}, err
	}
	return client.readConfig(env.context)
}

// namePattern is what new names must look like; config.Validate has the same.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func checkName(name string) error {
	if !namePattern.MatchString(name) {
		return fmt.Errorf("%q is not a name: use lower-case letters, digits, '.', '_' and '-', at most 63", name)
	}
	return nil
}

// table prints rows in columns.
func table(env *environment, header []string, rows [][]string) error {
	w := tabwriter.NewWriter(env.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func findWorkspace(d *config.Document, name string) (*config.Workspace, error) {
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == name {
			return &d.Workspaces[i], nil
		}
	}
	return nil, fmt.Errorf("there is no workspace %q", name)
}

// readFile reads a file and gives a short error if it is missing.
func readFile(file string) ([]byte, error) {
	raw, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%s: no such file", file)
	}
	return raw, err
}
