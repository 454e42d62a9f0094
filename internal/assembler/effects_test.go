package assembler

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke/internal/fake"
)

// TestEffectsOnce injects a fault while a ledger carries out orders that are not
// idempotent. No order may be recorded twice. Orders that were confirmed must be
// recorded, and those that were reported as not run must not be.
func TestEffectsOnce(t *testing.T) {
	const delay = 2 * time.Second
	faults := []struct {
		name  string
		fault func(b *testbed)
	}{
		{"none", func(*testbed) {}},
		{"connections reset", func(b *testbed) { b.eachLedgerSidecar(func(s string) { b.network.Reset("entry-1", s) }) }},
		{"connections silent", func(b *testbed) { b.eachLedgerSidecar(func(s string) { b.network.Blackhole("entry-1", s) }) }},
		{"answers cut", func(b *testbed) { b.eachLedgerSidecar(func(s string) { b.network.Cut(s, "entry-1") }) }},
		{"requests cut", func(b *testbed) { b.eachLedgerSidecar(func(s string) { b.network.Cut("entry-1", s) }) }},
		{"one sidecar killed", func(b *testbed) { b.killSidecar("l1") }},
		{"sidecars killed and restarted", func(b *testbed) {
			for _, n := range []string{"l1", "l2"} {
				b.killSidecar(n)
				b.restartSidecar(n)
			}
		}},
		{"ledger connections reset", func(b *testbed) {
			b.eachLedgerSidecar(func(s string) { b.network.Reset(s, strings.TrimPrefix(s, "sidecar-")) })
		}},
		{"store down", func(b *testbed) { b.Platform.SetFaults(outage) }},
		{"entry killed", func(b *testbed) {
			b.Entries[0].Close()
			b.Entries = b.Entries[1:]
		}},
	}
	for _, f := range faults {
		for _, when := range []time.Duration{0, delay / 2} {
			t.Run(fmt.Sprintf("%s after %v", f.name, when), func(t *testing.T) {
				inBubble(t, func(s *DevSettings) { s.LedgerDelay = delay }, func(b *testbed) {
					replies := b.orders(30, func() {
						time.Sleep(when)
						f.fault(b)
					})
					b.checkEffects(replies)
					b.checkAnswered(replies, f.name == "none", f.name == "entry killed")
				})
			})
		}
	}
}

func (b *testbed) eachLedgerSidecar(f func(sidecar string)) {
	f("sidecar-l1")
	f("sidecar-l2")
}

// orders sends n orders concurrently through entry-1, and calls fault meanwhile.
func (b *testbed) orders(n int, fault func()) []reply {
	replies := make([]reply, n)
	var group sync.WaitGroup
	for i := range replies {
		group.Add(1)
		go func() {
			defer group.Done()
			replies[i] = b.call(0, http.MethodPost, "/reserve", "big", orderText(i), nil)
		}()
	}
	fault()
	group.Wait()
	return replies
}

func orderText(i int) string { return fmt.Sprintf("order %d", i) }

// checkEffects compares the replies to callers with the records of the ledger.
func (b *testbed) checkEffects(replies []reply) {
	b.Helper()
	time.Sleep(quiesceTime)
	recorded := map[string]int{}
	for _, e := range b.Ledgers["ledger"].Recorded() {
		recorded[e.Order]++
	}
	for i, r := range replies {
		n := recorded[orderText(i)]
		comment := qt.Commentf("order %d: status %d, outcome %s, %s, %v", i, r.status, r.outcome(), r.text, r.err)
		b.Assert(n <= 1, qt.IsTrue, comment)
		switch {
		case r.err != nil:
		case r.outcome() == "run":
			b.Assert(n, qt.Equals, 1, comment)
			b.Assert(r.text, qt.Contains, orderText(i), comment)
		case r.outcome() == "not-run":
			b.Assert(n, qt.Equals, 0, comment)
		default:
			b.Assert(r.outcome(), qt.Equals, "unknown", comment)
		}
	}
	b.Assert(b.Ledgers["ledger"].Credentials(), qt.HasLen, 0)
}

