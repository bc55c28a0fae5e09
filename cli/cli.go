// Package cli is the command line of figweir.
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

// Exit codes of the program.
const (
	// ExitDone means that the command did what it was asked.
	ExitDone = 0
	// ExitFailed means findings or a failure.
	ExitFailed = 1
	// ExitUsage means that the command line could not be understood.
	ExitUsage = 2
)

// errReported means that a command failed and has said why.
var errReported = errors.New("already reported")

// environment is what commands work with; tests replace it.
type environment struct {
	context context.Context
	out     io.Writer
	err     io.Writer
}

// commands is the root of the command line.
type commands struct {
	Node      nodeCommand      `cmd:"" help:"Run a node until it is told to stop."`
	Gateway   gatewayCommand   `cmd:"" help:"Run a node on the users' platform."`
	Init      initCommand      `cmd:"" help:"Print the questionnaire, or generate a deployment from its answers."`
	Check     checkCommand     `cmd:"" help:"Check files and report every finding, or print a JSON Schema."`
	Apply     applyCommand     `cmd:"" help:"Replace the configuration."`
	Get       getCommand       `cmd:"" help:"Print the configuration and its revision."`
	Workspace workspaceCommand `cmd:"" help:"Add, remove and list workspaces."`
	Key       keyCommand       `cmd:"" help:"Add, withdraw and list the keys of workspaces."`
	Service   serviceCommand   `cmd:"" help:"Add, remove and list services."`
	Rule      ruleCommand      `cmd:"" help:"Set, remove and list the rules per failure domain."`
	Drain     drainCommand     `cmd:"" help:"Give a backend server no new work."`
	Undrain   undrainCommand   `cmd:"" help:"Give a drained backend server new work again."`
	Order     orderCommand     `cmd:"" help:"Give an order to an engine."`
	Explain   explainCommand   `cmd:"" help:"Follow one request through the logs of nodes."`
	Report    reportCommand    `cmd:"" help:"Print a report of a node."`
	Load      loadCommand      `cmd:"" help:"Send open-loop load to nodes and print one JSON result."`
	Standin   standinCommand   `cmd:"" help:"Run a stand-in for a system that figweir talks to."`
	Demo      demoCommand      `cmd:"" help:"Run a whole small deployment in one process over loopback."`
	Version   versionCommand   `cmd:"" help:"Print the version."`
}

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return run(args, &environment{context: ctx, out: os.Stdout, err: os.Stderr})
}

// exitPanic carries the exit code of kong's own help out of the parser.
type exitPanic int

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
		kong.Writers(env.out, env.err),
		kong.Exit(func(code int) { panic(exitPanic(code)) }),
	)
	if err != nil {
		fmt.Fprintln(env.err, "figweir:", err)
		return ExitFailed
	}
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(env.err, "figweir:", err)
		fmt.Fprintln(env.err, "Run \"figweir --help\" for the commands.")
		return ExitUsage
	}
	if err := command.Run(env); err != nil {
		if !errors.Is(err, errReported) {
			fmt.Fprintln(env.err, err)
		}
		return ExitFailed
	}
	return ExitDone
}
