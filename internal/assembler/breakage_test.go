//go:build breakage

package assembler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke/internal/disabler"
)

// TestBrokenMechanisms disables one mechanism at a time and runs the scenario
// that tests it. The scenario must fail.
func TestBrokenMechanisms(t *testing.T) {
	three := func(s *DevSettings) { s.Entries = 3 }
	slow := func(s *DevSettings) { s.LedgerDelay = 2 * time.Second }
	reset := func(b *testbed) { b.eachLedgerSidecar(func(s string) { b.network.Reset("entry-1", s) }) }
	// Whether an attempt is in progress during a restart depends on the
	// scheduling, so the sidecars are restarted several times.
	restart := func(b *testbed) {
		for range 4 {
			for _, n := range []string{"l1", "l2"} {
				b.killSidecar(n)
				b.restartSidecar(n)
			}
			time.Sleep(time.Second)
		}
	}
	orders := func(fault func(b *testbed)) func(b *testbed) {
		return func(b *testbed) {
			b.checkEffects(b.orders(30, func() {
				time.Sleep(time.Second)
				fault(b)
			}))
		}
	}
	cases := []struct {
		disabled disabler.Mechanism
		change   func(*DevSettings)
		scenario func(b *testbed)
	}{
		{disabler.Deduplication, slow, orders(reset)},
		{disabler.IncarnationCheck, slow, orders(restart)},
		{disabler.Claims, slow, func(b *testbed) { b.orderCopies(func(*testbed) {}) }},
		{disabler.Resumption, nil, func(b *testbed) {
			b.checkFaultMidStream(func(b *testbed, t string) { b.network.Reset("entry-1", "sidecar-"+t) })
		}},
		{disabler.EndCheck, nil, func(b *testbed) {
			b.checkFaultMidStream(func(b *testbed, t string) { b.network.Reset("entry-1", "sidecar-"+t) })
		}},
		{disabler.BudgetOwnership, three, func(b *testbed) { b.overload(func(*testbed) {}) }},
		{disabler.UsageBackup, three, func(b *testbed) { b.checkBilling(killThirdEntry) }},
		{disabler.ConfigurationExpiry, three, func(b *testbed) {
			b.checkWithdrawal(isolateFirstEntry)
		}},
	}
	for _, c := range cases {
		t.Run(string(c.disabled), func(t *testing.T) {
			failed := false
			for n := 0; n < maxRuns && !failed; n++ {
				inBubble(t, c.change, func(b *testbed) {
					outer := b.C
					disabler.Disable(c.disabled)
					failed = disabler.Catch(t, func(tb testing.TB) {
						b.C = qt.New(tb)
						c.scenario(b)
					})
					disabler.Disable("")
					b.C = outer
					time.Sleep(2 * time.Minute) // pending work of the scenario ends
				})
			}
			if !failed {
				t.Fatalf("the scenario passes %d times although %s is disabled", maxRuns, c.disabled)
			}
		})
	}
}

// maxRuns is the maximum number of runs of a scenario until it detects the
// disabled mechanism. Detection depends on how goroutines interleave, which
// differs between runs: with IncarnationCheck disabled, 3 of 120 runs passed.
const maxRuns = 4
