//go:build breakage

package limiter_test

import (
	"testing"

	"radishspoke/internal/breaker"
)

// TestBrokenLimits breaks each mechanism that keeps a limit, and expects the
// property to fail.
func TestBrokenLimits(t *testing.T) {
	for _, s := range []breaker.Switch{breaker.Validity, breaker.Refunds} {
		t.Run(string(s), func(t *testing.T) {
			breaker.Break(s)
			defer breaker.Break("")
			breaker.MustFail(t, checkLimit)
		})
	}
}
