// Package fixedseed sets a fixed seed for property tests with rapid, so that each run checks the same cases and has the same
// result. Tests import it for its side effect. The flag -rapid.seed on the command line overrides the seed.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag rapid.seed
)

const seed = "20261203"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
