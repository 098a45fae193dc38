package evacuation_test

import (
	"flag"
	"os"
)

// init fixes the seed of the property tests, so that every run generates the same cases. RAPID_SEED overrides it.
func init() {
	seed := os.Getenv("RAPID_SEED")
	if seed == "" {
		seed = "1"
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
