// Command figweir runs all programs of the serving system: nodes, stand-ins and
// the operators' commands.
package main

import (
	"os"

	"github.com/figweir/figweir/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:]))
}
