//go:build breakage

package executor

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"radishspoke/internal/disabler"
)

// TestBrokenTombstones checks that TestLateExecute fails if the executor leaves no
// records of refused requests.
func TestBrokenTombstones(t *testing.T) {
	disabler.Disable(disabler.Tombstones)
	defer disabler.Disable("")
	if !disabler.Catch(t, func(tb testing.TB) { checkLateExecute(qt.New(tb)) }) {
		t.Fatal("request ran after it was refused, and TestLateExecute did not fail")
	}
}
