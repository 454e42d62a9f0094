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

// TestEffectsOnce breaks something while a ledger carries out orders that may
// not be repeated. No order may be recorded twice, each whose answer came must
// be recorded, and none that was refused as not run.
func TestEffectsOnce(t *testing.T) {
	const delay = 2 * time.Second
	faults := []struct {
		name  string
		fault func(b *bed)
	}{
		{"none", func(*bed) {}},
		{"connections reset", func(b *bed) { b.eachLedger(func(s string) { b.network.Reset("entry-1", s) }) }},
		{"connections silent", func(b *bed) { b.eachLedger(func(s string) { b.network.Silence("entry-1", s) }) }},
		{"answers cut", func(b *bed) { b.eachLedger(func(s string) { b.network.Cut(s, "entry-1") }) }},
		{"requests cut", func(b *bed) { b.eachLedger(func(s string) { b.network.Cut("entry-1", s) }) }},
		{"one sidecar killed", func(b *bed) { b.killSidecar("l1") }},
		{"sidecars killed and restarted", func(b *bed) {
			for _, n := range []string{"l1", "l2"} {
				b.killSidecar(n)
				b.restartSidecar(n)
			}
		}},
		{"ledger connections reset", func(b *bed) { b.eachLedger(func(s string) { b.network.Reset(s, strings.TrimPrefix(s, "sidecar-")) }) }},
		{"store down", func(b *bed) { b.Platform.SetFaults(outage) }},
		{"entry killed", func(b *bed) {
			b.Entries[0].Close()
			b.Entries = b.Entries[1:]
		}},
	}
	for _, f := range faults {
		for _, when := range []time.Duration{0, delay / 2} {
			t.Run(fmt.Sprintf("%s after %v", f.name, when), func(t *testing.T) {
				inBubble(t, func(s *DevSettings) { s.LedgerDelay = delay }, func(b *bed) {
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

func (b *bed) eachLedger(f func(sidecar string)) {
	f("sidecar-l1")
	f("sidecar-l2")
}

// orders sends n orders at once through entry 1, and meanwhile calls fault.
func (b *bed) orders(n int, fault func()) []reply {
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

// checkEffects compares what callers were told with what the ledger recorded.
func (b *bed) checkEffects(replies []reply) {
	b.Helper()
	time.Sleep(lateTime)
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

// checkAnswered checks that callers were answered at all: only an entry that
// is killed may cut them, and with nothing broken every request runs.
func (b *bed) checkAnswered(replies []reply, calm, killed bool) {
	b.Helper()
	for i, r := range replies {
		comment := qt.Commentf("request %d: status %d, outcome %s, %s, %v", i, r.status, r.outcome(), r.text, r.err)
		b.Assert(r.err == nil || killed, qt.IsTrue, comment)
		b.Assert(r.outcome() == "run" || !calm, qt.IsTrue, comment)
	}
}

// TestOneExecutionForAKey sends each order four times with one idempotency
// key, through both entries and under faults. All that are answered must get
// the same answer, and the ledger must record the order at most once.
func TestOneExecutionForAKey(t *testing.T) {
	faults := map[string]func(b *bed){
		"none":               func(*bed) {},
		"answers lost":       func(b *bed) { b.Platform.SetFaults(fake.Faults{LoseAnswers: 5}) },
		"connections silent": func(b *bed) { b.eachLedger(func(s string) { b.network.Silence("entry-1", s) }) },
		"store down":         func(b *bed) { b.Platform.SetFaults(outage) },
		"one sidecar killed": func(b *bed) { b.killSidecar("l1") },
		"entry killed":       func(b *bed) { b.Entries[0].Close(); b.Entries = b.Entries[1:] },
		"store slow, restart": func(b *bed) {
			b.Platform.SetFaults(fake.Faults{SlowMS: 500})
			b.killSidecar("l2")
			b.restartSidecar("l2")
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(s *DevSettings) { s.LedgerDelay = time.Second }, func(b *bed) {
				replies := b.orderCopies(fault)
				b.checkAnswered(replies, name == "none", name == "entry killed")
			})
		})
	}
}

// orderCopies sends ten orders four times each, by both entries, and breaks
// something meanwhile.
func (b *bed) orderCopies(fault func(b *bed)) []reply {
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

func (b *bed) checkCopies(replies []reply, copies int) {
	b.Helper()
	time.Sleep(lateTime)
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

// TestKeyForAnotherRequest uses one idempotency key for two requests.
func TestKeyForAnotherRequest(t *testing.T) {
	inBubble(t, nil, func(b *bed) {
		key := map[string]string{"Idempotency-Key": "k"}
		r := b.call(0, http.MethodPost, "/reserve", "big", "one", key)
		b.Assert(r.status, qt.Equals, http.StatusOK)
		r = b.call(1, http.MethodPost, "/reserve", "big", "two", key)
		b.Assert(r.status, qt.Equals, http.StatusUnprocessableEntity)
		b.Assert(r.outcome(), qt.Equals, "not-run")
		r = b.call(1, http.MethodPost, "/reserve", "small", "two", key)
		b.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("keys are the team's own"))
		b.Assert(b.Ledgers["ledger"].Recorded(), qt.HasLen, 2)
	})
}
