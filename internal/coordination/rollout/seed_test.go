package rollout_test

import (
	"flag"
	"os"
)

// init sets a fixed seed for the property tests, so that results are reproducible. RAPID_SEED overrides it.
func init() {
	seed := os.Getenv("RAPID_SEED")
	if seed == "" {
		seed = "1"
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
