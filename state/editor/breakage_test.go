//go:build breakage

package editor_test

import (
	"testing"

	"github.com/anishathalye/porcupine"

	"radishspoke/internal/disabler"
)

// TestBrokenWriteResolution makes the client treat lost responses as conflicts,
// and checks that the model then rejects at least one history.
func TestBrokenWriteResolution(t *testing.T) {
	disabler.Disable(disabler.WriteResolution)
	defer disabler.Disable("")
	for seed := range uint64(20) {
		if !porcupine.CheckOperations(model.ToModel(), runOperators(t, seed)) {
			return
		}
	}
	t.Fatal("all histories are linearizable although lost responses are treated as conflicts")
}
