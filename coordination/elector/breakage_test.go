//go:build breakage

package elector_test

import (
	"testing"

	"radishspoke/internal/breaker"
)

// TestBrokenSends counts leases from the store's answers, and expects two
// holders to be seen.
func TestBrokenSends(t *testing.T) {
	breaker.Break(breaker.Sends)
	defer breaker.Break("")
	breaker.MustFail(t, checkLeases)
}
