//go:build breakage

package voter_test

import (
	"testing"

	"radishspoke/internal/breaker"
)

// TestBrokenVotes makes voters ignore their earlier grants, and checks that the
// test then finds a right with two holders.
func TestBrokenVotes(t *testing.T) {
	breaker.Break(breaker.Votes)
	defer breaker.Break("")
	breaker.MustFail(t, checkOneHolder)
}
