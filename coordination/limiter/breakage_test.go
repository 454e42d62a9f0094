//go:build breakage

package limiter_test

import (
	"testing"

	"radishspoke/internal/breaker"
)

// TestBrokenLimits disables each mechanism that enforces a limit, and checks
// that the property test then fails.
func TestBrokenLimits(t *testing.T) {
	for _, s := range []breaker.Switch{breaker.Validity, breaker.Refunds} {
		t.Run(string(s), func(t *testing.T) {
			breaker.Break(s)
			defer breaker.Break("")
			breaker.MustFail(t, checkLimit)
		})
	}
}
