//go:build breakage

package limiter_test

import (
	"testing"

	"radishspoke/internal/disabler"
)

// TestBrokenLimits disables each mechanism that enforces a limit, and checks
// that the property test then fails.
func TestBrokenLimits(t *testing.T) {
	for _, s := range []disabler.Mechanism{disabler.GrantExpiry, disabler.RefundLimit} {
		t.Run(string(s), func(t *testing.T) {
			disabler.Disable(s)
			defer disabler.Disable("")
			disabler.MustFail(t, checkLimit)
		})
	}
}
