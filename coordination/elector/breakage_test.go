//go:build breakage

package elector_test

import (
	"testing"

	"radishspoke/internal/disabler"
)

// TestBrokenLeaseSendTime counts leases from the replies of the store instead of
// from the requests, and checks that checkLeases then finds a lease with two
// holders.
func TestBrokenLeaseSendTime(t *testing.T) {
	disabler.Disable(disabler.LeaseSendTime)
	defer disabler.Disable("")
	disabler.MustFail(t, checkLeases)
}
