// Package cli implements the command-line interface of figweir.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes returned by Main.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means that the command failed or reported findings.
	ExitFailure = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
)

// errReported means that a command failed and has already printed the reason.
var errReported = errors.New("already reported")

// environment holds the context and the output streams of a command. Tests
// replace them.
type environment struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

// commands is the root of kong's command tree.
type commands struct {
	Node       nodeCommand       `cmd:"" help:"Run a node until it is told to stop."`
	Gateway    gatewayCommand    `cmd:"" help:"Run a node on the users' platform."`
	Init       initCommand       `cmd:"" help:"Print the questionnaire, or generate a deployment from its answers."`
	Check      checkCommand      `cmd:"" help:"Check files and report every finding, or print a JSON Schema."`
	Apply      applyCommand      `cmd:"" help:"Replace the configuration."`
	Get        getCommand        `cmd:"" help:"Print the configuration and its revision."`
	Workspace  workspaceCommand  `cmd:"" help:"Add, remove and list workspaces."`
	Key        keyCommand        `cmd:"" help:"Add, withdraw and list the keys of workspaces."`
	Service    serviceCommand    `cmd:"" help:"Add, remove and list services."`
	Rule       ruleCommand       `cmd:"" help:"Set, remove and list the rules per failure domain."`
	Drain      drainCommand      `cmd:"" help:"Give a backend server no new work."`
	Undrain    undrainCommand    `cmd:"" help:"Give a drained backend server new work again."`
	Order      orderCommand      `cmd:"" help:"Give an order to an engine."`
	Explain    explainCommand    `cmd:"" help:"Follow one request through the logs of nodes, or ask where one would go."`
	Report     reportCommand     `cmd:"" help:"Print a report of a node."`
	Quarantine quarantineCommand `cmd:"" help:"Prompt parts that crash backend servers."`
	Load       loadCommand       `cmd:"" help:"Send open-loop load to nodes and print one JSON result."`
	Standin    standinCommand    `cmd:"" help:"Run a stand-in for a system that figweir talks to."`
	Demo       demoCommand       `cmd:"" help:"Run a whole small deployment in one process over loopback."`
	Version    versionCommand    `cmd:"" help:"Print the version."`
}

// Main runs the command given by args and returns the exit code. SIGINT and
// SIGTERM cancel the context of the command.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return run(args, &environment{ctx: ctx, stdout: os.Stdout, stderr: os.Stderr})
}

// exitPanic is the panic value that carries the exit code out of the parser when
// kong exits on its own, for example after --help.
type exitPanic int

// run parses and runs a command line and returns the exit code. "help COMMAND"
// is the same as "COMMAND --help".
func run(args []string, env *environment) (code int) {
	defer func() {
		if v, ok := recover().(exitPanic); ok {
			code = int(v)
		}
	}()
	if len(args) > 0 && args[0] == "help" {
		args = append(slices.Clone(args[1:]), "--help")
	}
	var root commands
	parser, err := kong.New(&root,
		kong.Name("figweir"),
		kong.Description("Serves language models and application backend servers from a limited fleet.\n\nExit codes: 0 done, 1 findings or failure, 2 usage."),
		kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Writers(env.stdout, env.stderr),
		kong.Exit(func(code int) { panic(exitPanic(code)) }),
	)
	if err != nil {
		fmt.Fprintln(env.stderr, "figweir:", err)
		return ExitFailure
	}
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(env.stderr, "figweir:", err)
		fmt.Fprintln(env.stderr, "Run \"figweir --help\" for the commands.")
		return ExitUsage
	}
	if err := command.Run(env); err != nil {
		if !errors.Is(err, errReported) {
			fmt.Fprintln(env.stderr, err)
		}
		return ExitFailure
	}
	return ExitOK
}
