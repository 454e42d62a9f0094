//go:build breakage

package elector_test

import (
	"testing"

	"radishspoke/internal/breaker"
)

// TestBrokenSends counts leases from the replies of the store instead of from
// the requests, and checks that the test then finds a lease with two holders.
func TestBrokenSends(t *testing.T) {
	breaker.Break(breaker.Sends)
	defer breaker.Break("")
	breaker.MustFail(t, checkLeases)
}
