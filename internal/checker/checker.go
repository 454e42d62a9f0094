// Package checker sets how many random schedules a property is checked on.
package checker

import (
	"flag"
	"os"
	"testing"
)

// Schedules of each property, and the steps of each.
const (
	schedules = "3000"
	steps     = "80"
)

// seed is of the draws, so that every run checks the same.
const seed = "1"

// Main runs a package's tests with that many schedules and one seed, unless the
// command line names others (-rapid.seed=0 draws one). It does not return.
func Main(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.checks", schedules)
	_ = flag.Set("rapid.steps", steps)
	flag.Parse()
	os.Exit(m.Run())
}
