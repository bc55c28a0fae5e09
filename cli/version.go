package cli

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints the program version, the source revision and the Go version.
func (*versionCommand) Run(env *environment) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Fprintln(env.stdout, "figweir, built without version information")
		return nil
	}
	revision := "unknown"
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = setting.Value
		}
	}
	fmt.Fprintf(env.stdout, "figweir %s, revision %s, %s\n", info.Main.Version, revision, info.GoVersion)
	return nil
}
