package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"radishspoke"
	"radishspoke/coordination/limiter"
	"radishspoke/protocol/wire"
)

const (
	testRate  = 100.0
	testBurst = 400.0
)

// entry holds the grants and the unsettled charges of one entry. Element i of
// costs is the cost of the charge with element i of receipts.
type entry struct {
	grants   limiter.GrantSet
	receipts []limiter.Receipt
	costs    []float64
}

// model holds the owner of one team's budget and the entries that charge it, on
// one clock. Replies may be late or lost, and the owner may be replaced.
type model struct {
	now     time.Duration
	bucket  *limiter.Bucket
	epoch   int64
	entries [3]entry
	charges []limiter.Charge
}

// grant issues a grant whose reply arrives after delay. If delay is negative,
// the reply is lost.
func (m *model) grant(e *entry, amount float64, delay time.Duration) {
	requested := m.now
	amount = min(amount, m.bucket.Level(m.now))
	if amount <= 0 {
		return
	}
	id := m.bucket.Grant(m.now, amount)
	if delay < 0 {
		return
	}
	m.now += delay
	e.grants.Add(limiter.Grant{Epoch: m.epoch, ID: id, Amount: amount, Expires: requested + limiter.Validity})
}

func (m *model) charge(e *entry, cost float64) {
	if r, ok := e.grants.Charge(m.now, cost); ok {
		e.receipts = append(e.receipts, r)
		e.costs = append(e.costs, cost)
		m.charges = append(m.charges, limiter.Charge{At: r.At, Amount: cost})
	}
}

// settle settles the oldest charge of e at a fraction of its cost.
func (m *model) settle(e *entry, fraction float64) {
	if len(e.receipts) == 0 {
		return
	}
	r, cost := e.receipts[0], e.costs[0]
	e.receipts, e.costs = e.receipts[1:], e.costs[1:]
	used := cost * fraction
	for i := range m.charges {
		if m.charges[i].At == r.At && m.charges[i].Amount == cost {
			m.charges[i].Amount = used
			break
		}
	}
	m.refund(r.Unused(used))
}

func (m *model) refund(parts []limiter.GrantPart) {
	for _, p := range parts {
		if p.Epoch == m.epoch {
			m.bucket.Refund(m.now, p.Grant, p.Amount)
		}
	}
}

// checkLimit runs a random schedule and fails if the charges ever exceed burst +
// rate*t.
func checkLimit(t rapid.TB, r *rapid.T) {
	m := &model{now: time.Hour, epoch: 1}
	m.bucket = limiter.NewBucket(m.now, testRate, testBurst, limiter.Validity)
	index := rapid.IntRange(0, len(m.entries)-1)
	amount := rapid.Float64Range(1, testBurst)
	r.Repeat(map[string]func(*rapid.T){
		"wait": func(r *rapid.T) { m.now += time.Duration(rapid.IntRange(1, 4000).Draw(r, "ms")) * time.Millisecond },
		"ask": func(r *rapid.T) {
			delay := time.Duration(rapid.IntRange(-50, 700).Draw(r, "late")) * time.Millisecond
			m.grant(&m.entries[index.Draw(r, "spender")], amount.Draw(r, "amount"), delay)
		},
		"ask and charge": func(r *rapid.T) {
			e, a := &m.entries[index.Draw(r, "spender")], amount.Draw(r, "amount")
			m.grant(e, a, 0)
			m.charge(e, min(a, e.grants.Remaining(m.now)))
		},
		"charge": func(r *rapid.T) { m.charge(&m.entries[index.Draw(r, "spender")], amount.Draw(r, "amount")) },
		"settle": func(r *rapid.T) {
			m.settle(&m.entries[index.Draw(r, "spender")], rapid.Float64Range(0, 1).Draw(r, "part"))
		},
		"expire": func(r *rapid.T) { m.refund(m.entries[index.Draw(r, "spender")].grants.Expire(m.now)) },
		"new owner": func(*rapid.T) {
			m.epoch++
			m.bucket = limiter.NewBucket(m.now, testRate, testBurst, limiter.Validity)
		},
		"": func(*rapid.T) {
			if x := limiter.Excess(m.charges, testRate, testBurst); x > 0 {
				t.Fatalf("charges exceed burst + rate*t by %.3f tokens", x)
			}
		},
	})
}

func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) { checkLimit(r, r) })
}

func BenchmarkBucket(b *testing.B) {
	bucket := limiter.NewBucket(0, 1e6, 1e6, limiter.Validity)
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		id := bucket.Grant(now, 100)
		bucket.Refund(now, id, 50)
	}
}

// BenchmarkOwner measures one request to an owner of the budgets of 420 teams.
func BenchmarkOwner(b *testing.B) {
	clock := &stepClock{}
	o := limiter.NewOwner(clock, func(string) (int64, time.Duration, bool) { return 1, 0, true },
		func(name string) (radishspoke.Team, bool) {
			return radishspoke.Team{Name: name, Rate: 1e7, Burst: 1e8}, true
		})
	names := make([]string, 420)
	for i := range names {
		names[i] = fmt.Sprintf("team-%d", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		clock.now += time.Millisecond
		o.Handle(&wire.Budget{Process: "e", Team: names[i%len(names)], Need: 100, Want: 200})
	}
}

// stepClock is a clock that moves only when a test sets it.
type stepClock struct{ now time.Duration }

func (c *stepClock) Now() time.Duration { return c.now }
