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

// Main runs a package's tests with that many schedules, unless the command
// line names other numbers. It does not return.
func Main(m *testing.M) {
	_ = flag.Set("rapid.checks", schedules)
	_ = flag.Set("rapid.steps", steps)
	flag.Parse()
	os.Exit(m.Run())
}
