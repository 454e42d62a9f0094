package elector_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets how many schedules a property is checked on, and their
// length, unless the command line does.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.steps", "80")
	flag.Parse()
	os.Exit(m.Run())
}
