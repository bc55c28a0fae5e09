// Package propertytest fixes the random cases of property tests, so that a run
// that fails can be repeated.
package propertytest

import (
	"flag"

	// The flags are those of package rapid.
	_ "pgregory.net/rapid"
)

// seed is that of all packages that use Fix.
const seed = "20261204"

// Fix sets the seed and the given flags of package rapid. Call it when the test
// package is initialized, so that flags on the command line go before.
func Fix(flags map[string]string) {
	set("rapid.seed", seed)
	for name, value := range flags {
		set(name, value)
	}
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
