//go:build breakage

package voter_test

import (
	"testing"

	"radishspoke/internal/breaker"
)

// TestBrokenVotes breaks the voters' memory, and expects two holders to be
// seen.
func TestBrokenVotes(t *testing.T) {
	breaker.Break(breaker.Votes)
	defer breaker.Break("")
	breaker.MustFail(t, checkOneHolder)
}
