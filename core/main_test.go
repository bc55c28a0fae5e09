package core

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of random cases. Flags on the command
// line go before.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
