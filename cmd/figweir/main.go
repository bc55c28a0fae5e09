// Command figweir is the serving system's only binary.
package main

import (
	"os"

	"github.com/figweir/figweir/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:]))
}
