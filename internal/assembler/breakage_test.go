//go:build breakage

package assembler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke/internal/breaker"
)

// TestBrokenMechanisms breaks one mechanism after another and runs the
// scenario that guards it, which must fail.
func TestBrokenMechanisms(t *testing.T) {
	three := func(s *DevSettings) { s.Entries = 3 }
	slow := func(s *DevSettings) { s.LedgerDelay = 2 * time.Second }
	reset := func(b *bed) { b.eachLedger(func(s string) { b.network.Reset("entry-1", s) }) }
	// Whether an attempt is under way at the moment of one restart is a matter
	// of scheduling, so there are several.
	restart := func(b *bed) {
		for range 4 {
			for _, n := range []string{"l1", "l2"} {
				b.killSidecar(n)
				b.restartSidecar(n)
			}
			time.Sleep(time.Second)
		}
	}
	orders := func(fault func(b *bed)) func(b *bed) {
		return func(b *bed) {
			b.checkEffects(b.orders(30, func() {
				time.Sleep(time.Second)
				fault(b)
			}))
		}
	}
	cases := []struct {
		broken   breaker.Switch
		change   func(*DevSettings)
		scenario func(b *bed)
	}{
		{breaker.Records, slow, orders(reset)},
		{breaker.Incarnations, slow, orders(restart)},
		{breaker.Claims, slow, func(b *bed) { b.orderCopies(func(*bed) {}) }},
		{breaker.Offsets, nil, func(b *bed) {
			b.breakAnswer(func(b *bed, t string) { b.network.Reset("entry-1", "sidecar-"+t) })
		}},
		{breaker.Ends, nil, func(b *bed) {
			b.breakAnswer(func(b *bed, t string) { b.network.Reset("entry-1", "sidecar-"+t) })
		}},
		{breaker.Tenures, three, func(b *bed) { b.overload(func(*bed) {}) }},
		{breaker.Witnesses, three, func(b *bed) { b.bill(killThird) }},
		{breaker.Standing, three, func(b *bed) {
			b.withdrawAndAsk(cutFromAll)
		}},
	}
	for _, c := range cases {
		t.Run(string(c.broken), func(t *testing.T) {
			failed := false
			for n := 0; n < schedules && !failed; n++ {
				inBubble(t, c.change, func(b *bed) {
					sound := b.C
					breaker.Break(c.broken)
					failed = breaker.Catch(t, func(tb testing.TB) {
						b.C = qt.New(tb)
						c.scenario(b)
					})
					breaker.Break("")
					b.C = sound
					time.Sleep(2 * time.Minute) // what the scenario left comes to its end
				})
			}
			if !failed {
				t.Fatalf("the scenario passes %d times although %s is broken", schedules, c.broken)
			}
		})
	}
}

// schedules is how often a scenario may run until it notices. Goroutines are
// not scheduled alike on each run, and a broken mechanism only shows where two
// of them meet: without incarnations three of 120 runs passed.
const schedules = 4
