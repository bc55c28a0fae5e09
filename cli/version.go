package cli

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints the version of the program, the revision that it was built from
// and the Go version.
func (*versionCommand) Run(env *environment) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Fprintln(env.out, "figweir, built without version information")
		return nil
	}
	revision := "unknown"
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = setting.Value
		}
	}
	fmt.Fprintf(env.out, "figweir %s, revision %s, %s\n", info.Main.Version, revision, info.GoVersion)
	return nil
}
