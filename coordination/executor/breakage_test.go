//go:build breakage

package executor

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"radishspoke/internal/breaker"
)

// TestBrokenTombstones lets a sidecar forget what it has refused.
func TestBrokenTombstones(t *testing.T) {
	breaker.Break(breaker.Tombstones)
	defer breaker.Break("")
	if !breaker.Catch(t, func(tb testing.TB) { lateExecute(qt.New(tb)) }) {
		t.Fatal("the request runs late and the test does not see it")
	}
}
