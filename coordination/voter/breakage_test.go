//go:build breakage

package voter_test

import (
	"testing"

	"radishspoke/internal/disabler"
)

// TestBrokenVotes makes voters ignore their earlier grants, and checks that
// checkOneHolder then finds a right with two holders.
func TestBrokenVotes(t *testing.T) {
	disabler.Disable(disabler.ExclusiveVotes)
	defer disabler.Disable("")
	disabler.MustFail(t, checkOneHolder)
}
