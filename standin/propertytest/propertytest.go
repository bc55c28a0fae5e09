// Package propertytest sets a fixed seed for property tests, so that a failing run
// can be reproduced.
package propertytest

import (
	"flag"

	// Package rapid defines the flags that are set here.
	_ "pgregory.net/rapid"
)

// defaultSeed is the rapid seed of all test packages that call this package.
const defaultSeed = "20261204"

// SetFlags sets the seed and the given flags of package rapid. It panics if a flag does
// not exist or a value is invalid. Call it while the test package is initialized, so
// that flags on the command line take precedence.
func SetFlags(flags map[string]string) {
	mustSetFlag("rapid.seed", defaultSeed)
	for name, value := range flags {
		mustSetFlag(name, value)
	}
}

func mustSetFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
