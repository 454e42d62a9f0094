//go:build breakage

package limiter_test

import (
	"testing"

	"radishspoke/internal/disabler"
)

// TestBrokenLimits disables each mechanism that enforces a limit, and checks
// that the property test then fails.
func TestBrokenLimits(t *testing.T) {
	for _, m := range []disabler.Mechanism{disabler.GrantExpiry, disabler.RefundLimit} {
		t.Run(string(m), func(t *testing.T) {
			disabler.Disable(m)
			defer disabler.Disable("")
			disabler.MustFail(t, checkLimit)
		})
	}
}
