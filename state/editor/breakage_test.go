//go:build breakage

package editor_test

import (
	"testing"

	"github.com/anishathalye/porcupine"

	"radishspoke/internal/breaker"
)

// TestBrokenLost takes lost answers for failures, and expects a history that
// fits no order of events.
func TestBrokenLost(t *testing.T) {
	breaker.Break(breaker.Lost)
	defer breaker.Break("")
	for seed := range uint64(20) {
		if !porcupine.CheckOperations(model.ToModel(), race(t, seed)) {
			return
		}
	}
	t.Fatal("every history fits although lost answers are taken for failures")
}
