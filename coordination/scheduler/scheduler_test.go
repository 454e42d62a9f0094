package scheduler_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"radishspoke/coordination/scheduler"
)

const pool = "m"

func push(c *qt.C, q *scheduler.Queue[int], team string, cost float64, s scheduler.Share) *scheduler.Item[int] {
	it := &scheduler.Item[int]{Team: team, Pool: pool, Cost: cost}
	c.Assert(q.Push(it, s), qt.IsNil)
	return it
}

// serve pops up to n items and returns the total cost of each team's items.
func serve(q *scheduler.Queue[int], n int) map[string]float64 {
	out := map[string]float64{}
	for range n {
		it := q.Pop(pool)
		if it == nil {
			return out
		}
		out[it.Team] += it.Cost
	}
	return out
}

func TestShares(t *testing.T) {
	c := qt.New(t)
	q := scheduler.New[int](1000)
	for range 300 {
		push(c, q, "heavy", 10, scheduler.Share{Weight: 2, Order: 1})
		push(c, q, "light", 30, scheduler.Share{Weight: 1, Order: 1})
		push(c, q, "later", 1, scheduler.Share{Weight: 100, Order: 2})
	}
	got := serve(q, 200)
	c.Assert(got["later"], qt.Equals, 0.0)
	ratio := got["heavy"] / got["light"]
	c.Assert(ratio > 1.9 && ratio < 2.1, qt.IsTrue, qt.Commentf("%v", got))
}

// TestIdleTeam checks that a team gains no credit while it sends nothing, and that
// a team with a long queue does not delay a team that starts later.
func TestIdleTeam(t *testing.T) {
	c := qt.New(t)
	q := scheduler.New[int](1000)
	share := scheduler.Share{Weight: 1, Order: 1}
	for range 100 {
		push(c, q, "greedy", 10, share)
	}
	serve(q, 50)
	for range 50 {
		push(c, q, "late", 10, share)
	}
	got := serve(q, 20)
	c.Assert(got["late"] >= 90 && got["late"] <= 110, qt.IsTrue, qt.Commentf("%v", got))
}

func TestLimitAndRemoval(t *testing.T) {
	c := qt.New(t)
	q := scheduler.New[int](2)
	share := scheduler.Share{Weight: 1, Order: 1}
	first := push(c, q, "a", 1, share)
	push(c, q, "a", 1, share)
	c.Assert(q.Push(&scheduler.Item[int]{Team: "a", Pool: pool, Cost: 1}, share), qt.ErrorIs, scheduler.ErrFull)
	push(c, q, "b", 1, share)
	c.Assert(q.Remove(first), qt.IsTrue)
	c.Assert(q.Remove(first), qt.IsFalse)
	c.Assert(q.Waiting("a"), qt.Equals, 1)
	c.Assert(q.Len(), qt.Equals, 2)
	c.Assert(serve(q, 5), qt.DeepEquals, map[string]float64{"a": 1, "b": 1})
	c.Assert(q.Pools(), qt.HasLen, 0)
}

// TestFairness queues items with random weights and costs. While both teams have
// waiting requests, the service divided by the weight must not differ by more
// than one item of each team.
func TestFairness(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q := scheduler.New[int](100000)
		weights := map[string]float64{"a": rapid.Float64Range(0.5, 8).Draw(r, "wa"), "b": rapid.Float64Range(0.5, 8).Draw(r, "wb")}
		const maxCost = 50.0
		for range 200 {
			for team, w := range weights {
				it := &scheduler.Item[int]{Team: team, Pool: pool, Cost: rapid.Float64Range(1, maxCost).Draw(r, "cost")}
				if err := q.Push(it, scheduler.Share{Weight: w, Order: 1}); err != nil {
					r.Fatal(err)
				}
			}
		}
		got := map[string]float64{}
		for q.Waiting("a") > 1 && q.Waiting("b") > 1 {
			it := q.Pop(pool)
			got[it.Team] += it.Cost / weights[it.Team]
			bound := maxCost/weights["a"] + maxCost/weights["b"]
			if d := got["a"] - got["b"]; d > bound || d < -bound {
				r.Fatalf("service divided by weight differs by %.1f, want at most %.1f", d, bound)
			}
		}
	})
}

func BenchmarkQueue(b *testing.B) {
	q := scheduler.New[int](1 << 20)
	share := scheduler.Share{Weight: 1, Order: 1}
	b.ReportAllocs()
	for b.Loop() {
		it := &scheduler.Item[int]{Team: "t", Pool: pool, Cost: 1}
		if err := q.Push(it, share); err != nil {
			b.Fatal(err)
		}
		if q.Len() > 500 {
			q.Pop(pool)
		}
	}
}
