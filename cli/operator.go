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

// errNotAccepted means that a change is stored, but not yet in force on more
// than half of the VMs.
var errNotAccepted = errors.New("the change is not accepted yet")

// operatorFlags holds the flags of all commands that call an operator listener.
type operatorFlags struct {
	Operator   string `default:"127.0.0.1:7300" env:"FIGWEIR_OPERATOR" placeholder:"IP:PORT" help:"Operator listener of any node (${default})."`
	SecretFile string `type:"path" placeholder:"FILE" help:"File with the operator secret. Without it the secret is taken from FIGWEIR_OPERATOR_SECRET."`
}

// changeFlags holds the flags of all commands that change the configuration.
type changeFlags struct {
	operatorFlags
	Author          string `env:"FIGWEIR_AUTHOR,USER" default:"unknown" help:"Who makes the change; others see it if they lose a race against it."`
	RequireAccepted bool   `help:"Fail unless the change is accepted, that is in force on more than half of the VMs."`
}

// Validate checks the address of the listener; kong calls it after parsing.
func (f *operatorFlags) Validate() error {
	if address, err := netip.ParseAddrPort(f.Operator); err != nil || address.Port() == 0 {
		return fmt.Errorf("--operator: %q is not an address: use IP:PORT", f.Operator)
	}
	return nil
}

func (f *operatorFlags) client() (*operatorClient, error) {
	secret, err := readSecret(f.SecretFile, "FIGWEIR_OPERATOR_SECRET")
	if err != nil {
		return nil, err
	}
	return newOperatorClient(f.Operator, secret), nil
}

// readSecret reads a secret from a file, or from an environment variable if file
// is empty. Secrets are not accepted as arguments, because other users of the
// machine can read the arguments of a process.
func readSecret(file, variable string) (string, error) {
	if file == "" {
		return os.Getenv(variable), nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	secret := strings.TrimSpace(string(raw))
	if secret == "" {
		return "", fmt.Errorf("%s: the file contains no secret", file)
	}
	return secret, nil
}

// editConfig edits and applies the configuration and prints the state of the
// change.
func (f *changeFlags) editConfig(env *environment, edit documentEdit) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	result, err := client.editConfig(env.ctx, f.Author, edit)
	if err != nil {
		return err
	}
	return f.printOutcome(env, result)
}

// printOutcome prints the state of a change to stderr, so that stdout contains
// only the result of the command. It returns errNotAccepted if the change is not
// accepted but --require-accepted is set.
func (f *changeFlags) printOutcome(env *environment, result operator.ApplyResponse) error {
	if result.State == operator.StateAccepted {
		fmt.Fprintf(env.stderr, "revision %d accepted: in force on more than half of the VMs\n", result.Revision)
		return nil
	}
	fmt.Fprintf(env.stderr, "revision %d %s; not confirmed yet by more than half of the VMs\n", result.Revision, result.State)
	if len(result.Missing) > 0 {
		fmt.Fprintln(env.stderr, "not confirmed by", strings.Join(result.Missing, ", "))
	}
	if f.RequireAccepted {
		return errNotAccepted
	}
	return nil
}

// readConfig reads the configuration for a command that doesn't change it.
func (f *operatorFlags) readConfig(env *environment) (operator.ConfigResponse, error) {
	client, err := f.client()
	if err != nil {
		return operator.ConfigResponse{}, err
	}
	return client.readConfig(env.ctx)
}

// namePattern matches valid names. It must equal namePattern in package config.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func checkName(name string) error {
	if !namePattern.MatchString(name) {
		return fmt.Errorf("%q is not a name: use lower-case letters, digits, '.', '_' and '-', at most 63", name)
	}
	return nil
}

// printTable prints the header and the rows in aligned columns.
func printTable(env *environment, header []string, rows [][]string) error {
	w := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// findWorkspace returns the workspace with this name.
func findWorkspace(d *config.Document, name string) (*config.Workspace, error) {
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == name {
			return &d.Workspaces[i], nil
		}
	}
	return nil, fmt.Errorf("there is no workspace %q", name)
}

// readFile reads a file. If it doesn't exist, the error is shorter than that of
// os.ReadFile.
func readFile(file string) ([]byte, error) {
	raw, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%s: no such file", file)
	}
	return raw, err
}
