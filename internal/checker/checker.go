// Package checker sets the defaults of package rapid for property-based tests: the
// number of random schedules, which are sequences of steps, the number of steps in
// each, and the seed.
package checker

import (
	"flag"
	"os"
	"testing"
)

// Number of schedules for each property, and number of steps in each schedule.
const (
	schedules = "3000"
	steps     = "80"
)

// seed is the seed of the random draws. It is fixed, so that every run checks the
// same schedules.
const seed = "1"

// Main runs the tests of a package with these defaults, which the flags of rapid
// on the command line override. With -rapid.seed=0, each run draws a new seed.
// Main does not return.
func Main(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.checks", schedules)
	_ = flag.Set("rapid.steps", steps)
	flag.Parse()
	os.Exit(m.Run())
}
