// Command measure benchmarks package once on an in-memory store with the rate
// limits and latency of the platform's store. It produces the data in
// docs/measurements/once.md and is not part of the figweir binary.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

// options are the command-line options.
type options struct {
	Writes float64       `default:"300" help:"Writes a second that the store takes."`
	Reads  float64       `default:"2000" help:"Reads a second that the store takes."`
	Delay  time.Duration `default:"3ms" help:"Time of a call to the store."`

	Rate rateCommand `cmd:"" help:"Latency and store writes at given rates of claims."`
	Load loadCommand `cmd:"" help:"Load time and memory of a range's index."`
}

func main() {
	var o options
	ctx := kong.Parse(&o, kong.Description("Measures package once."))
	if err := ctx.Run(&o); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}