// checkAnswered checks that callers received responses. Connections may break
// only if their entry was killed, and without a fault every request must run.
func (b *testbed) checkAnswered(replies []reply, faultless, killed bool) {
	b.Helper()
	for i, r := range replies {
		comment := qt.Commentf("request %d: status %d, outcome %s, %s, %v", i, r.status, r.outcome(), r.text, r.err)
		b.Assert(r.err == nil || killed, qt.IsTrue, comment)
		b.Assert(r.outcome() == "run" || !faultless, qt.IsTrue, comment)
	}
}

// TestOneExecutionForAKey sends each order four times with the same idempotency
// key, through both entries and under faults. All responses to an order must be
// equal, and the ledger must record the order at most once.
func TestOneExecutionForAKey(t *testing.T) {
	faults := map[string]func(b *testbed){
		"none":               func(*testbed) {},
		"answers lost":       func(b *testbed) { b.Platform.SetFaults(fake.PlatformFaults{LoseResponses: 5}) },
		"connections silent": func(b *testbed) { b.eachLedgerSidecar(func(s string) { b.network.Blackhole("entry-1", s) }) },
		"store down":         func(b *testbed) { b.Platform.SetFaults(outage) },
		"one sidecar killed": func(b *testbed) { b.killSidecar("l1") },
		"entry killed":       func(b *testbed) { b.Entries[0].Close(); b.Entries = b.Entries[1:] },
		"store slow, restart": func(b *testbed) {
			b.Platform.SetFaults(fake.PlatformFaults{SlowMS: 500})
			b.killSidecar("l2")
			b.restartSidecar("l2")
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(s *DevSettings) { s.LedgerDelay = time.Second }, func(b *testbed) {
				replies := b.orderCopies(fault)
				b.checkAnswered(replies, name == "none", name == "entry killed")
			})
		})
	}
}

// orderCopies sends ten orders four times each through both entries, injects a
// fault meanwhile, and checks the replies.
func (b *testbed) orderCopies(fault func(b *testbed)) []reply {
	b.Helper()
	const orders, copies = 10, 4
	replies := make([]reply, orders*copies)
	var group sync.WaitGroup
	for i := range replies {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Duration(i%copies) * 300 * time.Millisecond)
			key := map[string]string{"Idempotency-Key": orderText(i / copies)}
			replies[i] = b.call(i%2, http.MethodPost, "/reserve", "big", orderText(i/copies), key)
		}()
	}
	time.Sleep(400 * time.Millisecond)
	fault(b)
	group.Wait()
	b.checkCopies(replies, copies)
	return replies
}

// checkCopies checks that all successful replies to an order are equal and that
// the ledger recorded the order at most once.
func (b *testbed) checkCopies(replies []reply, copies int) {
	b.Helper()
	time.Sleep(quiesceTime)
	recorded := map[string]int{}
	for _, e := range b.Ledgers["ledger"].Recorded() {
		recorded[e.Order]++
	}
	answers := map[string]string{}
	for i, r := range replies {
		order := orderText(i / copies)
		comment := qt.Commentf("%s copy %d: status %d, outcome %s, %s, %v", order, i%copies, r.status, r.outcome(), r.text, r.err)
		b.Assert(recorded[order] <= 1, qt.IsTrue, comment)
		if r.err != nil || r.outcome() != "run" || r.status != http.StatusOK {
			continue
		}
		b.Assert(recorded[order], qt.Equals, 1, comment)
		if first, ok := answers[order]; ok {
			b.Assert(r.text, qt.Equals, first, comment)
		}
		answers[order] = r.text
	}
}

// TestReusedIdempotencyKey uses one idempotency key for two different requests.
// The second must be refused, unless another team sends it.
func TestReusedIdempotencyKey(t *testing.T) {
	inBubble(t, nil, func(b *testbed) {
		key := map[string]string{"Idempotency-Key": "k"}
		r := b.call(0, http.MethodPost, "/reserve", "big", "one", key)
		b.Assert(r.status, qt.Equals, http.StatusOK)
		r = b.call(1, http.MethodPost, "/reserve", "big", "two", key)
		b.Assert(r.status, qt.Equals, http.StatusUnprocessableEntity)
		b.Assert(r.outcome(), qt.Equals, "not-run")
		r = b.call(1, http.MethodPost, "/reserve", "small", "two", key)
		b.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("keys of different teams must be independent"))
		b.Assert(b.Ledgers["ledger"].Recorded(), qt.HasLen, 2)
	})
}
